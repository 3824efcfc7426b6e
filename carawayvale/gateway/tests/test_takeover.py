"""Tests of instances that watch the store in place of another one."""

import curio

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.change_feed import STALE_S
from carawayvale.gateway.tests.test_fleet import run_scenario
from carawayvale.platform.store_responses import StoreFailed

INSTANCES = 5
CUT_OFF = 3
CHANGES = 5
CHANGE_INTERVAL_S = 0.7

# Time in which the takeover is certainly done.
TAKEOVER_S = 5.0


async def fail_silently(*_, **__):
    """Fail a call to the store as if it gave no answer."""
    await curio.sleep(1.0)
    raise StoreFailed("no answer")


def list_by_position(fleet):
    """List the instances in the order in which they watch the store."""
    return sorted(
        fleet.daemons,
        key=lambda daemon: daemon.change_feed.election.find_position(),
    )


async def measure_change(fleet, state):
    """Measure how long a change takes to reach all instances, in seconds."""
    start_s = read_boot_clock()
    fleet.put_report("i-1", state=state)
    await fleet.wait_until(
        lambda: all(
            daemon.node.catalogue.endpoints["i-1"].state.value == state
            for daemon in fleet.daemons
        )
    )
    return read_boot_clock() - start_s


class TestTakeover:
    def test_changes_keep_coming_while_the_first_watchers_are_cut_off(self):
        async def scenario(fleet):
            for daemon in list_by_position(fleet)[:CUT_OFF]:
                daemon.store._call = fail_silently
            await curio.sleep(TAKEOVER_S)
            took_s = []
            for number in range(CHANGES):
                state = "draining" if number % 2 == 0 else "ready"
                took_s.append(await measure_change(fleet, state))
                await curio.sleep(CHANGE_INTERVAL_S)
            assert max(took_s) < STALE_S

        run_scenario(scenario, instances=INSTANCES)

    def test_the_first_watcher_watches_alone_once_it_is_back(self):
        async def scenario(fleet):
            first = list_by_position(fleet)[0]
            call = first.store._call
            first.store._call = fail_silently
            await fleet.wait_until(
                lambda: any(
                    daemon.change_feed.watching
                    for daemon in fleet.daemons
                    if daemon is not first
                )
            )
            first.store._call = call
            await fleet.wait_until(
                lambda: (
                    [d for d in fleet.daemons if d.change_feed.watching]
                    == [first]
                )
            )

        run_scenario(scenario, instances=3)
