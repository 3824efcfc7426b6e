"""Forward requests to the owners of endpoints and serve them there.

A request is forwarded over HTTP/1.1 on persistent connections. The
parameters of the attempt and its result are sent in headers of their
own, which are removed from callers' requests.
"""

from dataclasses import dataclass
from dataclasses import replace

import curio

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.forward_table import ForwardTable
from carawayvale.gateway.forward_table import OwnerProcess
from carawayvale.gateway.gateway_node import GatewayNode
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.upstream import MAX_RESPONSE_BYTES
from carawayvale.gateway.upstream import strip_hop_by_hop_headers
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import ConnectFailed
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import find_header
from carawayvale.links.http import Headers
from carawayvale.links.http_client import HttpClient
from carawayvale.telemetry.logs import log_event

# Each header carries all its fields in a fixed order.
REQUEST_HEADER = b"caraway-order"
RESULT_HEADER = b"caraway-result"
# Milliseconds within which the requests named in the body have to finish.
LIMIT_HEADER = b"caraway-limit"
INTERNAL_HEADERS = frozenset({REQUEST_HEADER, RESULT_HEADER, LIMIT_HEADER})
SEPARATOR = ";"
ID_SEPARATOR = b"\n"

MS_PER_S = 1000.0
CONNECT_TIMEOUT_S = 0.4
LIMIT_TIMEOUT_S = 0.4
MAX_LIMIT_RESPONSE_BYTES = 1024
# Time past the deadline for which the response of an owner is awaited.
RESPONSE_MARGIN_S = 0.15
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
MAX_CAUSE_LENGTH = 120


class OwnerUnreachable(ConnectionError):
    """Error for an owner to which no connection could be opened.

    Nothing was sent to it.
    """


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
    headers = strip_hop_by_hop_headers(list(owner_request.request.headers))
    headers.append((REQUEST_HEADER, value))
    return headers


@dataclass(frozen=True)
class ReceivedOwnerRequest:
    """A forwarded request and the endpoint that it is meant for."""

    endpoint: str
    owner_request: OwnerRequest


def decode_owner_request(
    request: Request, affinity: bytes
) -> ReceivedOwnerRequest:
    """Decode a forwarded request.

    :param request: the request as it was received.
    :param affinity: name of the header that holds the object.
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
    headers = (*result.headers, (RESULT_HEADER, value))
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
    value = find_header(headers, RESULT_HEADER) or b""
    fields = value.decode("latin-1").split(SEPARATOR, 5)
    if len(fields) != 6:
        raise ValueError(f"{RESULT_HEADER.decode()} has {len(fields)} fields")
    kept = strip_internal_headers(
        tuple(strip_hop_by_hop_headers(list(headers)))
    )
    return UpstreamResult(
        UpstreamOutcome(fields[0]),
        int(fields[2]) / MS_PER_S,
        int(fields[1]),
        kept,
        body,
        fields[5],
        bool(int(fields[3])),
        bool(int(fields[4])),
    )


async def forward_request(
    pool: ConnectionPool,
    owner_request: OwnerRequest,
    endpoint: str,
    id_header: bytes,
    forwards: ForwardTable,
    owner: OwnerProcess,
) -> UpstreamResult:
    """Forward a request to the owner of an endpoint.

    :param pool: connections to the owner's internal port.
    :param owner_request: the request and the parameters of the attempt.
    :param endpoint: name of the endpoint.
    :param id_header: name of the header that holds the request's id.
    :param forwards: the connections that are aborted if their owner fails.
    :param owner: process of the owner.
    :returns: the result; OWNER_LOST if the connection to the owner broke,
        FAILED if its response is malformed or has the id of another
        request, LATE if it did not respond in time.
    :raises OwnerUnreachable: if no connection could be opened.
    """
    remaining_s = owner_request.deadline_s - read_boot_clock()
    try:
        client = await pool.acquire(
            min(CONNECT_TIMEOUT_S, max(0.001, remaining_s)),
            not owner_request.idempotent,
        )
    except ConnectFailed as error:
        raise OwnerUnreachable(str(error)) from None
    complete = False
    request_id = owner_request.request.find(id_header) or b""
    forwards.add_request(owner, request_id)
    if owner_request.idempotent:
        forwards.add(owner, client)
    try:
        async with curio.timeout_after(remaining_s + RESPONSE_MARGIN_S):
            result = await _exchange(
                client, owner_request, endpoint, id_header
            )
        complete = True
    except curio.TaskTimeout:
        result = UpstreamResult(
            UpstreamOutcome.LATE,
            cause="no response from owner before the deadline",
        )
    except ConnectionBroken as error:
        result = UpstreamResult(
            UpstreamOutcome.OWNER_LOST, cause=f"owner: {error!r}"
        )
    except ValueError as error:
        result = UpstreamResult(
            UpstreamOutcome.FAILED, cause=f"owner: {error!r}"
        )
    finally:
        forwards.discard_request(owner, request_id)
        forwards.discard(owner, client)
        if not complete:
            await client.close()
    if complete:
        await pool.release(client)
    return result


async def _exchange(
    client: HttpClient,
    owner_request: OwnerRequest,
    endpoint: str,
    id_header: bytes,
) -> UpstreamResult:
    headers = encode_owner_request(owner_request, endpoint, read_boot_clock())
    request = owner_request.request
    await client.send_request(
        request.method, request.target, headers, request.body
    )
    head = await client.read_head()
    body = await client.read_body(MAX_RESPONSE_BYTES)
    echoed_id = head.find(id_header)
    # Instances of earlier versions echo the id only with an answer.
    if echoed_id is not None and echoed_id != request.find(id_header):
        raise ValueError("response to another request")
    return decode_result(head.headers, body)


class OwnerHandler:
    """Handler of requests that other instances forward.

    :param node: state of the instance.
    """

    def __init__(self, node: GatewayNode):
        self.node = node

    async def handle(self, request: Request) -> Response:
        """Serve a forwarded request.

        :param request: the request.
        :returns: a response with the encoded result.
        """
        if request.find(LIMIT_HEADER) is not None:
            return await self._limit_waiting(request)
        try:
            received = decode_owner_request(
                request, self.node.header_names.affinity
            )
        except ValueError as error:
            return Response(HTTP_BAD_REQUEST, body=str(error).encode())
        result = await self._serve(received)
        return encode_result(self._echo_id(request, result))

    async def _limit_waiting(self, request: Request) -> Response:
        """Limit the waiting requests that an instance wants back in time."""
        value = request.find_text(LIMIT_HEADER)
        if not value.isdigit():
            return Response(HTTP_BAD_REQUEST)
        until_s = request.arrived_s + int(value) / MS_PER_S
        request_ids = frozenset(bytes(request.body).split(ID_SEPARATOR))
        await self.node.limit_waiting(until_s, request_ids)
        return Response(HTTP_OK)

    async def _serve(self, received: ReceivedOwnerRequest) -> UpstreamResult:
        if self.node.reachability.is_partitioned:
            return UpstreamResult(UpstreamOutcome.UNUSABLE)
        owned = self.node.find_owned(received.endpoint)
        if owned is None:
            return UpstreamResult(UpstreamOutcome.UNUSABLE)
        limited = self.node.limit_to_stop(received.owner_request)
        return await owned.serve(limited)

    def _echo_id(
        self, request: Request, result: UpstreamResult
    ) -> UpstreamResult:
        """Add the id of the request, unless the endpoint has echoed it."""
        name = self.node.header_names.request_id
        request_id = request.find(name)
        if request_id is None or find_header(result.headers, name) is not None:
            return result
        return replace(result, headers=(*result.headers, (name, request_id)))


async def serve_at_owner(
    node: GatewayNode,
    owner: str,
    owner_request: OwnerRequest,
    endpoint: EndpointRecord,
) -> UpstreamResult:
    """Serve a request at the owner of an endpoint.

    :param node: state of this instance.
    :param owner: name of the owner, which may be this instance.
    :param owner_request: the request and the parameters of the attempt.
    :param endpoint: the endpoint.
    :returns: the result.
    :raises OwnerUnreachable: if the owner cannot be reached.
    """
    owner_request = node.limit_to_stop(owner_request)
    if owner == node.settings.name:
        owned = node.find_owned(endpoint.name)
        if owned is None:
            return UpstreamResult(UpstreamOutcome.UNUSABLE)
        return await owned.serve(owner_request)
    address: Address | None = node.find_internal_address(owner)
    if address is None:
        raise OwnerUnreachable(owner)
    process = OwnerProcess(owner, node.membership.records[owner].incarnation)
    result = await forward_request(
        node.peer_pools.find(address),
        owner_request,
        endpoint.name,
        node.header_names.request_id,
        node.forwards,
        process,
    )
    node.notices.record(endpoint, result, owner)
    return result


async def limit_forwards(node: GatewayNode, until_s: float) -> None:
    """Limit the requests of this instance that wait at other owners.

    An owner returns those that cannot finish by then, without running them.

    :param node: state of this instance.
    :param until_s: time by which they have to be complete.
    """
    async with curio.TaskGroup() as group:
        for owner, request_ids in node.forwards.list_requests().items():
            address = node.find_internal_address(owner.name)
            if address is not None:
                pool = node.peer_pools.find(address)
                await group.spawn(_send_limit, pool, request_ids, until_s)


async def _send_limit(
    pool: ConnectionPool, request_ids: frozenset[bytes], until_s: float
) -> None:
    limit_ms = max(0, int((until_s - read_boot_clock()) * MS_PER_S))
    headers = [
        (b"host", str(pool.address).encode()),
        (LIMIT_HEADER, b"%d" % limit_ms),
    ]
    body = ID_SEPARATOR.join(sorted(request_ids))
    call = OutgoingCall("POST", "/", headers, body)
    try:
        await pool.exchange(call, LIMIT_TIMEOUT_S, MAX_LIMIT_RESPONSE_BYTES)
    except (ConnectionBroken, curio.TaskTimeout) as error:
        log_event("limit_failed", owner=pool.address, cause=repr(error))
