"""Tests that an instance takes its own jam for no failure of others."""

from dataclasses import replace
import socket

import curio

from carawayvale.capacity.link_meter import LinkMeter
from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.endpoint_checks import check_reachable
from carawayvale.gateway.forwarding import OwnerUnreachable
from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.gateway.tests.test_endpoint_checks import ENDPOINT
from carawayvale.gateway.tests.test_endpoint_checks import make_request
from carawayvale.gateway.tests.test_endpoint_checks import time_out
from carawayvale.gateway.tests.test_owned_endpoint import make_owned_endpoint
from carawayvale.gateway.upstream import UpstreamOutcome

# Connections that fill the queue of a listener that accepts none.
FILL = 3


class SilentListener:
    """Port to which attempts to connect are not answered."""

    def __init__(self):
        self.sockets = [socket.socket()]
        self.sockets[0].bind(("127.0.0.1", 0))
        self.sockets[0].listen(0)
        self.address = Address(*self.sockets[0].getsockname())
        for _ in range(FILL):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex((self.address.host, self.address.port))
            self.sockets.append(client)

    def close(self):
        """Close all sockets."""
        for sock in self.sockets:
            sock.close()


def jam(own_delay):
    """Let the link of an instance have a queue of one second."""
    now_s = read_boot_clock()
    own_delay.link = LinkMeter(8.0)
    own_delay.link.record_sent(1_000_000, now_s)
    own_delay.observe(now_s)


async def serve_at_silent_endpoint(is_jammed):
    """Send a request to an endpoint that does not answer connections."""
    listener = SilentListener()
    owned = make_owned_endpoint(replace(ENDPOINT, address=listener.address))
    if is_jammed:
        jam(owned.context.own_delay)
    try:
        result = await owned.serve(make_request())
    finally:
        listener.close()
    assert result.outcome is UpstreamOutcome.UNSENT
    return owned


class TestTimeoutOfEndpoint:
    def test_jammed_instance_ejects_no_endpoint(self):
        owned = curio.run(serve_at_silent_endpoint, True)
        assert not owned.health.ejected

    def test_instance_that_is_not_behind_ejects_it(self):
        owned = curio.run(serve_at_silent_endpoint, False)
        assert owned.health.ejected

    def test_jammed_instance_ejects_an_endpoint_that_refuses(self):
        async def main():
            owned = make_owned_endpoint(
                replace(ENDPOINT, address=Address("127.0.0.1", 1))
            )
            jam(owned.context.own_delay)
            await owned.serve(make_request())
            return owned

        assert curio.run(main).health.ejected

    def test_check_of_a_jammed_instance_ejects_no_endpoint(self):
        async def main():
            owned = make_owned_endpoint(ENDPOINT)
            owned.upstream.pool.open = time_out
            jam(owned.context.own_delay)
            await check_reachable(owned)
            return owned

        assert not curio.run(main).health.ejected


class TestTimeoutOfOwner:
    def call_unreachable_owner(self, monkeypatch, is_jammed):
        async def raise_unreachable(*args):
            raise OwnerUnreachable("timed out")

        monkeypatch.setattr(
            "carawayvale.gateway.forwarding.forward_request",
            raise_unreachable,
        )

        async def main():
            async with open_fleet(2) as fleet:
                node = fleet.daemons[0].node
                owners = node.owners.ownership.owner_lists
                if owners["i-1"][0] == "e1":
                    node = fleet.daemons[1].node
                daemon = next(d for d in fleet.daemons if d.node is node)
                if is_jammed:
                    jam(node.own_delay)
                response = await fleet.call(daemon)
                assert response.head.status == 200
                return dict(node.owners.backoff_until_s)

        return curio.run(main)

    def test_jammed_instance_asks_the_owner_again(self, monkeypatch):
        assert not self.call_unreachable_owner(monkeypatch, True)

    def test_other_instance_does_not_for_a_while(self, monkeypatch):
        assert self.call_unreachable_owner(monkeypatch, False)


class TestSuspicion:
    def test_jammed_instance_gives_others_more_time(self):
        async def main():
            async with open_fleet(2) as fleet:
                node = fleet.daemons[0].node
                jam(node.own_delay)
                fleet.daemons[0]._allow_for_own_delay()
                return node.membership.allowance_s

        assert curio.run(main) > 0.0
