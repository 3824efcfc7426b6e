"""Tests of the assignment of shards to instances."""

from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import integers
from hypothesis.strategies import lists
from hypothesis.strategies import sampled_from

from carawayvale.contracts import Address
from carawayvale.contracts import Endpoint
from carawayvale.contracts.hashing import hash_text
from carawayvale.zones import assign_owners
from carawayvale.zones import Candidate
from carawayvale.zones import owner_table
from carawayvale.zones import OwnerTable
from carawayvale.zones import score_candidate
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


def assign_anew(shards, candidates):
    """Assign shards by the plain rule, without any state."""
    owner_lists = {}
    for region in {shard.region for shard in shards}:
        local = [c for c in candidates if c.region == region]
        local_shards = [s for s in shards if s.region == region]
        bound = -(-len(local_shards) * 5 // (4 * len(local))) if local else 0
        loads = {c.name: 0 for c in local}
        for shard in local_shards:
            ordered = sorted(
                local,
                key=lambda c: (
                    c.domain == shard.domain,
                    hash_text(f"{shard.name}|{c.name}"),
                ),
                reverse=True,
            )
            names = [c.name for c in ordered]
            free = [name for name in names if loads[name] < bound]
            if not names:
                owner_lists[shard.name] = ()
                continue
            owner = (free or names)[0]
            loads[owner] += 1
            names.remove(owner)
            owner_lists[shard.name] = (owner, *names[:3])
    return owner_lists


REGIONS = ("zurich", "geneva")


class OwnersUnderChange(RuleBasedStateMachine):
    """Members and endpoints that come, go and move."""

    def __init__(self):
        super().__init__()
        self.table = OwnerTable()
        self.shards = {}
        self.candidates = {}

    @rule(
        numbers=lists(integers(0, 39), min_size=1, max_size=40),
        region=sampled_from(REGIONS),
        domain=sampled_from("ab"),
    )
    def join(self, numbers, region, domain):
        for number in numbers:
            name = f"n{number}"
            domain_name = f"{region}-{domain}"
            self.candidates[name] = Candidate(name, region, domain_name)
        self.table.set_candidates(self.candidates.values())

    @rule(numbers=lists(integers(0, 39), min_size=1, max_size=20))
    def leave(self, numbers):
        for number in numbers:
            self.candidates.pop(f"n{number}", None)
        self.table.set_candidates(self.candidates.values())

    @rule(region=sampled_from(REGIONS))
    def lose_region(self, region):
        names = [n for n, c in self.candidates.items() if c.region == region]
        for name in names:
            del self.candidates[name]
        self.table.set_candidates(self.candidates.values())

    @rule(
        number=integers(0, 25),
        region=sampled_from(REGIONS),
        domain=sampled_from("ab"),
    )
    def add_endpoint(self, number, region, domain):
        name = f"i{number:02}"
        domain_name = f"{region}-{domain}"
        self.shards[name] = Shard(name, "grids", region, domain_name, ())
        self._set_shards()

    @rule(number=integers(0, 25))
    def remove_endpoint(self, number):
        self.shards.pop(f"i{number:02}", None)
        self._set_shards()

    def _set_shards(self):
        self.table.set_shards([s for _, s in sorted(self.shards.items())])

    @rule()
    def owners_are_as_computed_anew(self):
        shards = [s for _, s in sorted(self.shards.items())]
        candidates = list(self.candidates.values())
        owner_lists = self.table.assign().owner_lists
        assert owner_lists == assign_anew(shards, candidates)


TestOwnersUnderChange = OwnersUnderChange.TestCase


class TestCostOfChanges:
    def test_a_join_compares_the_newcomer_only(self, monkeypatch):
        shards = make_shards(150)
        table = OwnerTable()
        table.set_shards(shards)
        candidates = make_candidates(65)
        table.set_candidates(candidates)
        table.assign()
        scores = []

        def count_score(shard, candidate):
            scores.append(candidate.name)
            return score_candidate(shard, candidate)

        monkeypatch.setattr(owner_table, "score_candidate", count_score)
        table.set_candidates(candidates + make_candidates(66)[65:])
        table.assign()
        # A binary search in 65 names, with the key of the newcomer.
        assert len(scores) <= 150 * 9
        scores.clear()
        table.set_candidates(candidates)
        table.assign()
        assert not scores
