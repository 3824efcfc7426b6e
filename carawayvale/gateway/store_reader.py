"""Read the store into the replica of one instance."""

from collections.abc import Iterable
from dataclasses import dataclass

from carawayvale.catalogue.outages import OutageDetector
from carawayvale.catalogue.position import unpack_position
from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.replica import StoreReplica
from carawayvale.platform.store_client import StoreClient
from carawayvale.platform.store_client import WATCH_TIMEOUT_MARGIN_S
from carawayvale.steering.freshness import Reading
from carawayvale.telemetry.logs import log_event

# Longest time for which a call to the store waits for a change.
WATCH_WAIT_S = 1.0


@dataclass(frozen=True)
class AppliedReading:
    """A reading of the store that the replica has.

    :param reading: the reading.
    :param changed: its items that the replica did not know.
    """

    reading: Reading
    changed: list[StoredItem]


class StoreReader:
    """Reader of the store for one replica.

    :param store: client of the store.
    :param replica: the replica.
    :param outages: detector of the outages of the store.
    """

    def __init__(
        self,
        store: StoreClient,
        replica: StoreReplica,
        outages: OutageDetector,
    ):
        self.store = store
        self.replica = replica
        self.outages = outages

    async def read_all(self, start_s: float) -> AppliedReading:
        """Read all items into the replica.

        :param start_s: the time.
        :returns: the reading.
        :raises StoreFailed: if the store sends no usable response.
        """
        items = await self.store.read_all("")
        self.outages.record_answer()
        revision = items.revision
        changed = self.replica.apply_snapshot(items.items, revision, revision)
        self._log_ignored(items.items.values())
        return AppliedReading(Reading(revision, start_s), changed)

    async def read_changes(
        self, start_s: float, wait_s: float
    ) -> AppliedReading:
        """Wait for changes and apply them to the replica.

        :param start_s: the time.
        :param wait_s: longest wait in seconds.
        :returns: the reading, which has no changes if none came.
        :raises HistoryGone: if the store no longer keeps the changes.
        :raises StoreFailed: if the store sends no usable response.
        """
        self.outages.record_call(start_s + wait_s)
        changes = await self.store.watch(
            "",
            self.replica.revision,
            wait_s,
            WATCH_WAIT_S + WATCH_TIMEOUT_MARGIN_S,
        )
        self.outages.record_answer()
        changed = self.replica.apply(changes.items, changes.revision)
        return AppliedReading(Reading(changes.revision, start_s), changed)

    def _log_ignored(self, items: Iterable[StoredItem]) -> None:
        """Log the items of a reading that the replica did not accept."""
        for item in items:
            known = self.replica.items.get(item.key, item)
            if known.value != item.value:
                log_event(
                    "item_ignored",
                    "WARNING",
                    key=item.key,
                    revision=unpack_position(item.revision),
                    known=unpack_position(known.revision),
                )
