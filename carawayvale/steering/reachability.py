"""Decide whether this instance is partitioned from all endpoints.

An instance that cannot connect to the endpoints that it owns blocks them
for the whole fleet. The evidence is connection attempts only: connections
opened earlier may live on, and responses may be late for other reasons.
"""

from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from itertools import zip_longest
import random

from carawayvale.catalogue.records import EndpointRecord

# Number of endpoints that one round of probes connects to.
MAX_PROBES = 4

# Number of them in the own failure domain, which may be partitioned from
# all others as a whole.
LOCAL_PROBES = 2
PROBE_TIMEOUT_S = 0.5

# A round that takes longer than its timeout by this much was delayed by
# the own process, and its timeouts prove nothing.
MAX_ROUND_DELAY_S = 0.2

# Time between rounds of an instance that reaches some endpoints, and of
# one that is partitioned.
ROUND_INTERVAL_S = 1.0
PARTITIONED_INTERVAL_S = 0.4

# An instance that serves again only because no other one does keeps
# serving for a random time between these bounds, so that the instances
# do not all leave again together.
MIN_ALONE_S = 3.0
MAX_ALONE_S = 6.0


class ReachabilityChange(Enum):
    """Change of state after a round of probes.

    PARTITIONED: no endpoint can be reached, and other instances serve.
    REACHED: an endpoint can be reached again. ALONE: no endpoint can be
    reached, but no other instance serves any more.
    """

    PARTITIONED = "partitioned"
    REACHED = "reached"
    ALONE = "taken_back"


@dataclass(frozen=True)
class ProbeRound:
    """Result of connection attempts to a few endpoints at once.

    :param probed: names of the endpoints.
    :param reached: number of endpoints that accepted a connection.
    :param started_s: start of the round.
    :param finished_s: end of the round.
    :param was_behind: whether this instance was behind during the round.
    """

    probed: tuple[str, ...]
    reached: int
    started_s: float
    finished_s: float
    was_behind: bool = False

    @property
    def is_valid(self) -> bool:
        """Whether the result says something about the network."""
        if self.reached:
            return True
        if self.was_behind:
            return False
        limit_s = PROBE_TIMEOUT_S + MAX_ROUND_DELAY_S
        took_s = self.finished_s - self.started_s
        return bool(self.probed) and took_s <= limit_s


@dataclass
class Reachability:
    """Evidence whether any endpoint can be reached, and the conclusion.

    The first failed connection attempt leads to a round of probes of
    other endpoints. If all fail and another instance serves, this
    instance counts itself as partitioned until a probe succeeds or no
    other instance serves.

    :param failed_s: time of the latest failed connection attempt, by
        endpoint, since the latest success.
    :param next_round_s: time from which the next round may start.
    :param partitioned_s: time since which the instance is partitioned;
        None if it is not.

    >>> reachability = Reachability()
    >>> reachability.record_connect("i-1", False, 1.0)
    >>> reachability.needs_round(1.0)
    True
    """

    failed_s: dict[str, float] = field(default_factory=dict)
    next_round_s: float = 0.0
    partitioned_s: float | None = None

    @property
    def is_partitioned(self) -> bool:
        """Whether the instance counts itself as partitioned."""
        return self.partitioned_s is not None

    def record_connect(self, name: str, reached: bool, now_s: float) -> None:
        """Record an attempt to open a connection to an endpoint.

        :param name: name of the endpoint.
        :param reached: whether the connection was opened.
        :param now_s: the time.
        """
        if not reached:
            self.failed_s[name] = now_s
            return
        self.failed_s.clear()

    def needs_round(self, now_s: float) -> bool:
        """Tell whether a round of probes is due.

        :param now_s: the time.
        :returns: whether a connection attempt has failed and none
            succeeded since, or the instance is partitioned.
        """
        if now_s < self.next_round_s:
            return False
        return self.is_partitioned or bool(self.failed_s)

    def record_round(
        self, probe_round: ProbeRound, others_serve: bool, now_s: float
    ) -> ReachabilityChange | None:
        """Draw the conclusion from a round of probes.

        :param probe_round: the result of the round.
        :param others_serve: whether another instance serves. One that was
            not heard lately counts only while this instance is
            partitioned, since a pause of its process must not end that.
        :param now_s: the time.
        :returns: the change of state, if any.
        """
        if not probe_round.is_valid:
            self.next_round_s = now_s + PARTITIONED_INTERVAL_S
            return None
        if probe_round.reached:
            return self._record_reached(now_s)
        if self.is_partitioned:
            self.next_round_s = now_s + PARTITIONED_INTERVAL_S
            return self.record_serving(others_serve, now_s)
        self.next_round_s = now_s + ROUND_INTERVAL_S
        if not others_serve:
            return None
        self.next_round_s = now_s + PARTITIONED_INTERVAL_S
        self.partitioned_s = now_s
        return ReachabilityChange.PARTITIONED

    def _record_reached(self, now_s: float) -> ReachabilityChange | None:
        was_partitioned = self.is_partitioned
        self.partitioned_s = None
        self.failed_s.clear()
        self.next_round_s = now_s + ROUND_INTERVAL_S
        return ReachabilityChange.REACHED if was_partitioned else None

    def record_serving(
        self, others_serve: bool, now_s: float
    ) -> ReachabilityChange | None:
        """End the partitioned state if no other instance serves.

        :param others_serve: whether another instance serves.
        :param now_s: the time.
        :returns: the change of state, if any.
        """
        if others_serve or not self.is_partitioned:
            return None
        self.partitioned_s = None
        hold_s = random.uniform(MIN_ALONE_S, MAX_ALONE_S)
        self.next_round_s = now_s + hold_s
        return ReachabilityChange.ALONE


def choose_probes(
    endpoints: Iterable[EndpointRecord], failed: Collection[str], domain: str
) -> list[EndpointRecord]:
    """Choose endpoints whose failure domains and services differ.

    Those of the own failure domain come first.
    Endpoints that failed already and those that drain are chosen only if
    there are not enough others.

    :param endpoints: all endpoints.
    :param failed: names of endpoints that could not be reached.
    :param domain: the own failure domain.
    :returns: at most MAX_PROBES endpoints.
    """
    shuffled = list(endpoints)
    random.shuffle(shuffled)
    shuffled.sort(key=lambda e: (e.name in failed, e.is_draining))
    by_domain: dict[str, dict[str, list[EndpointRecord]]] = {}
    for endpoint in shuffled:
        services = by_domain.setdefault(endpoint.domain, {})
        services.setdefault(endpoint.service, []).append(endpoint)
    own = _alternate(by_domain.pop(domain, {}).values())
    columns = [_alternate(groups.values()) for groups in by_domain.values()]
    chosen = own[:LOCAL_PROBES] + _alternate(columns) + own[LOCAL_PROBES:]
    chosen.sort(key=lambda e: e.name in failed)
    return chosen[:MAX_PROBES]


def _alternate(
    groups: Iterable[list[EndpointRecord]],
) -> list[EndpointRecord]:
    """List the first of each group, then the second of each, and so on."""
    return [
        endpoint
        for row in zip_longest(*groups)
        for endpoint in row
        if endpoint is not None
    ]
