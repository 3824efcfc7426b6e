"""Links of an instance with its peers, and periodic messages on them."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random
from ssl import SSLContext
from typing import Any
from typing import TYPE_CHECKING

import curio

from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import Clock
from carawayvale.links.http import connect
from carawayvale.links.http import ConnectFailed
from carawayvale.links.link_sessions import ActiveLink
from carawayvale.links.link_sessions import serve_link
from carawayvale.links.membership import HEARTBEAT_INTERVAL_S
from carawayvale.links.membership import Membership
from carawayvale.links.messages import BadMessage
from carawayvale.links.messages import Heartbeat
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import ProbeRequest
from carawayvale.links.messages import UnknownMessage
from carawayvale.links.messages import Updates
from carawayvale.links.peer_link import accept_link
from carawayvale.links.peer_link import open_link
from carawayvale.links.peer_link import pack_message
from carawayvale.links.peer_link import PeerLink
from carawayvale.links.peer_traffic import NO_TRAFFIC
from carawayvale.links.peer_traffic import Traffic
from carawayvale.links.report_gossip import send_reports
from carawayvale.links.sockets import StreamSocket
from carawayvale.links.topology import choose_neighbours
from carawayvale.links.topology import choose_redials
from carawayvale.telemetry.logs import log_event

if TYPE_CHECKING:
    from carawayvale.links.document_messages import Reports
    from carawayvale.links.document_replica import DocumentReplica

TICK_INTERVAL_S = HEARTBEAT_INTERVAL_S / 2
REPORT_INTERVAL_S = 1.0
REDIAL_INTERVAL_S = 2.0
FALLBACK_DIAL_DELAY_S = 1.0
MIN_LINK_AGE_S = 3.0
MAX_UPDATES_PER_MESSAGE = 64
PROBE_FANOUT = 3

# Revision in the heartbeats of an instance without a document.
NO_REVISION = 0

ChangeCallback = Callable[[], Awaitable[None]]
PeerMessageHandler = Callable[["PeerTable", PeerLink, Any], Awaitable[None]]
HANDLERS: dict[type, list[PeerMessageHandler]] = {}


def register_message_handler(
    kind: type,
) -> Callable[[PeerMessageHandler], PeerMessageHandler]:
    """Register a handler of a message type.

    All handlers of a type are called, in the order of registration.

    :param kind: class of the message.
    :returns: the function decorator.
    """

    def register(handler: PeerMessageHandler) -> PeerMessageHandler:
        HANDLERS.setdefault(kind, []).append(handler)
        return handler

    return register


@dataclass
class PeerCallbacks:
    """Callbacks from the links into the rest of the instance.

    :param members_changed: called after the member list changed.
    :param document_changed: called after a document was put in force.
    :param make_reports: makes the headroom message for peers in a given
        region; None if this instance sends none.
    :param merge_reports: merges the reports of a peer and returns those
        that are new to the region of this instance.
    """

    members_changed: ChangeCallback
    document_changed: ChangeCallback | None = None
    make_reports: Callable[[str], "Reports"] | None = None
    merge_reports: (
        Callable[[MemberRecord, "Reports"], "Reports | None"] | None
    ) = None


@dataclass
class PeerTable:
    """Links of this instance with its peers, and the tasks that run them.

    :param key: shared key of the deployment.
    :param seeds: peer addresses that are dialled whenever no live member
        has them.
    :param clock: clock of the process.
    :param ssl: TLS context, or None for plain TCP.
    :param membership: the member list.
    :param document_replica: the document in force; None for an instance
        without a document.
    :param callbacks: callbacks into the rest of the instance.
    :param links: links in use by the name of the peer.
    :param dialling: addresses to which a connection is being opened.
    :param tasks: tasks of the links that this instance opened.
    :param neighbours: names of the instances to link with.
    :param missing_since_s: time since which each neighbour has no link.
    :param sections_requested_s: time of the last request for sections, or
        0 after its response.
    :param last_redial_s: time at which seeds and dead members were last
        dialled.
    :param last_report_s: time at which reports were last sent.
    :param last_heartbeat_s: time at which heartbeats were last sent.
    :param seen_generation: generation of the member list at the last call
        of ``members_changed``.
    :param seen_joins_and_leaves: joins and leaves for which the neighbours
        were chosen.
    :param closed_traffic: traffic of the links that have ended.
    :param change_feed: receiver of store changes from peers, or
        None.
    :param crash_reports: receiver of reports about crashes, or None.
    :param age_reports: receiver of reports about the age of the
        configuration, or None.
    """

    key: bytes
    seeds: tuple[Address, ...]
    clock: Clock
    ssl: SSLContext | None
    membership: Membership
    document_replica: "DocumentReplica | None"
    callbacks: PeerCallbacks
    links: dict[str, ActiveLink] = field(default_factory=dict)
    dialling: set[Address] = field(default_factory=set)
    tasks: set[curio.Task] = field(default_factory=set)
    neighbours: frozenset[str] = frozenset()
    missing_since_s: dict[str, float] = field(default_factory=dict)
    sections_requested_s: float = 0.0
    last_redial_s: float = 0.0
    last_report_s: float = 0.0
    last_heartbeat_s: float = 0.0
    seen_generation: int = -1
    seen_joins_and_leaves: int = -1
    closed_traffic: Traffic = NO_TRAFFIC
    change_feed: Any = None
    crash_reports: Any = None
    age_reports: Any = None

    def __post_init__(self):
        self.random = random.Random(self.membership.own_record.incarnation)

    async def accept(self, sock: StreamSocket) -> None:
        """Serve a link that a peer opened.

        :param sock: the accepted socket.
        """
        await serve_link(self, sock, accept_link)

    async def handle_message(self, link: PeerLink, message: Any) -> None:
        """Pass a message to the handlers of its type.

        :param link: link with the peer that sent it.
        :param message: the message.
        :raises BadMessage: if messages of the type have no handler.
        """
        if isinstance(message, UnknownMessage):
            self._skip(link, message)
            return
        handlers = HANDLERS.get(type(message))
        if handlers is None:
            raise BadMessage(f"unexpected message {type(message).__name__}")
        for handler in handlers:
            await handler(self, link, message)

    @staticmethod
    def _skip(link: PeerLink, message: UnknownMessage) -> None:
        """Count a message of another version; log the first of a link."""
        if not link.skipped_messages:
            name, code = link.peer.name, message.code
            log_event("message_skipped", "WARNING", peer=name, code=code)
        link.skipped_messages += 1

    async def run(self) -> None:
        """Maintain links, heartbeats and the member list until cancelled."""
        try:
            while True:
                await self._tick()
                await curio.sleep(TICK_INTERVAL_S)
        finally:
            for task in list(self.tasks):
                await task.cancel(blocking=False)

    async def _tick(self) -> None:
        now_s = self.clock.read()
        pauses = self.membership.pauses
        suspected = set(self.membership.suspected_s)
        dead = set(self.membership.dead_s)
        unreachable = self.membership.advance(now_s)
        for name in self.membership.suspected_s.keys() - suspected:
            self.log_verdict(name, "not_heard")
        for name in self.membership.dead_s.keys() - dead:
            self.log_verdict(name, "not_refuted")
        if self.membership.pauses != pauses:
            log_event("pause_noticed", "WARNING")
        for name in unreachable:
            await self._probe(name)
        await self.update_neighbours()
        await self._dial_missing(now_s)
        await self._close_unneeded(now_s)
        await self.send_updates()
        if now_s - self.last_heartbeat_s >= HEARTBEAT_INTERVAL_S:
            self.last_heartbeat_s = now_s
            await self.send_heartbeats()
        reports_due = now_s - self.last_report_s >= REPORT_INTERVAL_S
        if reports_due and self.callbacks.make_reports is not None:
            self.last_report_s = now_s
            await send_reports(self)

    def log_verdict(self, name: str, cause: str) -> None:
        """Log what the own failure detector made of an instance.

        :param name: name of the instance.
        :param cause: what made it change the member list.
        """
        record = self.membership.records.get(name)
        if record is not None:
            log_event(
                "member_judged",
                name=name,
                state=record.state.name.lower(),
                incarnation=record.incarnation,
                version=record.version,
                cause=cause,
            )

    async def update_neighbours(self) -> None:
        """Update the neighbours if the member list changed.

        Chooses the neighbours anew and monitors them if instances joined
        or left, and calls the callback ``members_changed`` after any change.
        """
        membership = self.membership
        if membership.joins_and_leaves != self.seen_joins_and_leaves:
            self.seen_joins_and_leaves = membership.joins_and_leaves
            own_record = membership.own_record
            self.neighbours = choose_neighbours(
                own_record.name, own_record.region, membership.list_members()
            )
            membership.monitor(self.neighbours, self.clock.read())
        if membership.generation != self.seen_generation:
            self.seen_generation = membership.generation
            await self.callbacks.members_changed()

    async def _probe(self, name: str) -> None:
        others = [other for other in self.links if other != name]
        count = min(PROBE_FANOUT, len(others))
        for other in self.random.sample(others, count):
            active = self.links.get(other)
            if active is not None:
                await active.link.post(ProbeRequest(name))

    async def _dial_missing(self, now_s: float) -> None:
        own_record = self.membership.own_record
        missing = self.neighbours - self.links.keys()
        for name in self.missing_since_s.keys() - missing:
            del self.missing_since_s[name]
        # The instance with the lower name dials its neighbour. The other one
        # dials only if the link is still missing after a delay.
        for name in missing:
            since_s = self.missing_since_s.setdefault(name, now_s)
            if (
                own_record.name < name
                or now_s - since_s >= FALLBACK_DIAL_DELAY_S
            ):
                await self._dial(self.membership.records[name].peers)
        if now_s - self.last_redial_s >= REDIAL_INTERVAL_S:
            self.last_redial_s = now_s
            records = self.membership.records
            for address in choose_redials(self.seeds, records, self.random):
                await self._dial(address)

    async def _dial(self, address: Address) -> None:
        if (
            address in self.dialling
            or address == self.membership.own_record.peers
        ):
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
                await serve_link(self, sock, open_link)
        except ConnectFailed:
            return
        finally:
            self.dialling.discard(address)
            self.tasks.discard(task)

    async def _close_unneeded(self, now_s: float) -> None:
        """Close links of MIN_LINK_AGE_S that are not with neighbours."""
        for name, active in list(self.links.items()):
            is_old = now_s - active.opened_s >= MIN_LINK_AGE_S
            if is_old and name not in self.neighbours:
                del self.links[name]
                await active.link.close()

    async def send_heartbeats(self) -> None:
        """Send a heartbeat on each link."""
        replica = self.document_replica
        await self.broadcast(
            Heartbeat(
                self.membership.own_record.incarnation,
                self.membership.view_hash,
                NO_REVISION if replica is None else replica.revision,
            )
        )

    async def send_updates(
        self, source: str = "", known: tuple[MemberRecord, ...] = ()
    ) -> None:
        """Send changed member records on each link.

        :param source: name of the peer whose message caused the changes.
        :param known: records that it sent, and does not get back.
        """
        while records := self.membership.take_updates(MAX_UPDATES_PER_MESSAGE):
            await self.broadcast(Updates(records), source)
            active = self.links.get(source)
            unknown = tuple(r for r in records if r not in known)
            if active is not None and unknown:
                await active.link.post(Updates(unknown))

    async def broadcast(self, message: Any, without: str = "") -> None:
        """Send a message on each link.

        :param message: the message.
        :param without: name of a peer to leave out.
        """
        data = pack_message(message)
        for name, active in list(self.links.items()):
            if name != without:
                await active.link.post_packed(data)

    def list_region_links(self, source: str) -> list[PeerLink]:
        """List the links with peers of the region of this instance.

        :param source: name of a peer to leave out.
        :returns: the links.
        """
        region = self.membership.own_record.region
        return [
            active.link
            for name, active in self.links.items()
            if active.link.peer.region == region and name != source
        ]

    async def announce_departure(self) -> None:
        """Announce to all peers that this instance has left."""
        self.membership.retire()
        await self.send_updates()

    def measure_traffic(self) -> Traffic:
        """Sum up the traffic of all links, closed ones included.

        :returns: total bytes and packets.
        """
        total = self.closed_traffic
        for active in self.links.values():
            total = total.add(active.link)
        return total
