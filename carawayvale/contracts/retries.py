"""Retry budget, retry safety and detection of retries by callers."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

BUDGET_CAPACITY = 10.0
MAX_SEEN_IDS = 4096
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


class AttemptResult(Enum):
    """Result of one request attempt at a backend server.

    ANSWERED: a response below status 500 arrived.
    UNSENT: no connection could be opened, so nothing was sent.
    REFUSED_NOT_RUN: a response with status 500 or above stated that the
        request did not run.
    FAILED: another response with status 500 or above arrived.
    BROKEN: the connection broke or timed out after it was opened.
    """

    ANSWERED = "answered"
    UNSENT = "unsent"
    REFUSED_NOT_RUN = "refused_not_run"
    FAILED = "failed"
    BROKEN = "broken"


PROVEN_NOT_RUN = frozenset(
    {AttemptResult.UNSENT, AttemptResult.REFUSED_NOT_RUN}
)


@dataclass
class RetryBudget:
    """Token bucket that limits retries to a share of recent successes.

    Retries by callers are charged to the same budget. First attempts
    are never charged.

    :param ratio: retries added for each success.
    :param capacity: maximum number of retries that can be saved, which
        is also the initial balance.
    :param tokens: retries left, or None before the first change.

    >>> budget = RetryBudget(ratio=0.5, capacity=1.0)
    >>> budget.withdraw(), budget.withdraw()
    (True, False)
    """

    ratio: float
    capacity: float = BUDGET_CAPACITY
    tokens: float | None = None

    def deposit(self) -> None:
        """Record a success, which adds ``ratio`` retries."""
        self.tokens = min(self.capacity, self.balance + self.ratio)

    def withdraw(self) -> bool:
        """Take one retry from the budget if one is left.

        :returns: whether the retry is allowed.
        """
        if self.balance < 1.0:
            return False
        self.tokens = self.balance - 1.0
        return True

    @property
    def balance(self) -> float:
        """Number of retries left."""
        return self.capacity if self.tokens is None else self.tokens


def may_retry(
    result: AttemptResult, idempotent: bool, can_resend: bool
) -> bool:
    """Decide whether a request can be safely retried.

    :param result: result of the last attempt.
    :param idempotent: whether the request may run more than once.
    :param can_resend: whether the request body is still available.
    :returns: whether a retry is safe, regardless of the budget.
    """
    if result is AttemptResult.ANSWERED or not can_resend:
        return False
    return idempotent or result in PROVEN_NOT_RUN


@dataclass
class RetryDetector:
    """Detector of requests that a caller has sent before.

    :param capacity: maximum number of stored request ids.
    """

    capacity: int = MAX_SEEN_IDS

    def __post_init__(self):
        self.seen: OrderedDict[str, None] = OrderedDict()

    def observe(self, request_id: str, attempt: int) -> bool:
        """Record a request and determine whether it is a retry.

        :param request_id: identifier given by the caller.
        :param attempt: number of the attempt as counted by the caller,
            from 1.
        :returns: whether the request is a retry.
        """
        is_retry = attempt > 1 or request_id in self.seen
        self.seen[request_id] = None
        self.seen.move_to_end(request_id)
        if len(self.seen) > self.capacity:
            self.seen.popitem(last=False)
        return is_retry
