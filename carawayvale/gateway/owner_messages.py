"""Encode the requests and results that instances exchange in headers.

A request is forwarded over HTTP/1.1. The parameters of the attempt and its
result are sent in headers of their own, which are removed from callers'
requests.
"""

from dataclasses import dataclass

from carawayvale.contracts.headers import HOP_BY_HOP
from carawayvale.contracts.headers import strip_hop_by_hop
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.links.http import find_header
from carawayvale.links.http import Headers
from carawayvale.links.response_checks import is_valid_status
from carawayvale.steering.expected_waits import parse_wait

# Each header carries all its fields in a fixed order.
REQUEST_HEADER = b"caraway-order"
RESULT_HEADER = b"caraway-result"
# Milliseconds within which the requests named in the body have to finish.
LIMIT_HEADER = b"caraway-limit"
# What the owner expects of the endpoint. Instances of earlier versions drop
# it, since the connection header names it.
LOAD_HEADER = b"caraway-load"
# Kind and numbers of a call about the quota of an organisation.
QUOTA_HEADER = b"caraway-quota"
INTERNAL_HEADERS = frozenset(
    {REQUEST_HEADER, RESULT_HEADER, LIMIT_HEADER, LOAD_HEADER, QUOTA_HEADER}
)
SEPARATOR = ";"

MS_PER_S = 1000.0
HTTP_OK = 200
MAX_CAUSE_LENGTH = 120

# No request waits longer; a larger number cannot be a time in seconds.
MAX_FINISH_MS = 86_400_000


def strip_internal_headers(
    headers: tuple[tuple[bytes, bytes], ...],
) -> tuple[tuple[bytes, bytes], ...]:
    """Drop the headers that only instances may set.

    :param headers: all headers.
    :returns: the other headers.
    """
    return tuple((n, v) for n, v in headers if n not in INTERNAL_HEADERS)


def encode_owner_request(
    owner_request: OwnerRequest, endpoint: str, now_s: float
) -> Headers:
    """Encode the parameters of an attempt as headers.

    :param owner_request: the request and the parameters of the attempt.
    :param endpoint: name of the endpoint that should run the request.
    :param now_s: the time.
    :returns: headers of the forwarded request.
    """
    fields = (
        endpoint,
        owner_request.rank,
        int(owner_request.idempotent),
        int(owner_request.may_be_late),
        int(owner_request.may_warm_up),
        int(owner_request.may_use_failing),
        int((owner_request.objective_s - now_s) * MS_PER_S),
        int((owner_request.deadline_s - now_s) * MS_PER_S),
    )
    value = SEPARATOR.join(map(str, fields)).encode("latin-1")
    headers = [
        (name, field)
        for name, field in owner_request.request.headers
        if name not in HOP_BY_HOP
    ]
    headers.append((REQUEST_HEADER, value))
    return headers


@dataclass(frozen=True)
class ReceivedOwnerRequest:
    """A forwarded request and the endpoint that it is meant for."""

    endpoint: str
    owner_request: OwnerRequest


def decode_owner_request(
    request: Request, affinity: bytes, organisation: str = ""
) -> ReceivedOwnerRequest:
    """Decode a forwarded request.

    :param request: the request as it was received.
    :param affinity: name of the header that holds the object.
    :param organisation: name of the caller's organisation; empty if
        callers need no keys.
    :returns: the request and the parameters of the attempt.
    :raises ValueError: if the header is missing or malformed.
    """
    fields = request.find_text(REQUEST_HEADER).split(SEPARATOR)
    if len(fields) != 8:
        raise ValueError(f"{REQUEST_HEADER.decode()} has {len(fields)} fields")
    numbers = map(int, fields[1:])
    rank, idempotent, late, warm_up, failing, objective_ms, deadline_ms = (
        numbers
    )
    arrived_s = request.arrived_s
    original = Request(
        request.method,
        request.target,
        strip_internal_headers(request.headers),
        request.body,
        arrived_s,
        organisation,
        request.response_memory,
    )
    owner_request = OwnerRequest(
        original,
        rank,
        request.find_text(affinity),
        bool(idempotent),
        arrived_s + objective_ms / MS_PER_S,
        arrived_s + deadline_ms / MS_PER_S,
        bool(late),
        bool(warm_up),
        bool(failing),
    )
    return ReceivedOwnerRequest(fields[0], owner_request)


def encode_result(result: UpstreamResult) -> Response:
    """Encode the result of an attempt as a response.

    :param result: the result.
    :returns: the response to the instance that forwarded the request.
    """
    cause = result.cause.encode("ascii", "replace").decode("ascii")
    fields = (
        result.outcome.value,
        result.status,
        int(result.finish_s * MS_PER_S),
        int(result.failing),
        int(result.busy),
        cause.replace("\n", " ")[:MAX_CAUSE_LENGTH],
    )
    value = SEPARATOR.join(map(str, fields)).encode("ascii")
    # The endpoint may have sent such headers too.
    kept = strip_internal_headers(result.headers)
    headers = (*kept, (RESULT_HEADER, value))
    if result.expected_wait is not None:
        load = (LOAD_HEADER, result.expected_wait.format())
        headers = (*headers, load, (b"connection", LOAD_HEADER))
    return Response(HTTP_OK, headers, result.body)


def decode_result(
    headers: tuple[tuple[bytes, bytes], ...], body: bytes
) -> UpstreamResult:
    """Decode the result of an attempt.

    :param headers: headers of the owner's response.
    :param body: body of the owner's response.
    :returns: the result.
    :raises ValueError: if the header is missing or malformed.
    """
    # Owners of earlier versions pass on such a header of the endpoint, and
    # add their own after it.
    value = find_header(reversed(headers), RESULT_HEADER) or b""
    fields = value.decode("latin-1").split(SEPARATOR, 5)
    if len(fields) != 6:
        raise ValueError(f"{RESULT_HEADER.decode()} has {len(fields)} fields")
    outcome, status = UpstreamOutcome(fields[0]), int(fields[1])
    is_answer = outcome is UpstreamOutcome.ANSWERED
    if not is_valid_status(status) and (is_answer or status != 0):
        raise ValueError(f"{outcome.value} with status {status}")
    finish_ms = int(fields[2])
    if abs(finish_ms) > MAX_FINISH_MS:
        raise ValueError(f"{outcome.value} for more than a day")
    kept = strip_internal_headers(tuple(strip_hop_by_hop(headers)))
    return UpstreamResult(
        outcome,
        finish_ms / MS_PER_S,
        status,
        kept,
        body,
        fields[5],
        bool(int(fields[3])),
        bool(int(fields[4])),
        expected_wait=parse_wait(find_header(headers, LOAD_HEADER)),
    )
