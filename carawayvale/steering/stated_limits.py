"""Rate limits that endpoints name in their responses.

An endpoint in need names how many requests a second it takes from all
instances together. Its owner is the only instance that sends to it, so the
owner's count is that of the fleet. Every instance that passes a response on
learns the limit, so that one that becomes the owner knows it. While the
views of the instances may differ, a new owner uses a part of the limit.
"""

from dataclasses import dataclass
from dataclasses import field

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.steering.rates import WindowCounter

# Length of the window in which the requests to an endpoint are counted.
COUNT_WINDOW_S = 4.0

# A limit ends with a response that does not name it, this long after the
# last one that did.
HOLD_S = 1.0

# Requests of this long at the limit may be sent at once after a silence.
BURST_S = 0.5

# Time for which the previous owner may still send, and the part of the
# limit that any other instance uses meanwhile.
HANDOVER_S = 3.0
HANDOVER_SHARE = 0.25

# Least rate in requests per second. An endpoint that takes nothing gets a
# request now and then, whose response tells whether that still holds.
MIN_RATE = 0.25

# A limit in force is logged at most this often.
LOG_INTERVAL_S = 1.0


@dataclass
class StatedLimit:
    """The rate limit that one endpoint names, as one instance knows it.

    :param rate: requests per second; None without a limit.
    :param named_s: time at which it was last named.
    :param logged_s: time at which it was last logged.
    :param owned_since_s: time since which this instance owns the endpoint;
        None if it does not.
    :param share: part of the limit that this instance uses.
    :param next_s: theoretical arrival time of the next request, as in the
        generic cell rate algorithm.
    :param sent: requests that this instance sent to the endpoint.
    """

    rate: float | None = None
    named_s: float = 0.0
    logged_s: float = 0.0
    owned_since_s: float | None = None
    share: float = HANDOVER_SHARE
    next_s: float = 0.0
    sent: WindowCounter = field(
        default_factory=lambda: WindowCounter(COUNT_WINDOW_S)
    )

    @property
    def is_limited(self) -> bool:
        """Whether a limit is in force."""
        return self.rate is not None

    @property
    def spacing_s(self) -> float:
        """Seconds between two requests while a limit is in force."""
        return 1.0 / (self.share * max(MIN_RATE, self.rate or 0.0))

    def record_ownership(self, is_owner: bool, now_s: float) -> None:
        """Record whether this instance is the owner of the endpoint.

        :param is_owner: whether it is, in its own view.
        :param now_s: the time.
        """
        if not is_owner:
            self.owned_since_s = None
        elif self.owned_since_s is None:
            self.owned_since_s = now_s
            self.next_s = max(self.next_s, now_s + BURST_S)
        owned_s = now_s - self.owned_since_s if is_owner else 0.0
        self.share = 1.0 if owned_s >= HANDOVER_S else HANDOVER_SHARE

    def find_start(self, now_s: float, ahead: int) -> float:
        """Find when a request may be sent.

        :param now_s: the time.
        :param ahead: number of requests that are sent before it.
        :returns: the time.
        """
        if not self.is_limited:
            return now_s
        next_s = max(self.next_s, now_s) + ahead * self.spacing_s
        return max(now_s, next_s - BURST_S)

    def record_send(self, now_s: float) -> None:
        """Record that a request is sent now.

        :param now_s: the time.
        """
        if self.is_limited:
            self.next_s = max(self.next_s, now_s) + self.spacing_s

    def record_named(self, rate: float, now_s: float) -> None:
        """Record that a response names a limit.

        :param rate: the limit in requests per second.
        :param now_s: the time.
        """
        self.rate = rate
        self.named_s = now_s

    def record_unnamed(self, now_s: float) -> None:
        """Record a response that names no limit.

        :param now_s: the time.
        """
        if self.is_limited and now_s - self.named_s >= HOLD_S:
            self.rate = None

    def needs_log(self, old_rate: float | None, now_s: float) -> bool:
        """Tell whether the limit is logged now.

        :param old_rate: the limit before the latest response.
        :param now_s: the time.
        :returns: whether it began or ended, or was logged long ago.
        """
        changed = (old_rate is None) != (self.rate is None)
        is_due = self.is_limited and now_s - self.logged_s >= LOG_INTERVAL_S
        if not changed and not is_due:
            return False
        self.logged_s = now_s
        return True

    def count_send(self, now_s: float) -> None:
        """Count a request that is sent to the endpoint.

        :param now_s: the time.
        """
        self.sent.add(now_s)
        self.sent.count(now_s)

    def count_sent(self, now_s: float) -> int:
        """Count the requests of the last COUNT_WINDOW_S.

        :param now_s: the time.
        :returns: their number.
        """
        return self.sent.count(now_s)


class StatedLimits:
    """The limits of all endpoints that one instance knows.

    A limit belongs to one process of an endpoint and ends with it.
    """

    def __init__(self):
        self._limits: dict[str, tuple[int, StatedLimit]] = {}

    def find(self, endpoint: EndpointRecord) -> StatedLimit:
        """Find the limit of an endpoint.

        :param endpoint: the endpoint.
        :returns: the limit; a new one without a rate after a restart, and
            one that is not kept for a process before the latest.
        """
        known = self._limits.get(endpoint.name)
        if known is not None and known[0] == endpoint.started_ms:
            return known[1]
        limit = StatedLimit()
        if known is None or known[0] < endpoint.started_ms:
            self._limits[endpoint.name] = (endpoint.started_ms, limit)
        return limit

    def forget(self, name: str) -> None:
        """Forget the limit of an endpoint that is gone.

        :param name: name of the endpoint.
        """
        self._limits.pop(name, None)

    def list_limited(self) -> list[str]:
        """List the endpoints with a limit.

        :returns: their names.
        """
        return [
            name
            for name, (_, limit) in self._limits.items()
            if limit.is_limited
        ]
