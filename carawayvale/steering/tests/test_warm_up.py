"""Tests of which endpoints load an object, and what that brings."""

import random

import pytest

from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.queued_request import QueuedRequest
from carawayvale.steering.warm_up import WarmUpChoices

REGION = "geneva"


class TestChoices:
    def test_first_choice_loads_the_object(self):
        choices = WarmUpChoices(idempotent=True)
        assert choices.may_warm_up(REGION, "i-1")
        assert not choices.may_warm_up(REGION, "i-2")

    def test_second_choice_loads_it_while_the_first_is_busy(self):
        choices = WarmUpChoices(idempotent=True)
        choices.may_warm_up(REGION, "i-1")
        choices.record_busy(REGION, "i-1")
        assert choices.may_warm_up(REGION, "i-2")
        assert not choices.may_warm_up(REGION, "i-3")
        assert choices.is_choice("i-2") and not choices.is_choice("i-3")

    def test_a_request_that_may_run_once_loads_at_the_first_only(self):
        choices = WarmUpChoices(idempotent=False)
        choices.may_warm_up(REGION, "i-1")
        choices.record_busy(REGION, "i-1")
        assert not choices.may_warm_up(REGION, "i-2")

    def test_next_endpoint_takes_the_place_of_an_unusable_one(self):
        choices = WarmUpChoices(idempotent=True)
        choices.may_warm_up(REGION, "i-1")
        choices.record_unavailable(REGION, "i-1")
        assert choices.may_warm_up(REGION, "i-2")

    def test_regions_have_choices_of_their_own(self):
        choices = WarmUpChoices(idempotent=True)
        choices.may_warm_up(REGION, "i-1")
        assert choices.may_warm_up("zurich", "i-9")


class Endpoint:
    """A queue and the objects that its endpoint has loaded.

    :param slots: number of requests that run at once.
    """

    NEW_S, WARM_S = 1.6, 0.4

    def __init__(self, slots):
        self.queue = EndpointQueue(slots)
        self.queue.service_times.new_s = self.NEW_S
        self.queue.service_times.warm_s = self.WARM_S
        self.running = []

    def advance(self, now_s):
        """Finish and start requests up to a time."""
        while True:
            ends = [end_s for end_s, _ in self.running]
            next_s = min(ends, default=now_s + 1.0)
            self._start(min(next_s, now_s))
            if next_s > now_s:
                return
            for run in [r for r in self.running if r[0] <= next_s]:
                self.running.remove(run)
                self.queue.release(run[1], run[0], True)

    def _start(self, now_s):
        self.queue.drop_infeasible(now_s)
        while (request := self.queue.take(now_s)) is not None:
            took_s = self.WARM_S if request.is_warm else self.NEW_S
            self.running.append((now_s + took_s, request))

    def offer(self, key, may_warm_up, now_s):
        """Offer a request; returns its rejection, or None."""
        self.advance(now_s)
        request = QueuedRequest(
            0, key, now_s + 0.8, now_s + 6.0, may_warm_up=may_warm_up
        )
        rejection = self.queue.offer(request, now_s)
        self._start(now_s)
        return rejection


def play(second_may_load, seed):
    """Play an object that gets more requests than one endpoint serves.

    :returns: share of the requests after the first two seconds that were
        rejected by all three endpoints.
    """
    rng = random.Random(seed)
    endpoints = [Endpoint(2) for _ in range(3)]
    rejected, total, now_s = 0, 0, 0.0
    while now_s < 20.0:
        now_s += rng.expovariate(8.0)
        choices = WarmUpChoices(idempotent=second_may_load)
        served = False
        for number, endpoint in enumerate(endpoints):
            name = f"i-{number}"
            may_warm_up = choices.may_warm_up(REGION, name)
            rejection = endpoint.offer("hot", may_warm_up, now_s)
            if rejection is None:
                served = True
                break
            if rejection.busy:
                choices.record_busy(REGION, name)
        if now_s > 2.0:
            total += 1
            rejected += not served
    return rejected / total


class TestHotObject:
    @pytest.mark.parametrize("seed", range(3))
    def test_two_endpoints_serve_what_is_too_much_for_one(self, seed):
        assert play(False, seed) > 0.3
        # Two endpoints are busy for four fifths of the time.
        assert play(True, seed) < 0.1
