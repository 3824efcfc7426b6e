"""Tests of fair shares at the owners of endpoints."""

from carawayvale.gateway.tests.test_organisations import authorize
from carawayvale.gateway.tests.test_organisations import DESK_KEY
from carawayvale.gateway.tests.test_organisations import make_configuration
from carawayvale.gateway.tests.test_organisations import PRESS_KEY
from carawayvale.gateway.tests.test_organisations import put_configuration
from carawayvale.gateway.tests.test_organisations import run_scenario
from carawayvale.gateway.tests.test_quota_calls import agree
from carawayvale.gateway.tests.test_quota_calls import fill_bucket
from carawayvale.gateway.tests.test_quota_calls import make_limits
from carawayvale.platform.tests.examples import CONFIGURATION


def list_queues(fleet):
    """List the queues of all owned endpoints that were used."""
    return [
        owned.queue for d in fleet.daemons for owned in d.node.owned.values()
    ]


class TestQueues:
    def test_owners_know_the_organisations_of_forwarded_requests(self):
        async def scenario(fleet):
            await fleet.wait_until(lambda: agree(fleet))
            fill_bucket(fleet)
            for daemon in fleet.daemons:
                for key in (PRESS_KEY, DESK_KEY):
                    await fleet.call(daemon, headers=authorize(key))
            demand = {}
            for queue in list_queues(fleet):
                demand.update(queue.shares._demand)
            assert demand.keys() == {"press", "desk"}

        run_scenario(scenario, make_limits(1000.0, 1000.0), instances=2)

    def test_weights_follow_the_configuration(self):
        async def scenario(fleet):
            await fleet.call(fleet.daemons[0], headers=authorize(DESK_KEY))
            (queue,) = list_queues(fleet)
            assert queue.shares.weights == {"press": 8.0, "desk": 8.0}
            changed = make_configuration()
            changed["version"] += 1
            await put_configuration(fleet, changed)
            assert queue.shares is None

        run_scenario(scenario, make_limits(8.0, 8.0))

    def test_without_limits_the_order_is_that_of_arrival(self):
        async def scenario(fleet):
            headers = authorize(DESK_KEY)
            await fleet.call(fleet.daemons[0], headers=headers)
            assert [queue.shares for queue in list_queues(fleet)] == [None]

        run_scenario(scenario, make_configuration())
        run_scenario(scenario, CONFIGURATION)
