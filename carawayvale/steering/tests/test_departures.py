"""Tests of endpoints that said that they are leaving."""

from dataclasses import replace

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.address import Address
from carawayvale.steering.departures import Departures
from carawayvale.steering.departures import MAX_DEPARTURES

ENDPOINT = EndpointRecord(
    "i-1", Address("10.0.0.1", 80), "grids", "zurich", "zrh-a", 5, started_ms=5
)
RESTARTED = replace(ENDPOINT, started_ms=6)


class TestDepartures:
    def test_only_the_process_that_said_so_leaves(self):
        departures = Departures()
        assert departures.record(ENDPOINT)
        assert not departures.record(ENDPOINT)
        assert departures.includes(ENDPOINT)
        assert not departures.includes(RESTARTED)

    def test_late_response_of_an_earlier_process_changes_nothing(self):
        departures = Departures()
        departures.record(RESTARTED)
        assert not departures.record(ENDPOINT)
        assert departures.includes(RESTARTED)

    def test_the_oldest_departures_are_forgotten(self):
        departures = Departures()
        for number in range(MAX_DEPARTURES + 1):
            departures.record(replace(ENDPOINT, name=f"i-{number}"))
        assert not departures.includes(replace(ENDPOINT, name="i-0"))
        assert departures.includes(replace(ENDPOINT, name="i-1"))
