"""Server side of an HTTP/1.1 connection, with h11 on a curio socket."""

import h11

from carawayvale.links.http import BadRequest
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import Headers
from carawayvale.links.http import MAX_HEADER_BYTES
from carawayvale.links.http import READ_BYTES
from carawayvale.links.http import RequestHead
from carawayvale.links.sockets import StreamSocket
from carawayvale.links.turns import STEPS_PER_READ
from carawayvale.links.turns import TurnCounter


class HttpServer:
    """Server side of one connection.

    One task owns the connection and calls the methods in the order of
    an exchange: read_head, read_chunk until it returns no bytes,
    send_head, send_chunk, finish, reset.

    :param sock: the accepted socket.
    """

    def __init__(self, sock: StreamSocket):
        self.sock = sock
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.pending = b""
        self.body_left = False
        self.sends_body = True
        self.turns = TurnCounter()
        self.peer = sock.getpeername()[0]

    async def wait_for_data(self) -> bool:
        """Wait for the first bytes of the next request.

        :returns: whether data arrived; False if the connection was closed.
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
        :raises BadRequest: if the head is malformed or too large.
        """
        event = await self._next_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        return self._make_head(event)

    def parse_head(self) -> RequestHead | None:
        """Parse the head of the next request from buffered data.

        :returns: the head, or None if it has not arrived completely.
        :raises BadRequest: if the head is malformed or too large.
        """
        event = self._parse_event()
        return self._make_head(event) if type(event) is h11.Request else None

    def _make_head(self, request: h11.Request) -> RequestHead:
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
        """Read the next chunk of the request body.

        Sends ``100 Continue`` first if the caller waits for it.

        :returns: the chunk; empty at the end of the body.
        :raises BadRequest: if the body is malformed.
        :raises ConnectionBroken: if the caller disconnects.
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
            await self.turns.count_steps()
            event = self._parse_event()
            if event is h11.NEED_DATA:
                try:
                    data = await self.sock.recv(READ_BYTES)
                except OSError:
                    data = b""
                await self.turns.count_steps(STEPS_PER_READ)
                try:
                    self.http.receive_data(data)
                except RuntimeError:
                    return h11.ConnectionClosed()
                continue
            return event

    async def send_head(self, status: int, headers: Headers) -> None:
        """Buffer the head of the response until the next write.

        :param status: HTTP status.
        :param headers: the headers.
        """
        response = h11.Response(status_code=status, headers=headers)
        self.pending += self.http.send(response)

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the response body.

        :param data: the chunk.
        :raises ConnectionBroken: if the caller disconnects.
        """
        if self.sends_body:
            self.pending += self.http.send(h11.Data(data=data))
        await self._flush()

    async def finish(self) -> None:
        """Send the end of the response.

        :raises ConnectionBroken: if the caller disconnects.
        """
        self.pending += self.http.send(h11.EndOfMessage())
        await self._flush()

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole response in one write.

        :param status: HTTP status.
        :param headers: headers without ``content-length``.
        :param body: the response body.
        :raises ConnectionBroken: if the caller disconnects.
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
        """Discard the part of the request body that is already buffered."""
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
    def can_respond(self) -> bool:
        """Whether no response has been started."""
        return self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE)
