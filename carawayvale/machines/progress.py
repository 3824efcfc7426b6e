"""What is known of one request while it is being served."""

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
from carawayvale.machines.attempts import Outbound
from carawayvale.machines.node import Node
from carawayvale.machines.requests import CallerRequest
from carawayvale.machines.requests import copy_answer_headers
from carawayvale.machines.requests import make_framing

BODY_TIMEOUT_S = 10.0


@dataclass
class Progress:
    """A request, its body, and whether it may have run.

    :param node: the instance.
    :param http: the caller's connection.
    :param request: the request.
    :param span: span of the whole exchange.
    :param claimed: ticket that this process claimed, or None.
    :param body: the body once it is buffered, else None.
    :param may_have_run: whether an attempt may have run the request.
    """

    node: Node
    http: HttpServer
    request: CallerRequest
    span: Span
    claimed: Ticket | None = None
    body: bytes | None = None
    may_have_run: bool = False

    async def read_body(self) -> None:
        """Buffer a small body; leave a long one to be streamed.

        :raises curio.TaskTimeout: if the caller sends too slowly.
        """
        if self.body is not None or not self.request.is_buffered:
            return
        pieces = []
        async with curio.timeout_after(BODY_TIMEOUT_S):
            while piece := await self.http.read_chunk():
                pieces.append(piece)
        self.body = b"".join(pieces)

    @property
    def is_body_used(self) -> bool:
        """Whether a streamed body has been sent on."""
        return not self.request.is_buffered and not self.http.body_left

    def make_outbound(self, headers: Headers) -> Outbound:
        """Make the request as it is sent on.

        :param headers: headers without those that frame the body.
        :returns: the request.
        """
        request = self.request
        streams = self.body is None
        return Outbound(
            request.head.method,
            request.head.target,
            headers,
            request.request_id,
            request.idempotent,
            self.body or b"",
            self._stream_body if streams else None,
            make_framing(request) if streams else None,
        )

    async def _stream_body(self) -> AsyncIterator[bytes]:
        while piece := await self.http.read_chunk():
            yield piece

    def is_late(self) -> bool:
        """Tell whether the deadline has passed.

        :returns: whether it has.
        """
        return self.node.clock.read() >= self.request.deadline_s

    def start(self) -> bool:
        """Record that the first byte is about to be written.

        :returns: whether it may be: the deadline and the ticket's
            expiry have not passed.
        """
        if self.is_late():
            return False
        if self.claimed is None:
            return True
        return self.node.ledger.start(self.claimed, self.node.clock.read())

    def stop(self) -> None:
        """Record that the last attempt provably ran nothing."""
        if self.claimed is not None:
            self.node.ledger.revert_start(self.claimed)

    def settle_answer(self, attempt: Attempt) -> None:
        """Remember the answer of a claimed submission.

        :param attempt: the answered attempt.
        """
        if self.claimed is None:
            return
        headers = tuple(copy_answer_headers(attempt.head.headers))
        outcome = RecordedResponse(attempt.head.status, headers, attempt.body)
        self.node.ledger.finish(self.claimed, Phase.DONE, outcome)

    def settle_refusal(self, reason: Reason) -> None:
        """Remember how a claimed submission ended without an answer.

        :param reason: why there is none.
        """
        ledger = self.node.ledger
        if self.claimed is not None and ledger.is_open(self.claimed):
            not_run = self.find_refusal(reason).not_run
            phase = Phase.NOT_RUN if not_run else Phase.UNKNOWN
            ledger.finish(self.claimed, phase)

    def settle_abandoned(self) -> None:
        """Remember a claimed submission whose exchange broke off."""
        ledger = self.node.ledger
        if self.claimed is not None and ledger.is_open(self.claimed):
            started = ledger.is_started(self.claimed)
            phase = Phase.UNKNOWN if started else Phase.NOT_RUN
            ledger.finish(self.claimed, phase)

    def find_refusal(self, reason: Reason) -> Refusal:
        """Find the refusal of a reason, true to what may have run.

        :param reason: the reason.
        :returns: the refusal.
        """
        refusal = REFUSALS[reason]
        if self.may_have_run:
            return replace(refusal, not_run=False)
        return refusal
