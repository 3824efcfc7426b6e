"""Tests of removed entries when the watcher or the store is lost."""

import curio

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.settings import Bounds
from carawayvale.gateway.tests.test_fleet import run_scenario
from carawayvale.gateway.tests.test_takeover import list_by_position
from carawayvale.gateway.watcher_election import MAX_WATCHERS

POLL_S = 0.02

# An endpoint that is removed gets no requests after this time. A part of it
# is left for the requests that are on their way.
REMOVAL_S = Bounds().drain_s - 0.1

# An outage in which entries expire, and the time after it in which endpoints
# write theirs again.
OUTAGE_S = 4.5
WRITTEN_AGAIN_S = 1.0

# Time for which a store that returns from a copy is away.
AWAY_S = 0.8

# Longest time after an outage for which missing entries are kept.
KEPT_S = 3.5


def fall_silent(daemon):
    """Let an instance tell its peers nothing of the store any more."""

    async def drop(update, source):
        pass

    daemon.change_feed._send_update = drop


async def wait_for_single_watcher(fleet):
    """Wait until only the first of the instances watches the store."""
    first = list_by_position(fleet)[0]
    await fleet.wait_until(
        lambda: [d for d in fleet.daemons if d.change_feed.watching] == [first]
    )


async def lose_watchers(fleet, count):
    """Let the first watchers fall silent; return the other instances.

    A change reaches all instances just before, so that all of them wait
    equally long for the next confirmation.
    """
    await wait_for_single_watcher(fleet)
    ordered = list_by_position(fleet)
    fleet.put_report("i-2", state="draining")
    await fleet.wait_until(
        lambda: all(
            d.node.catalogue.endpoints["i-2"].is_draining
            for d in fleet.daemons
        )
    )
    for daemon in ordered[:count]:
        fall_silent(daemon)
    return ordered[count:]


def lists(daemon, name):
    """Tell whether an instance lists an endpoint."""
    return name in daemon.node.catalogue.endpoints


async def measure_removal(fleet, daemons):
    """Measure how long instances list a removed endpoint, in seconds."""
    start_s = read_boot_clock()
    fleet.store.remove("servers/i-1")
    await fleet.wait_until(lambda: not any(lists(d, "i-1") for d in daemons))
    return read_boot_clock() - start_s


async def expire_in_outage(fleet):
    """Let entries expire in an outage; one of them is written again."""
    fleet.store.unresponsive = True
    await curio.sleep(OUTAGE_S)
    for name in ("i-1", "i-2"):
        fleet.store.remove(f"servers/{name}")
    fleet.store.unresponsive = False
    await curio.sleep(WRITTEN_AGAIN_S)
    fleet.put_report("i-1")


async def check_kept(fleet, daemons):
    """Check that all keep the live endpoint and in the end only that."""
    until_s = read_boot_clock() + OUTAGE_S + KEPT_S
    task = await curio.spawn(expire_in_outage, fleet)
    while read_boot_clock() < until_s:
        assert all(lists(daemon, "i-1") for daemon in daemons)
        await curio.sleep(POLL_S)
    await task.join()
    assert not any(lists(daemon, "i-2") for daemon in daemons)


class TestLostWatcher:
    def test_removed_endpoint_is_not_kept_after_the_watcher_is_lost(self):
        # Guards against DRAIN of review/10: silence taken for an outage.
        async def scenario(fleet):
            others = await lose_watchers(fleet, 1)
            assert await measure_removal(fleet, others) < REMOVAL_S

        run_scenario(scenario, instances=4, endpoints=("i-1", "i-2"))

    def test_removed_endpoint_is_not_kept_after_all_watchers_are_lost(self):
        # Guards against DRAIN of review/10: one turn after the other.
        async def scenario(fleet):
            others = await lose_watchers(fleet, MAX_WATCHERS)
            assert await measure_removal(fleet, others) < REMOVAL_S

        run_scenario(
            scenario, instances=MAX_WATCHERS + 2, endpoints=("i-1", "i-2")
        )


class TestOutage:
    def test_live_endpoint_whose_entry_expired_is_kept(self):
        # Guards against taking an outage for the silence of the watcher.
        async def scenario(fleet):
            await wait_for_single_watcher(fleet)
            await check_kept(fleet, fleet.daemons)

        run_scenario(scenario, instances=3, endpoints=("i-1", "i-2"))

    def test_live_endpoint_is_kept_if_the_watcher_is_lost_as_well(self):
        # Guards against taking both for the silence of the watcher.
        async def scenario(fleet):
            others = await lose_watchers(fleet, 1)
            await check_kept(fleet, others)

        run_scenario(scenario, instances=4, endpoints=("i-1", "i-2"))


class TestReturnFromCopy:
    def test_endpoint_that_is_removed_after_the_return_is_not_kept(self):
        # Guards against taking what the store removes for what a copy lacks.
        async def scenario(fleet):
            await wait_for_single_watcher(fleet)
            fleet.store.unresponsive = True
            fleet.store.restore(fleet.store.copy())
            start_s = read_boot_clock()
            fleet.store.remove("servers/i-1")
            await curio.sleep(AWAY_S)
            fleet.store.unresponsive = False
            await fleet.wait_until(
                lambda: not any(lists(d, "i-1") for d in fleet.daemons)
            )
            assert read_boot_clock() - start_s < REMOVAL_S

        run_scenario(scenario, instances=3, endpoints=("i-1", "i-2"))
