"""Admit, queue and order the requests for one endpoint at its owner.

The queue handles more requests than the endpoint has slots. Requests
that are expected to finish within their latency objective start first,
by rank and then by arrival, or by fair shares of the organisations where
these have limits. Next come requests for new objects at the
endpoint that will keep them, since one such request makes many later
requests fast. Late requests are queued behind those as long as they are
likely to finish by their deadline. A request that cannot be served in
time is rejected at once.
"""

from collections.abc import Mapping
import heapq

from carawayvale.steering.expected_waits import ExpectedWait
from carawayvale.steering.fair_shares import FairShares
from carawayvale.steering.load_reports import EndpointLoad
from carawayvale.steering.queued_request import QueueClass
from carawayvale.steering.queued_request import QueuedRequest
from carawayvale.steering.queued_request import Rejection
from carawayvale.steering.rank_balance import RankBalance
from carawayvale.steering.rates import ColdRateLimit
from carawayvale.steering.rates import WindowCounter
from carawayvale.steering.service_times import ServiceTimes
from carawayvale.steering.stated_limits import StatedLimit

# Service time that is assumed before the first sample, as a fraction of
# the time left until the request's objective.
INITIAL_SERVICE_FRACTION = 0.5

# Longest wait of a request that warms up a new object, in service times.
# If the wait is longer, another region may have the object warm.
MAX_WARM_UP_WAIT_FACTOR = 1.0

# Requests that arrive later but are in time overtake a late request, so
# its estimated wait may take only this fraction of the time that it can
# wait.
LATE_WAIT_FRACTION = 0.6

# The number of waiting late requests is bounded by how many late
# requests started within this window: a lasting overload leaves no slots
# for them.
LATE_WINDOW_S = 2.0


class EndpointQueue:
    """The slots of one endpoint and the requests that wait for them.

    All methods take the time as an argument and do no I/O.

    :param slots: number of requests that the endpoint runs at once.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.running: set[QueuedRequest] = set()
        self.waiting: list[QueuedRequest] = []
        self.service_times = ServiceTimes()
        self.endpoint_load = EndpointLoad()
        self.rank_balance = RankBalance()
        self.cold_limit: ColdRateLimit | None = None
        self.stated_limit = StatedLimit()
        self.late_starts = WindowCounter(LATE_WINDOW_S)
        self.shares: FairShares | None = None
        self._may_overtake = False

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weights of the organisations.

        :param weights: weights by name; empty for the order of arrival.
        """
        if not weights:
            self.shares = None
        elif self.shares is None:
            self.shares = FairShares(weights)
        else:
            self.shares.set_weights(weights)

    @property
    def load(self) -> int:
        """Number of requests that run or wait."""
        return len(self.running) + len(self.waiting)

    @property
    def is_limited(self) -> bool:
        """Whether the rate of the requests is limited."""
        return self.cold_limit is not None or self.stated_limit.is_limited

    def count_slots(self, now_s: float) -> int:
        """Count the slots that others leave to the owner.

        At least one is left, as the responses report when others are gone.

        :param now_s: the time.
        :returns: number of requests that the owner may run at once.
        """
        others = self.endpoint_load.count_others(now_s)
        return max(1, self.slots - others) if others else self.slots

    def estimate(self, key: str, now_s: float) -> float:
        """Estimate the service time of a request at the pace in force.

        :param key: the object; empty for none.
        :param now_s: the time.
        :returns: seconds; 0 without any sample.
        """
        return self._apply_pace(self.service_times.estimate(key), now_s)

    def _apply_pace(self, undisturbed_s: float, now_s: float) -> float:
        """Convert a time on an undisturbed machine to the pace in force."""
        pace = self.endpoint_load.predict_pace(undisturbed_s, now_s)
        return undisturbed_s * pace

    def _find_allowed_start(self, now_s: float, ahead: int) -> float:
        """Find when the rate limits let a request start.

        :param now_s: the time.
        :param ahead: number of requests that start before it.
        :returns: the time.
        """
        start_s = self.stated_limit.find_start(now_s, ahead)
        if self.cold_limit is not None:
            start_s = max(start_s, self.cold_limit.find_start(now_s, ahead))
        return start_s

    def offer(self, request: QueuedRequest, now_s: float) -> Rejection | None:
        """Queue a request unless it would finish too late.

        :param request: the request.
        :param now_s: the time.
        :returns: None if the request is queued, else the rejection.
        """
        request.queued_s = now_s
        if self.shares is not None:
            self.shares.record_demand(request.organisation, now_s)
        self._estimate_service_time(request, now_s)
        finish_s = self._predict_finish(request, now_s, QueueClass.IN_TIME)
        if finish_s <= request.objective_s:
            return self._enqueue(request, QueueClass.IN_TIME)
        if self._may_warm_up(request, now_s):
            warm_up_s = self._predict_finish(
                request, now_s, QueueClass.LEARNING
            )
            latest_s = (
                now_s + (1 + MAX_WARM_UP_WAIT_FACTOR) * request.service_time_s
            )
            if warm_up_s <= min(latest_s, request.deadline_s):
                request.may_be_late = True
                return self._enqueue(request, QueueClass.LEARNING)
        if not request.may_be_late:
            return Rejection(
                finish_s - now_s, self._is_busy(request, finish_s, now_s)
            )
        finish_s = self._predict_finish(request, now_s, QueueClass.LATE)
        if not self._admits_late(request, finish_s, now_s):
            self._record_lost(request, now_s)
            return Rejection(finish_s - now_s)
        return self._enqueue(request, QueueClass.LATE)

    def _enqueue(
        self, request: QueuedRequest, queue_class: QueueClass
    ) -> None:
        request.queue_class = queue_class
        self.waiting.append(request)

    def _may_warm_up(self, request: QueuedRequest, now_s: float) -> bool:
        if not request.may_warm_up or not request.key or request.is_warm:
            return False
        return self.service_times.has_capacity(now_s)

    def _estimate_service_time(
        self, request: QueuedRequest, now_s: float
    ) -> None:
        """Set whether the object is warm, and the estimated service time."""
        request.is_warm = self.service_times.is_warm(request.key)
        request.service_time_s = self.estimate(request.key, now_s)
        request.has_estimate = self.service_times.has_sample(request.key)
        if not request.service_time_s:
            request.service_time_s = INITIAL_SERVICE_FRACTION * max(
                0.0, request.objective_s - now_s
            )

    def _is_busy(
        self, request: QueuedRequest, finish_s: float, now_s: float
    ) -> bool:
        """Tell whether a request for a warm object would be late as well."""
        warm_s = self._apply_pace(self.service_times.warm_s, now_s)
        warm_s = warm_s or request.service_time_s
        start_s = finish_s - request.service_time_s
        return (
            start_s + min(warm_s, request.service_time_s) > request.objective_s
        )

    def _admits_late(
        self, request: QueuedRequest, finish_s: float, now_s: float
    ) -> bool:
        """Tell whether a late request may wait.

        With a free slot, it only has to meet its deadline. Otherwise its
        estimated wait and the number of waiting late requests are bounded
        as well.
        """
        if finish_s > request.deadline_s:
            return False
        favoured = self._find_favoured(now_s)
        if favoured is not None and request.rank > favoured:
            return False
        if self.load < self.count_slots(now_s):
            return True
        max_wait_s = LATE_WAIT_FRACTION * (
            request.deadline_s - now_s - request.service_time_s
        )
        if finish_s - now_s - request.service_time_s > max_wait_s:
            return False
        by_rank = self.endpoint_load.has_pace
        waiting = sum(
            other.queue_class is QueueClass.LATE
            and (not by_rank or other.rank <= request.rank)
            for other in self._list_ahead(request, QueueClass.LATE, now_s)
        )
        rate = self.late_starts.count(now_s) / LATE_WINDOW_S
        return waiting <= rate * max_wait_s

    def _find_favoured(self, now_s: float) -> int | None:
        """Find the rank that goes before less urgent work, also late.

        Only endpoints that report a pace have one.
        """
        if not self.endpoint_load.has_pace:
            return None
        return self.rank_balance.find_favoured(now_s)

    def _record_lost(self, request: QueuedRequest, now_s: float) -> None:
        if self.endpoint_load.has_pace and request.may_be_late:
            self.rank_balance.record_lost(request.rank, now_s)

    def _predict_finish(
        self, request: QueuedRequest, now_s: float, queue_class: QueueClass
    ) -> float:
        """Predict when a request would finish if it were queued now.

        :param request: the request.
        :param now_s: the time.
        :param queue_class: class in which it would wait.
        :returns: the time.
        """
        ahead = self._list_ahead(request, queue_class, now_s)
        return self._predict_start(ahead, now_s) + request.service_time_s

    def expect_wait(self, rank: int, now_s: float) -> ExpectedWait:
        """Expect how long a request in time would wait.

        :param rank: its rank.
        :param now_s: the time.
        :returns: its wait, and the load that causes it.
        """
        ahead = self._select_ahead(rank, QueueClass.IN_TIME, now_s)
        return ExpectedWait(
            len(self.running),
            len(self.waiting),
            self.count_slots(now_s),
            self._predict_start(ahead, now_s) - now_s,
            self._apply_pace(self.service_times.warm_s, now_s),
            self._apply_pace(self.service_times.new_s, now_s),
        )

    def _predict_start(
        self, ahead: list[QueuedRequest], now_s: float
    ) -> float:
        """Predict when a request would start behind others."""
        slots_free_s = self._list_free_times(now_s)
        self._predict_finishes(ahead, slots_free_s, now_s)
        allowed_s = self._find_allowed_start(now_s, len(ahead))
        return max(allowed_s, heapq.heappop(slots_free_s))

    def _list_free_times(self, now_s: float) -> list[float]:
        """List the times at which the slots become free, as a heap."""
        slots_free_s = [
            max(now_s, other.started_s + other.service_time_s)
            for other in self.running
        ]
        slots = self.count_slots(now_s)
        if len(slots_free_s) > slots:
            # Others took slots meanwhile; as many requests have to finish
            # before the next one starts.
            slots_free_s = sorted(slots_free_s)[-slots:]
        slots_free_s += [now_s] * (slots - len(slots_free_s))
        heapq.heapify(slots_free_s)
        return slots_free_s

    def _predict_finishes(
        self,
        requests: list[QueuedRequest],
        slots_free_s: list[float],
        now_s: float,
    ) -> list[float]:
        """Predict when requests finish if they start in a given order.

        :param requests: the requests in that order.
        :param slots_free_s: times at which the slots become free, as a
            heap; they are then those after the last request.
        :param now_s: the time.
        :returns: the times at which the requests finish.
        """
        finishes_s = []
        for position, request in enumerate(requests):
            allowed_s = self._find_allowed_start(now_s, position)
            start_s = max(allowed_s, heapq.heappop(slots_free_s))
            finishes_s.append(start_s + request.service_time_s)
            heapq.heappush(slots_free_s, finishes_s[-1])
        return finishes_s

    def _order_shares(
        self, waiting: list[QueuedRequest], now_s: float
    ) -> list[QueuedRequest]:
        """Order requests by fair shares, a favoured rank first."""
        favoured = self._find_favoured(now_s)
        ordered = self.shares.order(waiting)
        if favoured is not None:
            ordered.sort(
                key=lambda r: _sort_key(r.queue_class, r.rank, 0.0, favoured)
            )
        return ordered

    def _list_ahead(
        self, request: QueuedRequest, queue_class: QueueClass, now_s: float
    ) -> list[QueuedRequest]:
        """List the waiting requests that are expected to start before one.

        Before a late request, others are expected that are not here yet, so
        all those that wait count, except those of its class and rank that
        fair shares put after it. Where an endpoint reports a pace, only
        those count that start before it.
        """
        if self.shares is None:
            return self._select_ahead(request.rank, queue_class, now_s)
        old_class, request.queue_class = request.queue_class, queue_class
        ordered = self._order_shares([*self.waiting, request], now_s)
        request.queue_class = old_class
        position = ordered.index(request)
        before, after = ordered[:position], ordered[position + 1 :]
        by_rank = self.endpoint_load.has_pace
        if queue_class is QueueClass.LATE and not by_rank:
            before += [
                other
                for other in after
                if other.queue_class is not queue_class
                or other.rank != request.rank
            ]
        self._may_overtake = self._may_overtake or len(after) > 0
        return before

    def _select_ahead(
        self, rank: int, queue_class: QueueClass, now_s: float
    ) -> list[QueuedRequest]:
        """Select the requests that start before one by class and rank."""
        if queue_class is QueueClass.LATE and not self.endpoint_load.has_pace:
            return self.waiting
        favoured = self._find_favoured(now_s)
        own = _sort_key(queue_class, rank, now_s, favoured)
        return [
            other
            for other in self.waiting
            if _sort_key(
                other.queue_class, other.rank, other.queued_s, favoured
            )
            <= own
        ]

    def take(self, now_s: float) -> QueuedRequest | None:
        """Take the next request that may start.

        :param now_s: the time.
        :returns: the request, which holds a slot from now on, or None.
        """
        if not self.waiting or len(self.running) >= self.count_slots(now_s):
            return None
        if self._find_allowed_start(now_s, 0) > now_s:
            return None
        for request in self.waiting:
            self._update_class(request, now_s)
        request = self._find_next(now_s)
        self.waiting.remove(request)
        self.running.add(request)
        self._estimate_service_time(request, now_s)
        request.started_s = now_s
        if self.endpoint_load.has_pace:
            self.rank_balance.record_served(request.rank, now_s)
        if request.queue_class is QueueClass.LATE:
            self.late_starts.add(now_s)
        self.stated_limit.record_send(now_s)
        if self.cold_limit is not None:
            self.cold_limit.record_send(now_s)
        if request.key:
            request.reuse_distance = self.service_times.record_use(
                request.key, now_s
            )
        return request

    def _find_next(self, now_s: float) -> QueuedRequest:
        """Find the waiting request that starts first."""
        if self.shares is None:
            favoured = self._find_favoured(now_s)
            return min(
                self.waiting,
                key=lambda r: _sort_key(
                    r.queue_class, r.rank, r.queued_s, favoured
                ),
            )
        if not self.running and len(self.waiting) == 1:
            self.shares.reset()
        request = self._order_shares(self.waiting, now_s)[0]
        self.shares.record_start(request)
        return request

    def _update_class(self, request: QueuedRequest, now_s: float) -> None:
        """Reclassify a request if its object became warm or it became late."""
        if (
            request.queue_class is QueueClass.LEARNING
            and self.service_times.is_warm(request.key)
        ):
            self._estimate_service_time(request, now_s)
            request.queue_class = QueueClass.IN_TIME
        if request.queue_class is QueueClass.IN_TIME:
            if now_s + request.service_time_s > request.objective_s:
                request.queue_class = QueueClass.LATE

    def drop_infeasible(self, now_s: float) -> list[QueuedRequest]:
        """Remove the waiting requests that can no longer finish in time.

        A request that may be late has until its deadline. Any other is
        removed as soon as it would miss its objective, so that it can be
        tried at another endpoint.

        :param now_s: the time.
        :returns: the removed requests.
        """
        infeasible = [
            request
            for request in self.waiting
            if not self._can_finish(request, now_s)
        ]
        for request in infeasible:
            self.waiting.remove(request)
            self._record_lost(request, now_s)
        if self.shares is not None and self._may_overtake:
            infeasible += self._drop_overtaken(now_s)
        return infeasible

    def _drop_overtaken(self, now_s: float) -> list[QueuedRequest]:
        """Remove requests that fair shares put behind later ones for long.

        Those that can no longer finish in time may be tried at another
        endpoint.
        """
        ordered = self._order_shares(self.waiting, now_s)
        slots_free_s = self._list_free_times(now_s)
        finishes_s = self._predict_finishes(ordered, slots_free_s, now_s)
        overtaken = []
        latest: dict[tuple[QueueClass, int], float] = {}
        for request, finish_s in zip(ordered, finishes_s):
            group = (request.queue_class, request.rank)
            is_overtaken = request.queued_s < latest.get(group, 0.0)
            latest[group] = max(request.queued_s, latest.get(group, 0.0))
            latest_s = (
                request.deadline_s
                if request.may_be_late
                else request.objective_s
            )
            if is_overtaken and finish_s > latest_s:
                request.expected_s = finish_s - now_s
                overtaken.append(request)
        self._may_overtake = len(overtaken) > 1
        # The last one has the longest wait, and those before it move up.
        for request in overtaken[-1:]:
            self.waiting.remove(request)
        return overtaken[-1:]

    @staticmethod
    def _can_finish(request: QueuedRequest, now_s: float) -> bool:
        latest_s = (
            request.deadline_s if request.may_be_late else request.objective_s
        )
        return now_s + request.service_time_s <= latest_s

    def withdraw(self, request: QueuedRequest) -> bool:
        """Remove a waiting request from the queue.

        :param request: the request.
        :returns: whether it was waiting.
        """
        if request in self.waiting:
            self.waiting.remove(request)
            return True
        return False

    def release(
        self, request: QueuedRequest, now_s: float, served: bool
    ) -> None:
        """Release the slot of a request.

        :param request: the request.
        :param now_s: the time.
        :param served: whether its service time is a valid sample.
        """
        self.running.discard(request)
        if served:
            pace = self.endpoint_load.measure_pace(request.started_s, now_s)
            self.service_times.record(
                request.key,
                request.is_warm,
                now_s - request.started_s,
                request.reuse_distance,
                pace,
            )

    def find_next_start(self, now_s: float) -> float | None:
        """Find when the rate limits let a waiting request start.

        Other starts follow an event, such as the release of a slot.

        :param now_s: the time.
        :returns: the time, or None if no request waits for a limit.
        """
        if not self.waiting or not self.is_limited:
            return None
        if len(self.running) >= self.count_slots(now_s):
            return None
        return self._find_allowed_start(now_s, 0)


def _sort_key(
    queue_class: QueueClass, rank: int, queued_s: float, favoured: int | None
) -> tuple[QueueClass, int, QueueClass, float]:
    """Make the key by which waiting requests are ordered.

    Late requests of a favoured rank, and of more urgent ones, start before
    less urgent ones in time.
    """
    first_class = queue_class
    if favoured is not None and rank <= favoured:
        first_class = QueueClass.IN_TIME
    return (first_class, rank, queue_class, queued_s)
