"""Tests that every registered store adapter must pass."""

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
async def open_memory_store():
    """Open the adapter to a store in this process."""
    store = make_store("memory", LOOPBACK)

    def set_faults(down=False, lose=False):
        store.is_down, store.loses_responses = down, lose

    yield store, store.state, set_faults


@asynccontextmanager
async def open_http_store():
    """Open the adapter to an HTTP stand-in of the store."""
    server = StoreServer()
    listener = Listener(open_listener(LOOPBACK), server.handle)
    task = await curio.spawn(listener.run)
    store = make_store("http", listener.address)

    def set_faults(down=False, lose=False):
        server.faults.down = down
        server.faults.lose_answers = int(lose)

    yield store, server.state, set_faults
    await store.close()
    await task.cancel()


STORE_OPENERS = {"memory": open_memory_store, "http": open_http_store}


@pytest.fixture(params=sorted(STORE_KINDS))
def run(request):
    """Run a coroutine function against an adapter."""

    def run_check(check):
        async def main():
            async with STORE_OPENERS[request.param]() as opened:
                await check(*opened)

        curio.run(main)

    return run_check


class TestStores:
    def test_write_requires_the_current_revision(self, run):
        async def check(store, state, set_faults):
            assert await store.read("k") is None
            assert (await store.write("k", "a", 0)).written
            rejected = await store.write("k", "b", 0)
            assert (rejected.written, rejected.revision) == (False, 1)
            assert (await store.write("k", "b", 1)).revision == 2
            assert (await store.read("k")).value == "b"

        run(check)

    def test_oversized_value_is_rejected(self, run):
        async def check(store, state, set_faults):
            with pytest.raises(ValueError, match="exceeds"):
                await store.write("k", "x" * 1_000_001, 0)

        run(check)

    def test_watch_returns_on_a_newer_revision(self, run):
        async def check(store, state, set_faults):
            await store.write("k", "a", 0)
            task = await curio.spawn(store.watch, "k", 1, 5.0)
            await store.write("k", "b", 1)
            assert await task.join() == 2
            assert await store.watch("k", 1, 0) == 2
            assert await store.watch("k", 2, 0) is None

        run(check)

    def test_lease_has_one_holder(self, run):
        async def check(store, state, set_faults):
            assert await store.claim_lease("l", "a", 60)
            assert not await store.claim_lease("l", "b", 60)
            assert await store.claim_lease("l", "a", 0)
            assert await store.claim_lease("l", "b", 60)

        run(check)

    def test_store_that_is_down_raises_store_unavailable(self, run):
        async def check(store, state, set_faults):
            set_faults(down=True)
            with pytest.raises(StoreUnavailable):
                await store.read("k")
            set_faults()
            assert await store.read("k") is None

        run(check)

    def test_write_takes_effect_when_its_response_is_lost(self, run):
        async def check(store, state, set_faults):
            set_faults(lose=True)
            with pytest.raises(StoreUnavailable):
                await store.write("k", "a", 0)
            set_faults()
            assert (await store.read("k")).value == "a"

        run(check)

    def test_no_revision_is_given_out_again_after_a_return(self, run):
        async def check(store, state, set_faults):
            await store.write("k", "a", 0)
            copy = state.copy()
            lost = await store.write("k", "lost", 1)
            state.restore(copy)
            returned = await store.watch("k", lost.revision, 0)
            assert returned > lost.revision
            assert not (await store.write("k", "b", lost.revision)).written
            again = await store.write("k", "b", returned)
            assert again.written and again.revision > returned

        run(check)

    def test_leases_end_with_a_return(self, run):
        async def check(store, state, set_faults):
            copy = state.copy()
            assert await store.claim_lease("l", "a", 60)
            state.restore(copy)
            assert await store.claim_lease("l", "b", 60)

        run(check)

    def test_instance_list_is_read(self, run):
        async def check(store, state, set_faults):
            state.instances["g1"] = ListedInstance("g1", True)
            listed = await store.list_instances()
            assert listed == (ListedInstance("g1", True),)

        run(check)
