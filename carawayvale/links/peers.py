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

from carawayvale.contracts.clock import Clock
from carawayvale.contracts.fields import Address
from carawayvale.links.http import connect
from carawayvale.links.http import ConnectFailed
from carawayvale.links.keeper import apply_change
from carawayvale.links.keeper import DocumentKeeper
from carawayvale.links.membership import choose_neighbours
from carawayvale.links.membership import HEARTBEAT_S
from carawayvale.links.membership import Membership
from carawayvale.links.messages import BadMessage
from carawayvale.links.messages import Heartbeat
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import Members
from carawayvale.links.messages import MembersRequest
from carawayvale.links.messages import MemberState
from carawayvale.links.messages import ProbeReply
from carawayvale.links.messages import ProbeRequest
from carawayvale.links.messages import Reports
from carawayvale.links.messages import Sections
from carawayvale.links.messages import SectionsRequest
from carawayvale.links.messages import Updates
from carawayvale.links.peer_link import greet_client
from carawayvale.links.peer_link import greet_server
from carawayvale.links.peer_link import HANDSHAKE_TIMEOUT_S
from carawayvale.links.peer_link import LinkBroken
from carawayvale.links.peer_link import LinkClosed
from carawayvale.links.peer_link import LinkRefused
from carawayvale.links.peer_link import pack_message
from carawayvale.links.peer_link import PeerLink
from carawayvale.telemetry.logs import log_event

TICK_S = HEARTBEAT_S / 2
REPORT_S = 1.0
REDIAL_S = 2.0
SECOND_DIAL_S = 1.0
IDLE_LINK_S = 3.0
SECTIONS_TIMEOUT_S = 2.0
VIEW_DISPUTE_S = 2.0
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
class PeerHooks:
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
    :param hooks: calls into the rest of the instance.
    """

    key: bytes
    seeds: tuple[Address, ...]
    clock: Clock
    ssl: SSLContext | None
    membership: Membership
    keeper: DocumentKeeper
    hooks: PeerHooks
    links: dict[str, OpenLink] = field(default_factory=dict)
    dialling: set[Address] = field(default_factory=set)
    tasks: set[curio.Task] = field(default_factory=set)
    neighbours: frozenset[str] = frozenset()
    wanted_since_s: dict[str, float] = field(default_factory=dict)
    sections_asked_s: float = 0.0
    redialled_s: float = 0.0
    reported_s: float = 0.0
    beaten_s: float = 0.0
    seen_generation: int = -1
    closed_traffic: Traffic = NO_TRAFFIC

    def __post_init__(self):
        self.random = random.Random(self.membership.me.incarnation)

    async def accept(self, sock: Socket) -> None:
        """Serve a link that a peer opens.

        :param sock: the accepted socket.
        """
        await self._serve(sock, greet_client)

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
        self.membership.hear(name, link.peer.incarnation, now_s)
        await link.post(Members(tuple(self.membership.records.values())))
        await self._settle()
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
        await self._settle()
        await self._dial_missing(now_s)
        await self._close_unneeded(now_s)
        await self._send_updates()
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
                message = self.hooks.make_reports(region)
                packed[region] = pack_message(message)
            await opened.link.post_packed(packed[region])

    async def relay_reports(self, reports: Reports, source: str) -> None:
        """Pass reports on to the neighbours of the own region.

        :param reports: the reports.
        :param source: name of the peer that sent them.
        """
        data = pack_message(reports)
        for name, opened in list(self.links.items()):
            local = opened.link.peer.region == self.membership.me.region
            if local and name != source:
                await opened.link.post_packed(data)

    async def _settle(self) -> None:
        generation = self.membership.generation
        if generation == self.seen_generation:
            return
        self.seen_generation = generation
        me = self.membership.me
        linked = [
            record
            for record in self.membership.records.values()
            if record.state is not MemberState.DEAD
        ]
        self.neighbours = choose_neighbours(me.name, me.region, linked)
        self.membership.watch(self.neighbours, self.clock.read())
        await self.hooks.members_changed()

    async def _probe(self, name: str) -> None:
        others = [other for other in self.links if other != name]
        count = min(PROBERS, len(others))
        for other in self.random.sample(others, count):
            await self.links[other].link.post(ProbeRequest(name))

    async def _dial_missing(self, now_s: float) -> None:
        me = self.membership.me
        missing = self.neighbours - self.links.keys()
        for name in self.wanted_since_s.keys() - missing:
            del self.wanted_since_s[name]
        for name in missing:
            since_s = self.wanted_since_s.setdefault(name, now_s)
            if me.name < name or now_s - since_s >= SECOND_DIAL_S:
                await self._dial(self.membership.records[name].peers)
        if now_s - self.redialled_s >= REDIAL_S:
            self.redialled_s = now_s
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
                await self._serve(sock, greet_server)
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
                self.membership.view,
                self.keeper.revision,
            )
        )

    async def _send_updates(self) -> None:
        while records := self.membership.take_updates(UPDATES_LIMIT):
            await self._broadcast(Updates(records))

    async def _broadcast(self, message: Any) -> None:
        data = pack_message(message)
        for opened in list(self.links.values()):
            await opened.link.post_packed(data)

    async def say_goodbye(self) -> None:
        """Tell all peers that this instance is gone."""
        self.membership.retire()
        await self._send_updates()

    def measure_traffic(self) -> Traffic:
        """Measure what was carried on all links.

        :returns: bytes and packets.
        """
        total = self.closed_traffic
        for opened in self.links.values():
            total = total.add(opened.link)
        return total


@handle_message(Heartbeat)
async def take_heartbeat(
    table: PeerTable, link: PeerLink, message: Heartbeat
) -> None:
    """Note that the peer lives; ask for what it knows better."""
    now_s = table.clock.read()
    name = link.peer.name
    table.membership.hear(name, message.incarnation, now_s)
    if message.revision > table.keeper.revision:
        await ask_sections(table, link, now_s)
    elif message.revision < table.keeper.revision:
        log_event(
            "older_revision_seen",
            "DEBUG",
            peer=name,
            revision=message.revision,
            in_force=table.keeper.revision,
        )
    opened = table.links.get(name)
    if opened is None:
        return
    if message.view == table.membership.view:
        opened.disputed_s = 0.0
    elif not opened.disputed_s:
        opened.disputed_s = now_s
    elif now_s - opened.disputed_s >= VIEW_DISPUTE_S:
        opened.disputed_s = now_s
        await link.post(MembersRequest())


async def ask_sections(table: PeerTable, link: PeerLink, now_s: float) -> None:
    """Ask a peer for changed sections, unless another is being asked.

    :param table: the links.
    :param link: link with the peer.
    :param now_s: the time.
    """
    if now_s - table.sections_asked_s < SECTIONS_TIMEOUT_S:
        return
    table.sections_asked_s = now_s
    document = table.keeper.document
    await link.post(SectionsRequest(document.revision, document.digest))


@handle_message(MembersRequest)
async def send_members(
    table: PeerTable, link: PeerLink, message: MembersRequest
) -> None:
    """Send the whole member list."""
    await link.post(Members(tuple(table.membership.records.values())))


@handle_message(Members)
@handle_message(Updates)
async def take_members(
    table: PeerTable, link: PeerLink, message: Members | Updates
) -> None:
    """Take over records that overrule the known ones."""
    now_s = table.clock.read()
    for record in message.records:
        known = table.membership.records.get(record.name)
        if table.membership.receive(record, now_s):
            log_change(known, record)
    await table._settle()
    await table._send_updates()


def log_change(known: Any, record: Any) -> None:
    """Log a change of a member's state.

    :param known: the record before, or None.
    :param record: the record now.
    """
    if known is None or known.state is not record.state:
        log_event(
            "member_changed",
            name=record.name,
            state=record.state.name.lower(),
            incarnation=record.incarnation,
            version=record.version,
        )


@handle_message(Reports)
async def take_reports(
    table: PeerTable, link: PeerLink, message: Reports
) -> None:
    """Take over headroom and the platform's list."""
    news = table.hooks.take_reports(link.peer, message)
    if news is not None:
        await table.relay_reports(news, link.peer.name)


@handle_message(ProbeRequest)
async def answer_probe(
    table: PeerTable, link: PeerLink, message: ProbeRequest
) -> None:
    """Tell a peer that another instance is heard here."""
    record = table.membership.records.get(message.target)
    hears = table.membership.hears(message.target, table.clock.read())
    if record is not None and hears:
        await link.post(
            ProbeReply(record.name, record.incarnation, record.version)
        )


@handle_message(ProbeReply)
async def take_probe_reply(
    table: PeerTable, link: PeerLink, message: ProbeReply
) -> None:
    """Note that a peer hears a silent instance."""
    now_s = table.clock.read()
    table.membership.hear(message.target, message.incarnation, now_s)


@handle_message(SectionsRequest)
async def send_sections(
    table: PeerTable, link: PeerLink, message: SectionsRequest
) -> None:
    """Send what changed in the document since the peer's revision."""
    if table.keeper.revision > message.revision:
        await link.post(
            table.keeper.collect_since(message.revision, message.digest)
        )


@handle_message(Sections)
async def take_sections(
    table: PeerTable, link: PeerLink, message: Sections
) -> None:
    """Put changed sections in force after checking them."""
    table.sections_asked_s = 0.0
    if message.revision <= table.keeper.revision:
        return
    source = f"peer {link.peer.name}"
    result = await curio.run_in_thread(
        apply_change, table.keeper.document, message, source
    )
    if result.is_error():
        log_findings(source, result.error)
        return
    if table.keeper.accept(result.ok):
        await table.hooks.document_changed()


def log_findings(source: str, findings: list[Any]) -> None:
    """Log why a document was not put in force.

    :param source: where it came from.
    :param findings: the findings.
    """
    for finding in findings:
        log_event(
            "document_refused", "ERROR", source=source, finding=str(finding)
        )
