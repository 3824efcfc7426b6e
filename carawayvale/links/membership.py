"""Decides which instances are live, from heartbeats and suspicions."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

import xxhash

from carawayvale.contracts.hashing import hash_text
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import MemberState

HEARTBEAT_S = 0.5
SILENCE_S = 1.1
PROBE_WAIT_S = 0.4
SUSPICION_S = 0.9
PAUSE_S = 1.5
FORGET_DEAD_S = 600.0
MESH_SIZE = 9
RINGS = 3
BRIDGES = 2

ROLE_BRIDGE = "bridge"
ROLE_WATCHER = "watcher"

SERVING = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


@dataclass
class Membership:
    """The member list of one instance.

    A silent neighbour is suspected first. It becomes dead only if
    neither it nor another instance that hears it objects in time. An
    instance that was itself paused blames nobody for the silence.

    :param me: this instance's own record.
    :param records: records of all known instances by name.
    :param now_s: time of creation.

    >>> from carawayvale.contracts.address import Address
    >>> port = Address("127.0.0.1", 1)
    >>> me = MemberRecord("e1", "zurich", "zurich-a", port, port, 1)
    >>> [m.name for m in Membership(me).list_serving()]
    ['e1']
    """

    me: MemberRecord
    now_s: float = 0.0
    records: dict[str, MemberRecord] = field(default_factory=dict)
    heard_s: dict[str, float] = field(default_factory=dict)
    met_s: dict[str, float] = field(default_factory=dict)
    suspected_s: dict[str, float] = field(default_factory=dict)
    dead_s: dict[str, float] = field(default_factory=dict)
    updates: dict[str, MemberRecord] = field(default_factory=dict)
    generation: int = 0
    pauses: int = 0

    def __post_init__(self):
        self.records[self.me.name] = self.me
        self._view_hash: bytes | None = None

    def receive(self, record: MemberRecord, now_s: float) -> bool:
        """Take over a record if it overrules the known one.

        :param record: a record from a peer.
        :param now_s: the time.
        :returns: whether the member list changed.
        """
        if record.name == self.me.name:
            return self._defend(record)
        known = self.records.get(record.name)
        if known is not None and known.precedence >= record.precedence:
            return False
        if known is None and record.state is MemberState.DEAD:
            return False
        self._store(record, now_s)
        return True

    def _defend(self, record: MemberRecord) -> bool:
        if record.precedence <= self.me.precedence:
            return False
        if record.incarnation > self.me.incarnation:
            return False
        self._announce(replace(self.me, version=record.version + 1))
        return True

    def _announce(self, record: MemberRecord) -> None:
        self.me = record
        self._store(record, self.now_s)

    def _store(self, record: MemberRecord, now_s: float) -> None:
        name = record.name
        self.records[name] = record
        self.generation += 1
        self._view_hash = None
        for times in (self.suspected_s, self.dead_s):
            times.pop(name, None)
        if record.state is MemberState.SUSPECT:
            self.suspected_s[name] = now_s
        elif record.state is MemberState.DEAD:
            self.dead_s[name] = now_s
            self.heard_s.pop(name, None)
        elif name in self.heard_s:
            self.heard_s[name] = now_s
        self.updates[name] = record

    def meet(self, name: str, incarnation: int, now_s: float) -> None:
        """Record that an instance was heard over a link with it.

        :param name: the instance.
        :param incarnation: its process.
        :param now_s: the time.
        """
        self.met_s[name] = now_s
        self.hear(name, incarnation, now_s)

    def hear(self, name: str, incarnation: int, now_s: float) -> None:
        """Record that an instance was heard, directly or by a peer.

        :param name: the instance.
        :param incarnation: its process.
        :param now_s: the time.
        """
        known = self.records.get(name)
        if known is not None and known.incarnation == incarnation:
            if name in self.heard_s:
                self.heard_s[name] = now_s

    def watch(self, neighbours: Iterable[str], now_s: float) -> None:
        """Set the instances whose silence this instance judges.

        :param neighbours: their names.
        :param now_s: the time.
        """
        chosen = set(neighbours)
        for name in set(self.heard_s) - chosen:
            del self.heard_s[name]
        for name in chosen:
            self.heard_s.setdefault(name, now_s)

    def hears(self, name: str, now_s: float) -> bool:
        """Tell whether an instance was heard lately.

        :param name: the instance.
        :param now_s: the time.
        :returns: whether its last heartbeat is recent.
        """
        heard = self.heard_s.get(name)
        return heard is not None and now_s - heard < SILENCE_S

    def meets(self, name: str, now_s: float) -> bool:
        """Tell whether an instance was heard over a link with it lately.

        Only this is evidence for peers: if they passed on what they had
        from each other, they would keep a dead instance alive for good.

        :param name: the instance.
        :param now_s: the time.
        :returns: whether its last heartbeat here is recent.
        """
        met = self.met_s.get(name)
        return met is not None and now_s - met < SILENCE_S

    def advance(self, now_s: float) -> tuple[str, ...]:
        """Let time pass: suspect silent neighbours, end suspicions.

        :param now_s: the time.
        :returns: names of silent instances that peers should probe.
        """
        gap_s, self.now_s = now_s - self.now_s, now_s
        if gap_s > PAUSE_S:
            self._restart_waits(now_s)
            return ()
        silent = [
            name
            for name, heard in self.heard_s.items()
            if now_s - heard >= SILENCE_S and self._may_judge(name, now_s)
        ]
        for name in silent:
            if now_s - self.heard_s[name] >= SILENCE_S + PROBE_WAIT_S:
                self.suspect(name, now_s)
        for name, since in list(self.suspected_s.items()):
            if now_s - since >= SUSPICION_S:
                record = self.records[name]
                self._store(replace(record, state=MemberState.DEAD), now_s)
        for name, since in list(self.dead_s.items()):
            if now_s - since >= FORGET_DEAD_S:
                self._forget(name)
        return tuple(silent)

    def _may_judge(self, name: str, now_s: float) -> bool:
        """Tell whether the silence is the instance's, not a region's."""
        record = self.records.get(name)
        if record is None or record.region == self.me.region:
            return True
        return any(
            self.hears(other, now_s)
            for other in self.heard_s
            if self.records[other].region == record.region
        )

    def _restart_waits(self, now_s: float) -> None:
        self.pauses += 1
        for times in (self.heard_s, self.suspected_s):
            for name in times:
                times[name] = now_s

    def _forget(self, name: str) -> None:
        del self.records[name]
        del self.dead_s[name]
        self.met_s.pop(name, None)
        self.updates.pop(name, None)
        self.generation += 1
        self._view_hash = None

    def suspect(self, name: str, now_s: float) -> None:
        """Suspect an instance whose connection ended.

        :param name: the instance.
        :param now_s: the time.
        """
        record = self.records.get(name)
        if record is not None and record.state < MemberState.SUSPECT:
            self._store(replace(record, state=MemberState.SUSPECT), now_s)

    def suspect_broken(self, name: str, now_s: float) -> None:
        """Suspect a neighbour whose connection ended without a word.

        :param name: the instance.
        :param now_s: the time.
        """
        if name in self.heard_s and self._may_judge(name, now_s):
            self.suspect(name, now_s)

    def join(self) -> None:
        """Announce that this instance takes work."""
        self._change_state(MemberState.ALIVE)

    def leave(self) -> None:
        """Announce that this instance takes no new work."""
        self._change_state(MemberState.IDLE)

    def retire(self) -> None:
        """Announce that this instance is gone."""
        self._change_state(MemberState.DEAD)

    def _change_state(self, state: MemberState) -> None:
        version = self.me.version + 1
        self._announce(replace(self.me, version=version, state=state))

    def take_updates(self, limit: int) -> tuple[MemberRecord, ...]:
        """Take changed records to send on each link, once.

        Links are reliable, and a new link begins with the whole list;
        what is missed all the same shows in the hashes of the views.

        :param limit: most records to take.
        :returns: the records, oldest change first.
        """
        names = list(self.updates)[:limit]
        return tuple(self.updates.pop(name) for name in names)

    def list_serving(self) -> tuple[MemberRecord, ...]:
        """List the instances that may own shards.

        :returns: live and suspected instances in the order of names.
        """
        return tuple(
            record
            for _, record in sorted(self.records.items())
            if record.state in SERVING
        )

    @property
    def view_hash(self) -> bytes:
        """Hash of the member list, to compare with a peer's."""
        if self._view_hash is None:
            state = xxhash.xxh3_64()
            for name, record in sorted(self.records.items()):
                if record.state is MemberState.DEAD:
                    continue
                line = f"{name}|{record.incarnation}|{record.version}|"
                state.update(f"{line}{int(record.state)}".encode())
            self._view_hash = state.digest()
        return self._view_hash

    def list_members(self) -> list[MemberRecord]:
        """List the instances that are not dead.

        :returns: records of all regions.
        """
        return [
            record
            for record in self.records.values()
            if record.state is not MemberState.DEAD
        ]

    def list_local(self) -> list[MemberRecord]:
        """List the instances of the own region that are not dead.

        :returns: their records.
        """
        region = self.me.region
        return [m for m in self.list_members() if m.region == region]

    @property
    def is_full_mesh(self) -> bool:
        """Whether the own region is small enough for a full mesh."""
        return len(self.list_local()) <= MESH_SIZE


def elect(
    members: Iterable[MemberRecord], region: str, role: str, count: int
) -> tuple[str, ...]:
    """Choose the instances of a region that carry a role.

    :param members: the live instances.
    :param region: the region.
    :param role: name of the role.
    :param count: how many to choose.
    :returns: names of the instances, by rendezvous hashing.
    """
    names = [m.name for m in members if m.region == region]
    names.sort(key=lambda n: hash_text(f"{role}|{n}"))
    return tuple(names[:count])


def choose_neighbours(
    name: str, region: str, members: Iterable[MemberRecord]
) -> frozenset[str]:
    """Choose the instances to hold links with.

    A small region is a full mesh. In a larger one each instance links
    with its two neighbours on each of three rings, which hashes with
    different salts order; such a graph has a diameter that grows with
    the logarithm of the region. The bridges of all regions link with
    each other.

    :param name: this instance.
    :param region: its region.
    :param members: live instances of all regions.
    :returns: names of the neighbours; the relation is symmetric.
    """
    listed = list(members)
    local = [m.name for m in listed if m.region == region]
    if len(local) <= MESH_SIZE or name not in local:
        chosen = set(local)
    else:
        chosen = set()
        for number in range(RINGS):
            chosen.update(find_ring_neighbours(name, local, number))
    if name in elect(listed, region, ROLE_BRIDGE, BRIDGES):
        for other in {m.region for m in listed} - {region}:
            chosen.update(elect(listed, other, ROLE_BRIDGE, BRIDGES))
    chosen.discard(name)
    return frozenset(chosen)


def find_ring_neighbours(
    name: str, names: Iterable[str], number: int
) -> tuple[str, str]:
    """Find the neighbours of an instance on one ring.

    :param name: the instance.
    :param names: all instances of the ring.
    :param number: number of the ring.
    :returns: the next and the previous instance.
    """
    ring = sorted(names, key=lambda n: hash_text(f"ring{number}|{n}"))
    place = ring.index(name)
    return ring[(place + 1) % len(ring)], ring[place - 1]
