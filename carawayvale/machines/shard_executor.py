"""Execution of a request at an owned shard: attempts, retries, hedges."""

from dataclasses import dataclass

from carawayvale.contracts import headers as names
from carawayvale.contracts.reasons import Reason
from carawayvale.contracts.retries import AttemptResult
from carawayvale.contracts.retries import may_retry
from carawayvale.contracts.retries import PROVEN_NOT_RUN
from carawayvale.machines.attempts import Attempt
from carawayvale.machines.attempts import send_attempt
from carawayvale.machines.attempts import send_cancel
from carawayvale.machines.caller_request import make_backend_headers
from carawayvale.machines.dispatcher import Grant
from carawayvale.machines.dispatcher import ShardRequest
from carawayvale.machines.hedging import Hedge
from carawayvale.machines.request_state import RequestState
from carawayvale.machines.responses import ResponseWriter
from carawayvale.machines.shard_queue import ShardQueue

MIN_ATTEMPT_TIMEOUT_S = 1.0
# Timeout of an attempt in multiples of the endpoint's mean latency.
LATENCY_TIMEOUT_FACTOR = 8.0
# Least timeout of an attempt as a share of the time left to the deadline.
MIN_ATTEMPT_SHARE = 0.4
NOT_STARTED = Attempt(AttemptResult.UNSENT, cause="too late to start")

RESULT_REASONS = {
    AttemptResult.UNSENT: Reason.NO_CAPACITY,
    AttemptResult.REFUSED_NOT_RUN: Reason.BACKEND_REFUSED,
    AttemptResult.BROKEN: Reason.BACKEND_BROKEN,
}


@dataclass(frozen=True)
class ShardExecutor:
    """Execution of one request at the endpoints of one shard.

    :param state: state of the request.
    :param writer: writes the response to the caller.
    :param queue: queue of the shard.
    """

    state: RequestState
    writer: ResponseWriter
    queue: ShardQueue

    async def run(self, shard_request: ShardRequest) -> Reason | None:
        """Wait for a slot, send the request, retry, and relay the response.

        :param shard_request: the request as the shard's queue sees it.
        :returns: the reason for a refusal, or None if a response was sent.
        """
        state = self.state
        service = state.request.service
        node = state.node
        budget = node.find_retry_budget(service)
        span = node.tracing.start_span("queue", state.span)
        grant = await self.queue.acquire(shard_request)
        span.end()
        attempt_number = 1
        while isinstance(grant, Grant):
            node.metrics.count("attempts", service.name)
            grant, attempt = await self._attempt_or_hedge(
                grant, attempt_number
            )
            if attempt.result is AttemptResult.ANSWERED:
                budget.deposit()
            elif self._can_retry(attempt) and budget.withdraw():
                node.metrics.count("retries", service.name)
                state.mark_not_started()
                await self._discard(grant, attempt)
                attempt_number += 1
                grant = await self.queue.reacquire(
                    shard_request, grant.endpoint
                )
                continue
            return await self._finish(grant, attempt)
        return grant

    def _can_retry(self, attempt: Attempt) -> bool:
        if attempt is NOT_STARTED or self.state.is_past_deadline():
            return False
        sendable = self.state.body is not None
        idempotent = self.state.request.idempotent
        return may_retry(attempt.result, idempotent, sendable)

    async def _attempt_or_hedge(
        self, grant: Grant, attempt_number: int
    ) -> tuple[Grant, Attempt]:
        request = self.state.request
        delay_s = request.service.hedge_s
        is_urgent = request.rank.order == 1 and request.idempotent
        if not delay_s or not is_urgent or self.state.body is None:
            return grant, await self._attempt(grant, attempt_number)
        hedge = Hedge(
            delay_s,
            lambda: self._acquire_hedge(grant),
            lambda hedge_grant: self._attempt(hedge_grant, attempt_number),
            self._cancel,
            self._discard,
        )
        return await hedge.run(grant)

    def _acquire_hedge(self, grant: Grant) -> Grant | None:
        node = self.state.node
        service = self.state.request.service
        hedge_grant = self.queue.acquire_hedge(grant)
        if hedge_grant is None:
            return None
        if not node.find_retry_budget(service).withdraw():
            self.queue.dispatcher.release(
                hedge_grant, node.clock.read(), False
            )
            return None
        node.metrics.count("hedges", service.name)
        return hedge_grant

    async def _cancel(self, grant: Grant) -> None:
        """Ask a backend server to stop a copy whose response is not needed."""
        slots = self.queue.dispatcher.slots.get(grant.endpoint)
        if slots is not None:
            pool = self.state.node.pools.find(slots.endpoint.address)
            await send_cancel(pool, self.state.request.request_id)

    async def _attempt(self, grant: Grant, attempt_number: int) -> Attempt:
        state = self.state
        node = state.node
        slots = self.queue.dispatcher.slots[grant.endpoint]
        span = node.tracing.start_span("backend", state.span)
        span.set_attribute("endpoint", grant.endpoint)
        start_s = node.clock.read()
        try:
            if not state.mark_started():
                return NOT_STARTED
            traceparent = node.tracing.format_traceparent(span)
            headers = make_backend_headers(
                state.request, start_s, attempt_number, traceparent
            )
            pool = node.pools.find(slots.endpoint.address)
            timeout_s = self._choose_timeout(slots.mean_latency_s, start_s)
            outbound = state.make_outbound_request(headers)
            attempt = await send_attempt(pool, outbound, timeout_s)
        except BaseException:
            await self.queue.release(grant, False)
            raise
        finally:
            span.end()
        self._record(grant, attempt, start_s)
        return attempt

    def _record(self, grant: Grant, attempt: Attempt, start_s: float) -> None:
        state = self.state
        slots = self.queue.dispatcher.slots[grant.endpoint]
        now_s = state.node.clock.read()
        took_s = now_s - start_s
        slots.record(attempt.result, took_s, now_s)
        if attempt.result not in PROVEN_NOT_RUN:
            state.may_have_run = True
        if attempt.head is not None:
            slots.leaving = attempt.head.find(names.DRAINING) is not None
        rank = state.request.rank.name
        state.node.metrics.record(rank, "backend", took_s)

    def _choose_timeout(self, mean_latency_s: float, now_s: float) -> float:
        """Choose a timeout that leaves time for a retry if no response comes.

        A request that cannot be retried gets all the time that is left.
        """
        state = self.state
        remaining_s = state.request.deadline_s - now_s
        if not state.request.idempotent or state.body is None:
            return remaining_s
        first_timeout_s = max(
            MIN_ATTEMPT_TIMEOUT_S, LATENCY_TIMEOUT_FACTOR * mean_latency_s
        )
        return min(
            remaining_s, max(first_timeout_s, remaining_s * MIN_ATTEMPT_SHARE)
        )

    async def _discard(self, grant: Grant, attempt: Attempt) -> None:
        """Release the slot of an attempt whose response is not used."""
        if attempt.client is not None:
            await attempt.client.close()
        await self.queue.release(grant, False)

    async def _finish(self, grant: Grant, attempt: Attempt) -> Reason | None:
        slots = self.queue.dispatcher.slots[grant.endpoint]
        pool = self.state.node.pools.find(slots.endpoint.address)
        served = attempt.result is AttemptResult.ANSWERED
        if attempt.client is None:
            await self.queue.release(grant, served)
            return await self._finish_buffered(attempt)
        try:
            self.state.complete_with_response(attempt)
            await self.writer.relay(pool, attempt)
        finally:
            await self.queue.release(grant, served)
        return None

    async def _finish_buffered(self, attempt: Attempt) -> Reason | None:
        if attempt is NOT_STARTED:
            return Reason.DEADLINE
        if attempt.head is None:
            return find_failure_reason(self.state, attempt)
        if attempt.result is AttemptResult.REFUSED_NOT_RUN:
            return Reason.BACKEND_REFUSED
        self.state.complete_with_response(attempt)
        await self.writer.send_buffered(attempt)
        return None


def find_failure_reason(state: RequestState, attempt: Attempt) -> Reason:
    """Find the refusal reason after an attempt without a response.

    :param state: state of the request.
    :param attempt: the attempt.
    :returns: the reason.
    """
    reason = RESULT_REASONS[attempt.result]
    if reason is not Reason.BACKEND_BROKEN:
        return reason
    if not state.request.idempotent:
        return Reason.OUTCOME_UNKNOWN
    if state.is_past_deadline():
        return Reason.DEADLINE_STARTED
    return reason
