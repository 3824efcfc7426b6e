"""Tests of the choice of instances that look-ups name."""

from collections import Counter
from random import Random

from carawayvale.contracts import Address
from carawayvale.links.messages import MemberRecord
from carawayvale.zones.caller_instances import choose_near
from carawayvale.zones.caller_instances import sample_by_weight

PORT = Address("127.0.0.1", 1)
WEIGHTS = {"l": 1.0, "s": 0.1}


def make_records(*names):
    """Make records; a name has its kind, its failure domain and a number."""
    return [
        MemberRecord(name, "zurich", f"zurich-{name[1]}", PORT, PORT, 1)
        for name in names
    ]


def find_weight(name):
    """Find the weight of an instance by its kind."""
    return WEIGHTS[name[0]]


def name_near(records):
    """Name the instances near a caller of the first failure domain."""
    near = choose_near(records, "zurich-a", "zurich", find_weight)
    return sorted(record.name for record in near)


class TestChooseNear:
    def test_strong_failure_domain_serves_alone(self):
        records = make_records("la1", "la2", "sa1", "lb1")
        assert name_near(records) == ["la1", "la2", "sa1"]

    def test_region_serves_a_failure_domain_with_one_strong_instance(self):
        records = make_records("la1", "sa1", "sa2", "lb1")
        assert name_near(records) == ["la1", "lb1", "sa1", "sa2"]

    def test_equal_instances_need_two(self):
        assert name_near(make_records("la1", "lb1")) == ["la1", "lb1"]
        assert name_near(make_records("la1", "la2", "lb1")) == ["la1", "la2"]

    def test_small_ones_are_enough_if_no_large_one_is_left(self):
        assert name_near(make_records("sa1", "sa2", "sb1")) == ["sa1", "sa2"]

    def test_unknown_failure_domain_and_region_have_none(self):
        assert choose_near(make_records("la1"), "x", "y", find_weight) == []


class TestSampleByWeight:
    def sample(self, records, count):
        random, named = Random(1), Counter()
        for _ in range(count):
            chosen = sample_by_weight(records, find_weight, random)
            assert len({r.name for r in chosen}) == len(chosen) >= 2
            named.update(record.name for record in chosen)
        return named

    def test_small_ones_are_named_as_often_as_their_weight_says(self):
        named = self.sample(make_records("la1", "la2", "sa1", "sa2"), 2000)
        assert named["la1"] == named["la2"] == 2000
        assert 140 <= named["sa1"] <= 260
        assert 140 <= named["sa2"] <= 260

    def test_equal_instances_are_all_named(self):
        assert set(self.sample(make_records("sa1", "sa2"), 5).values()) == {5}

    def test_second_address_is_named_beside_one_large_instance(self):
        named = self.sample(make_records("la1", "sa1", "sa2"), 200)
        assert named["la1"] == 200

    def test_no_instance_is_no_error(self):
        assert sample_by_weight([], find_weight, Random(1)) == []
