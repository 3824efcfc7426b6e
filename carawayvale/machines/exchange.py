"""Handling of one caller's request: tickets, routing and forwarding."""

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
from carawayvale.machines.attempts import Attempt
from carawayvale.machines.attempts import send_attempt
from carawayvale.machines.caller_request import CallerRequest
from carawayvale.machines.caller_request import make_forward_headers
from carawayvale.machines.dispatcher import ShardRequest
from carawayvale.machines.entry_node import EntryNode
from carawayvale.machines.forward_targets import list_forward_targets
from carawayvale.machines.request_state import RequestState
from carawayvale.machines.responses import read_refusal_reason
from carawayvale.machines.responses import ResponseWriter
from carawayvale.machines.responses import send_refusal
from carawayvale.machines.shard_executor import find_failure_reason
from carawayvale.machines.shard_executor import ShardExecutor
from carawayvale.machines.shard_queue import ShardQueue

LEDGER_POLL_INTERVAL_S = 0.02
MAX_FORWARDS = 2  # instances to which one request is forwarded in turn

# Reasons for which another instance may serve the request instead.
FORWARDED_REASONS = frozenset(
    {
        Reason.NOT_OWNER,
        Reason.NO_CREDIT,
        Reason.NO_CAPACITY,
        Reason.QUEUE_FULL,
        Reason.DEADLINE,
    }
)


class Exchange:
    """Handling of one request from its head to the end of its response.

    :param node: state of the instance.
    :param http: the caller's connection.
    :param request: the request.
    :param span: span of the whole exchange.
    """

    def __init__(
        self,
        node: EntryNode,
        http: HttpServer,
        request: CallerRequest,
        span: Span,
    ):
        self.node = node
        self.http = http
        self.request = request
        self.span = span
        self.state = RequestState(node, http, request, span)
        self.writer = ResponseWriter(node, http, request)

    async def run(self) -> None:
        """Serve the request and send a response or a refusal.

        The request is in flight from its head on, so an instance does not
        stop while the body arrives or the response is sent.
        """
        self.node.in_flight += 1
        try:
            await self._serve()
        finally:
            self.node.in_flight -= 1

    async def _serve(self) -> None:
        request = self.request
        metrics = self.node.metrics
        start_s = self.node.clock.read()
        reason = await self._process()
        rank = request.rank.name
        if reason is None:
            metrics.count("answers", rank)
            metrics.record(rank, "entry", self.node.clock.read() - start_s)
            return
        metrics.count("refusals", f"{rank}/{reason.value}")
        self.span.set_attribute("reason", reason.value)
        refusal = self.state.find_refusal(reason)
        await send_refusal(self.node, self.http, refusal, request.request_id)

    async def _process(self) -> Reason | None:
        request = self.request
        if request.ticket is not None and not request.idempotent:
            return await self._serve_with_ticket(request.ticket)
        if not request.forwarded and self._exceeds_retry_budget():
            return Reason.BUDGET
        return await self._route()

    def _exceeds_retry_budget(self) -> bool:
        request = self.request
        request_id = request.request_id.decode("latin-1")
        if not self.node.retry_detector.observe(request_id, request.attempt):
            return False
        self.node.metrics.count("repeats", request.service.name)
        return not self.node.find_retry_budget(request.service).withdraw()

    async def _serve_with_ticket(self, ticket: Ticket) -> Reason | None:
        """Serve a submission at the instance that its ticket names.

        The ledger of that instance decides whether the submission runs, or
        a retry of it gets the recorded response or a refusal.
        """
        if ticket.instance != self.node.own_record.name:
            return await self._forward_to_ticket_instance(ticket)
        claim = self.node.ledger.claim(ticket, self.node.clock.read())
        return await CLAIM_ACTIONS[claim](self, ticket)

    async def _forward_to_ticket_instance(
        self, ticket: Ticket
    ) -> Reason | None:
        """Forward a submission to the instance that its ticket names.

        Only that instance can tell whether the ticket names its current
        process, since its member record here may be older than the ticket.
        """
        record = self.node.membership.records.get(ticket.instance)
        if self.request.forwarded or record is None:
            return Reason.OUTCOME_UNKNOWN
        is_current = record.incarnation >= ticket.incarnation
        if is_current and record.state is MemberState.DEAD:
            return Reason.OUTCOME_UNKNOWN
        reason = await self._forward(record, with_ticket=True)
        unreachable = reason is Reason.OWNER_UNREACHABLE
        return Reason.OUTCOME_UNKNOWN if unreachable else reason

    async def _serve_claimed(self, ticket: Ticket) -> Reason | None:
        self.state.claimed_ticket = ticket
        try:
            reason = await self._route()
        except BaseException:
            self.state.complete_abandoned()
            raise
        if reason is not None:
            self.state.complete_with_refusal(reason)
        return reason

    async def _await_recorded_response(self, ticket: Ticket) -> Reason | None:
        """Wait while an earlier attempt of the same submission runs."""
        ledger = self.node.ledger
        while ledger.is_open(ticket):
            if self.state.is_past_deadline():
                return Reason.IN_PROGRESS
            await curio.sleep(LEDGER_POLL_INTERVAL_S)
        claim = ledger.claim(ticket, self.node.clock.read())
        return await CLAIM_ACTIONS[claim](self, ticket)

    async def _replay_recorded_response(self, ticket: Ticket) -> Reason | None:
        response = self.node.ledger.find_response(ticket)
        if response.body is None:
            return Reason.ANSWER_GONE
        await self.writer.replay(response)
        return None

    async def _route(self) -> Reason | None:
        """Serve the request locally or forward it to another instance."""
        reason = await self._serve_locally()
        if reason not in FORWARDED_REASONS or self.state.is_body_consumed:
            return reason
        if self.request.forwarded:
            return reason
        return await self._forward_to_others(reason)

    async def _serve_locally(self) -> Reason | None:
        queue = self._choose_queue()
        if queue is None:
            return Reason.NOT_OWNER
        shard_request = ShardRequest(
            self.request.rank.name, self.request.deadline_s
        )
        reason = queue.dispatcher.find_rejection(
            shard_request, self.node.clock.read()
        )
        if reason is not None:
            return reason
        if not self._spend_shift_credit():
            return Reason.NO_CREDIT
        await self.state.read_body()
        executor = ShardExecutor(self.state, self.writer, queue)
        return await executor.run(shard_request)

    def _choose_queue(self) -> ShardQueue | None:
        service = self.request.service.name
        queues = self.node.list_local_queues(service)
        if len(queues) < 2:
            return queues[0] if queues else None
        now_s = self.node.clock.read()
        rank = self.request.rank.name
        return min(
            queues, key=lambda q: q.dispatcher.estimate_wait(rank, now_s)
        )

    def _spend_shift_credit(self) -> bool:
        """Spend a shift credit if the caller's home is another region.

        The instance that serves the request spends the credit, so that
        each shifted request is counted once, whichever instance received
        it first.
        """
        request = self.request
        region = self.node.own_record.region
        if request.home in ("", region):
            return True
        position = request.rank.order - 1
        now_s = self.node.clock.read()
        allowed = self.node.shift_credits.spend(
            request.home, region, position, now_s
        )
        name = "shifts" if allowed else "shifts_refused"
        self.node.metrics.count(name, f"{request.home}/{region}")
        return allowed

    async def _forward_to_others(self, reason: Reason) -> Reason | None:
        request = self.request
        remotes = list_forward_targets(
            self.node, request.service.name, reason, request.home
        )
        for remote in islice(remotes, MAX_FORWARDS):
            result = await self._forward(remote)
            if result is not Reason.OWNER_UNREACHABLE:
                return result
        return Reason.NO_CAPACITY if reason is Reason.NOT_OWNER else reason

    async def _forward(
        self, record: MemberRecord, with_ticket: bool = False
    ) -> Reason | None:
        """Forward the request once to another instance."""
        state = self.state
        node = self.node
        await state.read_body()
        span = node.tracing.start_span("peer", self.span)
        span.set_attribute("instance", record.name)
        start_s = node.clock.read()
        try:
            if not with_ticket and not state.mark_started():
                return Reason.DEADLINE
            headers = make_forward_headers(
                self.request,
                start_s,
                node.tracing.format_traceparent(span),
                node.own_record.region,
                node.key,
                with_ticket,
            )
            pool = node.peer_pools.find(record.callers)
            remaining_s = self.request.deadline_s - start_s
            outbound = state.make_outbound_request(headers)
            attempt = await send_attempt(pool, outbound, remaining_s)
            node.metrics.count("forwards", record.name)
            return await self._relay_forwarded_response(pool, attempt)
        finally:
            span.end()

    async def _relay_forwarded_response(
        self, pool: ConnectionPool, attempt: Attempt
    ) -> Reason | None:
        if attempt.result is AttemptResult.UNSENT:
            self.state.mark_not_started()
            return Reason.OWNER_UNREACHABLE
        if attempt.head is None:
            return find_failure_reason(self.state, attempt)
        reason = read_refusal_reason(attempt)
        if reason is not None:
            if attempt.head.find(names.NOT_RUN) is None:
                self.state.may_have_run = True
            if attempt.client is not None:
                await attempt.client.close()
            return reason
        self.state.complete_with_response(attempt)
        if attempt.client is None:
            await self.writer.send_buffered(attempt)
        else:
            await self.writer.relay(pool, attempt)
        return None


def make_refusal_action(reason: Reason) -> Callable:
    """Make the action for claims that are refused with a reason.

    :param reason: reason of the refusal.
    :returns: the action.
    """

    async def refuse(exchange: Exchange, ticket: Ticket) -> Reason:
        return reason

    return refuse


ClaimAction = Callable[[Exchange, Ticket], Awaitable[Reason | None]]
CLAIM_ACTIONS: dict[ClaimResult, ClaimAction] = {
    ClaimResult.RUN: Exchange._serve_claimed,
    ClaimResult.IN_PROGRESS: Exchange._await_recorded_response,
    ClaimResult.DONE: Exchange._replay_recorded_response,
    ClaimResult.UNKNOWN: make_refusal_action(Reason.OUTCOME_UNKNOWN),
    ClaimResult.NOT_RUN: make_refusal_action(Reason.TICKET_EXPIRED),
    ClaimResult.FULL: make_refusal_action(Reason.LEDGER_FULL),
}
