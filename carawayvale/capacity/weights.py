"""Decide how much of the demand each instance takes.

Instances may differ by a factor of twenty in their links and of three in
their processors. Look-ups, ownership of endpoints and of quotas, and the
watch of the store use the same weights, which depend on capacities alone: a
weight changes only with the machine, so nothing moves back and forth.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from statistics import median

from carawayvale.capacity.link_meter import BYTES_PER_MEGABIT

# Processor time and bytes in each direction of one request, at the instance
# that the caller uses and at the owner of the endpoint together.
REQUEST_CPU_S = 0.005
REQUEST_BYTES = 20_000

# The rest of a link is left for the bursts of large bodies.
LINK_SHARE = 0.4

# The event loop of a process uses one core at most.
MAX_CPU_SHARE = 1.0

# At the same use, the queue of a slow instance delays more than that of a
# fast one, so a slow one gets less than its part of the capacity, as in
# Tantawi and Towsley, "Optimal static load balancing in distributed computer
# systems", 1985. The parts that are optimal there depend on the demand; a
# power of the rate does not, and keeps the use of all instances alike.
RATE_EXPONENT = 1.15


@dataclass(frozen=True)
class Capacity:
    """What an instance can carry.

    :param cpu_share: share of a processor core.
    :param link_mbps: bandwidth of its link in each direction in Mbit/s.
    """

    cpu_share: float
    link_mbps: float


def estimate_rate(capacity: Capacity) -> float:
    """Estimate how many requests an instance can carry.

    :param capacity: its capacity.
    :returns: requests per second.

    >>> round(estimate_rate(Capacity(0.7, 100.0)))
    140
    >>> estimate_rate(Capacity(0.3, 5.0))
    12.5
    """
    cpu_share = min(MAX_CPU_SHARE, capacity.cpu_share)
    bytes_per_s = capacity.link_mbps * BYTES_PER_MEGABIT * LINK_SHARE
    return min(cpu_share / REQUEST_CPU_S, bytes_per_s / REQUEST_BYTES)


FindWeight = Callable[[str], float]


def find_equal_weight(name: str) -> float:
    """Find the weight of an instance where all are equal.

    :param name: name of the instance.
    :returns: 1.
    """
    return 1.0


class InstanceWeights:
    """Parts of the demand that instances take, relative to each other.

    An instance of unknown capacity counts as the median of the known ones.

    :param capacities: known capacities by name of the instance.

    >>> weights = InstanceWeights({"e1": Capacity(0.3, 5.0)})
    >>> weights.find("e1"), weights.find("e2")
    (1.0, 1.0)
    """

    def __init__(self, capacities: Mapping[str, Capacity] = {}):
        raw = {
            name: estimate_rate(capacity) ** RATE_EXPONENT
            for name, capacity in capacities.items()
        }
        greatest = max(raw.values(), default=1.0)
        # Equal capacities have weights of exactly 1.
        self._weights = {name: raw[name] / greatest for name in raw}
        self._median = median(self._weights.values()) if raw else 1.0

    def find(self, name: str) -> float:
        """Find the weight of an instance.

        :param name: name of the instance.
        :returns: the weight, above 0 and at most 1.
        """
        return self._weights.get(name, self._median)

    def count_equivalents(self, name: str, names: Iterable[str]) -> float:
        """Count how many instances like one would take what some take.

        Where the instances share an allowance, this is the number by which
        it is divided for that instance.

        :param name: name of the instance.
        :param names: names of all instances that share, with this one.
        :returns: their number, if all are equal.

        >>> InstanceWeights().count_equivalents("e1", ["e1", "e2", "e3"])
        3.0
        """
        return sum(map(self.find, names)) / self.find(name)
