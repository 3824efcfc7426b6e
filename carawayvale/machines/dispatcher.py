"""Queues of one shard's requests by rank, and the granting of slots."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections import deque
from dataclasses import dataclass
from dataclasses import field

from carawayvale.contracts.reasons import Reason
from carawayvale.contracts.sections import Endpoint
from carawayvale.contracts.sections import Rank
from carawayvale.machines.slots import EndpointSlots

INITIAL_SERVICE_TIME_S = 0.02
SERVICE_TIME_WEIGHT = 0.1
# Largest deficit of a rank, in multiples of its mean service time.
MAX_DEFICIT_SERVICES = 2.0


@dataclass(eq=False)
class ShardRequest:
    """Request that waits for a slot of a shard or holds one.

    :param rank: name of its rank.
    :param deadline_s: time by which its response is due.
    :param avoid: names of the endpoints at which its earlier attempts
        failed; they get the request only if no other slot is free.
    :param queued_s: time at which it was queued.
    :param granted_s: time at which it got its last slot.
    """

    rank: str
    deadline_s: float
    avoid: set[str] = field(default_factory=set)
    queued_s: float = 0.0
    granted_s: float = 0.0


@dataclass(frozen=True)
class Grant:
    """Slot of an endpoint that is granted to a request.

    :param request: the request.
    :param endpoint: name of the endpoint.
    """

    request: ShardRequest
    endpoint: str


@dataclass
class RankQueue:
    """Waiting requests of one rank and the rank's deficit.

    The deficit implements the guaranteed share (floor) of the rank, as in
    deficit round robin.

    :param rank: the rank.
    :param service_time_s: moving average of the service time in seconds.
    :param deficit_s: service time in seconds that the rank has not yet
        received of its guaranteed share.
    :param requests: the waiting requests in the order of service.
    """

    rank: Rank
    service_time_s: float = INITIAL_SERVICE_TIME_S
    deficit_s: float = 0.0
    requests: deque[ShardRequest] = field(default_factory=deque)

    def add_deficit(self, granted_s: float) -> None:
        """Add the rank's share of a granted service time to its deficit.

        :param granted_s: the granted service time in seconds.
        """
        max_deficit_s = MAX_DEFICIT_SERVICES * self.service_time_s
        self.deficit_s = min(
            max_deficit_s, self.deficit_s + self.rank.floor * granted_s
        )

    def drop_expired(self, now_s: float) -> None:
        """Drop requests that waited too long or would miss their deadline.

        Stops at the first request that may still be served.

        :param now_s: the current time.
        """
        latest_s = now_s - self.rank.max_wait_s
        while self.requests:
            request = self.requests[0]
            finish_s = now_s + self.service_time_s
            if request.queued_s >= latest_s and finish_s <= request.deadline_s:
                return
            self.requests.popleft()

    @property
    def has_deficit(self) -> bool:
        """Whether a request waits and the deficit covers its service time."""
        return bool(self.requests) and self.deficit_s >= self.service_time_s


class Dispatcher:
    """Scheduler of one shard's slots, with strict priority between ranks.

    The floor of a rank guarantees it a share of the service time even if
    requests of higher ranks are waiting. All methods take the time as an
    argument and do no I/O.

    :param ranks: the ranks of the document.
    :param slots: slots of the shard's endpoints by endpoint name.
    """

    def __init__(
        self, ranks: Iterable[Rank], slots: Mapping[str, EndpointSlots]
    ):
        self.slots = dict(slots)
        ordered = sorted(ranks, key=lambda rank: rank.order)
        self.queues = {rank.name: RankQueue(rank) for rank in ordered}

    def update(
        self,
        ranks: Iterable[Rank],
        endpoints: Iterable[Endpoint],
        now_s: float,
        ramp_s: float,
    ) -> None:
        """Apply changed ranks and endpoints; keep the waiting requests.

        Requests of a removed rank move to the lowest rank. A removed
        endpoint is deleted once none of its slots is in use.

        :param ranks: the ranks of the document in force.
        :param endpoints: the endpoints of the shard.
        :param now_s: the current time.
        :param ramp_s: duration in seconds of the ramp-up of a new
            endpoint to full load.
        """
        previous = self.queues
        self.queues = {}
        for rank in sorted(ranks, key=lambda rank: rank.order):
            queue = previous.pop(rank.name, None) or RankQueue(rank)
            queue.rank = rank
            self.queues[rank.name] = queue
        lowest = next(reversed(self.queues.values()))
        for queue in previous.values():
            lowest.requests.extend(queue.requests)
        listed = {endpoint.name: endpoint for endpoint in endpoints}
        for name, endpoint in listed.items():
            slots = self.slots.get(name)
            if slots is None:
                self.slots[name] = EndpointSlots(endpoint, now_s, ramp_s)
            else:
                slots.endpoint = endpoint
        for name in list(self.slots):
            if name not in listed:
                self.slots[name].removed = True
                if not self.slots[name].in_flight:
                    del self.slots[name]

    def find_queue(self, rank: str) -> RankQueue:
        """Find the queue of a rank.

        :param rank: name of the rank.
        :returns: its queue, or the queue of the lowest rank if the
            document no longer has the rank.
        """
        queue = self.queues.get(rank)
        return queue or next(reversed(self.queues.values()))

    def estimate_wait(self, rank: str, now_s: float) -> float:
        """Estimate the queueing time of a new request.

        :param rank: name of the rank of the request.
        :param now_s: the current time.
        :returns: the time in seconds; infinite without a usable slot.
        """
        usable = self.count_usable(now_s)
        if not usable:
            return float("inf")
        queue = self.find_queue(rank)
        ahead_s = 0.0
        for other in self.queues.values():
            ahead_s += len(other.requests) * other.service_time_s
            if other is queue:
                break
        if not ahead_s and self.in_flight < usable:
            return 0.0
        wait_s = (ahead_s + queue.service_time_s) / usable
        # The floor bounds the wait even if requests of higher ranks come.
        if queue.rank.floor:
            own_s = (len(queue.requests) + 1) * queue.service_time_s
            wait_s = min(wait_s, own_s / (queue.rank.floor * usable))
        return wait_s

    def find_rejection(
        self, request: ShardRequest, now_s: float
    ) -> Reason | None:
        """Find the reason, if any, to reject a new request.

        Needs no body, so that a request can be rejected before its body is
        read.

        :param request: the request.
        :param now_s: the current time.
        :returns: the reason of the rejection, or None if the request may
            be queued.
        """
        queue = self.find_queue(request.rank)
        wait_s = self.estimate_wait(request.rank, now_s)
        if wait_s == float("inf"):
            return Reason.NO_CAPACITY
        if now_s + wait_s + queue.service_time_s > request.deadline_s:
            return Reason.DEADLINE
        if wait_s > queue.rank.max_wait_s:
            return Reason.QUEUE_FULL
        return None

    def offer(self, request: ShardRequest, now_s: float) -> Reason | None:
        """Queue a request unless it is rejected.

        :param request: the request.
        :param now_s: the current time.
        :returns: the reason of the rejection, or None.
        """
        reason = self.find_rejection(request, now_s)
        if reason is None:
            request.queued_s = now_s
            self.find_queue(request.rank).requests.append(request)
        return reason

    def requeue(self, request: ShardRequest, endpoint: str) -> None:
        """Queue a request for a retry, ahead of the others of its rank.

        :param request: the request; its slot is already released.
        :param endpoint: name of the endpoint at which the attempt failed.
        """
        request.avoid.add(endpoint)
        self.find_queue(request.rank).requests.appendleft(request)

    def remove(self, request: ShardRequest) -> bool:
        """Remove a waiting request from its queue.

        :param request: the request.
        :returns: whether it was still waiting.
        """
        for queue in self.queues.values():
            if request in queue.requests:
                queue.requests.remove(request)
                return True
        return False

    def release(self, grant: Grant, now_s: float, served: bool) -> None:
        """Release the slot of a grant.

        :param grant: the grant.
        :param now_s: the current time.
        :param served: whether the time since the grant is a valid sample
            of the service time.
        """
        slots = self.slots[grant.endpoint]
        slots.in_flight -= 1
        if slots.removed and not slots.in_flight:
            del self.slots[grant.endpoint]
        queue = self.find_queue(grant.request.rank)
        if served:
            sample_s = now_s - grant.request.granted_s
            queue.service_time_s += SERVICE_TIME_WEIGHT * (
                sample_s - queue.service_time_s
            )

    def grant_free_slots(self, now_s: float) -> list[Grant]:
        """Grant the free slots to waiting requests.

        :param now_s: the current time.
        :returns: the new grants.
        """
        grants = []
        while True:
            queue = self._choose_queue(now_s)
            if queue is None:
                return grants
            request = queue.requests[0]
            slots = self._choose_slots(request, now_s)
            if slots is None:
                return grants
            queue.requests.popleft()
            self._update_deficits(queue)
            slots.in_flight += 1
            request.granted_s = now_s
            grants.append(Grant(request, slots.endpoint.name))

    def grant_hedge(self, request: ShardRequest, now_s: float) -> Grant | None:
        """Grant a free slot to a hedge without queueing.

        :param request: the second copy of a request; it avoids the
            endpoint of the first copy.
        :param now_s: the current time.
        :returns: the grant, or None while requests wait or no other
            endpoint has a free slot.
        """
        if self.waiting:
            return None
        slots = self._choose_slots(request, now_s)
        if slots is None or slots.endpoint.name in request.avoid:
            return None
        slots.in_flight += 1
        request.granted_s = now_s
        return Grant(request, slots.endpoint.name)

    def _choose_queue(self, now_s: float) -> RankQueue | None:
        """Choose the highest rank with a deficit, else the highest waiting."""
        highest = None
        for queue in self.queues.values():
            queue.drop_expired(now_s)
            if queue.has_deficit:
                return queue
            if highest is None and queue.requests:
                highest = queue
        return highest

    def _update_deficits(self, chosen: RankQueue) -> None:
        """Account for a service granted to the chosen rank.

        Only ranks with waiting requests build up a deficit.
        """
        for queue in self.queues.values():
            if queue.requests or queue is chosen:
                queue.add_deficit(chosen.service_time_s)
            else:
                queue.deficit_s = 0.0
        chosen.deficit_s = max(0.0, chosen.deficit_s - chosen.service_time_s)

    def _choose_slots(
        self, request: ShardRequest, now_s: float
    ) -> EndpointSlots | None:
        """Choose the endpoint with the smallest share of its slots in use.

        Endpoints that the request avoids are chosen only if no other has a
        free slot.
        """
        free = [s for s in self.slots.values() if s.has_free_slot(now_s)]
        preferred = [s for s in free if s.endpoint.name not in request.avoid]
        candidates = preferred or free
        if not candidates:
            return None
        return min(candidates, key=lambda s: s.in_flight / s.endpoint.slots)

    def count_usable(self, now_s: float) -> int:
        """Count the slots of all endpoints that may be in use now.

        :param now_s: the current time.
        :returns: number of slots.
        """
        return sum(s.count_usable(now_s) for s in self.slots.values())

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(queue.requests) for queue in self.queues.values())

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a slot."""
        return sum(slots.in_flight for slots in self.slots.values())
