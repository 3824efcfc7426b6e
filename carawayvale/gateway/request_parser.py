"""Parse requests from a stream of bytes, and encode their responses."""

from collections.abc import Callable
import re

import h11

from carawayvale.catalogue.records import RequestLimits
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.response_memory import RequestMemory
from carawayvale.links.http import find_header
from carawayvale.links.http import MAX_BODY_PARTS
from carawayvale.links.turns import STEPS_PER_TURN

HTTP_CONTENT_TOO_LARGE = 413
HTTP_HEADERS_TOO_LARGE = 431

# Default of the maximum number of lines of a head. A head of 16 KiB, the
# largest by default, cannot have more, as the shortest line has four bytes.
MAX_HEAD_LINES = 4096

# The memory of heads with fewer lines is not counted.
COUNTED_HEAD_LINES = 256

HEAD_END = re.compile(rb"\n\r?\n")

# A larger body is encoded separately from its head, without a copy.
MAX_JOINED_BYTES = 1 << 16


class InvalidRequest(Exception):
    """Error of a request that is malformed or exceeds a limit.

    :param status: HTTP status of the response.
    """

    def __init__(self, status: int):
        super().__init__(str(status))
        self.status = status


# Stands for a response that is sent later. Unlike status 204, it ends no use
# of HTTP after a request of the method CONNECT.
PLACEHOLDER = h11.Response(status_code=404, headers=[("content-length", "0")])


class RequestParser:
    """Parser of a stream of bytes into complete requests.

    :param limits: size limits for callers.
    :param max_head_lines: maximum number of lines of a head.
    :param make_account: makes the account of the memory of the responses
        to a request.
    """

    def __init__(
        self,
        limits: RequestLimits,
        max_head_lines: int = MAX_HEAD_LINES,
        make_account: Callable[[], RequestMemory | None] = lambda: None,
    ):
        self.make_account = make_account
        self.limits = limits
        self.max_head_lines = max_head_lines
        self.http = self._make_connection()
        self.head: h11.Request | None = None
        self.incomplete_since_s: float | None = None
        self.arrived_s = 0.0
        self.body = bytearray()
        self.body_parts = 0
        self.ended = False
        self.is_interrupted = False
        self.unanswered: Request | None = None

    def _make_connection(self) -> h11.Connection:
        limit = self.limits.header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def set_limits(self, limits: RequestLimits) -> None:
        """Apply changed limits from the next request on.

        :param limits: size limits for callers.
        """
        if self.head is not None:
            return
        old, self.limits = self.limits, limits
        is_new = limits.header_bytes != old.header_bytes
        if is_new and self.is_idle and self.unanswered is None:
            self.http = self._make_connection()

    @property
    def unparsed_bytes(self) -> int:
        """Number of bytes that have arrived and are not parsed yet."""
        return len(self.http.trailing_data[0])

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request has arrived."""
        return self.head is None and not self.http.trailing_data[0]

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for status 100 to send the body."""
        return self.http.they_are_waiting_for_100_continue

    def receive(self, data: bytes) -> None:
        """Add bytes that were read from the socket.

        :param data: the bytes; empty at the end of the stream.
        """
        try:
            self.http.receive_data(data)
        except RuntimeError:
            # h11 accepts no bytes after the end of the last request.
            self.ended = True

    def parse_next(self) -> Request | None:
        """Parse the next request if all of it has arrived.

        After STEPS_PER_TURN parts, parsing is interrupted so that other
        tasks get a turn; ``is_interrupted`` tells whether it was.

        :returns: the request, or None.
        :raises InvalidRequest: if the request is malformed or too large.
        """
        if self.unanswered is not None:
            data, closed = self.http.trailing_data
            if not data and not closed:
                return None
            self._skip_response()
        self.is_interrupted = False
        for _ in range(STEPS_PER_TURN):
            event = self._parse_event()
            if isinstance(event, h11.EndOfMessage):
                return self._finish_request()
            if event is None:
                self._note_incomplete()
                return None
            self._apply_event(event)
        self.is_interrupted = True
        return None

    @property
    def stated_body_bytes(self) -> int | None:
        """Size that the head states for the body; None if it does not."""
        value = find_header(self.head.headers, b"content-length")
        return None if value is None else int(value)

    def _note_incomplete(self) -> None:
        if not self.is_idle and self.incomplete_since_s is None:
            self.incomplete_since_s = read_boot_clock()

    def find_time_left(self, body_s: float, now_s: float) -> float:
        """Find how long the rest of an incomplete request may take.

        :param body_s: time in which the body is due after the head.
        :param now_s: the time.
        :returns: seconds; 0 or less if the request is overdue.
        """
        if self.head is not None:
            return self.arrived_s + body_s - now_s
        since_s = self.incomplete_since_s
        started_s = now_s if since_s is None else since_s
        return started_s + self.limits.header_timeout_s - now_s

    def _parse_event(self) -> h11.Event | None:
        """Parse the next part of the stream, if it has arrived."""
        if self.ended:
            return None
        self._check_lines()
        try:
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            raise InvalidRequest(error.error_status_hint) from None
        return None if event in (h11.NEED_DATA, h11.PAUSED) else event

    def count_head_lines(self) -> int:
        """Count the lines of the next head, as far as it has arrived.

        :returns: number of lines; 0 if there are few, or if the head of the
            request in progress has been parsed.
        """
        if self.head is not None:
            return 0
        data = self.http.trailing_data[0]
        # A head of that many lines has at least two bytes in each.
        if len(data) <= 2 * min(COUNTED_HEAD_LINES, self.max_head_lines):
            return 0
        match = HEAD_END.search(data)
        return data.count(b"\n", 0, match.end() if match else len(data))

    def _check_lines(self) -> None:
        """Bound the lines of the next head before h11 parses them."""
        if self.count_head_lines() > self.max_head_lines + 1:
            raise InvalidRequest(HTTP_HEADERS_TOO_LARGE)

    def restart_timeout(self) -> None:
        """Count the time of an incomplete head from now.

        Its connection was not read in the meantime.
        """
        if self.incomplete_since_s is not None:
            self.incomplete_since_s = read_boot_clock()

    def _apply_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.ConnectionClosed):
            self.ended = True
        elif isinstance(event, h11.Request):
            self.head = event
            self.arrived_s = read_boot_clock()
        elif isinstance(event, h11.Data):
            self._add_body(event.data)

    def _add_body(self, data: bytes) -> None:
        self.body += data
        self.body_parts += 1
        if (
            len(self.body) > self.limits.body_bytes
            or self.body_parts > MAX_BODY_PARTS
        ):
            raise InvalidRequest(HTTP_CONTENT_TOO_LARGE)

    def _finish_request(self) -> Request:
        head = self.head
        request = Request(
            head.method.decode("ascii"),
            head.target.decode("ascii"),
            tuple(head.headers),
            self.body,
            self.arrived_s,
            response_memory=self.make_account(),
        )
        self.head, self.body, self.body_parts = None, bytearray(), 0
        self.incomplete_since_s = None
        self.unanswered = request
        return request

    def _skip_response(self) -> None:
        """Let h11 go on to the next request before this one is answered.

        The response that is sent later is encoded separately.
        """
        self.http.send(PLACEHOLDER)
        self._start_next_cycle()

    def _start_next_cycle(self) -> None:
        self.unanswered = None
        self.http.send(h11.EndOfMessage())
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self.ended = True

    def replace_unanswered(self, request: Request, other: Request) -> None:
        """Take another object for a request of this connection.

        :param request: the request.
        :param other: the same request without its body.
        """
        if self.unanswered is request:
            self.unanswered = other

    def encode(self, response: Response, request: Request) -> bytes:
        """Encode the response to a request of this connection.

        :param response: the response.
        :param request: the request.
        :returns: the encoded response.
        """
        return b"".join(self.encode_parts(response, request))

    def encode_parts(
        self, response: Response, request: Request
    ) -> list[bytes | bytearray]:
        """Encode the response to a request, a large body without a copy.

        :param response: the response.
        :param request: the request.
        :returns: the parts of the encoded response.
        """
        large = len(response.body) > MAX_JOINED_BYTES
        if self.unanswered is not request:
            if not large:
                return [encode_response(response, request.method)]
            return send_response_parts(
                parse_method(request.method), response, request.method
            )
        parts = send_response_parts(self.http, response, request.method)
        self._start_next_cycle()
        return parts if large else [b"".join(parts)]


def encode_response(response: Response, method: str) -> bytes:
    """Encode a complete response without its connection.

    :param response: the response.
    :param method: HTTP method of the request.
    :returns: the encoded response.
    """
    return b"".join(
        send_response_parts(parse_method(method), response, method)
    )


def parse_method(method: str) -> h11.Connection:
    """Make a connection that has parsed a request with a method.

    :param method: HTTP method.
    :returns: the state of the connection.
    """
    # h11 frames a response by the method of the request before it.
    http = h11.Connection(h11.SERVER)
    http.receive_data(f"{method} / HTTP/1.1\r\nhost: a\r\n\r\n".encode())
    http.next_event()
    return http


def send_response_parts(
    http: h11.Connection, response: Response, method: str
) -> list[bytes | bytearray]:
    """Let h11 encode a response to the request that it parsed last.

    :param http: state of the connection.
    :param response: the response.
    :param method: HTTP method of the request.
    :returns: the parts of the encoded response.
    """
    headers = list(response.headers)
    headers.append((b"content-length", b"%d" % len(response.body)))
    if response.close:
        headers.append((b"connection", b"close"))
    head = h11.Response(status_code=response.status, headers=headers)
    parts = [http.send(head)]
    if response.body and method != "HEAD":
        data = h11.Data(data=response.body)
        parts += http.send_with_data_passthrough(data)
    return parts
