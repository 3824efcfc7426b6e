"""Tests of updates between instances that know different epochs."""

from collections import namedtuple

import curio
import pytest

from carawayvale.catalogue.position import find_epoch
from carawayvale.catalogue.position import StorePosition
from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.replica import StoreReplica
from carawayvale.gateway.feed_updates import classify_update
from carawayvale.gateway.feed_updates import unpack_items
from carawayvale.gateway.feed_updates import UpdateKind
from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.links.feed_messages import FeedItem
from carawayvale.links.feed_messages import FeedRequest
from carawayvale.links.feed_messages import FeedUpdate
from carawayvale.links.messages import decode_message
from carawayvale.links.messages import encode_message

KEY = "servers/i-1"
Peer = namedtuple("Peer", "name")


class RecordingLink:
    """A link with a peer that records what is sent to it."""

    def __init__(self):
        self.peer = Peer("other")
        self.sent = []

    async def post(self, message):
        self.sent.append(decode_message(encode_message(message)))


def pack(epoch, revision):
    """Pack a position."""
    return StorePosition(epoch, revision).pack()


def run_with_feed(scenario):
    """Run a scenario with the change feed of an instance in epoch 1."""

    async def run():
        async with open_fleet() as fleet:
            feed = fleet.daemons[0].change_feed
            fleet.store.restore(fleet.store.copy())
            await fleet.wait_until(
                lambda: find_epoch(feed.replica.revision) == 1
            )
            await scenario(feed, RecordingLink())

    curio.run(run)


class TestClassification:
    @pytest.mark.parametrize(
        "known,since,revision,kind",
        [
            ((0, 9), (0, 9), (0, 12), UpdateKind.NEXT),
            ((0, 9), (0, 5), (0, 7), UpdateKind.NEXT),
            ((0, 9), (0, 10), (0, 12), UpdateKind.GAP),
            ((0, 9), (0, 0), (0, 12), UpdateKind.NEXT),
            ((1, 3), (0, 9), (0, 90), UpdateKind.OUTDATED),
            ((1, 3), (0, 0), (0, 90), UpdateKind.OUTDATED),
            ((0, 9), (0, 9), (1, 4), UpdateKind.GAP),
            ((0, 9), (1, 3), (1, 4), UpdateKind.GAP),
            ((0, 9), (0, 0), (1, 4), UpdateKind.SNAPSHOT),
            ((0, 9), (0, 0), (2, 4), UpdateKind.SNAPSHOT),
        ],
    )
    def test_update_is_classified_by_epoch_and_revision(
        self, known, since, revision, kind
    ):
        update = FeedUpdate(pack(*since), pack(*revision), 0.0, ())
        assert classify_update(update, pack(*known)) is kind


class TestUpdatesAcrossEpochs:
    def test_items_of_a_peer_that_missed_the_return_are_not_used(self):
        async def scenario(feed, link):
            known = feed.replica.revision
            item = FeedItem("servers/i-9", 90, 1, b"{}")
            await feed.apply_update(link, FeedUpdate(0, 90, 0.0, (item,)))
            assert "servers/i-9" not in feed.replica.items
            assert link.sent[0].revision == link.sent[0].since >= known

        run_with_feed(scenario)

    def test_peer_that_missed_the_return_gets_all_items(self):
        async def scenario(feed, link):
            await feed.send_changes(link, FeedRequest(90))
            update = link.sent[0]
            assert (update.since, find_epoch(update.revision)) == (0, 1)
            assert "op/config" in {item.key for item in update.items}

        run_with_feed(scenario)

    def test_news_of_a_later_epoch_makes_the_instance_ask_for_all(self):
        async def scenario(feed, link):
            known = feed.replica.revision
            later = pack(2, 5)
            await feed.apply_update(link, FeedUpdate(known, later, 0.0, ()))
            assert feed.replica.revision == known
            assert feed.store.epoch == 2
            assert link.sent == [FeedRequest(known)]

        run_with_feed(scenario)

    def test_deletion_before_the_reading_reaches_peers_that_read_earlier(
        self,
    ):
        async def scenario(fleet):
            feed, store, published = (
                fleet.daemons[0].change_feed,
                fleet.store,
                [],
            )

            async def record(update, source):
                published.append(update)

            feed._send_update = record
            store.restore(store.copy())
            revision = pack(1, store.revision)
            entry = StoredItem(KEY, revision, b"{}")
            peer = StoreReplica()
            peer.apply_snapshot({KEY: entry}, revision, revision)
            store.remove(KEY)
            await fleet.wait_until(
                lambda: any(u.since == 0 for u in published)
            )
            update = next(u for u in published if u.since == 0)
            peer.apply(unpack_items(update.items), update.revision)
            assert peer.items[KEY].value is None

        async def run():
            async with open_fleet() as fleet:
                await scenario(fleet)

        curio.run(run)
