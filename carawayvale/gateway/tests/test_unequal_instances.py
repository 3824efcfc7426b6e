"""Tests of what instances of unequal capacity are given."""

from collections import Counter
import json

import curio

from carawayvale.gateway.tests.fleet import GatewayFleet
from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.platform.lookups import RESOLVE_PATH

LARGE = {"cpu_share": 0.7, "link_mbps": 100.0}
SMALL = {"cpu_share": 0.3, "link_mbps": 5.0}
LARGE_COUNT = 2
SMALL_COUNT = 4
ENDPOINTS = tuple(f"i-{number}" for number in range(12))
LOOKUPS = 150
REQUESTS = 60

# What the large instances of this fleet carry of all bytes, by bandwidth.
LARGE_SHARE = 200 / 220


class UnequalFleet(GatewayFleet):
    """Two large instances and four small ones in one failure domain."""

    def find_limits(self, name):
        """Return the limits of an instance by its number."""
        return LARGE if int(name[1:]) <= LARGE_COUNT else SMALL


def open_unequal_fleet():
    """Open the fleet; the large instances are e1 and e2."""
    return open_fleet(
        LARGE_COUNT + SMALL_COUNT, ENDPOINTS, fleet_class=UnequalFleet
    )


async def look_up(daemon):
    """Return the addresses that a caller of the failure domain is named."""
    target = f"{RESOLVE_PATH}?name=hulo.example&region=zurich&zone=zrh-a"
    pool = ConnectionPool(daemon.settings.lookups)
    call = OutgoingCall("GET", target, [(b"host", b"x")])
    try:
        response = await pool.exchange(call, 1.0, 1 << 16)
    finally:
        await pool.close()
    return json.loads(response.body)["addresses"]


async def count_named(fleet):
    """Count the parts of callers that each instance gets from look-ups."""
    parts = Counter()
    for number in range(LOOKUPS):
        daemon = fleet.daemons[number % len(fleet.daemons)]
        named = await look_up(daemon)
        for address in named:
            parts[address] += 1 / len(named) / LOOKUPS
    return [parts[str(d.settings.callers)] for d in fleet.daemons]


class TestSmallLinksJammedByEqualParts:
    def test_callers_are_named_instances_by_what_they_carry(self):
        async def main():
            async with open_unequal_fleet() as fleet:
                return await count_named(fleet)

        parts = curio.run(main)
        assert sum(parts[:LARGE_COUNT]) > 0.9 * LARGE_SHARE
        # Every small one still has a part: it is there if others are lost.
        assert sum(parts[LARGE_COUNT:]) > 0.0

    def test_endpoints_are_owned_by_what_instances_carry(self):
        async def main():
            async with open_unequal_fleet() as fleet:
                owners = [
                    d.node.owners.ownership.owner_lists for d in fleet.daemons
                ]
                assert all(lists == owners[0] for lists in owners)
                return Counter(names[0] for names in owners[0].values())

        owned = curio.run(main)
        assert owned["e1"] + owned["e2"] >= 0.8 * 2 * len(ENDPOINTS)

    def test_quotas_are_owned_by_what_instances_carry(self):
        async def main():
            async with open_unequal_fleet() as fleet:
                quotas = fleet.daemons[0].node.quotas
                await quotas.reconcile()
                return Counter(
                    quotas.find_owner(f"organisation-{number}")
                    for number in range(200)
                )

        owned = curio.run(main)
        assert owned["e1"] + owned["e2"] >= 0.8 * 200

    def test_request_costs_less_than_one_hop(self):
        async def main():
            async with open_unequal_fleet() as fleet:
                by_address = {
                    str(d.settings.callers): d for d in fleet.daemons
                }
                for number in range(REQUESTS):
                    named = await look_up(fleet.daemons[number % 6])
                    daemon = by_address[named[number % len(named)]]
                    key = b"%d" % number
                    response = await fleet.call(daemon, key=key)
                    assert response.head.status == 200
                return sum(
                    number
                    for d in fleet.daemons
                    for (name, _), number in (
                        d.node.observer.metrics.counters.items()
                    )
                    if name == "hops"
                )

        # With equal parts, five of six requests are forwarded.
        assert curio.run(main) <= 0.7 * REQUESTS


class TestLossOfLargeInstances:
    def test_small_ones_are_named_and_own_all_endpoints(self):
        async def main():
            async with open_unequal_fleet() as fleet:
                for task in fleet.instance_tasks[:LARGE_COUNT]:
                    await task.cancel()
                rest = fleet.daemons[LARGE_COUNT:]
                await fleet.wait_until(
                    lambda: all(
                        len(d.node.membership.list_serving()) == SMALL_COUNT
                        for d in rest
                    )
                )
                named = {len(await look_up(d)) for d in rest}
                lists = rest[0].node.owners.ownership.owner_lists.values()
                return named, Counter(names[0] for names in lists)

        named, owned = curio.run(main)
        assert named == {SMALL_COUNT}
        assert len(owned) == SMALL_COUNT
