"""Client side of an HTTP/1.1 connection, with h11 on a curio socket."""

from collections.abc import Awaitable
from collections.abc import Callable
import socket as plain_socket
from ssl import SSLSocket
from ssl import SSLWantReadError

import h11

from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import Headers
from carawayvale.links.http import InvalidResponse
from carawayvale.links.http import MAX_BODY_PARTS
from carawayvale.links.http import MAX_HEADER_BYTES
from carawayvale.links.http import READ_BYTES
from carawayvale.links.http import ResponseHead
from carawayvale.links.response_checks import find_violation
from carawayvale.links.response_checks import may_have_unread_body
from carawayvale.links.sockets import StreamSocket
from carawayvale.links.turns import STEPS_PER_READ
from carawayvale.links.turns import TurnCounter
from carawayvale.telemetry.logs import log_event

# Maximum number of informational responses before the response.
MAX_INFORMATIONAL_RESPONSES = 16

# The parser quotes the offending line, of up to MAX_HEADER_BYTES, in full.
MAX_CAUSE_LENGTH = 120

# A larger body is written separately from its head, without a copy.
MAX_JOINED_BYTES = 1 << 16


MakeRoom = Callable[[int], Awaitable[None]]


class HttpClient:
    """Client side of one connection, for one exchange at a time.

    :param sock: the connected socket.
    """

    def __init__(self, sock: StreamSocket):
        self.sock = sock
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.started = False
        self.aborted = False
        self.reusable = True
        self.turns = TurnCounter()

    async def send_head(
        self, method: str, target: str, headers: Headers, body: bytes = b""
    ) -> None:
        """Send the head of a request and the first chunk of its body.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: headers, including ``content-length`` or
            ``transfer-encoding``.
        :param body: first chunk of the body.
        :raises ConnectionBroken: if the connection fails.
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
        :param headers: headers without ``content-length``.
        :param body: the request body.
        :raises ConnectionBroken: if the connection fails.
        """
        if body or method in ("POST", "PUT", "PATCH"):
            length = (b"content-length", b"%d" % len(body))
            headers = [*headers, length]
        request = h11.Request(method=method, target=target, headers=headers)
        parts = [self.http.send(request)]
        if body:
            parts += self.http.send_with_data_passthrough(h11.Data(data=body))
        parts.append(self.http.send(h11.EndOfMessage()))
        if len(body) <= MAX_JOINED_BYTES:
            await self._write(b"".join(parts))
            return
        for part in parts:
            await self._write(part)

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the request body.

        :param data: the chunk.
        :raises ConnectionBroken: if the connection fails.
        """
        await self._write(self.http.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """Send the end of the request.

        :raises ConnectionBroken: if the connection fails.
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

    async def read_head(self) -> ResponseHead:
        """Read the head of the response, skipping informational responses.

        :returns: status and headers.
        :raises ConnectionBroken: if the connection fails first.
        :raises InvalidResponse: if the response violates HTTP/1.x, or after
            more than MAX_INFORMATIONAL_RESPONSES.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                self._check_head(event)
                continue
            if isinstance(event, h11.Response):
                return self._check_head(event)
            raise ConnectionBroken("connection closed before the answer")
        raise self._refuse_response("informational responses without end")

    def _check_head(
        self, event: h11.Response | h11.InformationalResponse
    ) -> ResponseHead:
        # An iteration over the parser's headers costs as much as the checks.
        headers = tuple(event.headers)
        status = event.status_code
        violation = find_violation(status, event.http_version, headers)
        if violation:
            raise self._refuse_response(violation)
        if may_have_unread_body(status, headers):
            self.reusable = False
        return ResponseHead(status, headers)

    def _refuse_response(self, cause: str) -> InvalidResponse:
        """Log that the peer sent no valid response, and make the error."""
        self.reusable = False
        cause = f"invalid response: {cause[:MAX_CAUSE_LENGTH]}"
        log_event(
            "invalid_response",
            "WARNING",
            peer=self._describe_peer(),
            cause=cause,
        )
        return InvalidResponse(cause)

    def _describe_peer(self) -> str:
        try:
            host, port = self.sock._socket.getpeername()[:2]
        except OSError:
            # The peer has closed the connection meanwhile.
            return "-"
        return f"{host}:{port}"

    async def read_chunk(self) -> bytes:
        """Read the next chunk of the response body.

        :returns: the chunk; empty at the end of the body.
        :raises ConnectionBroken: if the body is truncated.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise ConnectionBroken("answer is truncated")

    async def read_body(
        self, limit: int, make_room: MakeRoom | None = None
    ) -> bytes | bytearray:
        """Read the whole response body.

        :param limit: maximum size of the body in bytes.
        :param make_room: called with the size of the body so far; reading
            stops until it returns, and ends if it raises.
        :returns: the body.
        :raises ConnectionBroken: if the body is truncated, too large, or
            sent in more than MAX_BODY_PARTS parts.
        """
        body = bytearray()
        for _ in range(MAX_BODY_PARTS):
            chunk = await self.read_chunk()
            if not chunk:
                # A large body is not copied.
                small = len(body) <= MAX_JOINED_BYTES
                return bytes(body) if small else body
            size = len(body) + len(chunk)
            if size > limit:
                raise ConnectionBroken(f"answer exceeds {limit} bytes")
            if make_room is not None:
                await make_room(size)
            body += chunk
        raise ConnectionBroken(f"answer exceeds {MAX_BODY_PARTS} parts")

    async def _next_event(self) -> h11.Event:
        while True:
            await self.turns.count_steps()
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                if self.http.trailing_data[1]:
                    # The connection ended before the response did.
                    raise ConnectionBroken(str(error)) from None
                raise self._refuse_response(str(error)) from None
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.sock.recv(READ_BYTES)
            except OSError as error:
                raise ConnectionBroken(str(error)) from None
            if self.aborted:
                # The end of the stream is not that of the response.
                raise ConnectionBroken("aborted by this side")
            await self.turns.count_steps(STEPS_PER_READ)
            try:
                self.http.receive_data(data)
            except RuntimeError:
                raise ConnectionBroken("connection is closed") from None

    def skip_response(self, method: str) -> bool:
        """Prepare to read another response to the request in progress.

        The one that was read belongs to an earlier request; what follows it
        on the connection is kept.

        :param method: method of the request.
        :returns: whether another response can follow.
        """
        if self.http.their_state is not h11.DONE or not self.reusable:
            return False
        data = self.http.trailing_data[0]
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        # The state of the request only; its bytes have been sent.
        request = h11.Request(
            method=method, target="/", headers=[(b"host", b"")]
        )
        self.http.send(request)
        self.http.send(h11.EndOfMessage())
        if data:
            self.http.receive_data(data)
        return True

    def reset(self) -> bool:
        """Prepare for the next exchange.

        :returns: whether the connection can be reused.
        """
        done = h11.DONE
        if not self.reusable or self.http.our_state is not done:
            return False
        if self.http.their_state is not done or self.http.trailing_data[0]:
            return False
        self.http.start_next_cycle()
        self.started = False
        return True

    def has_closed(self) -> bool:
        """Check whether an idle connection was closed or has unexpected data.

        :returns: whether the connection must not be reused.
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
        # Without a request under way, readable data means end of stream or
        # an unsolicited response; neither leaves the connection usable.
        return True

    def abort(self) -> None:
        """Shut the socket down, so the task that uses it sees an error."""
        self.aborted = True
        try:
            self.sock.shut_down()
        except OSError as error:
            # The connection is closed already.
            log_event("abort_failed", "DEBUG", cause=str(error))

    async def close(self) -> None:
        """Close the connection."""
        await self.sock.close()
