"""Tests of tries at further endpoints, against services under load."""

import random

from carawayvale.steering.spill import PROBE_INTERVAL_S
from carawayvale.steering.spill import SpillPolicy

REQUESTS_PER_S = 20
FURTHER_ENDPOINTS = 5


def play(policy, accepts, seconds, start_s=0.0, seed=1):
    """Play requests whose first choice is full.

    :param accepts: probability that a further endpoint has room.
    :returns: number of tries and of accepted requests, for each request.
    """
    rng = random.Random(seed)
    tries = served = 0
    count = int(seconds * REQUESTS_PER_S)
    for number in range(count):
        now_s = start_s + number / REQUESTS_PER_S
        for _ in range(FURTHER_ENDPOINTS):
            if not policy.allows_try(now_s):
                break
            accepted = rng.random() < accepts
            policy.record(accepted)
            tries += 1
            if accepted:
                served += 1
                break
    return tries / count, served / count


class TestSpillPolicy:
    def test_requests_find_room_while_half_of_the_endpoints_have_some(self):
        _, served = play(SpillPolicy(), 0.5, 10)
        assert served > 0.95

    def test_refusals_cost_few_tries_when_all_are_full(self):
        policy = SpillPolicy()
        play(policy, 0.0, 2)
        tries, _ = play(policy, 0.0, 10, start_s=2.0)
        allowed = 1 / (PROBE_INTERVAL_S * REQUESTS_PER_S)
        assert tries <= 1.1 * allowed

    def test_room_is_used_soon_after_it_is_there_again(self):
        policy = SpillPolicy()
        play(policy, 0.0, 10)
        play(policy, 0.8, 2, start_s=10.0)
        _, served = play(policy, 0.8, 5, start_s=12.0)
        assert served > 0.95
