"""Tests of a gateway's connections with messages that have no end.

Whatever one peer sends, the event loop serves the others meanwhile.
"""

from dataclasses import replace
import socket

import curio
import pytest

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.server import RequestServer
from carawayvale.gateway.tests.test_upstream import HEAD
from carawayvale.gateway.tests.test_upstream import HEADERS
from carawayvale.gateway.upstream import Upstream
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.links.tests.floods import Flood
from carawayvale.links.tests.floods import FloodServer
from carawayvale.links.tests.floods import measure_gap
from carawayvale.platform.headers import HEADER_NAMES

LOOPBACK = "127.0.0.1"
REQUEST = Request("GET", "/x", HEADERS, b"", 0.0)

# Half of the time by which the users' rules let an answer be late.
MAX_GAP_S = 0.25

CHUNKED_POST = (
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
)
CLOSE_GET = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"

# Chunks of a body by their size in bytes.
CHUNKS = {
    1: b"1\r\nx\r\n" * 10_000,
    4: b"4\r\nrow\n\r\n" * 10_000,
    512: (b"200\r\n" + b"x" * 512 + b"\r\n") * 100,
}


async def open_server(server):
    """Serve on a free port; return the task and the address."""
    sock = open_listener(Address(LOOPBACK, 0))
    listener = Listener(sock, server.serve)
    return await curio.spawn(listener.run, daemon=True), listener.address


def open_client(address):
    """Open a blocking socket for a flood."""
    return socket.create_connection((address.host, address.port))


class TestFloodsOfEndpoints:
    # Guards against one endless body that stops a gateway (review/3).
    @pytest.mark.parametrize("size", [1, 4])
    def test_endless_chunks_end_at_the_deadline(self, size):
        async def run():
            head = HEAD + b"transfer-encoding: chunked\r\n\r\n"
            endpoint = FloodServer(head, CHUNKS[size])
            endpoint.start()
            address = Address(LOOPBACK, endpoint.port)
            record = EndpointRecord(
                "i-1", address, "grids", "zurich", "zrh-a", 5
            )
            upstream = Upstream(HEADER_NAMES, record)
            start_s = read_boot_clock()
            async with measure_gap() as longest:
                result = await upstream.send(REQUEST, 1.0, True)
            assert result.outcome is UpstreamOutcome.LATE
            assert read_boot_clock() - start_s < 1.0 + 2 * MAX_GAP_S
            assert longest.gap_s < MAX_GAP_S

        curio.run(run)


class TestFloodsOfCallers:
    # Guards against one endless body that stops a gateway (review/3).
    def test_body_in_small_chunks_arrives_whole(self):
        bodies = []

        async def handle(request):
            bodies.append(request.body)
            return Response(200, close=True)

        async def run():
            task, address = await open_server(RequestServer(handle))
            client = open_client(address)
            flood = Flood(client, CHUNKED_POST, CHUNKS[4], count=10)
            flood.start()
            async with measure_gap() as longest:
                await curio.run_in_thread(flood.join)
                client.sendall(b"0\r\n\r\n")
                async with curio.timeout_after(20.0):
                    while not bodies:
                        await curio.sleep(0.02)
            assert bodies == [b"row\n" * 100_000]
            assert longest.gap_s < MAX_GAP_S
            client.close()
            await task.cancel()

        curio.run(run)

    @pytest.mark.parametrize("size", [1, 512])
    def test_endless_body_ends_at_its_deadline(self, size):
        async def handle(request):
            raise AssertionError("the request is never complete")

        async def run():
            server = RequestServer(handle, find_timeout=lambda headers: 0.5)
            task, address = await open_server(server)
            client = open_client(address)
            client.settimeout(5.0)
            Flood(client, CHUNKED_POST, CHUNKS[size]).start()
            async with measure_gap() as longest:
                status = await curio.run_in_thread(client.recv, 12)
            assert status == b"HTTP/1.1 408"
            assert longest.gap_s < MAX_GAP_S
            await task.cancel()

        curio.run(run)

    def test_input_after_the_last_response_is_not_read_for_long(self):
        async def handle(request):
            return Response(200)

        async def run():
            server = RequestServer(handle)
            task, address = await open_server(server)
            client = open_client(address)
            Flood(client, CLOSE_GET, b"x" * 65536).start()
            async with measure_gap() as longest:
                async with curio.timeout_after(5.0):
                    await curio.sleep(0.5)
                    while server.connections:
                        await curio.sleep(0.02)
            assert longest.gap_s < MAX_GAP_S
            await task.cancel()

        curio.run(run)

    def test_slow_head_ends_at_its_timeout(self):
        async def handle(request):
            raise AssertionError("the request is never complete")

        async def run():
            server = RequestServer(handle)
            server.limits = replace(server.limits, header_timeout_s=0.5)
            task, address = await open_server(server)
            client = open_client(address)
            client.settimeout(0.1)
            client.sendall(b"GET / HTTP/1.1\r\n")
            start_s = read_boot_clock()
            status = b""
            while not status and read_boot_clock() - start_s < 3.0:
                client.sendall(b"x")
                status = await curio.run_in_thread(receive, client)
            assert status == b"HTTP/1.1 408"
            client.close()
            await task.cancel()

        curio.run(run)


def receive(client):
    """Receive the start of a response; empty if there is none yet."""
    try:
        return client.recv(12)
    except TimeoutError:
        return b""
