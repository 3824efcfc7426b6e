"""Submission tickets, which run a non-idempotent request at most once."""

import base64
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import Enum
import hashlib
import hmac
import secrets

import cbor2

TICKET_ID_BYTES = 12
SIGNATURE_BYTES = 16
GRACE_S = 60.0
LEDGER_CAPACITY = 100_000
MAX_RECORDED_BODY_BYTES = 4096
MAX_KEPT_BYTES = 32_000_000


class BadTicket(ValueError):
    """Raised for a ticket that is malformed or has a wrong signature."""


@dataclass(frozen=True)
class Ticket:
    """Permission for one process of an entry instance to run one request.

    :param instance: name of the entry instance.
    :param incarnation: number of the process of that instance.
    :param expiry_s: end of validity in seconds, by the monotonic
        clock of that process.
    :param ticket_id: random identifier.
    """

    instance: str
    incarnation: int
    expiry_s: float
    ticket_id: bytes


def issue_ticket(instance: str, incarnation: int, expiry_s: float) -> Ticket:
    """Issue a ticket with a random identifier.

    :param instance: name of the entry instance.
    :param incarnation: number of the process of that instance.
    :param expiry_s: end of validity in seconds, by the monotonic
        clock of that process.
    :returns: the ticket.
    """
    ticket_id = secrets.token_bytes(TICKET_ID_BYTES)
    return Ticket(instance, incarnation, expiry_s, ticket_id)


def encode_ticket(ticket: Ticket, key: bytes) -> str:
    """Sign a ticket and encode it for an HTTP header.

    :param ticket: the ticket.
    :param key: secret key of the deployment.
    :returns: the signature and the ticket in URL-safe base64.
    """
    body = cbor2.dumps(
        [
            ticket.instance,
            ticket.incarnation,
            ticket.expiry_s,
            ticket.ticket_id,
        ]
    )
    return base64.urlsafe_b64encode(_sign(body, key) + body).decode()


def decode_ticket(text: str, key: bytes) -> Ticket:
    """Decode a ticket and check its signature.

    :param text: output of :func:`encode_ticket`.
    :param key: secret key of the deployment.
    :returns: the ticket.
    :raises BadTicket: if it is malformed or not signed with the key.
    """
    try:
        data = base64.urlsafe_b64decode(text.encode())
    except ValueError:
        raise BadTicket("ticket is not base64") from None
    signature, body = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(body, key)):
        raise BadTicket("ticket has a wrong signature")
    return Ticket(*cbor2.loads(body))


def _sign(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, b"ticket" + body, hashlib.sha256)[:SIGNATURE_BYTES]


class ClaimResult(Enum):
    """Result of claiming a submission in the ledger.

    RUN: the submission may run.
    IN_PROGRESS: the submission is already claimed or started.
    DONE: the submission has run; its response may be recorded.
    UNKNOWN: the submission may or may not have run.
    NOT_RUN: the ticket is not valid and the submission has not run.
    FULL: the ledger has no room for another submission.
    """

    RUN = "run"
    IN_PROGRESS = "in_progress"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"
    FULL = "full"


class Phase(Enum):
    """State of one submission in the ledger.

    CLAIMED: a request holds the claim; the submission has not run yet.
    STARTED: the request may have reached a backend server.
    DONE: a backend server responded.
    UNKNOWN: the submission may or may not have run.
    NOT_RUN: the submission has not run and may be claimed again.
    """

    CLAIMED = "claimed"
    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


UNFINISHED_PHASES = frozenset({Phase.CLAIMED, Phase.STARTED})
CLAIM_RESULT_BY_PHASE = {
    Phase.CLAIMED: ClaimResult.IN_PROGRESS,
    Phase.STARTED: ClaimResult.IN_PROGRESS,
    Phase.DONE: ClaimResult.DONE,
    Phase.UNKNOWN: ClaimResult.UNKNOWN,
    Phase.NOT_RUN: ClaimResult.RUN,
}


@dataclass(frozen=True)
class RecordedResponse:
    """The response that the ledger recorded for a submission.

    :param status: HTTP status.
    :param headers: headers of the response.
    :param body: body of the response, or None if it was too large to
        keep.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes | None = None


@dataclass
class LedgerEntry:
    """Record of one submission in the ledger.

    :param expiry_s: end of validity of the ticket in seconds.
    :param phase: state of the submission.
    :param response: the recorded response, or None.
    """

    expiry_s: float
    phase: Phase
    response: RecordedResponse | None = None


@dataclass
class TicketLedger:
    """Record of submissions until their tickets have expired.

    Only the process that a ticket names may run its request. Memory is
    bounded: a full ledger rejects new submissions and never removes one
    whose ticket is still valid. A finished submission may be removed
    ``GRACE_S`` after the expiry.

    :param instance: name of this entry instance.
    :param incarnation: number of this process.
    :param capacity: maximum number of recorded submissions.
    :param max_ttl_s: maximum remaining validity of an accepted ticket.
    :param max_kept_bytes: maximum total size of the kept bodies. A body
        that would exceed it, or that is larger than
        ``MAX_RECORDED_BODY_BYTES``, is dropped; the status and the headers
        are kept.
    :param kept_bytes: total size of the kept bodies.
    :param entries: recorded submissions by ticket identifier, in the
        order of their first claim.

    >>> ledger = TicketLedger("e1", 7)
    >>> ticket = Ticket("e1", 7, 10.0, b"x")
    >>> ledger.claim(ticket, 0.0), ledger.claim(ticket, 0.0)
    (<ClaimResult.RUN: 'run'>, <ClaimResult.IN_PROGRESS: 'in_progress'>)
    """

    instance: str
    incarnation: int
    capacity: int = LEDGER_CAPACITY
    max_ttl_s: float = 600.0
    max_kept_bytes: int = MAX_KEPT_BYTES
    kept_bytes: int = 0
    entries: OrderedDict[bytes, LedgerEntry] = field(
        default_factory=OrderedDict
    )

    def claim(self, ticket: Ticket, now_s: float) -> ClaimResult:
        """Claim the right to run a submission.

        :param ticket: ticket of the submission.
        :param now_s: current time of the monotonic clock of this
            process, in seconds.
        :returns: whether the submission may run, or why not.
        """
        if (ticket.instance, ticket.incarnation) != (
            self.instance,
            self.incarnation,
        ):
            return ClaimResult.UNKNOWN
        entry = self.entries.get(ticket.ticket_id)
        if entry is not None and not (
            entry.phase is Phase.NOT_RUN and now_s >= ticket.expiry_s
        ):
            return self._claim_recorded(entry)
        # A record may have been removed GRACE_S after the expiry. Before, a
        # submission without a record has not run.
        if now_s >= ticket.expiry_s + GRACE_S:
            return ClaimResult.UNKNOWN
        if not now_s < ticket.expiry_s <= now_s + self.max_ttl_s:
            return ClaimResult.NOT_RUN
        self._remove_expired(now_s)
        if len(self.entries) >= self.capacity:
            return ClaimResult.FULL
        self.entries[ticket.ticket_id] = LedgerEntry(
            ticket.expiry_s, Phase.CLAIMED
        )
        return ClaimResult.RUN

    def _claim_recorded(self, entry: LedgerEntry) -> ClaimResult:
        claim = CLAIM_RESULT_BY_PHASE[entry.phase]
        if claim is ClaimResult.RUN:
            entry.phase = Phase.CLAIMED
        return claim

    def start(self, ticket: Ticket, now_s: float) -> bool:
        """Record that the request is about to be sent.

        :param ticket: a claimed ticket.
        :param now_s: current time of the monotonic clock of this
            process, in seconds.
        :returns: whether the submission may be sent: it is claimed and
            the ticket is still valid.
        """
        entry = self.entries[ticket.ticket_id]
        if entry.phase is not Phase.CLAIMED or now_s >= entry.expiry_s:
            return False
        entry.phase = Phase.STARTED
        return True

    def revert_start(self, ticket: Ticket) -> None:
        """Record that an attempt ended and the request certainly did not run.

        :param ticket: a started ticket.
        """
        self.entries[ticket.ticket_id].phase = Phase.CLAIMED

    def is_open(self, ticket: Ticket) -> bool:
        """Check whether a submission is unfinished.

        :param ticket: a claimed ticket.
        :returns: whether it is claimed or started.
        """
        return self.entries[ticket.ticket_id].phase in UNFINISHED_PHASES

    def is_started(self, ticket: Ticket) -> bool:
        """Check whether a submission may have reached a backend server.

        :param ticket: a claimed ticket.
        :returns: whether a part of the request may have been sent.
        """
        return self.entries[ticket.ticket_id].phase is Phase.STARTED

    def finish(
        self,
        ticket: Ticket,
        phase: Phase,
        response: RecordedResponse | None = None,
    ) -> None:
        """Record how a claimed submission ended.

        :param ticket: a claimed ticket.
        :param phase: ``DONE``, ``UNKNOWN`` or ``NOT_RUN``.
        :param response: the response, for ``DONE``.
        """
        entry = self.entries[ticket.ticket_id]
        entry.phase = phase
        entry.response = response and self._drop_excess_body(response)

    def _drop_excess_body(
        self, response: RecordedResponse
    ) -> RecordedResponse:
        size = len(response.body or b"")
        if size > MAX_RECORDED_BODY_BYTES:
            return replace(response, body=None)
        if self.kept_bytes + size > self.max_kept_bytes:
            return replace(response, body=None)
        self.kept_bytes += size
        return response

    def find_response(self, ticket: Ticket) -> RecordedResponse | None:
        """Find the recorded response of a submission.

        :param ticket: ticket of the submission.
        :returns: the response, or None if none is recorded.
        """
        entry = self.entries.get(ticket.ticket_id)
        return entry.response if entry else None

    def _remove_expired(self, now_s: float) -> None:
        while self.entries:
            ticket_id, entry = next(iter(self.entries.items()))
            unfinished = entry.phase in UNFINISHED_PHASES
            if unfinished or now_s < entry.expiry_s + GRACE_S:
                return
            del self.entries[ticket_id]
            if entry.response is not None:
                self.kept_bytes -= len(entry.response.body or b"")
