"""Tests of the estimate of service times."""

from collections import OrderedDict
import random

import pytest

from carawayvale.steering.service_times import MAX_CAPACITY
from carawayvale.steering.service_times import ServiceTimes

WARM_S = 0.2
NEW_S = 0.6


class SimulatedEndpoint:
    """Endpoint that keeps the objects used last but reports none of them.

    :param capacity: number of objects that the endpoint keeps.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.objects = OrderedDict()
        self.service_times = ServiceTimes()

    def serve(self, key, now_s):
        """Serve a request and record its service time."""
        expected_warm = self.service_times.is_warm(key)
        reuse_distance = self.service_times.record_use(key, now_s)
        took_s = WARM_S if key in self.objects else NEW_S
        self.objects[key] = None
        self.objects.move_to_end(key)
        while len(self.objects) > self.capacity:
            self.objects.popitem(last=False)
        self.service_times.record(key, expected_warm, took_s, reuse_distance)


class TestServiceTimes:
    def test_requests_without_an_object_have_their_own_mean(self):
        """Their short service times must not lower the other means."""
        times = ServiceTimes()
        times.record("a", False, NEW_S)
        for _ in range(20):
            times.record("", False, 0.002)
        assert times.estimate("b") == pytest.approx(NEW_S)
        assert times.estimate("") == pytest.approx(0.002)

    def test_a_fast_new_object_does_not_lower_the_mean_of_new_ones(self):
        """The endpoint may keep it since it served an earlier owner."""
        times = ServiceTimes(warm_s=WARM_S, new_s=NEW_S)
        times.record("a", False, WARM_S)
        assert times.estimate("b") == pytest.approx(NEW_S)

    @pytest.mark.parametrize("capacity", [12, 25, 60])
    def test_estimates_how_many_objects_an_endpoint_keeps(self, capacity):
        """Requests concern more objects than the endpoint keeps."""
        rng = random.Random(3)
        endpoint = SimulatedEndpoint(capacity)
        for step in range(3000):
            endpoint.serve(f"o{rng.randrange(2 * capacity)}", step * 0.05)
        assert (
            0.5 * capacity <= endpoint.service_times.capacity <= 1.3 * capacity
        )
        assert endpoint.service_times.new_s == pytest.approx(NEW_S, rel=0.2)

    def test_the_capacity_stays_if_the_endpoint_keeps_all_objects(self):
        rng = random.Random(3)
        endpoint = SimulatedEndpoint(100)
        for step in range(2000):
            endpoint.serve(f"o{rng.randrange(80)}", step * 0.05)
        assert endpoint.service_times.capacity == MAX_CAPACITY

    def test_the_capacity_stays_if_the_endpoint_becomes_slow(self):
        times = ServiceTimes(warm_s=WARM_S, new_s=NEW_S)
        for step in range(40):
            times.record_use(f"o{step % 4}", float(step))
            times.record(f"o{step % 4}", True, 4 * WARM_S, 3)
        assert times.capacity == MAX_CAPACITY
        assert times.estimate("o1") == pytest.approx(4 * WARM_S, rel=0.1)
