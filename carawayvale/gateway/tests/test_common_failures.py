"""Tests of requests to a service whose endpoints all fail alike."""

import curio

from carawayvale.gateway.tests.fleet import open_fleet

ENDPOINTS = ("i-1", "i-2", "i-3", "i-4")
DESKS = tuple(f"desk-{name}" for name in ENDPOINTS)
UNSAFE_CALL = dict(method="POST", path="/puka/x", host=b"jepu9.example")
WARM_UP_CALLS = 30
KEY = b"7"

# A safe request goes to one of two services by its id.
MAX_CALLS = 50


def list_runs(fleet):
    """List by endpoint how many requests it has run."""
    return {name: len(e.runs) for name, e in fleet.endpoints.items()}


def set_sheds(fleet, number):
    """Let each endpoint refuse its next requests."""
    for endpoint in fleet.endpoints.values():
        endpoint.shed = number


async def call(fleet, **options):
    """Call, and return the status and the endpoint that ran the request."""
    before = list_runs(fleet)
    response = await fleet.call(fleet.daemons[0], key=KEY, **options)
    after = list_runs(fleet)
    ran = [name for name in after if after[name] > before[name]]
    return response.head.status, ran


async def find_home(fleet, names, **options):
    """Find the endpoint among some that keeps the object of the key."""
    for _ in range(MAX_CALLS):
        _, ran = await call(fleet, **options)
        if ran and ran[0] in names:
            return ran[0]


async def shed_all(fleet, **options):
    """Let all endpoints refuse many requests for different objects."""
    set_sheds(fleet, 1 << 30)
    for number in range(WARM_UP_CALLS):
        key = b"other-%d" % number
        await fleet.call(fleet.daemons[0], key=key, **options)
    set_sheds(fleet, 0)


class TestServiceThatShedsEverywhere:
    def test_request_stays_at_the_endpoint_that_keeps_its_object(self):
        async def main():
            async with open_fleet(1, ENDPOINTS) as fleet:
                home = await find_home(fleet, ENDPOINTS)
                await shed_all(fleet)
                for _ in range(MAX_CALLS):
                    fleet.endpoints[home].shed = 1
                    status, ran = await call(fleet)
                    assert status == 200
                    if ran[0] in ENDPOINTS:
                        return home, ran

        home, ran = curio.run(main)
        assert ran == [home]

    def test_request_that_runs_once_is_sent_once_to_each_endpoint(self):
        async def main():
            async with open_fleet(1, ENDPOINTS) as fleet:
                home = await find_home(fleet, DESKS, **UNSAFE_CALL)
                await shed_all(fleet, **UNSAFE_CALL)
                fleet.endpoints[home].shed = 1
                status, ran = await call(fleet, **UNSAFE_CALL)
                return home, status, ran

        home, status, ran = curio.run(main)
        assert status == 200
        assert len(ran) == 1 and ran != [home]

    def test_refused_request_may_come_back_at_once(self):
        async def main():
            async with open_fleet(1, ENDPOINTS) as fleet:
                await shed_all(fleet, **UNSAFE_CALL)
                set_sheds(fleet, 1 << 30)
                response = await fleet.call(fleet.daemons[0], **UNSAFE_CALL)
                assert response.head.status == 503
                return float(response.head.find(b"retry-after"))

        assert curio.run(main) <= 0.1

    def test_one_failing_endpoint_is_still_left_out(self):
        async def main():
            async with open_fleet(1, ENDPOINTS) as fleet:
                home = await find_home(fleet, DESKS, **UNSAFE_CALL)
                endpoint = fleet.endpoints[home]
                endpoint.shed = 1 << 30
                for number in range(2 * WARM_UP_CALLS):
                    key = b"x-%d" % number
                    await fleet.call(fleet.daemons[0], key=key, **UNSAFE_CALL)
                refused = len(endpoint.refused_s)
                for _ in range(10):
                    await call(fleet, **UNSAFE_CALL)
                return len(endpoint.refused_s) - refused

        assert curio.run(main) <= 3
