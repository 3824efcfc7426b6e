"""Authenticated websocket connection between two entry instances."""

from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import hmac
import secrets
from typing import Any
import zlib

import curio
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
from carawayvale.links.sockets import StreamSocket
from carawayvale.links.turns import STEPS_PER_READ
from carawayvale.links.turns import TurnCounter

NONCE_BYTES = 16
TAG_BYTES = 16
HANDSHAKE_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 5.0
MAX_QUEUED_MESSAGES = 256
READ_BYTES = 65536
MIN_DEFLATE_BYTES = 1024
PLAIN_PREFIX = b"\x00"
DEFLATED_PREFIX = b"\x01"
COMPRESSION_LEVEL = 6
CLOSE_SENTINEL = b""

MessageHandler = Callable[["PeerLink", Any], Awaitable[None]]


class LinkRefused(ConnectionError):
    """Error raised if the other side does not prove that it has the key."""


class LinkBroken(ConnectionError):
    """Error raised if a link ends; LinkClosed if by a close frame."""


class LinkClosed(LinkBroken):
    """Error raised if a link is closed with a close frame."""


def pack_message(message: Any) -> bytes:
    """Encode a message, and compress it from MIN_DEFLATE_BYTES on.

    :param message: the message.
    :returns: payload of one websocket message.
    """
    data = encode_message(message)
    if len(data) < MIN_DEFLATE_BYTES:
        return PLAIN_PREFIX + data
    return DEFLATED_PREFIX + zlib.compress(data, COMPRESSION_LEVEL)


def unpack_message(data: bytes) -> Any:
    """Decode the payload of one websocket message.

    :param data: payload from :func:`pack_message`.
    :returns: the message.
    :raises BadMessage: if the message is malformed or too large.
    """
    prefix, body = data[:1], bytes(data[1:])
    if prefix == DEFLATED_PREFIX:
        decompressor = zlib.decompressobj()
        try:
            body = decompressor.decompress(body, MAX_MESSAGE_BYTES)
        except zlib.error as error:
            raise BadMessage(str(error)) from None
        if decompressor.unconsumed_tail:
            raise BadMessage(f"message exceeds {MAX_MESSAGE_BYTES} bytes")
    elif prefix != PLAIN_PREFIX:
        raise BadMessage("unknown compression prefix")
    return decode_message(body)


def sign_handshake(
    key: bytes, role: bytes, first: bytes, second: bytes, name: str
) -> bytes:
    """Compute the authentication tag of a handshake message.

    :param key: shared key of the deployment.
    :param role: type of the message, ``hello`` or ``welcome``.
    :param first: nonce of the accepting side.
    :param second: nonce of the opening side.
    :param name: name of the signing instance.
    :returns: the truncated HMAC-SHA256 tag.
    """
    body = b"|".join((role, first, second, name.encode()))
    return hmac.digest(key, body, hashlib.sha256)[:TAG_BYTES]


class PeerLink:
    """Link with one peer; a reader and a writer task share the socket.

    :param sock: the connected socket.
    :param protocol: state of the websocket protocol, without I/O.
    """

    def __init__(
        self, sock: StreamSocket, protocol: ClientProtocol | ServerProtocol
    ):
        self.sock = sock
        self.protocol = protocol
        self.peer: MemberRecord | None = None
        self.outbox: curio.Queue = curio.Queue(MAX_QUEUED_MESSAGES)
        self.inbox: list[Any] = []
        self.is_closing = False
        self.sent_bytes = 0
        self.sent_packets = 0
        self.received_bytes = 0
        self.received_packets = 0
        self.skipped_messages = 0
        self.turns = TurnCounter()

    async def post(self, message: Any) -> None:
        """Queue a message for the writer; drop it if the queue is full.

        :param message: the message.
        """
        await self.post_packed(pack_message(message))

    async def post_packed(self, data: bytes) -> None:
        """Queue an encoded message for the writer.

        Drops the message if the queue is full.

        :param data: payload from :func:`pack_message`.
        """
        if self.outbox.qsize() < MAX_QUEUED_MESSAGES:
            await self.outbox.put(data)

    async def write_all(self) -> None:
        """Write queued messages until the link ends.

        :raises LinkClosed: if either side closes the link.
        :raises LinkBroken: if a write fails or times out.
        """
        while True:
            data = await self.outbox.get()
            if self.protocol.state is not State.OPEN:
                # The other side closes the link; reply with a close frame.
                await self.flush()
                raise LinkClosed("both sides closed the link")
            while data is not CLOSE_SENTINEL:
                self.protocol.send_binary(data)
                if self.outbox.empty():
                    break
                data = await self.outbox.get()
            else:
                self.protocol.send_close()
                await self.flush()
                raise LinkClosed("this side closed the link")
            await self.flush()

    async def flush(self) -> None:
        """Write the pending output of the websocket protocol.

        :raises LinkBroken: if the write fails or times out.
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
        :raises LinkBroken: if the link ends.
        :raises BadMessage: if the peer sends a malformed message.
        """
        while not self.inbox:
            await self._read_events()
        return self.inbox.pop(0)

    async def _read_events(self) -> list[Any]:
        """Read once, queue the messages and return all other events."""
        try:
            data = await self.sock.recv(READ_BYTES)
        except OSError as error:
            raise LinkBroken(str(error)) from None
        if not data:
            raise LinkBroken("connection closed")
        self.received_bytes += len(data)
        self.received_packets += 1
        self.protocol.receive_data(data)
        other_events = []
        events = self.protocol.events_received()
        await self.turns.count_steps(STEPS_PER_READ + len(events))
        for event in events:
            if isinstance(event, Frame) and event.opcode is Opcode.BINARY:
                self.inbox.append(unpack_message(event.data))
            else:
                other_events.append(event)
        if self.protocol.state in (State.CLOSING, State.CLOSED):
            raise LinkClosed("peer closed the link")
        return other_events

    async def open_as_client(self) -> None:
        """Perform the websocket handshake as the client.

        :raises LinkBroken: if the other side is not a websocket server.
        """
        self.protocol.send_request(self.protocol.connect())
        await self.flush()
        while self.protocol.state is State.CONNECTING:
            await self._read_events()
            if self.protocol.handshake_exc is not None:
                raise LinkBroken(str(self.protocol.handshake_exc))

    async def open_as_server(self) -> None:
        """Perform the websocket handshake as the server.

        :raises LinkBroken: if the other side sends no valid upgrade
            request.
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
        """Write a message immediately, before the writer task runs.

        :param message: the message.
        """
        self.protocol.send_binary(pack_message(message))
        await self.flush()

    async def run(self, handle: MessageHandler) -> None:
        """Read and write messages until the link ends.

        :param handle: called with each message.
        :raises LinkBroken: when the link ends.
        :raises BadMessage: if the peer sends a malformed message.
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
            self._wake_reader()

    def _wake_reader(self) -> None:
        """Shut the connection down, so the reader sees its end."""
        try:
            self.sock.shut_down()
        except OSError:
            return

    async def close(self) -> None:
        """Close the link with a close frame, sent by the writer."""
        self.is_closing = True
        if self.outbox.qsize() < MAX_QUEUED_MESSAGES:
            await self.outbox.put(CLOSE_SENTINEL)
        else:
            self._wake_reader()


async def open_link(
    sock: StreamSocket, key: bytes, own_record: MemberRecord
) -> PeerLink:
    """Authenticate a new link as the connecting side.

    :param sock: the connected socket.
    :param key: shared key of the deployment.
    :param own_record: member record of this instance.
    :returns: the authenticated link.
    :raises LinkRefused: if the other side does not know the key.
    :raises LinkBroken: if the link ends during the handshake.
    """
    # The address only fills the Host header, since sock is connected.
    uri = parse_uri(f"ws://{own_record.peers}/peer")
    protocol = ClientProtocol(uri, max_size=MAX_MESSAGE_BYTES)
    link = PeerLink(sock, protocol)
    await link.open_as_client()
    challenge = await link.receive()
    if not isinstance(challenge, Challenge):
        raise LinkRefused("expected a challenge")
    nonce = secrets.token_bytes(NONCE_BYTES)
    tag = sign_handshake(
        key, b"hello", challenge.nonce, nonce, own_record.name
    )
    await link.send_now(Hello(own_record, nonce, tag))
    welcome = await link.receive()
    if not isinstance(welcome, Welcome):
        raise LinkRefused("expected a welcome")
    name = welcome.record.name
    expected = sign_handshake(key, b"welcome", challenge.nonce, nonce, name)
    if not hmac.compare_digest(welcome.tag, expected):
        raise LinkRefused("welcome is not signed with the key")
    link.peer = welcome.record
    return link


async def accept_link(
    sock: StreamSocket, key: bytes, own_record: MemberRecord
) -> PeerLink:
    """Authenticate a new link as the accepting side.

    :param sock: the accepted socket.
    :param key: shared key of the deployment.
    :param own_record: member record of this instance.
    :returns: the authenticated link.
    :raises LinkRefused: if the other side does not know the key.
    :raises LinkBroken: if the link ends during the handshake.
    """
    protocol = ServerProtocol(max_size=MAX_MESSAGE_BYTES)
    link = PeerLink(sock, protocol)
    await link.open_as_server()
    nonce = secrets.token_bytes(NONCE_BYTES)
    await link.send_now(Challenge(nonce))
    hello = await link.receive()
    if not isinstance(hello, Hello):
        raise LinkRefused("expected a hello")
    name = hello.record.name
    expected = sign_handshake(key, b"hello", nonce, hello.nonce, name)
    if not hmac.compare_digest(hello.tag, expected):
        raise LinkRefused("hello is not signed with the key")
    tag = sign_handshake(key, b"welcome", nonce, hello.nonce, own_record.name)
    await link.send_now(Welcome(own_record, tag))
    link.peer = hello.record
    return link
