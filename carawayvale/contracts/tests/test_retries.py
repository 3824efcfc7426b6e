"""Tests of retries."""

from carawayvale.contracts import AttemptResult
from carawayvale.contracts import may_retry
from carawayvale.contracts import RetryBudget
from carawayvale.contracts import RetryDetector


class TestRetryBudget:
    def test_retries_are_a_share_of_successes(self):
        budget = RetryBudget(ratio=0.1, reserve=5)
        retries = 0
        for _ in range(1000):
            budget.deposit()
            retries += budget.withdraw()
        assert retries <= 5 + 1000 * 0.1

    def test_empty_budget_refuses(self):
        budget = RetryBudget(ratio=0.1, reserve=2)
        taken = [budget.withdraw() for _ in range(3)]
        assert taken == [True, True, False]


class TestMayRetry:
    def test_only_harmless_retries_are_allowed(self):
        allowed = {
            (result, idempotent)
            for result in AttemptResult
            for idempotent in (True, False)
            if may_retry(result, idempotent, sendable=True)
        }
        assert allowed == {
            (AttemptResult.UNSENT, True),
            (AttemptResult.UNSENT, False),
            (AttemptResult.REFUSED_NOT_RUN, True),
            (AttemptResult.REFUSED_NOT_RUN, False),
            (AttemptResult.FAILED, True),
            (AttemptResult.BROKEN, True),
        }

    def test_body_that_is_gone_cannot_be_sent_again(self):
        assert not may_retry(AttemptResult.UNSENT, True, sendable=False)


class TestRetryDetector:
    def test_repeats_are_recognised_by_id_or_count(self):
        repeats = RetryDetector()
        assert not repeats.observe("a", 1)
        assert repeats.observe("a", 1)
        assert repeats.observe("b", 2)

    def test_memory_is_bounded(self):
        repeats = RetryDetector(capacity=2)
        for request_id in "abc":
            repeats.observe(request_id, 1)
        assert list(repeats.seen) == ["b", "c"]
