"""One attempt to send a request over one connection."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from dataclasses import dataclass

import curio

from carawayvale.contracts import headers as names
from carawayvale.contracts.retries import AttemptResult
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import ConnectFailed
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import Headers
from carawayvale.links.http import ResponseHead
from carawayvale.links.http_client import HttpClient
from carawayvale.machines.caller_request import echoes_request_id
from carawayvale.machines.caller_request import make_cancel_target

MAX_BUFFERED_RESPONSE_BYTES = 65536
ATTEMPT_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 1.0
HTTP_SERVER_ERROR = 500
CANCEL_HEADERS = [(names.HOST, b"cancel")]

BodySource = Callable[[], AsyncIterator[bytes]]


@dataclass(frozen=True)
class OutboundRequest:
    """Request to a backend server or another entry instance.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: headers without those that frame the body.
    :param request_id: id that the response must echo.
    :param idempotent: whether the request may safely run twice.
    :param body: the body if it is buffered.
    :param stream: function that yields the chunks of a streamed body, or
        None if the body is buffered.
    :param framing: headers that frame a streamed body.
    """

    method: str
    target: str
    headers: Headers
    request_id: bytes
    idempotent: bool
    body: bytes = b""
    stream: BodySource | None = None
    framing: Headers | None = None


@dataclass
class Attempt:
    """Result of one attempt.

    :param result: how the attempt ended.
    :param head: head of the response, or None without a response.
    :param body: body of the response if it is buffered, else None.
    :param client: connection from which the body is still to be read, or
        None.
    :param cause: why there is no response.
    """

    result: AttemptResult
    head: ResponseHead | None = None
    body: bytes | None = None
    client: HttpClient | None = None
    cause: str = ""


async def send_attempt(
    pool: ConnectionPool, outbound: OutboundRequest, remaining_s: float
) -> Attempt:
    """Send a request and read the head and a small body of its response.

    :param pool: connections to the address.
    :param outbound: the request.
    :param remaining_s: time in seconds left until its deadline.
    :returns: the attempt. If it has a client, the caller of this function
        must read the body and release the client to the pool.
    """
    recently_used_only = not outbound.idempotent
    connect_s = min(CONNECT_TIMEOUT_S, remaining_s)
    try:
        client = await pool.acquire(connect_s, recently_used_only)
    except ConnectFailed as error:
        return Attempt(AttemptResult.UNSENT, cause=str(error))
    timeout_s = min(remaining_s, ATTEMPT_TIMEOUT_S)
    try:
        async with curio.timeout_after(timeout_s):
            await _send(client, outbound)
            head = await client.read_head()
            return await _read_response(pool, client, outbound, head)
    except (ConnectionBroken, curio.TaskTimeout) as error:
        await client.close()
        cause = str(error) or type(error).__name__
        return Attempt(AttemptResult.BROKEN, cause=cause)
    except BaseException:
        await client.close()
        raise


async def _send(client: HttpClient, outbound: OutboundRequest) -> None:
    if outbound.stream is None:
        await client.send_request(
            outbound.method, outbound.target, outbound.headers, outbound.body
        )
        return
    headers = [*outbound.headers, *outbound.framing]
    await client.send_head(outbound.method, outbound.target, headers)
    async for chunk in outbound.stream():
        await client.send_chunk(chunk)
    await client.finish()


async def _read_response(
    pool: ConnectionPool,
    client: HttpClient,
    outbound: OutboundRequest,
    head: ResponseHead,
) -> Attempt:
    if not echoes_request_id(head.headers, outbound.request_id):
        raise ConnectionBroken("response has another request id")
    result = classify_response(head)
    length = head.find(names.CONTENT_LENGTH)
    if length is None or int(length) > MAX_BUFFERED_RESPONSE_BYTES:
        return Attempt(result, head, None, client)
    body = await client.read_body(MAX_BUFFERED_RESPONSE_BYTES)
    await pool.release(client)
    return Attempt(result, head, body)


def classify_response(head: ResponseHead) -> AttemptResult:
    """Classify a response by its head.

    :param head: the head.
    :returns: ANSWERED below status 500, REFUSED_NOT_RUN if the response
        says that the request was not run, else FAILED.
    """
    if head.status < HTTP_SERVER_ERROR:
        return AttemptResult.ANSWERED
    if head.find(names.NOT_RUN) is not None:
        return AttemptResult.REFUSED_NOT_RUN
    return AttemptResult.FAILED


async def send_cancel(pool: ConnectionPool, request_id: bytes) -> None:
    """Ask a backend server to stop a request; failures are ignored.

    :param pool: connections to the backend server.
    :param request_id: id of the request.
    """
    target = make_cancel_target(request_id)
    call = OutgoingCall("DELETE", target, CANCEL_HEADERS)
    try:
        await pool.exchange(
            call, CONNECT_TIMEOUT_S, MAX_BUFFERED_RESPONSE_BYTES
        )
    except (ConnectionBroken, curio.TaskTimeout):
        return
