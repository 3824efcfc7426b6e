"""Tests that every registered adapter to a store must pass."""

from contextlib import asynccontextmanager

import curio
import pytest

from carawayvale.contracts import Address
from carawayvale.documents import ListedInstance
from carawayvale.documents import make_store
from carawayvale.documents.store import STORE_KINDS
from carawayvale.documents import StoreUnavailable
from carawayvale.links import Listener
from carawayvale.links import open_listener
from carawayvale.standins import StoreServer

LOOPBACK = Address("127.0.0.1", 0)


@asynccontextmanager
async def open_memory():
    """Open the adapter to a store in this process."""
    store = make_store("memory", LOOPBACK)

    def set_faults(down=False, lose=False):
        store.is_down, store.loses_answers = down, lose

    yield store, store.cells, set_faults


@asynccontextmanager
async def open_http():
    """Open the adapter to the stand-in over HTTP."""
    server = StoreServer()
    listener = Listener(open_listener(LOOPBACK), server.handle)
    task = await curio.spawn(listener.run)
    store = make_store("http", listener.address)

    def set_faults(down=False, lose=False):
        server.faults.down = down
        server.faults.lose_answers = int(lose)

    yield store, server.cells, set_faults
    await store.close()
    await task.cancel()


OPENERS = {"memory": open_memory, "http": open_http}


@pytest.fixture(params=sorted(STORE_KINDS))
def run(request):
    """Run a coroutine function against an adapter."""

    def start(check):
        async def main():
            async with OPENERS[request.param]() as opened:
                await check(*opened)

        curio.run(main)

    return start


class TestStores:
    def test_swap_needs_the_present_revision(self, run):
        async def check(store, cells, set_faults):
            assert await store.read("k") is None
            assert (await store.write("k", "a", 0)).written
            refused = await store.write("k", "b", 0)
            assert (refused.written, refused.revision) == (False, 1)
            assert (await store.write("k", "b", 1)).revision == 2
            assert (await store.read("k")).value == "b"

        run(check)

    def test_oversized_value_is_an_error(self, run):
        async def check(store, cells, set_faults):
            with pytest.raises(ValueError, match="exceeds"):
                await store.write("k", "x" * 1_000_001, 0)

        run(check)

    def test_watch_ends_with_the_change(self, run):
        async def check(store, cells, set_faults):
            await store.write("k", "a", 0)
            task = await curio.spawn(store.watch, "k", 1, 5.0)
            await store.write("k", "b", 1)
            assert await task.join() == 2
            assert await store.watch("k", 1, 0) == 2
            assert await store.watch("k", 2, 0) is None

        run(check)

    def test_lease_has_one_holder(self, run):
        async def check(store, cells, set_faults):
            assert await store.claim_lease("l", "a", 60)
            assert not await store.claim_lease("l", "b", 60)
            assert await store.claim_lease("l", "a", 0)
            assert await store.claim_lease("l", "b", 60)

        run(check)

    def test_store_that_is_down_is_unavailable(self, run):
        async def check(store, cells, set_faults):
            set_faults(down=True)
            with pytest.raises(StoreUnavailable):
                await store.read("k")
            set_faults()
            assert await store.read("k") is None

        run(check)

    def test_lost_answer_leaves_the_write(self, run):
        async def check(store, cells, set_faults):
            set_faults(lose=True)
            with pytest.raises(StoreUnavailable):
                await store.write("k", "a", 0)
            set_faults()
            assert (await store.read("k")).value == "a"

        run(check)

    def test_instance_list_is_read(self, run):
        async def check(store, cells, set_faults):
            cells.instances["g1"] = ListedInstance("g1", True)
            listed = await store.list_instances()
            assert listed == (ListedInstance("g1", True),)

        run(check)
