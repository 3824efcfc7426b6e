"""Tokens and demand of one organisation at one instance, without I/O."""

from collections import deque
from dataclasses import dataclass
import math

from carawayvale.steering.quota_buckets import Grant
from carawayvale.steering.quota_buckets import QuotaLimit
from carawayvale.steering.quota_buckets import QuotaRules

# Time constant of the estimate of an organisation's demand.
DEMAND_WINDOW_S = 1.0


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
        if grant.token_in_s > 0.0:
            # An instance asks again when its turn has come: with the next
            # token, all instances would ask for each one. A changed limit or
            # owner is noticed after one validity.
            wait_s = max(grant.token_in_s, grant.retry_s)
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
