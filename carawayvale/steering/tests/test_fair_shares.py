"""Tests of fair shares of an endpoint's queue among organisations."""

from collections import Counter
import heapq
import itertools
import random

from hypothesis import given
from hypothesis import strategies
import pytest

from carawayvale.catalogue.records import OrganisationRecord
from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.fair_shares import FairShares
from carawayvale.steering.fair_shares import find_weights
from carawayvale.steering.queued_request import QueueClass
from carawayvale.steering.queued_request import QueuedRequest

SERVICE_S = 0.1
SLOTS = 4


def make_request(organisation="", rank=0, at_s=0.0, key="", **fields):
    """Make a request that waits as long as it takes."""
    fields = {"objective_s": at_s + 90.0, "deadline_s": at_s + 99.0, **fields}
    return QueuedRequest(rank, key, organisation=organisation, **fields)


def make_queue(weights, slots=1):
    """Make a queue that knows its service time."""
    queue = EndpointQueue(slots)
    queue.set_weights(weights)
    for _ in range(20):
        queue.service_times.record("", False, SERVICE_S, 0)
    return queue


def drain(queue, now_s=1.0):
    """Start the waiting requests one after the other."""
    started = []
    while True:
        request = queue.take(now_s)
        if request is None:
            return started
        started.append(request)
        now_s += SERVICE_S
        queue.release(request, now_s, served=True)


class TestWeights:
    def test_organisations_without_a_rate_get_the_mean(self):
        records = [
            OrganisationRecord("a", (), rate_per_s=2.0),
            OrganisationRecord("b", (), rate_per_s=6.0),
            OrganisationRecord("c", ()),
        ]
        weights = find_weights({r.name: r for r in records})
        assert weights == {"a": 2.0, "b": 6.0, "c": 4.0}

    def test_without_rates_there_are_no_shares(self):
        record = OrganisationRecord("a", ())
        assert not find_weights({"a": record})
        queue = EndpointQueue(1)
        queue.set_weights({})
        assert queue.shares is None


class TestOrder:
    def test_an_organisation_with_few_requests_does_not_wait_for_many(self):
        queue = make_queue({"a": 1.0, "b": 1.0})
        for _ in range(8):
            queue.offer(make_request("a"), 0.0)
        queue.offer(make_request("b"), 0.5)
        names = [r.organisation for r in drain(queue)]
        assert names.index("b") == 0

    def test_starts_follow_the_weights(self):
        queue = make_queue({"a": 1.0, "b": 3.0})
        for _ in range(40):
            queue.offer(make_request("a"), 0.0)
            queue.offer(make_request("b"), 0.0)
        names = [r.organisation for r in drain(queue)][:40]
        assert 28 <= names.count("b") <= 31

    def test_idle_time_gives_credit_for_few_requests(self):
        queue = make_queue({"a": 1.0, "b": 1.0})
        for _ in range(60):
            queue.offer(make_request("a"), 0.0)
        for _ in range(30):
            queue.release(queue.take(1.0), 1.0, served=False)
        for _ in range(30):
            queue.offer(make_request("b"), 1.0)
        names = [r.organisation for r in drain(queue)][:20]
        assert 10 <= names.count("b") <= 12

    def test_class_and_rank_come_first(self):
        queue = make_queue({"a": 1.0, "b": 1.0})
        for _ in range(3):
            queue.offer(make_request("a", rank=0), 0.0)
            queue.offer(make_request("b", rank=1), 0.0)
        queue.waiting[0].queue_class = QueueClass.LATE
        started = drain(queue)
        keys = [(r.queue_class, r.rank) for r in started]
        assert keys == sorted(keys)

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2), strategies.integers(0, 3)
            ),
            max_size=30,
        )
    )
    def test_one_organisation_keeps_the_order_of_arrival(self, arrivals):
        plain, shared = make_queue({}), make_queue({"a": 2.0})
        for number, (rank, pause) in enumerate(arrivals):
            now_s = number + pause / 10
            for queue in (plain, shared):
                request = make_request("a", rank, now_s, key=str(number))
                queue.offer(request, now_s)
        expected = [r.key for r in drain(plain, 50.0)]
        assert [r.key for r in drain(shared, 50.0)] == expected


class TestAdmission:
    def test_the_estimate_uses_the_order_of_the_shares(self):
        queue = make_queue({"a": 1.0, "b": 1.0})
        for _ in range(20):
            queue.offer(make_request("a"), 0.0)
        fields = {"objective_s": 0.5, "deadline_s": 9.0}
        rejection = queue.offer(make_request("a", **fields), 0.0)
        assert rejection.finish_s == pytest.approx(2.1, abs=0.2)
        assert queue.offer(make_request("b", **fields), 0.0) is None

    def test_a_request_behind_later_ones_leaves_when_it_cannot_finish(self):
        """It may be tried at another endpoint."""
        queue = make_queue({"a": 1.0, "b": 9.0})
        for _ in range(2):
            queue.offer(make_request("a"), 0.0)
        last = make_request("a", objective_s=0.5, deadline_s=0.5)
        assert queue.offer(last, 0.0) is None
        for _ in range(6):
            queue.offer(make_request("b"), 0.1)
        assert queue.drop_infeasible(0.1) == [last]
        assert last.expected_s > 0.5
        assert not queue.drop_infeasible(0.1)


class Load:
    """Load of organisations on one queue, with callers that repeat once."""

    NORMAL = {"a": 1, "b": 1, "c": 1, "d": 1, "e": 2, "f": 2, "g": 4, "h": 8}
    RATE_PER_WEIGHT = 1.6
    LARGE = "g"
    END_S = 60.0

    def __init__(self, weights, factor):
        self.queue = make_queue(weights, SLOTS)
        self.factor = factor
        self.sent = Counter()
        self.served = Counter()
        self.numbers = itertools.count()
        self.events = []
        chooser = random.Random(5)
        for name, weight in self.NORMAL.items():
            rate = weight * self.RATE_PER_WEIGHT
            rate *= factor if name == self.LARGE else 1
            now_s = chooser.expovariate(rate)
            while now_s < self.END_S:
                self.add(now_s, "arrive", (name, False))
                now_s += chooser.expovariate(rate)

    def add(self, time_s, kind, details):
        heapq.heappush(
            self.events, (time_s, next(self.numbers), kind, details)
        )

    def run(self):
        """Play all events; return the served share of each organisation."""
        while self.events:
            now_s, _, kind, details = heapq.heappop(self.events)
            getattr(self, kind)(now_s, details)
            self.dispatch(now_s)
        return {n: self.served[n] / self.sent[n] for n in self.sent}

    def arrive(self, now_s, details):
        name, repeated = details
        self.sent[name] += not repeated
        request = make_request(
            name, objective_s=now_s + 0.5, deadline_s=now_s + 2.0
        )
        request.repeated = repeated
        rejection = self.queue.offer(request, now_s)
        if rejection is not None:
            self.refuse(request, rejection.finish_s, now_s)

    def refuse(self, request, wait_s, now_s):
        if not request.repeated:
            details = (request.organisation, True)
            self.add(now_s + wait_s, "arrive", details)

    def finish(self, now_s, request):
        self.served[request.organisation] += now_s <= request.objective_s
        self.queue.release(request, now_s, served=True)

    def dispatch(self, now_s):
        for request in self.queue.drop_infeasible(now_s):
            wait_s = max(request.expected_s, request.service_time_s)
            self.refuse(request, wait_s, now_s)
        while (request := self.queue.take(now_s)) is not None:
            self.add(now_s + SERVICE_S, "finish", request)


class TestFlood:
    """One organisation sends seven times its usual load."""

    def test_the_others_get_what_they_get_without_it(self):
        usual = Load(Load.NORMAL, 1).run()
        flooded = Load(Load.NORMAL, 7).run()
        for name, share in usual.items():
            if name != Load.LARGE:
                assert flooded[name] >= share - 0.05

    def test_it_gets_the_idle_capacity(self):
        load = Load(Load.NORMAL, 7)
        load.run()
        capacity = SLOTS / SERVICE_S * Load.END_S
        assert sum(load.served.values()) >= 0.95 * capacity

    def test_no_organisation_is_served_less_than_a_quarter_as_often(self):
        load = Load(Load.NORMAL, 7)
        shares = load.run()
        total = sum(load.served.values()) / sum(load.sent.values())
        assert min(shares.values()) >= total / 4

    def test_without_weights_the_others_lose(self):
        """This is what the shares are for."""
        flooded = Load({}, 7).run()
        others = [flooded[n] for n in flooded if n != Load.LARGE]
        assert min(others) < 0.8


class TestDemand:
    def test_a_part_of_the_demand_counts_as_weight(self):
        shares = FairShares({"a": 1.0, "b": 99.0})
        for _ in range(99):
            shares.record_demand("a", 1.0)
        shares.record_demand("b", 1.0)
        assert shares.find_weight("a") == pytest.approx(0.33)
        assert shares.find_weight("b") == pytest.approx(0.99)
