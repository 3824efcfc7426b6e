"""Tests of the queue of one endpoint, also under overload."""

import heapq
import random

import pytest

from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.queued_request import QueueClass
from carawayvale.steering.queued_request import QueuedRequest
from carawayvale.steering.queued_request import Rejection
from carawayvale.steering.rates import ColdRateLimit


def make_request(now_s, objective_s=0.2, deadline_s=1.2, rank=0, late=False):
    return QueuedRequest(
        rank, "k", now_s + objective_s, now_s + deadline_s, late
    )


def make_queue(slots=2, service_time_s=0.1):
    queue = EndpointQueue(slots)
    queue.service_times.warm_s = queue.service_times.new_s = service_time_s
    return queue


class TestEndpointQueue:
    def test_a_request_gets_a_free_slot_at_once(self):
        queue = make_queue()
        request = make_request(0.0)
        assert queue.offer(request, 0.0) is None
        assert queue.take(0.0) is request

    def test_a_request_that_would_miss_its_objective_is_rejected(self):
        queue = make_queue(slots=1)
        for _ in range(2):
            assert queue.offer(make_request(0.0), 0.0) is None
            queue.take(0.0)
        rejection = queue.offer(make_request(0.0), 0.0)
        assert rejection.finish_s == pytest.approx(0.3)

    def test_a_late_request_is_queued_behind_those_in_time(self):
        queue = make_queue(slots=1)
        queue.offer(make_request(0.0), 0.0)
        running = queue.take(0.0)
        late = make_request(0.0, objective_s=0.05, late=True)
        assert queue.offer(late, 0.0) is None
        early = make_request(0.0, objective_s=0.5)
        assert queue.offer(early, 0.0) is None
        queue.release(running, 0.1, True)
        assert queue.take(0.1) is early

    def test_a_late_request_that_would_miss_its_deadline_is_rejected(self):
        queue = make_queue(slots=1)
        admitted = 0
        for _ in range(50):
            request = make_request(
                0.0, objective_s=0.0, deadline_s=1.0, late=True
            )
            admitted += queue.offer(request, 0.0) is None
        assert admitted <= 10

    def test_a_late_request_with_a_long_service_time_gets_a_free_slot(self):
        """Objects that are new at every endpoint are served once.

        Their service time is longer than the objective and most of the
        time to the deadline. If no free slot admitted such a request,
        the object would never become warm.
        """
        queue = make_queue(slots=3, service_time_s=1.6)
        request = make_request(0.0, objective_s=1.0, deadline_s=2.0)
        assert queue.offer(request, 0.0) is not None
        request.may_be_late = True
        assert queue.offer(request, 0.0) is None
        assert queue.take(0.0) is request

    def test_the_first_estimate_is_half_of_the_objective(self):
        queue = EndpointQueue(1)
        queue.offer(make_request(0.0, objective_s=3.0, deadline_s=9.0), 0.0)
        assert queue.take(0.0).service_time_s == pytest.approx(1.5)

    def test_urgent_requests_start_first(self):
        queue = make_queue(slots=1)
        low = make_request(0.0, objective_s=5.0, deadline_s=9.0, rank=2)
        high = make_request(0.0, objective_s=5.0, deadline_s=9.0, rank=0)
        queue.offer(low, 0.0)
        queue.offer(high, 0.0)
        assert queue.take(0.0) is high

    def test_requests_that_can_no_longer_finish_in_time_are_dropped(self):
        queue = make_queue(slots=1)
        request = make_request(0.0)
        queue.offer(request, 0.0)
        assert queue.drop_infeasible(0.05) == []
        assert queue.drop_infeasible(0.15) == [request]
        request = make_request(0.0, late=True)
        queue.offer(request, 0.0)
        assert queue.drop_infeasible(1.0) == []
        assert queue.drop_infeasible(1.15) == [request]

    def test_requests_to_a_cold_endpoint_are_spaced(self):
        queue = make_queue(slots=9)
        queue.cold_limit = ColdRateLimit(10.0, 0.0)
        for _ in range(3):
            queue.offer(make_request(0.0, objective_s=2, deadline_s=3), 0.0)
        assert queue.take(0.0) is None
        assert queue.take(0.2) is not None
        assert queue.take(0.2) is None
        assert queue.find_next_start(0.2) > 0.2

    def test_warm_objects_have_their_own_estimate(self):
        queue = make_queue(slots=1)
        queue.service_times.warm_s, queue.service_times.new_s = 0.1, 0.5
        assert queue.offer(make_request(0.0), 0.0) is not None
        queue.service_times.record_use("k", 0.0)
        assert queue.offer(make_request(0.0), 0.0) is None


class TestNewObjects:
    """Requests for objects that no endpoint handled yet."""

    def make_queue(self):
        queue = make_queue(slots=1)
        queue.service_times.warm_s, queue.service_times.new_s = 0.2, 0.6
        return queue

    def make_request(self, key, may_warm_up=True):
        return QueuedRequest(0, key, 0.5, 3.0, may_warm_up=may_warm_up)

    def test_only_the_endpoint_that_keeps_an_object_admits_it(self):
        queue = self.make_queue()
        other = self.make_request("a", may_warm_up=False)
        assert queue.offer(other, 0.0) == Rejection(0.6, busy=False)
        request = self.make_request("a")
        assert queue.offer(request, 0.0) is None
        assert queue.take(0.0) is request

    def test_new_objects_start_after_warm_and_before_late_ones(self):
        queue = self.make_queue()
        queue.service_times.record_use("known", 0.0)
        late = make_request(0.0, objective_s=0.1, late=True)
        new, warm = self.make_request("a"), self.make_request("known")
        for request in (late, new, warm):
            assert queue.offer(request, 0.0) is None
        classes = []
        for _ in range(3):
            request = queue.take(0.0)
            classes.append(request.queue_class)
            queue.release(request, 0.0, False)
        assert classes == [
            QueueClass.IN_TIME,
            QueueClass.LEARNING,
            QueueClass.LATE,
        ]

    def test_one_run_makes_the_object_warm(self):
        queue = self.make_queue()
        first, second = self.make_request("a"), self.make_request("a")
        for request in (first, second):
            queue.offer(request, 0.0)
        queue.release(queue.take(0.0), 0.0, False)
        assert queue.take(0.0) is second
        assert second.queue_class is QueueClass.IN_TIME
        assert second.service_time_s == 0.2

    def test_a_new_object_does_not_evict_one_in_use(self):
        queue = self.make_queue()
        queue.service_times.capacity = 1
        queue.service_times.record_use("known", 0.0)
        assert queue.offer(self.make_request("a"), 1.0) is not None


class Simulation:
    """Simulation of one endpoint and its queue in virtual time.

    :param slots: slots of the endpoint.
    :param service_time_s: service time of each request.
    """

    def __init__(self, slots, service_time_s):
        self.queue = make_queue(slots, service_time_s)
        self.service_time_s = service_time_s
        self.running = []
        self.finished = []
        self.rejected = 0
        self.dropped_late = 0
        self.started = 0

    def advance(self, now_s):
        while self.running and self.running[0][0] <= now_s:
            end_s, _, request = heapq.heappop(self.running)
            self.queue.release(request, end_s, True)
            self.finished.append((request, end_s))
            self.start(end_s)

    def start(self, now_s):
        for request in self.queue.drop_infeasible(now_s):
            self.dropped_late += now_s > request.objective_s
            self.rejected += now_s <= request.objective_s
        while (request := self.queue.take(now_s)) is not None:
            self.started += 1
            entry = (now_s + self.service_time_s, self.started, request)
            heapq.heappush(self.running, entry)

    def offer(self, request, now_s):
        self.advance(now_s)
        if self.queue.offer(request, now_s) is not None:
            request.may_be_late = True
            if self.queue.offer(request, now_s) is not None:
                self.rejected += 1
        self.start(now_s)


class TestOverload:
    """Up to twice as many requests as the endpoint has capacity for."""

    def simulate(self, load, seconds=30):
        rng = random.Random(7)
        simulation = Simulation(slots=5, service_time_s=0.1)
        now_s, offered = 0.0, 0
        while now_s < seconds:
            now_s += rng.expovariate(load * 50)
            offered += 1
            simulation.offer(make_request(now_s, rank=offered % 2), now_s)
        simulation.advance(now_s + 10)
        return simulation, offered

    def test_almost_all_are_in_time_below_capacity(self):
        simulation, offered = self.simulate(0.7)
        in_time = sum(
            end <= request.objective_s for request, end in simulation.finished
        )
        assert in_time >= 0.95 * offered

    def test_capacity_goes_to_requests_in_time(self):
        simulation, offered = self.simulate(2.0)
        in_time = sum(
            end <= request.objective_s for request, end in simulation.finished
        )
        assert in_time >= 0.9 * 30 * 50
        assert simulation.rejected >= 0.3 * offered

    def test_few_requests_are_dropped_after_their_objective(self):
        simulation, offered = self.simulate(2.0)
        assert simulation.dropped_late <= 0.02 * offered

    def test_urgent_requests_are_served_no_worse(self):
        simulation, _ = self.simulate(2.0)
        served = [0, 0]
        for request, end_s in simulation.finished:
            served[request.rank] += end_s <= request.objective_s
        assert served[0] >= served[1]
