"""Tests of the links of an instance with its peers, over real sockets."""

import cbor2
import curio
from loguru import logger
import pytest

from carawayvale.contracts.clock import Clock
from carawayvale.links import handlers  # noqa: F401  registers handlers
from carawayvale.links import Heartbeat
from carawayvale.links import LinkBroken
from carawayvale.links import Members
from carawayvale.links import Membership
from carawayvale.links import MembersRequest
from carawayvale.links.messages import encode_message
from carawayvale.links.messages import MESSAGE_TYPES
from carawayvale.links import open_link
from carawayvale.links.peer_link import PLAIN_PREFIX
from carawayvale.links import PeerCallbacks
from carawayvale.links import PeerTable
from carawayvale.links.sockets import open_socket_pair
from carawayvale.links.tests.test_membership import make_record

KEY = b"k" * 16
TIMEOUT_S = 5.0

# The empty reports that gateways of earlier versions send each second.
EARLIER_CODE = 13
EARLIER_REPORTS = [EARLIER_CODE, [], [], 0.0, []]

MALFORMED = {
    "no CBOR": b"\xff",
    "no list": cbor2.dumps({"code": EARLIER_CODE}),
    "no fields": cbor2.dumps([]),
    "code of another type": cbor2.dumps(["13"]),
    "negative code": cbor2.dumps([-1]),
    "code out of range": cbor2.dumps([1 << 80]),
    "too few fields": cbor2.dumps([Heartbeat.code, 1]),
    "field of another type": cbor2.dumps([Heartbeat.code, 1, "v", 2]),
    "handshake message": encode_message(MESSAGE_TYPES[1](b"n")),
}


async def ignore_changes():
    """Do nothing after a change of the member list."""


def make_table():
    """Make the links of an instance without a document."""
    return PeerTable(
        KEY,
        (),
        Clock(),
        None,
        Membership(make_record("server")),
        None,
        PeerCallbacks(ignore_changes),
    )


async def receive_members(link):
    """Receive messages up to a member list."""
    while not isinstance(await link.receive(), Members):
        continue


async def exchange_after(table, payloads):
    """Send payloads, then request the member list.

    :param table: the links of the receiving instance.
    :param payloads: encoded messages.
    :raises LinkBroken: if the receiving instance closes the link.
    """
    first, second = open_socket_pair()
    async with first, second, curio.timeout_after(TIMEOUT_S):
        server = await curio.spawn(table.accept, first)
        try:
            link = await open_link(second, KEY, make_record("client"))
            await receive_members(link)
            for payload in payloads:
                link.protocol.send_binary(PLAIN_PREFIX + payload)
            await link.send_now(MembersRequest())
            await receive_members(link)
        finally:
            await server.cancel()


@pytest.fixture
def earlier_payload(monkeypatch):
    """Encode reports of earlier gateways, whose type is not imported."""
    monkeypatch.delitem(MESSAGE_TYPES, EARLIER_CODE, raising=False)
    return cbor2.dumps(EARLIER_REPORTS)


class TestMessagesOfPeers:
    def test_messages_of_earlier_gateways_do_not_close_the_link(
        self, earlier_payload
    ):
        curio.run(exchange_after, make_table(), [earlier_payload] * 3)

    def test_skipped_messages_are_counted_and_logged_once_a_link(
        self, earlier_payload
    ):
        lines = []
        sink_id = logger.add(lines.append, level="INFO")
        table = make_table()
        curio.run(exchange_after, table, [earlier_payload] * 3)
        curio.run(exchange_after, table, [earlier_payload] * 2)
        logger.remove(sink_id)
        assert table.measure_traffic().skipped_messages == 5
        skipped = [line for line in lines if "message_skipped" in line]
        assert len(skipped) == 2
        assert all("peer=client code=13" in line for line in skipped)

    @pytest.mark.parametrize("payload", MALFORMED.values(), ids=MALFORMED)
    def test_malformed_message_closes_the_link(self, payload):
        with pytest.raises(LinkBroken):
            curio.run(exchange_after, make_table(), [payload])
