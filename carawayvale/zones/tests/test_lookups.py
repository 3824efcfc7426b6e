"""Tests of the targets of look-ups."""

from carawayvale.contracts import Address
from carawayvale.links import MemberRecord
from carawayvale.zones import assign_owners
from carawayvale.zones import list_lookup_targets
from carawayvale.zones import rotate_targets
from carawayvale.zones.tests.test_owner_table import make_candidates
from carawayvale.zones.tests.test_owner_table import make_shards

ADDRESS = Address("127.0.0.1", 1)


def make_targets(shards=8, members=4):
    """Make the targets of a look-up in a region of equal shards."""
    candidates = make_candidates(members)
    ownership = assign_owners(make_shards(shards), candidates)
    records = {
        c.name: MemberRecord(c.name, c.region, c.domain, ADDRESS, ADDRESS, 1)
        for c in candidates
    }
    return list_lookup_targets(ownership, records, "grids", "zurich")


class TestListTargets:
    def test_weights_add_up_to_the_slots(self):
        assert sum(target.weight for target in make_targets()) == 32

    def test_single_owner_is_followed_by_alternates(self):
        targets = make_targets(shards=1)
        assert [target.weight for target in targets] == [4, 0, 0, 0]

    def test_owners_come_first_as_often_as_their_weights(self):
        targets = make_targets()
        total = sum(target.weight for target in targets)
        firsts = [rotate_targets(targets, n)[0] for n in range(total)]
        for target in targets:
            assert firsts.count(target) == target.weight

    def test_no_owner_gives_no_targets(self):
        assert make_targets(shards=0) == ()
        assert rotate_targets((), 3) == ()
