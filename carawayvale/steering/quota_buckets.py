"""Token buckets of the quotas of organisations, without I/O.

The owner of an organisation's quota keeps a token bucket and grants tokens
to the other instances. A granted token that is not spent within the validity
is lost, so the tokens spent in a window are at most those granted in the
window and one validity before it.
"""

from dataclasses import dataclass
import math

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
        tolerance = self._find_tolerance(rules)
        return max(1.0, self.burst + CAPACITY_FRACTION * tolerance)

    def _find_tolerance(self, rules: QuotaRules) -> float:
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
        rest = self._find_tolerance(rules) + self.burst
        rest -= self.find_capacity(rules)
        period_s = rules.window_s + rules.validity_s + TAKEOVER_SAVED_S
        return min(
            TAKEOVER_FRACTION * self.rate, max(0.0, rest - 1.0) / period_s
        )


@dataclass(frozen=True)
class Grant:
    """Answer of the owner of a quota to a request for tokens.

    :param tokens: number of granted tokens.
    :param number: number of the grant, unique at the owner.
    :param retry_s: if no token is left, seconds until a refused request
        that is repeated is likely to get one.
    :param token_in_s: seconds until the bucket has a token.
    """

    tokens: int
    number: int = 0
    retry_s: float = 0.0
    token_in_s: float = 0.0


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
        retry_s = token_in_s = 0.0
        if tokens < waiting:
            token_in_s = self._find_wait(1.0, now_s)
            retry_s = self._promise(waiting - tokens, token_in_s, now_s)
        return Grant(tokens + ahead, number, retry_s, token_in_s)

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

    def _promise(self, number: int, token_in_s: float, now_s: float) -> float:
        """Find when refused requests may return, one token for each.

        Those that were refused before them return first.
        """
        first_s = max(now_s + token_in_s, self.promised_s)
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
