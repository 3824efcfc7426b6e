"""Parsing of callers' requests and the headers of forwarded requests."""

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

MAX_REQUEST_ID_BYTES = 128
MS_PER_S = 1000.0
MAX_BUFFERED_BODY_BYTES = 65536
HOP_SIGNATURE_CHARS = 32


@dataclass(frozen=True)
class CallerRequest:
    """Parsed request of a caller.

    :param head: method, target and headers as received.
    :param request_id: id that the response must echo.
    :param service: service of the request.
    :param rank: rank of the request.
    :param idempotent: whether the request may safely run twice.
    :param deadline_s: time by which the response is due.
    :param attempt: number of the caller's attempt, from 1.
    :param caller: IP address of the caller.
    :param home: home region of the caller, or empty if it is unknown.
    :param forwarded: whether another entry instance forwarded the request.
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
        """Whether the body is small enough to be buffered for a retry."""
        length = self.body_length
        return length is not None and length <= MAX_BUFFERED_BODY_BYTES


def sign_hop(
    key: bytes, request_id: bytes, caller: bytes, home: bytes
) -> bytes:
    """Sign a request that one instance forwards to another.

    :param key: the deployment's key.
    :param request_id: id of the request.
    :param caller: address of the caller.
    :param home: home region of the caller.
    :returns: the value of the hop header.
    """
    body = b"|".join((b"hop", request_id, caller, home))
    digest = hmac.new(key, body, hashlib.sha256).hexdigest()
    return digest[:HOP_SIGNATURE_CHARS].encode("ascii")


@dataclass(frozen=True)
class CallerRequestParser:
    """Parser of callers' requests under one routing plan.

    :param plan: routing plan of the document in force.
    :param key: the deployment's key.
    """

    plan: RoutingPlan
    key: bytes

    def parse(
        self, head: RequestHead, peer: str, now_s: float
    ) -> Result[CallerRequest, Reason]:
        """Parse a request from its head.

        :param head: the head.
        :param peer: IP address of the remote end of the connection.
        :param now_s: the current time.
        :returns: the request, or the reason why it is refused.
        """
        # The first value of a repeated header counts.
        headers = dict(reversed(head.headers))
        service = self._find_service(headers)
        if service is None:
            return Error(Reason.UNKNOWN_SERVICE)
        request_id = headers.get(names.REQUEST_ID) or make_request_id()
        forwarded = False
        caller = peer
        home = self.plan.home_regions.find(peer)
        if names.HOP in headers:
            caller_address = headers.get(names.CALLER_ADDRESS, b"")
            home_header = headers.get(names.HOME, b"")
            signature = sign_hop(
                self.key, request_id, caller_address, home_header
            )
            if not hmac.compare_digest(headers[names.HOP], signature):
                return Error(Reason.BAD_REQUEST)
            forwarded = True
            caller = caller_address.decode("ascii")
            home = home_header.decode("ascii")
        ticket = None
        try:
            timeout_s = (
                parse_number_header(headers, names.DEADLINE_MS, 0) / MS_PER_S
            )
            attempt = int(parse_number_header(headers, names.ATTEMPT, 1))
            if names.TICKET in headers:
                text = headers[names.TICKET].decode("ascii")
                ticket = decode_ticket(text, self.key)
        except BadTicket:
            return Error(Reason.BAD_TICKET)
        except ValueError:
            return Error(Reason.BAD_REQUEST)
        if len(request_id) > MAX_REQUEST_ID_BYTES:
            return Error(Reason.BAD_REQUEST)
        policy = self.plan.classify(service, head.method, head.path, caller)
        allowed_s = service.timeout_s
        if timeout_s > 0:
            allowed_s = min(allowed_s, timeout_s)
        return Ok(
            CallerRequest(
                head,
                request_id,
                service,
                policy.rank,
                policy.idempotent,
                now_s + allowed_s,
                attempt,
                caller,
                home,
                forwarded,
                ticket,
            )
        )

    def _find_service(self, headers: dict[bytes, bytes]) -> Service | None:
        name = headers.get(names.SERVICE)
        if name is None:
            name = headers.get(names.HOST, b"").partition(b":")[0]
        return self.plan.services.get(name.decode("latin-1"))


def make_request_id() -> bytes:
    """Make the id of a request that has none.

    :returns: a random id.
    """
    return secrets.token_hex(8).encode("ascii")


def parse_number_header(
    headers: dict[bytes, bytes], name: bytes, default: float
) -> float:
    """Parse a header that contains a number.

    :param headers: headers by name.
    :param name: name of the header.
    :param default: value if the header is missing.
    :returns: the number.
    :raises ValueError: if the value is not a finite number of at least 0.
    """
    text = headers.get(name)
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
    :param now_s: the current time.
    :param attempt: number of the attempt, from 1.
    :param traceparent: trace context of the attempt.
    :returns: the headers that the instance adds and the caller's
        end-to-end headers.
    """
    remaining_ms = max(1, int((request.deadline_s - now_s) * MS_PER_S))
    end_to_end = copy_end_to_end_headers(request.head.headers)
    return [
        (names.HOST, request.service.name.encode()),
        (names.REQUEST_ID, request.request_id),
        (names.DEADLINE_MS, b"%d" % remaining_ms),
        (names.ATTEMPT, b"%d" % attempt),
        (names.TRACEPARENT, traceparent),
        *end_to_end,
    ]


def make_forward_headers(
    request: CallerRequest,
    now_s: float,
    traceparent: bytes,
    region: str,
    key: bytes,
    with_ticket: bool,
) -> Headers:
    """Make the headers of a request that is forwarded to its owner.

    :param request: the request.
    :param now_s: the current time.
    :param traceparent: trace context of the hop.
    :param region: region of this instance; home region of a caller whose
        address is in no network of the document.
    :param key: the deployment's key.
    :param with_ticket: whether to include the ticket, so that the other
        instance claims the submission.
    :returns: the headers.
    """
    attempt = request.attempt
    headers = make_backend_headers(request, now_s, attempt, traceparent)
    caller = request.caller.encode("ascii")
    home = (request.home or region).encode("ascii")
    signature = sign_hop(key, request.request_id, caller, home)
    headers.append((names.CALLER_ADDRESS, caller))
    headers.append((names.HOME, home))
    headers.append((names.HOP, signature))
    ticket = request.head.find(names.TICKET)
    if ticket is not None and with_ticket:
        headers.append((names.TICKET, ticket))
    return headers


def copy_end_to_end_headers(
    headers: tuple[tuple[bytes, bytes], ...],
) -> Headers:
    """Copy the end-to-end headers of a request.

    :param headers: headers of the request.
    :returns: the headers that are neither hop-by-hop nor set by the
        entry instances.
    """
    end_to_end = names.strip_hop_by_hop(headers)
    return [pair for pair in end_to_end if pair[0] not in names.SYSTEM_HEADERS]


def make_framing_header(request: CallerRequest) -> Headers:
    """Make the header that frames a streamed body.

    :param request: the request.
    :returns: the header.
    """
    length = request.body_length
    if length is None:
        return [(names.TRANSFER_ENCODING, b"chunked")]
    return [(names.CONTENT_LENGTH, b"%d" % length)]


def make_cancel_target(request_id: bytes) -> str:
    """Make the target of the call that cancels a request.

    :param request_id: id of the request.
    :returns: the path.
    """
    return names.CANCEL_PATH + quote(request_id.decode("latin-1"), safe="")


def parse_cancel_target(path: str) -> bytes:
    """Parse the id of the request that a call cancels.

    :param path: path made by :func:`make_cancel_target`.
    :returns: the id.
    """
    text = unquote(path.removeprefix(names.CANCEL_PATH))
    return text.encode("latin-1")


def copy_response_headers(headers: tuple[tuple[bytes, bytes], ...]) -> Headers:
    """Copy the headers of a backend server's response for the caller.

    :param headers: headers of the response.
    :returns: the headers that are neither hop-by-hop nor meant for the
        entry instance.
    """
    end_to_end = names.strip_hop_by_hop(headers)
    return [
        pair for pair in end_to_end if pair[0] not in names.BACKEND_HEADERS
    ]


def echoes_request_id(
    headers: tuple[tuple[bytes, bytes], ...], request_id: bytes
) -> bool:
    """Check whether a response echoes the id of the request.

    :param headers: headers of the response.
    :param request_id: id of the request.
    :returns: whether the response belongs to the request.
    """
    return find_header(headers, names.REQUEST_ID) == request_id
