"""Tests of routing, placement, rates and health."""

from collections import Counter
from fractions import Fraction
import random

import pytest

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import RouteRecord
from carawayvale.catalogue.records import WeightedService
from carawayvale.contracts.address import Address
from carawayvale.steering.health import EndpointHealth
from carawayvale.steering.health import FAILURES_TO_EJECT
from carawayvale.steering.health import HealthSignal
from carawayvale.steering import placement
from carawayvale.steering.placement import group_by_region
from carawayvale.steering.placement import ObjectPlacement
from carawayvale.steering.placement import order_endpoints
from carawayvale.steering.placement import score_endpoint
from carawayvale.steering.rates import ColdRateLimit
from carawayvale.steering.rates import FleetRetryBudget
from carawayvale.steering.rates import SHIFT_WINDOW_S
from carawayvale.steering.rates import ShiftLimit
from carawayvale.steering.routing import choose_weighted_service
from carawayvale.steering.routing import RouteTable

MAX_SHIFT = Fraction(15, 100)


def make_route(name, prefix, *services):
    return RouteRecord(
        name, "a.example", prefix, True, 1.0, 0.2, 0, 2, services
    )


def make_endpoints(count, region="zurich"):
    return [
        EndpointRecord(
            f"{region}-{n}",
            Address("10.0.0.1", n),
            "grids",
            region,
            f"{region}-a",
            4,
        )
        for n in range(count)
    ]


class TestRouteTable:
    ROUTES = (make_route("all", "/"), make_route("deep", "/a/b/"))

    @pytest.mark.parametrize(
        "host,path,name",
        [
            ("a.example", "/a/b/c", "deep"),
            ("A.Example:8080", "/a/b/c", "deep"),
            ("a.example", "/a/b", "all"),
            ("a.example", "/x", "all"),
        ],
    )
    def test_the_longest_prefix_wins(self, host, path, name):
        assert RouteTable(self.ROUTES).find(host, path).name == name

    def test_an_unknown_host_has_no_route(self):
        assert RouteTable(self.ROUTES).find("b.example", "/") is None


class TestSplit:
    def test_shares_follow_the_weights(self):
        route = make_route(
            "r", "/", WeightedService("a", 90), WeightedService("b", 10)
        )
        chosen = [
            choose_weighted_service(route, str(n)).service for n in range(5000)
        ]
        assert 0.08 < chosen.count("b") / len(chosen) < 0.12

    def test_a_service_with_zero_weight_gets_no_requests(self):
        route = make_route(
            "r", "/", WeightedService("a", 0), WeightedService("b", 1)
        )
        chosen = {
            choose_weighted_service(route, str(n)).service for n in range(500)
        }
        assert chosen == {"b"}


class TestPlacement:
    def test_own_region_comes_first(self):
        endpoints = make_endpoints(3, "geneva") + make_endpoints(3)
        ordered = order_endpoints(endpoints, "k", "zurich")
        assert [e.region for e in ordered[:3]] == ["zurich"] * 3

    def test_removing_an_endpoint_moves_only_its_objects(self):
        endpoints = make_endpoints(6)
        for key in map(str, range(200)):
            before = order_endpoints(endpoints, key, "zurich")[0]
            after = order_endpoints(endpoints[1:], key, "zurich")[0]
            assert before in (endpoints[0], after)

    def test_objects_spread_over_the_endpoints(self):
        endpoints = make_endpoints(4)
        first = [
            order_endpoints(endpoints, str(n), "zurich")[0].name
            for n in range(2000)
        ]
        for endpoint in endpoints:
            assert 400 < first.count(endpoint.name) < 600

    def test_first_choice_in_a_region_is_the_same_for_all_callers(self):
        """Load that overflows to another region finds warm objects there."""
        endpoints = make_endpoints(6) + make_endpoints(4, "geneva")
        for key in map(str, range(50)):
            at_home = ObjectPlacement(
                group_by_region(endpoints), key, "geneva"
            )
            abroad = ObjectPlacement(group_by_region(endpoints), key, "zurich")
            assert abroad.first_remote == [at_home.local[0]]
            ordered = order_endpoints(endpoints, key, "zurich")
            assert abroad.local + abroad.remote == ordered

    def test_other_regions_are_not_compared_before_they_are_used(
        self, monkeypatch
    ):
        endpoints = make_endpoints(6) + make_endpoints(40, "geneva")
        scored = []

        def record_score(key, endpoint):
            scored.append(endpoint.region)
            return score_endpoint(key, endpoint)

        monkeypatch.setattr(placement, "score_endpoint", record_score)
        by_region = group_by_region(endpoints)
        assert len(ObjectPlacement(by_region, "k", "zurich").local) == 6
        assert set(scored) == {"zurich"}


class TestColdLimit:
    @pytest.mark.parametrize("rate", [2.0, 12.0, 40.0])
    def test_two_owners_stay_within_the_allowed_excess(self, rate):
        sent = []
        for limit in (ColdRateLimit(rate, 0.0), ColdRateLimit(rate, 0.0)):
            for step in range(5000):
                now_s = step / 1000
                if limit.find_start(now_s, 0) <= now_s:
                    limit.record_send(now_s)
                    sent.append(now_s)
        for start_s in sent:
            window = [t for t in sent if start_s <= t < start_s + 1.0]
            assert len(window) <= rate * 1.5 + 5

    def test_a_new_owner_starts_as_if_a_request_was_just_sent(self):
        assert ColdRateLimit(12.0, 5.0).find_start(5.0, 0) > 5.0


class TestFleetRetryBudget:
    def test_the_sum_over_instances_stays_within_the_budget(self):
        spent = 0
        for _ in range(20):
            budget = FleetRetryBudget(0.2, 120, 10.0)
            for n in range(100):
                budget.record_request(n / 10)
                spent += budget.spend(n / 10, 20)
        allowed = 0.2 * 2000 + 120
        assert 0.7 * allowed < spent <= allowed

    def test_requests_of_an_earlier_window_allow_no_retries(self):
        budget = FleetRetryBudget(0.2, 0, 10.0)
        for _ in range(100):
            budget.record_request(0.0)
        assert budget.spend(1.0, 20)
        assert not budget.spend(11.0, 20)


def send(limit, wants_remote, now_s):
    """Send a request within a limit; returns whether it is remote."""
    remote = wants_remote
    if wants_remote and not limit.allows_remote(now_s):
        remote = False
    elif not wants_remote and limit.requires_remote(now_s):
        remote = True
    limit.record(remote, now_s)
    return remote


def list_shares(sent):
    """List the shares of remote requests by half seconds, up to 20 s."""
    shares = []
    for start in range(0, 36):
        start_s = start / 2
        window = [
            r for t, r in sent if start_s <= t < start_s + SHIFT_WINDOW_S
        ]
        shares.append(Fraction(sum(window), len(window)))
    return shares


def list_steps(shares):
    """List the changes of the share from one window to the next."""
    return [abs(b - a) for a, b in zip(shares, shares[4:], strict=False)]


class TestShiftLimit:
    """Load in one region that rises and falls suddenly."""

    def simulate(self, find_remote_share):
        """Simulate 100 requests per second.

        :param find_remote_share: share of requests that would be served
            in another region without a limit, by time.
        """
        limit = ShiftLimit(0.15)
        rng = random.Random(3)
        sent = []
        for step in range(2000):
            now_s = step / 100
            remote = rng.random() < find_remote_share(now_s)
            sent.append((now_s, send(limit, remote, now_s)))
        return sent

    def test_the_first_window_is_not_limited(self):
        """At startup the region may have too few endpoints."""
        limit = ShiftLimit(0.15)
        for step in range(100):
            assert limit.allows_remote(step / 100)
            limit.record(True, step / 100)

    def test_an_evacuation_suspends_the_limit_for_a_while(self):
        limit = ShiftLimit(0.15)
        for step in range(400):
            limit.record(False, step / 100)
        for step in range(50):
            limit.record(True, 4.0)
        assert not limit.allows_remote(4.0)
        limit.suspend(4.5)
        assert limit.allows_remote(4.0)
        assert not limit.requires_remote(4.0)
        assert not limit.allows_remote(4.5)

    def test_the_share_of_remote_requests_changes_in_steps(self):
        sent = self.simulate(lambda now_s: 0.5 if 4 <= now_s < 12 else 0.0)
        shares = list_shares(sent)
        assert max(list_steps(shares)) <= MAX_SHIFT
        assert max(shares) > 0.3


class TestShiftLimitOfManyInstances:
    """A region of many instances that get few requests each."""

    INSTANCES = 42
    REQUESTS_PER_S = 7.0  # at each instance

    def simulate(self, find_remote_share):
        """Simulate 20 s of a region; see TestShiftLimit."""
        rng = random.Random(5)
        limits = [ShiftLimit(0.15) for _ in range(self.INSTANCES)]
        for limit in limits:
            limit.set_instances(self.INSTANCES)
        sent = []
        now_s = 0.0
        while now_s < 20.0:
            now_s += rng.expovariate(self.INSTANCES * self.REQUESTS_PER_S)
            limit = rng.choice(limits)
            remote = rng.random() < find_remote_share(now_s)
            sent.append((now_s, send(limit, remote, now_s)))
        return sent

    @pytest.mark.parametrize(
        "find_remote_share",
        (
            lambda now_s: 0.6 if now_s < SHIFT_WINDOW_S else 0.0,
            lambda now_s: 0.9 if now_s < 8 else 0.2,
            lambda now_s: 0.0 if now_s < 6 else 0.8,
            lambda now_s: 0.3 if now_s < 6 else 1.0,
        ),
    )
    def test_the_share_of_the_region_changes_in_steps(self, find_remote_share):
        shares = list_shares(self.simulate(find_remote_share))
        assert max(list_steps(shares)) <= MAX_SHIFT

    def test_the_share_of_the_region_can_rise(self):
        sent = self.simulate(lambda now_s: 0.0 if now_s < 6 else 0.8)
        assert list_shares(sent)[-1] > 0.3


class TestEndpointHealth:
    def test_an_unreachable_endpoint_is_ejected_at_once(self):
        health = EndpointHealth()
        health.record(HealthSignal.UNREACHABLE, 1.0)
        assert not health.is_usable
        assert not health.needs_check(1.0)
        assert health.needs_check(2.0)

    def test_single_broken_responses_do_not_eject(self):
        health = EndpointHealth()
        for _ in range(3 * FAILURES_TO_EJECT):
            health.record(HealthSignal.BROKEN, 1.0)
            health.record(HealthSignal.ANSWERED, 1.0)
        assert health.is_usable

    def test_ejections_become_longer_while_checks_fail(self):
        health = EndpointHealth()
        health.record(HealthSignal.UNREACHABLE, 0.0)
        first_check_s = health.next_check_s
        health.record_check(False, first_check_s)
        assert health.next_check_s - first_check_s > first_check_s
        health.record_check(True, health.next_check_s)
        assert health.is_usable

    def test_a_check_that_began_before_a_restoration_may_fail(self):
        health = EndpointHealth()
        health.record(HealthSignal.UNREACHABLE, 0.0)
        health.record_check(True, 1.0)
        health.record_check(False, 1.1)
        assert health.is_usable

    def test_a_failing_endpoint_gets_one_sample_per_interval(self):
        """The endpoint fails half of its requests."""
        health = EndpointHealth()
        for n in range(20):
            signal = (HealthSignal.ANSWERED, HealthSignal.REFUSED)[n % 2]
            health.record(signal, n / 10)
        assert health.is_failing and health.is_usable
        samples = sum(health.admit_sample(n / 100) for n in range(300))
        assert 8 <= samples <= 11
        for _ in range(12):
            health.record(HealthSignal.ANSWERED, 9.0)
        assert not health.is_failing

    def test_rare_errors_do_not_make_an_endpoint_failing(self):
        health = EndpointHealth()
        for n in range(300):
            signal = (
                HealthSignal.ERROR if n % 30 == 0 else HealthSignal.ANSWERED
            )
            health.record(signal, n / 10)
            assert not health.is_failing


class TestShiftBetweenOtherRegions:
    """Most instances prefer one other region, then at once the other one."""

    INSTANCES = 8
    RATE = 60
    LENGTH_S = 14.0
    FLIP_S = 3.0
    REMOTE_SHARE = 0.5
    FIRST_SHARE = 0.9

    def list_choices(self, rng, time_s):
        """List the other regions of a request, the preferred one first."""
        order = ["geneva", "lugano"]
        is_first = rng.random() < self.FIRST_SHARE
        if is_first == bool(int(time_s // self.FLIP_S) % 2):
            order.reverse()
        return order if rng.random() < self.REMOTE_SHARE else []

    def play(self, seed):
        """Return the shares of the regions in each window of two seconds."""
        rng = random.Random(seed)
        limits = [ShiftLimit(0.15) for _ in range(self.INSTANCES)]
        for limit in limits:
            limit.set_instances(self.INSTANCES)
        number = int(self.INSTANCES * self.RATE * self.LENGTH_S)
        times_s = sorted(rng.uniform(0, self.LENGTH_S) for _ in range(number))
        windows = {}
        for time_s in times_s:
            limit = rng.choice(limits)
            choices = self.list_choices(rng, time_s)
            if limit.requires_remote(time_s):
                choices = choices or ["geneva", "lugano"]
            allowed = [r for r in choices if limit.allows_remote(time_s, r)]
            region = allowed[0] if allowed else ""
            limit.record(bool(region), time_s, region)
            window = windows.setdefault(int(time_s // 2), Counter())
            window[region] += 1
        return [
            {r: n / sum(window.values()) for r, n in window.items()}
            for _, window in sorted(windows.items())
        ]

    def test_requests_that_change_their_region_are_limited(self):
        changes = []
        for seed in range(10):
            shares = self.play(seed)
            changes += [
                sum(max(0.0, new[r] - old.get(r, 0.0)) for r in new)
                for old, new in zip(shares, shares[1:])
            ]
        assert max(changes) <= MAX_SHIFT
