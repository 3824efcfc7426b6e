"""Send notices of the replica's revision on links without changes."""

import curio

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.change_feed import ChangeFeed
from carawayvale.links.feed_messages import FeedUpdate
from carawayvale.links.peer_link import pack_message

NOTICE_INTERVAL_S = 0.5


class FeedNotices:
    """Notices of the change feed of one instance.

    :param feed: the change feed.
    """

    def __init__(self, feed: ChangeFeed):
        self.feed = feed

    async def run(self) -> None:
        """Send notices of the replica's revision until cancelled.

        A notice tells the revision of one interval ago, which changes
        that are sent at once have reached everywhere since.
        """
        feed = self.feed
        revision, confirmed_s = 0, 0.0
        while True:
            await curio.sleep(NOTICE_INTERVAL_S)
            age_s = max(0.0, read_boot_clock() - confirmed_s)
            if revision and not feed.peers.membership.is_full_mesh:
                notice = FeedUpdate(revision, revision, age_s, ())
                await self._send(notice)
            revision = feed.replica.revision if feed.complete else 0
            confirmed_s = feed.confirmed_s

    async def _send(self, notice: FeedUpdate) -> None:
        feed_peers = self.feed.feed_peers
        links = {
            link.peer.name: link
            for link in self.feed.peers.list_region_links("")
        }
        for name in feed_peers.peers.keys() - links.keys():
            feed_peers.forget(name)
        data = pack_message(notice)
        for name in feed_peers.list_notices(list(links)):
            await links[name].post_packed(data)
