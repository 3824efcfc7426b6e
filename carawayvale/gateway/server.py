"""Serve HTTP/1.1 connections of one port."""

from collections.abc import Awaitable
from collections.abc import Callable
import math

import curio

from carawayvale.catalogue.records import RequestLimits
from carawayvale.gateway.body_memory import BodyMemory
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.process_memory import ProcessMemory
from carawayvale.gateway.request_parser import MAX_HEAD_LINES
from carawayvale.gateway.response_memory import ResponseMemory
from carawayvale.gateway.server_connection import ServerConnection
from carawayvale.links.http import Headers
from carawayvale.links.sockets import StreamSocket

# Time for the last responses to be written.
FAIL_WAIT_S = 0.05

HandleRequest = Callable[[Request], Awaitable[Response]]
FindTimeout = Callable[[Headers], float]


def find_no_timeout(headers: Headers) -> float:
    """Let the body of a request take any time.

    :param headers: headers of the request.
    :returns: infinity.
    """
    return math.inf


class RequestServer:
    """Handler, limits and state shared by all connections of one port.

    :param handle: returns the response to one request.
    :param limits: size limits and timeouts for callers.
    :param find_timeout: tells by the headers of a request within how many
        seconds its body has to arrive.
    :param body_memory: memory for the bodies of all connections.
    :param memory_wait_s: longest wait of a body for memory.
    :param response_memory: memory for the responses of all connections.
    :param max_head_lines: maximum number of lines of the head of a request.
    """

    def __init__(
        self,
        handle: HandleRequest,
        limits: RequestLimits = RequestLimits(),
        find_timeout: FindTimeout = find_no_timeout,
        body_memory: BodyMemory | None = None,
        memory_wait_s: float = math.inf,
        response_memory: ResponseMemory | None = None,
        max_head_lines: int = MAX_HEAD_LINES,
    ):
        self.max_head_lines = max_head_lines
        self.response_memory = response_memory or ResponseMemory(
            ProcessMemory(0)
        )
        self.body_memory = body_memory or BodyMemory()
        self.memory_wait_s = memory_wait_s
        self.handle = handle
        self.limits = limits
        self.find_timeout = find_timeout
        self.closing = False
        self.stopped = False
        self.open_requests = 0
        self.lingering = 0
        self.connections: set[ServerConnection] = set()

    async def serve(self, sock: StreamSocket) -> None:
        """Serve one connection until it ends.

        :param sock: the accepted socket.
        """
        connection = ServerConnection(self, sock)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    @property
    def is_finished(self) -> bool:
        """Whether all responses have been sent and received."""
        return not self.open_requests and not self.lingering

    async def stop(self) -> None:
        """Close the connections that have no request.

        A request that has arrived is read and answered, even if this
        process has not read it yet.
        """
        self.closing = self.stopped = True
        for connection in list(self.connections):
            await connection.notify()

    async def fail_open_requests(self) -> None:
        """Answer the requests in progress, since the process is to end.

        The response to one that was started does not deny that it ran.
        """
        for connection in list(self.connections):
            await connection.fail_open_requests()
        # The tasks that write the responses get a turn before the end.
        await curio.sleep(FAIL_WAIT_S)
