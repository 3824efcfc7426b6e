"""HTTP/1.1 exchanges by h11 on curio sockets, for both sides."""

from collections.abc import Iterable
from dataclasses import dataclass
import socket as plain_socket
from ssl import SSLContext
from ssl import SSLSocket
from ssl import SSLWantReadError

import curio
from curio.io import Socket
from curio import socket
import h11

from carawayvale.contracts.fields import Address

READ_BYTES = 65536
MAX_HEADER_BYTES = 16384
CONNECT_TIMEOUT_S = 1.0

Headers = list[tuple[bytes, bytes]]


class ConnectionBroken(ConnectionError):
    """The connection ended, or broke HTTP, in the midst of an exchange."""


class ConnectFailed(ConnectionBroken):
    """No connection came about; nothing was sent."""


class BadRequest(ValueError):
    """A caller sent something that is not HTTP/1.1 or too large.

    :param message: what is wrong.
    :param status: HTTP status of the answer.
    """

    def __init__(self, message: str, status: int = 400):
        super().__init__(message)
        self.status = status


@dataclass(frozen=True)
class RequestHead:
    """Method, target and headers of a request.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: header names in lower case and values.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]

    def find(self, name: bytes) -> bytes | None:
        """Find the value of a header.

        :param name: name in lower case.
        :returns: the first value, or None.
        """
        return find_header(self.headers, name)

    @property
    def path(self) -> str:
        """Target without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def find(self, name: bytes) -> bytes | None:
        """Find the value of a header.

        :param name: name in lower case.
        :returns: the first value, or None.
        """
        return find_header(self.headers, name)


def find_header(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes | None:
    """Find the first value of a header.

    :param headers: pairs of lower-case name and value.
    :param name: name in lower case.
    :returns: the value, or None.
    """
    for key, value in headers:
        if key == name:
            return value
    return None


async def connect(
    address: Address,
    timeout_s: float = CONNECT_TIMEOUT_S,
    ssl: SSLContext | None = None,
    source: str = "",
) -> Socket:
    """Open a TCP connection to an IP address.

    :param address: where to connect.
    :param timeout_s: longest wait in seconds.
    :param ssl: context for TLS, or None for plain TCP.
    :param source: IP address to connect from; empty for any.
    :returns: the connected socket.
    :raises ConnectFailed: if no connection comes about in time.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        if source:
            sock.bind((source, 0))
        async with curio.timeout_after(timeout_s):
            await sock.connect((address.host, address.port))
            disable_nagle(sock)
            if ssl is not None:
                sock = Socket(
                    ssl.wrap_socket(
                        sock._socket, do_handshake_on_connect=False
                    )
                )
                await sock.do_handshake()
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        raise ConnectFailed(f"{address}: {error}") from None
    except BaseException:
        await sock.close()
        raise
    return sock


def disable_nagle(sock: Socket) -> None:
    """Send small messages without delay.

    :param sock: a TCP socket.
    """
    sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)


class HttpServer:
    """The server's side of one connection.

    One task owns the connection and calls the methods in the order of
    an exchange: read_head, read_chunk until it is empty, send_head,
    send_chunk, finish, reset.

    :param sock: the accepted socket.
    """

    def __init__(self, sock: Socket):
        self.sock = sock
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.pending = b""
        self.body_left = False
        self.sends_body = True
        self.peer = sock.getpeername()[0]

    async def wait_for_data(self) -> bool:
        """Wait for the first bytes of the next request.

        :returns: whether there are any; if not, the caller is gone.
        """
        if self.http.trailing_data[0]:
            return True
        try:
            data = await self.sock.recv(READ_BYTES)
        except OSError:
            return False
        if not data:
            return False
        self.http.receive_data(data)
        return True

    async def read_head(self) -> RequestHead | None:
        """Read the head of the next request.

        :returns: the head, or None if the caller closed the connection.
        :raises BadRequest: if it is malformed or too large.
        """
        event = await self._next_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        return self._take_head(event)

    def parse_head(self) -> RequestHead | None:
        """Parse the head of the next request without waiting.

        :returns: the head, or None if it has not wholly arrived.
        :raises BadRequest: if it is malformed or too large.
        """
        event = self._parse_event()
        return self._take_head(event) if type(event) is h11.Request else None

    def _take_head(self, request: h11.Request) -> RequestHead:
        self.body_left = True
        self.sends_body = request.method != b"HEAD"
        return RequestHead(
            request.method.decode("ascii"),
            request.target.decode("ascii"),
            tuple(request.headers),
        )

    def _parse_event(self) -> h11.Event:
        try:
            return self.http.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise BadRequest(str(error), status) from None

    async def read_chunk(self) -> bytes:
        """Read the next piece of the request's body.

        :returns: the piece; empty at the end.
        :raises BadRequest: if the body is malformed.
        :raises ConnectionBroken: if the caller went away.
        """
        if not self.body_left:
            return b""
        if self.http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            await self.sock.sendall(self.http.send(proceed))
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.body_left = False
            return b""
        raise ConnectionBroken("caller closed the connection")

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._parse_event()
            if event is h11.NEED_DATA:
                try:
                    data = await self.sock.recv(READ_BYTES)
                except OSError:
                    data = b""
                try:
                    self.http.receive_data(data)
                except RuntimeError:
                    return h11.ConnectionClosed()
                continue
            return event

    async def send_head(self, status: int, headers: Headers) -> None:
        """Queue the head of the answer.

        :param status: HTTP status.
        :param headers: the headers.
        """
        response = h11.Response(status_code=status, headers=headers)
        self.pending += self.http.send(response)

    async def send_chunk(self, data: bytes) -> None:
        """Send a piece of the answer's body.

        :param data: the piece.
        :raises ConnectionBroken: if the caller went away.
        """
        if self.sends_body:
            self.pending += self.http.send(h11.Data(data=data))
        await self._flush()

    async def finish(self) -> None:
        """End the answer.

        :raises ConnectionBroken: if the caller went away.
        """
        self.pending += self.http.send(h11.EndOfMessage())
        await self._flush()

    async def send_answer(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole answer at once.

        :param status: HTTP status.
        :param headers: headers but for the length.
        :param body: the body.
        :raises ConnectionBroken: if the caller went away.
        """
        length = (b"content-length", b"%d" % len(body))
        await self.send_head(status, [*headers, length])
        if body and self.sends_body:
            self.pending += self.http.send(h11.Data(data=body))
        await self.finish()

    async def _flush(self) -> None:
        data, self.pending = self.pending, b""
        try:
            await self.sock.sendall(data)
        except OSError as error:
            raise ConnectionBroken(str(error)) from None

    def skip_buffered_body(self) -> None:
        """Drop the rest of a request's body as far as it has arrived."""
        while self.body_left:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError:
                return
            if isinstance(event, h11.EndOfMessage):
                self.body_left = False
            elif not isinstance(event, h11.Data):
                return

    def reset(self) -> bool:
        """Prepare for the next request.

        :returns: whether the connection can carry another request.
        """
        if self.http.our_state is not h11.DONE:
            return False
        if self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True

    @property
    def can_answer(self) -> bool:
        """Whether no answer has been started."""
        return self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE)


class HttpClient:
    """The client's side of one connection; one exchange at a time.

    :param sock: a connected socket.
    """

    def __init__(self, sock: Socket):
        self.sock = sock
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.started = False

    async def send_head(
        self, method: str, target: str, headers: Headers, body: bytes = b""
    ) -> None:
        """Send the head of a request and the start of its body.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: headers, with those that frame the body.
        :param body: first piece of the body.
        :raises ConnectionBroken: if the connection ended.
        """
        request = h11.Request(method=method, target=target, headers=headers)
        data = self.http.send(request)
        if body:
            data += self.http.send(h11.Data(data=body))
        await self._write(data)

    async def send_request(
        self, method: str, target: str, headers: Headers, body: bytes = b""
    ) -> None:
        """Send a whole request.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: headers but for the length.
        :param body: the body.
        :raises ConnectionBroken: if the connection ended.
        """
        if body or method in ("POST", "PUT", "PATCH"):
            length = (b"content-length", b"%d" % len(body))
            headers = [*headers, length]
        request = h11.Request(method=method, target=target, headers=headers)
        data = self.http.send(request)
        if body:
            data += self.http.send(h11.Data(data=body))
        data += self.http.send(h11.EndOfMessage())
        await self._write(data)

    async def send_chunk(self, data: bytes) -> None:
        """Send a piece of the request's body.

        :param data: the piece.
        :raises ConnectionBroken: if the connection ended.
        """
        await self._write(self.http.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """End the request.

        :raises ConnectionBroken: if the connection ended.
        """
        data = self.http.send(h11.EndOfMessage())
        if data:
            await self._write(data)

    async def _write(self, data: bytes) -> None:
        self.started = True
        try:
            await self.sock.sendall(data)
        except OSError as error:
            raise ConnectionBroken(str(error)) from None

    async def read_head(self) -> AnswerHead:
        """Read the head of the answer.

        :returns: the head.
        :raises ConnectionBroken: if the connection ended first.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return AnswerHead(event.status_code, tuple(event.headers))
            raise ConnectionBroken("connection closed before the answer")

    async def read_chunk(self) -> bytes:
        """Read the next piece of the answer's body.

        :returns: the piece; empty at the end.
        :raises ConnectionBroken: if the body is truncated.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise ConnectionBroken("answer is truncated")

    async def read_body(self, limit: int) -> bytes:
        """Read the whole body of the answer.

        :param limit: most bytes to accept.
        :returns: the body.
        :raises ConnectionBroken: if it is truncated or too long.
        """
        pieces = []
        size = 0
        while piece := await self.read_chunk():
            size += len(piece)
            if size > limit:
                raise ConnectionBroken(f"answer exceeds {limit} bytes")
            pieces.append(piece)
        return b"".join(pieces)

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionBroken(str(error)) from None
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.sock.recv(READ_BYTES)
            except OSError as error:
                raise ConnectionBroken(str(error)) from None
            try:
                self.http.receive_data(data)
            except RuntimeError:
                raise ConnectionBroken("connection is closed") from None

    def reset(self) -> bool:
        """Prepare for the next exchange.

        :returns: whether the connection can carry one.
        """
        done = h11.DONE
        if self.http.our_state is not done:
            return False
        if self.http.their_state is not done or self.http.trailing_data[0]:
            return False
        self.http.start_next_cycle()
        self.started = False
        return True

    def has_closed(self) -> bool:
        """Tell whether an idle connection was closed or has stray data.

        :returns: whether it must not be used again.
        """
        sock = self.sock._socket
        try:
            if isinstance(sock, SSLSocket):
                sock.recv(1)
            else:
                sock.recv(1, plain_socket.MSG_PEEK)
        except (BlockingIOError, SSLWantReadError):
            return False
        except OSError:
            return True
        # An idle connection has nothing to say but that it is closed.
        return True

    async def close(self) -> None:
        """Close the connection."""
        await self.sock.close()
