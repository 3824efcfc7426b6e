"""Tests of the part of requests that is sent to other regions first.

The load is played on the decisions alone: regions are pools of slots, and
the entry instances decide where each request is sent.
"""

from collections import Counter
import heapq
import math
import random

from carawayvale.steering.rates import ShiftLimit
from carawayvale.steering.region_shares import LOCAL_MARGIN_S
from carawayvale.steering.region_shares import RegionShares

# Slots of 16, 72 and 72 endpoints; runs take half a second.
SLOTS = {"small": 48, "north": 216, "south": 216}
SERVICE_S = 0.5
CAPACITY = sum(SLOTS.values()) / SERVICE_S
OBJECTIVE_S = 0.75

# Time for the rejection by four owners of the own region, and for the way to
# another region and back.
LOCAL_TRIES_S = 0.01
REMOTE_ROUND_TRIP_S = 0.04

ENTRIES = 3  # in each region
MAX_SHIFT = 0.15
START_S = 12.0


class Entry:
    """One entry instance, with or without the learned part."""

    def __init__(self, region, learns):
        self.region = region
        self.learns = learns
        self.limit = ShiftLimit(MAX_SHIFT)
        self.limit.set_instances(ENTRIES)
        self.shares = RegionShares(region)
        self.others = [other for other in SLOTS if other != region]

    def order(self, key, rng, now_s):
        """Order the regions for a request."""
        others = rng.sample(self.others, 2)
        remote_first = self.limit.requires_remote(now_s)
        if self.learns:
            shares = self.shares
            remote_first |= shares.starts_remote(key, others, now_s)
            preferred = shares.list_preferred(others, now_s)
            others.sort(key=lambda r: r not in preferred)
        if remote_first:
            return [*others, self.region]
        return [self.region, *others]


class Played:
    """Load of all regions, played on the decisions of their entries.

    :param find_rate: requests per second of a region at a time.
    :param learns: whether entries learn the part.
    :param end_s: end of the load.
    """

    def __init__(self, find_rate, learns, end_s=60.0, seed=1):
        self.rng = random.Random(seed)
        self.free_s = {r: [0.0] * slots for r, slots in SLOTS.items()}
        self.entries = {
            r: [Entry(r, learns) for _ in range(ENTRIES)] for r in SLOTS
        }
        self.callers, self.in_time = Counter(), Counter()
        self.tries, self.flows = Counter(), Counter()
        self.flows_by_second, self.served_by_second = Counter(), Counter()
        self.in_time_by_second, self.callers_by_second = Counter(), Counter()
        arrivals = sorted(
            (time_s, region)
            for region in SLOTS
            for time_s in self.make_arrivals(find_rate, region, end_s)
        )
        for now_s, region in arrivals:
            self.serve(now_s, region)

    def make_arrivals(self, find_rate, region, end_s):
        time_s = 0.0
        while time_s < end_s:
            time_s += self.rng.expovariate(find_rate(region, time_s))
            yield time_s

    def serve(self, now_s, region):
        entry = self.rng.choice(self.entries[region])
        counted = now_s > START_S
        second = int(now_s)
        self.callers[region] += counted
        self.callers_by_second[region, second] += 1
        lost_s, rejected_locally = 0.0, False
        for place in entry.order(str(self.rng.random()), self.rng, now_s):
            is_remote = place != region
            if is_remote and not entry.limit.allows_remote(now_s):
                continue
            if is_remote and rejected_locally and entry.learns:
                if not entry.shares.may_accept(place, now_s):
                    continue
            self.tries[region] += counted
            entry.shares.record_asked(place, now_s)
            start_s = now_s + lost_s + REMOTE_ROUND_TRIP_S / 2 * is_remote
            slots = self.free_s[place]
            start_s = max(start_s, slots[0])
            left_s = now_s + OBJECTIVE_S - REMOTE_ROUND_TRIP_S / 2 * is_remote
            margin_s = 0.0
            if entry.learns and not is_remote:
                margin_s = LOCAL_MARGIN_S
            if start_s + SERVICE_S > left_s - margin_s:
                rejected_locally |= not is_remote
                entry.shares.record_rejected(place, now_s)
                lost_s += REMOTE_ROUND_TRIP_S if is_remote else LOCAL_TRIES_S
                continue
            took_s = SERVICE_S * math.exp(self.rng.gauss(0, 0.2))
            heapq.heapreplace(slots, start_s + took_s)
            entry.limit.record(is_remote, now_s)
            self.served_by_second[region, second] += 1
            in_time = start_s + took_s <= left_s
            self.in_time[region] += in_time and counted
            self.in_time_by_second[region, second] += in_time
            if is_remote:
                self.flows[region, place] += counted
                self.flows_by_second[region, place, second] += 1
            return

    def find_share(self, region):
        return self.in_time[region] / self.callers[region]

    def find_mean_share(self):
        return sum(self.in_time.values()) / sum(self.callers.values())


def make_even_rate(load):
    """Make the same demand in each region, as a share of all capacity."""
    return lambda region, time_s: load * CAPACITY / len(SLOTS)


def make_wave(load, amplitude, phases):
    """Make a demand that rises and falls every 36 seconds."""

    def find_rate(region, time_s):
        angle = 2 * math.pi * time_s / 36 + phases[region]
        return load * CAPACITY / 3 * (1 + amplitude * math.sin(angle))

    return find_rate


def make_burst(load, region_of_burst, factor, start_s, end_s):
    """Make an even demand with a burst in one region."""

    def find_rate(region, time_s):
        in_burst = region == region_of_burst and start_s < time_s < end_s
        return load * CAPACITY / 3 * (factor if in_burst else 1)

    return find_rate


def play_both(find_rate):
    """Play a load without and with the learned part."""
    return Played(find_rate, False), Played(find_rate, True)


def measure_swap(played):
    """Measure the largest part of two regions' requests that change places."""
    return max(
        min(played.flows[a, b], played.flows[b, a])
        / min(played.callers[a], played.callers[b])
        for a in SLOTS
        for b in SLOTS
        if a < b
    )


def measure_shift(played, region):
    """Measure the largest change of the remote share between windows."""
    shares = []
    for second in range(int(START_S), 58, 2):
        window = (second, second + 1)
        remote = sum(
            played.flows_by_second[region, other, s]
            for other in SLOTS
            for s in window
        )
        served = sum(played.served_by_second[region, s] for s in window)
        shares.append(remote / served)
    return max(abs(b - a) for a, b in zip(shares, shares[1:]))


class TestLoads:
    def test_callers_of_a_small_region_are_served(self):
        """A tenth of the capacity meets a third of the demand."""
        before, after = play_both(make_even_rate(0.65))
        assert before.find_share("small") < 0.8
        assert after.find_share("small") > 0.85
        assert after.find_share("small") > 0.8 * after.find_mean_share()
        for region in ("north", "south"):
            assert after.find_share(region) > before.find_share(region) - 0.01
        tries = after.tries["small"] / after.callers["small"]
        assert tries < 1.1 < before.tries["small"] / before.callers["small"]

    def test_waves_are_followed(self):
        phases = {"small": 0.0, "north": 2.0, "south": 4.0}
        before, after = play_both(make_wave(0.65, 0.5, phases))
        assert after.find_share("small") > before.find_share("small") + 0.05
        for region in ("north", "south"):
            assert after.find_share(region) > before.find_share(region) - 0.01

    def test_opposite_waves_do_not_swap_load(self):
        """Two regions that are overloaded in turn must not trade places."""
        phases = {"small": 0.0, "north": 0.0, "south": math.pi}
        before, after = play_both(make_wave(0.9, 0.6, phases))
        assert after.find_mean_share() > before.find_mean_share() - 0.01
        # Each of them sends some to the other within a wave.
        assert measure_swap(after) < 0.1

    def test_overloaded_regions_do_not_swap_load(self):
        before, after = play_both(make_even_rate(1.3))
        assert measure_swap(after) < 0.02
        assert after.find_mean_share() > before.find_mean_share() - 0.01

    def test_an_overload_is_shared_by_the_regions(self):
        """Requests from other regions must not lose by their way alone."""
        before, after = play_both(make_even_rate(1.3))
        assert before.find_share("small") < 0.6 * before.find_mean_share()
        assert after.find_share("small") > 0.75 * after.find_mean_share()

    def test_a_burst_is_answered_within_two_seconds(self):
        """The part reacts; the shift limit bounds what it changes."""
        find_rate = make_burst(0.3, "small", 4.0, 20.0, 60.0)
        played = Played(find_rate, True, end_s=22.0)
        for entry in played.entries["small"]:
            assert entry.shares.remote_part > 0.5

    def test_the_part_ends_with_the_burst(self):
        find_rate = make_burst(0.2, "small", 5.0, 15.0, 25.0)
        played = Played(find_rate, True, end_s=45.0)
        for entry in played.entries["small"]:
            assert entry.shares.remote_part < 0.05

    def test_the_shift_limit_is_kept(self):
        played = Played(make_even_rate(0.65), True)
        assert measure_shift(played, "small") <= MAX_SHIFT

    def test_a_burst_shifts_no_more_than_without_the_part(self):
        """Requests of a burst that overflow are limited in the same way."""
        before, after = play_both(make_burst(0.3, "small", 4.0, 20.0, 40.0))
        allowed = max(MAX_SHIFT, measure_shift(before, "small"))
        assert measure_shift(after, "small") <= allowed


class TestRegionShares:
    def test_all_requests_start_in_a_region_that_rejects_none(self):
        shares = RegionShares("a")
        for number in range(1000):
            now_s = number / 100
            shares.record_asked("a", now_s)
            assert not shares.starts_remote(str(number), ["b", "c"], now_s)

    def test_a_few_rejections_after_a_silence_decide_little(self):
        shares = RegionShares("a")
        shares.starts_remote("", ["b"], 0.0)
        shares.record_asked("a", 10.0)
        shares.record_rejected("a", 10.0)
        shares.starts_remote("", ["b"], 10.2)
        assert shares.remote_part < 0.15

    def test_without_other_regions_nothing_is_remote(self):
        shares = RegionShares("a", remote_part=1.0)
        assert not shares.starts_remote("x", [], 0.0)
        assert shares.list_preferred([], 0.0) == set()

    def test_regions_that_reject_more_come_last(self):
        shares = RegionShares("a")
        for number in range(20):
            for region in ("b", "c"):
                shares.record_asked(region, number / 10)
            shares.record_rejected("b", number / 10)
        assert shares.list_preferred(["b", "c"], 2.0) == {"c"}
        assert shares.list_preferred(["b", "c"], 20.0) == {"b", "c"}

    def test_a_clock_that_stands_still_is_no_error(self):
        shares = RegionShares("a")
        for _ in range(3):
            shares.record_asked("a", 5.0)
            shares.record_rejected("a", 5.0)
            shares.starts_remote("x", ["b"], 5.0)
        assert 0.0 <= shares.remote_part <= 1.0
