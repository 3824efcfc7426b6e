"""Tests of the reuse of connections to an endpoint."""

import heapq
import random

import curio
import pytest

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.address import Address
from carawayvale.gateway import endpoint_pool
from carawayvale.gateway.endpoint_pool import EndpointPool
from carawayvale.gateway.endpoint_pool import ignore_connect
from carawayvale.links import connections

ENDPOINT = EndpointRecord(
    "i-1", Address("10.0.0.1", 80), "grids", "zurich", "zrh-a", 6
)


class FakeClient:
    """A connection that stays open until its server closes it."""

    def __init__(self):
        self.is_open = True
        self.closed_by_server = False

    def has_closed(self):
        return self.closed_by_server

    def reset(self):
        return True

    async def close(self):
        self.is_open = False


class FakePool(EndpointPool):
    """Pool whose connections are opened without a network."""

    def __init__(self, rotates):
        super().__init__(ENDPOINT, ignore_connect)
        self.rotates = rotates
        self.opened = []

    async def open(self, timeout_s):
        self.opened.append(FakeClient())
        return self.opened[-1]


@pytest.fixture(name="clock")
def make_clock(monkeypatch):
    """Replace the clock of the pools."""
    clock = [100.0]
    for module in (connections, endpoint_pool):
        monkeypatch.setattr(module, "read_boot_clock", lambda: clock[0])
    return clock


def count_opened(clock, rotates):
    """Count the connections that 60 seconds of load open.

    The load is that of one endpoint: 12 requests per second that take half a
    second, a third of which may not be retried.
    """
    rng, pool, ends = random.Random(4), FakePool(rotates), []

    async def run():
        number = 0
        while clock[0] < 160.0:
            arrival_s = clock[0] + rng.expovariate(12.0)
            while ends and ends[0][0] <= arrival_s:
                clock[0], _, client = heapq.heappop(ends)
                await pool.release(client)
            clock[0] = arrival_s
            client = await pool.acquire(0.5, rng.random() < 1 / 3)
            number += 1
            took_s = 0.5 * rng.lognormvariate(0, 0.4)
            heapq.heappush(ends, (clock[0] + took_s, number, client))

    curio.run(run)
    return len(pool.opened)


class TestRotation:
    def test_a_load_opens_fewer_connections(self, clock):
        """New connections are expensive for endpoints."""
        before = count_opened(clock, False)
        clock[0] = 100.0
        assert count_opened(clock, True) < before / 2

    def test_a_request_that_may_not_be_retried_gets_a_fresh_one(self, clock):
        async def run():
            pool = FakePool(True)
            for client in [await pool.acquire(1, False) for _ in range(2)]:
                await pool.release(client)
            clock[0] += connections.MAX_FRESH_IDLE_S
            assert await pool.acquire(1, True) is pool.opened[2]
            assert all(client.is_open for client in pool.opened)
            assert await pool.acquire(1, False) is pool.opened[0]

        curio.run(run)

    def test_closed_and_old_connections_are_not_used(self, clock):
        async def run():
            pool = FakePool(True)
            for client in [await pool.acquire(1, False) for _ in range(3)]:
                await pool.release(client)
            pool.opened[0].closed_by_server = True
            pool.opened[2].closed_by_server = True
            assert await pool.acquire(1, False) is pool.opened[1]
            await pool.release(pool.opened[1])
            clock[0] += connections.MAX_IDLE_S
            assert await pool.acquire(1, False) is pool.opened[3]
            assert not any(client.is_open for client in pool.opened[:3])

        curio.run(run)
