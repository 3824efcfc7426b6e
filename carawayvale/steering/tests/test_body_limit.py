"""Tests of the bytes of large bodies that an endpoint holds at one time."""

import math

from carawayvale.steering.body_limit import DOUBLING_S
from carawayvale.steering.body_limit import EndpointBodyLimit
from carawayvale.steering.body_limit import MIN_LIMIT_BYTES
from carawayvale.steering.body_limit import UNCOUNTED_BYTES

MIB = 1 << 20


class TestEndpointBodyLimit:
    def test_there_is_no_limit_before_a_crash(self):
        limit = EndpointBodyLimit()
        assert all(limit.reserve(64 * MIB, 0.0) for _ in range(100))

    # Guards against an endpoint that gets the same bodies again after they
    # have exceeded its memory.
    def test_crash_with_large_bodies_halves_what_is_held(self):
        limit = EndpointBodyLimit()
        assert limit.record_crash(1, 16 * MIB, 0.0)
        assert limit.reserve(6 * MIB, 0.0)
        assert not limit.reserve(6 * MIB, 0.0)
        assert limit.reserve(2 * MIB, 0.0)
        limit.release(6 * MIB)
        assert limit.reserve(6 * MIB, 0.0)

    def test_small_bodies_and_a_single_large_one_are_admitted(self):
        limit = EndpointBodyLimit()
        limit.record_crash(1, 2 * MIB, 0.0)
        assert limit.reserve(64 * MIB, 0.0)
        assert not limit.reserve(MIB, 0.0)
        assert limit.reserve(UNCOUNTED_BYTES, 0.0)

    def test_limit_doubles_with_time(self):
        limit = EndpointBodyLimit()
        limit.record_crash(1, 16 * MIB, 0.0)
        assert limit.find_limit(DOUBLING_S) == 16 * MIB
        assert math.isfinite(limit.find_limit(1e9))

    def test_each_exchange_of_one_crash_counts_once(self):
        limit = EndpointBodyLimit()
        for _ in range(4):
            limit.begin(4 * MIB)
        held = [limit.end(4 * MIB) for _ in range(4)]
        assert held == [16 * MIB, 12 * MIB, 8 * MIB, 4 * MIB]
        # The exchange that held most may report last.
        reported = [limit.record_crash(1, n, 0.0) for n in reversed(held)]
        assert reported == [True] * 4
        assert limit.find_limit(0.0) == 8 * MIB
        assert not limit.record_crash(1, 12 * MIB, 0.0)
        assert limit.find_limit(0.0) == 8 * MIB

    def test_second_crash_lowers_the_limit_further(self):
        limit = EndpointBodyLimit()
        limit.record_crash(1, 16 * MIB, 0.0)
        limit.record_crash(2, 8 * MIB, 1.0)
        assert limit.find_limit(1.0) == 4 * MIB
        limit.record_crash(3, MIN_LIMIT_BYTES, 2.0)
        assert limit.find_limit(2.0) == MIN_LIMIT_BYTES

    def test_single_large_body_does_not_raise_the_limit(self):
        limit = EndpointBodyLimit()
        limit.record_crash(1, 8 * MIB, 0.0)
        limit.record_crash(2, 2 * MIB, 1.0)
        limit.record_crash(2, 64 * MIB, 1.0)
        assert limit.find_limit(0.0) < 4.2 * MIB

    def test_crash_without_large_bodies_sets_no_limit(self):
        limit = EndpointBodyLimit()
        assert not limit.record_crash(1, MIN_LIMIT_BYTES - 1, 0.0)
        assert math.isinf(limit.find_limit(0.0))
