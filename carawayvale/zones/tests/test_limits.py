"""Tests of the division of a region's limit."""

from hypothesis import given
from hypothesis import strategies

from carawayvale.contracts import Address
from carawayvale.contracts import Endpoint
from carawayvale.zones import allot_quotas


def make_endpoints(slots):
    """Make endpoints with the given slots."""
    return [
        Endpoint(
            name=f"e{number}",
            owner="team",
            service="grids",
            region="zurich",
            domain="zurich-a",
            address=Address("127.0.0.1", 80),
            slots=count,
        )
        for number, count in enumerate(slots)
    ]


class TestAllotQuotas:
    @given(
        strategies.integers(1, 200),
        strategies.lists(strategies.integers(1, 20), min_size=1, max_size=30),
    )
    def test_sum_never_passes_the_limit(self, limit, slots):
        quotas = allot_quotas(limit, make_endpoints(slots))
        assert sum(quotas.values()) == min(limit, sum(slots))
        assert all(
            0 <= quotas[f"e{n}"] <= count for n, count in enumerate(slots)
        )
