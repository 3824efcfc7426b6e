"""Owners of the quotas of organisations, without I/O.

The owner of a quota is chosen by rendezvous hashing over the serving
instances. It keeps the bucket, and hands it over when it leaves or when a
new instance comes first in the order.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import math

from carawayvale.capacity.weights import find_equal_weight
from carawayvale.capacity.weights import FindWeight
from carawayvale.contracts.hashing import score_text
from carawayvale.steering.quota_buckets import Grant
from carawayvale.steering.quota_buckets import QuotaBucket
from carawayvale.steering.quota_buckets import QuotaLimit
from carawayvale.steering.quota_buckets import QuotaRules

# A longer time between two calls is a pause of the process. Other instances
# may have taken over its quotas meanwhile.
PAUSE_THRESHOLD_S = 1.5

# Time for which an adopted bucket is kept although the member list names
# another owner.
ADOPTION_S = 1.5

# Time for which a process that has just started grants as a new owner. The
# previous owner was an earlier process of its instance, which has ended, or
# hands its bucket over by then, or is a new owner as well.
STARTUP_S = 0.5


@dataclass
class OwnerEntry:
    """First instance in the order of an organisation's quota.

    :param name: name of the instance.
    :param score: weighted hash of the instance and the organisation.
    :param since_s: time since which it has been the first one.
    """

    name: str
    score: float
    since_s: float


def _score(organisation: str, name: str, weight: float) -> float:
    return score_text(f"quota|{organisation}|{name}", weight)


class QuotaOwnership:
    """Owners of all quotas, as one instance sees them.

    An owner is found when its organisation is first asked for, and then kept
    through changes of the members.

    :param own_name: name of this instance, the owner if nobody serves.
    :param now_s: the time.

    >>> ownership = QuotaOwnership("e1", 0.0)
    >>> ownership.set_members(["e1", "e2"], 1.0)
    >>> ownership.find("press").name == ownership.list_order("press")[0]
    True
    """

    def __init__(self, own_name: str, now_s: float):
        self.own_name = own_name
        self.members: Mapping[str, float] = {own_name: 1.0}
        self.changed_s = now_s
        self.entries: dict[str, OwnerEntry] = {}

    def set_members(
        self,
        names: Iterable[str],
        now_s: float,
        find_weight: FindWeight = find_equal_weight,
    ) -> None:
        """Set the serving instances.

        An instance whose weight has changed counts as a new one.

        :param names: their names.
        :param now_s: the time.
        :param find_weight: finds the weight of an instance by its name.
        """
        members = {name: find_weight(name) for name in names}
        members = members or {self.own_name: 1.0}
        if members == self.members:
            return
        old, self.members = self.members, members
        added = [name for name in members if members[name] != old.get(name)]
        self.changed_s = now_s
        for organisation, entry in self.entries.items():
            if members.get(entry.name) != old.get(entry.name):
                chosen = self._choose(organisation)
                if chosen.name == entry.name:
                    chosen.since_s = entry.since_s
                self.entries[organisation] = chosen
                continue
            for name in added:
                score = _score(organisation, name, members[name])
                if (score, name) > (entry.score, entry.name):
                    entry = OwnerEntry(name, score, now_s)
                    self.entries[organisation] = entry

    def _choose(self, organisation: str) -> OwnerEntry:
        score, name = max(
            (_score(organisation, name, weight), name)
            for name, weight in self.members.items()
        )
        return OwnerEntry(name, score, self.changed_s)

    def find(self, organisation: str) -> OwnerEntry:
        """Find the owner of a quota.

        :param organisation: name of the organisation.
        :returns: the owner.
        """
        entry = self.entries.get(organisation)
        if entry is None:
            entry = self._choose(organisation)
            self.entries[organisation] = entry
        return entry

    def is_owner(self, organisation: str) -> bool:
        """Tell whether this instance owns a quota.

        :param organisation: name of the organisation.
        :returns: whether it is the first in the order.
        """
        return self.find(organisation).name == self.own_name

    def list_order(self, organisation: str) -> list[str]:
        """List the instances in the order in which they may own a quota.

        :param organisation: name of the organisation.
        :returns: the names, the owner first.
        """
        return sorted(
            self.members,
            key=lambda name: (
                _score(organisation, name, self.members[name]),
                name,
            ),
            reverse=True,
        )


@dataclass(frozen=True)
class Handover:
    """State of a bucket for the next owner of a quota.

    :param organisation: name of the organisation.
    :param level: tokens in the bucket.
    :param target: name of the next owner.
    """

    organisation: str
    level: float
    target: str


class QuotaOwner:
    """The buckets of the quotas that one instance owns.

    :param ownership: owners of all quotas.
    :param rules: bounds of the deployment.
    :param now_s: the time.
    """

    def __init__(
        self, ownership: QuotaOwnership, rules: QuotaRules, now_s: float
    ):
        self.ownership = ownership
        self.rules = rules
        self.buckets: dict[str, QuotaBucket] = {}
        self.limits: dict[str, QuotaLimit] = {}
        self.started_s = now_s
        self.seen_s = now_s
        self.resumed_s = -math.inf
        self._number = 0
        self._adopted: dict[str, str] = {}

    def set_limits(self, limits: dict[str, QuotaLimit], now_s: float) -> None:
        """Apply the limits of a configuration to all buckets at once.

        :param limits: limits by name of the organisation.
        :param now_s: the time.
        """
        self.limits = limits
        for organisation in self.buckets.keys() - limits.keys():
            del self.buckets[organisation]
        for organisation, bucket in self.buckets.items():
            bucket.set_limit(limits[organisation], now_s)
        entries = self.ownership.entries
        for organisation in entries.keys() - limits.keys():
            del entries[organisation]

    def advance(self, now_s: float) -> None:
        """Note that the process runs; forget the buckets after a pause.

        :param now_s: the time.
        """
        paused = now_s - self.seen_s > PAUSE_THRESHOLD_S
        self.seen_s = max(self.seen_s, now_s)
        if paused:
            self.buckets.clear()
            self.resumed_s = now_s
            for entry in self.ownership.entries.values():
                entry.since_s = now_s
            self.ownership.changed_s = now_s

    def find_bucket(
        self, organisation: str, limit: QuotaLimit, now_s: float
    ) -> QuotaBucket:
        """Find or create the bucket of an organisation.

        :param organisation: name of the organisation.
        :param limit: its limit, if this instance does not know it.
        :param now_s: the time.
        :returns: the bucket. While another instance is the owner in this
            instance's view, it is filled at the rate of a new owner.
        """
        limit = self.limits.get(organisation, limit)
        entry = self.ownership.find(organisation)
        owned = entry.name == self.ownership.own_name
        full_rate_s = entry.since_s + self._find_takeover_time(entry)
        bucket = self.buckets.get(organisation)
        if bucket is None:
            start_s = entry.since_s if owned else now_s
            bucket = QuotaBucket(
                limit, self.rules, start_s, full_rate_s if owned else math.inf
            )
            self.buckets[organisation] = bucket
        elif owned and math.isinf(bucket.full_rate_s):
            bucket.advance(now_s)
            bucket.full_rate_s = max(now_s, full_rate_s)
        bucket.set_limit(limit, now_s)
        return bucket

    def _find_takeover_time(self, entry: OwnerEntry) -> float:
        """Find for how long a new owner grants only a part of the rate."""
        window_s = self.rules.window_s
        if self.resumed_s > self.started_s:
            return window_s
        is_new_process = entry.since_s - self.started_s < window_s
        return min(STARTUP_S, window_s) if is_new_process else window_s

    def grant(
        self,
        organisation: str,
        limit: QuotaLimit,
        waiting: int,
        expected: int,
        now_s: float,
    ) -> Grant:
        """Grant tokens of an organisation.

        :param organisation: name of the organisation.
        :param limit: its limit, if this instance does not know it.
        :param waiting: number of requests that wait for a token.
        :param expected: number of further requests expected.
        :param now_s: the time.
        :returns: the grant.
        """
        self.advance(now_s)
        self._number += 1
        bucket = self.find_bucket(organisation, limit, now_s)
        return bucket.grant(waiting, expected, self._number, now_s)

    def take_back(
        self, organisation: str, number: int, tokens: int, now_s: float
    ) -> int:
        """Take back unspent tokens of a valid grant.

        :param organisation: name of the organisation.
        :param number: number of the grant.
        :param tokens: number of its tokens that were returned in total.
        :param now_s: the time.
        :returns: number of tokens that were accepted.
        """
        self.advance(now_s)
        bucket = self.buckets.get(organisation)
        if bucket is None:
            return 0
        return bucket.take_back(number, tokens, now_s)

    def set_members(
        self,
        names: Iterable[str],
        now_s: float,
        find_weight: FindWeight = find_equal_weight,
    ) -> None:
        """Set the serving instances, of which some own quotas.

        :param names: their names.
        :param now_s: the time.
        :param find_weight: finds the weight of an instance by its name.
        """
        self.advance(now_s)
        weights = {name: find_weight(name) for name in names}
        if weights == self.ownership.members:
            return
        # A quota that was never asked for is handed over as well: its next
        # owner need not start with an empty bucket.
        own_name = self.ownership.own_name
        for organisation, entry in self.ownership.entries.items():
            limit = self.limits.get(organisation)
            if entry.name == own_name and limit is not None:
                self.find_bucket(organisation, limit, now_s)
        self.ownership.set_members(weights, now_s, find_weight)

    def take_handovers(self, now_s: float) -> list[Handover]:
        """Give up the buckets of quotas that this instance has lost.

        :param now_s: the time.
        :returns: the state for the next owners.
        """
        self.advance(now_s)
        handovers = []
        serves = self.ownership.own_name in self.ownership.members
        for organisation, bucket in list(self.buckets.items()):
            target = self.ownership.find(organisation).name
            if target == self.ownership.own_name:
                continue
            if math.isinf(bucket.full_rate_s):
                continue
            if now_s < bucket.kept_until_s and serves:
                continue
            del self.buckets[organisation]
            bucket.advance(now_s)
            if now_s >= bucket.full_rate_s:
                handovers.append(Handover(organisation, bucket.level, target))
        return handovers

    def adopt(
        self, organisation: str, level: float, number: str, now_s: float
    ) -> bool:
        """Continue the bucket of the previous owner.

        :param organisation: name of the organisation.
        :param level: tokens in the bucket of the previous owner.
        :param number: number of the handover; a duplicate is ignored.
        :param now_s: the time.
        :returns: whether the state was accepted.
        """
        self.advance(now_s)
        limit = self.limits.get(organisation)
        if limit is None or self._adopted.get(organisation) == number:
            return False
        # A message that arrived during a pause may be outdated.
        if now_s - self.resumed_s < PAUSE_THRESHOLD_S:
            return False
        self._adopted[organisation] = number
        bucket = self.find_bucket(organisation, limit, now_s)
        bucket.advance(now_s)
        level = min(max(0.0, level), bucket.capacity)
        if now_s < bucket.full_rate_s:
            bucket.level = max(0.0, level - bucket.granted)
            bucket.full_rate_s = now_s
        else:
            bucket.level = min(bucket.level, level)
        # The previous owner may learn of a change of members earlier.
        bucket.kept_until_s = now_s + ADOPTION_S
        return True
