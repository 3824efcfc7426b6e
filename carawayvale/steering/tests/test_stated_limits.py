"""Tests of the rate limits that endpoints name."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
import pytest

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.address import Address
from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.queued_request import QueuedRequest
from carawayvale.steering.repeats import start_repeat
from carawayvale.steering.stated_limits import BURST_S
from carawayvale.steering.stated_limits import HANDOVER_S
from carawayvale.steering.stated_limits import HOLD_S
from carawayvale.steering.stated_limits import MIN_RATE
from carawayvale.steering.stated_limits import StatedLimit
from carawayvale.steering.stated_limits import StatedLimits

WINDOW_S = 4.0
STEP_S = 0.01
ENDPOINT = EndpointRecord(
    "i-1", Address("10.0.0.1", 80), "grids", "zurich", "zrh-a", 5, started_ms=1
)

RESTARTED = replace(ENDPOINT, started_ms=2)


def make_limit(rate=None, owned_s=HANDOVER_S):
    """Make the limit of an owner at time 0."""
    limit = StatedLimit()
    limit.record_ownership(True, -owned_s)
    limit.record_ownership(True, 0.0)
    if rate is not None:
        limit.record_named(rate, 0.0)
    return limit


def send_all(limits, start_s, end_s):
    """List the sends of instances that always have a request waiting."""
    sent_s = []
    now_s = start_s
    while now_s < end_s:
        for limit in limits:
            while limit.find_start(now_s, 0) <= now_s:
                limit.record_send(now_s)
                sent_s.append(now_s)
        now_s += STEP_S
    return sent_s


def find_most(sent_s, window_s=WINDOW_S):
    return max(
        (sum(t <= s < t + window_s for s in sent_s) for t in sent_s),
        default=0,
    )


def allow(rate):
    """The requests that an endpoint may get in a window."""
    return 1.5 * rate * WINDOW_S + 5


class TestRate:
    @pytest.mark.parametrize("rate", (0.5, 4.0, 10.3, 60.0))
    def test_the_owner_uses_the_whole_limit_and_no_more(self, rate):
        sent_s = send_all([make_limit(rate)], 0.0, 12.0)
        assert len(sent_s) >= 12.0 * rate
        assert find_most(sent_s, 1.0) <= rate * (1 + BURST_S) + 2

    def test_a_burst_is_bounded_after_a_long_silence(self):
        limit = make_limit(8.0)
        assert len(send_all([limit], 100.0, 100.0 + STEP_S)) == 5

    @given(
        rate=st.floats(0.0, 100.0),
        changes=st.lists(st.floats(0.0, 100.0), max_size=4),
    )
    def test_sends_stay_within_the_highest_limit_named(self, rate, changes):
        limit = make_limit(rate)
        sent_s = []
        for number, new_rate in enumerate([*changes, rate]):
            sent_s += send_all([limit], number * 1.0, number + 1.0)
            limit.record_named(new_rate, number + 1.0)
        assert find_most(sent_s) <= allow(max([rate, *changes]))

    def test_an_endpoint_that_takes_nothing_gets_a_request_now_and_then(self):
        sent_s = send_all([make_limit(0.0)], 0.0, 40.0)
        assert 1 <= find_most(sent_s) <= 2
        assert len(sent_s) == pytest.approx(40.0 * MIN_RATE, abs=1)


class TestHandover:
    @given(overlap_s=st.floats(0.0, HANDOVER_S), rate=st.floats(1.0, 100.0))
    def test_two_owners_together_stay_within_the_limit(self, overlap_s, rate):
        """The previous owner hears late that it is not the owner."""
        old = make_limit(rate)
        new = make_limit(rate, owned_s=0.0)
        sent_s = send_all([old], -4.0, 0.0)
        sent_s += send_all([old, new], 0.0, overlap_s)
        new.record_ownership(True, overlap_s)
        sent_s += send_all([new], overlap_s, HANDOVER_S)
        new.record_ownership(True, HANDOVER_S)
        sent_s += send_all([new], HANDOVER_S, 8.0)
        assert find_most(sent_s) <= allow(rate)

    def test_an_instance_that_is_not_the_owner_uses_a_part(self):
        owner, other = make_limit(10.0), make_limit(10.0)
        other.record_ownership(False, 0.0)
        assert find_most(send_all([owner, other], 0.0, 9.0)) <= allow(10.0)

    def test_a_regained_endpoint_is_a_new_one(self):
        limit = make_limit(10.0)
        limit.record_ownership(False, 5.0)
        limit.record_ownership(True, 6.0)
        limit.record_ownership(True, 7.0)
        assert limit.share < 1.0


class TestEnd:
    def test_a_response_without_the_limit_ends_it(self):
        limit = make_limit(2.0)
        limit.record_unnamed(HOLD_S)
        assert not limit.is_limited
        assert limit.find_start(5.0, 100) == 5.0

    def test_a_response_that_overtook_another_does_not_end_it(self):
        limit = make_limit(2.0)
        limit.record_unnamed(HOLD_S / 2)
        assert limit.is_limited

    def test_a_limit_ends_with_the_process_of_its_endpoint(self):
        limits = StatedLimits()
        limits.find(ENDPOINT).record_named(2.0, 0.0)
        assert limits.find(ENDPOINT).is_limited
        assert not limits.find(RESTARTED).is_limited

    def test_late_response_of_an_earlier_process_changes_nothing(self):
        limits = StatedLimits()
        limits.find(RESTARTED).record_named(2.0, 0.0)
        limits.find(ENDPOINT).record_named(50.0, 1.0)
        assert limits.find(RESTARTED).rate == 2.0


class TestQueue:
    def make_queue(self, rate):
        queue = EndpointQueue(4)
        queue.stated_limit = make_limit(rate)
        queue.service_times.warm_s = queue.service_times.new_s = 0.01
        return queue

    def make_request(self, now_s, objective_s=0.2):
        return QueuedRequest(0, "k", now_s + objective_s, now_s + 1.0)

    def test_a_request_beyond_the_limit_is_rejected_with_its_wait(self):
        queue = self.make_queue(2.0)
        for _ in range(2):
            assert queue.offer(self.make_request(0.0), 0.0) is None
            assert queue.take(0.0) is not None
        rejection = queue.offer(self.make_request(0.0), 0.0)
        assert rejection.finish_s == pytest.approx(0.51)

    def test_a_waiting_request_starts_when_the_limit_allows(self):
        queue = self.make_queue(2.0)
        for _ in range(3):
            queue.offer(self.make_request(0.0, objective_s=0.9), 0.0)
        assert queue.take(0.0) and queue.take(0.0)
        assert queue.take(0.4) is None
        assert queue.find_next_start(0.4) == pytest.approx(0.5)
        assert queue.take(0.5) is not None

    def test_an_endpoint_in_need_gets_no_repeats(self):
        queue = self.make_queue(50.0)
        queue.offer(self.make_request(0.0), 0.0)
        assert start_repeat(queue, queue.take(0.0), 0.1) is None
