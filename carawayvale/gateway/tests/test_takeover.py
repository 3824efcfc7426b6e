"""Tests of instances that watch the store in place of another one."""

from types import SimpleNamespace

import curio

from carawayvale.catalogue.outages import OutageDetector
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.change_feed import ChangeFeed
from carawayvale.gateway.configuration_age import ConfigurationAge
from carawayvale.gateway.settings import Bounds
from carawayvale.gateway.tests.test_fleet import run_scenario
from carawayvale.platform.store_responses import StoreFailed

# With the rest, several instances take over at nearly the same time.
INSTANCES = 7
CUT_OFF = 3
CHANGES = 4
CHANGE_INTERVAL_S = 0.9

# Longest time for a change to reach all instances after a takeover.
MAX_CHANGE_S = 1.0

# Time after which another instance has taken over.
TAKEOVER_S = 3.6


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


def make_feed(position, heard_s):
    """Make the feed of an instance with a position among the watchers."""
    age = ConfigurationAge(Bounds)
    feed = ChangeFeed(
        None,
        SimpleNamespace(membership=None),
        None,
        SimpleNamespace(age=age),
        OutageDetector(),
    )
    feed.election = SimpleNamespace(find_position=lambda: position)
    feed.complete = True
    feed.heard_s = heard_s
    return feed


class TestOrder:
    """Decisions of instances that hear nothing, and then each other."""

    def test_one_of_several_that_have_taken_over_goes_on(self):
        feeds = [make_feed(position, 0.0) for position in (2, 3, 4, 5)]
        now_s = 10.0
        while now_s < 40.0:
            for feed in feeds:
                feed.update_watching(now_s)
            watching = [feed for feed in feeds if feed.watching]
            assert watching
            for feed in feeds:
                if watching != [feed]:
                    feed.heard_s = now_s
            now_s += 0.25
        assert watching == feeds[:1]

    def test_an_instance_stops_for_the_first_one_after_its_hold(self):
        feed = make_feed(1, 0.0)
        feed.update_watching(10.0)
        assert feed.watching
        feed.heard_s = feed.hold_until_s
        feed.update_watching(feed.hold_until_s)
        assert not feed.watching


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
            assert max(took_s) < MAX_CHANGE_S

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
