"""Tests of the checks of endpoints with overdue requests."""

from dataclasses import replace

import curio

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.tests.test_owned_endpoint import make_owned_endpoint
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.links.http import ConnectFailed
from carawayvale.platform.headers import HEADER_NAMES
from carawayvale.platform.tests.fakes import FakeEndpoint
from carawayvale.platform.tests.fakes import open_port

ENDPOINT = EndpointRecord(
    "i-1", Address("10.0.0.1", 80), "grids", "zurich", "zrh-a", 5
)
SERVICE_TIME_S = 0.3
POLL_S = 0.01


def make_request():
    """Make an idempotent request for an owner."""
    now_s = read_boot_clock()
    headers = (
        (b"host", b"hulo.example"),
        (HEADER_NAMES.request_id, b"r-1"),
    )
    request = Request("GET", "/x", headers, b"", now_s)
    return OwnerRequest(request, 0, "7", True, now_s + 5.0, now_s + 5.0)


async def time_out(timeout_s):
    """Fail to open a connection, as to an endpoint that is silent."""
    raise ConnectFailed("timed out")


async def check_while_running(endpoint, open_connection=None):
    """Check an endpoint that runs a request but accepts no connection.

    :param open_connection: replaces the opening of the check's connection.
    :returns: the result of the request.
    """
    listener = open_port(endpoint.handle)
    server = await curio.spawn(listener.run, daemon=True)
    owned = make_owned_endpoint(
        replace(ENDPOINT, address=listener.address), may_repeat=False
    )
    running = await curio.spawn(owned.serve, make_request())
    while not endpoint.runs:
        await curio.sleep(POLL_S)
    await listener.stop()
    if open_connection is not None:
        owned.upstream.pool.open = open_connection
    await owned.check()
    assert owned.health.ejected
    result = await running.join()
    await server.cancel()
    return result


class TestNoticesOfChecks:
    """What an endpoint says in the response to a health check counts."""

    def check(self, status, *headers):
        async def run():
            name = (HEADER_NAMES.endpoint, b"i-1")

            async def respond(request):
                return Response(status, (name, *headers))

            listener = open_port(respond)
            server = await curio.spawn(listener.run, daemon=True)
            owned = make_owned_endpoint(
                replace(ENDPOINT, address=listener.address)
            )
            owned.health.eject(read_boot_clock())
            await owned.check()
            await server.cancel()
            return owned

        return curio.run(run)

    def test_pause_in_the_response_to_a_check_is_kept(self):
        owned = self.check(503, (b"retry-after", b"7"))
        assert 6.0 < owned.find_pause(read_boot_clock()) <= 7.0
        assert not owned.needs_check(read_boot_clock() + 6.0)

    def test_limit_and_departure_in_a_response_to_a_check_count(self):
        limit, leaving = (b"server-limit", b"3.5"), (b"server-leaving", b"1")
        owned = self.check(200, limit, leaving)
        assert owned.stated_limit.rate == 3.5
        assert not owned.is_available

    def test_response_of_another_endpoint_does_not_count(self):
        other = (HEADER_NAMES.endpoint, b"i-2")
        owned = self.check(421, other, (b"server-limit", b"3.5"))
        assert not owned.stated_limit.is_limited


class TestOverdueRequests:
    def test_endpoint_that_refuses_connections_finishes_what_it_runs(self):
        endpoint = FakeEndpoint("i-1", service_time_s=SERVICE_TIME_S)
        result = curio.run(check_while_running, endpoint)
        assert result.outcome is UpstreamOutcome.ANSWERED
        assert endpoint.cancelled == 0

    def test_request_at_a_silent_endpoint_is_aborted(self):
        endpoint = FakeEndpoint("i-1", service_time_s=SERVICE_TIME_S)
        result = curio.run(check_while_running, endpoint, time_out)
        assert result.outcome is UpstreamOutcome.FAILED
