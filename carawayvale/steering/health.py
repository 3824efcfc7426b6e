"""Decides whether an endpoint may be used, from what its owner sees."""

from dataclasses import dataclass
from enum import Enum

FIRST_EJECTION_S = 0.3
MAX_EJECTION_S = 2.0
FAILURES_TO_EJECT = 4


class Evidence(Enum):
    """What one exchange says of an endpoint."""

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"


@dataclass
class EndpointHealth:
    """Whether one endpoint may be used.

    An endpoint that cannot be reached is ejected at once; one whose
    answers break, after some in a row. It is used again after a check
    succeeds, and ejections grow longer while checks fail.

    >>> health = EndpointHealth()
    >>> health.record(Evidence.UNREACHABLE, 1.0)
    >>> health.is_usable
    False
    """

    failures: int = 0
    ejected: bool = False
    check_s: float = 0.0
    ejection_s: float = FIRST_EJECTION_S

    @property
    def is_usable(self) -> bool:
        """Whether requests may be sent."""
        return not self.ejected

    def record(self, evidence: Evidence, now_s: float) -> None:
        """Take over what one exchange showed.

        :param evidence: what it showed.
        :param now_s: the time.
        """
        if evidence in (Evidence.ANSWERED, Evidence.REFUSED):
            self.failures = 0
            return
        self.failures += 1
        if evidence is Evidence.UNREACHABLE:
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
            self.ejection_s = FIRST_EJECTION_S
        else:
            self.eject(now_s)
