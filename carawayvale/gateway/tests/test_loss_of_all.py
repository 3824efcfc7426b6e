"""Tests of requests that crash endpoints, beside the loss of all instances."""

import curio
import pytest

from carawayvale.gateway.tests.crashing import CRASHING_PATH
from carawayvale.gateway.tests.crashing import RETURN_S
from carawayvale.gateway.tests.crashing import start_crashing
from carawayvale.gateway.tests.test_fleet import run_scenario
from carawayvale.platform.crashes import CRASHES_PREFIX

ENDPOINTS = ("i-1", "i-2", "i-3", "i-4", "i-5", "i-6")
KNOWN_CRASHES = 3
LOSSES = 4

# A request that may run once goes to another service.
SAFE = {"path": CRASHING_PATH}
UNSAFE = {
    "method": "POST",
    "host": b"jepu9.example",
    "path": "/puka" + CRASHING_PATH,
}


def list_records(fleet):
    """List the records of crashes in the store."""
    items = fleet.store.items
    return [
        row for key, row in items.items() if key.startswith(CRASHES_PREFIX)
    ]


def count_writes(fleet):
    """Count the calls of the store that change it or concern leases."""
    return sum("kv-txn" in c or "kv-lease" in c for c in fleet.store.calls)


async def try_times(fleet, number, options):
    """Send the request that crashes to the instances in turn."""
    responses = []
    for index in range(number):
        daemon = fleet.daemons[index % len(fleet.daemons)]
        responses.append(await fleet.call(daemon, **options))
        await curio.sleep(RETURN_S + 0.2)
    return responses


class TestLossOfAll:
    # Guards against suspects that are in the memory of the instances only:
    # a request was tried anew after each loss of all of them (review/13).
    @pytest.mark.parametrize("options", [SAFE, UNSAFE], ids=["safe", "once"])
    def test_request_in_quarantine_is_refused_afterwards(self, options):
        async def scenario(fleet):
            crashes_s = await start_crashing(fleet)
            await try_times(fleet, 4, options)
            assert len(crashes_s) >= KNOWN_CRASHES
            crashes = len(crashes_s)
            for _ in range(2):
                await fleet.lose_all_instances()
                for response in await try_times(fleet, 2, options):
                    assert response.head.status == 503
            assert len(crashes_s) == crashes

        run_scenario(scenario, instances=2, endpoints=ENDPOINTS)

    # Guards against suspects with fewer than three crashes that are
    # forgotten: two tries between two losses never led to quarantine.
    @pytest.mark.parametrize("options", [SAFE, UNSAFE], ids=["safe", "once"])
    def test_two_tries_between_four_losses(self, options):
        async def scenario(fleet):
            crashes_s = await start_crashing(fleet)
            for _ in range(LOSSES):
                await try_times(fleet, 2, options)
                await fleet.lose_all_instances()
            await try_times(fleet, 2, options)
            assert KNOWN_CRASHES <= len(crashes_s) <= KNOWN_CRASHES + 1

        run_scenario(scenario, instances=2, endpoints=ENDPOINTS)

    # Guards against records that are still to be written when the caller
    # has its answer: a loss right after each try.
    @pytest.mark.parametrize("options", [SAFE, UNSAFE], ids=["safe", "once"])
    def test_loss_right_after_each_try(self, options):
        async def scenario(fleet):
            crashes_s = await start_crashing(fleet)
            for _ in range(LOSSES + 1):
                await fleet.call(fleet.daemons[0], **options)
                await fleet.lose_all_instances()
                await curio.sleep(RETURN_S)
            response = await fleet.call(fleet.daemons[1], **options)
            assert response.head.status == 503
            assert KNOWN_CRASHES <= len(crashes_s) <= KNOWN_CRASHES + 1

        run_scenario(scenario, instances=2, endpoints=ENDPOINTS)

    def test_suspects_are_known_before_the_first_request(self):
        """Each new instance has them when it is ready."""

        async def scenario(fleet):
            await start_crashing(fleet)
            await try_times(fleet, 4, SAFE)
            await fleet.lose_all_instances()
            for daemon in fleet.daemons:
                assert daemon.node.crash_reports.quarantine.count_suspects()

        run_scenario(scenario, instances=3, endpoints=ENDPOINTS)

    def test_records_written_without_a_lease_get_one(self):
        """All instances may end before they have opened a lease."""

        async def scenario(fleet):
            await start_crashing(fleet)
            await fleet.call(fleet.daemons[0], **UNSAFE)
            await fleet.lose_all_instances()
            await fleet.wait_until(
                lambda: all(row["lease"] for row in list_records(fleet))
            )
            assert list_records(fleet)

        run_scenario(scenario, instances=2, endpoints=ENDPOINTS)


class TestStoreTroubles:
    def test_record_is_written_once_the_store_is_back(self):
        async def scenario(fleet):
            crashes_s = await start_crashing(fleet)
            fleet.store.status = 503
            await try_times(fleet, 4, SAFE)
            assert not list_records(fleet)
            fleet.store.status = 200
            await fleet.wait_until(
                lambda: len(list_records(fleet)) >= KNOWN_CRASHES
            )
            crashes = len(crashes_s)
            await fleet.lose_all_instances()
            responses = await try_times(fleet, 2, SAFE)
            assert {r.head.status for r in responses} == {503}
            assert len(crashes_s) == crashes

        run_scenario(scenario, instances=2, endpoints=ENDPOINTS)

    def test_record_that_a_copy_lacks_is_written_again(self):
        async def scenario(fleet):
            await start_crashing(fleet)
            earlier = fleet.store.copy()
            await try_times(fleet, 4, SAFE)
            await fleet.wait_until(
                lambda: len(list_records(fleet)) >= KNOWN_CRASHES
            )
            fleet.store.restore(earlier)
            assert not list_records(fleet)
            await fleet.wait_until(
                lambda: len(list_records(fleet)) >= KNOWN_CRASHES
            )

        run_scenario(scenario, instances=2, endpoints=ENDPOINTS)

    def test_unreadable_record_is_passed_over(self):
        async def scenario(fleet):
            fleet.store.put(CRASHES_PREFIX + "x", b"no record")
            fleet.store.put(CRASHES_PREFIX + "y", {"request": 5})
            await fleet.lose_all_instances()
            response = await fleet.call(fleet.daemons[0])
            assert response.head.status == 200

        run_scenario(scenario, instances=2, endpoints=ENDPOINTS)


class TestCalls:
    def test_no_call_where_nothing_crashes(self):
        async def scenario(fleet):
            before = count_writes(fleet)
            for number in range(40):
                await fleet.call(fleet.daemons[0], path=f"/{number}")
            await curio.sleep(2.0)
            assert count_writes(fleet) == before

        run_scenario(scenario, instances=2, endpoints=ENDPOINTS)

    def test_records_of_an_answered_request_are_deleted(self):
        async def scenario(fleet):
            await start_crashing(fleet)
            for endpoint in fleet.endpoints.values():
                endpoint.service_time_s = 0.3
            daemon = fleet.daemons[0]
            async with curio.TaskGroup() as group:
                await group.spawn(fleet.call(daemon, path="/innocent"))
                await curio.sleep(0.1)
                await group.spawn(fleet.call(daemon, **SAFE))
            for path in ("/innocent", "/other"):
                response = await fleet.call(daemon, path=path)
                assert response.head.status == 200
            crashing = next(
                fingerprint.hex()
                for daemon in fleet.daemons
                for fingerprint, suspect in (
                    daemon.node.crash_reports.quarantine.suspects.items()
                )
                if len(suspect.crashes) > 1
            )
            await curio.sleep(0.5)
            await fleet.wait_until(
                lambda: (
                    {row["key"].split("/")[2] for row in list_records(fleet)}
                    == {crashing}
                )
            )

        run_scenario(scenario, instances=2, endpoints=ENDPOINTS)
