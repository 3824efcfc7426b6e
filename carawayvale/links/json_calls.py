"""Reads requests from a connection, one after the other."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

import curio
from curio.io import Socket

from carawayvale.links.http import BadRequest
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import RequestHead
from carawayvale.links.http_server import HttpServer
from carawayvale.telemetry.logs import log_event

IDLE_TIMEOUT_S = 120.0
HEADER_TIMEOUT_S = 10.0
JSON_TYPE = (b"content-type", b"application/json")
CLOSE = (b"connection", b"close")

RequestHandler = Callable[[HttpServer, RequestHead], Awaitable[None]]


async def serve_requests(sock: Socket, handle: RequestHandler) -> None:
    """Serve the requests of one connection until it ends.

    :param sock: the accepted connection.
    :param handle: answers one request.
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
        await _refuse(http, error)
    except (ConnectionBroken, curio.TaskTimeout):
        return


async def _refuse(http: HttpServer, error: BadRequest) -> None:
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
    """Send an answer with a JSON body.

    :param http: the connection.
    :param status: HTTP status.
    :param body: what to encode.
    :param headers: further headers.
    :raises ConnectionBroken: if the caller went away.
    """
    data = json.dumps(body).encode()
    await http.send_response(status, [JSON_TYPE, *(headers or ())], data)


async def read_body(http: HttpServer, limit: int) -> bytes:
    """Read the whole body of a request.

    :param http: the connection.
    :param limit: most bytes to accept.
    :returns: the body.
    :raises BadRequest: if it is longer.
    """
    pieces = []
    size = 0
    while piece := await http.read_chunk():
        size += len(piece)
        if size > limit:
            raise BadRequest(f"body exceeds {limit} bytes", 413)
        pieces.append(piece)
    return b"".join(pieces)


async def read_json(http: HttpServer, limit: int) -> Any:
    """Read a JSON body.

    :param http: the connection.
    :param limit: most bytes to accept.
    :returns: the decoded body.
    :raises BadRequest: if it is longer or not JSON.
    """
    data = await read_body(http, limit)
    try:
        return json.loads(data)
    except ValueError as error:
        raise BadRequest(f"body is not JSON: {error}") from None
