"""Submission tickets: at most one run of a non-idempotent request."""

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
TAG_BYTES = 16
GRACE_S = 60.0
LEDGER_CAPACITY = 100_000
MAX_BODY_BYTES = 4096
MAX_KEPT_BYTES = 32_000_000


class BadTicket(ValueError):
    """A ticket that is malformed or was not signed by the deployment."""


@dataclass(frozen=True)
class Ticket:
    """Permits one named incarnation to run one request.

    :param instance: name of the entry instance.
    :param incarnation: the process of that instance.
    :param expiry_s: end of validity on that process's own clock.
    :param ticket_id: random id.
    """

    instance: str
    incarnation: int
    expiry_s: float
    ticket_id: bytes


def issue_ticket(instance: str, incarnation: int, expiry_s: float) -> Ticket:
    """Issue a ticket with a random id.

    :param instance: name of the entry instance.
    :param incarnation: the process of that instance.
    :param expiry_s: end of validity on that process's own clock.
    :returns: the ticket.
    """
    ticket_id = secrets.token_bytes(TICKET_ID_BYTES)
    return Ticket(instance, incarnation, expiry_s, ticket_id)


def encode_ticket(ticket: Ticket, key: bytes) -> str:
    """Sign a ticket and encode it for an HTTP header.

    :param ticket: the ticket.
    :param key: the deployment's key.
    :returns: URL-safe text.
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

    :param text: text from :func:`encode_ticket`.
    :param key: the deployment's key.
    :returns: the ticket.
    :raises BadTicket: if it is malformed or not signed with the key.
    """
    try:
        data = base64.urlsafe_b64decode(text.encode())
    except ValueError:
        raise BadTicket("ticket is not base64") from None
    tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
    if not hmac.compare_digest(tag, _sign(body, key)):
        raise BadTicket("ticket has a wrong signature")
    return Ticket(*cbor2.loads(body))


def _sign(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, b"ticket" + body, hashlib.sha256)[:TAG_BYTES]


class ClaimResult(Enum):
    """What a ledger says of a submission that arrives."""

    RUN = "run"
    IN_PROGRESS = "in_progress"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"
    FULL = "full"


class Phase(Enum):
    """State of one submission in the ledger."""

    CLAIMED = "claimed"
    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


OPEN_PHASES = frozenset({Phase.CLAIMED, Phase.STARTED})
CLAIM_OF_PHASE = {
    Phase.CLAIMED: ClaimResult.IN_PROGRESS,
    Phase.STARTED: ClaimResult.IN_PROGRESS,
    Phase.DONE: ClaimResult.DONE,
    Phase.UNKNOWN: ClaimResult.UNKNOWN,
    Phase.NOT_RUN: ClaimResult.RUN,
}


@dataclass(frozen=True)
class RecordedResponse:
    """The remembered answer of a submission.

    :param status: HTTP status.
    :param headers: headers of the answer.
    :param body: the answer's body if it was small, else None.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes | None = None


@dataclass
class LedgerEntry:
    """One submission in the ledger."""

    expiry_s: float
    phase: Phase
    outcome: RecordedResponse | None = None


@dataclass
class TicketLedger:
    """Remembers submissions until their tickets expire.

    Only the process that a ticket names may run its request. The memory
    is bounded: a full ledger refuses new submissions and never forgets
    one whose ticket is valid.

    :param instance: name of this instance.
    :param incarnation: this process.
    :param capacity: most submissions that are remembered.
    :param max_ttl_s: longest validity that a ticket may have left.
    :param max_kept_bytes: most bytes of answers that are kept; a longer
        answer, or one beyond that, is remembered without its body.

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

        :param ticket: the submission's ticket.
        :param now_s: this process's monotonic clock in seconds.
        :returns: what may be done with the submission.
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
            return self._claim_known(entry)
        if now_s >= ticket.expiry_s + GRACE_S:
            return ClaimResult.UNKNOWN
        if not now_s < ticket.expiry_s <= now_s + self.max_ttl_s:
            return ClaimResult.NOT_RUN
        self._forget_expired(now_s)
        if len(self.entries) >= self.capacity:
            return ClaimResult.FULL
        self.entries[ticket.ticket_id] = LedgerEntry(
            ticket.expiry_s, Phase.CLAIMED
        )
        return ClaimResult.RUN

    def _claim_known(self, entry: LedgerEntry) -> ClaimResult:
        claim = CLAIM_OF_PHASE[entry.phase]
        if claim is ClaimResult.RUN:
            entry.phase = Phase.CLAIMED
        return claim

    def start(self, ticket: Ticket, now_s: float) -> bool:
        """Record that the first byte is about to be written.

        :param ticket: a claimed ticket.
        :param now_s: this process's monotonic clock in seconds.
        :returns: whether the ticket is still valid; if not, the
            submission must not be sent.
        """
        entry = self.entries[ticket.ticket_id]
        if entry.phase is not Phase.CLAIMED or now_s >= entry.expiry_s:
            return False
        entry.phase = Phase.STARTED
        return True

    def revert_start(self, ticket: Ticket) -> None:
        """Record that an attempt ended and provably ran nothing.

        :param ticket: a started ticket.
        """
        self.entries[ticket.ticket_id].phase = Phase.CLAIMED

    def is_open(self, ticket: Ticket) -> bool:
        """Tell whether a submission has no outcome yet.

        :param ticket: a claimed ticket.
        :returns: whether it is claimed or started.
        """
        return self.entries[ticket.ticket_id].phase in OPEN_PHASES

    def is_started(self, ticket: Ticket) -> bool:
        """Tell whether a submission may have reached a backend server.

        :param ticket: a claimed ticket.
        :returns: whether its first byte may have been written.
        """
        return self.entries[ticket.ticket_id].phase is Phase.STARTED

    def finish(
        self,
        ticket: Ticket,
        phase: Phase,
        outcome: RecordedResponse | None = None,
    ) -> None:
        """Record how a claimed submission ended.

        :param ticket: a claimed ticket.
        :param phase: ``DONE``, ``UNKNOWN`` or ``NOT_RUN``.
        :param outcome: the answer, for ``DONE``.
        """
        entry = self.entries[ticket.ticket_id]
        entry.phase = phase
        entry.outcome = outcome and self._bound(outcome)

    def _bound(self, outcome: RecordedResponse) -> RecordedResponse:
        size = len(outcome.body or b"")
        if size > MAX_BODY_BYTES:
            return replace(outcome, body=None)
        if self.kept_bytes + size > self.max_kept_bytes:
            return replace(outcome, body=None)
        self.kept_bytes += size
        return outcome

    def find_response(self, ticket: Ticket) -> RecordedResponse | None:
        """Find the remembered answer of a submission.

        :param ticket: its ticket.
        :returns: the answer, or None if there is none.
        """
        entry = self.entries.get(ticket.ticket_id)
        return entry.outcome if entry else None

    def _forget_expired(self, now_s: float) -> None:
        while self.entries:
            ticket_id, entry = next(iter(self.entries.items()))
            running = entry.phase in OPEN_PHASES
            if running or now_s < entry.expiry_s + GRACE_S:
                return
            del self.entries[ticket_id]
            if entry.outcome is not None:
                self.kept_bytes -= len(entry.outcome.body or b"")
