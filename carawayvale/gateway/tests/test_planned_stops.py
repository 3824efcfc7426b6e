"""End-to-end tests of requests in progress while owners stop or fail."""

from dataclasses import replace
import json

import curio
import pytest

from carawayvale.gateway import daemon as daemon_module
from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.gateway.tests.test_fleet import fetch
from carawayvale.links.messages import MemberState

SERVICE_TIME_S = 0.4
KEYS = (b"1", b"2", b"3")


def run_scenario(scenario, **options):
    """Run a scenario with a fleet."""

    async def run():
        async with open_fleet(**options) as fleet:
            await scenario(fleet)

    curio.run(run)


def count_events(fleet, name, suffix=""):
    """Sum a counter of all instances over the matching kinds."""
    return sum(
        number
        for daemon in fleet.daemons
        for (counter, kind), number in (
            daemon.node.observer.metrics.counters.items()
        )
        if counter == name and kind.endswith(suffix)
    )


async def send_call(fleet, daemon, key):
    """Send one request about an object as a caller."""
    return await fleet.call(daemon, key=key)


async def start_calls(fleet):
    """Send requests to all instances, and wait until some are forwarded."""
    for endpoint in fleet.endpoints.values():
        endpoint.service_time_s = SERVICE_TIME_S
    calls = [
        await curio.spawn(send_call, fleet, daemon, key, daemon=True)
        for daemon in fleet.daemons
        for key in KEYS
    ]
    await fleet.wait_until(
        lambda: (
            sum(d.caller_server.open_requests for d in fleet.daemons)
            == len(calls)
            and any(d.internal_server.open_requests for d in fleet.daemons)
        )
    )
    return calls


def list_owners(fleet):
    """List the instances by the number of requests forwarded to them."""
    return sorted(
        fleet.daemons,
        key=lambda daemon: daemon.internal_server.open_requests,
        reverse=True,
    )


def declare_dead(membership, daemon):
    """Merge the verdict of a failure detector that an instance is dead."""
    known = membership.records[daemon.settings.name]
    verdict = replace(known, state=MemberState.DEAD)
    membership.receive(verdict, membership.now_s)


async def join_calls(calls):
    """Wait for all responses, and return their statuses."""
    return {(await call.join()).head.status for call in calls}


class TestLeavingOwners:
    @pytest.mark.parametrize("leaving", [1, 2, 3])
    def test_forwarded_runs_are_not_cut_when_their_owners_leave(self, leaving):
        async def scenario(fleet):
            calls = await start_calls(fleet)
            for daemon in list_owners(fleet)[:leaving]:
                await daemon.stop()
            assert await join_calls(calls) == {200}
            assert count_events(fleet, "lost_owners") == 0
            assert count_events(fleet, "runs", "/cancelled") == 0

        names = ("i-1", "i-2", "i-3", "i-4")
        run_scenario(scenario, instances=3, endpoints=names)


class TestSuspectedOwners:
    def test_runs_at_a_suspected_owner_are_not_cut(self):
        async def scenario(fleet):
            calls = await start_calls(fleet)
            for daemon in fleet.daemons:
                membership = daemon.node.membership
                for name in list(membership.records):
                    if name != daemon.settings.name:
                        membership.suspect(name, membership.now_s)
                await daemon.peers.update_neighbours()
            assert await join_calls(calls) == {200}
            assert count_events(fleet, "lost_owners") == 0
            assert count_events(fleet, "runs", "/cancelled") == 0

        names = ("i-1", "i-2", "i-3", "i-4")
        run_scenario(scenario, instances=3, endpoints=names)

    def test_requests_leave_an_owner_that_is_declared_dead(self):
        async def scenario(fleet):
            calls = await start_calls(fleet)
            owner = list_owners(fleet)[0]
            for daemon in fleet.daemons:
                if daemon is not owner:
                    declare_dead(daemon.node.membership, owner)
                    await daemon.peers.update_neighbours()
            aborted = count_events(fleet, "aborted_forwards", "dead")
            assert aborted > 0
            await join_calls(calls)
            lost = count_events(fleet, "lost_owners")
            assert lost == aborted

        names = ("i-1", "i-2", "i-3", "i-4")
        run_scenario(scenario, instances=3, endpoints=names)


class TestDepartures:
    def test_departing_instance_spreads_no_suspicion(self, monkeypatch):
        monkeypatch.setattr(daemon_module, "LOOKUP_EXPIRY_S", 0.3)

        async def scenario(fleet):
            departing = fleet.daemons[-1]
            task = fleet.tasks[-1]
            await departing.stop()
            await fleet.wait_until(lambda: task.terminated)
            own_name = departing.settings.name
            states = {
                name: record.state
                for name, record in departing.node.membership.records.items()
                if name != own_name
            }
            assert set(states.values()) == {MemberState.ALIVE}

        run_scenario(scenario, instances=4)


class TestAllLeaving:
    # Guards against callers without an instance while all stop in turn.
    def test_look_up_names_those_that_left_lately(self):
        async def scenario(fleet):
            for daemon in fleet.daemons:
                await daemon.stop()
            first = fleet.daemons[0]
            await fleet.wait_until(
                lambda: not first.node.membership.list_serving()
            )
            path = "/resolve?name=hulo.example&region=zurich&zone=zrh-a"
            response = await fetch(first.settings.lookups, path)
            assert response.head.status == 200
            listed = json.loads(response.body)["addresses"]
            assert len(listed) == len(fleet.daemons)
            assert (await fleet.call(fleet.daemons[1])).head.status == 200

        run_scenario(scenario, instances=3)
