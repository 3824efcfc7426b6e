"""Limit the rate of each organisation over all instances.

The owner of an organisation's quota, chosen by rendezvous hashing, keeps a
token bucket and grants tokens to the other instances. A granted token that
is not spent within the validity is lost, so the tokens spent in a window are
at most those granted in the window and one validity before it.
"""

from collections.abc import Iterable
from collections import deque
from dataclasses import dataclass
import math

from carawayvale.contracts.hashing import hash_text

# Time for which a granted token may be spent, from when it was requested.
GRANT_VALIDITY_S = 0.5

# Share of the rate that a new owner grants for one window, since it does not
# know what the previous owner granted.
TAKEOVER_FRACTION = 0.1

# A new owner saves the tokens of this time, or one token, while nobody asks.
TAKEOVER_SAVED_S = 1.0

# Part of the tolerance of a window that the bucket may hold. The rest is left
# to a second owner, which exists while the instances' views differ.
CAPACITY_FRACTION = 0.5

# Share of the bucket that is granted only to waiting requests. Tokens for
# expected requests may expire unused, which costs nothing while the bucket
# is fuller than this.
RESERVE_FRACTION = 0.5

# A longer time between two calls is a pause of the process. Other instances
# may have taken over its quotas meanwhile.
PAUSE_THRESHOLD_S = 1.5

# Time in which an instance learns why it was handed a bucket.
ADOPTION_S = 1.5

# Time for which a process that has just started grants as a new owner. The
# previous owner was an earlier process of its instance, which has ended, or
# hands its bucket over by then, or is a new owner as well.
STARTUP_S = 1.5

# Time constant of the estimate of an organisation's demand.
DEMAND_WINDOW_S = 1.0


@dataclass(frozen=True)
class QuotaRules:
    """Bounds of the deployment for all quotas.

    :param window_s: window over which requests are counted.
    :param excess: share by which a quota may be exceeded in a window.
    :param slack: additional requests allowed per window.
    """

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    @property
    def validity_s(self) -> float:
        """Validity of tokens, which uses the allowed excess of the rate."""
        return min(GRANT_VALIDITY_S, self.excess * self.window_s)


@dataclass(frozen=True)
class QuotaLimit:
    """The limit of one organisation.

    :param rate: requests per second.
    :param burst: additional requests that it may send at once.
    """

    rate: float
    burst: float

    def find_capacity(self, rules: QuotaRules) -> float:
        """Find the size of the bucket, in which one request must fit.

        It is larger than the burst by a part of what may be exceeded in a
        window, so that requests at random times are not refused while they
        are below the limit on average.

        :param rules: bounds of the deployment.
        :returns: number of tokens.

        >>> QuotaLimit(20.0, 20.0).find_capacity(QuotaRules())
        31.0
        """
        spare = self._find_spare(rules)
        return max(1.0, self.burst + CAPACITY_FRACTION * spare)

    def _find_spare(self, rules: QuotaRules) -> float:
        """Find what may be exceeded, apart from the excess of the rate.

        The validity of the tokens already uses the excess of the rate.
        """
        return rules.slack + rules.excess * self.burst

    def find_takeover_rate(self, rules: QuotaRules) -> float:
        """Find the rate of a new owner beside an unknown previous one.

        :param rules: bounds of the deployment.
        :returns: requests per second.

        >>> QuotaLimit(10.0, 20.0).find_takeover_rate(QuotaRules())
        1.0
        >>> round(QuotaLimit(900.0, 20.0).find_takeover_rate(QuotaRules()), 2)
        1.54
        """
        spare = self._find_spare(rules) + self.burst
        spare -= self.find_capacity(rules)
        period_s = rules.window_s + rules.validity_s + TAKEOVER_SAVED_S
        return min(
            TAKEOVER_FRACTION * self.rate, max(0.0, spare - 1.0) / period_s
        )


@dataclass(frozen=True)
class Grant:
    """Answer of the owner of a quota to a request for tokens.

    :param tokens: number of granted tokens.
    :param number: number of the grant, unique at the owner.
    :param retry_s: if no token is left, seconds until a refused request
        that is repeated is likely to get one.
    :param empty_s: seconds until the bucket has a token.
    """

    tokens: int
    number: int = 0
    retry_s: float = 0.0
    empty_s: float = 0.0


@dataclass
class IssuedGrant:
    """A grant whose tokens may be returned.

    :param time_s: time of the grant.
    :param tokens: number of its tokens.
    :param returned: number of those that were returned.
    """

    time_s: float
    tokens: int
    returned: int = 0


class QuotaBucket:
    """Token bucket of one organisation at the owner of its quota.

    :param limit: limit of the organisation.
    :param rules: bounds of the deployment.
    :param start_s: time since which the bucket is filled; it is empty then.
    :param full_rate_s: time from which the whole rate is granted.

    >>> bucket = QuotaBucket(QuotaLimit(2.0, 4.0), QuotaRules(), 0.0, 0.0)
    >>> bucket.grant(1, 0, 1, 1.0).tokens, bucket.grant(2, 0, 2, 1.0).tokens
    (1, 1)
    """

    def __init__(
        self,
        limit: QuotaLimit,
        rules: QuotaRules,
        start_s: float,
        full_rate_s: float,
    ):
        self.limit = limit
        self.rules = rules
        self.level = 0.0
        self.updated_s = start_s
        self.kept_until_s = -math.inf
        self.full_rate_s = full_rate_s
        self.promised_s = start_s
        self.granted = 0
        self._grants: dict[int, IssuedGrant] = {}

    @property
    def capacity(self) -> float:
        """Maximum number of tokens."""
        return self.limit.find_capacity(self.rules)

    def advance(self, now_s: float) -> None:
        """Add the tokens of the time that has passed.

        :param now_s: the time.
        """
        if now_s <= self.updated_s:
            return
        slow_s = min(now_s, self.full_rate_s) - self.updated_s
        slow_s = max(0.0, slow_s)
        full_s = now_s - self.updated_s - slow_s
        slow_rate = self.limit.find_takeover_rate(self.rules)
        if slow_s:
            latest = max(self.level, 1.0, slow_rate * TAKEOVER_SAVED_S)
            self.level = min(self.level + slow_s * slow_rate, latest)
        self.level += full_s * self.limit.rate
        self.level = min(self.level, self.capacity)
        self.updated_s = now_s

    def set_limit(self, limit: QuotaLimit, now_s: float) -> None:
        """Apply the limit of another configuration at once.

        :param limit: the limit.
        :param now_s: the time.
        """
        if limit == self.limit:
            return
        self.advance(now_s)
        self.limit = limit
        self.level = min(self.level, self.capacity)

    def find_rate(self, now_s: float) -> float:
        """Find the rate at which the bucket is filled.

        :param now_s: the time.
        :returns: tokens per second.
        """
        if now_s < self.full_rate_s:
            return self.limit.find_takeover_rate(self.rules)
        return self.limit.rate

    def grant(
        self, waiting: int, expected: int, number: int, now_s: float
    ) -> Grant:
        """Grant tokens for waiting and for expected requests.

        :param waiting: number of requests that wait for a token.
        :param expected: number of further requests expected within the
            validity.
        :param number: number of the grant.
        :param now_s: the time.
        :returns: the grant.
        """
        self.advance(now_s)
        tokens = min(waiting, int(self.level))
        reserve = RESERVE_FRACTION * self.capacity
        spare = int(max(0.0, self.level - tokens - reserve))
        ahead = min(expected, spare)
        self.level -= tokens + ahead
        self.granted += tokens + ahead
        if tokens + ahead:
            self._forget_expired(now_s)
            self._grants[number] = IssuedGrant(now_s, tokens + ahead)
        retry_s = empty_s = 0.0
        if tokens < waiting:
            empty_s = self._find_wait(1.0, now_s)
            retry_s = self._promise(waiting - tokens, empty_s, now_s)
        return Grant(tokens + ahead, number, retry_s, empty_s)

    def _find_wait(self, tokens: float, now_s: float) -> float:
        """Find the seconds until the bucket has a number of tokens."""
        missing = max(0.0, tokens - self.level)
        rate = self.find_rate(now_s)
        slow_left_s = max(0.0, self.full_rate_s - now_s)
        if rate > 0.0 and missing <= slow_left_s * rate:
            return missing / rate
        if math.isinf(slow_left_s):
            return self.rules.window_s
        missing -= slow_left_s * rate
        return slow_left_s + missing / self.limit.rate

    def _promise(self, number: int, empty_s: float, now_s: float) -> float:
        """Find when refused requests may return, one token for each.

        Those that were refused before them return first.
        """
        first_s = max(now_s + empty_s, self.promised_s)
        self.promised_s = min(
            first_s + number / self.limit.rate, now_s + self.rules.window_s
        )
        return min(first_s - now_s, self.rules.window_s)

    def take_back(self, number: int, tokens: int, now_s: float) -> int:
        """Take back unspent tokens of a grant that is still valid.

        Tokens of an expired grant are lost: to grant them again would
        exceed the limit in the window that begins after their validity.

        :param number: number of the grant.
        :param tokens: number of its tokens that were returned in total, so
            that a duplicate has no effect.
        :param now_s: the time.
        :returns: number of tokens that were accepted.
        """
        issued = self._grants.get(number)
        if issued is None or now_s - issued.time_s >= self.rules.validity_s:
            return 0
        self.advance(now_s)
        accepted = max(0, min(issued.tokens, tokens) - issued.returned)
        issued.returned += accepted
        self.level = min(self.level + accepted, self.capacity)
        self.granted -= accepted
        return accepted

    def _forget_expired(self, now_s: float) -> None:
        while self._grants:
            number, issued = next(iter(self._grants.items()))
            if now_s - issued.time_s < self.rules.validity_s:
                return
            del self._grants[number]


@dataclass
class OwnerEntry:
    """First instance in the order of an organisation's quota.

    :param name: name of the instance.
    :param score: hash of the instance and the organisation.
    :param since_s: time since which it has been the first one.
    """

    name: str
    score: int
    since_s: float


def _score(organisation: str, name: str) -> int:
    return hash_text(f"quota|{organisation}|{name}")


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
        self.members: frozenset[str] = frozenset({own_name})
        self.changed_s = now_s
        self.entries: dict[str, OwnerEntry] = {}

    def set_members(self, names: Iterable[str], now_s: float) -> None:
        """Set the serving instances.

        :param names: their names.
        :param now_s: the time.
        """
        members = frozenset(names) or frozenset({self.own_name})
        if members == self.members:
            return
        added = members - self.members
        self.members = members
        self.changed_s = now_s
        for organisation, entry in self.entries.items():
            if entry.name not in members:
                self.entries[organisation] = self._choose(organisation)
                continue
            for name in added:
                score = _score(organisation, name)
                if (score, name) > (entry.score, entry.name):
                    entry = OwnerEntry(name, score, now_s)
                    self.entries[organisation] = entry

    def _choose(self, organisation: str) -> OwnerEntry:
        score, name = max((_score(organisation, n), n) for n in self.members)
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
            key=lambda name: (_score(organisation, name), name),
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

    def set_members(self, names: Iterable[str], now_s: float) -> None:
        """Set the serving instances, of which some own quotas.

        :param names: their names.
        :param now_s: the time.
        """
        self.advance(now_s)
        names = frozenset(names)
        if names == self.ownership.members:
            return
        # A quota that was never asked for is handed over as well: its next
        # owner need not start with an empty bucket.
        own_name = self.ownership.own_name
        for organisation, entry in self.ownership.entries.items():
            limit = self.limits.get(organisation)
            if entry.name == own_name and limit is not None:
                self.find_bucket(organisation, limit, now_s)
        self.ownership.set_members(names, now_s)

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


@dataclass(frozen=True)
class QuotaToken:
    """Permission to send one request to an endpoint.

    :param organisation: name of the organisation.
    :param owner: name of the instance that granted it.
    :param number: number of the grant.
    :param expires_s: time until which it may be spent.
    """

    organisation: str
    owner: str
    number: int
    expires_s: float


class QuotaAccount:
    """Tokens and demand of one organisation at one instance.

    :param organisation: name of the organisation.
    :param rules: bounds of the deployment.

    >>> account = QuotaAccount("press", QuotaRules())
    >>> account.add("e1", Grant(2, 1), sent_s=0.0)
    >>> account.spend(0.1).number, account.spend(0.6)
    (1, None)
    """

    def __init__(self, organisation: str, rules: QuotaRules):
        self.organisation = organisation
        self.rules = rules
        self.refused_until_s = self.retry_at_s = -math.inf
        self._tokens: deque[QuotaToken] = deque()
        self._returned: list[QuotaToken] = []
        self._sent_back: dict[QuotaToken, int] = {}
        self._demand = 0.0
        self._demand_s = 0.0

    def record_demand(self, now_s: float) -> None:
        """Record a request.

        :param now_s: the time.
        """
        self._demand = self._decay(now_s) + 1.0
        self._demand_s = now_s

    def _decay(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self._demand_s)
        return self._demand * math.exp(-age_s / DEMAND_WINDOW_S)

    def estimate_demand(self, now_s: float) -> int:
        """Estimate the requests that arrive within the validity.

        :param now_s: the time.
        :returns: number of requests; 0 if the requests are rare.
        """
        per_s = self._decay(now_s) / DEMAND_WINDOW_S
        return int(max(0.0, per_s - 1.0) * self.rules.validity_s)

    def add(self, owner: str, grant: Grant, sent_s: float) -> None:
        """Add the tokens of a grant, and note when there are none.

        :param owner: name of the instance that granted them.
        :param grant: the grant.
        :param sent_s: time at which the request for it was sent.
        """
        expires_s = sent_s + self.rules.validity_s
        token = QuotaToken(self.organisation, owner, grant.number, expires_s)
        self._tokens.extend([token] * grant.tokens)
        if grant.empty_s > 0.0:
            # An instance asks again when its turn has come: with the next
            # token, all instances would ask for each one. A changed limit or
            # owner is noticed after one validity.
            wait_s = max(grant.empty_s, grant.retry_s)
            wait_s = min(wait_s, self.rules.validity_s)
            self.refused_until_s = sent_s + wait_s
            self.retry_at_s = sent_s + grant.retry_s

    def spend(self, now_s: float) -> QuotaToken | None:
        """Spend a valid token, first one that was returned.

        :param now_s: the time.
        :returns: the token, or None.
        """
        while self._returned:
            token = self._returned.pop()
            if now_s < token.expires_s:
                return token
        while self._tokens:
            token = self._tokens.popleft()
            if now_s < token.expires_s:
                return token
        return None

    def find_retry(self, limit: QuotaLimit, now_s: float) -> float | None:
        """Find when a request may be repeated that cannot get a token.

        Each refusal promises the next token, so that those refused return
        one after the other.

        :param limit: limit of the organisation.
        :param now_s: the time.
        :returns: seconds; None if the owner may have tokens.
        """
        if now_s >= self.refused_until_s:
            return None
        retry_s = self.retry_at_s - now_s
        latest_s = now_s + self.rules.window_s
        self.retry_at_s = min(self.retry_at_s + 1.0 / limit.rate, latest_s)
        return max(retry_s, self.refused_until_s - now_s)

    def put_back(self, token: QuotaToken, now_s: float) -> bool:
        """Put back the token of a request that reached no endpoint.

        :param token: the token.
        :param now_s: the time.
        :returns: whether it is still valid.
        """
        if now_s >= token.expires_s:
            return False
        self._returned.append(token)
        return True

    def take_returned(self, now_s: float) -> dict[QuotaToken, int]:
        """Take the returned tokens that are still valid, for their owners.

        :param now_s: the time.
        :returns: by token, how many of its grant were returned in total.
        """
        returned, self._returned = self._returned, []
        for token in list(self._sent_back):
            if now_s >= token.expires_s:
                del self._sent_back[token]
        valid = [token for token in returned if now_s < token.expires_s]
        for token in valid:
            self._sent_back[token] = self._sent_back.get(token, 0) + 1
        return {token: self._sent_back[token] for token in valid}
