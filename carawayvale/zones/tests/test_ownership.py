"""Tests of the choice of owners."""

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
    """Make instances in one failure domain."""
    return [
        Candidate(f"{region}-{n}", region, f"{region}-a") for n in range(count)
    ]


class TestAssignOwners:
    def test_order_of_arguments_does_not_matter(self):
        shards, members = make_shards(16), make_candidates(7)
        first = assign_owners(shards, members)
        second = assign_owners(shards, list(reversed(members)))
        assert first.owner_lists == second.owner_lists

    def test_no_instance_owns_more_than_the_bound(self):
        ownership = assign_owners(make_shards(16), make_candidates(7))
        owners = [order[0] for order in ownership.owner_lists.values()]
        assert max(owners.count(owner) for owner in owners) <= 3

    def test_owner_lies_in_the_region_while_one_lives(self):
        members = make_candidates(3) + make_candidates(3, "geneva")
        ownership = assign_owners(make_shards(6), members)
        for order in ownership.owner_lists.values():
            assert order[0].startswith("zurich")

    def test_region_without_live_instances_has_no_owners(self):
        members = make_candidates(3, "geneva")
        ownership = assign_owners(make_shards(6), members)
        assert set(ownership.owner_lists.values()) == {()}

    def test_without_instances_nothing_is_owned(self):
        ownership = assign_owners(make_shards(2), [])
        assert set(ownership.owner_lists.values()) == {()}

    def test_a_leaving_instance_moves_few_other_shards(self):
        shards, members = make_shards(128), make_candidates(20)
        before = assign_owners(shards, members)
        after = assign_owners(shards, members[1:])
        gone = members[0].name
        moved = [
            name
            for name, order in before.owner_lists.items()
            if order[0] not in (gone, after.owner_lists[name][0])
        ]
        assert len(moved) <= len(shards) // 10

    def test_successor_takes_over_a_lone_shard(self):
        shards, members = make_shards(1), make_candidates(5)
        before = assign_owners(shards, members)
        owner, successor = before.owner_lists["zurich/0"][:2]
        rest = [m for m in members if m.name != owner]
        assert (
            assign_owners(shards, rest).owner_lists["zurich/0"][0] == successor
        )
