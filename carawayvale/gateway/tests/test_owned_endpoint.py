"""Tests of an endpoint's state at its owner."""

from dataclasses import replace

import curio

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import ServiceRecord
from carawayvale.contracts.address import Address
from carawayvale.gateway.crash_reports import CrashReports
from carawayvale.gateway.endpoint_context import EndpointContext
from carawayvale.gateway.endpoint_notices import EndpointNotices
from carawayvale.gateway.observer import RequestObserver
from carawayvale.gateway.owned_endpoint import OwnedEndpoint
from carawayvale.platform.headers import HEADER_NAMES
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
