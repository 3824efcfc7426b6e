"""Tests of an endpoint's state at its owner."""

from dataclasses import replace

import curio

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import ServiceRecord
from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.crash_reports import CrashReports
from carawayvale.gateway.endpoint_context import EndpointContext
from carawayvale.gateway.endpoint_notices import EndpointNotices
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.observer import RequestObserver
from carawayvale.gateway.owned_endpoint import OwnedEndpoint
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.platform.headers import HEADER_NAMES
from carawayvale.platform.tests.fakes import open_raw_port
from carawayvale.steering.load_reports import LoadReport

SERVICE = ServiceRecord("grids", cold_s=3.0, cold_rate=12.0)
ENDPOINT = EndpointRecord(
    "i-1", Address("10.0.0.1", 80), "grids", "zurich", "zrh-a", 5
)


def make_owned_endpoint(endpoint, may_repeat=True):
    """Make an endpoint that an instance without peers owns."""
    observer = RequestObserver()
    context = EndpointContext(
        HEADER_NAMES,
        observer,
        EndpointNotices(HEADER_NAMES, observer, lambda: None),
        CrashReports("e1", observer),
        lambda service: may_repeat,
        lambda name: True,
    )
    return OwnedEndpoint(context, endpoint, SERVICE)


MIB = 1 << 20


def make_upload(request_id, body):
    """Make a request for an owner that may run only once."""
    now_s = read_boot_clock()
    headers = ((b"host", b"a"), (HEADER_NAMES.request_id, request_id))
    request = Request("POST", "/x", headers, body, now_s)
    return OwnerRequest(request, 0, "7", False, now_s + 9.0, now_s + 9.0)


class TestBodyLimit:
    # Guards against an endpoint that gets the bodies at which it crashed at
    # one time again.
    def test_crash_with_large_bodies_limits_what_is_sent(self):
        async def serve(sock):
            arrivals.append(sock)
            while len(arrivals) < 4:
                await curio.sleep(0.01)
            await listener.stop()
            await curio.sleep(0.2)

        async def run():
            record = replace(ENDPOINT, address=listener.address)
            owned = make_owned_endpoint(record)
            task = await curio.spawn(listener.run, daemon=True)
            requests = [
                make_upload(b"r-%d" % n, bytes(4 * MIB)) for n in range(4)
            ]
            async with curio.TaskGroup(wait=all) as group:
                for request in requests:
                    await group.spawn(owned.serve, request)
            outcomes = {result.outcome for result in group.results}
            assert outcomes == {UpstreamOutcome.CRASHED}
            assert not owned.body_limit.reserved_bytes
            assert not owned.body_limit.sent_bytes
            now_s = read_boot_clock()
            assert owned.body_limit.reserve(6 * MIB, now_s)
            result = await owned.serve(requests[0])
            assert result.outcome is UpstreamOutcome.FULL
            owned.body_limit.release(6 * MIB)
            await task.cancel()

        arrivals = []
        listener = open_raw_port(serve)
        curio.run(run)


class TestEjections:
    def test_every_ejection_is_counted(self):
        """An ejection by a reachability check must be counted as well."""
        address = Address("127.0.0.1", 1)
        owned = make_owned_endpoint(replace(ENDPOINT, address=address))
        curio.run(owned.check)
        assert owned.health.ejected
        counters = owned.context.observer.metrics.counters
        assert counters["ejections", "grids"] == 1


class TestColdTimes:
    def test_a_cold_time_ends_without_a_new_report(self):
        """Updates with the same report must not extend the cold time.

        An update follows each change of the catalogue, so the last
        report of an endpoint is applied again long after its cold time.
        """
        cold = replace(ENDPOINT, cold_s=3.0, received_s=100.0)
        owned = make_owned_endpoint(cold)
        owned.update(cold, SERVICE, 100.0)
        assert owned.queue.cold_limit is not None
        for now_s in (102.0, 104.0, 106.0):
            owned.update(cold, SERVICE, now_s)
        assert owned.queue.cold_limit is None

    def test_a_new_report_with_the_same_cold_time_is_applied(self):
        cold = replace(ENDPOINT, cold_s=3.0, received_s=100.0)
        owned = make_owned_endpoint(cold)
        owned.update(cold, SERVICE, 100.0)
        owned.update(replace(cold, received_s=110.0), SERVICE, 110.0)
        assert owned.queue.cold_limit is not None


class TestLoad:
    def test_a_restarted_endpoint_has_reported_nothing(self):
        """Reports of the process before must not reduce the slots."""
        owned = make_owned_endpoint(ENDPOINT)
        owned.record_load(LoadReport(9, 0, 5, 3.0), 0)
        assert owned.queue.endpoint_load.has_pace
        restarted = replace(ENDPOINT, started_ms=ENDPOINT.started_ms + 1)
        owned.update(restarted, SERVICE, 100.0)
        assert not owned.queue.endpoint_load.has_pace
