"""Limits on rates: cold endpoints, retries, shifts between regions."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

# Part of a cold endpoint's rate that one owner uses. Two owners may
# send at once while their views differ, and the sum must stay allowed.
COLD_PART = 0.8

# Part of the allowed retries that is used; the rest covers instances
# that join and windows that do not line up.
RETRY_PART = 0.8

SHIFT_WINDOW_S = 2.0
# Part of the allowed shift that is used; instances see their own
# requests only, and the sum over them must stay allowed.
SHIFT_PART = 0.7
SHIFT_SAMPLE = 20


@dataclass
class ColdRateLimit:
    """Spaces the requests to one cold endpoint.

    A new owner waits as if its predecessor had sent just now.

    :param rate: requests a second that a cold endpoint bears.
    :param now_s: the time.

    >>> limit = ColdRateLimit(10.0, 0.0)
    >>> limit.is_free(0.0), limit.is_free(1.0)
    (False, True)
    """

    rate: float
    now_s: float

    def __post_init__(self):
        self.next_s = self.now_s + self.spacing_s

    @property
    def spacing_s(self) -> float:
        """Time between two requests."""
        return 1.0 / (COLD_PART * self.rate) if self.rate > 0 else 1.0

    def is_free(self, now_s: float) -> bool:
        """Tell whether a request may be sent.

        :param now_s: the time.
        :returns: whether it may.
        """
        return now_s >= self.next_s

    def record_send(self, now_s: float) -> None:
        """Record that a request is sent.

        :param now_s: the time.
        """
        self.next_s = max(self.next_s, now_s) + self.spacing_s


@dataclass
class WindowCounter:
    """Counts events over a sliding window.

    :param window_s: length of the window in seconds.
    """

    window_s: float
    times: deque[float] = field(default_factory=deque)

    def add(self, now_s: float) -> None:
        """Count an event.

        :param now_s: the time.
        """
        self.times.append(now_s)

    def count(self, now_s: float) -> int:
        """Count the events of the window that ends now.

        :param now_s: the time.
        :returns: how many.
        """
        start_s = now_s - self.window_s
        while self.times and self.times[0] <= start_s:
            self.times.popleft()
        return len(self.times)


class FleetRetryBudget:
    """One instance's part of a service's retry budget.

    The ratio counts against the requests that came in here, so that the
    sum over all instances is the ratio of all requests. The fixed
    allowance is divided among the instances.

    :param ratio: retries allowed for each request.
    :param extra: retries allowed besides in a window, fleet-wide.
    :param window_s: length of the window in seconds.
    """

    def __init__(self, ratio: float, extra: float, window_s: float):
        self.ratio = ratio
        self.extra = extra
        self.requests = WindowCounter(window_s)
        self.retries = WindowCounter(window_s)

    def record_request(self, now_s: float) -> None:
        """Record a request of a caller.

        :param now_s: the time.
        """
        self.requests.add(now_s)

    def spend(self, now_s: float, instances: int) -> bool:
        """Spend one retry if there is one left.

        :param now_s: the time.
        :param instances: instances that share the fixed allowance.
        :returns: whether the retry may be sent.
        """
        share = self.extra / max(1, instances)
        allowed = self.ratio * self.requests.count(now_s) + share
        if self.retries.count(now_s) + 1 > RETRY_PART * allowed:
            return False
        self.retries.add(now_s)
        return True


class ShiftLimit:
    """Limits how fast the part of requests served elsewhere changes.

    Answers the load of a sudden flood in one region: what spills to
    other regions grows, and later shrinks, by a step for each window, so
    that caches there warm up and the other regions can follow.

    :param step: allowed change of the part from a window to the next.
    """

    def __init__(self, step: float):
        self.step = step * SHIFT_PART
        self.lifted_s = float("-inf")
        self.sent: deque[tuple[float, bool]] = deque()

    def suspend(self, until_s: float) -> None:
        """Set no limit for a while: endpoints nearby must be left.

        :param until_s: time from which the limit holds again.
        """
        self.lifted_s = max(self.lifted_s, until_s)

    def record(self, remote: bool, now_s: float) -> None:
        """Record where a request is served.

        :param remote: whether in another region.
        :param now_s: the time.
        """
        self.sent.append((now_s, remote))
        while now_s - self.sent[0][0] > 2 * SHIFT_WINDOW_S:
            self.sent.popleft()

    def _measure(self, now_s: float) -> tuple[float, int, int]:
        border_s = now_s - SHIFT_WINDOW_S
        before = [r for t, r in self.sent if t <= border_s]
        now = [r for t, r in self.sent if t > border_s]
        part = sum(before) / len(before) if before else 0.0
        return part, sum(now), len(now)

    def _is_new(self, now_s: float) -> bool:
        """Tell whether there is no earlier window to compare with."""
        return not self.sent or now_s - self.sent[0][0] < SHIFT_WINDOW_S

    def allows_remote(self, now_s: float) -> bool:
        """Tell whether another request may be served elsewhere.

        :param now_s: the time.
        :returns: whether the part may grow.
        """
        if now_s < self.lifted_s or self._is_new(now_s):
            return True
        before, remote, total = self._measure(now_s)
        room = (before + self.step) * max(total + 1, SHIFT_SAMPLE)
        return remote + 1 <= room

    def requires_remote(self, now_s: float) -> bool:
        """Tell whether the part would shrink too fast.

        :param now_s: the time.
        :returns: whether the next request should be served elsewhere.
        """
        if now_s < self.lifted_s:
            return False
        before, remote, total = self._measure(now_s)
        if total < SHIFT_SAMPLE:
            return False
        return remote < (before - self.step) * total
