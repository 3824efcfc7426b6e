"""A caller's request as an entry instance understands it."""

from dataclasses import dataclass
import hashlib
import hmac
import secrets
from urllib.parse import quote
from urllib.parse import unquote

from expression import Error
from expression import Ok
from expression import Result

from carawayvale.contracts import headers as names
from carawayvale.contracts.reasons import Reason
from carawayvale.contracts.sections import Rank
from carawayvale.contracts.sections import Service
from carawayvale.contracts.tickets import BadTicket
from carawayvale.contracts.tickets import decode_ticket
from carawayvale.contracts.tickets import Ticket
from carawayvale.links.http import find_header
from carawayvale.links.http import Headers
from carawayvale.links.http import RequestHead
from carawayvale.zones.plan import RoutingPlan

MAX_ID_BYTES = 128
MS_PER_S = 1000.0
BUFFERED_BODY_BYTES = 65536
HOP_TAG_CHARS = 32


@dataclass(frozen=True)
class CallerRequest:
    """A request with everything that decisions need.

    :param head: method, target and headers as received.
    :param request_id: id that the answer must echo.
    :param service: its service.
    :param rank: its rank.
    :param idempotent: whether a second run does no harm.
    :param deadline_s: time by which the answer is due.
    :param attempt: the caller's count of attempts, from 1.
    :param caller: IP address of the caller.
    :param home: region of the caller, or empty.
    :param forwarded: whether another entry instance sent it.
    :param ticket: submission ticket, or None.
    """

    head: RequestHead
    request_id: bytes
    service: Service
    rank: Rank
    idempotent: bool
    deadline_s: float
    attempt: int
    caller: str
    home: str
    forwarded: bool
    ticket: Ticket | None

    @property
    def body_length(self) -> int | None:
        """Declared length of the body; None if it is chunked."""
        if self.head.find(names.TRANSFER_ENCODING) is not None:
            return None
        text = self.head.find(names.CONTENT_LENGTH)
        return int(text) if text else 0

    @property
    def is_buffered(self) -> bool:
        """Whether the body is small enough to be kept for a retry."""
        length = self.body_length
        return length is not None and length <= BUFFERED_BODY_BYTES


def sign_hop(
    key: bytes, request_id: bytes, caller: bytes, home: bytes
) -> bytes:
    """Sign the mark of a request that one instance forwards.

    :param key: the deployment's key.
    :param request_id: id of the request.
    :param caller: address of the caller.
    :param home: home region of the caller.
    :returns: the header's value.
    """
    body = b"|".join((b"hop", request_id, caller, home))
    digest = hmac.new(key, body, hashlib.sha256).hexdigest()
    return digest[:HOP_TAG_CHARS].encode("ascii")


@dataclass(frozen=True)
class RequestReader:
    """Understands requests under one plan.

    :param plan: the plan in force.
    :param key: the deployment's key.
    """

    plan: RoutingPlan
    key: bytes

    def read(
        self, head: RequestHead, peer: str, now_s: float
    ) -> Result[CallerRequest, Reason]:
        """Understand a request from its head.

        :param head: the head.
        :param peer: IP address of the connection's other end.
        :param now_s: the time.
        :returns: the request, or the reason why it is refused.
        """
        found = dict(reversed(head.headers))
        service = self._find_service(found)
        if service is None:
            return Error(Reason.UNKNOWN_SERVICE)
        request_id = found.get(names.REQUEST_ID) or make_request_id()
        forwarded = False
        caller = peer
        home = self.plan.home_regions.find(peer)
        if names.HOP in found:
            claimed = found.get(names.CALLER_ADDRESS, b"")
            sender = found.get(names.HOME, b"")
            tag = sign_hop(self.key, request_id, claimed, sender)
            if not hmac.compare_digest(found[names.HOP], tag):
                return Error(Reason.BAD_REQUEST)
            forwarded = True
            caller = claimed.decode("ascii")
            home = sender.decode("ascii")
        ticket = None
        try:
            timeout_s = read_number(found, names.DEADLINE_MS, 0) / MS_PER_S
            attempt = int(read_number(found, names.ATTEMPT, 1))
            if names.TICKET in found:
                text = found[names.TICKET].decode("ascii")
                ticket = decode_ticket(text, self.key)
        except BadTicket:
            return Error(Reason.BAD_TICKET)
        except ValueError:
            return Error(Reason.BAD_REQUEST)
        if len(request_id) > MAX_ID_BYTES:
            return Error(Reason.BAD_REQUEST)
        treatment = self.plan.classify(service, head.method, head.path, caller)
        limit_s = service.timeout_s
        if timeout_s > 0:
            limit_s = min(limit_s, timeout_s)
        return Ok(
            CallerRequest(
                head,
                request_id,
                service,
                treatment.rank,
                treatment.idempotent,
                now_s + limit_s,
                attempt,
                caller,
                home,
                forwarded,
                ticket,
            )
        )

    def _find_service(self, found: dict[bytes, bytes]) -> Service | None:
        name = found.get(names.SERVICE)
        if name is None:
            name = found.get(names.HOST, b"").partition(b":")[0]
        return self.plan.services.get(name.decode("latin-1"))


def make_request_id() -> bytes:
    """Make the id of a request that brings none.

    :returns: a random id.
    """
    return secrets.token_hex(8).encode("ascii")


def read_number(
    found: dict[bytes, bytes], name: bytes, default: float
) -> float:
    """Read a header that holds a number.

    :param found: headers by name.
    :param name: name of the header.
    :param default: value without the header.
    :returns: the number.
    :raises ValueError: if it is no number from 0 upwards.
    """
    text = found.get(name)
    if text is None:
        return default
    number = float(text)
    if not 0 <= number < float("inf"):
        raise ValueError(f"{name!r} is out of range")
    return number


def make_backend_headers(
    request: CallerRequest, now_s: float, attempt: int, traceparent: bytes
) -> Headers:
    """Make the headers of an attempt at a backend server.

    :param request: the request.
    :param now_s: the time.
    :param attempt: count of attempts, from 1.
    :param traceparent: trace context of the attempt.
    :returns: the caller's end-to-end headers and the system's own.
    """
    left_ms = max(1, int((request.deadline_s - now_s) * MS_PER_S))
    kept = copy_end_to_end(request.head.headers)
    return [
        (names.HOST, request.service.name.encode()),
        (names.REQUEST_ID, request.request_id),
        (names.DEADLINE_MS, b"%d" % left_ms),
        (names.ATTEMPT, b"%d" % attempt),
        (names.TRACEPARENT, traceparent),
        *kept,
    ]


def make_forward_headers(
    request: CallerRequest,
    now_s: float,
    traceparent: bytes,
    region: str,
    key: bytes,
    with_ticket: bool,
) -> Headers:
    """Make the headers of a request forwarded to its owner.

    :param request: the request.
    :param now_s: the time.
    :param traceparent: trace context of the hop.
    :param region: region of this instance, the home of a caller that
        no network of the document names.
    :param key: the deployment's key.
    :param with_ticket: whether the other instance is to claim the
        submission.
    :returns: the headers.
    """
    attempt = request.attempt
    base = make_backend_headers(request, now_s, attempt, traceparent)
    caller = request.caller.encode("ascii")
    home = (request.home or region).encode("ascii")
    tag = sign_hop(key, request.request_id, caller, home)
    base.append((names.CALLER_ADDRESS, caller))
    base.append((names.HOME, home))
    base.append((names.HOP, tag))
    ticket = request.head.find(names.TICKET)
    if ticket is not None and with_ticket:
        base.append((names.TICKET, ticket))
    return base


def copy_end_to_end(headers: tuple[tuple[bytes, bytes], ...]) -> Headers:
    """Copy the headers that pass through unchanged.

    :param headers: headers of a request.
    :returns: those that are neither the system's nor hop by hop.
    """
    dropped = names.SYSTEM_HEADERS | names.HOP_BY_HOP
    return [pair for pair in headers if pair[0] not in dropped]


def make_framing(request: CallerRequest) -> Headers:
    """Make the header that frames a streamed body.

    :param request: the request.
    :returns: the header.
    """
    length = request.body_length
    if length is None:
        return [(names.TRANSFER_ENCODING, b"chunked")]
    return [(names.CONTENT_LENGTH, b"%d" % length)]


def make_cancel_target(request_id: bytes) -> str:
    """Make the target of a call that cancels a request.

    :param request_id: id of the request.
    :returns: the path.
    """
    return names.CANCEL_PATH + quote(request_id.decode("latin-1"), safe="")


def parse_cancel_target(path: str) -> bytes:
    """Read the id of the request that a call cancels.

    :param path: path from :func:`make_cancel_target`.
    :returns: the id.
    """
    text = unquote(path.removeprefix(names.CANCEL_PATH))
    return text.encode("latin-1")


ANSWER_DROPPED = names.HOP_BY_HOP | names.BACKEND_HEADERS


def copy_answer_headers(headers: tuple[tuple[bytes, bytes], ...]) -> Headers:
    """Copy a backend server's headers for the caller.

    :param headers: headers of the answer.
    :returns: those that are neither the system's nor hop by hop.
    """
    return [pair for pair in headers if pair[0] not in ANSWER_DROPPED]


def is_echo(
    headers: tuple[tuple[bytes, bytes], ...], request_id: bytes
) -> bool:
    """Tell whether an answer echoes the request's id.

    :param headers: headers of the answer.
    :param request_id: id of the request.
    :returns: whether the answer belongs to the request.
    """
    return find_header(headers, names.REQUEST_ID) == request_id
