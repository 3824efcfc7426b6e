"""Tests of the estimate of service times."""

from collections import OrderedDict
import random

import pytest

from carawayvale.steering.service_times import MAX_ROOM
from carawayvale.steering.service_times import ServiceTimes

KNOWN_S = 0.2
NEW_S = 0.6


class Endpoint:
    """Keeps a number of objects, as real ones do, and names none."""

    def __init__(self, room):
        self.room = room
        self.objects = OrderedDict()
        self.service_times = ServiceTimes()

    def serve(self, key, now_s):
        """Serve a request and record how long it took."""
        known = self.service_times.knows(key)
        depth = self.service_times.remember(key, now_s)
        took_s = KNOWN_S if key in self.objects else NEW_S
        self.objects[key] = None
        self.objects.move_to_end(key)
        while len(self.objects) > self.room:
            self.objects.popitem(last=False)
        self.service_times.record(key, known, took_s, depth)


class TestServiceTimes:
    def test_requests_without_an_object_are_counted_apart(self):
        """Answers the load of requests that need next to nothing."""
        times = ServiceTimes()
        times.record("a", False, NEW_S)
        for _ in range(20):
            times.record("", False, 0.002)
        assert times.estimate("b") == pytest.approx(NEW_S)
        assert times.estimate("") == pytest.approx(0.002)

    def test_a_new_owner_learns_what_the_endpoint_knows(self):
        times = ServiceTimes(known_s=KNOWN_S, new_s=NEW_S)
        times.record("a", False, KNOWN_S)
        assert times.estimate("b") == pytest.approx(NEW_S)

    @pytest.mark.parametrize("room", [12, 25, 60])
    def test_finds_how_many_objects_an_endpoint_keeps(self, room):
        """Answers the load of more objects than an endpoint keeps."""
        rng = random.Random(3)
        endpoint = Endpoint(room)
        for step in range(3000):
            endpoint.serve(f"o{rng.randrange(2 * room)}", step * 0.05)
        assert 0.5 * room <= endpoint.service_times.room <= 1.3 * room
        assert endpoint.service_times.new_s == pytest.approx(NEW_S, rel=0.2)

    def test_an_endpoint_that_keeps_all_is_not_doubted(self):
        rng = random.Random(3)
        endpoint = Endpoint(100)
        for step in range(2000):
            endpoint.serve(f"o{rng.randrange(80)}", step * 0.05)
        assert endpoint.service_times.room == MAX_ROOM

    def test_an_endpoint_that_turns_slow_forgets_nothing(self):
        times = ServiceTimes(known_s=KNOWN_S, new_s=NEW_S)
        for step in range(40):
            times.remember(f"o{step % 4}", float(step))
            times.record(f"o{step % 4}", True, 4 * KNOWN_S, 3)
        assert times.room == MAX_ROOM
        assert times.estimate("o1") == pytest.approx(4 * KNOWN_S, rel=0.1)
