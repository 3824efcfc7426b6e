"""Tests of keys at instances whose configuration is old."""

from contextlib import asynccontextmanager

import curio
import pytest

from carawayvale.commands.request_timeline import GLOBAL_EVENTS
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway import configuration_age
from carawayvale.gateway.settings import Bounds
from carawayvale.gateway.tests.fleet import GatewayFleet
from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.gateway.tests.test_fleet import fetch
from carawayvale.gateway.tests.test_organisations import authorize
from carawayvale.gateway.tests.test_organisations import DESK_KEY
from carawayvale.gateway.tests.test_organisations import list_runs
from carawayvale.gateway.tests.test_organisations import make_configuration
from carawayvale.gateway.tests.test_organisations import PRESS_KEY
from carawayvale.gateway.tests.test_organisations import put_configuration
from carawayvale.gateway.tests.test_store_return import turn_away
from carawayvale.steering.freshness import NO_READING

BOUNDS = Bounds(apply_s=3.0, revoke_s=5.0)

# Longer than ``revoke_s`` after the latest reading that counts.
OUTAGE_S = 6.5

# Path of the route of example requests that needs no key in these tests.
ANONYMOUS_CALL = {
    "method": "POST",
    "path": "/puka/x",
    "host": b"jepu9.example",
}
ANONYMOUS_ROUTE = 0

GAUGE = b"carawayvale_configuration_read_age_s{"

# Instances that do not form a full mesh.
LARGE_REGION = 12


class LimitedFleet(GatewayFleet):
    """A fleet whose deployment limits the age of the configuration."""

    bounds = BOUNDS


class LoggedEvents:
    """Recorder of the log lines about the refusal of keyed requests."""

    def __init__(self, monkeypatch):
        self.names = []
        monkeypatch.setattr(configuration_age, "log_event", self.record)

    def record(self, name, *_, **fields):
        """Record one line."""
        self.names.append(name)


def make_mixed_configuration():
    """Make a configuration with a route that needs no key."""
    table = make_configuration(anonymous=None)
    columns = table["routes"]["columns"]
    row = table["routes"]["rows"][ANONYMOUS_ROUTE]
    row[columns.index("anonymous")] = True
    return table


def run_limited(scenario, fleet_class=LimitedFleet, **options):
    """Run a scenario with instances that know two keys."""

    async def run():
        async with open_fleet(fleet_class=fleet_class, **options) as fleet:
            await put_configuration(fleet, make_mixed_configuration())
            await scenario(fleet)

    curio.run(run)


def find_age(daemon):
    """Find the age of the configuration of an instance."""
    return daemon.node.configuration_age.find_age(read_boot_clock())


def record_reasons(daemon):
    """Record whether the age is the reason for a call to the store."""
    age = daemon.node.configuration_age
    reasons = []

    def wrap(decide):
        def record(*arguments):
            reasons.append(decide(*arguments))
            return reasons[-1]

        return record

    age.needs_own_reading = wrap(age.needs_own_reading)
    age.is_urgent = wrap(age.is_urgent)
    return reasons


async def wait_for_one_watcher(fleet):
    """Wait until only one instance watches the store."""
    await fleet.wait_until(
        lambda: sum(d.change_feed.watching for d in fleet.daemons) == 1
    )


async def call_with_key(fleet, daemon, key=PRESS_KEY, **options):
    """Send a request with a key; return the response."""
    return await fleet.call(daemon, headers=authorize(key), **options)


async def assert_keys_refused(fleet, daemon):
    """Check that requests with a known key do not run, and others do."""
    count = len(list_runs(fleet))
    response = await call_with_key(fleet, daemon)
    assert response.head.status == 503
    assert float(response.head.find(b"retry-after")) > 0
    assert len(list_runs(fleet)) == count
    counters = daemon.node.observer.metrics.counters
    assert counters["refusals", "3/old_configuration"] >= 1
    response = await fleet.call(daemon, **ANONYMOUS_CALL)
    assert response.head.status == 200


async def assert_served(fleet, daemon):
    """Check that a request with a key is served."""
    response = await call_with_key(fleet, daemon)
    assert response.head.status == 200


@asynccontextmanager
async def cut_links(daemon):
    """Let an instance hear nothing from its peers meanwhile."""

    async def ignore(link, message):
        return None

    handle, daemon.peers.handle_message = daemon.peers.handle_message, ignore
    for active in list(daemon.peers.links.values()):
        await active.link.close()
    try:
        yield
    finally:
        daemon.peers.handle_message = handle
        for active in list(daemon.peers.links.values()):
            await active.link.close()


class TestCalm:
    @pytest.mark.parametrize("instances", (3, LARGE_REGION))
    def test_ages_stay_low_without_additional_calls(self, instances):
        """Each call to the store has a cost."""

        async def scenario(fleet):
            await fleet.wait_until(
                lambda: all(find_age(d) < 2.0 for d in fleet.daemons)
            )
            reasons = [record_reasons(daemon) for daemon in fleet.daemons]
            for _ in range(50):
                await curio.sleep(0.1)
                assert max(find_age(d) for d in fleet.daemons) < 3.0
            assert all(reasons)
            for reason in reasons:
                assert not any(reason)
            for daemon in fleet.daemons[:3]:
                await assert_served(fleet, daemon)

        run_limited(scenario, instances=instances)

    def test_an_unknown_key_gets_401(self):
        async def scenario(fleet):
            response = await call_with_key(fleet, fleet.daemons[0], b"none")
            assert response.head.status == 401

        run_limited(scenario)

    def test_the_age_is_a_metric(self):
        async def scenario(fleet):
            response = await fetch(
                fleet.daemons[0].settings.metrics, "/metrics"
            )
            (line,) = [
                text
                for text in response.body.splitlines()
                if text.startswith(GAUGE)
            ]
            assert 0.0 <= float(line.split()[-1]) < 3.0

        run_limited(scenario)

    def test_a_step_of_the_wall_clock_changes_no_age(self, monkeypatch):
        async def scenario(fleet):
            wall_s = [1e9, 3e9]
            monkeypatch.setattr("time.time", lambda: wall_s[0])
            for _ in range(2):
                wall_s.reverse()
                await curio.sleep(1.2)
                assert 0.0 <= find_age(fleet.daemons[0]) < 3.0
                await assert_served(fleet, fleet.daemons[0])

        run_limited(scenario)


class TestLostStore:
    def test_instances_cut_off_from_the_store_hear_from_peers(self):
        """The store also rejects the instance that watched it."""

        async def scenario(fleet):
            await wait_for_one_watcher(fleet)
            (watcher,) = [d for d in fleet.daemons if d.change_feed.watching]
            turn_away(watcher)
            for _ in range(int(OUTAGE_S / 0.5)):
                await curio.sleep(0.5)
                await assert_served(fleet, watcher)

        run_limited(scenario, instances=3)

    @pytest.mark.parametrize(
        "outage", ({"unresponsive": True}, {"status": 500})
    )
    def test_without_the_store_keyed_requests_are_refused(
        self, outage, monkeypatch
    ):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            events = LoggedEvents(monkeypatch)
            for name, value in outage.items():
                setattr(fleet.store, name, value)
            await assert_served(fleet, daemon)
            await curio.sleep(BOUNDS.apply_s + 0.5)
            # The unknown key may be new, and the known one still counts.
            response = await call_with_key(fleet, daemon, b"none")
            assert response.head.status == 503
            assert response.head.find(b"retry-after")
            await curio.sleep(OUTAGE_S - BOUNDS.apply_s)
            await assert_keys_refused(fleet, daemon)
            fleet.store.unresponsive, fleet.store.status = False, 200
            await fleet.wait_until(lambda: find_age(daemon) < 3.0)
            await assert_served(fleet, daemon)
            await fleet.wait_until(lambda: len(events.names) == 2)
            assert events.names == [
                "keyed_requests_refused",
                "keyed_requests_accepted",
            ]
            assert GLOBAL_EVENTS.issuperset(events.names)

        run_limited(scenario)

    def test_a_slow_store_is_read_in_time(self):
        async def scenario(fleet):
            handle = fleet.store._handle

            async def handle_slowly(request):
                await curio.sleep(0.24)
                return await handle(request)

            fleet.store._handle = handle_slowly
            for _ in range(12):
                await curio.sleep(0.5)
                for daemon in fleet.daemons:
                    await assert_served(fleet, daemon)

        run_limited(scenario, instances=3)

    def test_an_instance_started_without_the_store_hears_from_peers(self):
        async def scenario(fleet):
            address = fleet.store_address
            fleet.store_address = type(address)("127.0.0.1", 1)
            daemon = await fleet.add_instance("late")
            fleet.store_address = address
            # The store lists no instance that has never reached it.
            daemon.peers.seeds = tuple(
                d.settings.peers for d in fleet.daemons[:-1]
            )
            await fleet.wait_until(lambda: daemon.node.is_ready)
            await fleet.wait_until(lambda: find_age(daemon) < 3.0)
            await assert_served(fleet, daemon)

        run_limited(scenario, instances=2)

    def test_after_the_stores_return_readings_of_its_new_epoch_count(self):
        async def scenario(fleet):
            fleet.store.restore(fleet.store.copy())
            await fleet.wait_until(
                lambda: all(d.store.epoch == 1 for d in fleet.daemons)
            )
            await fleet.wait_until(
                lambda: all(find_age(d) < 3.0 for d in fleet.daemons)
            )
            for daemon in fleet.daemons:
                await assert_served(fleet, daemon)

        run_limited(scenario, instances=3)


class TestMixedVersions:
    def test_an_instance_whose_peers_report_no_age_reads_by_itself(self):
        """Peers of an earlier version send changes only."""

        async def scenario(fleet):
            async def ignore(link, report):
                return None

            for daemon in fleet.daemons:
                daemon.age_reports.receive = ignore
            for _ in range(int(OUTAGE_S / 0.5)):
                await curio.sleep(0.5)
                for daemon in fleet.daemons:
                    await assert_served(fleet, daemon)

        run_limited(scenario, instances=3)


class TestRemovedKey:
    def test_an_isolated_instance_refuses_it_in_time(self):
        """It cannot know that the key was removed."""

        async def scenario(fleet):
            isolated, other = fleet.daemons[:2]
            async with cut_links(isolated):
                turn_away(isolated)
                changed = make_mixed_configuration()
                changed["version"] += 1
                changed["tenants"]["rows"].pop()
                fleet.store.put("op/config", changed)
                await curio.sleep(BOUNDS.revoke_s + 0.01)
                await assert_keys_refused(fleet, isolated)
                count = len(list_runs(fleet))
                for daemon, status in ((isolated, 503), (other, 401)):
                    response = await call_with_key(fleet, daemon, DESK_KEY)
                    assert response.head.status == status
                assert len(list_runs(fleet)) == count
            # Peers tell it of the removal and of the store's readings.
            await fleet.wait_until(lambda: find_age(isolated) < 3.0)
            await assert_served(fleet, isolated)
            response = await call_with_key(fleet, isolated, DESK_KEY)
            assert response.head.status == 401

        run_limited(scenario, instances=3)

    def test_a_request_that_was_sent_before_the_removal_may_run(self):
        """It waits at the owner, or on the hop to it, meanwhile."""

        async def scenario(fleet):
            for endpoint in fleet.endpoints.values():
                endpoint.service_time_s = 1.0
            tasks = [
                await curio.spawn(call_with_key, fleet, daemon, DESK_KEY)
                for daemon in fleet.daemons
            ]
            await fleet.wait_until(lambda: list_runs(fleet))
            changed = make_mixed_configuration()
            changed["version"] += 1
            changed["tenants"]["rows"].pop()
            await put_configuration(fleet, changed)
            for task in tasks:
                response = await task.join()
                assert response.head.status == 200

        run_limited(scenario, instances=3)


class TestUnlimitedAge:
    def test_keys_count_for_any_time_without_the_bound(self):
        async def scenario(fleet):
            fleet.store.unresponsive = True
            await curio.sleep(OUTAGE_S)
            for daemon in fleet.daemons:
                response = await fetch(daemon.settings.metrics, "/metrics")
                assert GAUGE not in response.body
                assert not daemon.age_reports.links
                assert daemon.node.configuration_age.freshness.latest is (
                    NO_READING
                )
                await assert_served(fleet, daemon)
                response = await call_with_key(fleet, daemon, b"none")
                assert response.head.status == 401

        run_limited(scenario, fleet_class=GatewayFleet, instances=2)
