"""Build the catalogue and update it from the items of a store."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace

from carawayvale.capacity.weights import Capacity
from carawayvale.catalogue.outages import OutageDetector
from carawayvale.catalogue.position import find_epoch
from carawayvale.catalogue.position import unpack_position
from carawayvale.catalogue.records import Catalogue
from carawayvale.catalogue.records import Configuration
from carawayvale.catalogue.records import EMPTY_CATALOGUE
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.source import CapacityUpdate
from carawayvale.catalogue.source import CatalogueUpdate
from carawayvale.catalogue.source import ConfigurationUpdate
from carawayvale.catalogue.source import CrashUpdate
from carawayvale.catalogue.source import EndpointUpdate
from carawayvale.catalogue.source import EvacuationUpdate
from carawayvale.catalogue.source import InstanceUpdate
from carawayvale.catalogue.source import Source
from carawayvale.contracts.address import Address
from carawayvale.telemetry.logs import log_event

# The platform guarantees that entries which expired during an outage of
# the store, or which a copy lacks from which it returned, are written again
# within about two seconds of its return.
STORE_RETURN_GRACE_S = 2.2

# Ends of the same cold period, as computed from two reports, differ by
# the time that the reports took to arrive.
COLD_END_TOLERANCE_S = 0.5

# Bound of the capacities that are kept; the oldest are forgotten first.
MAX_CAPACITIES = 4096

# Less than every packed position, and of no epoch.
NO_REVISION = -1


@dataclass(frozen=True)
class ReportVersion:
    """Version of an endpoint's report, to tell stale reports from new ones.

    :param started_ms: start of the endpoint's process.
    :param sequence: number of the report, counted from that start.
    :param removed_epoch: epoch of the store in which the entry was removed
        after this report; None if it is present.
    """

    started_ms: int
    sequence: int
    removed_epoch: int | None = None

    def accepts(self, endpoint: EndpointRecord) -> bool:
        """Tell whether a report is at least as new as this version.

        A removed entry that is back in a later epoch may come from the
        copy, so only a newer report lists its endpoint again.

        :param endpoint: the report.
        :returns: whether it may replace the known report.
        """
        if endpoint.started_ms != self.started_ms:
            return endpoint.started_ms > self.started_ms
        removed = self.removed_epoch is not None
        if removed and find_epoch(endpoint.revision) > self.removed_epoch:
            return endpoint.sequence > self.sequence
        return endpoint.sequence >= self.sequence


def is_heartbeat(old: EndpointRecord, new: EndpointRecord) -> bool:
    """Tell whether a report only shows that an endpoint is alive.

    :param old: the known report.
    :param new: the new report.
    :returns: whether nothing changed except the number of the report and
        how long the endpoint stays cold.
    """
    if new.cold_until_s > old.cold_until_s + COLD_END_TOLERANCE_S:
        return False
    unchanged = replace(
        old,
        sequence=new.sequence,
        revision=new.revision,
        cold_s=new.cold_s,
        received_s=new.received_s,
    )
    return unchanged == new


def is_same_write(old: EndpointRecord, new: EndpointRecord) -> bool:
    """Tell whether two records of an entry come from the same write.

    :param old: the known record, of an earlier epoch of the store.
    :param new: the record that the store has since its return.
    :returns: whether a copy has the write from which the known record is.
    """
    position = unpack_position(old.revision)
    is_same_report = (old.started_ms, old.sequence, old.state) == (
        new.started_ms,
        new.sequence,
        new.state,
    )
    number = unpack_position(new.revision).revision
    return is_same_report and number == position.revision


class CatalogueBuilder:
    """Builder of the catalogue from items that arrive in any order.

    :param source: decoder of the items.
    """

    def __init__(self, source: Source):
        self.source = source
        self.configuration: Configuration | None = None
        self.endpoints: dict[str, EndpointRecord] = {}
        self.report_versions: dict[str, ReportVersion] = {}
        self.evacuated: set[str] = set()
        self.instances: dict[str, Address] = {}
        self.crash_updates: list[CrashUpdate] = []
        self.capacities: dict[str, Capacity] = {}
        self.outdated_entries: set[str] = set()
        self.grace_until_s: dict[str, float] = {}
        self.store_returned_s = float("-inf")
        self.restored_s = float("-inf")
        self.copied_revision = NO_REVISION
        self.evacuation_ends_s: dict[str, float] = {}
        self.outages = OutageDetector()
        self.revision = 0
        self.changed = False
        self.catalogue: Catalogue = EMPTY_CATALOGUE

    def record_confirmation(self, now_s: float) -> None:
        """Record that the store confirmed the known state.

        :param now_s: the time of the confirmation.
        """
        gap_s = now_s - self.outages.confirmed_s
        if self.outages.record_confirmation(now_s):
            self.store_returned_s = now_s
            log_event("store_returned", gap_s=f"{gap_s:.3f}")

    def _record_restored(self, now_s: float) -> None:
        """Record a return from a copy, which restarts all grace periods."""
        self.restored_s = now_s
        self.copied_revision = NO_REVISION
        for ends_s in (self.grace_until_s, self.evacuation_ends_s):
            for name in ends_s:
                ends_s[name] = now_s + STORE_RETURN_GRACE_S

    def apply(
        self, items: Iterable[StoredItem], now_s: float
    ) -> list[StoredItem]:
        """Apply changed items.

        :param items: the items.
        :param now_s: the time.
        :returns: the items that other instances have to know. A report
            that only shows that an endpoint is alive is not among them.
        """
        return [item for item in items if self._apply_item(item, now_s)]

    def _apply_item(self, item: StoredItem, now_s: float) -> bool:
        self._record_revision(item.revision, now_s)
        try:
            update = self.source.decode(item)
        except ValueError as error:
            log_event(
                "item_refused",
                "WARNING",
                key=item.key,
                revision=unpack_position(item.revision),
                cause=str(error),
            )
            update = self._replace_unreadable(item)
        if update is None:
            return False
        return UPDATE_HANDLERS[type(update)](self, update, now_s)

    def _record_revision(self, revision: int, now_s: float) -> None:
        """Record a revision, and with a new epoch the store's return."""
        is_restored = find_epoch(revision) > find_epoch(self.revision)
        if is_restored and self.revision:
            self._record_restored(now_s)
        self.revision = max(self.revision, revision)

    def _replace_unreadable(self, item: StoredItem) -> CatalogueUpdate | None:
        """Treat an unreadable entry of a known endpoint as its removal."""
        known = self.endpoints.get(item.key.rpartition("/")[2])
        if known is None or not item.key.endswith(f"/{known.name}"):
            return None
        return EndpointUpdate(known.name, None)

    def _apply_configuration(
        self, update: ConfigurationUpdate, now_s: float
    ) -> bool:
        """Put a newer version in force; a removal is only logged.

        The version decides, as a store that returned from a copy has an
        older one at a later position. Peers get each configuration, since
        they may know less than this instance.
        """
        new, old = update.configuration, self.configuration
        if new is None:
            log_event("configuration_removed", "WARNING")
            return False
        if old is not None and new.version <= old.version:
            log_event(
                "configuration_ignored",
                version=new.version,
                revision=unpack_position(new.revision),
                known=old.version,
            )
            return True
        self.configuration = new
        self.changed = True
        log_event(
            "configuration_in_force",
            version=new.version,
            revision=unpack_position(new.revision),
            routes=len(new.routes),
        )
        return True

    def _apply_endpoint(self, update: EndpointUpdate, now_s: float) -> bool:
        new = update.endpoint
        if new is None:
            return self._handle_missing_entry(update.name, now_s)
        version = self.report_versions.get(new.name)
        if version is not None and not version.accepts(new):
            log_event(
                "late_report_ignored",
                endpoint=new.name,
                sequence=new.sequence,
                known=version.sequence,
            )
            self.outdated_entries.add(new.name)
            return False
        self.report_versions[new.name] = ReportVersion(
            new.started_ms, new.sequence
        )
        had_expired = self.grace_until_s.pop(new.name, None) is not None
        was_outdated = new.name in self.outdated_entries
        self.outdated_entries.discard(new.name)
        old = self.endpoints.get(new.name)
        if old is not None:
            self._record_copied(old, new)
        new = replace(new, received_s=now_s)
        self.endpoints[new.name] = new
        if old is not None and is_heartbeat(old, new):
            # Peers know that the entry expired, or know only the outdated
            # one, so they must learn that it was written again.
            return had_expired or was_outdated
        self.changed = True
        if old is None or old.state is not new.state:
            log_event(
                "endpoint_listed",
                endpoint=new.name,
                service=new.service,
                domain=new.domain,
                state=new.state.value,
                revision=unpack_position(new.revision),
            )
        return True

    def _record_copied(self, old: EndpointRecord, new: EndpointRecord) -> None:
        """Record that a copy has an entry, and so all earlier ones."""
        if find_epoch(new.revision) == find_epoch(old.revision):
            return
        if is_same_write(old, new):
            self.copied_revision = max(self.copied_revision, old.revision)

    def _may_be_forgotten(self, endpoint: EndpointRecord) -> bool:
        """Tell whether the copy may lack an entry that is missing.

        The store has removed the entry if it was there since the return, or
        is not newer than another entry of the copy.
        """
        epoch = find_epoch(endpoint.revision)
        if epoch == find_epoch(self.revision):
            return False
        if endpoint.name in self.outdated_entries:
            return False
        is_comparable = epoch == find_epoch(self.copied_revision)
        return not is_comparable or endpoint.revision > self.copied_revision

    def _handle_missing_entry(self, name: str, now_s: float) -> bool:
        """Remove an endpoint whose entry is gone, or grant a grace period.

        An entry that an outage of the store let expire is written again,
        and so is one that the copy lacks from which the store returned.
        """
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return False
        returned_s = self.store_returned_s
        if self._may_be_forgotten(endpoint):
            returned_s = max(returned_s, self.restored_s)
        until_s = returned_s + STORE_RETURN_GRACE_S
        if now_s < until_s:
            self.grace_until_s.setdefault(name, until_s)
            log_event(
                "endpoint_kept", endpoint=name, left_s=f"{until_s - now_s:.3f}"
            )
            return True
        self._remove_endpoint(name, "removed")
        return True

    def _remove_endpoint(self, name: str, cause: str) -> None:
        del self.endpoints[name]
        self.grace_until_s.pop(name, None)
        self.outdated_entries.discard(name)
        self.report_versions[name] = replace(
            self.report_versions[name], removed_epoch=find_epoch(self.revision)
        )
        self.changed = True
        log_event("endpoint_gone", endpoint=name, cause=cause)

    def _apply_evacuation(
        self, update: EvacuationUpdate, now_s: float
    ) -> bool:
        """Start or end an evacuation.

        One that the copy lacks from which the store returned was not taken
        back by the operators, who write it again.
        """
        domain = update.domain
        self.evacuation_ends_s.pop(domain, None)
        log_event("evacuation", domain=domain, wanted=update.wanted)
        if update.wanted:
            self.evacuated.add(domain)
            self.changed = True
        elif now_s - self.restored_s < STORE_RETURN_GRACE_S:
            self.evacuation_ends_s[domain] = (
                self.restored_s + STORE_RETURN_GRACE_S
            )
        else:
            self._end_evacuation(domain)
        return True

    def _end_evacuation(self, domain: str) -> None:
        self.evacuation_ends_s.pop(domain, None)
        self.evacuated.discard(domain)
        self.changed = True

    def _apply_instance(self, update: InstanceUpdate, now_s: float) -> bool:
        if update.peers is None:
            self.instances.pop(update.name, None)
        else:
            self.instances[update.name] = update.peers
        return True

    def _apply_capacity(self, update: CapacityUpdate, now_s: float) -> bool:
        """Record a capacity; it holds for a later process of the instance."""
        if update.capacity is not None:
            self.capacities.pop(update.name, None)
            self.capacities[update.name] = update.capacity
            if len(self.capacities) > MAX_CAPACITIES:
                del self.capacities[next(iter(self.capacities))]
        return True

    def _keep_crash(self, update: CrashUpdate, now_s: float) -> bool:
        """Keep the record of a crash, which is no part of the catalogue."""
        self.crash_updates.append(update)
        return True

    def take_crash_updates(self) -> list[CrashUpdate]:
        """Take the changed records of crashes since the last call.

        :returns: the changes in the order in which they were applied.
        """
        taken, self.crash_updates = self.crash_updates, []
        return taken

    def drop_expired(self, now_s: float) -> None:
        """Remove entries and evacuations that were not written again.

        Entries that expired during an outage of the store have a grace
        period, and so has what a copy lacks from which it returned.

        :param now_s: the time.
        """
        for name, until_s in list(self.grace_until_s.items()):
            if now_s >= until_s:
                self._remove_endpoint(name, "not_written_again")
        for domain, until_s in list(self.evacuation_ends_s.items()):
            if now_s >= until_s:
                self._end_evacuation(domain)

    def take_catalogue(self) -> Catalogue | None:
        """Take the catalogue if it has changed since the last call.

        :returns: the new catalogue, or None.
        """
        if not self.changed:
            return None
        self.changed = False
        self.catalogue = Catalogue(
            self.configuration,
            dict(self.endpoints),
            frozenset(self.evacuated),
            self.revision,
        )
        return self.catalogue


UpdateHandler = Callable[[CatalogueBuilder, CatalogueUpdate, float], bool]
UPDATE_HANDLERS: dict[type, UpdateHandler] = {
    CapacityUpdate: CatalogueBuilder._apply_capacity,
    ConfigurationUpdate: CatalogueBuilder._apply_configuration,
    CrashUpdate: CatalogueBuilder._keep_crash,
    EndpointUpdate: CatalogueBuilder._apply_endpoint,
    EvacuationUpdate: CatalogueBuilder._apply_evacuation,
    InstanceUpdate: CatalogueBuilder._apply_instance,
}
