"""Tests that endpoints get no more requests than they name."""

import curio

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.tests.test_fleet import run_scenario

RATE = 4.0
CALL_INTERVAL_S = 0.03
CALL_TIME_S = 7.0
WINDOW_S = 4.0

# Time after the first response that names the limit; requests that wait
# or run by then may still arrive.
GRACE_S = 1.0

# Requests that an endpoint may get in a window, from the callers' contract.
MAX_REQUESTS = 1.5 * RATE * WINDOW_S + 5


async def call_steadily(fleet, duration_s):
    """Send requests to all instances in turn for some time."""
    end_s = read_boot_clock() + duration_s
    async with curio.TaskGroup() as group:
        number = 0
        while read_boot_clock() < end_s:
            daemon = fleet.daemons[number % len(fleet.daemons)]
            await group.spawn(fleet.call(daemon, key=b"%d" % (number % 5)))
            await curio.sleep(CALL_INTERVAL_S)
            number += 1


def find_owner(fleet, endpoint):
    """Find the instance that owns an endpoint."""
    node = fleet.daemons[0].node
    name = node.owners.ownership.owner_lists[endpoint][0]
    return next(d for d in fleet.daemons if d.settings.name == name)


def find_most(times_s, window_s):
    """Find the largest number of times in any window."""
    return max(
        sum(start_s <= t < start_s + window_s for t in times_s)
        for start_s in times_s
    )


class TestStatedLimits:
    def test_endpoint_gets_no_more_requests_than_it_names(self):
        async def scenario(fleet):
            endpoint = fleet.endpoints["i-1"]
            endpoint.rate_limit = str(RATE)
            start_s = read_boot_clock()
            await call_steadily(fleet, CALL_TIME_S)
            times_s = [r.arrived_s for r in endpoint.runs]
            late_s = [t for t in times_s if t > start_s + GRACE_S]
            assert find_most(late_s, WINDOW_S) <= MAX_REQUESTS

        run_scenario(scenario, instances=3)

    def test_limit_holds_while_the_owner_changes(self):
        async def scenario(fleet):
            endpoint = fleet.endpoints["i-1"]
            endpoint.rate_limit = str(RATE)
            owner = find_owner(fleet, "i-1")
            start_s = read_boot_clock()
            async with curio.TaskGroup() as group:
                await group.spawn(call_steadily, fleet, CALL_TIME_S)
                await curio.sleep(CALL_TIME_S / 2)
                await owner.stop()
            others = [d for d in fleet.daemons if d is not owner]
            assert all(
                d.node.owners.ownership.owner_lists["i-1"][0]
                != owner.settings.name
                for d in others
            )
            times_s = [r.arrived_s for r in endpoint.runs]
            late_s = [t for t in times_s if t > start_s + GRACE_S]
            assert find_most(late_s, WINDOW_S) <= MAX_REQUESTS
            after_s = start_s + CALL_TIME_S / 2 + GRACE_S
            assert any(t > after_s for t in times_s)

        run_scenario(scenario, instances=3)

    def test_endpoint_is_used_fully_again_after_its_limit(self):
        async def scenario(fleet):
            endpoint = fleet.endpoints["i-1"]
            endpoint.rate_limit = str(RATE)
            await call_steadily(fleet, 2.0)
            endpoint.rate_limit = ""
            await call_steadily(fleet, 2.0)
            endpoint.runs.clear()
            await call_steadily(fleet, 1.0)
            assert len(endpoint.runs) > 3 * RATE

        run_scenario(scenario, instances=2)

    def test_requests_beyond_the_limit_go_to_other_endpoints(self):
        async def scenario(fleet):
            fleet.endpoints["i-1"].rate_limit = str(RATE)
            statuses = []

            async def call(number):
                daemon = fleet.daemons[number % len(fleet.daemons)]
                response = await fleet.call(daemon, key=b"%d" % (number % 7))
                statuses.append(response.head.status)

            async with curio.TaskGroup() as group:
                for number in range(120):
                    await group.spawn(call, number)
                    await curio.sleep(CALL_INTERVAL_S)
            assert set(statuses) == {200}

        run_scenario(scenario, instances=2, endpoints=("i-1", "i-2"))

    def test_refusal_tells_when_the_limit_allows_a_request(self):
        async def scenario(fleet):
            for endpoint in fleet.endpoints.values():
                endpoint.rate_limit = "0.5"
            daemon = fleet.daemons[0]
            responses = [await fleet.call(daemon) for _ in range(20)]
            refused = [r for r in responses if r.head.status == 503]
            assert len(refused) >= 10
            for response in refused[5:]:
                assert float(response.head.find(b"retry-after")) > 0.5

        run_scenario(scenario)
