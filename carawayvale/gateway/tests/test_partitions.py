"""Tests of instances that are partitioned from all endpoints."""

from contextlib import asynccontextmanager
import copy
import time

import curio
import pytest

from carawayvale.gateway import daemon as daemon_module
from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.gateway.tests.partitions import Partition
from carawayvale.gateway.tests.partitions import PartitionedFleet
from carawayvale.gateway.tests.test_fleet import DESK_CALL
from carawayvale.gateway.tests.test_fleet import fetch
from carawayvale.links.messages import MemberState
from carawayvale.platform.tests.examples import CONFIGURATION

ENDPOINTS = tuple(f"i-{n}" for n in range(6))

# Two instances of a failure domain, and one of another in the region.
ZONE_DOMAINS = ("zrh-a", "zrh-a", "zrh-b")

STABLE_WINDOW_S = 3.0
PAUSE_S = 2.0
CALL_INTERVAL_S = 0.03
CALLS = 30
MIN_SERVED = 0.9


def run_partition(scenario, **options):
    """Run a scenario with a fleet that can be partitioned."""
    options = {
        "instances": 3,
        "endpoints": ENDPOINTS,
        "domains": ZONE_DOMAINS,
        "fleet_class": PartitionedFleet,
        **options,
    }

    async def run():
        async with open_fleet(**options) as fleet:
            try:
                await scenario(fleet)
            finally:
                for relays in fleet.relays.values():
                    for relay in relays.values():
                        await relay.stop()

    curio.run(run)


async def call_often(fleet, daemon):
    """Send requests to an instance until cancelled."""
    number = 0
    while True:
        number += 1
        options = DESK_CALL if number % 3 == 0 else {}
        await curio.spawn(
            call_once, fleet, daemon, number, options, daemon=True
        )
        await curio.sleep(CALL_INTERVAL_S)


async def call_once(fleet, daemon, number, options):
    """Send one request and return its status."""
    key = b"%d" % (number % 23)
    response = await fleet.call(daemon, key=key, **options)
    return response.head.status


@asynccontextmanager
async def open_traffic(fleet, daemons):
    """Send requests to instances meanwhile."""
    tasks = [
        await curio.spawn(call_often, fleet, daemon, daemon=True)
        for daemon in daemons
    ]
    try:
        yield
    finally:
        for task in tasks:
            await task.cancel()


async def count_served(fleet, daemon, **options):
    """Return the share of requests to an instance that are served."""
    tasks = []
    for number in range(CALLS):
        tasks.append(
            await curio.spawn(call_once, fleet, daemon, number, options)
        )
        await curio.sleep(CALL_INTERVAL_S)
    statuses = [await task.join() for task in tasks]
    return statuses.count(200) / CALLS


def find_state(fleet, observer, name):
    """Return the state of an instance as another one sees it."""
    return fleet.daemons[observer].node.membership.records[name].state


async def wait_state(fleet, names, state, observer=-1):
    """Wait until an instance sees others in a state."""
    await fleet.wait_until(
        lambda: all(find_state(fleet, observer, n) is state for n in names)
    )


@pytest.mark.parametrize("partition", Partition)
class TestPartitionedZone:
    """All instances of a failure domain are partitioned."""

    def test_requests_are_served_after_the_stable_window(self, partition):
        async def scenario(fleet):
            async with open_traffic(fleet, fleet.daemons):
                await curio.sleep(1.0)
                for name in ("e1", "e2"):
                    await fleet.cut(name, partition)
                await curio.sleep(STABLE_WINDOW_S)
            for daemon in fleet.daemons:
                for options in ({}, DESK_CALL):
                    served = await count_served(fleet, daemon, **options)
                    assert served >= MIN_SERVED, daemon.settings.name

        run_partition(scenario)

    def test_endpoints_are_owned_and_used_again_afterwards(self, partition):
        async def scenario(fleet):
            async with open_traffic(fleet, fleet.daemons):
                for name in ("e1", "e2"):
                    await fleet.cut(name, partition)
                await wait_state(fleet, ("e1", "e2"), MemberState.IDLE)
                for name in ("e1", "e2"):
                    await fleet.heal(name)
                await wait_state(fleet, ("e1", "e2"), MemberState.ALIVE)
            for daemon in fleet.daemons:
                owned = daemon.node.owned.values()
                assert not [o for o in owned if o.health.ejected]
                assert await count_served(fleet, daemon) >= MIN_SERVED

        run_partition(scenario)


class TestPartitionedInstance:
    def test_requests_in_progress_complete_on_live_connections(self):
        async def scenario(fleet):
            slow_s = 1.0
            for endpoint in fleet.endpoints.values():
                endpoint.service_time_s = slow_s
            task = await curio.spawn(
                call_once, fleet, fleet.daemons[0], 1, DESK_CALL
            )
            desks = [fleet.endpoints[f"desk-{n}"] for n in ENDPOINTS]
            await fleet.wait_until(lambda: any(e.runs for e in desks))
            for endpoint in fleet.endpoints.values():
                endpoint.service_time_s = 0.0
            await fleet.cut("e1", Partition.REFUSE)
            async with open_traffic(fleet, fleet.daemons):
                status = await task.join()
            assert status == 200

        run_partition(scenario, instances=2, domains=("zrh-a",))

    def test_it_is_ready_and_reports_the_partition(self):
        async def scenario(fleet):
            first = fleet.daemons[0]
            async with open_traffic(fleet, fleet.daemons):
                await fleet.cut("e1", Partition.RESET)
                await wait_state(fleet, ("e1",), MemberState.IDLE)
            ready = await fetch(first.settings.readiness, "/ready")
            assert ready.head.status == 200
            metrics = await fetch(first.settings.metrics, "/metrics")
            gauge = b'carawayvale_endpoints_partitioned{kind=""} 1.0'
            assert gauge in metrics.body.splitlines()
            path = "/resolve?name=a&region=zurich&zone=zrh-a"
            for daemon in fleet.daemons:
                found = await fetch(daemon.settings.lookups, path)
                assert str(first.settings.callers).encode() not in found.body

        run_partition(scenario)

    def test_a_new_configuration_does_not_make_it_serve(self):
        async def scenario(fleet):
            first = fleet.daemons[0]
            async with open_traffic(fleet, fleet.daemons):
                await fleet.cut("e1", Partition.RESET)
                await wait_state(fleet, ("e1",), MemberState.IDLE)
                changed = copy.deepcopy(CONFIGURATION)
                changed["version"] += 1
                fleet.store.put("op/config", changed)
                await fleet.wait_until(
                    lambda: (
                        first.node.catalogue.configuration.version
                        == changed["version"]
                    )
                )
                fleet.put_report("i-1", cold_left="1ms")
                await curio.sleep(1.0)
            assert first.node.membership.own_record.state is MemberState.IDLE

        run_partition(scenario)

    def test_a_pause_does_not_make_it_serve(self):
        """Right after a pause of the process no peer was heard lately."""

        async def scenario(fleet):
            async with open_traffic(fleet, fleet.daemons):
                await fleet.cut("e1", Partition.RESET)
                await wait_state(fleet, ("e1",), MemberState.IDLE)
                time.sleep(PAUSE_S)
                await curio.sleep(1.0)
            own_record = fleet.daemons[0].node.membership.own_record
            assert own_record.state is MemberState.IDLE

        run_partition(scenario)

    def test_a_planned_stop_completes(self, monkeypatch):
        monkeypatch.setattr(daemon_module, "LOOKUP_EXPIRY_S", 1.0)

        async def scenario(fleet):
            async with open_traffic(fleet, fleet.daemons[1:]):
                await fleet.cut("e1", Partition.RESET)
                await wait_state(fleet, ("e1",), MemberState.IDLE)
                await fleet.daemons[0].stop()
                await fleet.heal("e1")
                states = set()

                def has_left():
                    states.add(find_state(fleet, -1, "e1"))
                    return MemberState.DEAD in states

                await fleet.wait_until(has_left)
                assert states == {MemberState.IDLE, MemberState.DEAD}

        run_partition(scenario)


class TestNoPartition:
    def test_an_unreachable_service_leaves_the_owners_unchanged(self):
        async def scenario(fleet):
            async with open_traffic(fleet, fleet.daemons):
                for relays in fleet.relays.values():
                    for address, relay in relays.items():
                        grids = [fleet.endpoints[n] for n in ENDPOINTS]
                        if str(address) in [e.entry["address"] for e in grids]:
                            await relay.cut(Partition.RESET)
                await curio.sleep(STABLE_WINDOW_S)
            for daemon in fleet.daemons:
                assert len(daemon.node.membership.list_serving()) == 3
                version = daemon.node.membership.own_record.version
                assert version == 1

        run_partition(scenario)

    def test_the_last_serving_instance_keeps_its_endpoints(self):
        async def scenario(fleet):
            async with open_traffic(fleet, fleet.daemons):
                await fleet.cut("e1", Partition.RESET)
                await curio.sleep(STABLE_WINDOW_S)
                assert fleet.daemons[0].node.membership.list_serving()
                await fleet.heal("e1")

        run_partition(scenario, instances=1)

    def test_all_serve_again_after_all_were_partitioned(self):
        async def scenario(fleet):
            names = ("e1", "e2", "e3")
            async with open_traffic(fleet, fleet.daemons):
                for name in names:
                    await fleet.cut(name, Partition.RESET)
                await curio.sleep(STABLE_WINDOW_S)
                for name in names:
                    await fleet.heal(name)
                for observer in range(3):
                    await wait_state(fleet, names, MemberState.ALIVE, observer)
                await fleet.wait_until(
                    lambda: (
                        not any(
                            owned.health.ejected
                            for daemon in fleet.daemons
                            for owned in daemon.node.owned.values()
                        )
                    )
                )
            for daemon in fleet.daemons:
                assert await count_served(fleet, daemon) >= MIN_SERVED

        run_partition(scenario)
