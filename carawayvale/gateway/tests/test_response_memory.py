"""Tests of the memory that responses take until they are written."""

import curio
import pytest

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import RequestLimits
from carawayvale.contracts.address import Address
from carawayvale.gateway.body_memory import BodyMemory
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.process_memory import ProcessMemory
from carawayvale.gateway.request_parser import InvalidRequest
from carawayvale.gateway.request_parser import MAX_HEAD_LINES
from carawayvale.gateway.request_parser import RequestParser
from carawayvale.gateway import response_memory
from carawayvale.gateway.response_memory import AttemptMemory
from carawayvale.gateway.response_memory import ConnectionMemory
from carawayvale.gateway.response_memory import MAX_RESPONSE_BYTES
from carawayvale.gateway.response_memory import NoMemory
from carawayvale.gateway.response_memory import RequestMemory
from carawayvale.gateway.response_memory import ResponseMemory
from carawayvale.gateway.response_memory import UNCOUNTED_BYTES
from carawayvale.gateway.server import RequestServer
from carawayvale.gateway.tests.test_upstream import HEADERS
from carawayvale.gateway.tests.untrusted_clients import LONG_BYTES
from carawayvale.gateway.tests.untrusted_clients import make_head
from carawayvale.gateway.tests.untrusted_clients import open_site
from carawayvale.gateway.upstream import Upstream
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.links.http import connect
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.platform.headers import HEADER_NAMES
from carawayvale.soak.gateways import CALLERS

# With the default shares, 2 MB of responses to callers.
MEMORY_MB = 10.0
MB = 1_000_000
BODY_BYTES = 1_800_000
TIMEOUT_S = 20.0
POST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"

FIRST_LINES = b"GET / HTTP/1.1\r\nhost: a\r\n"


def ignore_abort():
    """Do nothing in place of closing a connection."""


def make_memory():
    """Make the memory of the responses to callers."""
    return ResponseMemory(ProcessMemory(MEMORY_MB))


class TestHolder:
    def test_small_responses_of_a_connection_are_not_counted(self):
        memory = make_memory()
        holder = ConnectionMemory(memory, ignore_abort)
        assert holder.extend(UNCOUNTED_BYTES)
        assert not memory.used_bytes
        assert holder.extend(10)
        assert memory.used_bytes == memory.process.used_bytes == 10
        holder.reduce(UNCOUNTED_BYTES)
        assert not memory.used_bytes
        assert not memory.process.used_bytes

    # Guards against requests whose bodies take the whole memory, and that
    # could not end if their responses had to wait for it.
    def test_one_response_is_admitted_beside_any_bodies(self):
        memory = make_memory()
        bodies = BodyMemory(process=memory.process)
        assert bodies.reserve(100 * MB)
        first = ConnectionMemory(memory, ignore_abort)
        assert first.extend(8 * MB)
        assert not ConnectionMemory(memory, ignore_abort).extend(MB)

    def test_bodies_leave_the_shares_of_responses(self):
        process = ProcessMemory(MEMORY_MB)
        bodies = BodyMemory(process=process)
        assert bodies.reserve(6 * MB)
        assert not bodies.reserve(2 * MB)
        process.release(6 * MB)

    def test_the_largest_client_that_takes_nothing_is_closed(self):
        memory, closed = make_memory(), []
        holders = [
            ConnectionMemory(memory, lambda n=n: closed.append(n))
            for n in range(3)
        ]
        for holder, size in zip(holders, (200_000, 300_000, 400_000)):
            assert holder.extend(size)
        memory.close_stalled()
        assert closed == []
        # The largest one makes progress.
        holders[0].progress_s = holders[1].progress_s = 0.0
        holders[2].progress_s = float("inf")
        memory.close_stalled()
        assert closed == [1]
        memory.close_stalled()
        assert closed == [1]
        holders[1].reduce(300_000)
        memory.close_stalled()
        assert closed == [1, 0]


class TestHold:
    def test_stated_size_is_reserved_as_a_whole(self):
        async def run():
            memory = make_memory()
            account = RequestMemory(ConnectionMemory(memory, ignore_abort))
            hold = AttemptMemory(account)
            hold.state(b"500000")
            await hold.make_room(1)
            assert memory.used_bytes == 500_000 - UNCOUNTED_BYTES
            await hold.make_room(500_000)
            assert memory.used_bytes == 500_000 - UNCOUNTED_BYTES
            account.close()
            assert not memory.used_bytes
            with pytest.raises(NoMemory):
                await hold.make_room(600_000)
            hold.release()
            assert not memory.used_bytes

        curio.run(run)

    # Guards against a budget that one absurd length exhausts.
    def test_a_stated_size_beyond_the_limit_reserves_the_limit(self):
        async def run():
            memory = make_memory()
            account = RequestMemory(ConnectionMemory(memory, ignore_abort))
            hold = AttemptMemory(account)
            hold.state(b"10000000000")
            await hold.make_room(1)
            assert memory.used_bytes <= MAX_RESPONSE_BYTES
            account.close()

        curio.run(run)

    def test_the_wait_for_memory_ends(self, monkeypatch):
        async def run():
            monkeypatch.setattr(response_memory, "WAIT_S", 0.1)
            memory = make_memory()
            assert ConnectionMemory(memory, ignore_abort).extend(2 * MB)
            account = RequestMemory(ConnectionMemory(memory, ignore_abort))
            with pytest.raises(NoMemory):
                await AttemptMemory(account).make_room(MB)
            assert memory.process.counts == {"response_dropped": 1}

        curio.run(run)


class RawServer:
    """A server whose responses are counted in a memory of its own."""

    def __init__(self):
        self.memory = make_memory()
        self.server = RequestServer(self.handle, response_memory=self.memory)

    async def handle(self, request):
        """Return a response of the size that fills most of the memory."""
        hold = AttemptMemory(request.response_memory)
        try:
            await hold.make_room(BODY_BYTES)
        except NoMemory:
            return Response(502)
        return Response(200, body=bytearray(BODY_BYTES))


def run_server(scenario):
    """Run a scenario with a server and its address."""

    async def run():
        raw = RawServer()
        sock = open_listener(Address("127.0.0.1", 0))
        # Inherited by the connections, so that a response remains unread.
        sock.setsockopt(1, 7, 1 << 14)
        listener = Listener(sock, raw.server.serve)
        task = await curio.spawn(listener.run, daemon=True)
        async with curio.timeout_after(TIMEOUT_S):
            await scenario(raw, listener.address)
        await task.cancel()

    curio.run(run)


async def read_response(client):
    """Read one response; return its status and the size of its body."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await client.recv(1 << 16)
    head, _, body = data.partition(b"\r\n\r\n")
    size, length = (
        len(body),
        int(head.lower().split(b"content-length: ")[1].split()[0]),
    )
    while size < length:
        size += len(await client.recv(1 << 16))
    return int(head.split()[1]), size


async def is_closed(client):
    """Wait for the end of a connection or for data on it."""
    try:
        return not await client.recv(1)
    except ConnectionResetError:
        return True


async def request_unread(address):
    """Send a request, and leave its response unread."""
    client = await connect(address)
    client.setsockopt(1, 8, 1 << 14)
    await client.sendall(GET)
    return client


class TestConnections:
    # Guards against slow readers that are closed although there is memory.
    def test_unread_response_stays_without_pressure(self):
        async def scenario(raw, address):
            client = await request_unread(address)
            await curio.sleep(1.5 * raw.memory.stall_s)
            assert await read_response(client) == (200, BODY_BYTES)
            while raw.memory.used_bytes:
                await curio.sleep(0.01)
            await client.close()

        run_server(scenario)

    def test_unread_response_yields_to_one_that_is_read(self):
        async def scenario(raw, address):
            silent = await request_unread(address)
            while not raw.memory.used_bytes:
                await curio.sleep(0.01)
            client = await connect(address)
            await client.sendall(GET)
            assert await read_response(client) == (200, BODY_BYTES)
            assert raw.memory.process.counts["client_closed"] == 1
            # The response that was dropped does not look complete.
            size = 0
            with pytest.raises(ConnectionResetError):
                while data := await silent.recv(1 << 16):
                    size += len(data)
            assert size < BODY_BYTES
            await silent.close()
            await client.close()

        run_server(scenario)

    def test_requests_behind_an_unread_response_are_not_started(self):
        async def scenario(raw, address):
            client = await request_unread(address)
            while not raw.memory.used_bytes:
                await curio.sleep(0.01)
            await client.sendall(GET * 4)
            await curio.sleep(0.1)
            assert raw.server.open_requests == 1
            for _ in range(5):
                assert await read_response(client) == (200, BODY_BYTES)
            await client.close()

        run_server(scenario)


class TestUploads:
    # Guards against a client that states a large body, sends none of it, and
    # so keeps all other callers from sending theirs.
    def test_unsent_body_yields_to_one_that_is_sent(self):
        async def handle(request):
            return Response(200)

        async def run():
            memory = BodyMemory(MB, stall_s=0.2)
            server = RequestServer(
                handle, body_memory=memory, memory_wait_s=TIMEOUT_S
            )
            listener = Listener(
                open_listener(Address("127.0.0.1", 0)), server.serve
            )
            task = await curio.spawn(listener.run, daemon=True)
            head = POST % (8 * MB)
            silent = await connect(listener.address)
            await silent.sendall(head)
            while not memory.used_bytes:
                await curio.sleep(0.01)
            # Without pressure it stays.
            await curio.sleep(0.4)
            assert memory.used_bytes
            client = await connect(listener.address)
            await client.sendall(POST % MB + bytes(MB))
            async with curio.timeout_after(TIMEOUT_S):
                assert await read_response(client) == (200, 0)
                assert await is_closed(silent)
            assert not memory.used_bytes
            assert memory.process.counts == {"client_closed": 1}
            await silent.close()
            await client.close()
            await task.cancel()

        curio.run(run)


class TestUpstream:
    # Guards against a refusal that claims that the request did not run.
    def test_response_without_memory_may_have_run(self, monkeypatch):
        async def serve(sock):
            await sock.recv(1 << 16)
            await sock.sendall(
                b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n"
                + bytes(MB)
            )

        async def run():
            monkeypatch.setattr(response_memory, "WAIT_S", 0.1)
            listener = Listener(open_listener(Address("127.0.0.1", 0)), serve)
            task = await curio.spawn(listener.run, daemon=True)
            memory = make_memory()
            assert ConnectionMemory(memory, ignore_abort).extend(2 * MB)
            account = RequestMemory(ConnectionMemory(memory, ignore_abort))
            request = Request(
                "POST", "/x", HEADERS, b"", 0.0, response_memory=account
            )
            record = EndpointRecord(
                "i-1", listener.address, "grids", "zurich", "zrh-a", 5
            )
            result = await Upstream(HEADER_NAMES, record).send(
                request, 5.0, False
            )
            assert result.outcome is UpstreamOutcome.FAILED
            assert result.no_memory
            assert not result.disconnected
            await task.cancel()

        curio.run(run)


class TestHeads:
    def parse(self, lines, max_head_lines=MAX_HEAD_LINES):
        parser = RequestParser(RequestLimits(), max_head_lines)
        parser.receive(FIRST_LINES + lines)
        return parser.parse_next()

    # Guards against a limit that refuses a head of legal size.
    def test_head_of_the_shortest_lines_up_to_the_limit_is_parsed(self):
        room = RequestLimits().header_bytes - len(FIRST_LINES) - len(b"\r\n")
        lines = b"a:\r\n" * (room // len(b"a:\r\n"))
        assert self.parse(lines + b"\r\n").target == "/"

    # Guards against objects for thousands of empty lines.
    @pytest.mark.parametrize("end", [b"", b"\r\n"])
    def test_head_with_more_lines_gets_status_431(self, end):
        with pytest.raises(InvalidRequest) as raised:
            self.parse(b"a:\r\n" * 65 + end, max_head_lines=64)
        assert raised.value.status == 431

    # Guards against many parsed heads at once, each within the limits.
    def test_lines_of_a_large_head_are_counted_before_it_is_parsed(self):
        parser = RequestParser(RequestLimits())
        parser.receive(FIRST_LINES + b"a:\r\n" * 3000 + b"\r\n")
        assert parser.count_head_lines() == 3003
        parser.parse_next()
        assert parser.count_head_lines() == 0

    def test_lines_of_a_small_head_are_not_counted(self):
        parser = RequestParser(RequestLimits())
        parser.receive(FIRST_LINES + b"a:\r\n" * 20)
        assert parser.count_head_lines() == 0

    def test_lines_of_a_body_and_of_later_requests_do_not_count(self):
        parser = RequestParser(RequestLimits())
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 600\r\n\r\n"
        parser.receive((head + b"\n" * 600) * 3)
        assert [len(parser.parse_next().body) for _ in range(3)] == [600] * 3


class TestSingleRequests:
    # Guards against limits that refuse what an instance has memory for.
    def test_largest_messages_are_served_by_the_smallest_instance(
        self, tmp_path
    ):
        async def run():
            async with open_site(tmp_path) as site:
                address = site.gateways[0].find_address(CALLERS)
                client = await connect(address)
                await client.sendall(make_head(b"/slot/long"))
                assert await read_response(client) == (200, LONG_BYTES)
                length = b"content-length: %d\r\n" % (1 << 26)
                await client.sendall(make_head(b"/book/x", length, b"POST"))
                await client.sendall(bytes(1 << 26))
                assert await read_response(client) == (200, len(b"ok"))
                await client.close()
                await site.check()

        curio.run(run)
