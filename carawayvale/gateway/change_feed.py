"""Disseminate changes in the store to the instances of a region.

One instance of each region watches the store and sends changes to the
others. If those receive no state that the store confirmed lately, they
watch the store themselves, one after the other (``watch_turns``). An instance
that has taken over goes on for a while, and then until another one sends it
newer confirmations than its own.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import curio

from carawayvale.catalogue.outages import OutageDetector
from carawayvale.catalogue.position import find_epoch
from carawayvale.catalogue.position import unpack_position
from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.replica import StoreReplica
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.age_reports import AgeReports
from carawayvale.gateway.feed_peers import FeedPeers
from carawayvale.gateway.feed_updates import classify_update
from carawayvale.gateway.feed_updates import pack_items
from carawayvale.gateway.feed_updates import unpack_items
from carawayvale.gateway.feed_updates import UpdateKind
from carawayvale.gateway.store_backoff import find_pause
from carawayvale.gateway.store_reader import StoreReader
from carawayvale.gateway.store_reader import WATCH_WAIT_S
from carawayvale.gateway.watch_turns import choose_hold
from carawayvale.gateway.watch_turns import find_turn
from carawayvale.gateway.watch_turns import STALE_S
from carawayvale.gateway.watcher_election import WatcherElection
from carawayvale.links.feed_messages import FeedRequest
from carawayvale.links.feed_messages import FeedUpdate
from carawayvale.links.peer_link import pack_message
from carawayvale.links.peer_link import PeerLink
from carawayvale.links.peers import PeerTable
from carawayvale.links.peers import register_message_handler
from carawayvale.platform.store_client import StoreClient
from carawayvale.platform.store_responses import HistoryGone
from carawayvale.platform.store_responses import StoreFailed
from carawayvale.telemetry.logs import log_event

# Reports of endpoints change the store several times a second; changes
# that follow each other within this time are read with one call.
BATCH_S = 0.25

# Additional pause between two calls of an instance that has taken over, so
# that the confirmations of the one before it are newer once it is back.
TAKEOVER_PAUSE_S = 0.25

# Time for which a call to the store waits for a change if the last
# confirmation is old, or the configuration is about to become too old. An
# instance that takes over thus has a confirmation for its peers after its
# first call.
URGENT_WAIT_S = 0.1

# The pause after a failed call to the store doubles with each failure,
# from the first value up to the second.
INITIAL_RETRY_S = 0.4
MAX_RETRY_S = 1.6
POLL_S = 0.1

# Missing changes are requested from peers at most this often.
MIN_REQUEST_INTERVAL_S = 0.5

# Age of a confirmation that was not sent on at once; that of a notice is at
# least twice as high.
LATE_S = 0.25

# Peers are told at least this often that the store confirmed the state.
CONFIRM_INTERVAL_S = 0.5

ApplyItems = Callable[[list[StoredItem], float], Awaitable[list[StoredItem]]]


class ChangeFeed:
    """Feed of changes that keeps one instance's replica up to date.

    :param store: client of the store.
    :param peers: links with other instances.
    :param apply_items: callback for changed items and the time at which
        the store confirmed them; returns the items to disseminate.
    :param age_reports: receiver of the readings of the store.
    :param outages: detector of the outages of the store.
    """

    def __init__(
        self,
        store: StoreClient,
        peers: PeerTable,
        apply_items: ApplyItems,
        age_reports: AgeReports,
        outages: OutageDetector,
    ):
        self.store = store
        self.peers = peers
        self.apply_items = apply_items
        self.age_reports = age_reports
        self.outages = outages
        self.replica = StoreReplica()
        self.reader = StoreReader(store, self.replica, outages)
        self.complete = False
        self.confirmed_s = float("-inf")
        self.heard_s = float("-inf")
        self.hold_until_s = float("-inf")
        self.requested_s = 0.0
        self.published_revision = 0
        self.published_s = 0.0
        self.failures = 0
        self.reachable = True
        self.watching = False
        self.election = WatcherElection(peers.membership)
        self.feed_peers = FeedPeers()
        peers.change_feed = self

    def _should_watch(self, now_s: float) -> bool:
        """Tell whether this instance has to watch the store itself."""
        if not self.complete:
            return True
        position = self.election.find_position()
        if position == 0:
            return True
        if now_s < self.hold_until_s:
            return True
        if self.age_reports.age.needs_own_reading(now_s, position):
            return True
        return now_s - self.heard_s > find_turn(position)

    def update_watching(self, now_s: float) -> None:
        """Begin or end to watch the store, as it is due.

        :param now_s: the time.
        """
        watching = self._should_watch(now_s)
        if watching == self.watching:
            return
        self.watching = watching
        if not watching:
            # Nothing that this instance asked is unanswered any more.
            self.outages.record_answer()
        if watching and self.complete:
            position = self.election.find_position()
            self.hold_until_s = now_s + choose_hold(position)
        log_event(
            "store_watch",
            watching=watching,
            position=self.election.find_position(),
            silent_s=f"{now_s - self.heard_s:.3f}",
        )

    async def run(self) -> None:
        """Keep the replica up to date until cancelled."""
        while True:
            now_s = read_boot_clock()
            self.update_watching(now_s)
            if not self.watching:
                await curio.sleep(POLL_S)
                continue
            try:
                await self._watch_once()
                self._record_reachable(True, "")
            except StoreFailed as error:
                self.outages.record_failure(read_boot_clock())
                self._record_reachable(False, str(error))
                await self._request_from_peers()
                wait_s = find_pause(
                    self.failures, INITIAL_RETRY_S, MAX_RETRY_S
                )
                self.failures += 1
                await curio.sleep(wait_s)
            except HistoryGone as error:
                self.outages.record_answer()
                log_event("store_history_gone", "WARNING", cause=str(error))
                self.complete = False

    def _record_reachable(self, reachable: bool, cause: str) -> None:
        if reachable:
            self.failures = 0
        if reachable != self.reachable:
            self.reachable = reachable
            event = "store_regained" if reachable else "store_lost"
            log_event(event, "INFO" if reachable else "WARNING", cause=cause)

    async def _watch_once(self) -> None:
        """Read changes from the store, or all items, and publish them."""
        start_s = read_boot_clock()
        before = self.replica.revision
        if self.complete:
            wait_s = self._find_wait(start_s)
            reading = await self.reader.read_changes(start_s, wait_s)
        else:
            reading = await self.reader.read_all(start_s)
            self.complete = True
            self.heard_s = read_boot_clock()
        now_s = read_boot_clock()
        new_items = await self._apply(reading.changed, now_s)
        to_publish = self._choose_published(before, new_items)
        if to_publish or now_s - self.published_s >= CONFIRM_INTERVAL_S:
            await self._publish(to_publish)
        await self.age_reports.record_reading(reading.reading)
        pause_s = max(0.0, BATCH_S - (now_s - start_s))
        if self.election.find_position() > 0:
            pause_s += TAKEOVER_PAUSE_S
        await curio.sleep(pause_s)

    def _choose_published(
        self, before: int, new_items: list[StoredItem]
    ) -> list[StoredItem]:
        """Choose the items that peers get after a reading.

        :param before: revision of the replica before the reading.
        :param new_items: items of the reading that peers have to know.
        :returns: the items.
        """
        if before == 0:
            # Peers read the store themselves, or request what they lack.
            self.published_revision = self.replica.revision
            return []
        if find_epoch(before) < find_epoch(self.replica.revision):
            # Peers may have read a key that was deleted before this reading.
            self.published_revision = 0
            return list(self.replica.collect_since(0))
        return new_items

    def _find_wait(self, now_s: float) -> float:
        """Find how long a call that begins now may wait for a change.

        :returns: seconds.
        """
        is_stale = now_s - self.confirmed_s > STALE_S
        is_urgent = self.age_reports.age.is_urgent(now_s)
        return URGENT_WAIT_S if is_stale or is_urgent else WATCH_WAIT_S

    async def _apply(
        self, changed: list[StoredItem], confirmed_s: float
    ) -> list[StoredItem]:
        self.confirmed_s = max(self.confirmed_s, confirmed_s)
        return await self.apply_items(changed, self.confirmed_s)

    async def _publish(self, items: list[StoredItem]) -> None:
        """Send peers the changes since the last published revision."""
        since, self.published_revision = (
            self.published_revision,
            self.replica.revision,
        )
        self.published_s = read_boot_clock()
        update = FeedUpdate(
            since, self.published_revision, 0.0, pack_items(items)
        )
        await self._send_update(update, "")

    async def _send_update(self, update: FeedUpdate, source: str) -> None:
        """Send an update to the peers of the region that may lack it.

        :param update: the update.
        :param source: name of a peer to leave out.
        """
        data = pack_message(update)
        # In a full mesh nobody sends updates on, so all peers get them.
        to_all = self.peers.membership.is_full_mesh
        for link in self.peers.list_region_links(source):
            if to_all or self.feed_peers.wants_update(
                link.peer.name, update.revision, bool(update.items)
            ):
                await link.post_packed(data)

    async def _request_from_peers(self) -> None:
        """Request all items from peers if the replica is not complete."""
        if self.complete:
            return
        for opened in list(self.peers.links.values()):
            await opened.link.post(FeedRequest(0))

    async def apply_update(self, link: PeerLink, update: FeedUpdate) -> None:
        """Apply changes that a peer sent, and disseminate them further.

        If changes before these are missing, they are requested from the
        peer, and the replica keeps its revision. An update of all
        changes since revision 0 makes the replica complete. Unless the
        instances of the region form a full mesh, an update that is new
        here is sent on to them. An update of an earlier epoch is dropped,
        and the peer is told the revision of this replica.

        :param link: link with the peer.
        :param update: the changes.
        """
        now_s = read_boot_clock()
        self.store.record_epoch(find_epoch(update.revision), link.peer.name)
        kind = classify_update(update, self.replica.revision)
        if kind is UpdateKind.OUTDATED:
            await self._reply_to_outdated(link, update, now_s)
            return
        self.feed_peers.record_update(
            link.peer.name,
            update.revision,
            self.replica.revision,
            bool(update.items),
        )
        changed = self._apply_to_replica(update, kind)
        gap = kind is UpdateKind.GAP
        if gap:
            await self._request_missing(link, now_s)
        else:
            self.published_revision = max(
                self.published_revision, update.revision
            )
            self.complete = self.complete or update.since == 0
        confirmed_s = now_s - update.age_s
        newer = confirmed_s > self.confirmed_s + POLL_S
        if newer:
            self.heard_s = confirmed_s
            await self._request_if_late(link, update, now_s)
        await self._apply(changed, self.confirmed_s if gap else confirmed_s)
        if self.complete:
            await self.age_reports.advance(self.replica.revision)
        if (changed or newer) and not self.peers.membership.is_full_mesh:
            await self._send_update(update, link.peer.name)

    def _apply_to_replica(
        self, update: FeedUpdate, kind: UpdateKind
    ) -> list[StoredItem]:
        items = unpack_items(update.items)
        if kind is UpdateKind.SNAPSHOT:
            present = {i.key: i for i in items if i.value is not None}
            return self.replica.apply_snapshot(
                present, update.revision, update.revision
            )
        is_gap = kind is UpdateKind.GAP
        revision = self.replica.revision if is_gap else update.revision
        return self.replica.apply(items, revision)

    async def _reply_to_outdated(
        self, link: PeerLink, update: FeedUpdate, now_s: float
    ) -> None:
        """Tell a peer that missed the store's return the own revision."""
        revision = self.replica.revision
        log_event(
            "update_outdated",
            "WARNING",
            peer=link.peer.name,
            revision=unpack_position(update.revision),
            known=unpack_position(revision),
        )
        age_s = max(0.0, now_s - self.confirmed_s)
        await link.post(FeedUpdate(revision, revision, age_s, ()))

    async def _request_if_late(
        self, link: PeerLink, update: FeedUpdate, now_s: float
    ) -> None:
        """Request changes from a peer whose notice is the first to arrive.

        No peer tells this instance of changes at once then, so the sender
        does from now on. In a full mesh the watcher tells all of them.
        """
        is_late = update.age_s >= LATE_S
        if is_late and not self.peers.membership.is_full_mesh:
            await self._request_missing(link, now_s)

    async def _request_missing(self, link: PeerLink, now_s: float) -> None:
        """Request the changes after the replica's revision from a peer."""
        if now_s - self.requested_s < MIN_REQUEST_INTERVAL_S:
            return
        self.requested_s = now_s
        await link.post(FeedRequest(self.replica.revision))

    async def send_changes(self, link: PeerLink, request: FeedRequest) -> None:
        """Send a peer all changes after a revision.

        :param link: link with the peer.
        :param request: the peer's request.
        """
        self.feed_peers.record_request(link.peer.name)
        if not self.complete:
            return
        is_same_epoch = find_epoch(request.after) == find_epoch(
            self.replica.revision
        )
        after = request.after if is_same_epoch else 0
        items = self.replica.collect_since(after)
        age_s = max(0.0, read_boot_clock() - self.confirmed_s)
        await link.post(
            FeedUpdate(
                after,
                self.replica.revision,
                age_s,
                pack_items(items),
            )
        )


@register_message_handler(FeedUpdate)
async def handle_feed_update(
    table: PeerTable, link: PeerLink, message: FeedUpdate
) -> None:
    """Apply a peer's changes to the change feed of this instance."""
    if table.change_feed is not None:
        await table.change_feed.apply_update(link, message)


@register_message_handler(FeedRequest)
async def handle_feed_request(
    table: PeerTable, link: PeerLink, message: FeedRequest
) -> None:
    """Send a peer the changes that it requests."""
    if table.change_feed is not None:
        await table.change_feed.send_changes(link, message)
