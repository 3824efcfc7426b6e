"""Tests of the decision to repeat a request for a new object."""

import pytest

from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.queued_request import QueuedRequest
from carawayvale.steering.rates import ColdRateLimit
from carawayvale.steering.rates import FleetRetryBudget
from carawayvale.steering.repeats import RepeatPolicy
from carawayvale.steering.repeats import START_DELAY_S
from carawayvale.steering.repeats import start_repeat


def start_request(queue, key="7", objective_s=0.8, now_s=0.0):
    """Offer a request to a queue and start it."""
    request = QueuedRequest(0, key, objective_s, 1.5, may_warm_up=True)
    assert queue.offer(request, now_s) is None
    assert queue.take(now_s) is request
    return request


class TestRepeatDelay:
    def test_new_object_without_samples_is_repeated_at_once(self):
        request = start_request(EndpointQueue(4))
        assert RepeatPolicy().find_delay(request) == START_DELAY_S

    def test_new_object_that_cannot_be_in_time_is_repeated_at_once(self):
        queue = EndpointQueue(4)
        queue.service_times.new_s = 1.4
        request = start_request(queue)
        assert RepeatPolicy().find_delay(request) == START_DELAY_S

    def test_new_object_that_will_be_in_time_is_not_repeated_at_once(self):
        queue = EndpointQueue(4)
        queue.service_times.new_s = 0.3
        request = start_request(queue)
        assert RepeatPolicy().find_delay(request) > 0.3

    def test_warm_object_is_repeated_when_it_is_overdue(self):
        queue = EndpointQueue(4)
        queue.service_times.warm_s = 0.2
        queue.service_times.objects["7"] = 0.0
        request = start_request(queue)
        assert RepeatPolicy().find_delay(request) == pytest.approx(0.4)

    def test_request_without_an_object_is_not_repeated(self):
        request = start_request(EndpointQueue(4), key="")
        assert RepeatPolicy().find_delay(request) is None

    def test_repeats_end_where_they_are_seldom_faster(self):
        policy = RepeatPolicy()
        request = start_request(EndpointQueue(4))
        for _ in range(4):
            policy.record(False)
        assert policy.find_delay(request) is None


class TestRepeatSlot:
    def test_takes_a_free_slot(self):
        queue = EndpointQueue(2)
        repeat = start_repeat(queue, start_request(queue), 0.1)
        assert repeat in queue.running and len(queue.running) == 2

    def test_other_requests_go_first(self):
        queue = EndpointQueue(2)
        first = start_request(queue)
        queue.waiting.append(QueuedRequest(0, "8", 0.8, 1.5))
        assert start_repeat(queue, first, 0.1) is None

    def test_needs_a_free_slot(self):
        queue = EndpointQueue(1)
        assert start_repeat(queue, start_request(queue), 0.1) is None

    def test_cold_endpoint_gets_no_repeats(self):
        queue = EndpointQueue(2)
        first = start_request(queue)
        queue.cold_limit = ColdRateLimit(2.0, 0.0)
        assert start_repeat(queue, first, 5.0) is None


class TestReserve:
    def test_repeats_leave_a_part_of_the_budget(self):
        budget = FleetRetryBudget(0.0, 100.0, 10.0)
        spent = sum(budget.spend(1.0, 1, reserve=0.25) for _ in range(200))
        left = sum(budget.spend(1.0, 1) for _ in range(200))
        assert spent == 60 and left == 20
