"""Tests of the client of a store that returns from a copy."""

import curio
import pytest

from carawayvale.links.http import ResponseHead
from carawayvale.platform.store_client import StoreClient
from carawayvale.platform.store_client import Write
from carawayvale.platform.store_responses import EPOCH_HEADER
from carawayvale.platform.store_responses import HistoryGone
from carawayvale.platform.store_responses import LeaseEnded
from carawayvale.platform.store_responses import read_epoch
from carawayvale.platform.store_responses import StoreFailed
from carawayvale.platform.tests.fakes import FakeStore
from carawayvale.platform.tests.fakes import open_port
from carawayvale.platform.tests.fakes import POLL_S

TIMEOUT_S = 5.0
PAGE_ITEMS = 50  # of the fake store


def run_with_store(scenario):
    """Run a scenario with a fake store and a client."""

    async def run():
        store = FakeStore()
        listener = open_port(lambda request: store.handle(request))
        task = await curio.spawn(listener.run, daemon=True)
        try:
            await scenario(store, StoreClient(listener.address, TIMEOUT_S))
        finally:
            await task.cancel()

    curio.run(run)


async def fails_with(error, call):
    """Tell whether a call raises an error."""
    try:
        await call
    except error:
        return True
    return False


class TestEpochHeader:
    @pytest.mark.parametrize(
        "value,epoch", [(None, 0), (b"1", 0), (b"2", 1), (b"7", 6)]
    )
    def test_header_is_counted_from_the_first_epoch(self, value, epoch):
        headers = () if value is None else ((EPOCH_HEADER, value),)
        assert read_epoch(ResponseHead(200, headers)) == epoch

    @pytest.mark.parametrize("value", [b"", b"x", b"-1", b"1.5"])
    def test_malformed_header_raises_store_failed(self, value):
        with pytest.raises(StoreFailed):
            read_epoch(ResponseHead(200, ((EPOCH_HEADER, value),)))

    def test_positions_of_the_first_epoch_are_revisions(self):
        async def scenario(store, client):
            store.put("a", b"x")
            reading = await client.read_all("")
            assert reading.revision == store.revision
            assert reading.items["a"].revision == store.revision

        run_with_store(scenario)


class TestEndOfWatch:
    def test_change_at_the_end_of_the_wait_is_not_lost(self):
        async def scenario(store, client):
            reading = await client.read_all("")
            watch = await curio.spawn(
                client.watch, "", reading.revision, POLL_S
            )
            while "GET /kv-watch" not in store.calls:
                await curio.sleep(0)
            store.put("a", b"x")
            changes = await watch.join()
            assert changes.revision == reading.revision or changes.items

        run_with_store(scenario)


class TestReturnFromCopy:
    def test_watch_does_not_skip_changes_at_reused_revisions(self):
        async def scenario(store, client):
            copy = store.copy()
            store.put("a", b"lost")
            reading = await client.read_all("")
            store.restore(copy)
            store.put("a", b"written again")
            store.put("b", b"new")
            assert await fails_with(
                HistoryGone, client.watch("", reading.revision, 0.1)
            )
            again = await client.read_all("")
            assert again.revision > reading.revision
            assert again.items["a"].revision > reading.items["a"].revision

        run_with_store(scenario)

    def test_pages_from_before_and_after_the_return_are_not_mixed(self):
        async def scenario(store, client):
            copy = store.copy()
            for number in range(PAGE_ITEMS + 1):
                store.put(f"key-{number:03}", b"lost")
            handle = store.handle

            async def restore_after_the_first_page(request):
                response = await handle(request)
                if store.era == 1:
                    store.restore(copy)
                    for number in range(PAGE_ITEMS, PAGE_ITEMS + 2):
                        store.put(f"key-{number:03}", b"new")
                return response

            store.handle = restore_after_the_first_page
            reading = await client.read_all("")
            values = {item.value for item in reading.items.values()}
            assert values == {b"new"} and len(reading.items) == 2

        run_with_store(scenario)

    def test_late_response_from_before_the_return_is_not_used(self):
        async def scenario(store, client):
            store.era = 2
            reading = await client.read_all("")
            store.era = 1
            for call in (
                client.read_all(""),
                client.watch("", reading.revision, 0.1),
                client.open_lease(5.0),
                client.write(Write("a", b"")),
            ):
                assert await fails_with(StoreFailed, call)

        run_with_store(scenario)

    def test_lease_of_another_client_with_a_reused_number_is_not_renewed(
        self,
    ):
        async def scenario(store, client):
            copy = store.copy()
            lease = await client.open_lease(5.0)
            store.restore(copy)
            await StoreClient(client.address, TIMEOUT_S).open_lease(5.0)
            assert await fails_with(LeaseEnded, client.renew_lease(lease))

        run_with_store(scenario)

    def test_entry_written_with_a_reused_lease_number_counts_as_lost(self):
        async def scenario(store, client):
            copy = store.copy()
            lease = await client.open_lease(5.0)
            store.restore(copy)
            await StoreClient(client.address, TIMEOUT_S).open_lease(5.0)
            assert await fails_with(
                LeaseEnded, client.write(Write("a", b"", lease))
            )

        run_with_store(scenario)

    def test_conditional_write_does_not_match_a_reused_revision(self):
        async def scenario(store, client):
            copy = store.copy()
            store.put("a", b"lost")
            expected = (await client.read_all("")).items["a"].revision
            store.restore(copy)
            store.put("a", b"of another writer")
            await client.read_all("")
            written = await client.write(Write("a", b"x"), expected)
            assert not written
            row = (await client.read_all("")).items["a"]
            assert row.value == b"of another writer"

        run_with_store(scenario)
