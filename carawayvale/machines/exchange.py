"""Serves one caller's request: tickets, routing and forwarding."""

from collections.abc import Awaitable
from collections.abc import Callable
from itertools import islice

import curio
from opentelemetry.trace import Span

from carawayvale.contracts import headers as names
from carawayvale.contracts.reasons import Reason
from carawayvale.contracts.retries import AttemptResult
from carawayvale.contracts.tickets import ClaimResult
from carawayvale.contracts.tickets import Ticket
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.http_server import HttpServer
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import MemberState
from carawayvale.machines.answers import AnswerWriter
from carawayvale.machines.answers import read_reason
from carawayvale.machines.answers import send_refusal
from carawayvale.machines.attempts import Attempt
from carawayvale.machines.attempts import send_attempt
from carawayvale.machines.dispatcher import Job
from carawayvale.machines.node import Node
from carawayvale.machines.progress import Progress
from carawayvale.machines.requests import CallerRequest
from carawayvale.machines.requests import make_forward_headers
from carawayvale.machines.serving import find_failure
from carawayvale.machines.serving import OwnerRun
from carawayvale.machines.shard_queue import ShardQueue
from carawayvale.machines.steering import list_remotes

OUTCOME_POLL_S = 0.02
MAX_FORWARDS = 2

SPILLED = frozenset(
    {
        Reason.NOT_OWNER,
        Reason.NO_CREDIT,
        Reason.NO_CAPACITY,
        Reason.QUEUE_FULL,
        Reason.DEADLINE,
    }
)


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
        self.progress = Progress(node, http, request, span)
        self.writer = AnswerWriter(node, http, request)

    async def run(self) -> None:
        """Serve the request and send an answer or a refusal."""
        request = self.request
        metrics = self.node.metrics
        began_s = self.node.clock.read()
        reason = await self._run_once()
        rank = request.rank.name
        if reason is None:
            metrics.count("answers", rank)
            metrics.record(rank, "entry", self.node.clock.read() - began_s)
            return
        metrics.count("refusals", f"{rank}/{reason.value}")
        self.span.set_attribute("reason", reason.value)
        refusal = self.progress.find_refusal(reason)
        await send_refusal(self.node, self.http, refusal, request.request_id)

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
        if ticket.instance != self.node.me.name:
            return await self._forward_ticket(ticket)
        claim = self.node.ledger.claim(ticket, self.node.clock.read())
        return await CLAIM_ACTIONS[claim](self, ticket)

    async def _forward_ticket(self, ticket: Ticket) -> Reason | None:
        """Forward a submission to the process that its ticket names.

        That process itself knows whether the ticket is its own; the
        view of it here may be older than the ticket.
        """
        record = self.node.membership.records.get(ticket.instance)
        if self.request.forwarded or record is None:
            return Reason.OUTCOME_UNKNOWN
        known = record.incarnation >= ticket.incarnation
        if known and record.state is MemberState.DEAD:
            return Reason.OUTCOME_UNKNOWN
        reason = await self._forward(record, with_ticket=True)
        unreachable = reason is Reason.OWNER_UNREACHABLE
        return Reason.OUTCOME_UNKNOWN if unreachable else reason

    async def _run_claimed(self, ticket: Ticket) -> Reason | None:
        self.progress.claimed = ticket
        try:
            reason = await self._route()
        except BaseException:
            self.progress.settle_abandoned()
            raise
        if reason is not None:
            self.progress.settle_refusal(reason)
        return reason

    async def _await_outcome(self, ticket: Ticket) -> Reason | None:
        ledger = self.node.ledger
        while ledger.is_open(ticket):
            if self.progress.is_late():
                return Reason.IN_PROGRESS
            await curio.sleep(OUTCOME_POLL_S)
        claim = ledger.claim(ticket, self.node.clock.read())
        return await CLAIM_ACTIONS[claim](self, ticket)

    async def _replay(self, ticket: Ticket) -> Reason | None:
        outcome = self.node.ledger.find_response(ticket)
        if outcome.body is None:
            return Reason.ANSWER_GONE
        await self.writer.replay(outcome)
        return None

    async def _route(self) -> Reason | None:
        """Serve the request here or forward it to one that can."""
        reason = await self._serve_here()
        if reason not in SPILLED or self.progress.is_body_used:
            return reason
        if self.request.forwarded:
            return reason
        return await self._route_elsewhere(reason)

    async def _serve_here(self) -> Reason | None:
        queue = self._choose_queue()
        if queue is None:
            return Reason.NOT_OWNER
        job = Job(self.request.rank.name, self.request.deadline_s)
        reason = queue.dispatcher.find_refusal(job, self.node.clock.read())
        if reason is not None:
            return reason
        if not self._may_shift_here():
            return Reason.NO_CREDIT
        await self.progress.read_body()
        self.node.in_flight += 1
        try:
            run = OwnerRun(self.progress, self.writer, queue)
            return await run.run(job)
        finally:
            self.node.in_flight -= 1

    def _choose_queue(self) -> ShardQueue | None:
        service = self.request.service.name
        queues = self.node.list_local(service)
        if len(queues) < 2:
            return queues[0] if queues else None
        now_s = self.node.clock.read()
        rank = self.request.rank.name
        return min(
            queues, key=lambda q: q.dispatcher.estimate_wait(rank, now_s)
        )

    def _may_shift_here(self) -> bool:
        """Spend a credit if the caller's home is another region.

        The instance that serves the request spends, so each shifted
        request is counted once, wherever it came in.
        """
        request = self.request
        region = self.node.me.region
        if request.home in ("", region):
            return True
        position = request.rank.order - 1
        now_s = self.node.clock.read()
        allowed = self.node.shifts.spend(request.home, region, position, now_s)
        name = "shifts" if allowed else "shifts_refused"
        self.node.metrics.count(name, f"{request.home}/{region}")
        return allowed

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

    async def _forward(
        self, record: MemberRecord, with_ticket: bool = False
    ) -> Reason | None:
        """Forward the request once to another instance."""
        progress = self.progress
        node = self.node
        await progress.read_body()
        node.in_flight += 1
        span = node.tracing.start_span("peer", self.span)
        span.set_attribute("instance", record.name)
        began_s = node.clock.read()
        try:
            if not with_ticket and not progress.start():
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
            outbound = progress.make_outbound(headers)
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
            self.progress.stop()
            return Reason.OWNER_UNREACHABLE
        if attempt.head is None:
            return find_failure(self.progress, attempt)
        reason = read_reason(attempt)
        if reason is not None:
            if attempt.head.find(names.NOT_RUN) is None:
                self.progress.may_have_run = True
            if attempt.client is not None:
                await attempt.client.close()
            return reason
        self.progress.settle_answer(attempt)
        if attempt.client is None:
            await self.writer.send_small(attempt)
        else:
            await self.writer.relay(pool, attempt)
        return None


def refuse_claim(reason: Reason) -> Callable:
    """Make the action of a claim that is refused.

    :param reason: the reason.
    :returns: the action.
    """

    async def act(exchange: Exchange, ticket: Ticket) -> Reason:
        return reason

    return act


ClaimAction = Callable[[Exchange, Ticket], Awaitable[Reason | None]]
CLAIM_ACTIONS: dict[ClaimResult, ClaimAction] = {
    ClaimResult.RUN: Exchange._run_claimed,
    ClaimResult.IN_PROGRESS: Exchange._await_outcome,
    ClaimResult.DONE: Exchange._replay,
    ClaimResult.UNKNOWN: refuse_claim(Reason.OUTCOME_UNKNOWN),
    ClaimResult.NOT_RUN: refuse_claim(Reason.TICKET_EXPIRED),
    ClaimResult.FULL: refuse_claim(Reason.LEDGER_FULL),
}
