"""Tests of the quotas of endpoints under a region's limit."""

from hypothesis import given
from hypothesis import strategies

from carawayvale.contracts import Address
from carawayvale.contracts import Endpoint
from carawayvale.zones import allot_quotas


def make_endpoints(slots):
    """Make one endpoint for each given number of slots."""
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
    def test_sum_of_quotas_never_exceeds_the_limit(self, limit, slots):
        quotas = allot_quotas(limit, make_endpoints(slots))
        assert sum(quotas.values()) == min(limit, sum(slots))
        assert all(
            0 <= quotas[f"e{n}"] <= count for n, count in enumerate(slots)
        )
