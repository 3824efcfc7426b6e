"""Tests of the capacities of instances in the store."""

import pytest

from carawayvale.capacity.weights import Capacity
from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.source import CapacityUpdate
from carawayvale.platform.capacities import CAPACITIES_PREFIX
from carawayvale.platform.capacities import decode_capacity
from carawayvale.platform.capacities import encode_capacity
from carawayvale.platform.source import PlatformSource

CAPACITY = Capacity(0.3, 5.0)


class TestCapacityItems:
    def test_entry_is_decoded_by_its_key(self):
        key, value = CAPACITIES_PREFIX + "e1", encode_capacity(CAPACITY)
        source = PlatformSource({})
        update = source.decode(StoredItem(key, 1, value))
        assert update == CapacityUpdate("e1", CAPACITY)
        update = source.decode(StoredItem(key, 2, None))
        assert update == CapacityUpdate("e1", None)

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"\xff",
            b"[]",
            b"{}",
            b'{"cpu_share": 1}',
            b'{"cpu_share": "1", "link_mbps": 5}',
            b'{"cpu_share": 0, "link_mbps": 5}',
            b'{"cpu_share": 1, "link_mbps": NaN}',
            b'{"cpu_share": true, "link_mbps": 5}',
        ],
    )
    def test_unusable_entry_is_refused(self, value):
        with pytest.raises(ValueError):
            decode_capacity(StoredItem("key", 1, value))
