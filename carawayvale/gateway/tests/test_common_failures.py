"""Tests of requests to a service whose endpoints all fail alike."""

import curio

from carawayvale.gateway.tests.fleet import open_fleet

NAMES = ("i-1", "i-2", "i-3", "i-4")
ENDPOINTS = tuple(f"desk-{name}" for name in NAMES)
CALL = dict(method="POST", path="/puka/x", host=b"jepu9.example")
WARM_UP_CALLS = 30
KEY = b"7"


def list_runs(fleet):
    """List by endpoint how many requests it has run."""
    return {name: len(fleet.endpoints[name].runs) for name in ENDPOINTS}


def set_sheds(fleet, number):
    """Let each endpoint refuse its next requests."""
    for name in ENDPOINTS:
        fleet.endpoints[name].shed = number


async def find_home(fleet):
    """Find the endpoint that keeps the object of the key."""
    before = list_runs(fleet)
    await fleet.call(fleet.daemons[0], **CALL, key=KEY)
    after = list_runs(fleet)
    return next(name for name in ENDPOINTS if after[name] > before[name])


async def shed_all(fleet):
    """Let all endpoints refuse many requests for different objects."""
    set_sheds(fleet, 1 << 30)
    for number in range(WARM_UP_CALLS):
        await fleet.call(fleet.daemons[0], **CALL, key=b"other-%d" % number)


class TestServiceThatShedsEverywhere:
    def test_request_stays_at_the_endpoint_that_keeps_its_object(self):
        async def main():
            async with open_fleet(1, NAMES) as fleet:
                home = await find_home(fleet)
                await shed_all(fleet)
                set_sheds(fleet, 0)
                fleet.endpoints[home].shed = 1
                before = list_runs(fleet)
                response = await fleet.call(fleet.daemons[0], **CALL, key=KEY)
                assert response.head.status == 200
                after = list_runs(fleet)
                return home, [n for n in ENDPOINTS if after[n] > before[n]]

        home, ran = curio.run(main)
        assert ran == [home]

    def test_refused_request_may_come_back_at_once(self):
        async def main():
            async with open_fleet(1, NAMES) as fleet:
                await shed_all(fleet)
                response = await fleet.call(fleet.daemons[0], **CALL, key=KEY)
                assert response.head.status == 503
                return float(response.head.find(b"retry-after"))

        assert curio.run(main) <= 0.1

    def test_one_failing_endpoint_is_still_left_out(self):
        async def main():
            async with open_fleet(1, NAMES) as fleet:
                home = await find_home(fleet)
                fleet.endpoints[home].shed = 1 << 30
                for number in range(WARM_UP_CALLS):
                    await fleet.call(
                        fleet.daemons[0], **CALL, key=b"x-%d" % number
                    )
                refused = len(fleet.endpoints[home].refused_s)
                for _ in range(10):
                    await fleet.call(fleet.daemons[0], **CALL, key=KEY)
                return len(fleet.endpoints[home].refused_s) - refused

        assert curio.run(main) <= 3
