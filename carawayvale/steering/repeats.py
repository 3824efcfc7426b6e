"""Decide when to send a request for a new object a second time.

An endpoint loads an object when the first request for it starts. That
request takes the time of a new object, often longer than its caller
waits, while any request that starts later finds the object. So while the
endpoint has a free slot, an idempotent request for a new object is sent
again to the same endpoint, and the first response counts. This answers
the load of a fleet or an object that has just become active, when most
objects are new. Endpoints where the second request is seldom the faster
one get no more of them.
"""

from dataclasses import dataclass

from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.queued_request import QueuedRequest

# Time for the first request to reach the endpoint and to be started.
START_DELAY_S = 0.03

# A request for an object that should be warm is repeated after this many
# times its estimated service time: the object was evicted meanwhile.
OVERDUE_FACTOR = 2.0

# Weight of a new result in the moving share of repeats that were faster.
RESULT_WEIGHT = 0.2

# Least share of faster repeats at which an endpoint gets more of them.
MIN_FASTER_SHARE = 0.5


@dataclass
class RepeatPolicy:
    """Policy of one endpoint for second requests.

    :param faster_share: moving share of repeats that were answered before
        the first request.
    """

    faster_share: float = 1.0

    def find_delay(self, request: QueuedRequest) -> float | None:
        """Find when a request that has just started is due for a repeat.

        :param request: the request, with its estimates.
        :returns: seconds from its start; None if it is not repeated.
        """
        if not request.key or self.faster_share < MIN_FASTER_SHARE:
            return None
        finish_s = request.started_s + request.service_time_s
        if request.is_warm or self._will_be_in_time(request, finish_s):
            return max(START_DELAY_S, OVERDUE_FACTOR * request.service_time_s)
        return START_DELAY_S

    @staticmethod
    def _will_be_in_time(request: QueuedRequest, finish_s: float) -> bool:
        """Tell whether a new object is known to be in time."""
        return request.has_estimate and finish_s <= request.objective_s

    def record(self, faster: bool) -> None:
        """Record the result of a repeat.

        :param faster: whether it was answered before the first request.
        """
        self.faster_share += RESULT_WEIGHT * (faster - self.faster_share)


def start_repeat(
    queue: EndpointQueue, first: QueuedRequest, now_s: float
) -> QueuedRequest | None:
    """Take a slot for a repeat if no other request needs it.

    :param queue: the endpoint's queue.
    :param first: the request, which runs.
    :param now_s: the time.
    :returns: the repeat, which holds a slot; None without a free slot or
        while the rate of the requests is limited.
    """
    if queue.waiting or queue.is_limited:
        return None
    if len(queue.running) >= queue.count_slots(now_s):
        return None
    repeat = QueuedRequest(
        first.rank, first.key, first.objective_s, first.deadline_s
    )
    repeat.queued_s = repeat.started_s = now_s
    repeat.is_warm = True
    repeat.service_time_s = queue.estimate(first.key, now_s)
    queue.running.add(repeat)
    return repeat
