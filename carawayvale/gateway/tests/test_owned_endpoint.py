"""Tests of what the owner of an endpoint remembers of it."""

from dataclasses import replace

import curio

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import ServiceRecord
from carawayvale.contracts.address import Address
from carawayvale.gateway.observer import RequestObserver
from carawayvale.gateway.owned_endpoint import OwnedEndpoint
from carawayvale.platform.headers import DIALECT

SERVICE = ServiceRecord("grids", cold_s=3.0, cold_rate=12.0)
ENDPOINT = EndpointRecord(
    "i-1", Address("10.0.0.1", 80), "grids", "zurich", "zrh-a", 5
)


def make_owned(endpoint):
    return OwnedEndpoint(DIALECT, endpoint, SERVICE, RequestObserver())


class TestEjections:
    def test_every_ejection_is_counted(self):
        """Also one that a check of an overdue request brings about."""
        address = Address("127.0.0.1", 1)
        owned = make_owned(replace(ENDPOINT, address=address))
        curio.run(owned.check)
        assert owned.health.ejected
        counters = owned.observer.metrics.counters
        assert counters["ejections", "grids"] == 1


class TestColdTimes:
    def test_an_old_report_counts_once(self):
        """Other entries change for long after an endpoint was cold."""
        cold = replace(ENDPOINT, cold_s=3.0, heard_s=100.0)
        owned = make_owned(cold)
        owned.update(cold, SERVICE, 100.0)
        assert owned.queue.cold_limit is not None
        for now_s in (102.0, 104.0, 106.0):
            owned.update(cold, SERVICE, now_s)
        assert owned.queue.cold_limit is None

    def test_a_new_report_of_the_same_time_counts(self):
        cold = replace(ENDPOINT, cold_s=3.0, heard_s=100.0)
        owned = make_owned(cold)
        owned.update(cold, SERVICE, 100.0)
        owned.update(replace(cold, heard_s=110.0), SERVICE, 110.0)
        assert owned.queue.cold_limit is not None
