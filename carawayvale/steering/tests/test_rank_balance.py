"""Tests that more urgent work is served no less often than less urgent work.

One endpoint is overloaded by kinds of requests with different ranks and
objectives, in virtual time.
"""

from collections import Counter
from dataclasses import dataclass
import heapq
import itertools
import random

import pytest

from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.load_reports import LoadReport
from carawayvale.steering.queued_request import QueuedRequest
from carawayvale.steering.rank_balance import RankBalance

SLOTS = 6
REPORT_INTERVAL_S = 0.1

# Time after which a request that was rejected comes back and may be late.
RETURN_S = 0.05
START_S = 5.0

# Standard error of the difference of two measured shares that agree: the
# rarer of the two ranks has about 500 requests.
CHANCE = 0.01


@dataclass(frozen=True)
class Kind:
    """Kind of requests; its rank is its place in the list."""

    share: float
    service_s: float
    objective_s: float
    deadline_s: float


# Shares, objectives and deadlines of two deployments. Their most frequent
# kind is the most urgent one and has the earliest objective.
DEPLOYMENTS = {
    "listings": (
        Kind(0.607, 0.30, 0.444, 3.46),
        Kind(0.253, 0.39, 0.646, 4.42),
        Kind(0.075, 0.36, 0.647, 5.30),
    ),
    "tracking": (
        Kind(0.65, 0.6, 0.9, 6.9),
        Kind(0.28, 0.8, 2.1, 8.5),
        Kind(0.07, 0.6, 1.3, 6.6),
    ),
    "even": (
        Kind(0.2, 0.36, 0.444, 3.46),
        Kind(0.6, 0.30, 0.646, 4.42),
        Kind(0.2, 0.36, 0.647, 5.30),
    ),
}


class Overload:
    """An overloaded endpoint.

    :param kinds: kinds of requests by rank.
    :param load: demand as a share of the capacity.
    :param paced: whether the endpoint reports its pace.
    :param seed: seed of the random numbers.
    """

    def __init__(self, kinds, load, paced, seed, end_s=60.0):
        self.rng = random.Random(seed)
        self.paced = paced
        self.queue = EndpointQueue(SLOTS)
        self.sequence = itertools.count()
        self.events = []
        self.offered, self.served = Counter(), Counter()
        self.reported_s = 0.0
        shares = [kind.share for kind in kinds]
        mean_s = sum(k.share * k.service_s for k in kinds) / sum(shares)
        times = self.queue.service_times
        times.warm_s = times.new_s = mean_s
        now_s = 0.0
        while now_s < end_s:
            now_s += self.rng.expovariate(load * SLOTS / mean_s)
            rank = self.rng.choices(range(len(kinds)), shares)[0]
            self.add_event(now_s, self.arrive, kinds[rank], rank)
        while self.events:
            now_s, _, handle, arguments = heapq.heappop(self.events)
            self.report(now_s)
            handle(now_s, *arguments)
            self.start(now_s)

    def add_event(self, time_s, handle, *arguments):
        entry = (time_s, next(self.sequence), handle, arguments)
        heapq.heappush(self.events, entry)

    def report(self, now_s):
        if self.paced and now_s - self.reported_s > REPORT_INTERVAL_S:
            running = len(self.queue.running)
            report = LoadReport(running, 0, SLOTS, 1.0)
            self.queue.endpoint_load.record(report, running, now_s)
            self.reported_s = now_s

    def arrive(self, now_s, kind, rank):
        request = QueuedRequest(
            rank, "k", now_s + kind.objective_s, now_s + kind.deadline_s
        )
        self.offered[rank] += now_s > START_S
        if self.queue.offer(request, now_s) is not None:
            self.add_event(now_s + RETURN_S, self.come_back, request, kind)
        request.kind, request.arrived_s = kind, now_s

    def come_back(self, now_s, request, kind):
        request.may_be_late = True
        self.queue.offer(request, now_s)

    def start(self, now_s):
        for request in self.queue.drop_infeasible(now_s):
            if not request.may_be_late:
                self.add_event(
                    now_s + RETURN_S, self.come_back, request, request.kind
                )
        while (request := self.queue.take(now_s)) is not None:
            took_s = request.kind.service_s * self.rng.lognormvariate(0, 0.2)
            self.add_event(now_s + took_s, self.finish, request)

    def finish(self, now_s, request):
        self.queue.release(request, now_s, True)
        in_time = now_s <= request.deadline_s
        self.served[request.rank] += in_time and request.arrived_s > START_S


def measure_shares(name, load, paced):
    """Measure the served share of each rank, over several seeds."""
    offered, served = Counter(), Counter()
    for seed in range(3):
        overload = Overload(DEPLOYMENTS[name], load, paced, seed)
        offered.update(overload.offered)
        served.update(overload.served)
    return [served[rank] / offered[rank] for rank in sorted(offered)]


class TestOverload:
    @pytest.mark.parametrize("name", DEPLOYMENTS)
    @pytest.mark.parametrize("load", (1.0, 1.3, 2.0))
    def test_urgent_work_is_served_no_less_often(self, name, load):
        shares = measure_shares(name, load, paced=True)
        for urgent, other in zip(shares, shares[1:]):
            assert urgent > other - CHANCE

    def test_the_order_without_a_pace_is_unchanged(self):
        """The most urgent kind loses there; deployments are kept as is."""
        shares = measure_shares("tracking", 1.3, paced=False)
        assert shares[0] < shares[1] - 0.1


class TestRankBalance:
    def test_no_rank_is_favoured_without_a_difference(self):
        balance = RankBalance()
        assert balance.find_favoured(0.0) is None
        for rank in (0, 1, 2):
            for _ in range(9):
                balance.record_served(rank, 0.0)
            balance.record_lost(rank, 0.0)
        assert balance.find_favoured(0.0) is None

    def test_the_least_urgent_rank_that_is_behind_is_favoured(self):
        balance = RankBalance()
        for rank, lost in ((0, 5), (1, 5), (2, 0), (3, 9)):
            for _ in range(10):
                balance.record_served(rank, 0.0)
            for _ in range(lost):
                balance.record_lost(rank, 0.0)
        assert balance.find_favoured(0.0) == 1

    def test_an_old_difference_is_forgotten(self):
        balance = RankBalance()
        for _ in range(10):
            balance.record_lost(0, 0.0)
            balance.record_served(1, 0.0)
        assert balance.find_favoured(0.0) == 0
        assert balance.find_favoured(30.0) is None
