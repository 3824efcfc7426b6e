"""Tests of the product's own connections with peers that never pause."""

import socket

import curio
import pytest

from carawayvale.contracts.address import Address
from carawayvale.links.http_server import HttpServer
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.links.messages import MemberRecord
from carawayvale.links.peer_link import accept_link
from carawayvale.links.tests.floods import Flood
from carawayvale.links.tests.floods import measure_gap

LOOPBACK = "127.0.0.1"
MAX_GAP_S = 0.25
TIMEOUT_S = 1.0

CHUNKED_POST = (
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
)
UPGRADE = (
    b"GET /peer HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
    b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
)
# A masked, empty, unsolicited pong.
PONG = b"\x8a\x80\x00\x00\x00\x00"


async def read_http(sock):
    """Read a request and its body without a limit."""
    http = HttpServer(sock)
    await http.read_head()
    while await http.read_chunk():
        pass


async def read_link(sock):
    """Perform the handshake of a link."""
    address = Address(LOOPBACK, 1)
    record = MemberRecord("e1", "zurich", "zrh-a", address, address, 1)
    await accept_link(sock, b"key", record)


FLOODS = {
    "chunks": (read_http, CHUNKED_POST, b"1\r\nx\r\n" * 10_000),
    "link": (read_link, UPGRADE, PONG * 10_000),
}


class TestFloodsOfPeers:
    # Guards against one endless message that stops an instance (review/3).
    @pytest.mark.parametrize("kind", FLOODS)
    def test_timeout_ends_a_message_without_end(self, kind):
        read, first, repeated = FLOODS[kind]
        ends = []

        async def serve(sock):
            try:
                await curio.timeout_after(TIMEOUT_S, read, sock)
            except curio.TaskTimeout:
                ends.append("timeout")

        async def run():
            listener = Listener(open_listener(Address(LOOPBACK, 0)), serve)
            task = await curio.spawn(listener.run, daemon=True)
            address = listener.address
            client = socket.create_connection((address.host, address.port))
            Flood(client, first, repeated).start()
            async with measure_gap() as longest:
                async with curio.timeout_after(20.0):
                    while not ends:
                        await curio.sleep(0.02)
            assert longest.gap_s < MAX_GAP_S
            await task.cancel()

        curio.run(run)
