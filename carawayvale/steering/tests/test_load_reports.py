"""Tests of what endpoints report of their load and their pace."""

import math
import random

import pytest

from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.load_reports import EndpointLoad
from carawayvale.steering.load_reports import LoadReport
from carawayvale.steering.load_reports import parse_load
from carawayvale.steering.queued_request import QueuedRequest
from carawayvale.steering.repeats import start_repeat

STEP_S = 0.01


def make_report(running=0, waiting=0, pace=1.0):
    return LoadReport(running, waiting, 9, pace)


class TestParsing:
    def test_a_report_may_lack_the_pace(self):
        assert parse_load(b"4,1,9") == LoadReport(4, 1, 9, None)
        assert parse_load(b" 4,1,9,50 ") == LoadReport(4, 1, 9, 0.5)

    @pytest.mark.parametrize(
        "value",
        (
            b"",
            b"4,1",
            b"4,1,9,100,7",
            b"4,1,0,100",
            b"-4,1,9,100",
            b"4,1,9,0",
            b"4,1,9,9",
            b"4,1,9,5001",
            b"4,1,9,",
            b"4,1,9,1e2",
            b"4,1,9,nan",
            b"999999,1,9,100",
            b"4, 1,9,100",
            "٤,1,9,100".encode(),
            b"1" * 5000,
        ),
    )
    def test_malformed_and_absurd_reports_are_ignored(self, value):
        assert parse_load(value) is None


class SimulatedPace:
    """Pace of a machine that changes many times a second.

    It is the product of a fast deviation and of a level that changes every
    few seconds, as neighbours start and end their work.
    """

    def __init__(self, seed):
        rng = random.Random(seed)
        self.paces = []
        fast, level = 0.0, 1.0
        for _ in range(int(120 / STEP_S)):
            if rng.random() < STEP_S / 6:
                level = rng.choice((1.0, 1.0, 1.5, 2.5))
            fast += -fast * STEP_S / 0.08 + rng.gauss(0, 1.4 * STEP_S**0.5)
            self.paces.append(level * math.exp(fast))

    def find(self, time_s):
        return self.paces[int(time_s / STEP_S)]

    def find_mean(self, start_s, end_s):
        paces = self.paces[int(start_s / STEP_S) : int(end_s / STEP_S)]
        return sum(paces) / len(paces)


class TestPace:
    @pytest.mark.parametrize("interval_s", (0.05, 0.15, 0.6))
    def test_an_estimate_is_better_than_the_latest_report(self, interval_s):
        """The latest report of a noisy pace must not decide alone.

        Nor may the pace be ignored.
        """
        errors = {"latest": 0.0, "none": 0.0, "predicted": 0.0}
        ends = {"latest": 0.0, "measured": 0.0}
        for seed in range(5):
            self.add_errors(seed, interval_s, errors, ends)
        assert errors["predicted"] < 0.9 * errors["latest"]
        assert errors["predicted"] < 0.7 * errors["none"]
        assert ends["measured"] < 0.7 * ends["latest"]

    @staticmethod
    def add_errors(seed, interval_s, errors, ends):
        """Add the errors of estimates for runs of one second."""
        simulated, load = SimulatedPace(seed), EndpointLoad()
        rng = random.Random(seed)
        time_s = 0.0
        while time_s < 110.0:
            time_s += rng.expovariate(1 / interval_s)
            pace = simulated.find(time_s)
            load.record(make_report(pace=pace), 0, time_s)
            start_s = time_s + rng.uniform(0.0, interval_s)
            actual = simulated.find_mean(start_s, start_s + 1.0)
            predicted = load.predict_pace(1.0, start_s)
            errors["latest"] += abs(math.log(pace / actual))
            errors["none"] += abs(math.log(actual))
            errors["predicted"] += abs(math.log(predicted / actual))
            if time_s > 1.0:
                actual = simulated.find_mean(time_s - 1.0, time_s)
                measured = load.measure_pace(time_s - 1.0, time_s)
                ends["latest"] += abs(math.log(pace / actual))
                ends["measured"] += abs(math.log(measured / actual))

    def test_a_new_report_counts_for_a_short_run_only(self):
        load = EndpointLoad()
        for number in range(100):
            load.record(make_report(pace=1.0), 0, number * 0.1)
        load.record(make_report(pace=4.0), 0, 10.0)
        assert load.predict_pace(0.01, 10.0) > 3.5
        assert load.predict_pace(1.0, 10.0) < 1.7
        assert load.predict_pace(0.01, 10.5) < 1.4

    def test_a_slow_endpoint_is_tried_again(self):
        """Without requests there are no reports that it recovered."""
        load = EndpointLoad()
        load.record(make_report(pace=8.0), 0, 0.0)
        assert load.predict_pace(1.0, 30.0) < 1.1

    def test_a_clock_that_stands_still_is_no_error(self):
        load = EndpointLoad()
        for pace in (1.0, 3.0):
            load.record(make_report(pace=pace), 0, 5.0)
        assert load.predict_pace(0.0, 5.0) == pytest.approx(3.0, rel=0.05)


class TestOthers:
    def test_own_requests_are_not_those_of_others(self):
        load = EndpointLoad()
        load.record(make_report(running=3, waiting=1), 4, 0.0)
        assert load.count_others(0.0) == 0
        load.record(make_report(running=9, waiting=1), 4, 0.1)
        load.record(make_report(running=9, waiting=1), 4, 0.2)
        load.record(make_report(running=9, waiting=1), 4, 0.3)
        assert load.count_others(0.3) >= 5

    def test_reports_of_others_expire(self):
        load = EndpointLoad()
        load.record(make_report(running=6), 0, 0.0)
        assert load.count_others(0.0) == 6
        assert load.count_others(1.0) == 2
        assert load.count_others(4.0) == 0

    def test_reports_without_a_pace_are_not_used(self):
        load = EndpointLoad()
        load.record(LoadReport(9, 9, 9), 0, 0.0)
        assert load.count_others(0.0) == 0
        assert load.predict_pace(1.0, 0.0) == 1.0


def make_request(rank=0, objective_s=1.0, late=False):
    return QueuedRequest(rank, "k", objective_s, 9.0, late)


def make_queue(slots, others, pace=1.0):
    queue = EndpointQueue(slots)
    queue.service_times.warm_s = queue.service_times.new_s = 0.4
    queue.endpoint_load.record(make_report(others, 0, pace), 0, 0.0)
    return queue


class TestQueue:
    def test_requests_of_others_take_slots(self):
        queue = make_queue(slots=3, others=2)
        for _ in range(2):
            assert queue.offer(make_request(), 0.0) is None
        assert queue.offer(make_request(), 0.0).finish_s == pytest.approx(1.2)
        assert queue.take(0.0) is not None
        assert queue.take(0.0) is None
        assert start_repeat(queue, make_request(), 0.0) is None

    def test_one_slot_is_left(self):
        """Without requests, nothing would report that the others are gone."""
        queue = make_queue(slots=3, others=50)
        queue.offer(make_request(), 0.0)
        assert queue.take(0.0) is not None

    def test_slots_that_others_took_from_running_requests_come_back(self):
        queue = make_queue(slots=3, others=0)
        running = [make_request(objective_s=9.0) for _ in range(3)]
        for request, start_s in zip(running, (0.0, 0.1, 0.2)):
            queue.offer(request, start_s)
            queue.take(start_s)
        for time_s in (0.2, 0.2, 0.2, 0.2):
            queue.endpoint_load.record(make_report(running=5), 3, time_s)
        assert queue.count_slots(0.2) == 1
        rejection = queue.offer(make_request(objective_s=0.3), 0.2)
        assert rejection.finish_s == pytest.approx(0.8)

    def test_estimates_follow_the_pace(self):
        queue = make_queue(slots=1, others=0, pace=2.0)
        request = make_request(objective_s=0.7)
        assert queue.offer(request, 0.0).finish_s == pytest.approx(0.8)

    def test_service_times_are_learned_for_an_undisturbed_machine(self):
        queue = make_queue(slots=1, others=0, pace=2.0)
        for number in range(60):
            now_s = float(number)
            queue.endpoint_load.record(make_report(pace=2.0), 0, now_s)
            request = make_request(objective_s=now_s + 5.0)
            request.deadline_s = now_s + 9.0
            queue.offer(request, now_s)
            assert queue.take(now_s) is request
            queue.endpoint_load.record(make_report(pace=2.0), 0, now_s + 0.6)
            queue.release(request, now_s + 0.6, True)
        assert queue.service_times.warm_s == pytest.approx(0.3, rel=0.02)

    @pytest.mark.parametrize("pace,ranks", ((None, 3), (1.0, 1)))
    def test_own_requests_at_the_usual_pace_change_nothing(self, pace, ranks):
        """Deployments of earlier versions must be served as before.

        With a pace, several ranks are balanced; see test_rank_balance.py.
        """
        plain, reported = EndpointQueue(2), EndpointQueue(2)
        rng = random.Random(1)
        now_s = 0.0
        pairs = []
        for _ in range(2000):
            now_s += rng.expovariate(20.0)
            if pairs and rng.random() < 0.5:
                first, second = pairs.pop(0)
                plain.release(first, now_s, True)
                running = len(reported.running)
                report = make_report(running=running, pace=pace)
                own = len(reported.running)
                reported.endpoint_load.record(report, own, now_s)
                reported.release(second, now_s, True)
            options = {
                "rank": rng.randrange(ranks),
                "objective_s": now_s + rng.uniform(0.1, 0.6),
                "late": rng.random() < 0.3,
            }
            key = str(rng.randrange(40))
            requests = []
            for _ in range(2):
                request = make_request(**options)
                request.key, request.deadline_s = key, now_s + 1.0
                requests.append(request)
            first, second = requests
            assert plain.offer(first, now_s) == reported.offer(second, now_s)
            plain.drop_infeasible(now_s)
            reported.drop_infeasible(now_s)
            first, second = plain.take(now_s), reported.take(now_s)
            assert (first is None) == (second is None)
            if first is not None:
                assert first.service_time_s == second.service_time_s
                assert first.queue_class == second.queue_class
                pairs.append((first, second))
        assert plain.service_times == reported.service_times
