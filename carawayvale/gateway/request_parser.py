"""Parse requests from a stream of bytes, and encode their responses."""

import h11

from carawayvale.catalogue.records import RequestLimits
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response

HTTP_CONTENT_TOO_LARGE = 413


class InvalidRequest(Exception):
    """Error of a request that is malformed or exceeds a limit.

    :param status: HTTP status of the response.
    """

    def __init__(self, status: int):
        super().__init__(str(status))
        self.status = status


class RequestParser:
    """Parser of a stream of bytes into complete requests.

    :param limits: size limits for callers.
    """

    def __init__(self, limits: RequestLimits):
        self.limits = limits
        self.http = self._make_connection()
        self.head: h11.Request | None = None
        self.arrived_s = 0.0
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.ended = False
        self.unanswered: Request | None = None

    def _make_connection(self) -> h11.Connection:
        limit = self.limits.header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

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

        :returns: the request, or None.
        :raises InvalidRequest: if the request is malformed or too large.
        """
        if self.unanswered is not None:
            data, closed = self.http.trailing_data
            if not data and not closed:
                return None
            self._skip_response()
        while not self.ended:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise InvalidRequest(error.error_status_hint) from None
            if event in (h11.NEED_DATA, h11.PAUSED):
                return None
            if isinstance(event, h11.ConnectionClosed):
                self.ended = True
            elif isinstance(event, h11.Request):
                self.head = event
                self.arrived_s = read_boot_clock()
            elif isinstance(event, h11.Data):
                self._add_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return self._finish_request()
        return None

    def _add_body(self, data: bytes) -> None:
        self.body_size += len(data)
        if self.body_size > self.limits.body_bytes:
            raise InvalidRequest(HTTP_CONTENT_TOO_LARGE)
        self.body_parts.append(data)

    def _finish_request(self) -> Request:
        head = self.head
        request = Request(
            head.method.decode("ascii"),
            head.target.decode("ascii"),
            tuple(head.headers),
            b"".join(self.body_parts),
            self.arrived_s,
        )
        self.head, self.body_parts, self.body_size = None, [], 0
        self.unanswered = request
        return request

    def _skip_response(self) -> None:
        """Let h11 go on to the next request before this one is answered.

        The response that is sent later is encoded separately.
        """
        placeholder = h11.Response(status_code=204, headers=[])
        self.http.send(placeholder)
        self._start_next_cycle()

    def _start_next_cycle(self) -> None:
        self.unanswered = None
        self.http.send(h11.EndOfMessage())
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self.ended = True

    def encode(self, response: Response, request: Request) -> bytes:
        """Encode the response to a request of this connection.

        :param response: the response.
        :param request: the request.
        :returns: the encoded response.
        """
        if self.unanswered is not request:
            return encode_response(response, request.method)
        data = send_response(self.http, response, request.method)
        self._start_next_cycle()
        return data


def encode_response(response: Response, method: str) -> bytes:
    """Encode a complete response without its connection.

    :param response: the response.
    :param method: HTTP method of the request.
    :returns: the encoded response.
    """
    # h11 frames a response by the method of the request before it.
    http = h11.Connection(h11.SERVER)
    http.receive_data(f"{method} / HTTP/1.1\r\nhost: a\r\n\r\n".encode())
    http.next_event()
    return send_response(http, response, method)


def send_response(
    http: h11.Connection, response: Response, method: str
) -> bytes:
    """Let h11 encode a response to the request that it parsed last.

    :param http: state of the connection.
    :param response: the response.
    :param method: HTTP method of the request.
    :returns: the encoded response.
    """
    headers = list(response.headers)
    headers.append((b"content-length", b"%d" % len(response.body)))
    if response.close:
        headers.append((b"connection", b"close"))
    data = http.send(
        h11.Response(status_code=response.status, headers=headers)
    )
    if response.body and method != "HEAD":
        data += http.send(h11.Data(data=response.body))
    return data
