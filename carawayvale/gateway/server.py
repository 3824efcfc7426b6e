"""Serves HTTP/1.1 connections whose requests may be pipelined.

Requests are read ahead while earlier ones are still being served, and
answers go out in the order of the requests. A request that is not
idempotent waits until all before it on its connection are answered: if
one of those answers closes the connection, the caller sends it again.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections import deque
from dataclasses import dataclass

import curio
from curio.io import Socket
import h11

from carawayvale.catalogue.records import RequestLimits
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.links.http import find_header
from carawayvale.links.http import READ_BYTES
from carawayvale.telemetry.logs import log_event

# Requests of one connection that are served at the same time.
PIPELINE_DEPTH = 16

# How often a connection with that many looks for room again.
FULL_POLL_S = 0.005

# Idle connections of callers are kept a little longer than promised.
IDLE_MARGIN_S = 1.0

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
HTTP_TIMEOUT = 408
HTTP_TOO_LARGE = 413


@dataclass(frozen=True)
class Request:
    """A whole request.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: lower-case names and values.
    :param body: the body.
    :param arrived_s: when its head had arrived, by the boot clock.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived_s: float

    def find(self, name: bytes) -> bytes | None:
        """Find the value of a header.

        :param name: name in lower case.
        :returns: the first value, or None.
        """
        return find_header(self.headers, name)

    def find_text(self, name: bytes) -> str:
        """Find the value of a header as text.

        :param name: name in lower case.
        :returns: the first value; empty if there is none.
        """
        return (self.find(name) or b"").decode("latin-1")

    @property
    def path(self) -> str:
        """Target without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Query of the target."""
        return self.target.partition("?")[2]


@dataclass(frozen=True)
class Response:
    """A whole answer.

    :param status: HTTP status.
    :param headers: headers but for those that frame the body.
    :param body: the body.
    :param close: whether the connection ends with it.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    close: bool = False


Handler = Callable[[Request], Awaitable[Response]]


class ServerLimits:
    """What all connections of one port share.

    :param handle: answers one request.
    :param limits: what callers may send.
    """

    def __init__(
        self, handle: Handler, limits: RequestLimits = RequestLimits()
    ):
        self.handle = handle
        self.limits = limits
        self.closing = False
        self.stopped = False
        self.open_requests = 0
        self.connections: set[ServerConnection] = set()

    async def serve(self, sock: Socket) -> None:
        """Serve one connection until it ends.

        :param sock: the accepted socket.
        """
        connection = ServerConnection(self, sock)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    async def stop(self) -> None:
        """Start no further request, and end connections without one.

        A request that arrives from now on is not read, so its caller
        may send it elsewhere.
        """
        self.closing = self.stopped = True
        for connection in list(self.connections):
            await connection.wake()


class RequestRejected(Exception):
    """A caller sent something that is not acceptable HTTP/1.1.

    :param status: HTTP status of the answer.
    """

    def __init__(self, status: int):
        super().__init__(str(status))
        self.status = status


class RequestParser:
    """Splits a stream of bytes into whole requests.

    :param limits: what callers may send.
    """

    def __init__(self, limits: RequestLimits):
        self.limits = limits
        self.http = self._make()
        self.head: h11.Request | None = None
        self.arrived_s = 0.0
        self.pieces: list[bytes] = []
        self.size = 0
        self.ended = False

    def _make(self) -> h11.Connection:
        limit = self.limits.header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request has arrived."""
        return self.head is None and not self.http.trailing_data[0]

    @property
    def wants_continue(self) -> bool:
        """Whether the caller waits for leave to send the body."""
        return self.http.they_are_waiting_for_100_continue

    def receive(self, data: bytes) -> None:
        """Take over bytes from the socket.

        :param data: the bytes; empty at the end.
        """
        try:
            self.http.receive_data(data)
        except RuntimeError:
            # Bytes after the end of the last request belong to none.
            self.ended = True

    def next_request(self) -> Request | None:
        """Parse the next request if it has wholly arrived.

        :returns: the request, or None.
        :raises RequestRejected: if it is malformed or too large.
        """
        while not self.ended:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestRejected(error.error_status_hint) from None
            if event in (h11.NEED_DATA, h11.PAUSED):
                return None
            if isinstance(event, h11.ConnectionClosed):
                self.ended = True
            elif isinstance(event, h11.Request):
                self.head = event
                self.arrived_s = read_boot_clock()
            elif isinstance(event, h11.Data):
                self._add(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return self._finish()
        return None

    def _add(self, data: bytes) -> None:
        self.size += len(data)
        if self.size > self.limits.body_bytes:
            raise RequestRejected(HTTP_TOO_LARGE)
        self.pieces.append(data)

    def _finish(self) -> Request:
        head = self.head
        request = Request(
            head.method.decode("ascii"),
            head.target.decode("ascii"),
            tuple(head.headers),
            b"".join(self.pieces),
            self.arrived_s,
        )
        self.head, self.pieces, self.size = None, [], 0
        # The parser is only told that the request was answered, so that
        # it goes on; the real answer is written by encode_answer.
        done = h11.Response(status_code=204, headers=[])
        self.http.send(done)
        self.http.send(h11.EndOfMessage())
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self.ended = True
        return request


def encode_answer(answer: Response, method: str) -> bytes:
    """Encode a whole answer.

    :param answer: the answer.
    :param method: method of its request.
    :returns: the bytes.
    """
    http = h11.Connection(h11.SERVER)
    http.receive_data(f"{method} / HTTP/1.1\r\nhost: a\r\n\r\n".encode())
    http.next_event()
    headers = list(answer.headers)
    headers.append((b"content-length", b"%d" % len(answer.body)))
    if answer.close:
        headers.append((b"connection", b"close"))
    data = http.send(h11.Response(status_code=answer.status, headers=headers))
    if answer.body and method != "HEAD":
        data += http.send(h11.Data(data=answer.body))
    return data


@dataclass(eq=False)
class OpenRequest:
    """A request of a connection that is not answered yet."""

    request: Request
    task: curio.Task | None = None


class ServerConnection:
    """One connection; one task reads, one writes, one serves a request.

    :param rules: what all connections of the port share.
    :param sock: the accepted socket.
    """

    def __init__(self, rules: ServerLimits, sock: Socket):
        self.rules = rules
        self.sock = sock
        self.parser = RequestParser(rules.limits)
        self.open: deque[OpenRequest] = deque()
        self.changed = curio.Event()
        self.finished = False
        self.rejected = 0

    async def run(self) -> None:
        """Serve requests until either side ends the connection."""
        reader = await curio.spawn(self._read_all, daemon=True)
        try:
            await self._write_all()
        finally:
            await reader.cancel(blocking=False)
            while self.open:
                await self._abandon(self.open.popleft())

    async def _abandon(self, entry: OpenRequest) -> None:
        self.rules.open_requests -= 1
        if entry.task is not None:
            await entry.task.cancel(blocking=False)

    async def _read_all(self) -> None:
        """Read requests; the end of the stream ends the connection."""
        try:
            while not self.finished:
                await self._start_requests()
                if len(self.open) >= PIPELINE_DEPTH:
                    await curio.sleep(FULL_POLL_S)
                    continue
                data = await curio.timeout_after(
                    self._find_timeout(), self.sock.recv, READ_BYTES
                )
                if not data:
                    break
                self.parser.receive(data)
        except RequestRejected as rejected:
            self.rejected = rejected.status
        except curio.TaskTimeout:
            self.rejected = 0 if self.parser.is_idle else HTTP_TIMEOUT
        except OSError as error:
            # A caller may break off at any time; its requests end with it.
            log_event("caller_gone", "DEBUG", cause=str(error))
        self.finished = True
        await self.changed.set()

    def _find_timeout(self) -> float:
        limits = self.rules.limits
        if not self.parser.is_idle:
            return limits.header_timeout_s
        return limits.idle_timeout_s + IDLE_MARGIN_S

    async def _start_requests(self) -> None:
        while len(self.open) < PIPELINE_DEPTH and not self.rules.stopped:
            request = self.parser.next_request()
            if request is None:
                break
            entry = OpenRequest(request)
            self.open.append(entry)
            self.rules.open_requests += 1
            if request.method in IDEMPOTENT_METHODS or len(self.open) == 1:
                await self._start(entry)
            await self.changed.set()
        if self.parser.wants_continue:
            await self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.parser.http.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )

    async def _start(self, entry: OpenRequest) -> None:
        entry.task = await curio.spawn(
            self.rules.handle, entry.request, daemon=True
        )

    async def _write_all(self) -> None:
        while True:
            while not self.open:
                if self.finished or self.rules.stopped:
                    await self._reject()
                    return
                self.changed.clear()
                await self.changed.wait()
            if not await self._write_next():
                return

    async def _reject(self) -> None:
        if self.rejected:
            answer = Response(self.rejected, close=True)
            await self._send(encode_answer(answer, "GET"))

    async def _write_next(self) -> bool:
        """Write the next answer.

        :returns: whether the connection goes on.
        """
        entry = self.open[0]
        if entry.task is None:
            await self._start(entry)
        answer = await self._await_answer(entry)
        if answer is None:
            return False
        self.open.popleft()
        self.rules.open_requests -= 1
        last = self.parser.ended or self.rules.closing
        close = answer.close or (last and not self.open)
        answer = Response(answer.status, answer.headers, answer.body, close)
        sent = await self._send(encode_answer(answer, entry.request.method))
        return sent and not close

    async def _await_answer(self, entry: OpenRequest) -> Response | None:
        """Wait for an answer while the caller is still there."""
        joined = await curio.spawn(self._join, entry.task, daemon=True)
        while not entry.task.terminated:
            if self.finished and not self.rejected:
                await joined.cancel(blocking=False)
                return None
            self.changed.clear()
            await self.changed.wait()
        if entry.task.exception is not None:
            log_event(
                "request_crashed", "ERROR", cause=repr(entry.task.exception)
            )
            return Response(500, close=True)
        return entry.task.result

    async def _join(self, task: curio.Task) -> None:
        await task.wait()
        await self.changed.set()

    async def _send(self, data: bytes) -> bool:
        try:
            await self.sock.sendall(data)
        except OSError as error:
            log_event("caller_gone", "DEBUG", cause=str(error))
            return False
        return True

    async def wake(self) -> None:
        """Let the connection notice that the port has stopped."""
        await self.changed.set()
