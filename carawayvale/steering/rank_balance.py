"""Detect that a more urgent rank is served less often than a less urgent one.

Urgent requests start first, but may have an earlier objective than less
urgent ones. In an overload their objective passes while the slots are held
by less urgent work that still meets its own, and then they are late and
wait behind all work in time. The shares of each rank that an endpoint serves
show this, and which rank has to be favoured until the shares agree.
"""

from dataclasses import dataclass
from dataclasses import field
import math

# Time constant of the measured shares.
TIME_CONSTANT_S = 5.0

# A rank counts only with as many requests.
MIN_REQUESTS = 3.0


@dataclass
class ServedShare:
    """Decayed numbers of the requests of one rank that ended in the queue.

    :param served: number of those that got a slot.
    :param lost: number of those that got none, not even late.
    :param updated_s: time of the latest decay.
    """

    served: float = 0.0
    lost: float = 0.0
    updated_s: float = 0.0

    def decay(self, now_s: float) -> None:
        """Let the numbers decay.

        :param now_s: the time.
        """
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0:
            factor = math.exp(-elapsed_s / TIME_CONSTANT_S)
            self.served *= factor
            self.lost *= factor
            self.updated_s = now_s

    @property
    def total(self) -> float:
        """Number of requests."""
        return self.served + self.lost


@dataclass
class RankBalance:
    """Served shares of all ranks at one endpoint.

    :param shares: shares by rank.
    """

    shares: dict[int, ServedShare] = field(default_factory=dict)

    def _find(self, rank: int, now_s: float) -> ServedShare:
        share = self.shares.setdefault(rank, ServedShare())
        share.decay(now_s)
        return share

    def record_served(self, rank: int, now_s: float) -> None:
        """Record that a request got a slot.

        :param rank: its rank.
        :param now_s: the time.
        """
        self._find(rank, now_s).served += 1

    def record_lost(self, rank: int, now_s: float) -> None:
        """Record that a request got no slot, not even late.

        :param rank: its rank.
        :param now_s: the time.
        """
        self._find(rank, now_s).lost += 1

    def find_favoured(self, now_s: float) -> int | None:
        """Find the rank that is served less often than a less urgent one.

        :param now_s: the time.
        :returns: the least urgent such rank; None if there is none.
        """
        best = 0.0
        for rank in sorted(self.shares, reverse=True):
            share = self._find(rank, now_s)
            if share.total < MIN_REQUESTS:
                continue
            served = share.served / share.total
            if served < best:
                return rank
            best = max(best, served)
        return None
