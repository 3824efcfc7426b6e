"""One authenticated websocket between two entry instances."""

from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import hmac
import secrets
import socket as plain_socket
from typing import Any
import zlib

import curio
from curio.io import Socket
from websockets.client import ClientProtocol
from websockets.frames import Frame
from websockets.frames import Opcode
from websockets.http11 import Request
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from carawayvale.links.messages import BadMessage
from carawayvale.links.messages import Challenge
from carawayvale.links.messages import decode_message
from carawayvale.links.messages import encode_message
from carawayvale.links.messages import Hello
from carawayvale.links.messages import MAX_MESSAGE_BYTES
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import Welcome

NONCE_BYTES = 16
TAG_BYTES = 16
HANDSHAKE_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 5.0
QUEUE_LENGTH = 256
READ_BYTES = 65536
DEFLATE_FROM_BYTES = 1024
PLAIN_MARK = b"\x00"
DEFLATED_MARK = b"\x01"
COMPRESSION_LEVEL = 6
CLOSE_REQUEST = b""

MessageHandler = Callable[["PeerLink", Any], Awaitable[None]]


class LinkRefused(ConnectionError):
    """The other side could not prove that it knows the key."""


class LinkBroken(ConnectionError):
    """The link ended without a word."""


class LinkClosed(LinkBroken):
    """The other side closed the link on purpose."""


def pack_message(message: Any) -> bytes:
    """Encode a message and deflate it if it is long.

    :param message: the message.
    :returns: bytes of one websocket message.
    """
    data = encode_message(message)
    if len(data) < DEFLATE_FROM_BYTES:
        return PLAIN_MARK + data
    return DEFLATED_MARK + zlib.compress(data, COMPRESSION_LEVEL)


def unpack_message(data: bytes) -> Any:
    """Decode the bytes of one websocket message.

    :param data: bytes from :func:`pack_message`.
    :returns: the message.
    :raises BadMessage: if it is malformed or too long.
    """
    mark, body = data[:1], bytes(data[1:])
    if mark == DEFLATED_MARK:
        inflate = zlib.decompressobj()
        try:
            body = inflate.decompress(body, MAX_MESSAGE_BYTES)
        except zlib.error as error:
            raise BadMessage(str(error)) from None
        if inflate.unconsumed_tail:
            raise BadMessage(f"message exceeds {MAX_MESSAGE_BYTES} bytes")
    elif mark != PLAIN_MARK:
        raise BadMessage("unknown mark")
    return decode_message(body)


def sign_handshake(
    key: bytes, role: bytes, first: bytes, second: bytes, name: str
) -> bytes:
    """Sign a step of the handshake.

    :param key: the deployment's key.
    :param role: which step.
    :param first: nonce of the accepting side.
    :param second: nonce of the opening side.
    :param name: name of the signing instance.
    :returns: the tag.
    """
    body = b"|".join((role, first, second, name.encode()))
    return hmac.digest(key, body, hashlib.sha256)[:TAG_BYTES]


class PeerLink:
    """A link; its two tasks own the socket.

    :param sock: the connected socket.
    :param protocol: the websocket's state, which does no I/O.
    """

    def __init__(
        self, sock: Socket, protocol: ClientProtocol | ServerProtocol
    ):
        self.sock = sock
        self.protocol = protocol
        self.peer: MemberRecord | None = None
        self.outbox: curio.Queue = curio.Queue(QUEUE_LENGTH)
        self.inbox: list[Any] = []
        self.is_closing = False
        self.sent_bytes = 0
        self.sent_packets = 0
        self.received_bytes = 0
        self.received_packets = 0

    async def post(self, message: Any) -> None:
        """Hand a message to the link's writer; drop it if it is stuck.

        :param message: the message.
        """
        await self.post_packed(pack_message(message))

    async def post_packed(self, data: bytes) -> None:
        """Hand an encoded message to the link's writer.

        :param data: bytes from :func:`pack_message`.
        """
        if self.outbox.qsize() < QUEUE_LENGTH:
            await self.outbox.put(data)

    async def write_all(self) -> None:
        """Write posted messages until the link breaks.

        :raises LinkBroken: if a write fails or takes too long.
        """
        while True:
            data = await self.outbox.get()
            if self.protocol.state is not State.OPEN:
                # The other side closes the link too; this answers it.
                await self.flush()
                raise LinkClosed("both sides closed the link")
            while data is not CLOSE_REQUEST:
                self.protocol.send_binary(data)
                if self.outbox.empty():
                    break
                data = await self.outbox.get()
            else:
                self.protocol.send_close()
                await self.flush()
                raise LinkClosed("closed on purpose")
            await self.flush()

    async def flush(self) -> None:
        """Write what the protocol has to send.

        :raises LinkBroken: if the write fails or takes too long.
        """
        data = b"".join(self.protocol.data_to_send())
        if not data:
            return
        self.sent_bytes += len(data)
        self.sent_packets += 1
        try:
            await curio.timeout_after(WRITE_TIMEOUT_S, self.sock.sendall, data)
        except (OSError, curio.TaskTimeout) as error:
            raise LinkBroken(f"write failed: {error}") from None

    async def receive(self) -> Any:
        """Receive the next message.

        :returns: the message.
        :raises LinkBroken: if the link ended.
        :raises BadMessage: if the peer sent something else.
        """
        while not self.inbox:
            await self._read_events()
        return self.inbox.pop(0)

    async def _read_events(self) -> list[Any]:
        try:
            data = await self.sock.recv(READ_BYTES)
        except OSError as error:
            raise LinkBroken(str(error)) from None
        if not data:
            raise LinkBroken("connection closed")
        self.received_bytes += len(data)
        self.received_packets += 1
        self.protocol.receive_data(data)
        others = []
        for event in self.protocol.events_received():
            if isinstance(event, Frame) and event.opcode is Opcode.BINARY:
                self.inbox.append(unpack_message(event.data))
            else:
                others.append(event)
        if self.protocol.state in (State.CLOSING, State.CLOSED):
            raise LinkClosed("peer closed the link")
        return others

    async def open_client(self) -> None:
        """Open the websocket as the side that connected.

        :raises LinkBroken: if the other side is no websocket server.
        """
        self.protocol.send_request(self.protocol.connect())
        await self.flush()
        while self.protocol.state is State.CONNECTING:
            await self._read_events()
            if self.protocol.handshake_exc is not None:
                raise LinkBroken(str(self.protocol.handshake_exc))

    async def open_server(self) -> None:
        """Open the websocket as the side that accepted.

        :raises LinkBroken: if the other side sends no valid request.
        """
        while self.protocol.state is State.CONNECTING:
            for event in await self._read_events():
                if isinstance(event, Request):
                    response = self.protocol.accept(event)
                    self.protocol.send_response(response)
                    await self.flush()
            if self.protocol.handshake_exc is not None:
                raise LinkBroken(str(self.protocol.handshake_exc))

    async def send_now(self, message: Any) -> None:
        """Write a message at once, before the writer runs.

        :param message: the message.
        """
        self.protocol.send_binary(pack_message(message))
        await self.flush()

    async def run(self, handle: MessageHandler) -> None:
        """Read and write messages until the link breaks.

        :param handle: called with each message.
        :raises LinkBroken: when the link ends.
        :raises BadMessage: if the peer sends something else.
        """
        writer = await curio.spawn(self._write_until_broken, daemon=True)
        try:
            while True:
                await handle(self, await self.receive())
        finally:
            await writer.cancel()

    async def _write_until_broken(self) -> None:
        try:
            await self.write_all()
        except LinkBroken:
            await self._wake_reader()

    async def _wake_reader(self) -> None:
        """End the connection; the reading task then closes the socket."""
        try:
            await self.sock.shutdown(plain_socket.SHUT_RDWR)
        except OSError:
            return

    async def close(self) -> None:
        """Ask the link's tasks to close it on purpose."""
        self.is_closing = True
        if self.outbox.qsize() < QUEUE_LENGTH:
            await self.outbox.put(CLOSE_REQUEST)
        else:
            await self._wake_reader()


async def open_link(sock: Socket, key: bytes, me: MemberRecord) -> PeerLink:
    """Open a link as the side that connected.

    :param sock: the connected socket.
    :param key: the deployment's key.
    :param me: this instance's record.
    :returns: the authenticated link.
    :raises LinkRefused: if the other side does not know the key.
    :raises LinkBroken: if the other side goes away.
    """
    uri = parse_uri(f"ws://{me.peers}/peer")
    protocol = ClientProtocol(uri, max_size=MAX_MESSAGE_BYTES)
    link = PeerLink(sock, protocol)
    await link.open_client()
    challenge = await link.receive()
    if not isinstance(challenge, Challenge):
        raise LinkRefused("no challenge")
    nonce = secrets.token_bytes(NONCE_BYTES)
    tag = sign_handshake(key, b"hello", challenge.nonce, nonce, me.name)
    await link.send_now(Hello(me, nonce, tag))
    welcome = await link.receive()
    if not isinstance(welcome, Welcome):
        raise LinkRefused("no welcome")
    name = welcome.record.name
    expected = sign_handshake(key, b"welcome", challenge.nonce, nonce, name)
    if not hmac.compare_digest(welcome.tag, expected):
        raise LinkRefused("welcome is not signed with the key")
    link.peer = welcome.record
    return link


async def accept_link(sock: Socket, key: bytes, me: MemberRecord) -> PeerLink:
    """Open a link as the side that accepted.

    :param sock: the accepted socket.
    :param key: the deployment's key.
    :param me: this instance's record.
    :returns: the authenticated link.
    :raises LinkRefused: if the other side does not know the key.
    :raises LinkBroken: if the other side goes away.
    """
    protocol = ServerProtocol(max_size=MAX_MESSAGE_BYTES)
    link = PeerLink(sock, protocol)
    await link.open_server()
    nonce = secrets.token_bytes(NONCE_BYTES)
    await link.send_now(Challenge(nonce))
    hello = await link.receive()
    if not isinstance(hello, Hello):
        raise LinkRefused("no hello")
    name = hello.record.name
    expected = sign_handshake(key, b"hello", nonce, hello.nonce, name)
    if not hmac.compare_digest(hello.tag, expected):
        raise LinkRefused("hello is not signed with the key")
    tag = sign_handshake(key, b"welcome", nonce, hello.nonce, me.name)
    await link.send_now(Welcome(me, tag))
    link.peer = hello.record
    return link
