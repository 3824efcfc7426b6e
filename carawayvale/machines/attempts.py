"""One attempt to get a request answered over one connection."""

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
from carawayvale.machines.caller_request import is_echo
from carawayvale.machines.caller_request import make_cancel_target

BUFFERED_ANSWER_BYTES = 65536
PROGRESS_TIMEOUT_S = 10.0
CONNECT_LIMIT_S = 1.0
HTTP_SERVER_ERROR = 500
CANCEL_HEADERS = [(names.HOST, b"cancel")]

BodySource = Callable[[], AsyncIterator[bytes]]


@dataclass(frozen=True)
class Outbound:
    """A request as it is sent on.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: headers without those that frame the body.
    :param request_id: id that the answer must echo.
    :param idempotent: whether a second run does no harm.
    :param body: the body if it is buffered.
    :param stream: gives the pieces of a body that is not.
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
    """An attempt and how it ended.

    :param result: how it ended.
    :param head: head of the answer, if there is one.
    :param body: the answer's body if it is small, else None.
    :param client: connection from which the rest is to be read.
    :param cause: why there is no answer.
    """

    result: AttemptResult
    head: ResponseHead | None = None
    body: bytes | None = None
    client: HttpClient | None = None
    cause: str = ""


async def send_attempt(
    pool: ConnectionPool, outbound: Outbound, left_s: float
) -> Attempt:
    """Send a request and read the head and a small body of its answer.

    :param pool: connections to the address.
    :param outbound: the request.
    :param left_s: time left until its deadline.
    :returns: the attempt. With a client, the body is still to be read
        and the client to be given back to the pool.
    """
    fresh = not outbound.idempotent
    connect_s = min(CONNECT_LIMIT_S, left_s)
    try:
        client = await pool.acquire(connect_s, fresh)
    except ConnectFailed as error:
        return Attempt(AttemptResult.UNSENT, cause=str(error))
    limit_s = min(left_s, PROGRESS_TIMEOUT_S)
    try:
        async with curio.timeout_after(limit_s):
            await _send(client, outbound)
            head = await client.read_head()
            return await _read_answer(pool, client, outbound, head)
    except (ConnectionBroken, curio.TaskTimeout) as error:
        await client.close()
        cause = str(error) or type(error).__name__
        return Attempt(AttemptResult.BROKEN, cause=cause)
    except BaseException:
        await client.close()
        raise


async def _send(client: HttpClient, outbound: Outbound) -> None:
    if outbound.stream is None:
        await client.send_request(
            outbound.method, outbound.target, outbound.headers, outbound.body
        )
        return
    headers = [*outbound.headers, *outbound.framing]
    await client.send_head(outbound.method, outbound.target, headers)
    async for piece in outbound.stream():
        await client.send_chunk(piece)
    await client.finish()


async def _read_answer(
    pool: ConnectionPool,
    client: HttpClient,
    outbound: Outbound,
    head: ResponseHead,
) -> Attempt:
    if not is_echo(head.headers, outbound.request_id):
        raise ConnectionBroken("answer belongs to another request")
    result = judge_answer(head)
    length = head.find(names.CONTENT_LENGTH)
    if length is None or int(length) > BUFFERED_ANSWER_BYTES:
        return Attempt(result, head, None, client)
    body = await client.read_body(BUFFERED_ANSWER_BYTES)
    await pool.release(client)
    return Attempt(result, head, body)


def judge_answer(head: ResponseHead) -> AttemptResult:
    """Judge an answer by its head.

    :param head: the head.
    :returns: whether it is an answer, a refusal or a failure.
    """
    if head.status < HTTP_SERVER_ERROR:
        return AttemptResult.ANSWERED
    if head.find(names.NOT_RUN) is not None:
        return AttemptResult.REFUSED_NOT_RUN
    return AttemptResult.FAILED


async def send_cancel(pool: ConnectionPool, request_id: bytes) -> None:
    """Ask a backend server to stop a request; failures do not matter.

    :param pool: connections to the backend server.
    :param request_id: id of the request.
    """
    target = make_cancel_target(request_id)
    call = OutgoingCall("DELETE", target, CANCEL_HEADERS)
    try:
        await pool.exchange(call, CONNECT_LIMIT_S, BUFFERED_ANSWER_BYTES)
    except (ConnectionBroken, curio.TaskTimeout):
        return
