"""Tests of requests that crash the endpoints that run them."""

from carawayvale.gateway.tests.crashing import call_deadly
from carawayvale.gateway.tests.crashing import start_crashing
from carawayvale.gateway.tests.test_fleet import run_scenario

ENDPOINTS = ("i-1", "i-2", "i-3", "i-4")
CALL_TIME_S = 5.0

# Crashes after which the request is known, and how often it may reach an
# endpoint later than a second after the last of these.
KNOWN_CRASHES = 3
KNOWN_AFTER_S = 1.0
MAX_LATER = 3


def count_later(crashes_s):
    """Count the crashes after the request has to be known."""
    if len(crashes_s) < KNOWN_CRASHES:
        return 0
    known_s = crashes_s[KNOWN_CRASHES - 1] + KNOWN_AFTER_S
    return sum(crash_s > known_s for crash_s in crashes_s)


class TestCrashingRequest:
    def test_request_does_not_end_endpoint_after_endpoint(self):
        async def scenario(fleet):
            crashes_s = await start_crashing(fleet)
            await call_deadly(fleet, CALL_TIME_S)
            assert crashes_s
            assert count_later(crashes_s) <= MAX_LATER

        run_scenario(scenario, instances=3, endpoints=ENDPOINTS)
