"""Tests of the queue of one endpoint, and of what callers get from it."""

import heapq
import random

import pytest

from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.admission import QueueClass
from carawayvale.steering.admission import QueuedRequest
from carawayvale.steering.admission import Rejection
from carawayvale.steering.rates import ColdRateLimit


def make_job(now_s, objective_s=0.2, limit_s=1.2, rank=0, late=False):
    return QueuedRequest(rank, "k", now_s + objective_s, now_s + limit_s, late)


def make_queue(slots=2, service_s=0.1):
    queue = EndpointQueue(slots)
    queue.service_times.known_s = queue.service_times.new_s = service_s
    return queue


class TestEndpointQueue:
    def test_a_free_slot_starts_a_job_at_once(self):
        queue = make_queue()
        job = make_job(0.0)
        assert queue.offer(job, 0.0) is None
        assert queue.take(0.0) is job

    def test_refuses_at_once_what_would_miss_its_objective(self):
        queue = make_queue(slots=1)
        for _ in range(2):
            assert queue.offer(make_job(0.0), 0.0) is None
            queue.take(0.0)
        refusal = queue.offer(make_job(0.0), 0.0)
        assert refusal.finish_s == pytest.approx(0.3)

    def test_a_job_that_may_be_late_is_queued_behind_those_in_time(self):
        queue = make_queue(slots=1)
        queue.offer(make_job(0.0), 0.0)
        running = queue.take(0.0)
        late = make_job(0.0, objective_s=0.05, late=True)
        assert queue.offer(late, 0.0) is None
        early = make_job(0.0, objective_s=0.5)
        assert queue.offer(early, 0.0) is None
        queue.release(running, 0.1, True)
        assert queue.take(0.1) is early

    def test_refuses_a_late_job_that_would_miss_its_limit(self):
        queue = make_queue(slots=1)
        admitted = 0
        for _ in range(50):
            job = make_job(0.0, objective_s=0.0, limit_s=1.0, late=True)
            admitted += queue.offer(job, 0.0) is None
        assert admitted <= 10

    def test_a_new_object_is_learned_however_slow_it_is(self):
        """Answers the load of objects that are cold everywhere.

        Their service time is longer than the objective and most of the
        limit; a free slot takes them all the same, and from then on the
        object is known.
        """
        queue = make_queue(slots=3, service_s=1.6)
        job = make_job(0.0, objective_s=1.0, limit_s=2.0)
        assert queue.offer(job, 0.0) is not None
        job.may_be_late = True
        assert queue.offer(job, 0.0) is None
        assert queue.take(0.0) is job

    def test_the_first_request_is_judged_by_its_objective(self):
        queue = EndpointQueue(1)
        queue.offer(make_job(0.0, objective_s=3.0, limit_s=9.0), 0.0)
        assert queue.take(0.0).service_s == pytest.approx(1.5)

    def test_urgent_jobs_go_first(self):
        queue = make_queue(slots=1)
        low = make_job(0.0, objective_s=5.0, limit_s=9.0, rank=2)
        high = make_job(0.0, objective_s=5.0, limit_s=9.0, rank=0)
        queue.offer(low, 0.0)
        queue.offer(high, 0.0)
        assert queue.take(0.0) is high

    def test_drops_jobs_that_can_no_longer_end_in_time(self):
        queue = make_queue(slots=1)
        job = make_job(0.0)
        queue.offer(job, 0.0)
        assert queue.drop_infeasible(0.05) == []
        assert queue.drop_infeasible(0.15) == [job]
        job = make_job(0.0, late=True)
        queue.offer(job, 0.0)
        assert queue.drop_infeasible(1.0) == []
        assert queue.drop_infeasible(1.15) == [job]

    def test_a_cold_endpoint_gets_spaced_requests(self):
        queue = make_queue(slots=9)
        queue.cold_limit = ColdRateLimit(10.0, 0.0)
        for _ in range(3):
            queue.offer(make_job(0.0, objective_s=2, limit_s=3), 0.0)
        assert queue.take(0.0) is None
        assert queue.take(0.2) is not None
        assert queue.take(0.2) is None
        assert queue.find_next_start(0.2) > 0.2

    def test_known_objects_are_estimated_apart(self):
        queue = make_queue(slots=1)
        queue.service_times.known_s, queue.service_times.new_s = 0.1, 0.5
        assert queue.offer(make_job(0.0), 0.0) is not None
        queue.service_times.remember("k", 0.0)
        assert queue.offer(make_job(0.0), 0.0) is None


class TestNewObjects:
    """Answers the load of objects that are new everywhere."""

    def make_queue(self):
        queue = make_queue(slots=1)
        queue.service_times.known_s, queue.service_times.new_s = 0.2, 0.6
        return queue

    def make_job(self, key, learn=True):
        return QueuedRequest(0, key, 0.5, 3.0, may_learn=learn)

    def test_the_first_choice_takes_them(self):
        queue = self.make_queue()
        other = self.make_job("a", learn=False)
        assert queue.offer(other, 0.0) == Rejection(0.6, busy=False)
        job = self.make_job("a")
        assert queue.offer(job, 0.0) is None
        assert queue.take(0.0) is job

    def test_they_go_behind_known_and_before_late(self):
        queue = self.make_queue()
        queue.service_times.remember("known", 0.0)
        late = make_job(0.0, objective_s=0.1, late=True)
        learning, known = self.make_job("a"), self.make_job("known")
        for job in (late, learning, known):
            assert queue.offer(job, 0.0) is None
        turns = []
        for _ in range(3):
            job = queue.take(0.0)
            turns.append(job.queue_class)
            queue.release(job, 0.0, False)
        assert turns == [
            QueueClass.IN_TIME,
            QueueClass.LEARNING,
            QueueClass.LATE,
        ]

    def test_one_run_teaches_the_object(self):
        queue = self.make_queue()
        first, second = self.make_job("a"), self.make_job("a")
        for job in (first, second):
            queue.offer(job, 0.0)
        queue.release(queue.take(0.0), 0.0, False)
        assert queue.take(0.0) is second
        assert second.queue_class is QueueClass.IN_TIME
        assert second.service_s == 0.2

    def test_they_do_not_push_out_what_is_in_use(self):
        queue = self.make_queue()
        queue.service_times.room = 1
        queue.service_times.remember("known", 0.0)
        assert queue.offer(self.make_job("a"), 1.0) is not None


class Play:
    """Plays requests against one queue in virtual time.

    :param slots: slots of the endpoint.
    :param service_s: service time of each request.
    """

    def __init__(self, slots, service_s):
        self.queue = make_queue(slots, service_s)
        self.service_s = service_s
        self.ends = []
        self.answers = []
        self.refused = 0
        self.held = 0
        self.number = 0

    def advance(self, now_s):
        while self.ends and self.ends[0][0] <= now_s:
            end_s, _, job = heapq.heappop(self.ends)
            self.queue.release(job, end_s, True)
            self.answers.append((job, end_s))
            self.start(end_s)

    def start(self, now_s):
        for job in self.queue.drop_infeasible(now_s):
            self.held += now_s > job.objective_s
            self.refused += now_s <= job.objective_s
        while (job := self.queue.take(now_s)) is not None:
            self.number += 1
            entry = (now_s + self.service_s, self.number, job)
            heapq.heappush(self.ends, entry)

    def offer(self, job, now_s):
        self.advance(now_s)
        if self.queue.offer(job, now_s) is not None:
            job.may_be_late = True
            if self.queue.offer(job, now_s) is not None:
                self.refused += 1
        self.start(now_s)


class TestOverload:
    """Answers the load of twice as many requests as an endpoint bears."""

    def play(self, load, seconds=30):
        rng = random.Random(7)
        play = Play(slots=5, service_s=0.1)
        now_s, offered = 0.0, 0
        while now_s < seconds:
            now_s += rng.expovariate(load * 50)
            offered += 1
            play.offer(make_job(now_s, rank=offered % 2), now_s)
        play.advance(now_s + 10)
        return play, offered

    def test_almost_all_are_in_time_below_the_capacity(self):
        play, offered = self.play(0.7)
        in_time = sum(end <= job.objective_s for job, end in play.answers)
        assert in_time >= 0.95 * offered

    def test_capacity_goes_to_requests_in_time(self):
        play, offered = self.play(2.0)
        in_time = sum(end <= job.objective_s for job, end in play.answers)
        assert in_time >= 0.9 * 30 * 50
        assert play.refused >= 0.3 * offered

    def test_few_are_held_and_then_dropped(self):
        play, offered = self.play(2.0)
        assert play.held <= 0.02 * offered

    def test_urgent_requests_are_served_no_worse(self):
        play, _ = self.play(2.0)
        served = [0, 0]
        for job, end_s in play.answers:
            served[job.rank] += end_s <= job.objective_s
        assert served[0] >= served[1]
