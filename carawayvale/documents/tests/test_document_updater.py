"""Tests of updating the document replica from the store."""

import curio

from carawayvale.contracts import Address
from carawayvale.documents import DocumentUpdater
from carawayvale.documents import Envelope
from carawayvale.documents.envelope import DOCUMENT_KEY
from carawayvale.documents import MemoryStore
from carawayvale.links import DocumentReplica

DOCUMENT_TEMPLATE = "[region:a]\nowner = platform\nlimit = {}\n"
# So long that an instance does not poll during a test.
POLL_INTERVAL_S = 3600.0


def make_updater(poll_interval_s, has_watcher_role):
    """Make an updater with a store that holds a document."""
    store = MemoryStore(Address("127.0.0.1", 0))
    store.state.write(
        DOCUMENT_KEY, Envelope(1, DOCUMENT_TEMPLATE.format(1)).encode(), 0
    )

    async def ignore(*args):
        return None

    return DocumentUpdater(
        store,
        DocumentReplica(),
        poll_interval_s,
        lambda: has_watcher_role,
        ignore,
        ignore,
        1,
    )


async def wait_until(condition):
    """Wait until a condition holds."""
    async with curio.timeout_after(20):
        while not condition():
            await curio.sleep(0.02)


class TestDocumentUpdater:
    def test_instance_with_watcher_role_receives_each_revision(self):
        async def run():
            updater = make_updater(POLL_INTERVAL_S, True)
            task = await curio.spawn(updater.run)
            await wait_until(lambda: updater.document_replica.revision == 1)
            value = Envelope(2, DOCUMENT_TEMPLATE.format(2)).encode()
            updater.store.state.write(DOCUMENT_KEY, value, 1)
            await wait_until(lambda: updater.document_replica.revision == 2)
            await task.cancel()

        curio.run(run)

    def test_instance_without_watcher_role_detects_store_recovery(self):
        async def run():
            updater = make_updater(POLL_INTERVAL_S, False)
            updater.store.is_down = True
            task = await curio.spawn(updater.run)
            await wait_until(lambda: updater.is_store_down)
            # The document arrives from a peer during the outage.
            stored = updater.store.state.read(DOCUMENT_KEY)
            await updater.accept_value(stored)
            await curio.sleep(1.0)
            updater.store.is_down = False
            await wait_until(lambda: not updater.is_store_down)
            await task.cancel()

        curio.run(run)

    def test_older_revision_is_rejected(self):
        async def run():
            updater = make_updater(POLL_INTERVAL_S, True)
            new = Envelope(5, DOCUMENT_TEMPLATE.format(5)).encode()
            old = Envelope(4, DOCUMENT_TEMPLATE.format(4)).encode()
            state = updater.store.state
            state.write(DOCUMENT_KEY, new, 1)
            await updater.accept_value(state.read(DOCUMENT_KEY))
            state.write(DOCUMENT_KEY, old, 2)
            await updater.accept_value(state.read(DOCUMENT_KEY))
            assert updater.document_replica.revision == 5

        curio.run(run)
