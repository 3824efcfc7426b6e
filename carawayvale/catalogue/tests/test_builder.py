"""Tests of the replica of the store and of the catalogue built from it."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies

from carawayvale.capacity.weights import Capacity
from carawayvale.catalogue.builder import CatalogueBuilder
from carawayvale.catalogue.builder import MAX_CAPACITIES
from carawayvale.catalogue.builder import STORE_RETURN_GRACE_S
from carawayvale.catalogue.position import StorePosition
from carawayvale.catalogue.records import Configuration
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import EndpointState
from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.replica import StoreReplica
from carawayvale.catalogue.source import CapacityUpdate
from carawayvale.catalogue.source import ConfigurationUpdate
from carawayvale.catalogue.source import EndpointUpdate
from carawayvale.catalogue.source import EvacuationUpdate
from carawayvale.catalogue.source import Source
from carawayvale.contracts.address import Address

ENDPOINT = EndpointRecord(
    "i-1",
    Address("10.0.0.1", 80),
    "grids",
    "zurich",
    "zrh-a",
    5,
    started_ms=100,
    sequence=4,
)


class FakeSource(Source):
    """Source that decodes items by a table of updates by revision."""

    def __init__(self):
        self.updates = {}

    def decode(self, item):
        update = self.updates.get(item.revision)
        if isinstance(update, Exception):
            raise update
        return update


class CatalogueFixture:
    """Catalogue builder with a source that tests fill."""

    def __init__(self):
        self.source = FakeSource()
        self.builder = CatalogueBuilder(self.source)
        self.revision = 0

    def apply(self, update, now_s, key="servers/i-1"):
        self.revision += 1
        self.source.updates[self.revision] = update
        self.builder.apply([StoredItem(key, self.revision, b"")], now_s)

    @property
    def endpoints(self):
        self.builder.take_catalogue()
        return self.builder.catalogue.endpoints


def list_present(replica):
    """List the items of a replica that are not deleted."""
    return [i for i in replica.items.values() if i.value is not None]


class TestStoreReplica:
    def test_a_key_never_goes_back_to_an_earlier_revision(self):
        replica = StoreReplica()
        replica.apply([StoredItem("a", 5, b"new")], 5)
        assert replica.apply([StoredItem("a", 4, b"old")], 4) == []
        assert replica.items["a"].value == b"new"
        assert replica.revision == 5

    def test_a_snapshot_deletes_missing_keys(self):
        replica = StoreReplica()
        replica.apply([StoredItem("a", 1, b"x"), StoredItem("b", 9, b"y")], 9)
        changes = replica.apply_snapshot({}, since=5, revision=5)
        assert [item.key for item in changes] == ["a"]
        assert replica.items["b"].value == b"y"

    @given(
        strategies.permutations(
            [
                StoredItem("a", n, None if n % 3 == 0 else b"v")
                for n in range(9)
            ]
        )
    )
    def test_order_of_arrival_does_not_matter(self, items):
        replica = StoreReplica()
        for item in items:
            replica.apply([item], item.revision)
        assert replica.items["a"].revision == 8

    def test_collected_changes_include_deletions(self):
        replica = StoreReplica()
        replica.apply([StoredItem("a", 1, b"x"), StoredItem("a", 2, None)], 2)
        assert replica.collect_since(1) == (StoredItem("a", 2, None),)
        assert replica.items["a"].value is None

    def test_item_of_an_earlier_epoch_is_not_taken_for_new(self):
        replica = StoreReplica()
        later = StorePosition(1, 3).pack()
        replica.apply_snapshot({"a": StoredItem("a", later, b"x")}, 0, later)
        old = StorePosition(0, 90).pack()
        assert replica.apply([StoredItem("b", old, b"old")], old) == []
        b = {"b": StoredItem("b", old, b"old")}
        assert replica.apply_snapshot(b, old, old) == []
        assert replica.revision == later
        assert list_present(replica) == [StoredItem("a", later, b"x")]

    def test_snapshot_of_a_later_epoch_replaces_items_it_lacks(self):
        replica = StoreReplica()
        old = StorePosition(0, 90).pack()
        lost = [StoredItem("a", old, b"x"), StoredItem("b", old - 1, b"y")]
        replica.apply([*lost, StoredItem("c", old - 2, None)], old)
        later = StorePosition(1, 3).pack()
        present = {"b": StoredItem("b", later, b"y")}
        changes = replica.apply_snapshot(present, later, later)
        assert {item.key for item in changes} == {"a", "b"}
        assert list_present(replica) == [present["b"]]
        assert all(i.revision >= later for i in replica.items.values())


class TestEndpoints:
    def test_a_stale_report_does_not_undo_draining(self):
        catalogue = CatalogueFixture()
        draining = replace(ENDPOINT, sequence=6, state=EndpointState.DRAINING)
        catalogue.apply(EndpointUpdate("i-1", draining), 1.0)
        catalogue.apply(EndpointUpdate("i-1", ENDPOINT), 1.1)
        assert catalogue.endpoints["i-1"].is_draining

    def test_a_stale_report_does_not_restore_a_removed_endpoint(self):
        catalogue = CatalogueFixture()
        catalogue.apply(
            EndpointUpdate("i-1", replace(ENDPOINT, sequence=6)), 1.0
        )
        catalogue.apply(EndpointUpdate("i-1", None), 2.0)
        catalogue.apply(EndpointUpdate("i-1", ENDPOINT), 2.1)
        assert catalogue.endpoints == {}

    def test_endpoint_that_left_is_not_listed_again_by_a_copy(self):
        catalogue = CatalogueFixture()
        catalogue.apply(EndpointUpdate("i-1", ENDPOINT), 1.0)
        catalogue.apply(EndpointUpdate("i-1", None), 2.0)
        in_copy = replace(ENDPOINT, revision=StorePosition(1, 1).pack())
        catalogue.apply(EndpointUpdate("i-1", in_copy), 3.0)
        assert catalogue.endpoints == {}
        report = replace(in_copy, sequence=ENDPOINT.sequence + 1)
        catalogue.apply(EndpointUpdate("i-1", report), 4.0)
        assert "i-1" in catalogue.endpoints

    def test_draining_is_not_undone_by_a_copy(self):
        catalogue = CatalogueFixture()
        draining = replace(ENDPOINT, sequence=6, state=EndpointState.DRAINING)
        catalogue.apply(EndpointUpdate("i-1", draining), 1.0)
        in_copy = replace(ENDPOINT, revision=StorePosition(1, 1).pack())
        catalogue.apply(EndpointUpdate("i-1", in_copy), 3.0)
        assert catalogue.endpoints["i-1"].is_draining

    def test_a_restart_under_the_same_name_resets_the_sequence(self):
        catalogue = CatalogueFixture()
        catalogue.apply(
            EndpointUpdate("i-1", replace(ENDPOINT, sequence=60)), 1.0
        )
        again = replace(ENDPOINT, started_ms=200, sequence=1)
        catalogue.apply(EndpointUpdate("i-1", again), 2.0)
        assert catalogue.endpoints["i-1"].started_ms == 200

    def test_an_unreadable_entry_removes_the_endpoint(self):
        catalogue = CatalogueFixture()
        catalogue.apply(EndpointUpdate("i-1", ENDPOINT), 1.0)
        catalogue.apply(ValueError("bad"), 1.5)
        assert catalogue.endpoints == {}

    def test_a_deletion_applies_at_once_without_a_store_outage(self):
        catalogue = CatalogueFixture()
        for now_s in (10.0, 10.5, 11.0):
            catalogue.builder.record_confirmation(now_s)
        catalogue.apply(EndpointUpdate("i-1", ENDPOINT), 11.0)
        catalogue.apply(EndpointUpdate("i-1", None), 11.2)
        assert catalogue.endpoints == {}

    def test_an_endpoint_that_is_cold_again_changes_the_catalogue(self):
        """The known report has a cold time of 5 s that ended long ago.

        Heartbeats are not disseminated, so a report of a new cold time
        must not count as one.
        """
        catalogue = CatalogueFixture()
        catalogue.apply(
            EndpointUpdate("i-1", replace(ENDPOINT, cold_s=5.0)), 0.0
        )
        catalogue.endpoints["i-1"]
        again = replace(ENDPOINT, sequence=20, cold_s=4.0)
        catalogue.apply(EndpointUpdate("i-1", again), 20.0)
        assert catalogue.builder.take_catalogue() is not None
        assert catalogue.endpoints["i-1"].cold_until_s == 24.0

    def test_a_report_within_the_same_cold_period_is_a_heartbeat(self):
        catalogue = CatalogueFixture()
        catalogue.apply(
            EndpointUpdate("i-1", replace(ENDPOINT, cold_s=5.0)), 0.0
        )
        catalogue.endpoints["i-1"]
        later = replace(ENDPOINT, sequence=5, cold_s=3.5)
        catalogue.apply(EndpointUpdate("i-1", later), 1.6)
        assert catalogue.builder.take_catalogue() is None


def record_outage(builder, start_s, end_s):
    """Let calls to the store fail for some time, and then succeed."""
    outages = builder.outages
    now_s = start_s
    while now_s < end_s:
        outages.record_failure(now_s)
        outages.observe(now_s)
        now_s += 0.1
    builder.record_confirmation(end_s)
    outages.record_answer()


class TestStoreOutage:
    def make_catalogue(self):
        catalogue = CatalogueFixture()
        catalogue.builder.record_confirmation(10.0)
        catalogue.apply(EndpointUpdate("i-1", ENDPOINT), 10.0)
        record_outage(catalogue.builder, 10.0, 15.0)
        return catalogue

    def test_a_deletion_applies_at_once_after_the_watcher_was_silent(self):
        # Guards against taking the loss of the watcher for an outage.
        catalogue = CatalogueFixture()
        catalogue.builder.record_confirmation(10.0)
        catalogue.apply(EndpointUpdate("i-1", ENDPOINT), 10.0)
        catalogue.builder.record_confirmation(15.0)
        catalogue.apply(EndpointUpdate("i-1", None), 15.0)
        assert catalogue.endpoints == {}

    def test_an_expired_entry_has_a_grace_period(self):
        catalogue = self.make_catalogue()
        catalogue.apply(EndpointUpdate("i-1", None), 15.0)
        assert "i-1" in catalogue.endpoints
        catalogue.apply(
            EndpointUpdate("i-1", replace(ENDPOINT, sequence=9)), 16.0
        )
        catalogue.builder.drop_expired(15.0 + STORE_RETURN_GRACE_S)
        assert "i-1" in catalogue.endpoints

    def test_peers_are_told_that_an_expired_entry_is_back(self):
        """Peers know of the expiry, so the next report must reach them."""
        watcher, peer = self.make_catalogue(), self.make_catalogue()
        back = EndpointUpdate("i-1", replace(ENDPOINT, sequence=9))
        for now_s, update in (
            (15.0, EndpointUpdate("i-1", None)),
            (16.0, back),
        ):
            watcher.revision += 1
            item = StoredItem("servers/i-1", watcher.revision, b"")
            watcher.source.updates[item.revision] = update
            peer.source.updates[item.revision] = update
            changed = watcher.builder.apply([item], now_s)
            peer.builder.apply(changed, now_s)
        peer.builder.drop_expired(15.0 + STORE_RETURN_GRACE_S)
        assert "i-1" in peer.endpoints

    def test_an_entry_that_is_not_written_again_is_removed(self):
        catalogue = self.make_catalogue()
        catalogue.apply(EndpointUpdate("i-1", None), 15.0)
        catalogue.builder.drop_expired(15.0 + STORE_RETURN_GRACE_S)
        assert catalogue.endpoints == {}


class TestReturnFromCopy:
    """The store was away for less than the threshold of an outage."""

    def make_catalogue(self):
        catalogue = CatalogueFixture()
        catalogue.builder.record_confirmation(10.0)
        catalogue.apply(EndpointUpdate("i-1", ENDPOINT), 10.0)
        catalogue.builder.record_confirmation(10.5)
        catalogue.revision = StorePosition(1, 0).pack()
        return catalogue

    def test_entry_that_the_copy_lacks_is_kept_for_the_grace_period(self):
        catalogue = self.make_catalogue()
        catalogue.apply(EndpointUpdate("i-1", None), 10.5)
        catalogue.builder.drop_expired(10.4 + STORE_RETURN_GRACE_S)
        assert "i-1" in catalogue.endpoints
        catalogue.builder.drop_expired(10.5 + STORE_RETURN_GRACE_S)
        assert catalogue.endpoints == {}

    def restore_with(self, catalogue, name, revision, now_s=10.5):
        """Let the copy have an endpoint's entry from before the return."""
        catalogue.revision = StorePosition(1, revision).pack() - 1
        position = StorePosition(1, revision).pack()
        present = replace(ENDPOINT, name=name, revision=position)
        catalogue.apply(EndpointUpdate(name, present), now_s)

    def test_entry_that_is_removed_after_the_return_is_not_kept(self):
        # Guards against taking what the store removes for what a copy lacks.
        catalogue = self.make_catalogue()
        self.restore_with(catalogue, "i-1", 1)
        catalogue.apply(EndpointUpdate("i-1", None), 10.6)
        assert catalogue.endpoints == {}

    def test_entry_of_the_copy_that_is_missing_is_not_kept(self):
        # Guards against the same if the removal comes before the reading.
        catalogue = self.make_catalogue()
        catalogue.revision = 6
        for name in ("i-2", "i-3"):
            known = replace(
                ENDPOINT, name=name, revision=catalogue.revision + 1
            )
            catalogue.apply(EndpointUpdate(name, known), 10.2)
        # The copy has the entry of i-2, so it has the earlier one of i-1.
        self.restore_with(catalogue, "i-2", 7)
        for name in ("i-1", "i-3"):
            catalogue.apply(EndpointUpdate(name, None), 10.5)
        assert catalogue.endpoints.keys() == {"i-2", "i-3"}
        catalogue.builder.drop_expired(10.5 + STORE_RETURN_GRACE_S)
        assert catalogue.endpoints.keys() == {"i-2"}

    def test_entry_that_an_outage_let_expire_is_kept_after_the_return(self):
        catalogue = self.make_catalogue()
        record_outage(catalogue.builder, 10.5, 13.5)
        self.restore_with(catalogue, "i-1", 1, 13.5)
        catalogue.apply(EndpointUpdate("i-1", None), 13.6)
        assert "i-1" in catalogue.endpoints
        catalogue.builder.drop_expired(13.5 + STORE_RETURN_GRACE_S)
        assert catalogue.endpoints == {}

    def test_report_after_an_outdated_one_of_the_copy_is_sent_to_peers(self):
        """A peer that started after the return knows only the copy's."""
        catalogue = self.make_catalogue()
        source, builder = catalogue.source, catalogue.builder
        source.updates[catalogue.revision] = EndpointUpdate(
            "i-1", replace(ENDPOINT, sequence=2)
        )
        source.updates[catalogue.revision + 1] = EndpointUpdate(
            "i-1", replace(ENDPOINT, sequence=5)
        )
        items = [
            StoredItem("servers/i-1", catalogue.revision + n, b"")
            for n in (0, 1)
        ]
        assert items[1] in builder.apply(items, 10.6)

    def test_evacuation_that_the_copy_lacks_stays_for_the_grace_period(self):
        catalogue = self.make_catalogue()
        builder, key = catalogue.builder, "op/evacuate/zrh-a"
        catalogue.revision = 50
        catalogue.apply(EvacuationUpdate("zrh-a", True), 10.1, key)
        catalogue.revision = StorePosition(1, 0).pack()
        catalogue.apply(EvacuationUpdate("zrh-a", False), 10.5, key)
        builder.drop_expired(10.4 + STORE_RETURN_GRACE_S)
        assert builder.take_catalogue().evacuated == {"zrh-a"}
        builder.drop_expired(10.5 + STORE_RETURN_GRACE_S)
        assert builder.take_catalogue().evacuated == frozenset()

    def test_second_return_restarts_the_grace_periods(self):
        catalogue = self.make_catalogue()
        builder, key = catalogue.builder, "op/evacuate/zrh-a"
        catalogue.revision = 50
        catalogue.apply(EvacuationUpdate("zrh-a", True), 10.1, key)
        catalogue.revision = StorePosition(1, 0).pack()
        catalogue.apply(EvacuationUpdate("zrh-a", False), 10.5, key)
        catalogue.apply(EndpointUpdate("i-1", None), 10.5)
        catalogue.revision = StorePosition(2, 0).pack()
        catalogue.apply(EndpointUpdate("i-2", None), 12.0)
        builder.drop_expired(11.9 + STORE_RETURN_GRACE_S)
        assert "i-1" in catalogue.endpoints
        assert builder.evacuated == {"zrh-a"}
        builder.drop_expired(12.0 + STORE_RETURN_GRACE_S)
        assert catalogue.endpoints == {}
        assert builder.evacuated == set()

    def test_evacuation_that_is_written_again_stays(self):
        catalogue = self.make_catalogue()
        builder, key = catalogue.builder, "op/evacuate/zrh-a"
        catalogue.revision = 50
        catalogue.apply(EvacuationUpdate("zrh-a", True), 10.1, key)
        catalogue.revision = StorePosition(1, 0).pack()
        catalogue.apply(EvacuationUpdate("zrh-a", False), 10.5, key)
        catalogue.apply(EvacuationUpdate("zrh-a", True), 11.5, key)
        builder.drop_expired(10.5 + STORE_RETURN_GRACE_S)
        assert builder.take_catalogue().evacuated == {"zrh-a"}

    def test_evacuation_ends_at_once_without_a_return_from_a_copy(self):
        catalogue = CatalogueFixture()
        builder, key = catalogue.builder, "op/evacuate/zrh-a"
        builder.record_confirmation(10.0)
        catalogue.apply(EvacuationUpdate("zrh-a", True), 10.1, key)
        record_outage(builder, 10.1, 15.0)
        catalogue.apply(EvacuationUpdate("zrh-a", False), 15.0, key)
        assert builder.take_catalogue().evacuated == frozenset()


class TestCapacities:
    def test_capacity_is_kept_after_its_entry_is_gone(self):
        fixture = CatalogueFixture()
        fixture.apply(CapacityUpdate("e1", Capacity(0.3, 5.0)), 1.0)
        fixture.apply(CapacityUpdate("e1", None), 2.0)
        assert fixture.builder.capacities == {"e1": Capacity(0.3, 5.0)}

    def test_oldest_capacities_are_forgotten(self):
        fixture = CatalogueFixture()
        for number in range(MAX_CAPACITIES + 2):
            update = CapacityUpdate(f"e{number}", Capacity(0.3, 5.0))
            fixture.apply(update, 1.0)
        capacities = fixture.builder.capacities
        assert len(capacities) == MAX_CAPACITIES
        assert "e1" not in capacities and "e2" in capacities


class TestConfiguration:
    def test_an_older_revision_is_ignored(self):
        catalogue = CatalogueFixture()
        new = Configuration(9, 20, (), {})
        catalogue.apply(ConfigurationUpdate(new), 1.0, "op/config")
        old = Configuration(8, 10, (), {})
        catalogue.apply(ConfigurationUpdate(old), 1.0, "op/config")
        assert catalogue.builder.take_catalogue().configuration is new

    def test_version_in_force_does_not_go_back_at_a_later_revision(self):
        catalogue = CatalogueFixture()
        new = Configuration(9, 20, (), {})
        catalogue.apply(ConfigurationUpdate(new), 1.0, "op/config")
        later = StorePosition(1, 10).pack()
        old = Configuration(8, later, (), {})
        catalogue.apply(ConfigurationUpdate(old), 1.0, "op/config")
        assert catalogue.builder.take_catalogue().configuration is new

    def test_configuration_written_again_is_sent_to_peers(self):
        """A peer that started after the return knows only the copy's."""
        builder = CatalogueBuilder(source := FakeSource())
        for revision, version in ((5, 9), (6, 8), (7, 9)):
            new = Configuration(version, revision, (), {})
            source.updates[revision] = ConfigurationUpdate(new)
            item = StoredItem("op/config", revision, b"")
            assert builder.apply([item], 1.0) == [item]

    def test_an_unreadable_configuration_keeps_the_last_valid_one(self):
        catalogue = CatalogueFixture()
        good = Configuration(9, 20, (), {})
        catalogue.apply(ConfigurationUpdate(good), 1.0, "op/config")
        catalogue.apply(ValueError("cut short"), 2.0, "op/config")
        assert catalogue.builder.take_catalogue().configuration is good

    def test_evacuations_begin_and_end(self):
        catalogue = CatalogueFixture()
        catalogue.apply(
            EvacuationUpdate("zrh-a", True), 1.0, "op/evacuate/zrh-a"
        )
        assert catalogue.builder.take_catalogue().evacuated == {"zrh-a"}
        catalogue.apply(
            EvacuationUpdate("zrh-a", False), 2.0, "op/evacuate/zrh-a"
        )
        assert catalogue.builder.take_catalogue().evacuated == frozenset()
