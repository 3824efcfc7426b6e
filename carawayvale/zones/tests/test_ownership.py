"""Tests of the assignment of shards to instances."""

from carawayvale.contracts import Address
from carawayvale.contracts import Endpoint
from carawayvale.zones import assign_owners
from carawayvale.zones import Candidate
from carawayvale.zones import Shard


def make_shards(count, region="zurich"):
    """Make shards with one endpoint each."""
    shards = []
    for number in range(count):
        endpoint = Endpoint(
            name=f"e{number}",
            owner="team",
            service="grids",
            region=region,
            domain=f"{region}-a",
            address=Address("127.0.0.1", 80),
            slots=4,
        )
        shards.append(
            Shard(
                f"{region}/{number}",
                "grids",
                region,
                f"{region}-a",
                (endpoint,),
            )
        )
    return shards


def make_candidates(count, region="zurich"):
    """Make candidates in one failure domain."""
    return [
        Candidate(f"{region}-{n}", region, f"{region}-a") for n in range(count)
    ]


class TestAssignOwners:
    def test_result_does_not_depend_on_order_of_candidates(self):
        shards, candidates = make_shards(16), make_candidates(7)
        first = assign_owners(shards, candidates)
        second = assign_owners(shards, list(reversed(candidates)))
        assert first.owner_lists == second.owner_lists

    def test_no_instance_owns_more_shards_than_the_bound(self):
        ownership = assign_owners(make_shards(16), make_candidates(7))
        owners = [names[0] for names in ownership.owner_lists.values()]
        assert max(owners.count(owner) for owner in owners) <= 3

    def test_owners_are_in_the_region_of_the_shard(self):
        candidates = make_candidates(3) + make_candidates(3, "geneva")
        ownership = assign_owners(make_shards(6), candidates)
        for names in ownership.owner_lists.values():
            assert names[0].startswith("zurich")

    def test_region_without_live_instances_has_no_owners(self):
        candidates = make_candidates(3, "geneva")
        ownership = assign_owners(make_shards(6), candidates)
        assert set(ownership.owner_lists.values()) == {()}

    def test_shards_have_no_owners_without_instances(self):
        ownership = assign_owners(make_shards(2), [])
        assert set(ownership.owner_lists.values()) == {()}

    def test_removed_instance_moves_few_shards_of_others(self):
        shards, candidates = make_shards(128), make_candidates(20)
        before = assign_owners(shards, candidates)
        after = assign_owners(shards, candidates[1:])
        removed = candidates[0].name
        moved = [
            name
            for name, names in before.owner_lists.items()
            if names[0] not in (removed, after.owner_lists[name][0])
        ]
        assert len(moved) <= len(shards) // 10

    def test_first_successor_takes_over_a_single_shard(self):
        shards, candidates = make_shards(1), make_candidates(5)
        before = assign_owners(shards, candidates)
        owner, successor = before.owner_lists["zurich/0"][:2]
        remaining = [c for c in candidates if c.name != owner]
        assert (
            assign_owners(shards, remaining).owner_lists["zurich/0"][0]
            == successor
        )
