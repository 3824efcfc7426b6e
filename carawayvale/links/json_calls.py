"""Request loop of an HTTP server connection, and JSON bodies."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

import curio

from carawayvale.links.http import BadRequest
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import RequestHead
from carawayvale.links.http_server import HttpServer
from carawayvale.links.sockets import StreamSocket
from carawayvale.telemetry.logs import log_event

IDLE_TIMEOUT_S = 120.0
HEADER_TIMEOUT_S = 10.0
JSON_TYPE = (b"content-type", b"application/json")
CLOSE = (b"connection", b"close")

RequestHandler = Callable[[HttpServer, RequestHead], Awaitable[None]]


async def serve_requests(sock: StreamSocket, handle: RequestHandler) -> None:
    """Serve the requests of one connection until it closes.

    :param sock: the accepted socket.
    :param handle: called with each request; sends the response.
    """
    http = HttpServer(sock)
    try:
        while await curio.timeout_after(IDLE_TIMEOUT_S, http.wait_for_data):
            head = http.parse_head()
            if head is None:
                head = await curio.timeout_after(
                    HEADER_TIMEOUT_S, http.read_head
                )
            if head is None:
                return
            await handle(http, head)
            http.skip_buffered_body()
            if not http.reset():
                return
    except BadRequest as error:
        log_event("bad_request", "WARNING", cause=str(error))
        await _send_bad_request(http, error)
    except (ConnectionBroken, curio.TaskTimeout):
        return


async def _send_bad_request(http: HttpServer, error: BadRequest) -> None:
    if not http.can_respond:
        return
    body = {"reason": "bad_request", "message": str(error), "not_run": True}
    try:
        await send_json(http, error.status, body, [CLOSE])
    except ConnectionBroken:
        return


async def send_json(
    http: HttpServer,
    status: int,
    body: Any,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    """Send a response with a JSON body.

    :param http: the connection.
    :param status: HTTP status.
    :param body: value to encode as JSON.
    :param headers: additional headers.
    :raises ConnectionBroken: if the caller disconnects.
    """
    data = json.dumps(body).encode()
    await http.send_response(status, [JSON_TYPE, *(headers or ())], data)


async def read_body(http: HttpServer, limit: int) -> bytes:
    """Read the whole request body.

    :param http: the connection.
    :param limit: maximum size of the body in bytes.
    :returns: the body.
    :raises BadRequest: if the body is too large.
    """
    chunks = []
    size = 0
    while chunk := await http.read_chunk():
        size += len(chunk)
        if size > limit:
            raise BadRequest(f"body exceeds {limit} bytes", 413)
        chunks.append(chunk)
    return b"".join(chunks)


async def read_json(http: HttpServer, limit: int) -> Any:
    """Read a request body and decode it as JSON.

    :param http: the connection.
    :param limit: maximum size of the body in bytes.
    :returns: the decoded value.
    :raises BadRequest: if the body is too large or not JSON.
    """
    data = await read_body(http, limit)
    try:
        return json.loads(data)
    except ValueError as error:
        raise BadRequest(f"body is not JSON: {error}") from None
