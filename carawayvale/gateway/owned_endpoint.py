"""Queue, health and connections of an endpoint at its owner.

Only the owner of an endpoint sends requests to it.
"""

from dataclasses import replace

import curio

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import ServiceRecord
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.endpoint_checks import check_healthy
from carawayvale.gateway.endpoint_checks import check_reachable
from carawayvale.gateway.endpoint_context import EndpointContext
from carawayvale.gateway.endpoint_exchange import CANCELLED_RUN
from carawayvale.gateway.endpoint_exchange import EndpointExchange
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.repeated_exchange import RepeatedExchange
from carawayvale.gateway.upstream import Upstream
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.body_limit import EndpointBodyLimit
from carawayvale.steering.expected_waits import ExpectedWait
from carawayvale.steering.health import EndpointHealth
from carawayvale.steering.load_reports import EndpointLoad
from carawayvale.steering.load_reports import LoadReport
from carawayvale.steering.queued_request import QueuedRequest
from carawayvale.steering.rates import ColdRateLimit
from carawayvale.steering.repeats import RepeatPolicy
from carawayvale.steering.stated_limits import StatedLimit

MIN_CHECK_INTERVAL_S = 1.0

# An endpoint that is used again after a pause is treated as cold for
# this long; its next reports say whether it is.
RESUME_COLD_S = 2.5

# A request is overdue when it runs longer than its estimated service
# time times this factor, plus a margin.
OVERDUE_FACTOR = 4.0
OVERDUE_MARGIN_S = 0.5

# Shortest timeout of a request that waits for a slot.
MIN_SLOT_WAIT_S = 0.001


class SlotWaiter:
    """Event for the task of a request that waits for a slot.

    The event is set when the request gets a slot or has to leave the
    queue, and when the endpoint's state changes. ``started`` tells
    whether the request holds a slot.

    :param request_id: id of the request.
    """

    def __init__(self, request_id: bytes | None):
        self.request_id = request_id
        self.event = curio.Event()
        self.started = False


class OwnedEndpoint:
    """Queue, health and connections of one endpoint.

    :param context: state and callbacks of the instance.
    :param endpoint: the endpoint.
    :param service: service of the endpoint.
    """

    def __init__(
        self,
        context: EndpointContext,
        endpoint: EndpointRecord,
        service: ServiceRecord,
    ):
        self.context = context
        self.repeat_policy = RepeatPolicy()
        self.endpoint = endpoint
        self.service = service
        self.queue = EndpointQueue(endpoint.slots)
        self.health = EndpointHealth()
        self.body_limit = EndpointBodyLimit()
        self.upstream = self._make_upstream(endpoint)
        self.waiters: dict[QueuedRequest, SlotWaiter] = {}
        self.in_flight: dict[QueuedRequest, Request] = {}
        self.checked_s = 0.0
        self.moved_until_s = 0.0
        self.paused_until_s = 0.0
        self.blocked = False
        self.cold_until_s = endpoint.cold_until_s

    def _make_upstream(self, endpoint: EndpointRecord) -> Upstream:
        context = self.context
        return Upstream(context.header_names, endpoint, context.record_connect)

    def update(
        self, endpoint: EndpointRecord, service: ServiceRecord, now_s: float
    ) -> None:
        """Apply a changed catalogue entry.

        :param endpoint: the new entry of the endpoint.
        :param service: the new entry of the service.
        :param now_s: the time.
        """
        old = self.endpoint
        self.endpoint, self.service = endpoint, service
        self.upstream.endpoint = endpoint
        restarted = endpoint.started_ms != old.started_ms
        if endpoint.address != old.address or restarted:
            self.upstream = self._make_upstream(endpoint)
            self.health = EndpointHealth()
            self.queue.service_times.objects.clear()
            self.queue.endpoint_load = EndpointLoad()
            self.moved_until_s = self.paused_until_s = 0.0
        self.queue.slots = endpoint.slots
        self._extend_cold_until(endpoint.cold_until_s, now_s)

    def set_blocked(self, blocked: bool, now_s: float) -> None:
        """Stop or resume sending requests to the endpoint.

        An endpoint without requests for a while may be cold before its
        reports say so.

        :param blocked: whether the endpoint gets no requests.
        :param now_s: the time.
        """
        if self.blocked and not blocked:
            self.extend_cold(min(self.service.cold_s, RESUME_COLD_S), now_s)
        self.blocked = blocked

    def extend_cold(self, cold_s: float, now_s: float) -> None:
        """Treat the endpoint as cold for at least some time.

        :param cold_s: seconds from now.
        :param now_s: the time.
        """
        self._extend_cold_until(now_s + cold_s, now_s)

    def _extend_cold_until(self, until_s: float, now_s: float) -> None:
        self.cold_until_s = max(self.cold_until_s, until_s)
        self._update_limits(now_s)

    def _update_limits(self, now_s: float) -> None:
        limit = self.queue.stated_limit = self.stated_limit
        limit.record_ownership(self.context.owns(self.endpoint.name), now_s)
        cold = now_s < self.cold_until_s and self.service.cold_rate > 0
        if not cold:
            self.queue.cold_limit = None
        elif self.queue.cold_limit is None:
            self.queue.cold_limit = ColdRateLimit(
                self.service.cold_rate, now_s
            )

    @property
    def stated_limit(self) -> StatedLimit:
        """The rate limit that the endpoint names."""
        return self.context.notices.limits.find(self.endpoint)

    def find_pause(self, now_s: float) -> float:
        """Find for how long the endpoint wants nothing from this instance.

        :param now_s: the time.
        :returns: seconds; 0 if it takes requests.
        """
        return max(0.0, self.paused_until_s - now_s)

    @property
    def is_usable(self) -> bool:
        """Whether requests may be sent to the endpoint now."""
        return self.is_available and not self.find_pause(read_boot_clock())

    @property
    def is_leaving(self) -> bool:
        """Whether the endpoint or its entry says that it is leaving."""
        departures = self.context.notices.departures
        return self.endpoint.is_draining or departures.includes(self.endpoint)

    @property
    def is_available(self) -> bool:
        """Whether the endpoint serves requests, apart from a pause."""
        if self.blocked or self.is_leaving:
            return False
        if read_boot_clock() < self.moved_until_s:
            return False
        return self.health.is_usable

    async def serve(self, owner_request: OwnerRequest) -> UpstreamResult:
        """Queue and run a request, or reject it at once.

        :param owner_request: the request and the parameters of the
            attempt.
        :returns: the result.
        """
        size = len(owner_request.request.body)
        if not self.body_limit.reserve(size, read_boot_clock()):
            wait_s = self.queue.service_times.estimate(owner_request.key)
            return UpstreamResult(UpstreamOutcome.FULL, wait_s, busy=False)
        try:
            return await self._serve(owner_request)
        finally:
            self.body_limit.release(size)

    async def _serve(self, owner_request: OwnerRequest) -> UpstreamResult:
        if not self.is_available:
            return UpstreamResult(UpstreamOutcome.UNUSABLE)
        now_s = read_boot_clock()
        pause_s = self.find_pause(now_s)
        if pause_s:
            return UpstreamResult(UpstreamOutcome.FULL, pause_s)
        if self.health.is_failing and not owner_request.may_use_failing:
            if not self.health.admit_sample(now_s):
                return UpstreamResult(UpstreamOutcome.SKIPPED)
        self._update_limits(now_s)
        queued = QueuedRequest(
            owner_request.rank,
            owner_request.key,
            owner_request.objective_s,
            owner_request.deadline_s,
            owner_request.may_be_late,
            owner_request.may_warm_up,
            organisation=owner_request.organisation,
        )
        rejection = self.queue.offer(queued, now_s)
        if rejection is not None:
            return UpstreamResult(
                UpstreamOutcome.FULL, rejection.finish_s, busy=rejection.busy
            )
        success = False
        try:
            request_id = owner_request.request.find(
                self.context.header_names.request_id
            )
            if not await self._await_slot(queued, request_id):
                pause_s = self.find_pause(read_boot_clock())
                wait_s = max(queued.service_time_s, queued.expected_s)
                return UpstreamResult(UpstreamOutcome.FULL, pause_s + wait_s)
            result = await self._send(owner_request, queued)
            success = result.is_success
            return replace(result, failing=self.health.is_failing)
        except curio.CancelledError:
            if queued in self.queue.running:
                exchange = self._make_exchange(owner_request, queued)
                exchange.record_run(CANCELLED_RUN)
            raise
        finally:
            self.waiters.pop(queued, None)
            self.queue.withdraw(queued)
            served = success and not queued.answered_by_repeat
            self.queue.release(queued, read_boot_clock(), served)
            await self.dispatch()

    async def _await_slot(
        self, queued: QueuedRequest, request_id: bytes | None
    ) -> bool:
        """Wait until a request holds a slot.

        :returns: whether it does; False if it left the queue or the
            endpoint may not be used any more.
        """
        waiter = SlotWaiter(request_id)
        self.waiters[queued] = waiter
        await self.dispatch()
        while not waiter.started:
            now_s = read_boot_clock()
            if not self.is_usable or queued not in self.queue.waiting:
                return False
            wait_s = queued.deadline_s - queued.service_time_s - now_s
            event_s = self.queue.find_next_start(now_s)
            if event_s is not None:
                wait_s = min(wait_s, event_s - now_s)
            async with curio.ignore_after(max(MIN_SLOT_WAIT_S, wait_s)):
                await waiter.event.wait()
            waiter.event.clear()
            await self.dispatch()
        return True

    async def limit_waiting(
        self, until_s: float, request_ids: frozenset[bytes] | None
    ) -> None:
        """Limit the times of requests that wait for a slot.

        Those that cannot finish by then leave the queue.

        :param until_s: time by which they have to be complete.
        :param request_ids: ids of the requests; None for all.
        """
        limited = [
            queued
            for queued in self.queue.waiting
            if request_ids is None
            or self.waiters[queued].request_id in request_ids
        ]
        for queued in limited:
            queued.limit_times(until_s)
        if limited:
            await self.dispatch()
            await self.notify_waiters()

    async def dispatch(self) -> None:
        """Start the queued requests that may start.

        Requests that can no longer finish in time leave the queue first.
        """
        now_s = read_boot_clock()
        self._update_limits(now_s)
        for queued in self.queue.drop_infeasible(now_s):
            await self._notify_waiter(queued)
        while self.is_usable:
            queued = self.queue.take(now_s)
            if queued is None:
                return
            waiter = self.waiters.get(queued)
            if waiter is not None:
                waiter.started = True
            await self._notify_waiter(queued)

    async def _notify_waiter(self, queued: QueuedRequest) -> None:
        waiter = self.waiters.get(queued)
        if waiter is not None:
            await waiter.event.set()

    async def notify_waiters(self) -> None:
        """Wake all waiting requests to check the endpoint's state."""
        for waiter in list(self.waiters.values()):
            await waiter.event.set()

    async def _send(
        self, owner_request: OwnerRequest, queued: QueuedRequest
    ) -> UpstreamResult:
        now_s = read_boot_clock()
        remaining_s = owner_request.deadline_s - now_s
        if remaining_s <= 0:
            return UpstreamResult(UpstreamOutcome.FULL, queued.service_time_s)
        delay_s = None
        if owner_request.idempotent:
            delay_s = self.repeat_policy.find_delay(queued)
        if delay_s is None:
            return await self.exchange(owner_request, queued)
        repeated = RepeatedExchange(self, owner_request, queued)
        return await repeated.run(delay_s)

    async def exchange(
        self, owner_request: OwnerRequest, queued: QueuedRequest
    ) -> UpstreamResult:
        """Send a request that holds a slot, and record the result.

        :param owner_request: the request.
        :param queued: the request as it stands in the queue.
        :returns: the result.
        """
        exchange = self._make_exchange(owner_request, queued)
        return await exchange.run()

    def _make_exchange(
        self, owner_request: OwnerRequest, queued: QueuedRequest
    ) -> EndpointExchange:
        return EndpointExchange(self, self.endpoint, owner_request, queued)

    def pause(self, pause_s: float, now_s: float) -> None:
        """Send nothing to the endpoint for at least some time.

        :param pause_s: seconds from now.
        :param now_s: the time.
        """
        self.paused_until_s = max(self.paused_until_s, now_s + pause_s)
        self.context.observer.record_pause(
            self.service.name, self.endpoint.name, pause_s
        )

    def record_load(self, report: LoadReport, own: int) -> None:
        """Record a report of the endpoint's load.

        :param report: the report.
        :param own: number of requests that this instance had there when the
            report arrived.
        """
        self.queue.endpoint_load.record(report, own, read_boot_clock())
        self.upstream.pool.rotates = self.queue.endpoint_load.has_pace

    def expect_wait(self, rank: int) -> ExpectedWait | None:
        """Expect how long a request would wait for the endpoint.

        :param rank: its rank.
        :returns: its wait; None if the endpoint reports no pace.
        """
        if not self.queue.endpoint_load.has_pace:
            return None
        return self.queue.expect_wait(rank, read_boot_clock())

    def record_ejection(self, cause: str) -> None:
        """Count and log that the endpoint was ejected.

        :param cause: why it was ejected.
        """
        self.context.observer.record_ejection(
            self.service.name, self.endpoint.name, cause
        )

    def list_overdue(self, now_s: float) -> list[QueuedRequest]:
        """List the requests that run far longer than estimated.

        :param now_s: the time.
        :returns: the overdue requests.
        """
        return [
            queued
            for queued in self.in_flight
            if now_s - queued.started_s
            > OVERDUE_FACTOR * queued.service_time_s + OVERDUE_MARGIN_S
        ]

    def needs_check(self, now_s: float) -> bool:
        """Tell whether a check of the endpoint is due.

        :param now_s: the time.
        :returns: whether the endpoint is ejected and its next check is
            due, or requests are overdue.
        """
        if self.find_pause(now_s):
            return False
        if self.health.needs_check(now_s):
            return True
        if now_s - self.checked_s < MIN_CHECK_INTERVAL_S:
            return False
        return self.health.is_usable and bool(self.list_overdue(now_s))

    async def check(self) -> None:
        """Check an endpoint that is ejected or has overdue requests."""
        self.checked_s = read_boot_clock()
        if self.health.is_usable:
            await check_reachable(self)
        else:
            await check_healthy(self)

    def abort_in_flight(self) -> None:
        """Abort the idempotent requests that the endpoint runs."""
        for request in self.in_flight.values():
            self.upstream.abort(request)

    def abort_overdue(self, now_s: float) -> None:
        """Abort the idempotent requests that run far longer than estimated.

        :param now_s: the time.
        """
        for queued in self.list_overdue(now_s):
            self.upstream.abort(self.in_flight[queued])

    async def close(self) -> None:
        """Close the idle connections to the endpoint."""
        await self.upstream.pool.close()
