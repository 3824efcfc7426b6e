"""Serves one caller's request: admission, attempts, retries, answer."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
from itertools import islice
import json

import curio
from opentelemetry.trace import Span

from carawayvale.contracts import headers as names
from carawayvale.contracts.reasons import Reason
from carawayvale.contracts.reasons import Refusal
from carawayvale.contracts.reasons import REFUSALS
from carawayvale.contracts.retries import AttemptResult
from carawayvale.contracts.retries import may_retry
from carawayvale.contracts.retries import PROVEN_NOT_RUN
from carawayvale.contracts.tickets import Claim
from carawayvale.contracts.tickets import Outcome
from carawayvale.contracts.tickets import Phase
from carawayvale.contracts.tickets import Ticket
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import HttpServer
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import MemberState
from carawayvale.machines.attempts import Attempt
from carawayvale.machines.attempts import Outbound
from carawayvale.machines.attempts import send_attempt
from carawayvale.machines.attempts import send_cancel
from carawayvale.machines.connections import ConnectionPool
from carawayvale.machines.dispatcher import Grant
from carawayvale.machines.dispatcher import Job
from carawayvale.machines.hedging import Hedge
from carawayvale.machines.node import Node
from carawayvale.machines.requests import CallerRequest
from carawayvale.machines.requests import copy_answer_headers
from carawayvale.machines.requests import make_backend_headers
from carawayvale.machines.requests import make_forward_headers
from carawayvale.machines.requests import make_framing
from carawayvale.machines.shard_queue import ShardQueue
from carawayvale.machines.steering import list_remotes

BODY_TIMEOUT_S = 10.0
RELAY_TIMEOUT_S = 10.0
OUTCOME_POLL_S = 0.02
MAX_FORWARDS = 2
MIN_SILENCE_S = 1.0
SILENCE_FACTOR = 8.0
FIRST_TRY_SHARE = 0.4
MS_PER_S = 1000
JSON_TYPE = (b"content-type", b"application/json")

REASON_OF_RESULT = {
    AttemptResult.UNSENT: Reason.NO_CAPACITY,
    AttemptResult.REFUSED_NOT_RUN: Reason.BACKEND_REFUSED,
    AttemptResult.BROKEN: Reason.BACKEND_BROKEN,
}
SPILLED = frozenset(
    {
        Reason.NOT_OWNER,
        Reason.NO_CREDIT,
        Reason.NO_CAPACITY,
        Reason.QUEUE_FULL,
        Reason.DEADLINE,
    }
)
NEVER_STARTED = Attempt(AttemptResult.UNSENT, cause="ticket expired")


class Exchange:
    """One request from its head to the end of its answer.

    :param node: the instance.
    :param http: the caller's connection.
    :param request: the request.
    :param span: span of the whole exchange.
    """

    def __init__(
        self,
        node: Node,
        http: HttpServer,
        request: CallerRequest,
        span: Span,
    ):
        self.node = node
        self.http = http
        self.request = request
        self.span = span
        self.claimed: Ticket | None = None
        self.body: bytes | None = None
        self.may_have_run = False

    async def run(self) -> None:
        """Serve the request and send an answer or a refusal."""
        request = self.request
        began_s = self.node.clock.read()
        reason = await self._run_once()
        rank = request.rank.name
        took_s = self.node.clock.read() - began_s
        if reason is None:
            self.node.metrics.count("answers", rank)
            self.node.metrics.record(rank, "entry", took_s)
        else:
            self.node.metrics.count("refusals", f"{rank}/{reason.value}")
            self.span.set_attribute("reason", reason.value)
            refusal = self._find_refusal(reason)
            await send_refusal(
                self.node, self.http, refusal, request.request_id
            )

    def _find_refusal(self, reason: Reason) -> Refusal:
        refusal = REFUSALS[reason]
        if self.may_have_run:
            return replace(refusal, not_run=False)
        return refusal

    async def _run_once(self) -> Reason | None:
        request = self.request
        if request.ticket is not None and not request.idempotent:
            return await self._run_ticketed(request.ticket)
        if not request.forwarded and self._is_unpaid_repeat():
            return Reason.BUDGET
        return await self._route()

    def _is_unpaid_repeat(self) -> bool:
        request = self.request
        request_id = request.request_id.decode("latin-1")
        if not self.node.repeats.observe(request_id, request.attempt):
            return False
        self.node.metrics.count("repeats", request.service.name)
        return not self.node.find_budget(request.service).withdraw()

    async def _run_ticketed(self, ticket: Ticket) -> Reason | None:
        me = self.node.me
        if ticket.instance != me.name:
            return await self._forward_ticket(ticket)
        claim = self.node.ledger.claim(ticket, self.node.clock.read())
        return await CLAIM_ACTIONS[claim](self, ticket)

    async def _forward_ticket(self, ticket: Ticket) -> Reason | None:
        record = self.node.membership.records.get(ticket.instance)
        if self.request.forwarded or record is None:
            return Reason.OUTCOME_UNKNOWN
        if record.incarnation != ticket.incarnation:
            return Reason.OUTCOME_UNKNOWN
        if record.state is MemberState.DEAD:
            return Reason.OUTCOME_UNKNOWN
        reason = await self._forward(record, with_ticket=True)
        unreachable = reason is Reason.OWNER_UNREACHABLE
        return Reason.OUTCOME_UNKNOWN if unreachable else reason

    async def _run_claimed(self, ticket: Ticket) -> Reason | None:
        self.claimed = ticket
        try:
            reason = await self._route()
        except BaseException:
            self._settle_abandoned(ticket)
            raise
        if reason is not None and self.node.ledger.is_open(ticket):
            not_run = self._find_refusal(reason).not_run
            phase = Phase.NOT_RUN if not_run else Phase.UNKNOWN
            self.node.ledger.settle(ticket, phase)
        return reason

    def _settle_abandoned(self, ticket: Ticket) -> None:
        ledger = self.node.ledger
        if ledger.is_open(ticket):
            started = ledger.is_started(ticket)
            phase = Phase.UNKNOWN if started else Phase.NOT_RUN
            ledger.settle(ticket, phase)

    async def _await_outcome(self, ticket: Ticket) -> Reason | None:
        ledger = self.node.ledger
        while ledger.is_open(ticket):
            if self.node.clock.read() >= self.request.deadline_s:
                return Reason.IN_PROGRESS
            await curio.sleep(OUTCOME_POLL_S)
        claim = ledger.claim(ticket, self.node.clock.read())
        return await CLAIM_ACTIONS[claim](self, ticket)

    async def _replay(self, ticket: Ticket) -> Reason | None:
        outcome = self.node.ledger.find_outcome(ticket)
        if outcome.body is None:
            return Reason.OUTCOME_UNKNOWN
        headers = [*outcome.headers, *self._mark_answer()]
        await self.http.send_answer(outcome.status, headers, outcome.body)
        return None

    async def _route(self) -> Reason | None:
        """Serve the request here or forward it to one that can."""
        region = self.node.me.region
        reason = await self._serve_here(region)
        if reason not in SPILLED or self._is_body_used():
            return reason
        if self.request.forwarded:
            return reason
        return await self._route_elsewhere(reason)

    async def _serve_here(self, region: str) -> Reason | None:
        queue = self._choose_queue(region)
        if queue is None:
            return Reason.NOT_OWNER
        job = Job(self.request.rank.name, self.request.deadline_s)
        now_s = self.node.clock.read()
        reason = queue.dispatcher.find_refusal(job, now_s)
        if reason is not None:
            return reason
        if not self._may_shift_to(region):
            return Reason.NO_CREDIT
        return await self._run_local(queue, job)

    def _choose_queue(self, region: str) -> ShardQueue | None:
        service = self.request.service.name
        queues = self.node.list_local(service, region)
        if len(queues) < 2:
            return queues[0] if queues else None
        now_s = self.node.clock.read()
        rank = self.request.rank.name
        return min(
            queues, key=lambda q: q.dispatcher.estimate_wait(rank, now_s)
        )

    def _may_shift_to(self, region: str) -> bool:
        """Spend a credit if the caller's home is another region.

        The instance that serves the request spends, so each shifted
        request is counted once, wherever it came in.
        """
        request = self.request
        if request.home in ("", region):
            return True
        position = request.rank.order - 1
        now_s = self.node.clock.read()
        allowed = self.node.shifts.spend(request.home, region, position, now_s)
        name = "shifts" if allowed else "shifts_refused"
        self.node.metrics.count(name, f"{request.home}/{region}")
        return allowed

    def _is_body_used(self) -> bool:
        return not self.request.is_buffered and not self.http.body_left

    async def _route_elsewhere(self, reason: Reason) -> Reason | None:
        request = self.request
        remotes = list_remotes(
            self.node, request.service.name, reason, request.home
        )
        for remote in islice(remotes, MAX_FORWARDS):
            found = await self._forward(remote)
            if found is not Reason.OWNER_UNREACHABLE:
                return found
        return Reason.NO_CAPACITY if reason is Reason.NOT_OWNER else reason

    async def _read_body(self) -> None:
        if self.body is not None or not self.request.is_buffered:
            return
        pieces = []
        async with curio.timeout_after(BODY_TIMEOUT_S):
            while piece := await self.http.read_chunk():
                pieces.append(piece)
        self.body = b"".join(pieces)

    async def _run_local(self, queue: ShardQueue, job: Job) -> Reason | None:
        await self._read_body()
        self.node.in_flight += 1
        try:
            return await self._run_attempts(queue, job)
        finally:
            self.node.in_flight -= 1

    async def _run_attempts(
        self, queue: ShardQueue, job: Job
    ) -> Reason | None:
        node = self.node
        budget = node.find_budget(self.request.service)
        span = node.tracing.start_span("queue", self.span)
        grant = await queue.obtain(job)
        span.end()
        number = 1
        while isinstance(grant, Grant):
            node.metrics.count("attempts", self.request.service.name)
            grant, attempt = await self._attempt_or_hedge(queue, grant, number)
            if attempt.result is AttemptResult.ANSWERED:
                budget.deposit()
            elif self._can_repeat(attempt) and budget.withdraw():
                node.metrics.count("retries", self.request.service.name)
                await self._discard(queue, grant, attempt)
                number += 1
                grant = await queue.obtain_again(job, grant.endpoint)
                continue
            return await self._finish(queue, grant, attempt)
        return grant

    def _can_repeat(self, attempt: Attempt) -> bool:
        if attempt is NEVER_STARTED:
            return False
        if self.node.clock.read() >= self.request.deadline_s:
            return False
        sendable = self.body is not None
        return may_retry(attempt.result, self.request.idempotent, sendable)

    async def _attempt_or_hedge(
        self, queue: ShardQueue, grant: Grant, number: int
    ) -> tuple[Grant, Attempt]:
        request = self.request
        delay_s = request.service.hedge_s
        urgent = request.rank.order == 1 and request.idempotent
        if not delay_s or not urgent or self.body is None:
            return grant, await self._attempt(queue, grant, number)
        hedge = Hedge(
            delay_s,
            lambda: self._take_hedge(queue, grant),
            lambda extra: self._attempt(queue, extra, number),
            lambda lost: self._cancel_attempt(queue, lost),
        )
        return await hedge.run(grant)

    def _take_hedge(self, queue: ShardQueue, grant: Grant) -> Grant | None:
        extra = queue.take_extra(grant)
        if extra is None:
            return None
        budget = self.node.find_budget(self.request.service)
        if not budget.withdraw():
            queue.dispatcher.release(extra, self.node.clock.read(), False)
            return None
        self.node.metrics.count("hedges", self.request.service.name)
        return extra

    async def _cancel_attempt(self, queue: ShardQueue, lost: Grant) -> None:
        """Ask a backend server to stop working on a lost copy."""
        slots = queue.dispatcher.slots.get(lost.endpoint)
        if slots is not None:
            pool = self.node.pools.find(slots.endpoint.address)
            await send_cancel(pool, self.request.request_id)

    async def _attempt(
        self, queue: ShardQueue, grant: Grant, number: int
    ) -> Attempt:
        node = self.node
        slots = queue.dispatcher.slots[grant.endpoint]
        span = node.tracing.start_span("backend", self.span)
        span.set_attribute("endpoint", grant.endpoint)
        began_s = node.clock.read()
        try:
            if not self._start():
                return NEVER_STARTED
            traceparent = node.tracing.format_traceparent(span)
            headers = make_backend_headers(
                self.request, began_s, number, traceparent
            )
            pool = node.pools.find(slots.endpoint.address)
            left_s = self._limit_attempt(slots.usual_s, began_s)
            outbound = self._make_outbound(headers)
            attempt = await send_attempt(pool, outbound, left_s)
        except BaseException:
            await queue.give_back(grant, False)
            raise
        finally:
            span.end()
        now_s = node.clock.read()
        took_s = now_s - began_s
        slots.record(attempt.result, took_s, now_s)
        if attempt.result not in PROVEN_NOT_RUN:
            self.may_have_run = True
        if attempt.head is not None:
            slots.leaving = attempt.head.find(names.DRAINING) is not None
        node.metrics.record(self.request.rank.name, "backend", took_s)
        return attempt

    def _start(self) -> bool:
        """Note that the first byte is about to be written."""
        now_s = self.node.clock.read()
        if now_s >= self.request.deadline_s:
            return False
        if self.claimed is None:
            return True
        return self.node.ledger.start(self.claimed, now_s)

    def _limit_attempt(self, usual_s: float, now_s: float) -> float:
        left_s = self.request.deadline_s - now_s
        if not self.request.idempotent or self.body is None:
            return left_s
        usual_s = max(MIN_SILENCE_S, SILENCE_FACTOR * usual_s)
        return min(left_s, max(usual_s, left_s * FIRST_TRY_SHARE))

    def _make_outbound(self, headers: list) -> Outbound:
        request = self.request
        streams = self.body is None
        return Outbound(
            request.head.method,
            request.head.target,
            headers,
            request.request_id,
            request.deadline_s,
            request.idempotent,
            self.body or b"",
            self._stream_body if streams else None,
            make_framing(request) if streams else None,
        )

    async def _stream_body(self) -> AsyncIterator[bytes]:
        while piece := await self.http.read_chunk():
            yield piece

    async def _discard(
        self, queue: ShardQueue, grant: Grant, attempt: Attempt
    ) -> None:
        if self.claimed is not None:
            self.node.ledger.stop(self.claimed)
        if attempt.client is not None:
            await attempt.client.close()
        await queue.give_back(grant, False)

    async def _finish(
        self, queue: ShardQueue, grant: Grant, attempt: Attempt
    ) -> Reason | None:
        endpoint = queue.dispatcher.slots[grant.endpoint].endpoint
        pool = self.node.pools.find(endpoint.address)
        served = attempt.result is AttemptResult.ANSWERED
        if attempt.client is None:
            await queue.give_back(grant, served)
            return await self._finish_small(attempt)
        try:
            self._settle_answer(attempt)
            await self._relay_stream(pool, attempt)
        finally:
            await queue.give_back(grant, served)
        return None

    async def _finish_small(self, attempt: Attempt) -> Reason | None:
        if attempt is NEVER_STARTED:
            return Reason.DEADLINE
        if attempt.head is None:
            return self._find_failure(attempt)
        if attempt.result is AttemptResult.REFUSED_NOT_RUN:
            return Reason.BACKEND_REFUSED
        self._settle_answer(attempt)
        headers = copy_answer_headers(attempt.head.headers)
        headers += self._mark_answer()
        await self._send_small(attempt, headers)
        return None

    async def _send_small(self, attempt: Attempt, headers: list) -> None:
        if self.request.head.method == "HEAD":
            length = attempt.head.find(names.CONTENT_LENGTH) or b"0"
            headers.append((names.CONTENT_LENGTH, length))
            await self.http.send_head(attempt.head.status, headers)
            await self.http.finish()
            return
        await self.http.send_answer(attempt.head.status, headers, attempt.body)

    def _find_failure(self, attempt: Attempt) -> Reason:
        reason = REASON_OF_RESULT[attempt.result]
        if reason is not Reason.BACKEND_BROKEN:
            return reason
        if not self.request.idempotent:
            return Reason.OUTCOME_UNKNOWN
        if self.node.clock.read() >= self.request.deadline_s:
            return Reason.DEADLINE_STARTED
        return reason

    def _settle_answer(self, attempt: Attempt) -> None:
        if self.claimed is None:
            return
        headers = tuple(copy_answer_headers(attempt.head.headers))
        outcome = Outcome(attempt.head.status, headers, attempt.body)
        self.node.ledger.settle(self.claimed, Phase.DONE, outcome)

    def _mark_answer(self) -> list[tuple[bytes, bytes]]:
        marks = [
            (names.REQUEST_ID, self.request.request_id),
            (names.SERVED_BY, self.node.me.name.encode()),
        ]
        if self.node.draining:
            marks.append((b"connection", b"close"))
        return marks

    async def _relay_stream(
        self, pool: ConnectionPool, attempt: Attempt
    ) -> None:
        """Pass a long answer on piece by piece."""
        client = attempt.client
        headers = copy_answer_headers(attempt.head.headers)
        length = attempt.head.find(names.CONTENT_LENGTH)
        if length is not None:
            headers.append((names.CONTENT_LENGTH, length))
        headers += self._mark_answer()
        try:
            await self.http.send_head(attempt.head.status, headers)
            while True:
                async with curio.timeout_after(RELAY_TIMEOUT_S):
                    piece = await client.read_chunk()
                    if not piece:
                        break
                    await self.http.send_chunk(piece)
            await self.http.finish()
        except BaseException:
            await client.close()
            raise
        await pool.release(client)

    async def _forward(
        self, record: MemberRecord, with_ticket: bool = False
    ) -> Reason | None:
        """Forward the request once to another instance."""
        await self._read_body()
        node = self.node
        node.in_flight += 1
        span = node.tracing.start_span("peer", self.span)
        span.set_attribute("instance", record.name)
        began_s = node.clock.read()
        try:
            if not with_ticket and not self._start():
                return Reason.DEADLINE
            headers = make_forward_headers(
                self.request,
                began_s,
                node.tracing.format_traceparent(span),
                node.me.region,
                node.key,
                with_ticket,
            )
            pool = node.peer_pools.find(record.callers)
            left_s = self.request.deadline_s - began_s
            outbound = self._make_outbound(headers)
            attempt = await send_attempt(pool, outbound, left_s)
            node.metrics.count("forwards", record.name)
            return await self._relay_forward(pool, attempt)
        finally:
            node.in_flight -= 1
            span.end()

    async def _relay_forward(
        self, pool: ConnectionPool, attempt: Attempt
    ) -> Reason | None:
        if attempt.result is AttemptResult.UNSENT:
            if self.claimed is not None:
                self.node.ledger.stop(self.claimed)
            return Reason.OWNER_UNREACHABLE
        if attempt.head is None:
            return self._find_failure(attempt)
        reason = read_reason(attempt)
        if reason is not None:
            if attempt.head.find(names.NOT_RUN) is None:
                self.may_have_run = True
            if attempt.client is not None:
                await attempt.client.close()
            return reason
        self._settle_answer(attempt)
        if attempt.client is None:
            headers = copy_answer_headers(attempt.head.headers)
            await self._send_small(attempt, headers + self._mark_answer())
        else:
            await self._relay_stream(pool, attempt)
        return None


def read_reason(attempt: Attempt) -> Reason | None:
    """Read the reason with which another instance refused.

    :param attempt: the answered attempt.
    :returns: the reason, or None if it is an answer.
    """
    text = attempt.head.find(names.REASON)
    if text is None:
        return None
    try:
        return Reason(text.decode("ascii"))
    except ValueError:
        return Reason.OUTCOME_UNKNOWN


async def send_refusal(
    node: Node, http: HttpServer, refusal: Refusal, request_id: bytes
) -> None:
    """Send a refusal with its reason and whether anything ran.

    :param node: the instance.
    :param http: the caller's connection.
    :param refusal: the refusal.
    :param request_id: id of the request.
    :raises ConnectionBroken: if the answer was already started.
    """
    if not http.can_answer:
        raise ConnectionBroken("answer was already started")
    marks = [
        JSON_TYPE,
        (names.REQUEST_ID, request_id),
        (names.REASON, refusal.reason.value.encode()),
        (names.SERVED_BY, node.me.name.encode()),
    ]
    body = {"reason": refusal.reason.value, "not_run": refusal.not_run}
    if refusal.not_run:
        marks.append((names.NOT_RUN, names.YES))
    if refusal.retry_after_s:
        wait_s = refusal.retry_after_s * node.random.uniform(0.5, 1.5)
        body["retry_after_ms"] = int(wait_s * MS_PER_S)
        whole_s = max(1, round(wait_s))
        marks.append((names.RETRY_AFTER, b"%d" % whole_s))
    data = json.dumps(body).encode()
    await http.send_answer(refusal.status, marks, data)


def refuse_claim(reason: Reason) -> Callable:
    """Make the action of a claim that is refused.

    :param reason: the reason.
    :returns: the action.
    """

    async def act(exchange: Exchange, ticket: Ticket) -> Reason:
        return reason

    return act


ClaimAction = Callable[[Exchange, Ticket], Awaitable[Reason | None]]
CLAIM_ACTIONS: dict[Claim, ClaimAction] = {
    Claim.RUN: Exchange._run_claimed,
    Claim.IN_PROGRESS: Exchange._await_outcome,
    Claim.DONE: Exchange._replay,
    Claim.UNKNOWN: refuse_claim(Reason.OUTCOME_UNKNOWN),
    Claim.NOT_RUN: refuse_claim(Reason.TICKET_EXPIRED),
    Claim.FULL: refuse_claim(Reason.LEDGER_FULL),
}
