"""Tests of the mirror of the store and of the catalogue built from it."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies

from carawayvale.catalogue.builder import CatalogueBuilder
from carawayvale.catalogue.builder import RETURN_S
from carawayvale.catalogue.records import Configuration
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import EndpointState
from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.replica import StoreReplica
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
    """Maps revisions to readings."""

    def __init__(self):
        self.readings = {}

    def decode(self, item):
        reading = self.readings.get(item.revision)
        if isinstance(reading, Exception):
            raise reading
        return reading


class World:
    """A keeper with a source that tests fill."""

    def __init__(self):
        self.source = FakeSource()
        self.keeper = CatalogueBuilder(self.source)
        self.revision = 0

    def tell(self, reading, now_s, key="servers/i-1"):
        self.revision += 1
        self.source.readings[self.revision] = reading
        self.keeper.apply([StoredItem(key, self.revision, b"")], now_s)

    @property
    def endpoints(self):
        self.keeper.take_catalogue()
        return self.keeper.catalogue.endpoints


class TestMirror:
    def test_a_key_never_goes_back(self):
        mirror = StoreReplica()
        mirror.apply([StoredItem("a", 5, b"new")], 5)
        assert mirror.apply([StoredItem("a", 4, b"old")], 4) == []
        assert mirror.items["a"].value == b"new"
        assert mirror.revision == 5

    def test_a_reading_deletes_what_is_missing(self):
        mirror = StoreReplica()
        mirror.apply([StoredItem("a", 1, b"x"), StoredItem("b", 9, b"y")], 9)
        news = mirror.apply_snapshot({}, since=5, revision=5)
        assert [item.key for item in news] == ["a"]
        assert mirror.items["b"].value == b"y"

    @given(
        strategies.permutations(
            [
                StoredItem("a", n, None if n % 3 == 0 else b"v")
                for n in range(9)
            ]
        )
    )
    def test_order_of_arrival_does_not_matter(self, items):
        mirror = StoreReplica()
        for item in items:
            mirror.apply([item], item.revision)
        assert mirror.items["a"].revision == 8

    def test_collects_deletions_too(self):
        mirror = StoreReplica()
        mirror.apply([StoredItem("a", 1, b"x"), StoredItem("a", 2, None)], 2)
        assert mirror.collect_since(1) == (StoredItem("a", 2, None),)
        assert mirror.items["a"].value is None


class TestEndpoints:
    def test_a_late_report_does_not_undo_draining(self):
        world = World()
        draining = replace(ENDPOINT, sequence=6, state=EndpointState.DRAINING)
        world.tell(EndpointUpdate("i-1", draining), 1.0)
        world.tell(EndpointUpdate("i-1", ENDPOINT), 1.1)
        assert world.endpoints["i-1"].is_draining

    def test_a_late_report_does_not_bring_an_endpoint_back(self):
        world = World()
        world.tell(EndpointUpdate("i-1", replace(ENDPOINT, sequence=6)), 1.0)
        world.tell(EndpointUpdate("i-1", None), 2.0)
        world.tell(EndpointUpdate("i-1", ENDPOINT), 2.1)
        assert world.endpoints == {}

    def test_a_restart_under_the_same_name_counts_anew(self):
        world = World()
        world.tell(EndpointUpdate("i-1", replace(ENDPOINT, sequence=60)), 1.0)
        again = replace(ENDPOINT, started_ms=200, sequence=1)
        world.tell(EndpointUpdate("i-1", again), 2.0)
        assert world.endpoints["i-1"].started_ms == 200

    def test_an_unreadable_entry_names_no_endpoint(self):
        world = World()
        world.tell(EndpointUpdate("i-1", ENDPOINT), 1.0)
        world.tell(ValueError("bad"), 1.5)
        assert world.endpoints == {}

    def test_a_deletion_holds_at_once_while_the_store_is_there(self):
        world = World()
        for now_s in (10.0, 10.5, 11.0):
            world.keeper.record_confirmation(now_s)
        world.tell(EndpointUpdate("i-1", ENDPOINT), 11.0)
        world.tell(EndpointUpdate("i-1", None), 11.2)
        assert world.endpoints == {}

    def test_an_endpoint_that_is_cold_again_is_news(self):
        """The last news said 5 s; the heartbeats since were not told."""
        world = World()
        world.tell(EndpointUpdate("i-1", replace(ENDPOINT, cold_s=5.0)), 0.0)
        world.endpoints["i-1"]
        again = replace(ENDPOINT, sequence=20, cold_s=4.0)
        world.tell(EndpointUpdate("i-1", again), 20.0)
        assert world.keeper.take_catalogue() is not None
        assert world.endpoints["i-1"].cold_until_s == 24.0

    def test_a_report_that_counts_down_is_no_news(self):
        world = World()
        world.tell(EndpointUpdate("i-1", replace(ENDPOINT, cold_s=5.0)), 0.0)
        world.endpoints["i-1"]
        later = replace(ENDPOINT, sequence=5, cold_s=3.5)
        world.tell(EndpointUpdate("i-1", later), 1.6)
        assert world.keeper.take_catalogue() is None


class TestReturnOfTheStore:
    def make_world(self):
        world = World()
        world.keeper.record_confirmation(10.0)
        world.tell(EndpointUpdate("i-1", ENDPOINT), 10.0)
        world.keeper.record_confirmation(15.0)
        return world

    def test_a_lapsed_entry_is_waited_for(self):
        world = self.make_world()
        world.tell(EndpointUpdate("i-1", None), 15.0)
        assert "i-1" in world.endpoints
        world.tell(EndpointUpdate("i-1", replace(ENDPOINT, sequence=9)), 16.0)
        world.keeper.drop_expired(15.0 + RETURN_S)
        assert "i-1" in world.endpoints

    def test_peers_hear_that_a_lapsed_entry_is_back(self):
        """They heard that it lapsed; its report is no mere heartbeat."""
        feeder, peer = self.make_world(), self.make_world()
        back = EndpointUpdate("i-1", replace(ENDPOINT, sequence=9))
        for now_s, reading in (
            (15.0, EndpointUpdate("i-1", None)),
            (16.0, back),
        ):
            feeder.revision += 1
            item = StoredItem("servers/i-1", feeder.revision, b"")
            feeder.source.readings[item.revision] = reading
            peer.source.readings[item.revision] = reading
            told = feeder.keeper.apply([item], now_s)
            peer.keeper.apply(told, now_s)
        peer.keeper.drop_expired(15.0 + RETURN_S)
        assert "i-1" in peer.endpoints

    def test_an_entry_that_stays_away_is_gone(self):
        world = self.make_world()
        world.tell(EndpointUpdate("i-1", None), 15.0)
        world.keeper.drop_expired(15.0 + RETURN_S)
        assert world.endpoints == {}


class TestConfiguration:
    def test_an_older_revision_is_ignored(self):
        world = World()
        new = Configuration(9, 20, (), {})
        world.tell(ConfigurationUpdate(new), 1.0, "op/config")
        old = Configuration(8, 10, (), {})
        world.tell(ConfigurationUpdate(old), 1.0, "op/config")
        assert world.keeper.take_catalogue().configuration is new

    def test_an_unreadable_one_leaves_the_last_good_one(self):
        world = World()
        good = Configuration(9, 20, (), {})
        world.tell(ConfigurationUpdate(good), 1.0, "op/config")
        world.tell(ValueError("cut short"), 2.0, "op/config")
        assert world.keeper.take_catalogue().configuration is good

    def test_evacuations_begin_and_end(self):
        world = World()
        world.tell(EvacuationUpdate("zrh-a", True), 1.0, "op/evacuate/zrh-a")
        assert world.keeper.take_catalogue().evacuated == {"zrh-a"}
        world.tell(EvacuationUpdate("zrh-a", False), 2.0, "op/evacuate/zrh-a")
        assert world.keeper.take_catalogue().evacuated == frozenset()
