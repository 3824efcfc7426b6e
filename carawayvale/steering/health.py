"""Decide whether an endpoint may be used, from what its owner observes."""

from dataclasses import dataclass
from enum import Enum

# The time until an ejected endpoint is checked doubles with each failed
# check, from the first value up to the second.
INITIAL_EJECTION_S = 0.3
MAX_EJECTION_S = 2.0

# Broken responses in a row after which an endpoint is ejected.
FAILURES_TO_EJECT = 4

# An endpoint whose failure rate is above the limit gets only one request
# per sample interval, as long as other endpoints are available. The
# failure rate is an exponential moving average; each exchange has this
# weight.
FAILURE_RATE_LIMIT = 0.25
FAILURE_RATE_WEIGHT = 0.15
SAMPLE_INTERVAL_S = 0.3


class HealthSignal(Enum):
    """Result of one exchange with an endpoint, as it concerns its health.

    ANSWERED: a response without a server error. ERROR: a server error.
    REFUSED: the endpoint reports that it did not run the request.
    BROKEN: no whole or usable response. UNREACHABLE: no connection.
    """

    ANSWERED = "answered"
    ERROR = "error"
    REFUSED = "refused"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"


# Signals of an endpoint that can be reached and sends whole responses,
# also if the response is an error or a refusal.
REACHABLE_SIGNALS = frozenset(
    {HealthSignal.ANSWERED, HealthSignal.ERROR, HealthSignal.REFUSED}
)


@dataclass
class EndpointHealth:
    """Health of one endpoint, with ejection after failures.

    An endpoint that cannot be reached is ejected at once, and one whose
    responses are broken after several in a row. It is used again after a
    check succeeds. The time between checks grows while they fail.

    :param consecutive_failures: exchanges in a row without a whole
        response.
    :param ejected: whether the endpoint is ejected.
    :param next_check_s: time from which an ejected endpoint is checked.
    :param ejection_s: length of the next ejection in seconds.
    :param failure_rate: moving average of failed exchanges, from 0 to 1.
    :param last_sample_s: time of the latest sample while failing.

    >>> health = EndpointHealth()
    >>> health.record(HealthSignal.UNREACHABLE, 1.0)
    >>> health.is_usable
    False
    """

    consecutive_failures: int = 0
    ejected: bool = False
    next_check_s: float = 0.0
    ejection_s: float = INITIAL_EJECTION_S
    failure_rate: float = 0.0
    last_sample_s: float = 0.0

    @property
    def is_failing(self) -> bool:
        """Whether the failure rate is above the limit."""
        return self.failure_rate > FAILURE_RATE_LIMIT

    def admit_sample(self, now_s: float) -> bool:
        """Admit one request to a failing endpoint per sample interval.

        Its result shows whether the endpoint has recovered.

        :param now_s: the time.
        :returns: whether a request may be sent.
        """
        if now_s - self.last_sample_s < SAMPLE_INTERVAL_S:
            return False
        self.last_sample_s = now_s
        return True

    @property
    def is_usable(self) -> bool:
        """Whether requests may be sent."""
        return not self.ejected

    def record(self, signal: HealthSignal, now_s: float) -> None:
        """Update the health from the result of one exchange.

        :param signal: the result.
        :param now_s: the time.
        """
        failed = signal is not HealthSignal.ANSWERED
        self.failure_rate += FAILURE_RATE_WEIGHT * (failed - self.failure_rate)
        if signal in REACHABLE_SIGNALS:
            self.consecutive_failures = 0
            return
        self.consecutive_failures += 1
        if signal is HealthSignal.UNREACHABLE:
            self.consecutive_failures = FAILURES_TO_EJECT
        if self.consecutive_failures >= FAILURES_TO_EJECT and not self.ejected:
            self.eject(now_s)

    def eject(self, now_s: float) -> None:
        """Stop using the endpoint until a check succeeds.

        :param now_s: the time.
        """
        self.ejected = True
        self.next_check_s = now_s + self.ejection_s
        self.ejection_s = min(MAX_EJECTION_S, 2 * self.ejection_s)

    def needs_check(self, now_s: float) -> bool:
        """Tell whether the endpoint is ejected and a check is due.

        :param now_s: the time.
        :returns: whether it is.
        """
        return self.ejected and now_s >= self.next_check_s

    def record_check(self, passed: bool, now_s: float) -> None:
        """Restore the endpoint if a check passed, else prolong its ejection.

        A failed check changes nothing if the endpoint was restored since
        the check began.

        :param passed: whether the check passed.
        :param now_s: the time.
        """
        if passed:
            self.ejected = False
            self.consecutive_failures = 0
            self.failure_rate = 0.0
            self.ejection_s = INITIAL_EJECTION_S
        elif self.ejected:
            self.eject(now_s)
