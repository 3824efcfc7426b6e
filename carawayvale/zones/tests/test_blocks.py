"""Tests of the longest-prefix match."""

import ipaddress

from hypothesis import given
from hypothesis import strategies
import pytest

from carawayvale.zones import BlockTable
from carawayvale.zones import NamedBlock

NETWORKS = strategies.builds(
    lambda address, bits: ipaddress.ip_network((address, bits), False),
    strategies.integers(0, 2**32 - 1),
    strategies.integers(0, 32),
)


def find_by_linear_search(blocks, address):
    """Find the name of the longest matching network by checking each."""
    matches = [b for b in blocks if address in b[0]]
    return max(matches, key=lambda b: b[0].prefixlen)[1] if matches else ""


class TestBlockTable:
    @given(
        strategies.dictionaries(NETWORKS, strategies.sampled_from("abc")),
        strategies.lists(strategies.integers(0, 2**32 - 1)),
    )
    def test_result_equals_that_of_linear_search(self, blocks, addresses):
        pairs = list(blocks.items())
        table = BlockTable(NamedBlock(str(n), name) for n, name in pairs)
        edges = [int(n.network_address) for n in blocks]
        edges += [int(n.broadcast_address) for n in blocks]
        for number in addresses + edges:
            address = ipaddress.IPv4Address(number)
            assert table.find(str(address)) == find_by_linear_search(
                pairs, address
            )

    def test_ipv4_and_ipv6_networks_are_matched_separately(self):
        table = BlockTable(
            [NamedBlock("10.0.0.0/8", "a"), NamedBlock("fd00::/8", "b")]
        )
        assert table.find("fd00::1") == "b"
        assert table.find("10.0.0.1") == "a"

    def test_invalid_address_raises_value_error(self):
        with pytest.raises(ValueError, match="nonsense"):
            BlockTable([]).find("nonsense")
