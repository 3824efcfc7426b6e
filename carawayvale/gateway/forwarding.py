"""Forwards a request to the owner of an endpoint, and receives it there.

The request travels over HTTP/1.1 on kept connections; what the owner has
to know besides travels in headers of our own, which callers cannot set.
"""

from dataclasses import dataclass

import curio

from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.gateway_node import GatewayNode
from carawayvale.gateway.owned_endpoint import OwnerRequest
from carawayvale.gateway.server import Request
from carawayvale.gateway.server import Response
from carawayvale.gateway.upstream import MAX_ANSWER_BYTES
from carawayvale.gateway.upstream import strip_hop_headers
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.http import ConnectFailed
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import find_header
from carawayvale.links.http import Headers
from carawayvale.links.http_client import HttpClient

# One header carries all fields, in a fixed order.
ORDER = b"caraway-order"
RESULT = b"caraway-result"
OWN_HEADERS = frozenset({ORDER, RESULT})
SEPARATOR = ";"

MS_PER_S = 1000.0
CONNECT_TIMEOUT_S = 0.4
ANSWER_MARGIN_S = 0.15
HTTP_OK = 200
MAX_CAUSE = 120


class OwnerUnreachable(ConnectionError):
    """No connection to an owner came about; nothing was sent."""


def drop_own_headers(
    headers: tuple[tuple[bytes, bytes], ...],
) -> tuple[tuple[bytes, bytes], ...]:
    """Drop headers that only instances may set.

    :param headers: a caller's headers.
    :returns: the others.
    """
    return tuple((n, v) for n, v in headers if n not in OWN_HEADERS)


def encode_order(order: OwnerRequest, endpoint: str, now_s: float) -> Headers:
    """Encode a request and its times as headers.

    :param order: the request.
    :param endpoint: the endpoint that is to run it.
    :param now_s: the time.
    :returns: headers.
    """
    fields = (
        endpoint,
        order.rank,
        int(order.idempotent),
        int(order.may_be_late),
        int(order.may_learn),
        int(order.may_fail),
        int((order.objective_s - now_s) * MS_PER_S),
        int((order.limit_s - now_s) * MS_PER_S),
    )
    value = SEPARATOR.join(map(str, fields)).encode("latin-1")
    headers = strip_hop_headers(list(order.request.headers))
    headers.append((ORDER, value))
    return headers


@dataclass(frozen=True)
class ReceivedOwnerRequest:
    """A forwarded request and the endpoint that it is meant for."""

    endpoint: str
    order: OwnerRequest


def decode_order(request: Request, affinity: bytes) -> ReceivedOwnerRequest:
    """Decode a forwarded request.

    :param request: the request as it was received.
    :param affinity: name of the header with the object.
    :returns: the request and its times.
    :raises ValueError: if the header is missing or malformed.
    """
    fields = request.find_text(ORDER).split(SEPARATOR)
    if len(fields) != 8:
        raise ValueError(f"{ORDER.decode()} has {len(fields)} fields")
    numbers = map(int, fields[1:])
    rank, idempotent, late, learn, fail, objective_ms, limit_ms = numbers
    arrived_s = request.arrived_s
    original = Request(
        request.method,
        request.target,
        drop_own_headers(request.headers),
        request.body,
        arrived_s,
    )
    order = OwnerRequest(
        original,
        rank,
        request.find_text(affinity),
        bool(idempotent),
        arrived_s + objective_ms / MS_PER_S,
        arrived_s + limit_ms / MS_PER_S,
        bool(late),
        bool(learn),
        bool(fail),
    )
    return ReceivedOwnerRequest(fields[0], order)


def encode_result(result: UpstreamResult) -> Response:
    """Encode the end of an attempt as an answer.

    :param result: the result.
    :returns: the answer.
    """
    cause = result.cause.encode("ascii", "replace").decode("ascii")
    fields = (
        result.outcome.value,
        result.status,
        int(result.finish_s * MS_PER_S),
        int(result.failing),
        int(result.busy),
        cause.replace("\n", " ")[:MAX_CAUSE],
    )
    value = SEPARATOR.join(map(str, fields)).encode("ascii")
    headers = (*result.headers, (RESULT, value))
    return Response(HTTP_OK, headers, result.body)


def decode_result(
    headers: tuple[tuple[bytes, bytes], ...], body: bytes
) -> UpstreamResult:
    """Decode the end of an attempt.

    :param headers: headers of the answer.
    :param body: its body.
    :returns: the result.
    :raises ValueError: if the header is missing or malformed.
    """
    value = find_header(headers, RESULT) or b""
    fields = value.decode("latin-1").split(SEPARATOR, 5)
    if len(fields) != 6:
        raise ValueError(f"{RESULT.decode()} has {len(fields)} fields")
    kept = drop_own_headers(tuple(strip_hop_headers(list(headers))))
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


async def forward_order(
    pool: ConnectionPool,
    order: OwnerRequest,
    endpoint: str,
    active: set[HttpClient],
) -> UpstreamResult:
    """Forward a request to the owner of an endpoint.

    :param pool: connections to the owner's port.
    :param order: the request.
    :param endpoint: name of the endpoint.
    :param active: connections to the owner whose requests may be
        ended if it falls silent.
    :returns: the result; FAILED if the owner broke off.
    :raises OwnerUnreachable: if no connection came about.
    """
    left_s = order.limit_s - read_boot_clock()
    try:
        client = await pool.acquire(
            min(CONNECT_TIMEOUT_S, max(0.001, left_s)), not order.idempotent
        )
    except ConnectFailed as error:
        raise OwnerUnreachable(str(error)) from None
    done = False
    if order.idempotent:
        active.add(client)
    try:
        async with curio.timeout_after(left_s + ANSWER_MARGIN_S):
            result = await _exchange(client, order, endpoint)
        done = True
    except curio.TaskTimeout:
        result = UpstreamResult(
            UpstreamOutcome.LATE, cause="owner did not answer"
        )
    except (ConnectionBroken, ValueError) as error:
        result = UpstreamResult(
            UpstreamOutcome.FAILED, cause=f"owner: {error!r}"
        )
    finally:
        active.discard(client)
        if not done:
            await client.close()
    if done:
        await pool.release(client)
    return result


async def _exchange(
    client: HttpClient, order: OwnerRequest, endpoint: str
) -> UpstreamResult:
    headers = encode_order(order, endpoint, read_boot_clock())
    request = order.request
    await client.send_request(
        request.method, request.target, headers, request.body
    )
    head = await client.read_head()
    body = await client.read_body(MAX_ANSWER_BYTES)
    return decode_result(head.headers, body)


class OwnerHandler:
    """Serves the requests that other instances forward.

    :param node: the instance.
    """

    def __init__(self, node: GatewayNode):
        self.node = node

    async def handle(self, request: Request) -> Response:
        """Serve a forwarded request.

        :param request: the request.
        :returns: the result as an answer.
        """
        try:
            received = decode_order(request, self.node.dialect.affinity)
        except ValueError as error:
            return Response(400, body=str(error).encode())
        owned = self.node.find_owned(received.endpoint)
        if owned is None:
            return encode_result(UpstreamResult(UpstreamOutcome.UNUSABLE))
        return encode_result(await owned.serve(received.order))


async def serve_at(
    node: GatewayNode, owner: str, order: OwnerRequest, endpoint: str
) -> UpstreamResult:
    """Serve a request at the owner of an endpoint.

    :param node: this instance.
    :param owner: name of the owner, which may be this instance.
    :param order: the request.
    :param endpoint: name of the endpoint.
    :returns: the result.
    :raises OwnerUnreachable: if the owner cannot be reached.
    """
    if owner == node.settings.name:
        owned = node.find_owned(endpoint)
        if owned is None:
            return UpstreamResult(UpstreamOutcome.UNUSABLE)
        return await owned.serve(order)
    address: Address | None = node.find_internal(owner)
    if address is None:
        raise OwnerUnreachable(owner)
    active = node.forwards.setdefault(owner, set())
    pool = node.peer_pools.find(address)
    return await forward_order(pool, order, endpoint, active)
