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
