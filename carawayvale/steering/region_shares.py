"""Decide which requests are sent to other regions at once.

A region whose endpoints cannot take all requests of its callers rejects a
share of them. Instead of learning that anew for each request, an entry
instance measures the shares of requests that each region rejects and sends a
part of the requests to other regions first. The part follows what the own
region cannot take, as far as others reject less.
"""

from dataclasses import dataclass
from dataclasses import field
import math

from carawayvale.contracts.hashing import HASH_RANGE
from carawayvale.contracts.hashing import hash_text

# Time constant of the measured shares.
TIME_CONSTANT_S = 1.5

# Number of requests taken as accepted in addition to the measured ones, so
# that a few rejections after a silence decide nothing.
PRIOR_ACCEPTED = 3.0

# Rate per second at which the part approaches what the own region rejects.
INCREASE_RATE = 2.0

# Rate per second at which the part shrinks, so that the own region is tried
# with more requests: while it rejects some, and after none were rejected for
# a while. At the equilibrium the own region rejects 1/24 of the requests for
# each that is sent elsewhere.
PROBE_RATE = 1.0 / 12
RETURN_RATE = 1.0 / 4
QUIET_S = 2.0

# Rate per second at which the part shrinks for each share by which other
# regions reject more than the own one.
RETREAT_RATE = 4.0

# Regions that accept less than the best one by more than this come last.
ACCEPTED_MARGIN = 0.1

# Requests for the own region have to be complete this much before their
# objective, if others may serve them too. A request from another region is
# 20 ms on its way, so in an overload, when the requests of the own region
# keep the expected waits just below their objective, it was always rejected.
# With 20 ms, overloaded regions exchanged 7 % of their requests.
LOCAL_MARGIN_S = 0.015

# Longest time between two updates that counts. With 0.5 s, one rejection
# after a silence sent a fifth of the next requests to other regions.
MAX_STEP_S = 0.25


@dataclass
class AcceptedShare:
    """Moving share of requests that a region accepts.

    :param asked: decayed number of requests that were sent there.
    :param rejected: decayed number of those that were rejected.
    :param updated_s: time of the latest decay.
    """

    asked: float = 0.0
    rejected: float = 0.0
    updated_s: float = 0.0

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0:
            factor = math.exp(-elapsed_s / TIME_CONSTANT_S)
            self.asked *= factor
            self.rejected *= factor
            self.updated_s = now_s

    def record_asked(self, now_s: float) -> None:
        """Record that a request is sent to the region.

        :param now_s: the time.
        """
        self._decay(now_s)
        self.asked += 1

    def record_rejected(self, now_s: float) -> None:
        """Record that the region rejected a request.

        :param now_s: the time.
        """
        self._decay(now_s)
        self.rejected += 1

    def measure(self, now_s: float) -> float:
        """Measure the share of accepted requests.

        :param now_s: the time.
        :returns: the share; nearly 1 with few requests.
        """
        self._decay(now_s)
        total = max(self.asked, self.rejected) + PRIOR_ACCEPTED
        return 1.0 - self.rejected / total


@dataclass
class RegionShares:
    """Shares of one service's requests, as one entry instance knows them.

    :param region: the own region.
    :param remote_part: part of the requests that is sent to other regions
        first.
    :param accepted: shares of accepted requests by region.
    :param updated_s: time of the latest update of the part.
    :param rejected_s: time of the latest rejection by the own region.
    """

    region: str
    remote_part: float = 0.0
    accepted: dict[str, AcceptedShare] = field(default_factory=dict)
    updated_s: float = -math.inf
    rejected_s: float = -math.inf

    def _find(self, region: str) -> AcceptedShare:
        return self.accepted.setdefault(region, AcceptedShare())

    def record_asked(self, region: str, now_s: float) -> None:
        """Record that a request is sent to a region.

        :param region: the region.
        :param now_s: the time.
        """
        self._find(region).record_asked(now_s)

    def record_rejected(self, region: str, now_s: float) -> None:
        """Record that a region rejected a request.

        :param region: the region.
        :param now_s: the time.
        """
        self._find(region).record_rejected(now_s)
        if region == self.region:
            self.rejected_s = now_s

    def starts_remote(
        self, key: str, regions: list[str], now_s: float
    ) -> bool:
        """Tell whether a request is sent to another region first.

        The same objects are sent to other regions by all instances, so that
        they stay warm there.

        :param key: the object with its service.
        :param regions: the other regions that may serve the request.
        :param now_s: the time.
        :returns: whether it is.
        """
        if not regions:
            return False
        self._update(regions, now_s)
        if not self.remote_part:
            return False
        return hash_text(f"region|{key}") < self.remote_part * HASH_RANGE

    def _update(self, regions: list[str], now_s: float) -> None:
        elapsed_s = min(MAX_STEP_S, max(0.0, now_s - self.updated_s))
        self.updated_s = now_s
        own = self._find(self.region).measure(now_s)
        best = max(self._find(region).measure(now_s) for region in regions)
        change = 0.0
        if best > own:
            # Share of the rejected requests that others would accept.
            gain = (best - own) / (1.0 - own)
            change = INCREASE_RATE * (1 - self.remote_part) * (1 - own) * gain
        is_quiet = now_s - self.rejected_s > QUIET_S
        shrink_rate = RETURN_RATE if is_quiet else PROBE_RATE
        shrink_rate += RETREAT_RATE * max(0.0, own - best)
        change -= shrink_rate * self.remote_part
        self.remote_part += elapsed_s * change
        self.remote_part = min(1.0, max(0.0, self.remote_part))

    def may_accept(self, region: str, now_s: float) -> bool:
        """Tell whether another region may take what the own one rejected.

        :param region: the other region.
        :param now_s: the time.
        :returns: whether it accepts at least the share that the own region
            accepts.
        """
        accepted = self._find(region).measure(now_s)
        return accepted >= self._find(self.region).measure(now_s)

    def list_preferred(self, regions: list[str], now_s: float) -> set[str]:
        """List the regions that accept about as much as the best one.

        :param regions: the other regions that may serve a request.
        :param now_s: the time.
        :returns: the regions that come first.
        """
        accepted = {r: self._find(r).measure(now_s) for r in regions}
        best = max(accepted.values(), default=0.0)
        return {r for r in regions if accepted[r] >= best - ACCEPTED_MARGIN}
