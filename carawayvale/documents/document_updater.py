"""Updates of an instance's document replica from the store."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
import random

import curio

from carawayvale.catalogue.position import unpack_position
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

WATCH_TIMEOUT_S = 20.0
MIN_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 8.0
ROLE_CHECK_INTERVAL_S = 1.0
LIST_POLL_INTERVAL_S = 1.0
MAX_FIRST_READ_DELAY_S = 0.5


@dataclass
class DocumentUpdater:
    """Updater of the document replica when the document's key changes.

    An instance with the watcher role keeps a watch on the key. The other
    instances poll the key's revision at a long interval with jitter.
    Failed calls are retried with exponential backoff and jitter, so that
    the instances do not overload the store when it recovers.

    :param store: adapter to the store.
    :param document_replica: replica that holds the document in force.
    :param poll_interval_s: mean poll interval in seconds of an instance
        without the watcher role.
    :param has_watcher_role: returns whether this instance has the watcher
        role.
    :param on_document: called after a new document came into force.
    :param on_leaving: called with the names that the platform lists as
        leaving.
    :param seed: seed of the jitter.
    :param key_revision: latest known revision of the document's key.
    :param revision_offset: number of writes of the key minus number of
        accepted changes of the document.
    :param retry_delay_s: mean delay in seconds before the next retry.
    :param is_store_down: whether the store did not respond to the latest
        update.
    """

    store: Store
    document_replica: DocumentReplica
    poll_interval_s: float
    has_watcher_role: Callable[[], bool]
    on_document: Callable[[], Awaitable[None]]
    on_leaving: Callable[[tuple[str, ...]], Awaitable[None]]
    seed: int
    key_revision: int = 0
    revision_offset: int = 0
    retry_delay_s: float = MIN_RETRY_DELAY_S
    is_store_down: bool = False

    def __post_init__(self):
        self.random = random.Random(self.seed)

    async def run(self) -> None:
        """Update the replica until the task is cancelled."""
        while True:
            try:
                await self._update_once()
                self._record_success()
            except StoreUnavailable as error:
                await self._wait_after_failure(str(error))

    def _record_success(self) -> None:
        self.retry_delay_s = MIN_RETRY_DELAY_S
        if self.is_store_down:
            self.is_store_down = False
            log_event("store_reached")

    async def _wait_after_failure(self, cause: str) -> None:
        if not self.is_store_down:
            self.is_store_down = True
            log_event("store_unreachable", "WARNING", cause=cause)
        await curio.sleep(self.retry_delay_s * self.random.uniform(0.5, 1.5))
        self.retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * self.retry_delay_s)

    async def _update_once(self) -> None:
        if not self.document_replica.revision:
            # Peers that hold the document deliver it faster than the store.
            # Waiting for them spares the store reads when many instances
            # start at once.
            await curio.sleep(self.random.uniform(0, MAX_FIRST_READ_DELAY_S))
        if not self.document_replica.revision:
            await self._read_document()
            if not self.document_replica.revision:
                await curio.sleep(self.random.uniform(0.5, 1.5))
            return
        if self.has_watcher_role():
            new_key_revision = await self.store.watch(
                DOCUMENT_KEY, self.key_revision, WATCH_TIMEOUT_S
            )
        else:
            if not self.is_store_down:
                await self._wait_for_poll_or_role()
            new_key_revision = await self.store.watch(
                DOCUMENT_KEY, self.key_revision, 0
            )
        if new_key_revision is not None:
            await self._update_to(new_key_revision)

    async def _wait_for_poll_or_role(self) -> None:
        """Wait for the next poll, or until the instance is a watcher."""
        remaining_s = self.poll_interval_s * self.random.uniform(0.5, 1.5)
        while remaining_s > 0 and not self.has_watcher_role():
            await curio.sleep(min(ROLE_CHECK_INTERVAL_S, remaining_s))
            remaining_s -= ROLE_CHECK_INTERVAL_S

    async def _update_to(self, new_key_revision: int) -> None:
        """Update the replica to a revision of the document's key.

        Only the change is read if the replica is one revision behind.
        """
        expected = self._find_expected(new_key_revision)
        if self.key_revision and self.document_replica.revision >= expected:
            self.key_revision = new_key_revision
        elif not self.key_revision or not await self._read_change(expected):
            await self._read_document()

    def _find_expected(self, key_revision: int) -> int:
        """Find the document revision that belongs to a key revision."""
        position = unpack_position(key_revision)
        count = position.revision - self.revision_offset
        return replace(position, revision=count).pack()

    async def _read_change(self, revision: int) -> bool:
        """Read and apply only the change to a document revision.

        :param revision: document revision to update to.
        :returns: whether the change was applied; if not, the whole
            document must be read.
        """
        if revision != self.document_replica.revision + 1:
            return False
        stored = await self.store.read(f"{CHANGE_KEY_PREFIX}{revision}")
        change = decode_change(stored.value) if stored else None
        if change is None or change.base != self.document_replica.revision:
            return False
        result = await curio.run_in_thread(
            apply_change, self.document_replica.document, change, "store"
        )
        if result.is_error():
            return False
        self.key_revision = revision + self.revision_offset
        if self.document_replica.accept(result.ok):
            await self.on_document()
        return True

    async def _read_document(self) -> None:
        stored = await self.store.read(DOCUMENT_KEY)
        if stored is not None:
            await self.accept_value(stored)

    async def accept_value(self, stored: StoredValue) -> None:
        """Put the document of a stored value in force if it is newer.

        :param stored: value and revision of the document's key.
        """
        decoded = decode_envelope(stored.value)
        if decoded.is_error():
            self._log_findings(decoded.error)
            self.key_revision = stored.revision
            return
        envelope = decoded.ok
        if envelope.revision < self.document_replica.revision:
            log_event(
                "older_revision_refused",
                "ERROR",
                revision=envelope.revision,
                in_force=self.document_replica.revision,
            )
        elif envelope.revision > self.document_replica.revision:
            result = await curio.run_in_thread(
                envelope.parse, DOCUMENT_KEY, self.document_replica.document
            )
            if result.is_error():
                self._log_findings(result.error)
            elif self.document_replica.accept(result.ok):
                await self.on_document()
        self.key_revision = max(self.key_revision, stored.revision)
        self.revision_offset = (
            unpack_position(stored.revision).revision
            - unpack_position(envelope.revision).revision
        )

    def _log_findings(self, findings: list) -> None:
        for finding in findings:
            log_event("document_refused", "ERROR", finding=str(finding))

    async def poll_instance_list(self) -> None:
        """Poll the platform's list of instances until cancelled.

        Only an instance with the watcher role reads the list.
        """
        interval_s = LIST_POLL_INTERVAL_S
        while True:
            await curio.sleep(interval_s * self.random.uniform(0.75, 1.25))
            if not self.has_watcher_role():
                continue
            try:
                instances = await self.store.list_instances()
                interval_s = LIST_POLL_INTERVAL_S
            except StoreUnavailable:
                interval_s = min(MAX_RETRY_DELAY_S, 2 * interval_s)
                continue
            await self.on_leaving(
                tuple(sorted(item.name for item in instances if item.leaving))
            )
