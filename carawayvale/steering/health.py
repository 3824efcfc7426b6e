"""Decides whether an endpoint may be used, from what its owner sees."""

from dataclasses import dataclass
from enum import Enum

FIRST_EJECTION_S = 0.3
MAX_EJECTION_S = 2.0
FAILURES_TO_EJECT = 4


# An endpoint that fails this part of its requests gets only a few, as
# long as others are there; each exchange weighs this much.
FAILING_SHARE = 0.25
SHARE_WEIGHT = 0.15
SAMPLE_GAP_S = 0.3


class HealthSignal(Enum):
    """What one exchange says of an endpoint."""

    ANSWERED = "answered"
    ERROR = "error"
    REFUSED = "refused"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"


# The endpoint is there and speaks, whatever it thinks of the request.
HARMLESS = frozenset(
    {HealthSignal.ANSWERED, HealthSignal.ERROR, HealthSignal.REFUSED}
)


@dataclass
class EndpointHealth:
    """Whether one endpoint may be used.

    An endpoint that cannot be reached is ejected at once; one whose
    answers break, after some in a row. It is used again after a check
    succeeds, and ejections grow longer while checks fail.

    >>> health = EndpointHealth()
    >>> health.record(HealthSignal.UNREACHABLE, 1.0)
    >>> health.is_usable
    False
    """

    failures: int = 0
    ejected: bool = False
    check_s: float = 0.0
    ejection_s: float = FIRST_EJECTION_S
    failure_rate: float = 0.0
    last_sample_s: float = 0.0

    @property
    def is_failing(self) -> bool:
        """Whether an unusual part of the requests fails."""
        return self.failure_rate > FAILING_SHARE

    def admit_sample(self, now_s: float) -> bool:
        """Tell whether a failing endpoint should be tried again.

        :param now_s: the time.
        :returns: whether one more request may show that it recovered.
        """
        if now_s - self.last_sample_s < SAMPLE_GAP_S:
            return False
        self.last_sample_s = now_s
        return True

    @property
    def is_usable(self) -> bool:
        """Whether requests may be sent."""
        return not self.ejected

    def record(self, evidence: HealthSignal, now_s: float) -> None:
        """Take over what one exchange showed.

        :param evidence: what it showed.
        :param now_s: the time.
        """
        failed = evidence is not HealthSignal.ANSWERED
        self.failure_rate += SHARE_WEIGHT * (failed - self.failure_rate)
        if evidence in HARMLESS:
            self.failures = 0
            return
        self.failures += 1
        if evidence is HealthSignal.UNREACHABLE:
            self.failures = FAILURES_TO_EJECT
        if self.failures >= FAILURES_TO_EJECT and not self.ejected:
            self.eject(now_s)

    def eject(self, now_s: float) -> None:
        """Stop using the endpoint until a check succeeds.

        :param now_s: the time.
        """
        self.ejected = True
        self.check_s = now_s + self.ejection_s
        self.ejection_s = min(MAX_EJECTION_S, 2 * self.ejection_s)

    def needs_check(self, now_s: float) -> bool:
        """Tell whether a check is due.

        :param now_s: the time.
        :returns: whether it is.
        """
        return self.ejected and now_s >= self.check_s

    def record_check(self, passed: bool, now_s: float) -> None:
        """Take over the result of a check.

        :param passed: whether the endpoint is there.
        :param now_s: the time.
        """
        if passed:
            self.ejected = False
            self.failures = 0
            self.failure_rate = 0.0
            self.ejection_s = FIRST_EJECTION_S
        else:
            self.eject(now_s)
