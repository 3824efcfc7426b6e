"""Tests of what callers get from an instance during its planned stop."""

import copy
from dataclasses import replace

import curio
import pytest

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway import daemon as daemon_module
from carawayvale.gateway.settings import Bounds
from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.gateway.tests.test_fleet import DESK_CALL
from carawayvale.platform.tests.examples import CONFIGURATION

GRACE_S = 2.0
LOOKUP_EXPIRY_S = 1.3
SHORT_WORK_S = 0.3
LONG_WORK_S = 5.0
SLOTS = 5
ENDPOINT = "desk-i-1"


@pytest.fixture(autouse=True)
def short_expiry(monkeypatch):
    """Let look-ups expire within the short grace period."""
    monkeypatch.setattr(daemon_module, "LOOKUP_EXPIRY_S", LOOKUP_EXPIRY_S)


async def configure(fleet):
    """Allow long waits, and give all instances a short grace period."""
    table = copy.deepcopy(CONFIGURATION)
    table["version"] += 1
    columns = table["routes"]["columns"]
    for row in table["routes"]["rows"]:
        row[columns.index("timeout")] = "20s"
        row[columns.index("target_latency")] = "15s"
    fleet.store.put("op/config", table)
    await fleet.wait_until(
        lambda: all(
            d.node.catalogue.configuration.version == table["version"]
            for d in fleet.daemons
        )
    )
    for daemon in fleet.daemons:
        bounds = Bounds(grace_s=GRACE_S)
        daemon.settings = replace(daemon.settings, bounds=bounds)


async def book(fleet, daemon):
    """Send one non-idempotent request; return its status."""
    call = dict(DESK_CALL, deadline_ms=20000)
    return (await fleet.call(daemon, **call)).head.status


async def start_bookings(fleet, daemon, number):
    """Send requests at the same time."""
    before = daemon.caller_server.open_requests
    calls = [
        await curio.spawn(book, fleet, daemon, daemon=True)
        for _ in range(number)
    ]
    await fleet.wait_until(
        lambda: daemon.caller_server.open_requests == before + number
    )
    return calls


async def fill_endpoint(fleet, daemon):
    """Let requests with long work take all slots of the endpoint."""
    endpoint = fleet.endpoints[ENDPOINT]
    endpoint.service_time_s = SHORT_WORK_S
    assert await book(fleet, daemon) == 200
    endpoint.service_time_s = LONG_WORK_S
    calls = await start_bookings(fleet, daemon, SLOTS)
    await fleet.wait_until(lambda: len(endpoint.runs) == 1 + SLOTS)
    return calls


def find_owner(fleet):
    """Find the instance that owns the endpoint."""
    return next(d for d in fleet.daemons if d.node.owners.is_owner(ENDPOINT))


def run_scenario(scenario, instances):
    """Run a scenario with a fleet."""

    async def run():
        async with open_fleet(instances=instances) as fleet:
            await configure(fleet)
            await scenario(fleet)

    curio.run(run)


class TestRequestsInProgress:
    # Guards against requests that end without an answer (review/4).
    @pytest.mark.parametrize("instances", [1, 2])
    def test_waiting_requests_are_refused_before_the_end(self, instances):
        async def scenario(fleet):
            owner = find_owner(fleet)
            entry = next((d for d in fleet.daemons if d is not owner), owner)
            endpoint = fleet.endpoints[ENDPOINT]
            running = await fill_endpoint(fleet, entry)
            waiting = await start_bookings(fleet, entry, 3)
            await entry.stop()
            start_s = read_boot_clock()
            assert [await call.join() for call in waiting] == [503] * 3
            assert read_boot_clock() - start_s < GRACE_S
            assert len(endpoint.runs) == 1 + SLOTS
            # Their endpoint is still at work when the stop ends.
            assert [await call.join() for call in running] == [502] * SLOTS
            assert read_boot_clock() - start_s < GRACE_S
            assert len(endpoint.runs) == 1 + SLOTS

        run_scenario(scenario, instances)

    def test_requests_that_can_finish_are_served(self):
        async def scenario(fleet):
            entry = fleet.daemons[0]
            endpoint = fleet.endpoints[ENDPOINT]
            endpoint.service_time_s = SHORT_WORK_S
            assert await book(fleet, entry) == 200
            calls = await start_bookings(fleet, entry, 2 * SLOTS)
            await entry.stop()
            assert {await call.join() for call in calls} == {200}

        run_scenario(scenario, 1)


class TestLateArrivals:
    # Guards against work that a stop cuts without an answer (review/4).
    def test_requests_late_in_a_stop_are_refused_at_once(self):
        async def scenario(fleet):
            entry = fleet.daemons[0]
            endpoint = fleet.endpoints[ENDPOINT]
            await entry.stop()
            assert await book(fleet, entry) == 200
            runs = len(endpoint.runs)
            endpoint.service_time_s = LONG_WORK_S
            await fleet.wait_until(
                lambda: not entry.node.accepts_arrival(read_boot_clock())
            )
            start_s = read_boot_clock()
            assert await book(fleet, entry) == 503
            assert read_boot_clock() - start_s < SHORT_WORK_S
            assert len(endpoint.runs) == runs
            counters = entry.node.observer.metrics.counters
            assert counters[("refusals", "1/stopping")] == 1

        run_scenario(scenario, 2)

    def test_request_that_cannot_finish_is_refused_at_once(self):
        async def scenario(fleet):
            entry = fleet.daemons[0]
            endpoint = fleet.endpoints[ENDPOINT]
            endpoint.service_time_s = GRACE_S
            assert await book(fleet, entry) == 200
            await entry.stop()
            assert await book(fleet, entry) == 503
            assert len(endpoint.runs) == 1

        run_scenario(scenario, 1)

    def test_owner_late_in_its_stop_takes_no_forwarded_request(self):
        """The instance that forwards it may have a later end."""

        async def scenario(fleet):
            owner = find_owner(fleet)
            entry = next(d for d in fleet.daemons if d is not owner)
            endpoint = fleet.endpoints[ENDPOINT]
            await owner.stop()
            await fleet.wait_until(
                lambda: not owner.node.accepts_arrival(read_boot_clock())
            )
            # The entry does not know that the owner is leaving.
            entry.node.owners.list_owners = lambda *_: [owner.settings.name]
            endpoint.service_time_s = LONG_WORK_S
            assert await book(fleet, entry) == 503
            assert not endpoint.runs

        run_scenario(scenario, 2)
