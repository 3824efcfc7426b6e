"""Serves a request at the endpoints of an owned shard."""

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

MIN_SILENCE_S = 1.0
SILENCE_FACTOR = 8.0
FIRST_TRY_SHARE = 0.4
NEVER_STARTED = Attempt(AttemptResult.UNSENT, cause="too late to start")

REASON_OF_RESULT = {
    AttemptResult.UNSENT: Reason.NO_CAPACITY,
    AttemptResult.REFUSED_NOT_RUN: Reason.BACKEND_REFUSED,
    AttemptResult.BROKEN: Reason.BACKEND_BROKEN,
}


@dataclass(frozen=True)
class ShardExecutor:
    """The attempts of one request at one shard.

    :param progress: the request.
    :param writer: writes its answer.
    :param queue: queue of the shard.
    """

    state: RequestState
    writer: ResponseWriter
    queue: ShardQueue

    async def run(self, shard_request: ShardRequest) -> Reason | None:
        """Wait for a slot, send, retry, and pass the answer on.

        :param shard_request: the request as the shard's queue sees it.
        :returns: why there is no answer, or None.
        """
        state = self.state
        service = state.request.service
        node = state.node
        budget = node.find_budget(service)
        span = node.tracing.start_span("queue", state.span)
        grant = await self.queue.obtain(shard_request)
        span.end()
        number = 1
        while isinstance(grant, Grant):
            node.metrics.count("attempts", service.name)
            grant, attempt = await self._attempt_or_hedge(grant, number)
            if attempt.result is AttemptResult.ANSWERED:
                budget.deposit()
            elif self._can_repeat(attempt) and budget.withdraw():
                node.metrics.count("retries", service.name)
                state.stop()
                await self._discard(grant, attempt)
                number += 1
                grant = await self.queue.obtain_again(
                    shard_request, grant.endpoint
                )
                continue
            return await self._finish(grant, attempt)
        return grant

    def _can_repeat(self, attempt: Attempt) -> bool:
        if attempt is NEVER_STARTED or self.state.is_late():
            return False
        sendable = self.state.body is not None
        idempotent = self.state.request.idempotent
        return may_retry(attempt.result, idempotent, sendable)

    async def _attempt_or_hedge(
        self, grant: Grant, number: int
    ) -> tuple[Grant, Attempt]:
        request = self.state.request
        delay_s = request.service.hedge_s
        urgent = request.rank.order == 1 and request.idempotent
        if not delay_s or not urgent or self.state.body is None:
            return grant, await self._attempt(grant, number)
        hedge = Hedge(
            delay_s,
            lambda: self._take_hedge(grant),
            lambda extra: self._attempt(extra, number),
            self._cancel,
            self._discard,
        )
        return await hedge.run(grant)

    def _take_hedge(self, grant: Grant) -> Grant | None:
        node = self.state.node
        service = self.state.request.service
        extra = self.queue.take_extra(grant)
        if extra is None:
            return None
        if not node.find_budget(service).withdraw():
            self.queue.dispatcher.release(extra, node.clock.read(), False)
            return None
        node.metrics.count("hedges", service.name)
        return extra

    async def _cancel(self, lost: Grant) -> None:
        """Ask a backend server to stop working on a lost copy."""
        slots = self.queue.dispatcher.slots.get(lost.endpoint)
        if slots is not None:
            pool = self.state.node.pools.find(slots.endpoint.address)
            await send_cancel(pool, self.state.request.request_id)

    async def _attempt(self, grant: Grant, number: int) -> Attempt:
        state = self.state
        node = state.node
        slots = self.queue.dispatcher.slots[grant.endpoint]
        span = node.tracing.start_span("backend", state.span)
        span.set_attribute("endpoint", grant.endpoint)
        began_s = node.clock.read()
        try:
            if not state.start():
                return NEVER_STARTED
            traceparent = node.tracing.format_traceparent(span)
            headers = make_backend_headers(
                state.request, began_s, number, traceparent
            )
            pool = node.pools.find(slots.endpoint.address)
            limit_s = self._limit_attempt(slots.usual_s, began_s)
            outbound = state.make_outbound(headers)
            attempt = await send_attempt(pool, outbound, limit_s)
        except BaseException:
            await self.queue.give_back(grant, False)
            raise
        finally:
            span.end()
        self._record(grant, attempt, began_s)
        return attempt

    def _record(self, grant: Grant, attempt: Attempt, began_s: float) -> None:
        state = self.state
        slots = self.queue.dispatcher.slots[grant.endpoint]
        now_s = state.node.clock.read()
        took_s = now_s - began_s
        slots.record(attempt.result, took_s, now_s)
        if attempt.result not in PROVEN_NOT_RUN:
            state.may_have_run = True
        if attempt.head is not None:
            slots.leaving = attempt.head.find(names.DRAINING) is not None
        rank = state.request.rank.name
        state.node.metrics.record(rank, "backend", took_s)

    def _limit_attempt(self, usual_s: float, now_s: float) -> float:
        """Leave time for another attempt after a silent connection."""
        state = self.state
        left_s = state.request.deadline_s - now_s
        if not state.request.idempotent or state.body is None:
            return left_s
        usual_s = max(MIN_SILENCE_S, SILENCE_FACTOR * usual_s)
        return min(left_s, max(usual_s, left_s * FIRST_TRY_SHARE))

    async def _discard(self, grant: Grant, attempt: Attempt) -> None:
        """Give the slot of an attempt back whose answer is not used."""
        if attempt.client is not None:
            await attempt.client.close()
        await self.queue.give_back(grant, False)

    async def _finish(self, grant: Grant, attempt: Attempt) -> Reason | None:
        slots = self.queue.dispatcher.slots[grant.endpoint]
        pool = self.state.node.pools.find(slots.endpoint.address)
        served = attempt.result is AttemptResult.ANSWERED
        if attempt.client is None:
            await self.queue.give_back(grant, served)
            return await self._finish_small(attempt)
        try:
            self.state.settle_answer(attempt)
            await self.writer.relay(pool, attempt)
        finally:
            await self.queue.give_back(grant, served)
        return None

    async def _finish_small(self, attempt: Attempt) -> Reason | None:
        if attempt is NEVER_STARTED:
            return Reason.DEADLINE
        if attempt.head is None:
            return find_failure_reason(self.state, attempt)
        if attempt.result is AttemptResult.REFUSED_NOT_RUN:
            return Reason.BACKEND_REFUSED
        self.state.settle_answer(attempt)
        await self.writer.send_small(attempt)
        return None


def find_failure_reason(state: RequestState, attempt: Attempt) -> Reason:
    """Find the reason to tell after an attempt without an answer.

    :param progress: the request.
    :param attempt: the attempt.
    :returns: the reason.
    """
    reason = REASON_OF_RESULT[attempt.result]
    if reason is not Reason.BACKEND_BROKEN:
        return reason
    if not state.request.idempotent:
        return Reason.OUTCOME_UNKNOWN
    if state.is_late():
        return Reason.DEADLINE_STARTED
    return reason
