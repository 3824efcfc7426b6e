"""Brings new revisions of the document from the store to an instance."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import random

import curio

from carawayvale.documents.envelope import CHANGE_KEY_PREFIX
from carawayvale.documents.envelope import decode_change
from carawayvale.documents.envelope import decode_envelope
from carawayvale.documents.envelope import DOCUMENT_KEY
from carawayvale.documents.store import Store
from carawayvale.documents.store import StoredValue
from carawayvale.documents.store import StoreUnavailable
from carawayvale.links.document_replica import apply_change
from carawayvale.links.document_replica import DocumentReplica
from carawayvale.telemetry.logs import log_event

WATCH_WAIT_S = 20.0
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 8.0
ROLE_CHECK_S = 1.0
LIST_READ_S = 1.0
FIRST_READ_S = 0.5


@dataclass
class DocumentUpdater:
    """Follows the document's key in the store.

    An instance with the watcher's role keeps a watch. The others ask
    for the key's revision in a slow interval with jitter. Failures are
    repeated after an exponential delay with jitter, so the store meets
    no crowd when it comes back.

    :param store: adapter to the store.
    :param keeper: the document in force.
    :param read_s: mean interval of an instance that does not watch.
    :param is_watcher: tells whether this instance has the role.
    :param changed: called after a document came into force.
    :param listed: called with the names that the platform marks as
        leaving.
    :param seed: seed of the jitter.
    """

    store: Store
    keeper: DocumentReplica
    read_s: float
    is_watcher: Callable[[], bool]
    changed: Callable[[], Awaitable[None]]
    listed: Callable[[tuple[str, ...]], Awaitable[None]]
    seed: int
    key_revision: int = 0
    offset: int = 0
    retry_s: float = FIRST_RETRY_S
    is_store_down: bool = False

    def __post_init__(self):
        self.random = random.Random(self.seed)

    async def run(self) -> None:
        """Follow the document until cancelled."""
        while True:
            try:
                await self._follow()
                self._note_up()
            except StoreUnavailable as error:
                await self._wait_after_failure(str(error))

    def _note_up(self) -> None:
        self.retry_s = FIRST_RETRY_S
        if self.is_store_down:
            self.is_store_down = False
            log_event("store_reached")

    async def _wait_after_failure(self, cause: str) -> None:
        if not self.is_store_down:
            self.is_store_down = True
            log_event("store_unreachable", "WARNING", cause=cause)
        await curio.sleep(self.retry_s * self.random.uniform(0.5, 1.5))
        self.retry_s = min(MAX_RETRY_S, 2 * self.retry_s)

    async def _follow(self) -> None:
        if not self.keeper.revision:
            # Peers that hold the document are faster than the store,
            # and many instances that start spare it their reads.
            await curio.sleep(self.random.uniform(0, FIRST_READ_S))
        if not self.keeper.revision:
            await self._read_whole()
            if not self.keeper.revision:
                await curio.sleep(self.random.uniform(0.5, 1.5))
            return
        if self.is_watcher():
            newer = await self.store.watch(
                DOCUMENT_KEY, self.key_revision, WATCH_WAIT_S
            )
        else:
            if not self.is_store_down:
                await self._sleep_until_watcher()
            newer = await self.store.watch(DOCUMENT_KEY, self.key_revision, 0)
        if newer is not None:
            await self._read_newer(newer)

    async def _sleep_until_watcher(self) -> None:
        left_s = self.read_s * self.random.uniform(0.5, 1.5)
        while left_s > 0 and not self.is_watcher():
            await curio.sleep(min(ROLE_CHECK_S, left_s))
            left_s -= ROLE_CHECK_S

    async def _read_newer(self, newer: int) -> None:
        expected = newer - self.offset
        if self.key_revision and self.keeper.revision >= expected:
            self.key_revision = newer
        elif not self.key_revision or not await self._read_change(expected):
            await self._read_whole()

    async def _read_change(self, revision: int) -> bool:
        """Read the step to a revision instead of all sections."""
        if revision != self.keeper.revision + 1:
            return False
        stored = await self.store.read(f"{CHANGE_KEY_PREFIX}{revision}")
        change = decode_change(stored.value) if stored else None
        if change is None or change.base != self.keeper.revision:
            return False
        result = await curio.run_in_thread(
            apply_change, self.keeper.document, change, "store"
        )
        if result.is_error():
            return False
        self.key_revision = revision + self.offset
        if self.keeper.accept(result.ok):
            await self.changed()
        return True

    async def _read_whole(self) -> None:
        stored = await self.store.read(DOCUMENT_KEY)
        if stored is not None:
            await self.accept_value(stored)

    async def accept_value(self, stored: StoredValue) -> None:
        """Put the document of a stored value in force.

        :param stored: value of the document's key.
        """
        decoded = decode_envelope(stored.value)
        if decoded.is_error():
            self._refuse(decoded.error)
            self.key_revision = stored.revision
            return
        envelope = decoded.ok
        if envelope.revision < self.keeper.revision:
            log_event(
                "older_revision_refused",
                "ERROR",
                revision=envelope.revision,
                in_force=self.keeper.revision,
            )
        elif envelope.revision > self.keeper.revision:
            result = await curio.run_in_thread(
                envelope.parse, DOCUMENT_KEY, self.keeper.document
            )
            if result.is_error():
                self._refuse(result.error)
            elif self.keeper.accept(result.ok):
                await self.changed()
        self.key_revision = max(self.key_revision, stored.revision)
        self.offset = stored.revision - envelope.revision

    def _refuse(self, findings: list) -> None:
        for finding in findings:
            log_event("document_refused", "ERROR", finding=str(finding))

    async def poll_instance_list(self) -> None:
        """Read the platform's list of instances while watching."""
        wait_s = LIST_READ_S
        while True:
            await curio.sleep(wait_s * self.random.uniform(0.75, 1.25))
            if not self.is_watcher():
                continue
            try:
                listed = await self.store.list_instances()
                wait_s = LIST_READ_S
            except StoreUnavailable:
                wait_s = min(MAX_RETRY_S, 2 * wait_s)
                continue
            await self.listed(
                tuple(sorted(i.name for i in listed if i.leaving))
            )
