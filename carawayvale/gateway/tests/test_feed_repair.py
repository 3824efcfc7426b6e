"""Tests of an instance that hears of the store by notices only."""

from types import SimpleNamespace

import curio
import pytest

from carawayvale.catalogue.outages import OutageDetector
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.change_feed import ChangeFeed
from carawayvale.gateway.feed_notices import NOTICE_INTERVAL_S
from carawayvale.links.feed_messages import FeedRequest
from carawayvale.links.feed_messages import FeedUpdate

REVISION = 7


class FakeLink:
    """Link that keeps the posted messages."""

    def __init__(self):
        self.peer = SimpleNamespace(name="e2")
        self.posted = []

    async def post(self, message):
        self.posted.append(message)


def make_feed(is_full_mesh=False):
    """Make the feed of an instance that knows the state of a second ago."""

    async def apply_items(items, confirmed_s):
        return []

    async def advance(revision):
        pass

    peers = SimpleNamespace(
        membership=SimpleNamespace(is_full_mesh=is_full_mesh),
        list_region_links=lambda source: [],
    )
    feed = ChangeFeed(
        SimpleNamespace(record_epoch=lambda epoch, source: None),
        peers,
        apply_items,
        SimpleNamespace(advance=advance),
        OutageDetector(),
    )
    feed.complete = True
    feed.replica.revision = REVISION
    feed.confirmed_s = feed.heard_s = read_boot_clock() - 1.0
    return feed


def receive(feed, *updates):
    """Let a feed receive updates; return what it posts to the sender."""
    link = FakeLink()

    async def run():
        for update in updates:
            await feed.apply_update(link, update)

    curio.run(run)
    return link.posted


class TestNotices:
    def test_instance_that_hears_first_by_a_notice_requests_changes(self):
        # Guards against instances that no peer tells of changes at once.
        notice = FeedUpdate(REVISION, REVISION, NOTICE_INTERVAL_S, ())
        assert receive(make_feed(), notice) == [FeedRequest(REVISION)]

    def test_notice_of_what_is_known_requests_nothing(self):
        feed = make_feed()
        update = FeedUpdate(REVISION, REVISION, 0.0, ())
        notice = FeedUpdate(REVISION, REVISION, NOTICE_INTERVAL_S, ())
        assert receive(feed, update, notice) == []

    @pytest.mark.parametrize(
        "update, is_full_mesh",
        (
            (FeedUpdate(REVISION, REVISION, 0.0, ()), False),
            (FeedUpdate(REVISION, REVISION, NOTICE_INTERVAL_S, ()), True),
        ),
    )
    def test_confirmation_at_once_requests_nothing(self, update, is_full_mesh):
        assert receive(make_feed(is_full_mesh), update) == []
