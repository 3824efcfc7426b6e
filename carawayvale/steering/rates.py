"""Rate limits: cold endpoints, retries, shifts between regions."""

from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
import math

# Fraction of a cold endpoint's rate that one owner uses. Two owners may
# send at once while the instances' views differ, and the sum must stay
# within the allowed rate.
COLD_RATE_FRACTION = 0.8

# Fraction of the allowed retries that is used; the rest covers instances
# that join and windows of instances that do not coincide.
RETRY_FRACTION = 0.8

# Length of the windows whose shares of remote requests are compared.
SHIFT_WINDOW_S = 2.0

# Fraction of the allowed shift that is used. An instance sees only its
# own requests, and the sum over all instances must stay within the
# allowed shift.
SHIFT_FRACTION = 0.7

# Part of that by which the share of one other region may grow.
REGION_FRACTION = 0.5

# Names in the windows of the own region, and of others that are not told
# apart.
OWN_REGION = ""
OTHER_REGION = "other"

# While the current window has fewer requests than this, the allowed
# number of remote requests is computed as if it had this many, and no
# request has to be served remotely. The first number holds for one
# instance, the second for all instances of its region together, and the
# lower of the two applies.
MIN_SHIFT_SAMPLES = 20
MIN_REGION_SHIFT_SAMPLES = 160


@dataclass
class ColdRateLimit:
    """Rate limit that spaces the requests to one cold endpoint.

    A new owner starts as if the previous owner had just sent a request.

    :param rate: requests per second that a cold endpoint can serve.
    :param now_s: time at which the limit begins to apply.

    >>> limit = ColdRateLimit(10.0, 0.0)
    >>> limit.find_start(0.0, 0) > 0.0, limit.find_start(1.0, 0)
    (True, 1.0)
    """

    rate: float
    now_s: float

    def __post_init__(self):
        self.next_s = self.now_s + self.spacing_s

    @property
    def spacing_s(self) -> float:
        """Seconds between two requests."""
        return 1.0 / (COLD_RATE_FRACTION * self.rate) if self.rate > 0 else 1.0

    def find_start(self, now_s: float, ahead: int) -> float:
        """Find when a request may be sent.

        :param now_s: the time.
        :param ahead: number of requests that are sent before it.
        :returns: the time.
        """
        return max(now_s, self.next_s) + ahead * self.spacing_s

    def record_send(self, now_s: float) -> None:
        """Record that a request is sent now.

        :param now_s: the time.
        """
        self.next_s = max(self.next_s, now_s) + self.spacing_s


@dataclass
class WindowCounter:
    """Counter of events in a sliding window.

    :param window_s: length of the window in seconds.
    :param times: times of the events in the window, the oldest first.
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
        :returns: number of events.
        """
        start_s = now_s - self.window_s
        while self.times and self.times[0] <= start_s:
            self.times.popleft()
        return len(self.times)


class FleetRetryBudget:
    """One instance's share of the retry budget of a service.

    The ratio applies to the requests that this instance received, so the
    sum over all instances is the ratio of all requests. The fixed
    allowance is divided among the instances by their weights.

    :param ratio: retries allowed per request.
    :param extra: fixed allowance: retries allowed in addition per
        window, over all instances.
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

    def spend(
        self, now_s: float, instances: float, reserve: float = 0.0
    ) -> bool:
        """Spend one retry of the budget if one is left.

        :param now_s: the time.
        :param instances: number of instances like this one that share the
            fixed allowance.
        :param reserve: fraction of the budget that is left for others.
        :returns: whether the retry may be sent.
        """
        extra_share = self.extra / max(1, instances)
        allowed = self.ratio * self.requests.count(now_s) + extra_share
        allowed *= RETRY_FRACTION * (1 - reserve)
        if self.retries.count(now_s) + 1 > allowed:
            return False
        self.retries.add(now_s)
        return True


class ShiftWindow:
    """Requests of one window, with the number of those of each region.

    The own region has no name here.
    """

    def __init__(self):
        self.requests: deque[tuple[float, str]] = deque()
        self.counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self.requests)

    @property
    def remote(self) -> int:
        """Number of requests that were served in other regions."""
        return len(self.requests) - self.counts[OWN_REGION]

    def add(self, time_s: float, region: str) -> None:
        """Add a request.

        :param time_s: the time at which it was served.
        :param region: the other region that served it; empty for the own.
        """
        self.requests.append((time_s, region))
        self.counts[region] += 1

    def pop(self) -> tuple[float, str]:
        """Remove the oldest request.

        :returns: its time and region.
        """
        time_s, region = self.requests.popleft()
        self.counts[region] -= 1
        return time_s, region

    @property
    def oldest_s(self) -> float:
        """Time of the oldest request; infinity without any."""
        return self.requests[0][0] if self.requests else math.inf


class ShiftLimit:
    """Limit on the change of the share of requests served remotely.

    When load in one region rises suddenly, the share that overflows to
    other regions grows by at most one step per window, and later shrinks
    as slowly. Meanwhile caches in the other regions warm up, and their
    capacity can follow. Each instance limits the share of its own requests,
    so that of all requests of the region is limited too. The share of each
    other region grows by less, since requests that move from one of them to
    another change their region as well.

    :param max_change: allowed change of the share from one window to the next.
    """

    def __init__(self, max_change: float):
        self.max_change = max_change * SHIFT_FRACTION
        self.min_samples: float = MIN_SHIFT_SAMPLES
        self.suspended_until_s = float("-inf")
        self.previous = ShiftWindow()
        self.current = ShiftWindow()

    def set_instances(self, instances: float) -> None:
        """Set how many instances serve the callers of the region.

        :param instances: their number, with this one, each counted by its
            part of the requests relative to that of this one.
        """
        region_samples = MIN_REGION_SHIFT_SAMPLES / max(1, instances)
        self.min_samples = min(MIN_SHIFT_SAMPLES, region_samples)

    def suspend(self, until_s: float) -> None:
        """Suspend the limit, for example while a failure domain is evacuated.

        :param until_s: time from which the limit applies again.
        """
        self.suspended_until_s = max(self.suspended_until_s, until_s)

    def record(
        self, remote: bool, now_s: float, region: str = OTHER_REGION
    ) -> None:
        """Record where a request is served.

        :param remote: whether it is served in another region.
        :param now_s: the time.
        :param region: that region, where several are told apart.
        """
        self.current.add(now_s, region if remote else OWN_REGION)
        self._advance(now_s)
        while now_s - self.previous.oldest_s > 2 * SHIFT_WINDOW_S:
            self.previous.pop()

    def _advance(self, now_s: float) -> None:
        """Move requests that left the current window to the previous one."""
        while self.current.oldest_s <= now_s - SHIFT_WINDOW_S:
            self.previous.add(*self.current.pop())

    def _measure(self, now_s: float) -> tuple[float, int, int]:
        """Measure the previous and the current window.

        :param now_s: the time at which the current window ends.
        :returns: share of remote requests in the previous window, number
            of remote requests and of all requests in the current one.
        """
        self._advance(now_s)
        previous, current = self.previous, self.current
        share = previous.remote / len(previous) if len(previous) else 0.0
        return share, current.remote, len(current)

    def _lacks_history(self, now_s: float) -> bool:
        """Tell whether there is no earlier window to compare with."""
        self._advance(now_s)
        return not len(self.previous)

    def allows_remote(self, now_s: float, region: str = "") -> bool:
        """Tell whether another request may be served in another region.

        :param now_s: the time.
        :param region: that region; empty if they are not told apart.
        :returns: whether the share of remote requests, and that of the
            region, may grow.
        """
        if now_s < self.suspended_until_s or self._lacks_history(now_s):
            return True
        previous, current = self.previous, self.current
        if not self._may_grow(
            previous.remote, current.remote, self.max_change
        ):
            return False
        return not region or self._may_grow(
            previous.counts[region],
            current.counts[region],
            REGION_FRACTION * self.max_change,
        )

    def _may_grow(self, previous: int, current: int, change: float) -> bool:
        """Tell whether one more request of a kind may be served.

        :param previous: number of that kind in the previous window, which
            has requests.
        :param current: the same for the current window.
        :param change: by how much the share of the kind may grow.
        :returns: whether it may.
        """
        share = previous / len(self.previous)
        total = max(len(self.current) + 1, self.min_samples)
        return current + 1 <= (share + change) * total

    def requires_remote(self, now_s: float) -> bool:
        """Tell whether the share of remote requests shrinks too fast.

        :param now_s: the time.
        :returns: whether the next request should be served in another
            region.
        """
        if now_s < self.suspended_until_s:
            return False
        previous, remote, total = self._measure(now_s)
        if total < self.min_samples:
            return False
        return remote < (previous - self.max_change) * (total + 1)
