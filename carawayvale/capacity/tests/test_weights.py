"""Tests of the parts of the demand that instances take."""

from statistics import mean

from hypothesis import given
from hypothesis import strategies

from carawayvale.capacity.weights import Capacity
from carawayvale.capacity.weights import estimate_rate
from carawayvale.capacity.weights import InstanceWeights

LARGE = Capacity(0.7, 100.0)
SMALL = Capacity(0.3, 5.0)

CAPACITIES = strategies.builds(
    Capacity,
    strategies.floats(0.05, 4.0),
    strategies.floats(1.0, 10_000.0),
)


def find_uses(capacities, demand):
    """Find which part of its rate each instance uses at a demand."""
    weights = InstanceWeights(capacities)
    total = sum(map(weights.find, capacities))
    return {
        name: demand * weights.find(name) / total / estimate_rate(capacity)
        for name, capacity in capacities.items()
    }


class TestInstanceWeights:
    def test_equal_capacities_have_weights_of_exactly_one(self):
        weights = InstanceWeights({f"e{n}": Capacity(0.6, 7) for n in "123"})
        assert [weights.find(f"e{n}") for n in "1234"] == [1.0] * 4

    def test_unknown_capacity_counts_as_the_median(self):
        weights = InstanceWeights({"e1": LARGE, "e2": SMALL, "e3": SMALL})
        assert weights.find("e4") == weights.find("e2") < 0.1

    def test_processor_bounds_the_weight_of_a_large_link(self):
        weights = InstanceWeights(
            {"e1": Capacity(0.7, 100.0), "e2": Capacity(0.7, 10_000.0)}
        )
        assert weights.find("e1") == weights.find("e2")

    @given(strategies.lists(CAPACITIES, min_size=1, max_size=8))
    def test_all_weights_are_above_zero_and_at_most_one(self, capacities):
        named = {f"e{n}": c for n, c in enumerate(capacities)}
        weights = InstanceWeights(named)
        assert all(0.0 < weights.find(name) <= 1.0 for name in named)


class TestSharedAllowances:
    def test_parts_of_all_instances_are_the_whole(self):
        capacities = {"l1": LARGE, "l2": LARGE, "s1": SMALL, "s2": SMALL}
        weights = InstanceWeights(capacities)
        parts = [
            1 / weights.count_equivalents(name, capacities)
            for name in capacities
        ]
        assert abs(sum(parts) - 1.0) < 1e-9
        assert parts[0] == parts[1] > 5 * parts[2]


class TestUseOfInstances:
    def make_fleet(self, large, small):
        fleet = {f"l{n}": LARGE for n in range(large)}
        return {**fleet, **{f"s{n}": SMALL for n in range(small)}}

    def test_none_is_above_seven_tenths_while_another_is_below_half(self):
        for large, small in ((4, 5), (4, 37), (2, 20), (0, 9)):
            capacities = self.make_fleet(large, small)
            rate = sum(map(estimate_rate, capacities.values()))
            for part in (0.2, 0.4, 0.5):
                uses = find_uses(capacities, part * rate).values()
                assert max(uses) <= 0.7, (large, small, part)
                assert max(uses) / mean(uses) < 1.4, (large, small, part)

    def test_small_ones_carry_what_the_loss_of_half_of_the_large_leaves(self):
        whole = self.make_fleet(4, 37)
        demand = 0.3 * sum(map(estimate_rate, whole.values()))
        uses = find_uses(self.make_fleet(2, 37), demand)
        assert max(use for n, use in uses.items() if n[0] == "s") < 0.5
