"""Passes the changes in the store on to the instances of a region.

One instance of each region watches the store and sends what changes to
the others. The others turn to the store themselves, one after the other,
when they hear nothing that the store has confirmed lately.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

import curio

from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.replica import StoreReplica
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.links.feed_messages import FeedItem
from carawayvale.links.feed_messages import FeedRequest
from carawayvale.links.feed_messages import FeedUpdate
from carawayvale.links.membership import elect
from carawayvale.links.peer_link import PeerLink
from carawayvale.links.peers import handle_message
from carawayvale.links.peers import PeerTable
from carawayvale.platform.store_client import HistoryGone
from carawayvale.platform.store_client import PlatformStore
from carawayvale.platform.store_client import StoreFailed
from carawayvale.telemetry.logs import log_event

ROLE_FEEDER = "feeder"
MAX_RANKS = 5

# Reports of endpoints change the store several times a second; changes
# that come closer together than this are read with one call.
BATCH_S = 0.25
WAIT_S = 1.0

# Silence after which the next instance turns to the store, and the
# further wait of each one after it.
SILENCE_S = 1.3
RANK_STEP_S = 0.25
RETRY_S = 0.4
MAX_RETRY_S = 1.6
POLL_S = 0.1
ASK_S = 0.5

# Peers hear at least this often that the store confirmed their state.
CONFIRM_S = 0.5

News = Callable[[list[StoredItem], float], Awaitable[list[StoredItem]]]


def pack_items(items: Iterable[StoredItem]) -> tuple[FeedItem, ...]:
    """Convert items to their form in messages.

    :param items: the items.
    :returns: the form in messages.
    """
    return tuple(
        FeedItem(
            item.key,
            item.revision,
            int(item.value is not None),
            item.value or b"",
        )
        for item in items
    )


def unpack_items(items: Iterable[FeedItem]) -> list[StoredItem]:
    """Convert items from their form in messages.

    :param items: the form in messages.
    :returns: the items.
    """
    return [
        StoredItem(i.key, i.revision, i.value if i.present else None)
        for i in items
    ]


class ChangeFeed:
    """The mirror of the store at one instance.

    :param store: the store.
    :param peers: links with other instances.
    :param news: called with changed items and the time at which the
        store confirmed them; returns those that peers have to know.
    """

    def __init__(self, store: PlatformStore, peers: PeerTable, news: News):
        self.store = store
        self.peers = peers
        self.news = news
        self.mirror = StoreReplica()
        self.complete = False
        self.fresh_s = float("-inf")
        self.asked_s = 0.0
        self.published = 0
        self.published_s = 0.0
        self.failures = 0
        self.reachable = True
        self.watching = False
        peers.feed = self

    def find_rank(self) -> int:
        """Find this instance's place among those that may watch.

        :returns: 0 for the one that watches first.
        """
        membership = self.peers.membership
        members = membership.list_serving()
        chosen = elect(members, membership.me.region, ROLE_FEEDER, MAX_RANKS)
        name = membership.me.name
        return chosen.index(name) if name in chosen else MAX_RANKS

    def _should_watch(self, now_s: float) -> bool:
        if not self.complete:
            return True
        rank = self.find_rank()
        if rank == 0:
            return True
        return now_s - self.fresh_s > SILENCE_S + RANK_STEP_S * rank

    async def run(self) -> None:
        """Keep the mirror up to date until cancelled."""
        while True:
            now_s = read_boot_clock()
            watching = self._should_watch(now_s)
            if watching != self.watching:
                self.watching = watching
                log_event("store_watch", watching=watching)
            if not watching:
                await curio.sleep(POLL_S)
                continue
            try:
                await self._watch_once()
                self._note_reachable(True, "")
            except StoreFailed as error:
                self._note_reachable(False, str(error))
                await self._ask_peers()
                wait_s = min(MAX_RETRY_S, RETRY_S * 2**self.failures)
                self.failures += 1
                await curio.sleep(wait_s)
            except HistoryGone as error:
                log_event("store_history_gone", "WARNING", cause=str(error))
                self.complete = False

    def _note_reachable(self, reachable: bool, cause: str) -> None:
        if reachable:
            self.failures = 0
        if reachable != self.reachable:
            self.reachable = reachable
            name = "store_regained" if reachable else "store_lost"
            log_event(name, "INFO" if reachable else "WARNING", cause=cause)

    async def _watch_once(self) -> None:
        began_s = read_boot_clock()
        if not self.complete:
            reading = await self.store.read_all("")
            news = self.mirror.apply_snapshot(
                reading.items, reading.since, reading.revision
            )
            self.complete = True
        else:
            changes = await self.store.watch("", self.mirror.revision, WAIT_S)
            news = self.mirror.apply(changes.items, changes.revision)
        now_s = read_boot_clock()
        told = await self._take(news, now_s)
        if told or now_s - self.published_s >= CONFIRM_S:
            await self._publish(told)
        await curio.sleep(max(0.0, BATCH_S - (now_s - began_s)))

    async def _take(
        self, news: list[StoredItem], fresh_s: float
    ) -> list[StoredItem]:
        self.fresh_s = max(self.fresh_s, fresh_s)
        return await self.news(news, self.fresh_s)

    async def _publish(self, told: list[StoredItem]) -> None:
        """Send peers what changed since they heard last."""
        since, self.published = self.published, self.mirror.revision
        self.published_s = read_boot_clock()
        update = FeedUpdate(since, self.published, 0.0, pack_items(told))
        await self.peers.send_to_region(update, "")

    async def _ask_peers(self) -> None:
        """Ask a peer for everything while the store cannot be read."""
        if self.complete:
            return
        for opened in list(self.peers.links.values()):
            await opened.link.post(FeedRequest(0))

    async def take_update(self, link: PeerLink, update: FeedUpdate) -> None:
        """Take over changes from a peer.

        :param link: link with the peer.
        :param update: the changes.
        """
        now_s = read_boot_clock()
        gap = update.since > self.mirror.revision
        revision = self.mirror.revision if gap else update.revision
        news = self.mirror.apply(unpack_items(update.items), revision)
        if gap:
            await self._ask(link, now_s)
        else:
            self.published = max(self.published, update.revision)
            self.complete = self.complete or update.since == 0
        fresh_s = now_s - update.age_s
        renewed = fresh_s > self.fresh_s + POLL_S
        await self._take(news, self.fresh_s if gap else fresh_s)
        if (news or renewed) and not self.peers.membership.is_full_mesh:
            await self.peers.send_to_region(update, link.peer.name)

    async def _ask(self, link: PeerLink, now_s: float) -> None:
        if now_s - self.asked_s < ASK_S:
            return
        self.asked_s = now_s
        await link.post(FeedRequest(self.mirror.revision))

    async def answer(self, link: PeerLink, request: FeedRequest) -> None:
        """Send a peer what changed after a revision.

        :param link: link with the peer.
        :param request: the peer's question.
        """
        if not self.complete:
            return
        items = self.mirror.collect_since(request.after)
        age_s = max(0.0, read_boot_clock() - self.fresh_s)
        await link.post(
            FeedUpdate(
                request.after,
                self.mirror.revision,
                age_s,
                pack_items(items),
            )
        )


@handle_message(FeedUpdate)
async def take_feed_update(
    table: PeerTable, link: PeerLink, message: FeedUpdate
) -> None:
    """Hand changes in the store to the feed of this instance."""
    if table.feed is not None:
        await table.feed.take_update(link, message)


@handle_message(FeedRequest)
async def answer_feed_request(
    table: PeerTable, link: PeerLink, message: FeedRequest
) -> None:
    """Answer a peer's question for changes in the store."""
    if table.feed is not None:
        await table.feed.answer(link, message)
