"""Tests of the dispatcher and of the endpoint slots in virtual time."""

import heapq
import random

from carawayvale.contracts import Address
from carawayvale.contracts import AttemptResult
from carawayvale.contracts import Endpoint
from carawayvale.contracts import Rank
from carawayvale.contracts import Reason
from carawayvale.machines import Dispatcher
from carawayvale.machines import EndpointSlots
from carawayvale.machines import ShardRequest

URGENT = Rank(name="urgent", owner="o", order=1, max_wait_s=1.0)
BROWSE = Rank(name="browse", owner="o", order=2, floor=0.2, max_wait_s=2.0)
HISTORY = Rank(name="history", owner="o", order=3, floor=0.1, max_wait_s=5.0)
RANKS = (HISTORY, URGENT, BROWSE)
SERVICE_TIME_S = 0.01


def make_endpoint(name="g1", slots=4, draining=False):
    """Make an endpoint."""
    return Endpoint(
        name=name,
        owner="team",
        service="grids",
        region="zurich",
        domain="zurich-a",
        address=Address("127.0.0.1", 80),
        slots=slots,
        draining=draining,
    )


def make_dispatcher(*endpoints, ramp_s=0.0):
    """Make a dispatcher with the given endpoints."""
    dispatcher = Dispatcher(RANKS, {})
    dispatcher.update(RANKS, endpoints or (make_endpoint(),), 0.0, ramp_s)
    return dispatcher


def make_busy_dispatcher(deadline_s):
    """Make a dispatcher with one granted and one waiting request."""
    dispatcher = make_dispatcher(make_endpoint(slots=1))
    dispatcher.offer(ShardRequest("urgent", 9.0), 0.0)
    first = dispatcher.grant_free_slots(0.0)[0]
    dispatcher.offer(ShardRequest("urgent", deadline_s), 0.0)
    return dispatcher, first


class OverloadSimulation:
    """Simulation of Poisson arrivals of each rank at a dispatcher.

    :param rates: arrivals per second by rank.
    :param seconds: duration of the arrivals.
    :param seed: seed of the random times.
    """

    def __init__(self, rates, seconds, seed=1):
        self.random = random.Random(seed)
        self.dispatcher = make_dispatcher(make_endpoint(slots=8))
        self.served = dict.fromkeys(rates, 0)
        self.offered = dict.fromkeys(rates, 0)
        self.latency = {rank: [] for rank in rates}
        self.events = []
        self.count = 0
        for rank, rate in rates.items():
            now_s = 0.0
            while (
                rate and (now_s := now_s + self.draw_interval(rate)) < seconds
            ):
                self.schedule(now_s, rank)

    def draw_interval(self, rate):
        """Draw the time until the next arrival."""
        return self.random.expovariate(rate)

    def schedule(self, time_s, event):
        """Schedule an arrival or the end of a service."""
        self.count += 1
        heapq.heappush(self.events, (time_s, self.count, event))

    def run(self):
        """Process all events in order of time."""
        while self.events:
            now_s, _, event = heapq.heappop(self.events)
            if isinstance(event, str):
                request = ShardRequest(event, now_s + 5.0)
                self.offered[event] += 1
                self.dispatcher.offer(request, now_s)
            else:
                self.dispatcher.release(event, now_s, True)
                request = event.request
                self.served[request.rank] += 1
                self.latency[request.rank].append(now_s - request.queued_s)
            for grant in self.dispatcher.grant_free_slots(now_s):
                took_s = SERVICE_TIME_S * self.random.uniform(0.8, 1.2)
                self.schedule(now_s + took_s, grant)
        return self


CAPACITY = 8 / SERVICE_TIME_S


class TestDispatcher:
    def test_urgent_request_is_granted_first(self):
        dispatcher = make_dispatcher(make_endpoint(slots=1))
        requests = [
            ShardRequest(r, 9.0) for r in ("history", "urgent", "browse")
        ]
        for request in requests:
            dispatcher.queues[request.rank].requests.append(request)
        grant = dispatcher.grant_free_slots(0.0)[0]
        assert grant.request.rank == "urgent"

    def test_slots_are_never_exceeded(self):
        dispatcher = make_dispatcher(make_endpoint(slots=3))
        for _ in range(10):
            dispatcher.offer(ShardRequest("urgent", 9.0), 0.0)
        assert len(dispatcher.grant_free_slots(0.0)) == 3
        assert dispatcher.grant_free_slots(0.0) == []

    def test_expired_request_is_never_started(self):
        dispatcher, first = make_busy_dispatcher(1.0)
        dispatcher.release(first, 2.0, True)
        assert dispatcher.grant_free_slots(2.0) == []

    def test_request_that_would_miss_its_deadline_is_rejected(self):
        dispatcher = make_dispatcher(make_endpoint(slots=1))
        for _ in range(20):
            dispatcher.offer(ShardRequest("urgent", 9.0), 0.0)
        reason = dispatcher.find_rejection(ShardRequest("urgent", 0.1), 0.0)
        assert reason is Reason.DEADLINE

    def test_draining_endpoint_gets_no_requests(self):
        dispatcher = make_dispatcher(make_endpoint(draining=True))
        reason = dispatcher.offer(ShardRequest("urgent", 9.0), 0.0)
        assert reason is Reason.NO_CAPACITY

    def test_retry_avoids_the_failed_endpoint(self):
        dispatcher = make_dispatcher(make_endpoint("a"), make_endpoint("b"))
        dispatcher.offer(ShardRequest("urgent", 9.0), 0.0)
        first = dispatcher.grant_free_slots(0.0)[0]
        dispatcher.release(first, 0.1, False)
        dispatcher.requeue(first.request, first.endpoint)
        assert dispatcher.grant_free_slots(0.1)[0].endpoint != first.endpoint

    def test_removed_endpoint_finishes_its_requests(self):
        dispatcher = make_dispatcher(make_endpoint("a"))
        dispatcher.offer(ShardRequest("urgent", 9.0), 0.0)
        grant = dispatcher.grant_free_slots(0.0)[0]
        dispatcher.update(RANKS, (make_endpoint("b"),), 1.0, 0.0)
        assert list(dispatcher.slots) == ["a", "b"]
        dispatcher.release(grant, 1.0, True)
        assert list(dispatcher.slots) == ["b"]

    def test_requests_of_a_removed_rank_are_kept(self):
        dispatcher = make_dispatcher(make_endpoint(slots=1))
        request = ShardRequest("history", 9.0)
        dispatcher.queues["history"].requests.append(request)
        dispatcher.update((URGENT,), (make_endpoint(),), 0.0, 0.0)
        assert dispatcher.grant_free_slots(0.0)[0].request is request


class TestOverload:
    def test_overload_of_lowest_rank_does_not_delay_urgent_requests(self):
        alone = OverloadSimulation({"urgent": 0.5 * CAPACITY}, 10).run()
        rates = {"urgent": 0.5 * CAPACITY, "history": 10 * CAPACITY}
        overloaded = OverloadSimulation(rates, 10).run()
        assert (
            overloaded.served["urgent"] >= 0.999 * overloaded.offered["urgent"]
        )
        p99_alone = sorted(alone.latency["urgent"])[
            -len(alone.latency["urgent"]) // 100
        ]
        p99_overloaded = sorted(overloaded.latency["urgent"])[
            -len(overloaded.latency["urgent"]) // 100
        ]
        assert p99_overloaded <= 1.5 * p99_alone + SERVICE_TIME_S

    def test_overload_of_urgent_rank_keeps_the_floors(self):
        rates = {
            "urgent": 10 * CAPACITY,
            "browse": 0.5 * CAPACITY,
            "history": 0.5 * CAPACITY,
        }
        overloaded = OverloadSimulation(rates, 10).run()
        total = sum(overloaded.served.values())
        for rank in (BROWSE, HISTORY):
            assert overloaded.served[rank.name] >= 0.9 * rank.floor * total
        assert total >= 0.95 * CAPACITY * 10


class TestEndpointSlots:
    def test_ramp_grows_to_the_declared_slots(self):
        slots = EndpointSlots(make_endpoint(slots=6), 0.0, 3.0)
        counts = [slots.count_usable(t) for t in (0.0, 1.5, 3.0)]
        assert counts == [2, 4, 6]

    def test_quota_of_zero_leaves_no_usable_slot(self):
        slots = EndpointSlots(make_endpoint(), 0.0, 0.0, quota=0)
        assert slots.count_usable(1.0) == 0

    def test_refusals_lower_and_responses_raise_the_limit(self):
        slots = EndpointSlots(make_endpoint(slots=10), 0.0, 0.0)
        slots.record(AttemptResult.REFUSED_NOT_RUN, 0.001, 1.0)
        shrunk = slots.count_usable(1.0)
        for _ in range(50):
            slots.record(AttemptResult.ANSWERED, 0.01, 1.0)
        assert shrunk == 7
        assert slots.count_usable(1.0) == 10

    def test_repeated_failures_eject_for_increasing_times(self):
        slots = EndpointSlots(make_endpoint(), 0.0, 0.0)
        for _ in range(3):
            slots.record(AttemptResult.BROKEN, 0.01, 1.0)
        assert slots.count_usable(1.1) == 0
        assert slots.count_usable(1.6) == 1
        slots.record(AttemptResult.BROKEN, 0.01, 1.6)
        assert slots.count_usable(2.5) == 0
        slots.record(AttemptResult.ANSWERED, 0.01, 3.0)
        assert slots.count_usable(3.0) == 4


class TestExpiredRequests:
    def test_request_that_would_miss_its_deadline_is_not_started(self):
        dispatcher, first = make_busy_dispatcher(1.0)
        dispatcher.release(first, 0.99, False)
        assert dispatcher.grant_free_slots(0.99) == []

    def test_request_that_waited_too_long_is_not_started(self):
        dispatcher, first = make_busy_dispatcher(9.0)
        dispatcher.release(first, 1.1, False)
        assert dispatcher.grant_free_slots(1.1) == []
