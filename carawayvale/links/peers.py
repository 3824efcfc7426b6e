"""The links of one instance and what it learns over them."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random
from ssl import SSLContext
from typing import Any

import curio
from curio.io import Socket

from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import Clock
from carawayvale.links.document_replica import DocumentReplica
from carawayvale.links.http import connect
from carawayvale.links.http import ConnectFailed
from carawayvale.links.membership import choose_neighbours
from carawayvale.links.membership import HEARTBEAT_S
from carawayvale.links.membership import Membership
from carawayvale.links.messages import BadMessage
from carawayvale.links.messages import Heartbeat
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import Members
from carawayvale.links.messages import MemberState
from carawayvale.links.messages import ProbeRequest
from carawayvale.links.messages import Reports
from carawayvale.links.messages import Updates
from carawayvale.links.peer_link import accept_link
from carawayvale.links.peer_link import HANDSHAKE_TIMEOUT_S
from carawayvale.links.peer_link import LinkBroken
from carawayvale.links.peer_link import LinkClosed
from carawayvale.links.peer_link import LinkRefused
from carawayvale.links.peer_link import open_link
from carawayvale.links.peer_link import pack_message
from carawayvale.links.peer_link import PeerLink
from carawayvale.telemetry.logs import log_event

TICK_S = HEARTBEAT_S / 2
REPORT_S = 1.0
REDIAL_S = 2.0
SECOND_DIAL_S = 1.0
IDLE_LINK_S = 3.0
RELAY_FANOUT = 3
UPDATES_LIMIT = 64
PROBERS = 3

Notify = Callable[[], Awaitable[None]]
Handler = Callable[["PeerTable", PeerLink, Any], Awaitable[None]]
HANDLERS: dict[type, Handler] = {}


def handle_message(kind: type) -> Callable[[Handler], Handler]:
    """Register the handler of a kind of message.

    :param kind: class of the message.
    :returns: the decorator.
    """

    def register(handler: Handler) -> Handler:
        HANDLERS[kind] = handler
        return handler

    return register


@dataclass(frozen=True)
class Traffic:
    """What links carried; bytes are without TCP and IP headers.

    :param sent_bytes: bytes that were sent.
    :param sent_packets: writes, about one packet each.
    :param received_bytes: bytes that were received.
    :param received_packets: reads, about one packet each.
    """

    sent_bytes: int
    sent_packets: int
    received_bytes: int
    received_packets: int

    def add(self, link: PeerLink) -> "Traffic":
        """Add what a link carried.

        :param link: the link.
        :returns: the sum.
        """
        return Traffic(
            self.sent_bytes + link.sent_bytes,
            self.sent_packets + link.sent_packets,
            self.received_bytes + link.received_bytes,
            self.received_packets + link.received_packets,
        )


NO_TRAFFIC = Traffic(0, 0, 0, 0)


@dataclass
class OpenLink:
    """A link in use and when it was opened."""

    link: PeerLink
    since_s: float
    disputed_s: float = 0.0


@dataclass
class PeerCallbacks:
    """What the rest of the instance does for its links.

    :param members_changed: called after the member list changed.
    :param document_changed: called after a document came into force.
    :param make_reports: makes the message with headroom for a peer's
        region.
    :param take_reports: takes over a peer's reports and returns those
        that the own region has not seen.
    """

    members_changed: Notify
    document_changed: Notify
    make_reports: Callable[[str], Reports]
    take_reports: Callable[[MemberRecord, Reports], Reports | None]


@dataclass
class PeerTable:
    """Owns the links with other instances.

    :param key: the deployment's key.
    :param seeds: peer ports that are always tried.
    :param clock: the process's clock.
    :param ssl: context for TLS, or None.
    :param membership: the member list.
    :param keeper: the document in force.
    :param callbacks: calls into the rest of the instance.
    :param feed: takes changes in the store from peers, if there is one.
    """

    key: bytes
    seeds: tuple[Address, ...]
    clock: Clock
    ssl: SSLContext | None
    membership: Membership
    keeper: DocumentReplica
    callbacks: PeerCallbacks
    links: dict[str, OpenLink] = field(default_factory=dict)
    dialling: set[Address] = field(default_factory=set)
    tasks: set[curio.Task] = field(default_factory=set)
    neighbours: frozenset[str] = frozenset()
    wanted_since_s: dict[str, float] = field(default_factory=dict)
    sections_asked_s: float = 0.0
    last_redial_s: float = 0.0
    reported_s: float = 0.0
    beaten_s: float = 0.0
    seen_generation: int = -1
    closed_traffic: Traffic = NO_TRAFFIC
    feed: Any = None

    def __post_init__(self):
        self.random = random.Random(self.membership.me.incarnation)

    async def accept(self, sock: Socket) -> None:
        """Serve a link that a peer opens.

        :param sock: the accepted socket.
        """
        await self._serve(sock, accept_link)

    async def _serve(self, sock: Socket, greet: Callable) -> None:
        me = self.membership.me
        try:
            link = await curio.timeout_after(
                HANDSHAKE_TIMEOUT_S, greet, sock, self.key, me
            )
        except LinkRefused as error:
            log_event("peer_refused", "WARNING", cause=str(error))
            return
        except (LinkBroken, BadMessage, curio.TaskTimeout) as error:
            log_event("peer_handshake_failed", "DEBUG", cause=str(error))
            return
        if link.peer.name == me.name:
            if link.peer.incarnation != me.incarnation:
                log_event("name_taken", "ERROR", name=me.name)
            return
        await self._run_link(link)

    async def _run_link(self, link: PeerLink) -> None:
        name = link.peer.name
        now_s = self.clock.read()
        old = self.links.get(name)
        self.links[name] = OpenLink(link, now_s)
        if old is not None:
            await old.link.close()
        self.membership.receive(link.peer, now_s)
        self.membership.meet(name, link.peer.incarnation, now_s)
        await link.post(Members(tuple(self.membership.records.values())))
        await self.update_neighbours()
        closed = False
        try:
            await link.run(self._handle)
        except LinkClosed:
            closed = True
        except BadMessage as error:
            log_event("bad_message", "WARNING", peer=name, cause=str(error))
        except LinkBroken as error:
            log_event("link_broken", "DEBUG", peer=name, cause=str(error))
        finally:
            await self._drop(name, link, closed)

    async def _drop(self, name: str, link: PeerLink, closed: bool) -> None:
        self.closed_traffic = self.closed_traffic.add(link)
        present = self.links.get(name)
        if present is not None and present.link is link:
            del self.links[name]
            if not closed and not link.is_closing:
                self.membership.suspect_broken(name, self.clock.read())
        await link.sock.close()

    async def _handle(self, link: PeerLink, message: Any) -> None:
        handler = HANDLERS.get(type(message))
        if handler is None:
            raise BadMessage(f"{type(message).__name__} out of place")
        await handler(self, link, message)

    async def run(self) -> None:
        """Keep links, heartbeats and the member list until cancelled."""
        try:
            while True:
                await self._tick()
                await curio.sleep(TICK_S)
        finally:
            for task in list(self.tasks):
                await task.cancel(blocking=False)

    async def _tick(self) -> None:
        now_s = self.clock.read()
        pauses = self.membership.pauses
        silent = self.membership.advance(now_s)
        if self.membership.pauses != pauses:
            log_event("pause_noticed", "WARNING")
        for name in silent:
            await self._probe(name)
        await self.update_neighbours()
        await self._dial_missing(now_s)
        await self._close_unneeded(now_s)
        await self.send_updates()
        if now_s - self.beaten_s >= HEARTBEAT_S:
            self.beaten_s = now_s
            await self.send_heartbeats()
        if now_s - self.reported_s >= REPORT_S:
            self.reported_s = now_s
            await self._send_reports()

    async def _send_reports(self) -> None:
        packed: dict[str, bytes] = {}
        for opened in list(self.links.values()):
            region = opened.link.peer.region
            if region not in packed:
                message = self.callbacks.make_reports(region)
                packed[region] = pack_message(message)
            await opened.link.post_packed(packed[region])

    async def relay_reports(self, reports: Reports, source: str) -> None:
        """Pass reports on to neighbours of the own region.

        In a large region three of them are enough: reports come again
        each second, and every instance that learns from one passes it
        on.

        :param reports: the reports.
        :param source: name of the peer that sent them.
        """
        data = pack_message(reports)
        links = self._list_region_links(source)
        if not self.membership.is_full_mesh:
            count = min(RELAY_FANOUT, len(links))
            links = self.random.sample(links, count)
        for link in links:
            await link.post_packed(data)

    async def update_neighbours(self) -> None:
        """Follow a change of the member list, if there was one."""
        generation = self.membership.generation
        if generation == self.seen_generation:
            return
        self.seen_generation = generation
        me = self.membership.me
        linked = self.membership.list_members()
        self.neighbours = choose_neighbours(me.name, me.region, linked)
        self.membership.watch(self.neighbours, self.clock.read())
        await self.callbacks.members_changed()

    async def _probe(self, name: str) -> None:
        others = [other for other in self.links if other != name]
        count = min(PROBERS, len(others))
        for other in self.random.sample(others, count):
            opened = self.links.get(other)
            if opened is not None:
                await opened.link.post(ProbeRequest(name))

    async def _dial_missing(self, now_s: float) -> None:
        me = self.membership.me
        missing = self.neighbours - self.links.keys()
        for name in self.wanted_since_s.keys() - missing:
            del self.wanted_since_s[name]
        for name in missing:
            since_s = self.wanted_since_s.setdefault(name, now_s)
            if me.name < name or now_s - since_s >= SECOND_DIAL_S:
                await self._dial(self.membership.records[name].peers)
        if now_s - self.last_redial_s >= REDIAL_S:
            self.last_redial_s = now_s
            for address in self._list_lost():
                await self._dial(address)

    def _list_lost(self) -> list[Address]:
        live = set()
        dead = []
        for record in self.membership.records.values():
            if record.state is MemberState.DEAD:
                dead.append(record.peers)
            else:
                live.add(record.peers)
        lost = [seed for seed in self.seeds if seed not in live]
        if dead:
            lost.append(self.random.choice(dead))
        return lost

    async def _dial(self, address: Address) -> None:
        if address in self.dialling or address == self.membership.me.peers:
            return
        self.dialling.add(address)
        await curio.spawn(self._open, address, daemon=True)

    async def _open(self, address: Address) -> None:
        task = await curio.current_task()
        self.tasks.add(task)
        try:
            sock = await connect(address, ssl=self.ssl)
            self.dialling.discard(address)
            async with sock:
                await self._serve(sock, open_link)
        except ConnectFailed:
            return
        finally:
            self.dialling.discard(address)
            self.tasks.discard(task)

    async def _close_unneeded(self, now_s: float) -> None:
        for name, opened in list(self.links.items()):
            idle = now_s - opened.since_s >= IDLE_LINK_S
            if idle and name not in self.neighbours:
                del self.links[name]
                await opened.link.close()

    async def send_heartbeats(self) -> None:
        """Send a heartbeat on each link."""
        await self._broadcast(
            Heartbeat(
                self.membership.me.incarnation,
                self.membership.view_hash,
                self.keeper.revision,
            )
        )

    async def send_updates(self) -> None:
        """Send changed member records on each link."""
        while records := self.membership.take_updates(UPDATES_LIMIT):
            await self._broadcast(Updates(records))

    async def _broadcast(self, message: Any) -> None:
        data = pack_message(message)
        for opened in list(self.links.values()):
            await opened.link.post_packed(data)

    async def send_to_region(self, message: Any, source: str) -> None:
        """Send a message on the links within the own region.

        :param message: the message.
        :param source: name of a peer that needs no copy.
        """
        data = pack_message(message)
        for link in self._list_region_links(source):
            await link.post_packed(data)

    def _list_region_links(self, source: str) -> list[PeerLink]:
        region = self.membership.me.region
        return [
            opened.link
            for name, opened in self.links.items()
            if opened.link.peer.region == region and name != source
        ]

    async def announce_departure(self) -> None:
        """Tell all peers that this instance is gone."""
        self.membership.retire()
        await self.send_updates()

    def measure_traffic(self) -> Traffic:
        """Measure what was carried on all links.

        :returns: bytes and packets.
        """
        total = self.closed_traffic
        for opened in self.links.values():
            total = total.add(opened.link)
        return total
