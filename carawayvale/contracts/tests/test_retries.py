"""Tests of the retry budget and of the decision to retry."""

from carawayvale.contracts import AttemptResult
from carawayvale.contracts import may_retry
from carawayvale.contracts import RetryBudget
from carawayvale.contracts import RetryDetector


class TestRetryBudget:
    def test_retries_are_a_share_of_successes(self):
        budget = RetryBudget(ratio=0.1, capacity=5)
        retries = 0
        for _ in range(1000):
            budget.deposit()
            retries += budget.withdraw()
        assert retries <= 5 + 1000 * 0.1

    def test_empty_budget_allows_no_retry(self):
        budget = RetryBudget(ratio=0.1, capacity=2)
        allowed = [budget.withdraw() for _ in range(3)]
        assert allowed == [True, True, False]


class TestMayRetry:
    def test_only_safe_retries_are_allowed(self):
        allowed = {
            (result, idempotent)
            for result in AttemptResult
            for idempotent in (True, False)
            if may_retry(result, idempotent, can_resend=True)
        }
        assert allowed == {
            (AttemptResult.UNSENT, True),
            (AttemptResult.UNSENT, False),
            (AttemptResult.REFUSED_NOT_RUN, True),
            (AttemptResult.REFUSED_NOT_RUN, False),
            (AttemptResult.FAILED, True),
            (AttemptResult.BROKEN, True),
        }

    def test_request_without_available_body_is_not_retried(self):
        assert not may_retry(AttemptResult.UNSENT, True, can_resend=False)


class TestRetryDetector:
    def test_retries_are_recognised_by_id_or_attempt_number(self):
        detector = RetryDetector()
        assert not detector.observe("a", 1)
        assert detector.observe("a", 1)
        assert detector.observe("b", 2)

    def test_number_of_stored_ids_is_bounded(self):
        detector = RetryDetector(capacity=2)
        for request_id in "abc":
            detector.observe(request_id, 1)
        assert list(detector.seen) == ["b", "c"]
