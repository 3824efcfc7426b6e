"""Tests of the memory that the bodies of many requests take."""

import curio
import pytest

from carawayvale.contracts.address import Address
from carawayvale.gateway.body_memory import BodyMemory
from carawayvale.gateway.body_memory import BodyReservation
from carawayvale.gateway.body_memory import make_body_memory
from carawayvale.gateway.body_memory import STEP_BYTES
from carawayvale.gateway.body_memory import UNCOUNTED_BYTES
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.server import RequestServer
from carawayvale.links.http import connect
from carawayvale.links.http_client import HttpClient
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener

BODY_BYTES = 1 << 20
LIMIT_BYTES = 3 * BODY_BYTES
UPLOADS = 8
HOLD_S = 0.2
TIMEOUT_S = 20.0


class TestBodyReservation:
    def test_small_bodies_are_not_counted(self):
        memory = BodyMemory(1)
        assert memory.reserve(1)
        body = BodyReservation(memory)
        assert body.extend(0, UNCOUNTED_BYTES)
        assert body.extend(UNCOUNTED_BYTES, None)
        assert memory.used_bytes == 1

    def test_body_without_a_stated_size_is_counted_in_steps(self):
        memory = BodyMemory(4 * STEP_BYTES)
        body = BodyReservation(memory)
        assert body.extend(UNCOUNTED_BYTES + 1, None)
        reserved = memory.used_bytes
        assert reserved >= STEP_BYTES
        assert body.extend(STEP_BYTES, None)
        assert memory.used_bytes == reserved
        assert body.extend(reserved + 1, None)
        assert memory.used_bytes > reserved + STEP_BYTES
        body.release()
        assert not memory.used_bytes

    def test_single_body_over_the_limit_is_admitted(self):
        memory = BodyMemory(100_000)
        assert BodyReservation(memory).extend(0, 200_000)
        assert not BodyReservation(memory).extend(0, 70_000)

    def test_process_without_a_limit_admits_all(self):
        assert make_body_memory(0).reserve(1 << 50)


class SlowHandler:
    """Handler that holds each body for a while.

    :param memory: memory of the port.
    """

    def __init__(self, memory):
        self.memory = memory
        self.peak_bytes = 0
        self.held_bytes = 0

    async def handle(self, request):
        """Hold the body, then answer."""
        self.held_bytes += len(request.body)
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        await curio.sleep(HOLD_S)
        self.held_bytes -= len(request.body)
        return Response(200)


async def upload(address):
    """Send a large body; return the status."""
    client = HttpClient(await connect(address))
    headers = [(b"host", b"a")]
    await client.send_request("POST", "/", headers, b"x" * BODY_BYTES)
    head = await client.read_head()
    await client.close()
    return head.status


async def upload_all(wait_s):
    """Send bodies at the same time; return the handler and the statuses."""
    memory = BodyMemory(LIMIT_BYTES)
    handler = SlowHandler(memory)
    server = RequestServer(
        handler.handle, body_memory=memory, memory_wait_s=wait_s
    )
    listener = Listener(open_listener(Address("127.0.0.1", 0)), server.serve)
    task = await curio.spawn(listener.run, daemon=True)
    async with curio.timeout_after(TIMEOUT_S):
        async with curio.TaskGroup(wait=all) as group:
            for _ in range(UPLOADS):
                await group.spawn(upload, listener.address)
    await task.cancel()
    return handler, sorted(group.results)


class TestManyUploads:
    # Guards against bodies that exceed the process's memory (review/5).
    @pytest.mark.parametrize("wait_s", [0.0, TIMEOUT_S])
    def test_bodies_together_stay_within_the_limit(self, wait_s):
        async def run():
            handler, statuses = await upload_all(wait_s)
            assert handler.peak_bytes <= LIMIT_BYTES
            assert set(statuses) <= {200, 503}
            assert statuses.count(200) >= LIMIT_BYTES // BODY_BYTES
            if wait_s:
                assert statuses == [200] * UPLOADS
            assert not handler.memory.used_bytes

        curio.run(run)
