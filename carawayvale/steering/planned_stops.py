"""Decide what an instance still serves during its planned stop.

A request that arrives late in the stop is refused, so that its caller tries
another instance at once. All others have to be complete when the stop ends:
they may wait for a slot only as long as they can still finish by then.
"""

from dataclasses import dataclass

# A stop ends this long before the process is ended by force.
END_MARGIN_S = 0.6

# Requests that arrive later in a stop are refused. Callers that looked up
# the instance just before the stop have stopped using it by then.
LATEST_ARRIVAL_S = 2.8

# With a short grace period, this fraction of it is left for requests.
LATEST_ARRIVAL_FRACTION = 0.5


@dataclass(frozen=True)
class PlannedStop:
    """Times of the planned stop of one instance.

    :param latest_arrival_s: time from which new requests are refused.
    :param end_s: time by which the requests have to be complete.
    """

    latest_arrival_s: float
    end_s: float

    def accepts(self, arrived_s: float) -> bool:
        """Tell whether a request may be sent to an endpoint.

        :param arrived_s: time at which it arrived.
        :returns: whether it arrived in time.
        """
        return arrived_s < self.latest_arrival_s

    def limit(self, time_s: float) -> float:
        """Limit a deadline or an objective to the end of the stop.

        :param time_s: the time.
        :returns: the time, at most the end of the stop.
        """
        return min(time_s, self.end_s)


def plan_stop(requested_s: float, grace_s: float) -> PlannedStop:
    """Plan a stop.

    :param requested_s: time at which the stop is requested.
    :param grace_s: seconds after which the process is ended by force.
    :returns: the times of the stop.

    >>> plan_stop(100.0, 6.0)
    PlannedStop(latest_arrival_s=102.8, end_s=105.4)
    """
    end_s = requested_s + max(0.0, grace_s - END_MARGIN_S)
    latest_s = min(LATEST_ARRIVAL_S, LATEST_ARRIVAL_FRACTION * grace_s)
    return PlannedStop(requested_s + latest_s, end_s)
