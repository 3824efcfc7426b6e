"""State of one request while an entry instance serves it."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from dataclasses import replace

import curio
from opentelemetry.trace import Span

from carawayvale.contracts.reasons import Reason
from carawayvale.contracts.reasons import Refusal
from carawayvale.contracts.reasons import REFUSALS
from carawayvale.contracts.tickets import Phase
from carawayvale.contracts.tickets import RecordedResponse
from carawayvale.contracts.tickets import Ticket
from carawayvale.links.http import Headers
from carawayvale.links.http_server import HttpServer
from carawayvale.machines.attempts import Attempt
from carawayvale.machines.attempts import OutboundRequest
from carawayvale.machines.caller_request import CallerRequest
from carawayvale.machines.caller_request import copy_response_headers
from carawayvale.machines.caller_request import make_framing_header
from carawayvale.machines.entry_node import EntryNode

BODY_TIMEOUT_S = 10.0


@dataclass
class RequestState:
    """Request in progress: its body, its ticket, and whether it may have run.

    :param node: state of the instance.
    :param http: the caller's connection.
    :param request: the request.
    :param span: span of the whole exchange.
    :param claimed_ticket: ticket that this process claimed for the
        request, or None.
    :param body: the body if it is buffered, else None.
    :param may_have_run: whether an attempt may have run the request.
    """

    node: EntryNode
    http: HttpServer
    request: CallerRequest
    span: Span
    claimed_ticket: Ticket | None = None
    body: bytes | None = None
    may_have_run: bool = False

    async def read_body(self) -> None:
        """Buffer a small body; leave a large one to be streamed.

        :raises curio.TaskTimeout: if the caller sends too slowly.
        """
        if self.body is not None or not self.request.is_buffered:
            return
        chunks = []
        async with curio.timeout_after(BODY_TIMEOUT_S):
            while chunk := await self.http.read_chunk():
                chunks.append(chunk)
        self.body = b"".join(chunks)

    @property
    def is_body_consumed(self) -> bool:
        """Whether a streamed body was read and cannot be sent again."""
        return not self.request.is_buffered and not self.http.body_left

    def make_outbound_request(self, headers: Headers) -> OutboundRequest:
        """Make the request that an attempt sends.

        :param headers: headers without those that frame the body.
        :returns: the request.
        """
        request = self.request
        is_streamed = self.body is None
        return OutboundRequest(
            request.head.method,
            request.head.target,
            headers,
            request.request_id,
            request.idempotent,
            self.body or b"",
            self._stream_body if is_streamed else None,
            make_framing_header(request) if is_streamed else None,
        )

    async def _stream_body(self) -> AsyncIterator[bytes]:
        while chunk := await self.http.read_chunk():
            yield chunk

    def is_past_deadline(self) -> bool:
        """Compare the deadline with the clock.

        :returns: whether the deadline has passed.
        """
        return self.node.clock.read() >= self.request.deadline_s

    def mark_started(self) -> bool:
        """Record that the first byte of an attempt is about to be sent.

        :returns: whether it may be sent: neither the deadline nor the
            expiry of the ticket has passed.
        """
        if self.is_past_deadline():
            return False
        if self.claimed_ticket is None:
            return True
        return self.node.ledger.start(
            self.claimed_ticket, self.node.clock.read()
        )

    def mark_not_started(self) -> None:
        """Record that the last attempt provably did not run the request."""
        if self.claimed_ticket is not None:
            self.node.ledger.revert_start(self.claimed_ticket)

    def complete_with_response(self, attempt: Attempt) -> None:
        """Complete a claimed submission with the response of an attempt.

        :param attempt: the attempt.
        """
        if self.claimed_ticket is None:
            return
        headers = tuple(copy_response_headers(attempt.head.headers))
        response = RecordedResponse(attempt.head.status, headers, attempt.body)
        self.node.ledger.finish(self.claimed_ticket, Phase.DONE, response)

    def complete_with_refusal(self, reason: Reason) -> None:
        """Complete a claimed submission that ends in a refusal.

        :param reason: reason of the refusal.
        """
        ledger = self.node.ledger
        if self.claimed_ticket is not None and ledger.is_open(
            self.claimed_ticket
        ):
            not_run = self.find_refusal(reason).not_run
            phase = Phase.NOT_RUN if not_run else Phase.UNKNOWN
            ledger.finish(self.claimed_ticket, phase)

    def complete_abandoned(self) -> None:
        """Complete a claimed submission whose exchange was aborted.

        Its outcome is unknown if an attempt has started, else it has not
        run.
        """
        ledger = self.node.ledger
        if self.claimed_ticket is not None and ledger.is_open(
            self.claimed_ticket
        ):
            started = ledger.is_started(self.claimed_ticket)
            phase = Phase.UNKNOWN if started else Phase.NOT_RUN
            ledger.finish(self.claimed_ticket, phase)

    def find_refusal(self, reason: Reason) -> Refusal:
        """Find the refusal for a reason.

        :param reason: the reason.
        :returns: the refusal; it is not marked as not run if an attempt
            may have run the request.
        """
        refusal = REFUSALS[reason]
        if self.may_have_run:
            return replace(refusal, not_run=False)
        return refusal
