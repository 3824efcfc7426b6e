"""Forward requests to the owners of endpoints and serve them there.

A request is forwarded over HTTP/1.1 on persistent connections; see
:mod:`carawayvale.gateway.owner_messages` for its headers.
"""

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
from carawayvale.gateway.owner_messages import decode_owner_request
from carawayvale.gateway.owner_messages import decode_result
from carawayvale.gateway.owner_messages import encode_owner_request
from carawayvale.gateway.owner_messages import encode_result
from carawayvale.gateway.owner_messages import LIMIT_HEADER
from carawayvale.gateway.owner_messages import QUOTA_HEADER
from carawayvale.gateway.owner_messages import ReceivedOwnerRequest
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.response_memory import AttemptMemory
from carawayvale.gateway.response_memory import MAX_RESPONSE_BYTES
from carawayvale.gateway.response_memory import NoMemory
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import ConnectFailed
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import ConnectRefused
from carawayvale.links.http import find_header
from carawayvale.links.http import InvalidResponse
from carawayvale.links.http_client import HttpClient
from carawayvale.telemetry.logs import log_event

ID_SEPARATOR = b"\n"

MS_PER_S = 1000.0
CONNECT_TIMEOUT_S = 0.4
LIMIT_TIMEOUT_S = 0.4
MAX_LIMIT_RESPONSE_BYTES = 1024
# Time past the deadline for which the response of an owner is awaited.
RESPONSE_MARGIN_S = 0.15
HTTP_OK = 200
HTTP_BAD_REQUEST = 400


class OwnerUnreachable(ConnectionError):
    """Error for an owner to which no connection could be opened.

    Nothing was sent to it.
    """


class OwnerRefused(OwnerUnreachable):
    """Error for an owner whose machine refused the connection."""


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
    except ConnectRefused as error:
        raise OwnerRefused(str(error)) from None
    except ConnectFailed as error:
        raise OwnerUnreachable(str(error)) from None
    complete = False
    hold = AttemptMemory(owner_request.request.response_memory)
    request_id = owner_request.request.find(id_header) or b""
    forwards.add_request(owner, request_id)
    if owner_request.idempotent:
        forwards.add(owner, client)
    try:
        async with curio.timeout_after(remaining_s + RESPONSE_MARGIN_S):
            result = await _exchange(
                client, owner_request, endpoint, id_header, hold
            )
        complete = True
    except curio.TaskTimeout:
        result = UpstreamResult(
            UpstreamOutcome.LATE,
            cause="no response from owner before the deadline",
        )
    except NoMemory as error:
        result = UpstreamResult(
            UpstreamOutcome.FAILED, cause=str(error), no_memory=True
        )
    except (InvalidResponse, ValueError) as error:
        result = UpstreamResult(
            UpstreamOutcome.FAILED, cause=f"owner: {error!r}"
        )
    except ConnectionBroken as error:
        result = UpstreamResult(
            UpstreamOutcome.OWNER_LOST, cause=f"owner: {error!r}"
        )
    finally:
        forwards.discard_request(owner, request_id)
        forwards.discard(owner, client)
        if not complete:
            hold.release()
            await client.close()
    if complete:
        await pool.release(client)
    return result


async def _exchange(
    client: HttpClient,
    owner_request: OwnerRequest,
    endpoint: str,
    id_header: bytes,
    hold: AttemptMemory,
) -> UpstreamResult:
    headers = encode_owner_request(owner_request, endpoint, read_boot_clock())
    request = owner_request.request
    await client.send_request(
        request.method, request.target, headers, request.body
    )
    head = await client.read_head()
    hold.state(head.find(b"content-length"))
    body = await client.read_body(MAX_RESPONSE_BYTES, hold.make_room)
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
        if request.find(QUOTA_HEADER) is not None:
            return await self.node.quotas.handle(request)
        try:
            received = decode_owner_request(
                request,
                self.node.header_names.affinity,
                self._read_organisation(request),
            )
        except ValueError as error:
            return Response(HTTP_BAD_REQUEST, body=str(error).encode())
        result = await self._serve(received)
        return encode_result(self._echo_id(request, result))

    def _read_organisation(self, request: Request) -> str:
        """Read the organisation that the entry instance identified."""
        if not self.node.has_organisations:
            return ""
        value = request.find(self.node.header_names.organisation) or b""
        return value.decode(errors="replace")

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
        arrived_s = received.owner_request.request.arrived_s
        if not self.node.accepts_arrival(arrived_s):
            # The run could end after this process, but before the deadline
            # of the instance that forwarded the request.
            return UpstreamResult(UpstreamOutcome.UNUSABLE)
        if self.node.reachability.is_partitioned:
            return UpstreamResult(UpstreamOutcome.UNUSABLE)
        owned = self.node.find_owned(received.endpoint)
        if owned is None:
            return UpstreamResult(UpstreamOutcome.UNUSABLE)
        limited = self.node.limit_to_stop(received.owner_request)
        result = await owned.serve(limited)
        expected = owned.expect_wait(limited.rank)
        if expected is None:
            return result
        return replace(result, expected_wait=expected)

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
    node.observer.count_hop(endpoint.service)
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
    if result.expected_wait is not None:
        node.expected_waits.record(
            endpoint.name,
            owner_request.rank,
            result.expected_wait,
            read_boot_clock(),
        )
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
