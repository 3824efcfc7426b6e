"""Tests of positions of the store."""

from hypothesis import given
from hypothesis import strategies

from carawayvale.catalogue.position import find_epoch
from carawayvale.catalogue.position import StorePosition
from carawayvale.catalogue.position import unpack_position

POSITIONS = strategies.builds(
    StorePosition,
    strategies.integers(0, 1000),
    strategies.integers(0, (1 << 40) - 1),
)


class TestStorePosition:
    @given(POSITIONS, POSITIONS)
    def test_packed_positions_have_the_order_of_positions(self, a, b):
        assert (a < b) == (a.pack() < b.pack())

    @given(POSITIONS)
    def test_unpacking_restores_the_position(self, position):
        assert unpack_position(position.pack()) == position
        assert find_epoch(position.pack()) == position.epoch

    def test_a_position_of_the_first_epoch_is_the_revision(self):
        assert StorePosition(0, 73).pack() == 73
