"""Tests of look-ups' answers."""

from carawayvale.contracts import Address
from carawayvale.links import MemberRecord
from carawayvale.zones import assign_owners
from carawayvale.zones import list_lookup_targets
from carawayvale.zones import rotate_targets
from carawayvale.zones.tests.test_ownership import make_candidates
from carawayvale.zones.tests.test_ownership import make_shards

PORT = Address("127.0.0.1", 1)


def make_answer(shards=8, members=4):
    """Make targets of a pool."""
    candidates = make_candidates(members)
    ownership = assign_owners(make_shards(shards), candidates)
    records = {
        c.name: MemberRecord(c.name, c.region, c.domain, PORT, PORT, 1)
        for c in candidates
    }
    return list_lookup_targets(ownership, records, "grids", "zurich")


class TestListTargets:
    def test_weights_add_up_to_the_slots(self):
        assert sum(target.weight for target in make_answer()) == 32

    def test_a_lone_owner_has_alternates(self):
        targets = make_answer(shards=1)
        assert [target.weight for target in targets] == [4, 0, 0, 0]

    def test_turns_follow_the_weights(self):
        targets = make_answer()
        total = sum(target.weight for target in targets)
        firsts = [rotate_targets(targets, n)[0] for n in range(total)]
        for target in targets:
            assert firsts.count(target) == target.weight

    def test_no_owner_gives_an_empty_answer(self):
        assert make_answer(shards=0) == ()
        assert rotate_targets((), 3) == ()
