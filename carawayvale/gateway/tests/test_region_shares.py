"""Tests of requests that are sent to other regions first."""

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.tests.test_fleet import run_scenario

REGIONS = {"grids": ("i-1", "i-2"), "desk": ("desk-i-1", "desk-i-2")}


async def add_remote_endpoints(fleet, pace):
    """Add endpoints of another region, and set the pace of all."""
    await fleet.add_endpoint("i-2", domain="gva-a")
    await fleet.add_endpoint("desk-i-2", "desk", domain="gva-a")
    for endpoint in fleet.endpoints.values():
        endpoint.pace = pace
    node = fleet.daemons[0].node
    await fleet.wait_until(lambda: len(node.catalogue.endpoints) == 4)
    return node


def count_runs(fleet, number):
    """Count the runs at the endpoints of one of the two regions."""
    names = [names[number] for names in REGIONS.values()]
    return sum(len(fleet.endpoints[name].runs) for name in names)


async def call_often(fleet, number):
    for key in range(number):
        response = await fleet.call(fleet.daemons[0], key=b"%d" % key)
        assert response.head.status == 200


class TestFleet:
    def test_a_region_that_rejects_requests_is_asked_later(self):
        async def scenario(fleet):
            node = await add_remote_endpoints(fleet, 100)
            await call_often(fleet, 20)
            assert count_runs(fleet, 1) == 0
            for service in REGIONS:
                node.region_shares[service].remote_part = 1.0
            await call_often(fleet, 20)
            assert count_runs(fleet, 1) >= 1
            counters = node.observer.metrics.counters
            assert counters["remote_starts", "grids"]

        run_scenario(scenario)

    def test_rejections_raise_the_part(self):
        async def scenario(fleet):
            node = await add_remote_endpoints(fleet, 100)
            await call_often(fleet, 20)
            for number in range(20):
                now_s = read_boot_clock()
                for name, _ in REGIONS.values():
                    node.full_endpoints.record(name, True, 0.3, now_s)
                await call_often(fleet, 1)
            assert node.region_shares["grids"].remote_part > 0

        run_scenario(scenario)

    def test_a_single_region_rejects_nothing_that_it_serves(self):
        """An empty group of remote endpoints is no rejection."""

        async def scenario(fleet):
            for endpoint in fleet.endpoints.values():
                endpoint.pace = 100
            await call_often(fleet, 20)
            shares = fleet.daemons[0].node.region_shares["grids"]
            assert shares.accepted["zurich"].asked > 0
            assert shares.accepted["zurich"].rejected == 0

        run_scenario(scenario)

    def test_services_without_a_pace_are_served_as_before(self):
        async def scenario(fleet):
            node = await add_remote_endpoints(fleet, 0)
            await call_often(fleet, 20)
            assert not node.region_shares
            assert count_runs(fleet, 1) == 0

        run_scenario(scenario)
