"""Queues the requests of one shard by rank and grants them slots."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections import deque
from dataclasses import dataclass
from dataclasses import field

from carawayvale.contracts.reasons import Reason
from carawayvale.contracts.sections import Endpoint
from carawayvale.contracts.sections import Rank
from carawayvale.machines.slots import EndpointSlots

FIRST_COST_S = 0.02
COST_WEIGHT = 0.1
MAX_SAVED_COSTS = 2.0


@dataclass(eq=False)
class ShardRequest:
    """A request that waits for a slot or holds one.

    :param rank: name of its rank.
    :param deadline_s: time by which its answer is due.
    :param avoid: endpoints that failed it before.
    """

    rank: str
    deadline_s: float
    avoid: set[str] = field(default_factory=set)
    queued_s: float = 0.0
    granted_s: float = 0.0


@dataclass(frozen=True)
class Grant:
    """A slot of an endpoint, given to a request."""

    request: ShardRequest
    endpoint: str


@dataclass
class RankQueue:
    """The waiting requests of one rank and what the floor owes them.

    :param rank: the rank.
    :param cost_s: mean service time in seconds.
    :param owed_s: service time that the floor owes the rank.
    """

    rank: Rank
    cost_s: float = FIRST_COST_S
    owed_s: float = 0.0
    requests: deque[ShardRequest] = field(default_factory=deque)

    def accrue(self, cost_s: float) -> None:
        """Add the rank's share of a service time that was granted.

        :param cost_s: the granted time in seconds.
        """
        limit = MAX_SAVED_COSTS * self.cost_s
        self.owed_s = min(limit, self.owed_s + self.rank.floor * cost_s)

    def drop_stale(self, now_s: float) -> None:
        """Drop requests that waited too long or can no longer finish.

        :param now_s: the time.
        """
        latest_s = now_s - self.rank.max_wait_s
        while self.requests:
            request = self.requests[0]
            finish_s = now_s + self.cost_s
            if request.queued_s >= latest_s and finish_s <= request.deadline_s:
                return
            self.requests.popleft()

    @property
    def is_owed(self) -> bool:
        """Whether the floor owes the rank a whole service."""
        return bool(self.requests) and self.owed_s >= self.cost_s


class Dispatcher:
    """Strict priority above a guaranteed floor for each lower rank.

    All methods take the time as an argument and do no I/O.

    :param ranks: the ranks of the document.
    :param slots: the endpoints of the shard.
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
        """Take over changed ranks and endpoints, keeping the queues.

        :param ranks: the ranks of the document in force.
        :param endpoints: the endpoints of the shard.
        :param now_s: the time.
        :param ramp_s: time in which a new endpoint gets full load.
        """
        old = self.queues
        self.queues = {}
        for rank in sorted(ranks, key=lambda rank: rank.order):
            queue = old.pop(rank.name, None) or RankQueue(rank)
            queue.rank = rank
            self.queues[rank.name] = queue
        last = next(reversed(self.queues.values()))
        for queue in old.values():
            last.requests.extend(queue.requests)
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
        :returns: its queue; the last one if the document no longer has
            the rank.
        """
        queue = self.queues.get(rank)
        return queue or next(reversed(self.queues.values()))

    def estimate_wait(self, rank: str, now_s: float) -> float:
        """Estimate the time that a new request of a rank would wait.

        :param rank: name of the rank.
        :param now_s: the time.
        :returns: seconds; infinite without a usable slot.
        """
        usable = self.count_usable(now_s)
        if not usable:
            return float("inf")
        queue = self.find_queue(rank)
        ahead_s = 0.0
        for other in self.queues.values():
            ahead_s += len(other.requests) * other.cost_s
            if other is queue:
                break
        if not ahead_s and self.in_flight < usable:
            return 0.0
        wait_s = (ahead_s + queue.cost_s) / usable
        if queue.rank.floor:
            own_s = (len(queue.requests) + 1) * queue.cost_s
            wait_s = min(wait_s, own_s / (queue.rank.floor * usable))
        return wait_s

    def find_refusal(
        self, request: ShardRequest, now_s: float
    ) -> Reason | None:
        """Find the reason to refuse a request before its body is read.

        :param request: the request.
        :param now_s: the time.
        :returns: the reason, or None if the request may wait.
        """
        queue = self.find_queue(request.rank)
        wait_s = self.estimate_wait(request.rank, now_s)
        if wait_s == float("inf"):
            return Reason.NO_CAPACITY
        if now_s + wait_s + queue.cost_s > request.deadline_s:
            return Reason.DEADLINE
        if wait_s > queue.rank.max_wait_s:
            return Reason.QUEUE_FULL
        return None

    def offer(self, request: ShardRequest, now_s: float) -> Reason | None:
        """Queue a request unless it would wait too long.

        :param request: the request.
        :param now_s: the time.
        :returns: the reason of a refusal, or None.
        """
        reason = self.find_refusal(request, now_s)
        if reason is None:
            request.queued_s = now_s
            self.find_queue(request.rank).requests.append(request)
        return reason

    def requeue(self, request: ShardRequest, endpoint: str) -> None:
        """Put a request whose attempt failed before all of its rank.

        :param request: the request, whose slot has been released.
        :param endpoint: the endpoint to avoid.
        """
        request.avoid.add(endpoint)
        self.find_queue(request.rank).requests.appendleft(request)

    def withdraw(self, request: ShardRequest) -> bool:
        """Take a waiting request out of its queue.

        :param request: the request.
        :returns: whether it was still waiting.
        """
        for queue in self.queues.values():
            if request in queue.requests:
                queue.requests.remove(request)
                return True
        return False

    def release(self, grant: Grant, now_s: float, served: bool) -> None:
        """Give back the slot of a grant.

        :param grant: the grant.
        :param now_s: the time.
        :param served: whether the service time is a valid sample.
        """
        slots = self.slots[grant.endpoint]
        slots.in_flight -= 1
        if slots.removed and not slots.in_flight:
            del self.slots[grant.endpoint]
        queue = self.find_queue(grant.request.rank)
        if served:
            sample_s = now_s - grant.request.granted_s
            queue.cost_s += COST_WEIGHT * (sample_s - queue.cost_s)

    def grant_free_slots(self, now_s: float) -> list[Grant]:
        """Grant free slots to waiting requests.

        :param now_s: the time.
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
            self._charge(queue)
            slots.in_flight += 1
            request.granted_s = now_s
            grants.append(Grant(request, slots.endpoint.name))

    def take_extra(self, request: ShardRequest, now_s: float) -> Grant | None:
        """Grant a free slot at once for a second copy of a request.

        :param request: the copy; it avoids the endpoint of the first.
        :param now_s: the time.
        :returns: the grant; None while requests wait or no other endpoint
            has a free slot.
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
        first = None
        for queue in self.queues.values():
            queue.drop_stale(now_s)
            if queue.is_owed:
                return queue
            if first is None and queue.requests:
                first = queue
        return first

    def _charge(self, chosen: RankQueue) -> None:
        for queue in self.queues.values():
            if queue.requests or queue is chosen:
                queue.accrue(chosen.cost_s)
            else:
                queue.owed_s = 0.0
        chosen.owed_s = max(0.0, chosen.owed_s - chosen.cost_s)

    def _choose_slots(
        self, request: ShardRequest, now_s: float
    ) -> EndpointSlots | None:
        free = [s for s in self.slots.values() if s.has_free(now_s)]
        fresh = [s for s in free if s.endpoint.name not in request.avoid]
        pool = fresh or free
        if not pool:
            return None
        return min(pool, key=lambda s: s.in_flight / s.endpoint.slots)

    def count_usable(self, now_s: float) -> int:
        """Count the slots that may be in use now.

        :param now_s: the time.
        :returns: number of slots of all endpoints.
        """
        return sum(s.count_usable(now_s) for s in self.slots.values())

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(len(queue.requests) for queue in self.queues.values())

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a slot."""
        return sum(slots.in_flight for slots in self.slots.values())
