"""Tests of a fleet whose store returns from a copy."""

import copy

import curio

from carawayvale.contracts.address import Address
from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.links.connections import ConnectionPool
from carawayvale.platform.source import INSTANCES_PREFIX
from carawayvale.platform.tests.examples import CONFIGURATION

# Time in which the instances write their own entries again.
REGISTRATION_S = 2.0

# Longest time until all instances use what the store has after a return.
APPLY_S = 2.5

# Nothing listens on this port.
CLOSED_ADDRESS = Address("127.0.0.1", 1)


def run_scenario(scenario, **options):
    """Run a scenario with a fleet."""

    async def run():
        async with open_fleet(**options) as fleet:
            await scenario(fleet)

    curio.run(run)


def put_configuration(fleet, version):
    """Write a configuration with a version number."""
    table = copy.deepcopy(CONFIGURATION)
    table["version"] = version
    fleet.store.put("op/config", table)


def all_use_version(fleet, version):
    """Tell whether a version is in force on all instances."""
    return all(
        d.node.catalogue.configuration.version == version
        for d in fleet.daemons
    )


def turn_away(daemon):
    """Let an instance reach the store no more."""
    daemon.store.address = CLOSED_ADDRESS
    daemon.store.pool = ConnectionPool(CLOSED_ADDRESS)


async def wait_for_version(fleet, version):
    """Wait until a version is in force on all instances."""
    async with curio.timeout_after(APPLY_S):
        await fleet.wait_until(lambda: all_use_version(fleet, version))


class TestConfiguration:
    def test_configuration_at_a_reused_revision_comes_into_force(self):
        async def scenario(fleet):
            stored = fleet.store.copy()
            put_configuration(fleet, 8)
            await wait_for_version(fleet, 8)
            fleet.store.restore(stored)
            put_configuration(fleet, 9)
            await wait_for_version(fleet, 9)

        run_scenario(scenario, instances=3)

    def test_configuration_comes_into_force_after_two_returns(self):
        async def scenario(fleet):
            stored = fleet.store.copy()
            put_configuration(fleet, 8)
            await wait_for_version(fleet, 8)
            fleet.store.restore(stored)
            put_configuration(fleet, 9)
            await curio.sleep(0.3)
            fleet.store.restore(stored)
            put_configuration(fleet, 10)
            await wait_for_version(fleet, 10)

        run_scenario(scenario, instances=3)

    def test_instance_that_the_store_turns_away_is_brought_along(self):
        async def scenario(fleet):
            stored = fleet.store.copy()
            put_configuration(fleet, 8)
            await wait_for_version(fleet, 8)
            await fleet.wait_until(
                lambda: sum(d.change_feed.watching for d in fleet.daemons) == 1
            )
            for daemon in fleet.daemons:
                if not daemon.change_feed.watching:
                    turn_away(daemon)
            fleet.store.restore(stored)
            put_configuration(fleet, 9)
            await wait_for_version(fleet, 9)

        run_scenario(scenario, instances=3)

    def test_version_in_force_does_not_go_back_to_that_of_the_copy(self):
        async def scenario(fleet):
            stored = fleet.store.copy()
            put_configuration(fleet, 8)
            await wait_for_version(fleet, 8)
            fleet.store.restore(stored)
            fleet.put_report("i-1", state="draining")
            async with curio.timeout_after(APPLY_S):
                await fleet.wait_until(
                    lambda: all(
                        d.node.catalogue.endpoints["i-1"].is_draining
                        for d in fleet.daemons
                    )
                )
            assert all_use_version(fleet, 8)

        run_scenario(scenario, instances=3, endpoints=("i-1", "i-2"))


class TestEndpoints:
    def test_endpoint_that_is_gone_with_the_copy_gets_no_more_requests(self):
        async def scenario(fleet):
            stored = fleet.store.copy()
            await fleet.add_endpoint("i-9")
            await fleet.wait_until(
                lambda: all(
                    "i-9" in d.node.catalogue.endpoints for d in fleet.daemons
                )
            )
            fleet.store.restore(stored)
            await curio.sleep(1.0)
            for daemon in fleet.daemons:
                assert "i-9" in daemon.node.catalogue.endpoints
            async with curio.timeout_after(2 * APPLY_S):
                await fleet.wait_until(
                    lambda: (
                        not any(
                            "i-9" in d.node.catalogue.endpoints
                            for d in fleet.daemons
                        )
                    )
                )

        run_scenario(scenario, instances=3)

    def test_endpoint_that_left_does_not_come_back_with_the_copy(self):
        async def scenario(fleet):
            stored = fleet.store.copy()
            fleet.store.remove("servers/i-1")
            node = fleet.daemons[0].node
            await fleet.wait_until(
                lambda: "i-1" not in node.catalogue.endpoints
            )
            fleet.store.restore(stored)
            put_configuration(fleet, 9)
            await wait_for_version(fleet, 9)
            assert "i-1" not in node.catalogue.endpoints
            fleet.put_report("i-1")
            await fleet.wait_until(lambda: "i-1" in node.catalogue.endpoints)

        run_scenario(scenario, endpoints=("i-1", "i-2"))


class TestEvacuations:
    def test_evacuation_stays_in_force_until_it_is_written_again(self):
        async def scenario(fleet):
            stored = fleet.store.copy()
            fleet.store.put("op/evacuate/zrh-a", {})
            node = fleet.daemons[0].node
            await fleet.wait_until(lambda: node.catalogue.evacuated)
            fleet.store.restore(stored)
            fleet.put_report("i-1", state="draining")
            async with curio.timeout_after(APPLY_S):
                await fleet.wait_until(
                    lambda: node.catalogue.endpoints["i-1"].is_draining
                )
            assert node.catalogue.evacuated
            fleet.store.put("op/evacuate/zrh-a", {})
            await curio.sleep(APPLY_S)
            assert node.catalogue.evacuated

        run_scenario(scenario)


class TestRegistration:
    def test_instances_register_again_though_others_got_their_leases(self):
        async def scenario(fleet):
            stored = fleet.store.copy()
            names = [d.settings.name for d in fleet.daemons]
            await fleet.wait_until(
                lambda: all(
                    INSTANCES_PREFIX + n in fleet.store.items for n in names
                )
            )
            opened = fleet.store.leases
            fleet.store.restore(stored)
            for name in names:
                fleet.store.items.pop(INSTANCES_PREFIX + name, None)
            fleet.store.leases = opened
            fleet.store.open_leases = set(range(1, opened + 1))
            async with curio.timeout_after(REGISTRATION_S):
                await fleet.wait_until(
                    lambda: all(
                        INSTANCES_PREFIX + n in fleet.store.items
                        for n in names
                    )
                )

        run_scenario(scenario, instances=3)
