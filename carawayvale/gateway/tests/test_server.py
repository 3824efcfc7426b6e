"""Tests of connections whose requests are pipelined."""

import curio
import pytest

from carawayvale.catalogue.records import RequestLimits
from carawayvale.contracts.address import Address
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway import request_parser
from carawayvale.gateway.request_parser import InvalidRequest
from carawayvale.gateway.request_parser import RequestParser
from carawayvale.gateway.server import RequestServer
from carawayvale.links.http import connect
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener

GET = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab"

# More than the buffers of both sockets hold.
LARGE_BODY_BYTES = 32 << 20


class TestRequestParser:
    def parse(self, data, limits=RequestLimits(), step=1 << 20):
        parser = RequestParser(limits)
        requests = []
        for start in range(0, len(data), step):
            parser.receive(data[start : start + step])
            while (request := parser.parse_next()) is not None:
                requests.append(request)
        return requests

    @pytest.mark.parametrize("step", [1, 7, 1000])
    def test_parses_all_requests_of_a_stream(self, step):
        requests = self.parse(GET % 1 + POST % 2 + GET % 3, step=step)
        assert [r.target for r in requests] == ["/1", "/2", "/3"]
        assert requests[1].body == b"ab"

    def test_joins_the_chunks_of_a_body(self):
        head = b"POST /c HTTP/1.1\r\nhost: a\r\n"
        head += b"transfer-encoding: chunked\r\n\r\n"
        requests = self.parse(
            head + b"1\r\na\r\n2\r\nbc\r\n0\r\n\r\n" + GET % 4
        )
        assert requests[0].body == b"abc" and requests[1].target == "/4"

    def test_ignores_data_after_the_last_request(self):
        close = b"GET /1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        assert len(self.parse(close + GET % 2)) == 1

    @pytest.mark.parametrize(
        "data,status",
        [
            (b"NOT HTTP\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 300, 431),
            (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n", 0),
            (
                b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n"
                + b"123456789",
                413,
            ),
        ],
    )
    def test_raises_for_malformed_or_too_large_requests(self, data, status):
        limits = RequestLimits(header_bytes=200, body_bytes=8)
        if not status:
            assert self.parse(data, limits) == []
            return
        with pytest.raises(InvalidRequest) as raised:
            self.parse(data, limits)
        assert raised.value.status == status


class GatedServer:
    """A server whose handler waits until the test releases a request."""

    def __init__(self, limits=RequestLimits()):
        self.started = []
        self.cancelled = []
        self.gates = {}
        self.body = b""
        self.server = RequestServer(self.handle, limits)

    async def handle(self, request):
        self.started.append(request.target)
        gate = self.gates.setdefault(request.target, curio.Event())
        try:
            await gate.wait()
        except curio.CancelledError:
            self.cancelled.append(request.target)
            raise
        return Response(200, body=self.body or request.target.encode())

    async def release(self, target):
        await self.gates.setdefault(target, curio.Event()).set()


async def wait_until(condition):
    async with curio.timeout_after(20):
        while not condition():
            await curio.sleep(0.01)


def run_scenario(scenario, limits=RequestLimits()):
    """Run a scenario with a server and a connection to it."""

    async def run():
        gated = GatedServer(limits)
        sock = open_listener(Address("127.0.0.1", 0))
        listener = Listener(sock, gated.server.serve)
        task = await curio.spawn(listener.run, daemon=True)
        client = await connect(listener.address)
        await curio.timeout_after(20, scenario, gated, client)
        await client.close()
        await task.cancel()

    curio.run(run)


async def read_bodies(client, count):
    """Read responses until the given number of bodies is complete."""
    data = b""
    while data.count(b"\r\n\r\n/") < count:
        piece = await client.recv(65536)
        if not piece:
            break
        data += piece
    return [part[:2] for part in data.split(b"\r\n\r\n")[1:]]


class TestLimitsOfANewConfiguration:
    """A connection that is kept gets the limits of each new configuration."""

    NEW = RequestLimits(header_bytes=2000, body_bytes=50)
    HEAD = b"POST /%d HTTP/1.1\r\nhost: a\r\ncontent-length: 20\r\n"

    def send_after_change(self, request):
        async def scenario(gated, client):
            for target in ("/1", "/2"):
                await gated.release(target)
            await client.sendall(POST % 1)
            assert await read_bodies(client, 1) == [b"/1"]
            gated.server.limits = self.NEW
            await client.sendall(request)
            assert await read_bodies(client, 1) == [b"/2"]

        old = RequestLimits(header_bytes=200, body_bytes=8)
        run_scenario(scenario, old)

    def test_larger_body_is_taken(self):
        self.send_after_change(self.HEAD % 2 + b"\r\n" + b"x" * 20)

    def test_larger_head_is_taken(self):
        field = b"x: " + b"y" * 500 + b"\r\n"
        self.send_after_change(self.HEAD % 2 + field + b"\r\n" + b"x" * 20)


class TestClientThatLeavesWithAFullPipeline:
    @pytest.mark.parametrize("number", [15, 16, 20, 40])
    def test_its_requests_are_cancelled(self, number):
        async def scenario(gated, client):
            await client.sendall(b"".join(GET % n for n in range(number)))
            running = min(number, 16)
            await wait_until(lambda: len(gated.started) == running)
            await client.close()
            async with curio.timeout_after(0.5):
                while len(gated.cancelled) < running:
                    await curio.sleep(0.01)
            assert not gated.server.open_requests

        run_scenario(scenario)

    def test_requests_behind_a_full_pipeline_are_answered(self):
        async def scenario(gated, client):
            await client.sendall(b"".join(GET % n for n in range(40)))
            for number in range(40):
                await gated.release(f"/{number}")
            bodies = await read_bodies(client, 40)
            assert len(bodies) == 40

        run_scenario(scenario)


class TestPipelining:
    def test_responses_keep_the_order_of_requests(self):
        async def scenario(gated, client):
            await client.sendall(GET % 1 + GET % 2 + GET % 3)
            await wait_until(lambda: len(gated.started) == 3)
            for target in ("/3", "/2", "/1"):
                await gated.release(target)
            assert await read_bodies(client, 3) == [b"/1", b"/2", b"/3"]

        run_scenario(scenario)

    def test_non_idempotent_request_waits_for_those_before(self):
        async def scenario(gated, client):
            await client.sendall(GET % 1 + POST % 2)
            await wait_until(lambda: gated.server.open_requests == 2)
            assert gated.started == ["/1"]
            await gated.release("/1")
            await wait_until(lambda: gated.started == ["/1", "/2"])
            await gated.release("/2")
            assert await read_bodies(client, 2) == [b"/1", b"/2"]

        run_scenario(scenario)

    def test_disconnected_caller_cancels_all_its_requests(self):
        async def scenario(gated, client):
            await client.sendall(GET % 1 + GET % 2)
            await wait_until(lambda: len(gated.started) == 2)
            await client.close()
            await wait_until(lambda: len(gated.cancelled) == 2)
            assert gated.server.open_requests == 0

        run_scenario(scenario)

    def test_closing_server_closes_after_the_last_response(self):
        async def scenario(gated, client):
            await client.sendall(GET % 1 + GET % 2)
            await wait_until(lambda: len(gated.started) == 2)
            gated.server.closing = True
            await gated.release("/1")
            await gated.release("/2")
            data = b""
            while piece := await client.recv(65536):
                data += piece
            assert data.count(b"connection: close") == 1
            assert data.endswith(b"/2")

        run_scenario(scenario)


class TestStopping:
    def test_stopped_server_closes_idle_connections(self):
        async def scenario(gated, client):
            await wait_until(lambda: gated.server.connections)
            await gated.server.stop()
            assert await client.recv(65536) == b""

        run_scenario(scenario)

    # Guards against a request that is lost in a buffer at a planned stop.
    def test_request_that_has_arrived_unread_is_answered(self):
        async def scenario(gated, client):
            await wait_until(lambda: gated.server.connections)
            await gated.release("/1")
            # Without a wait, so that the server has not read it yet.
            client._socket.send(POST % 1)
            await gated.server.stop()
            data = b""
            while piece := await client.recv(65536):
                data += piece
            assert data.startswith(b"HTTP/1.1 200")
            assert b"connection: close" in data

        run_scenario(scenario)

    def test_stopped_server_starts_no_more_requests(self):
        async def scenario(gated, client):
            await client.sendall(GET % 1)
            await wait_until(lambda: gated.started == ["/1"])
            await gated.server.stop()
            await client.sendall(GET % 2)
            await curio.sleep(0.05)
            await gated.release("/1")
            assert await read_bodies(client, 2) == [b"/1"]
            assert gated.started == ["/1"]

        run_scenario(scenario)

    def test_response_that_is_being_sent_counts_as_open(self):
        async def scenario(gated, client):
            gated.body = b"x" * LARGE_BODY_BYTES
            await client.sendall(GET % 1)
            await wait_until(lambda: gated.started == ["/1"])
            await gated.release("/1")
            await client.recv(1)
            assert gated.server.open_requests == 1
            received = 1
            while received < LARGE_BODY_BYTES:
                received += len(await client.recv(1 << 20))
            await wait_until(lambda: gated.server.open_requests == 0)

        run_scenario(scenario)


class TestSlowCallers:
    def test_slow_request_head_gets_status_408(self):
        async def scenario(gated, client):
            await client.sendall(b"GET / HT")
            assert b" 408 " in await client.recv(65536)

        run_scenario(scenario, RequestLimits(header_timeout_s=0.05))

    def test_idle_connection_is_closed_without_a_response(self):
        async def scenario(gated, client):
            assert await client.recv(65536) == b""

        run_scenario(scenario, RequestLimits(idle_timeout_s=-0.95))


class TestIdleTimeout:
    """The idle timeout applies only between requests."""

    def test_long_request_is_answered(self):
        async def scenario(gated, client):
            await client.sendall(GET % 1)
            await wait_until(lambda: gated.started == ["/1"])
            await curio.sleep(0.4)
            assert gated.cancelled == []
            await gated.release("/1")
            assert await read_bodies(client, 1) == [b"/1"]
            assert await client.recv(65536) == b""

        run_scenario(scenario, RequestLimits(idle_timeout_s=-0.9))

    def test_idle_time_counts_from_the_last_response(self):
        async def scenario(gated, client):
            await client.sendall(GET % 1)
            await wait_until(lambda: gated.started == ["/1"])
            await curio.sleep(0.8)
            await gated.release("/1")
            assert await read_bodies(client, 1) == [b"/1"]
            await curio.sleep(0.6)
            await client.sendall(GET % 2)
            await gated.release("/2")
            assert await read_bodies(client, 1) == [b"/2"]

        run_scenario(scenario, RequestLimits(idle_timeout_s=0.0))

    def test_response_that_is_being_sent_is_not_idle(self):
        async def scenario(gated, client):
            gated.body = b"x" * LARGE_BODY_BYTES
            await client.sendall(GET % 1)
            await gated.release("/1")
            await client.recv(1)
            await curio.sleep(0.6)
            received = 1
            while received < LARGE_BODY_BYTES:
                received += len(await client.recv(1 << 20))
            gated.body = b""
            await client.sendall(GET % 2)
            await gated.release("/2")
            assert b"/2" in await read_bodies(client, 1)

        run_scenario(scenario, RequestLimits(idle_timeout_s=-0.7))


class TestLastRequest:
    CLOSING = b"GET /1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"

    def test_connection_closes_after_its_response(self):
        async def scenario(gated, client):
            await client.sendall(self.CLOSING)
            await wait_until(lambda: gated.started == ["/1"])
            await gated.release("/1")
            data = b""
            async with curio.timeout_after(2.0):
                while chunk := await client.recv(1000):
                    data += chunk
            assert b"connection: close" in data.lower()

        run_scenario(scenario)


class TestClosing:
    """A connection that closes after a response while requests follow."""

    BODY_BYTES = 400_000

    def test_late_reader_gets_the_whole_last_response(self):
        async def scenario(gated, client):
            gated.body = b"x" * self.BODY_BYTES
            await client.sendall(TestLastRequest.CLOSING)
            await wait_until(lambda: gated.started == ["/1"])
            await client.sendall(POST % 2)
            await gated.release("/1")
            await curio.sleep(0.1)
            await client.sendall(POST % 3)
            await curio.sleep(0.4)
            data = b""
            while piece := await client.recv(65536):
                data += piece
            assert len(data.split(b"\r\n\r\n", 1)[1]) == self.BODY_BYTES
            assert gated.started == ["/1"]

        run_scenario(scenario)


class TestEncoding:
    def test_response_is_encoded_by_the_connection_that_parsed(
        self, monkeypatch
    ):
        parser = RequestParser(RequestLimits())
        parser.receive(GET % 1)
        request = parser.parse_next()

        def fail(response, method):
            raise AssertionError("the request was parsed again")

        monkeypatch.setattr(request_parser, "encode_response", fail)
        data = parser.encode(Response(200, body=b"ab"), request)
        assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"ab")
        parser.receive(GET % 2)
        assert parser.parse_next().target == "/2"
