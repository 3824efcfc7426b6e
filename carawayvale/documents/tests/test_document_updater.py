"""Tests of following the document in the store."""

import curio

from carawayvale.contracts import Address
from carawayvale.documents import DocumentUpdater
from carawayvale.documents import Envelope
from carawayvale.documents.envelope import DOCUMENT_KEY
from carawayvale.documents import MemoryStore
from carawayvale.links import DocumentKeeper

TEXT = "[region:a]\nowner = platform\nlimit = {}\n"
NEVER_S = 3600.0


def make_watcher(read_s, watches):
    """Make a watcher of a store with a document."""
    store = MemoryStore(Address("127.0.0.1", 0))
    store.state.write(DOCUMENT_KEY, Envelope(1, TEXT.format(1)).encode(), 0)

    async def ignore(*args):
        return None

    return DocumentUpdater(
        store, DocumentKeeper(), read_s, lambda: watches, ignore, ignore, 1
    )


async def wait_until(check):
    """Wait on a condition."""
    async with curio.timeout_after(20):
        while not check():
            await curio.sleep(0.02)


class TestDocumentUpdater:
    def test_watcher_follows_each_revision(self):
        async def run():
            watcher = make_watcher(NEVER_S, True)
            task = await curio.spawn(watcher.run)
            await wait_until(lambda: watcher.keeper.revision == 1)
            value = Envelope(2, TEXT.format(2)).encode()
            watcher.store.state.write(DOCUMENT_KEY, value, 1)
            await wait_until(lambda: watcher.keeper.revision == 2)
            await task.cancel()

        curio.run(run)

    def test_store_that_comes_back_is_noticed_without_the_role(self):
        async def run():
            watcher = make_watcher(NEVER_S, False)
            watcher.store.is_down = True
            task = await curio.spawn(watcher.run)
            await wait_until(lambda: watcher.is_store_down)
            # The document arrives from a peer during the outage.
            stored = watcher.store.state.read(DOCUMENT_KEY)
            await watcher.accept_value(stored)
            await curio.sleep(1.0)
            watcher.store.is_down = False
            await wait_until(lambda: not watcher.is_store_down)
            await task.cancel()

        curio.run(run)

    def test_older_revision_is_refused(self):
        async def run():
            watcher = make_watcher(NEVER_S, True)
            new = Envelope(5, TEXT.format(5)).encode()
            old = Envelope(4, TEXT.format(4)).encode()
            cells = watcher.store.state
            cells.write(DOCUMENT_KEY, new, 1)
            await watcher.accept_value(cells.read(DOCUMENT_KEY))
            cells.write(DOCUMENT_KEY, old, 2)
            await watcher.accept_value(cells.read(DOCUMENT_KEY))
            assert watcher.keeper.revision == 5

        curio.run(run)
