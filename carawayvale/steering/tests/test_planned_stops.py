"""Tests of what an instance still serves during its planned stop."""

import pytest

from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.planned_stops import END_MARGIN_S
from carawayvale.steering.planned_stops import LATEST_ARRIVAL_S
from carawayvale.steering.planned_stops import plan_stop
from carawayvale.steering.queued_request import QueuedRequest

NOW_S = 100.0
GRACE_S = 6.0
SERVICE_TIME_S = 3.0


def make_request():
    """Make a request that may wait for long."""
    return QueuedRequest(0, "", NOW_S + 30.0, NOW_S + 30.0, True)


def make_queue():
    """Make the queue of one slot, whose service time is known."""
    queue = EndpointQueue(1)
    request = make_request()
    assert queue.offer(request, NOW_S - SERVICE_TIME_S) is None
    queue.take(NOW_S - SERVICE_TIME_S)
    queue.release(request, NOW_S, True)
    return queue


class TestPlannedStop:
    def test_requests_are_accepted_until_the_latest_arrival(self):
        stop = plan_stop(NOW_S, GRACE_S)
        assert stop.accepts(NOW_S + LATEST_ARRIVAL_S - 0.01)
        assert not stop.accepts(NOW_S + LATEST_ARRIVAL_S)

    def test_times_end_before_the_grace_period(self):
        stop = plan_stop(NOW_S, GRACE_S)
        end_s = NOW_S + GRACE_S - END_MARGIN_S
        assert stop.limit(NOW_S + 60.0) == pytest.approx(end_s)
        assert stop.limit(NOW_S + 1.0) == NOW_S + 1.0

    @pytest.mark.parametrize("grace_s", [0.0, 0.4, 1.0])
    def test_short_grace_period_leaves_half_of_it(self, grace_s):
        stop = plan_stop(NOW_S, grace_s)
        assert NOW_S <= stop.latest_arrival_s <= NOW_S + grace_s / 2
        assert NOW_S <= stop.end_s <= NOW_S + grace_s


class TestWaitingRequests:
    # Guards against requests that end without an answer (review/4).
    def test_request_that_cannot_finish_leaves_the_queue(self):
        queue = make_queue()
        running, waiting = make_request(), make_request()
        assert queue.offer(running, NOW_S) is None
        assert queue.take(NOW_S) is running
        assert queue.offer(waiting, NOW_S) is None
        waiting.limit_times(plan_stop(NOW_S, GRACE_S).end_s)
        assert not queue.drop_infeasible(NOW_S + 2.0)
        assert queue.drop_infeasible(NOW_S + 2.5) == [waiting]

    def test_request_that_cannot_finish_is_rejected_at_once(self):
        queue = make_queue()
        request = make_request()
        request.limit_times(plan_stop(NOW_S, GRACE_S / 2).end_s)
        assert queue.offer(request, NOW_S) is not None
