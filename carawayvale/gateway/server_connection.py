"""One HTTP/1.1 connection with pipelined requests.

Requests are read and started while earlier ones are still in progress,
and responses are sent in the order of the requests. A request that is
not idempotent waits until all requests before it on its connection are
answered: if one of those responses closes the connection, the caller
sends the request again.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import replace
import socket
from typing import TYPE_CHECKING

import curio
import h11

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.body_memory import BodyReservation
from carawayvale.gateway.body_memory import UNCOUNTED_BYTES
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.request_parser import encode_response
from carawayvale.gateway.request_parser import InvalidRequest
from carawayvale.gateway.request_parser import RequestParser
from carawayvale.gateway.response_memory import ConnectionMemory
from carawayvale.gateway.response_memory import RequestMemory
from carawayvale.links.http import READ_BYTES
from carawayvale.links.sockets import StreamSocket
from carawayvale.links.turns import STEPS_PER_READ
from carawayvale.links.turns import TurnCounter
from carawayvale.telemetry.logs import format_place
from carawayvale.telemetry.logs import log_event

if TYPE_CHECKING:
    from carawayvale.gateway.server import RequestServer

# Maximum number of requests of one connection that are in progress.
PIPELINE_DEPTH = 16

# No further request is started while the requests and responses of a
# connection take more than this.
MAX_PIPELINED_BYTES = 1 << 18

# Estimated memory of a header of a parsed request, also if it is empty.
HEADER_BYTES = 170

# A large response is written in pieces of this size.
PIECE_BYTES = 1 << 16

# Interval at which a connection with a full pipeline checks for room.
PIPELINE_POLL_S = 0.005

# So much is read behind the requests of a full pipeline, to notice when
# their client leaves.
MAX_AHEAD_BYTES = 1 << 14

# Idle connections are kept this much longer than callers are promised.
IDLE_MARGIN_S = 1.0

# Longest time for which input is discarded after the last response.
LINGER_S = 1.0

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
HTTP_BAD_REQUEST = 400
HTTP_REQUEST_TIMEOUT = 408
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503

# Headers of responses to requests that did not arrive.
ERROR_HEADERS = {HTTP_UNAVAILABLE: ((b"retry-after", b"1"),)}

# An error may quote what the client sent.
MAX_CAUSE_LENGTH = 120

# Interval at which a body that waits for memory checks for it.
MEMORY_POLL_S = 0.02


@dataclass(eq=False)
class OpenRequest:
    """A request of a connection that is not answered yet."""

    request: Request
    head: BodyReservation
    body: BodyReservation
    memory: RequestMemory
    task: curio.Task | None = None
    response: Response | None = None

    def release(self) -> None:
        """Return the memory of the request and its responses."""
        self.head.release()
        self.body.release()
        self.memory.close()

    @property
    def held_bytes(self) -> int:
        """Size of the request, and of its response if there is one."""
        request, response = self.request, self.response
        size = len(request.body) + HEADER_BYTES * len(request.headers)
        return size + (len(response.body) if response else 0)


class ServerConnection:
    """One connection, with a task that reads and a task per request.

    The task that calls :meth:`run` writes the responses.

    :param server: handler, limits and state of the port.
    :param sock: the accepted socket.
    """

    def __init__(self, server: "RequestServer", sock: StreamSocket):
        self.server = server
        self.sock = sock
        self.holder = ConnectionMemory(server.response_memory, self._abort)
        self.parser = RequestParser(
            server.limits,
            server.max_head_lines,
            lambda: RequestMemory(self.holder),
        )
        self.pipeline: deque[OpenRequest] = deque()
        self.changed = curio.Event()
        self.idle_since_s = read_boot_clock()
        self.input_ended = False
        self.error_status = 0
        self.sent_last = False
        self.head = self._make_reservation()
        self.body = self._make_reservation()

    def _make_reservation(self) -> BodyReservation:
        return BodyReservation(self.server.body_memory, self._abort)

    def _abort(self) -> None:
        """Close the connection and drop what its client has not read."""
        try:
            self.sock.abort()
        except OSError as error:
            log_event("caller_gone", "DEBUG", cause=str(error))

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        reader = await curio.spawn(self._read_requests, daemon=True)
        try:
            await self._write_responses()
            if self.sent_last:
                await reader.cancel()
                await self._linger()
        finally:
            # It uses the socket, which is closed after this call.
            await reader.cancel()
            self.head.release()
            self.body.release()
            while self.pipeline:
                await self._cancel(self.pipeline.popleft())

    async def _linger(self) -> None:
        """Discard input until the caller has closed the connection.

        If a connection is closed while input is unread, the kernel resets
        it and drops what the caller has not received of the last response.
        """
        self.server.lingering += 1
        turns = TurnCounter()
        try:
            self.sock.shut_down(socket.SHUT_WR)
            async with curio.ignore_after(LINGER_S):
                while await self.sock.recv(READ_BYTES):
                    await turns.count_steps(STEPS_PER_READ)
        except OSError as error:
            log_event("caller_gone", "DEBUG", cause=str(error))
        finally:
            self.server.lingering -= 1

    async def _cancel(self, open_request: OpenRequest) -> None:
        self.server.open_requests -= 1
        open_request.release()
        if open_request.task is not None:
            await open_request.task.cancel(blocking=False)

    async def _read_requests(self) -> None:
        """Read requests until the stream ends, fails or is idle."""
        turns = TurnCounter()
        try:
            while not self.input_ended:
                await self._start_requests()
                is_full = self._is_full()
                receive = self._read_ahead if is_full else self._receive
                data = await receive()
                if data is None:
                    continue
                if not data:
                    break
                self.parser.set_limits(self.server.limits)
                self.parser.receive(data)
                await turns.count_steps(STEPS_PER_READ)
        except InvalidRequest as invalid:
            self.error_status = invalid.status
        except curio.TaskTimeout:
            self.error_status = (
                0 if self.parser.is_idle else HTTP_REQUEST_TIMEOUT
            )
        except OSError as error:
            # A caller may disconnect at any time; its requests are then
            # cancelled.
            log_event("caller_gone", "DEBUG", cause=str(error))
        except Exception as error:
            # Whatever ends the reading ends the connection too.
            log_event(
                "connection_failed",
                "ERROR",
                cause=repr(error)[:MAX_CAUSE_LENGTH],
                place=format_place(error),
            )
            self.error_status = HTTP_BAD_REQUEST
        self.input_ended = True
        await self.changed.set()

    async def _read_ahead(self) -> bytes | None:
        """Read what follows the requests of a full pipeline for a moment.

        :returns: what was read; None without anything.
        """
        self.parser.restart_timeout()
        if self.parser.unparsed_bytes >= MAX_AHEAD_BYTES:
            await curio.sleep(PIPELINE_POLL_S)
            return None
        return await curio.ignore_after(
            PIPELINE_POLL_S, self.sock.recv, MAX_AHEAD_BYTES
        )

    async def _receive(self) -> bytes:
        """Read from the socket, as long as it takes during a request."""
        while True:
            try:
                return await curio.timeout_after(
                    self._find_timeout(), self.sock.recv, READ_BYTES
                )
            except curio.TaskTimeout:
                if not self.parser.is_idle or self._find_timeout() <= 0:
                    raise

    def _check_time(self) -> None:
        """Give up a request that did not arrive in time.

        :raises InvalidRequest: if the time for the request has passed.
        """
        if not self.parser.is_idle and self._find_message_time() <= 0:
            raise InvalidRequest(HTTP_REQUEST_TIMEOUT)

    def _find_message_time(self) -> float:
        """Time that the rest of an incomplete request may take."""
        head = self.parser.head
        body_s = self.server.find_timeout(head.headers) if head else 0.0
        return self.parser.find_time_left(body_s, read_boot_clock())

    def _find_timeout(self) -> float:
        """Time until the next check of whether the connection is idle."""
        limits = self.server.limits
        if not self.parser.is_idle:
            left_s = self._find_message_time()
            return max(0.0, min(limits.header_timeout_s, left_s))
        timeout_s = limits.idle_timeout_s + IDLE_MARGIN_S
        if self.pipeline:
            return timeout_s
        return max(0.0, self.idle_since_s + timeout_s - read_boot_clock())

    async def _start_requests(self) -> None:
        while self._may_start():
            await self._reserve_head()
            request = self.parser.parse_next()
            if self.parser.is_interrupted:
                await curio.sleep(0)
                self._check_time()
                continue
            if request is None:
                self._check_time()
                await self._reserve_body()
                break
            open_request = OpenRequest(
                request, self.head, self.body, request.response_memory
            )
            self.head.complete()
            self.body.complete()
            self.head = self._make_reservation()
            self.body = self._make_reservation()
            open_request.memory.first = not self.pipeline
            self.pipeline.append(open_request)
            self.server.open_requests += 1
            if request.method in IDEMPOTENT_METHODS or len(self.pipeline) == 1:
                await self._start_handler(open_request)
            await self.changed.set()
        if self.parser.expects_continue:
            await self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.parser.http.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )

    async def _reserve_head(self) -> None:
        """Wait until there is memory for the lines of the next head.

        It is reserved before the head is parsed, as its lines take many
        times their bytes.
        """
        size = HEADER_BYTES * self.parser.count_head_lines()
        await self._reserve(self.head, size, size)

    async def _reserve_body(self) -> None:
        """Wait until there is memory for the rest of a request's body."""
        parser = self.parser
        if parser.head is not None:
            await self._reserve(
                self.body, len(parser.body), parser.stated_body_bytes
            )

    async def _reserve(
        self,
        reservation: BodyReservation,
        arrived_bytes: int,
        stated_bytes: int | None,
    ) -> None:
        """Wait until a reservation has the memory that it needs next.

        :raises InvalidRequest: if there is none in time; the request was
            not run, so its caller can try another instance.
        """
        refuse_s = read_boot_clock() + self.server.memory_wait_s
        while not reservation.extend(arrived_bytes, stated_bytes):
            self._check_time()
            if read_boot_clock() >= refuse_s:
                raise InvalidRequest(HTTP_UNAVAILABLE)
            self.server.body_memory.close_stalled()
            await curio.sleep(MEMORY_POLL_S)

    def _may_start(self) -> bool:
        """Tell whether another request may be read.

        Once the server has stopped, the caller sends those behind another
        one again, as the response to that one closes the connection.
        """
        if self.server.stopped:
            return not self.pipeline
        if not self.pipeline:
            return True
        return len(self.pipeline) < PIPELINE_DEPTH and not self._holds_much

    @property
    def _holds_much(self) -> bool:
        held = sum(request.held_bytes for request in self.pipeline)
        return held > MAX_PIPELINED_BYTES

    def _is_full(self) -> bool:
        """Tell whether no more input may be read.

        Without unparsed input, reading detects that the caller has gone.
        """
        if len(self.pipeline) >= PIPELINE_DEPTH:
            return True
        waits = self.parser.head is None and not self.parser.is_idle
        return waits and self._holds_much

    async def _start_handler(self, open_request: OpenRequest) -> None:
        open_request.task = await curio.spawn(
            self._handle, open_request, daemon=True
        )

    async def _handle(self, open_request: OpenRequest) -> None:
        """Handle a request, and wake the task that writes responses."""
        try:
            response = await self.server.handle(open_request.request)
        except Exception as error:
            log_event("request_crashed", "ERROR", cause=repr(error))
            response = Response(500, close=True)
        open_request.response = response
        self._drop_body(open_request)
        await self.changed.set()

    def _drop_body(self, open_request: OpenRequest) -> None:
        """Free the body of a request whose response is ready.

        The response may remain unread for long.
        """
        request = open_request.request
        if len(request.body) <= UNCOUNTED_BYTES:
            return
        open_request.request = replace(request, body=b"")
        self.parser.replace_unanswered(request, open_request.request)
        open_request.body.release()

    async def _write_responses(self) -> None:
        while True:
            while not self.pipeline:
                if self.input_ended or self._may_close():
                    await self._send_error()
                    return
                self.changed.clear()
                await self.changed.wait()
            if not await self._write_next():
                return

    def _may_close(self) -> bool:
        """Tell whether the server has stopped and no request has arrived."""
        if not self.server.stopped or not self.parser.is_idle:
            return False
        try:
            data = self.sock._socket.recv(1, socket.MSG_PEEK)
        except OSError:
            return True
        return not data

    async def _send_error(self) -> None:
        if self.error_status:
            response = Response(
                self.error_status,
                ERROR_HEADERS.get(self.error_status, ()),
                close=True,
            )
            self.sent_last = await self._send(
                [encode_response(response, "GET")]
            )

    async def _write_next(self) -> bool:
        """Write the next response.

        :returns: whether the connection stays open.
        """
        open_request = self.pipeline[0]
        if open_request.task is None:
            await self._start_handler(open_request)
        response = await self._await_response(open_request)
        if response is None:
            return False
        last = self.parser.ended or self.server.closing
        close = response.close or (last and len(self.pipeline) == 1)
        response = Response(
            response.status, response.headers, response.body, close
        )
        try:
            sent = await self._send(
                self.parser.encode_parts(response, open_request.request)
            )
        finally:
            self.pipeline.popleft()
            if self.pipeline:
                self.pipeline[0].memory.first = True
            self.idle_since_s = read_boot_clock()
            self.server.open_requests -= 1
            open_request.release()
        ended = self.parser.ended and not self.pipeline
        self.sent_last = sent and (close or ended)
        return sent and not self.sent_last

    async def _await_response(
        self, open_request: OpenRequest
    ) -> Response | None:
        """Wait for a response while the caller is connected."""
        while open_request.response is None:
            if self.input_ended and not self.error_status:
                return None
            self.changed.clear()
            await self.changed.wait()
        return open_request.response

    async def _send(self, parts: list[bytes | bytearray]) -> bool:
        try:
            for part in parts:
                self.holder.progress_s = read_boot_clock()
                if len(part) <= PIECE_BYTES:
                    await self.sock.sendall(part)
                    continue
                view = memoryview(part)
                for start in range(0, len(view), PIECE_BYTES):
                    self.holder.progress_s = read_boot_clock()
                    await self.sock.sendall(view[start : start + PIECE_BYTES])
        except OSError as error:
            log_event("caller_gone", "DEBUG", cause=str(error))
            return False
        finally:
            self.holder.progress_s = None
        return True

    async def fail_open_requests(self) -> None:
        """Answer all requests of this connection that have no response."""
        for open_request in list(self.pipeline):
            if open_request.response is not None:
                continue
            status = HTTP_UNAVAILABLE
            if open_request.task is not None:
                await open_request.task.cancel(blocking=False)
                status = HTTP_BAD_GATEWAY
            open_request.response = Response(status, close=True)
        await self.changed.set()

    async def notify(self) -> None:
        """Wake the writing task to check whether the server has stopped."""
        await self.changed.set()
