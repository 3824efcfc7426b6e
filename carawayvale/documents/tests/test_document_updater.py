"""Tests of updating the document replica from the store."""

import curio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from carawayvale.contracts import Address
from carawayvale.documents import DocumentUpdater
from carawayvale.documents import Edit
from carawayvale.documents import Editor
from carawayvale.documents import EditStatus
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


async def set_limit(updater, limit):
    """Edit the limit of the region; returns the revision of the edit."""
    edit = Edit("region:a", "platform", {"limit": str(limit)})
    result = await Editor(updater.store).edit(edit)
    assert result.status is EditStatus.ACCEPTED
    return result.revision


def find_limit(updater):
    """Find the limit in force."""
    section = updater.document_replica.document.sections["region:a"]
    return section.body.rpartition("=")[2].strip()


class TestStoreReturn:
    def run_with_updater(self, scenario):
        async def run():
            updater = make_updater(POLL_INTERVAL_S, True)
            task = await curio.spawn(updater.run)
            await wait_until(lambda: updater.document_replica.revision == 1)
            await scenario(updater)
            await task.cancel()

        curio.run(run)

    def test_edits_after_the_return_from_a_copy_come_into_force(self):
        async def scenario(updater):
            copy = updater.store.state.copy()
            for limit in (2, 3, 4):
                await set_limit(updater, limit)
            await wait_until(lambda: find_limit(updater) == "4")
            updater.store.state.restore(copy)
            for limit in (5, 6, 7, 8):
                await set_limit(updater, limit)
                await wait_until(lambda: find_limit(updater) == str(limit))

        self.run_with_updater(scenario)

    def test_edit_at_a_revision_given_out_again_comes_into_force(self):
        async def scenario(updater):
            copy = updater.store.state.copy()
            lost = await set_limit(updater, 2)
            await wait_until(lambda: find_limit(updater) == "2")
            updater.store.state.restore(copy)
            assert await set_limit(updater, 3) > lost
            await wait_until(lambda: find_limit(updater) == "3")

        self.run_with_updater(scenario)

    def test_document_of_the_copy_does_not_replace_a_newer_one(self):
        async def scenario(updater):
            copy = updater.store.state.copy()
            await set_limit(updater, 2)
            await wait_until(lambda: find_limit(updater) == "2")
            updater.store.state.restore(copy)
            returned = updater.store.state.read(DOCUMENT_KEY)
            await wait_until(lambda: updater.key_revision == returned.revision)
            assert find_limit(updater) == "2"

        self.run_with_updater(scenario)

    @settings(max_examples=25)
    @given(st.lists(st.sampled_from(["edit", "copy", "restore"]), max_size=12))
    def test_the_last_edit_is_in_force_after_any_returns(self, steps):
        async def scenario(updater):
            state = updater.store.state
            copy = state.copy()
            in_force = "1"
            for number, step in enumerate(steps, 2):
                if step == "copy":
                    copy = state.copy()
                elif step == "restore":
                    state.restore(copy)
                else:
                    await set_limit(updater, number)
                    in_force = str(number)
                    await wait_until(lambda: find_limit(updater) == in_force)
            assert find_limit(updater) == in_force

        self.run_with_updater(scenario)
