"""Decide whether a request tries further endpoints after a full one.

While some endpoints are full, others still have room, and a request that
its first choice rejects is tried at the next ones. When nearly all of a
service are full, each of these tries costs the time of two instances and
delays the refusal. So the share of tries that were accepted is measured,
and while it is low only an occasional request goes on.
"""

from dataclasses import dataclass

# Weight of a new try in the moving share of accepted tries.
TRY_WEIGHT = 0.1

# Least share of accepted tries at which every request goes on.
MIN_ACCEPTED_SHARE = 0.15

# While the share is lower, one request in this time goes on, so that room
# is noticed soon after it is there again.
PROBE_INTERVAL_S = 0.25


@dataclass
class SpillPolicy:
    """Policy of one instance for further tries of one kind.

    :param accepted_share: moving share of further tries that were accepted.
    :param next_probe_s: time from which a request may go on although the
        share is low.
    """

    accepted_share: float = 1.0
    next_probe_s: float = 0.0

    def allows_try(self, now_s: float) -> bool:
        """Tell whether a request may try a further endpoint.

        :param now_s: the time.
        :returns: whether it may.
        """
        if self.accepted_share >= MIN_ACCEPTED_SHARE:
            return True
        if now_s < self.next_probe_s:
            return False
        self.next_probe_s = now_s + PROBE_INTERVAL_S
        return True

    def record(self, accepted: bool) -> None:
        """Record a further try.

        :param accepted: whether the endpoint took the request.
        """
        self.accepted_share += TRY_WEIGHT * (accepted - self.accepted_share)
