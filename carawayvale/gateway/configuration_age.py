"""Apply the bounds on the age of the configuration to keyed requests."""

from collections.abc import Callable
import math

from carawayvale.gateway.settings import Bounds
from carawayvale.steering.freshness import Freshness
from carawayvale.telemetry.logs import log_event

# Shares of ``revoke_s``. Beyond the first, a watch of the store waits only
# briefly for changes. Beyond the second, an instance watches the store
# itself even if it hears changes from peers, as those of earlier versions
# report no age. In calm the age stays below the first one: at most two
# waits of a watch, and the delays of the links.
URGENT_SHARE = 0.5
OWN_READING_SHARE = 0.75

# Additional age for each position in the order of the watchers.
OWN_READING_STEP_S = 0.05


class ConfigurationAge:
    """Age of the configuration of one instance, and what it forbids.

    Nothing is forbidden where ``revoke_s`` is infinite.

    :param find_bounds: returns the bounds of the deployment in force.
    """

    def __init__(self, find_bounds: Callable[[], Bounds]):
        self.find_bounds = find_bounds
        self.freshness = Freshness()
        self.refused_since_s: float | None = None

    @property
    def is_limited(self) -> bool:
        """Whether the deployment limits the age."""
        return math.isfinite(self.find_bounds().revoke_s)

    def find_age(self, at_s: float) -> float:
        """Find the age of the configuration.

        :param at_s: the time.
        :returns: seconds; infinity before the first reading of the store.
        """
        return self.freshness.find_age(at_s)

    def may_have_removed_key(self, arrived_s: float) -> bool:
        """Tell whether a known key may have been removed for too long.

        :param arrived_s: time at which the request with the key arrived.
        :returns: whether the configuration is older than ``revoke_s``.
        """
        return self.find_age(arrived_s) > self.find_bounds().revoke_s

    def may_lack_key(self, arrived_s: float) -> bool:
        """Tell whether an unknown key may be a new one.

        :param arrived_s: time at which the request with the key arrived.
        :returns: whether the age is limited, and the configuration is
            older than the time by which a new one is in force everywhere.
        """
        bounds = self.find_bounds()
        if not math.isfinite(bounds.revoke_s):
            return False
        limit_s = min(bounds.apply_s, bounds.revoke_s)
        return self.find_age(arrived_s) > limit_s

    def is_urgent(self, now_s: float) -> bool:
        """Tell whether the next reading of the store should end soon.

        :param now_s: the time.
        :returns: whether it should.
        """
        limit_s = URGENT_SHARE * self.find_bounds().revoke_s
        return self.find_age(now_s) > limit_s

    def needs_own_reading(self, now_s: float, position: int) -> bool:
        """Tell whether the instance has to read the store itself.

        :param now_s: the time.
        :param position: position among the possible watchers.
        :returns: whether no peer reports a younger age in time.
        """
        limit_s = OWN_READING_SHARE * self.find_bounds().revoke_s
        return self.find_age(now_s) > limit_s + OWN_READING_STEP_S * position

    def log_refusal(self, now_s: float, has_keys: bool) -> None:
        """Log that the refusal of keyed requests begins or ends.

        :param now_s: the time.
        :param has_keys: whether there are requests that need a key.
        """
        refused = has_keys and self.may_have_removed_key(now_s)
        if refused == (self.refused_since_s is not None):
            return
        age_s = f"{self.find_age(now_s):.3f}"
        if refused:
            self.refused_since_s = now_s
            log_event(
                "keyed_requests_refused",
                "WARNING",
                age_s=age_s,
                revoke_s=self.find_bounds().revoke_s,
            )
            return
        lasted_s = f"{now_s - self.refused_since_s:.3f}"
        self.refused_since_s = None
        log_event("keyed_requests_accepted", age_s=age_s, lasted_s=lasted_s)
