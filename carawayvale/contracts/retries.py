"""Retry budget and the decision whether a failed attempt is retried."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

BUDGET_RESERVE = 10.0
SEEN_IDS = 4096
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


class AttemptResult(Enum):
    """How one attempt at a backend server ended."""

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
    """Allows retries as a share of recent successes.

    Callers' own repeats are charged to the same budget. First attempts
    are never charged.

    :param ratio: retries for each success.
    :param reserve: most retries that can be saved up.

    >>> budget = RetryBudget(ratio=0.5, reserve=1.0)
    >>> budget.withdraw(), budget.withdraw()
    (True, False)
    """

    ratio: float
    reserve: float = BUDGET_RESERVE
    tokens: float | None = None

    def deposit(self) -> None:
        """Record one success."""
        self.tokens = min(self.reserve, self.balance + self.ratio)

    def withdraw(self) -> bool:
        """Take one retry from the budget.

        :returns: whether the budget had one left.
        """
        if self.balance < 1.0:
            return False
        self.tokens = self.balance - 1.0
        return True

    @property
    def balance(self) -> float:
        """Retries that are left."""
        return self.reserve if self.tokens is None else self.tokens


def may_retry(result: AttemptResult, idempotent: bool, sendable: bool) -> bool:
    """Decide whether another attempt can do no harm.

    :param result: how the last attempt ended.
    :param idempotent: whether a second run does no harm.
    :param sendable: whether the request's body is still at hand.
    :returns: whether a retry is safe, whatever the budget says.
    """
    if result is AttemptResult.ANSWERED or not sendable:
        return False
    return idempotent or result in PROVEN_NOT_RUN


@dataclass
class RetryDetector:
    """Recognises requests that a caller sent before.

    :param capacity: request ids that are remembered.
    """

    capacity: int = SEEN_IDS

    def __post_init__(self):
        self.seen: OrderedDict[str, None] = OrderedDict()

    def observe(self, request_id: str, attempt: int) -> bool:
        """Record a request and tell whether it is a repeat.

        :param request_id: id given by the caller.
        :param attempt: the caller's count of attempts, from 1.
        :returns: whether it is a repeat.
        """
        repeated = attempt > 1 or request_id in self.seen
        self.seen[request_id] = None
        self.seen.move_to_end(request_id)
        if len(self.seen) > self.capacity:
            self.seen.popitem(last=False)
        return repeated
