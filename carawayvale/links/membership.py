"""Failure detector and member list, from heartbeats and suspicions."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import math

import xxhash

from carawayvale.capacity.weights import InstanceWeights
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import MemberState
from carawayvale.links.topology import MAX_MESH_INSTANCES

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.1
PROBE_TIMEOUT_S = 0.4
SUSPICION_TIMEOUT_S = 0.9
# A longer time between two calls of advance is a pause of this process.
PAUSE_THRESHOLD_S = 1.5
DEAD_RETENTION_S = 600.0

SERVING = frozenset({MemberState.ALIVE, MemberState.SUSPECT})

# States in which an instance finishes the requests that it has. A
# suspicion may still be refuted.
FINISHING = SERVING | {MemberState.IDLE}

# An instance that leaves still takes requests for this long, and has time
# to finish them.
RECENTLY_LEFT_S = 2.0


@dataclass
class Membership:
    """The member list of one instance, with a failure detector.

    An unreachable neighbour is suspected first. It is declared dead only
    if neither it nor another instance that hears it refutes the suspicion
    in time. After a pause of its own process, an instance restarts all
    timeouts instead of suspecting others.

    :param own_record: record of this instance.
    :param now_s: time of creation, then of the last call of
        :meth:`advance`.
    :param records: records of all known instances by name.
    :param last_heard_s: time of the last heartbeat of each monitored
        neighbour, received directly or confirmed by a peer.
    :param last_heard_directly_s: time of the last heartbeat received over
        a link with the instance.
    :param suspected_s: time at which each suspicion began.
    :param dead_s: time at which each dead instance was declared dead.
    :param idle_precedence: precedence of the last idle record of each
        instance.
    :param left_s: time at which each idle instance became idle; minus
        infinity if this process did not see it serve before.
    :param departed: instances that announced their departure, which a
        failure detector's verdict of death does not.
    :param updates: changed records that are not sent yet, by name.
    :param generation: number of changes of the member list.
    :param joins_and_leaves: number of changes of the set of instances
        that are not dead.
    :param pauses: number of pauses of this process.
    :param weights: parts of the demand that the instances take.
    :param allowance_s: additional time without heartbeats before others are
        suspected, while this instance itself is behind.

    >>> from carawayvale.contracts.address import Address
    >>> port = Address("127.0.0.1", 1)
    >>> own_record = MemberRecord("e1", "zurich", "zurich-a", port, port, 1)
    >>> [m.name for m in Membership(own_record).list_serving()]
    ['e1']
    """

    own_record: MemberRecord
    now_s: float = 0.0
    records: dict[str, MemberRecord] = field(default_factory=dict)
    last_heard_s: dict[str, float] = field(default_factory=dict)
    last_heard_directly_s: dict[str, float] = field(default_factory=dict)
    suspected_s: dict[str, float] = field(default_factory=dict)
    dead_s: dict[str, float] = field(default_factory=dict)
    idle_precedence: dict[str, tuple[int, int, int]] = field(
        default_factory=dict
    )
    left_s: dict[str, float] = field(default_factory=dict)
    departed: set[str] = field(default_factory=set)
    updates: dict[str, MemberRecord] = field(default_factory=dict)
    generation: int = 0
    joins_and_leaves: int = 0
    pauses: int = 0
    weights: InstanceWeights = field(default_factory=InstanceWeights)
    allowance_s: float = 0.0

    def __post_init__(self):
        self.records[self.own_record.name] = self.own_record
        self._view_hash: bytes | None = None
        self._serving: tuple[MemberRecord, ...] | None = None

    def receive(self, record: MemberRecord, now_s: float) -> bool:
        """Merge a record if it takes precedence over the known one.

        :param record: a record from a peer.
        :param now_s: current time in seconds.
        :returns: whether the member list changed.
        """
        if record.name == self.own_record.name:
            return self._refute(record)
        known = self.records.get(record.name)
        if known is not None and known.precedence >= record.precedence:
            return False
        if known is None and record.state is MemberState.DEAD:
            return False
        self._store(record, now_s)
        return True

    def _refute(self, record: MemberRecord) -> bool:
        if record.precedence <= self.own_record.precedence:
            return False
        # A record of a later process with this name cannot be refuted.
        if record.incarnation > self.own_record.incarnation:
            return False
        self._announce(replace(self.own_record, version=record.version + 1))
        return True

    def _find_leave_time(
        self, known: MemberRecord | None, record: MemberRecord, now_s: float
    ) -> float:
        """Find when an instance became idle, as this process has seen it."""
        if known is None or known.incarnation != record.incarnation:
            return -math.inf
        if known.state is MemberState.ALIVE:
            return now_s
        return self.left_s.get(record.name, -math.inf)

    def _announce(self, record: MemberRecord) -> None:
        self.own_record = record
        self._store(record, self.now_s)

    def _store(self, record: MemberRecord, now_s: float) -> None:
        name = record.name
        known = self.records.get(name)
        was_member = known is not None and known.is_member
        if record.is_member != was_member:
            self.joins_and_leaves += 1
        self.records[name] = record
        self.generation += 1
        self._view_hash = None
        self._serving = None
        for times in (self.suspected_s, self.dead_s):
            times.pop(name, None)
        self.departed.discard(name)
        if record.state is MemberState.IDLE:
            self.left_s[name] = self._find_leave_time(known, record, now_s)
            self.idle_precedence[name] = record.precedence
        elif record.state is MemberState.SUSPECT:
            self.suspected_s[name] = now_s
        elif record.state is MemberState.DEAD:
            self.dead_s[name] = now_s
            self.last_heard_s.pop(name, None)
            if known is not None and record.version > known.version:
                # Only the instance itself raises its version.
                self.departed.add(name)
        elif name in self.last_heard_s:
            self.last_heard_s[name] = now_s
        self.updates[name] = record

    def record_direct_heartbeat(
        self, name: str, incarnation: int, now_s: float
    ) -> None:
        """Record a heartbeat received over a link with the instance.

        :param name: name of the instance.
        :param incarnation: incarnation that sent the heartbeat.
        :param now_s: current time in seconds.
        """
        self.last_heard_directly_s[name] = now_s
        self.record_heartbeat(name, incarnation, now_s)

    def record_heartbeat(
        self, name: str, incarnation: int, now_s: float
    ) -> None:
        """Record a heartbeat received directly or confirmed by a peer.

        :param name: name of the instance.
        :param incarnation: incarnation that sent the heartbeat.
        :param now_s: current time in seconds.
        """
        known = self.records.get(name)
        if known is not None and known.incarnation == incarnation:
            if name in self.last_heard_s:
                self.last_heard_s[name] = now_s

    def monitor(self, neighbours: Iterable[str], now_s: float) -> None:
        """Set the instances whose heartbeats this instance monitors.

        :param neighbours: names of the instances.
        :param now_s: current time in seconds.
        """
        chosen = set(neighbours)
        for name in set(self.last_heard_s) - chosen:
            del self.last_heard_s[name]
        for name in chosen:
            self.last_heard_s.setdefault(name, now_s)

    def is_heard(self, name: str, now_s: float) -> bool:
        """Check whether a monitored instance was heard recently.

        :param name: name of the instance.
        :param now_s: current time in seconds.
        :returns: whether the heartbeat timeout has not expired.
        """
        heard_at_s = self.last_heard_s.get(name)
        return (
            heard_at_s is not None and now_s - heard_at_s < HEARTBEAT_TIMEOUT_S
        )

    def is_heard_directly(self, name: str, now_s: float) -> bool:
        """Check whether an instance was heard recently over a direct link.

        Peers get confirmations of direct heartbeats only. If peers relayed
        confirmations to each other, they would keep a dead instance alive
        indefinitely.

        :param name: name of the instance.
        :param now_s: current time in seconds.
        :returns: whether the heartbeat timeout has not expired.
        """
        heard_at_s = self.last_heard_directly_s.get(name)
        return (
            heard_at_s is not None and now_s - heard_at_s < HEARTBEAT_TIMEOUT_S
        )

    def advance(self, now_s: float) -> tuple[str, ...]:
        """Advance the failure detector to the current time.

        Suspects unreachable neighbours, declares instances dead whose
        suspicion expired, and removes those that have been dead for
        DEAD_RETENTION_S.

        :param now_s: current time in seconds.
        :returns: names of unreachable instances that peers should probe.
        """
        gap_s, self.now_s = now_s - self.now_s, now_s
        if gap_s > PAUSE_THRESHOLD_S:
            self._restart_timeouts(now_s)
            return ()
        timeout_s = HEARTBEAT_TIMEOUT_S + self.allowance_s
        unreachable = [
            name
            for name, heard_at_s in self.last_heard_s.items()
            if now_s - heard_at_s >= timeout_s
            and self._can_suspect(name, now_s)
        ]
        for name in unreachable:
            if now_s - self.last_heard_s[name] >= timeout_s + PROBE_TIMEOUT_S:
                self.suspect(name, now_s)
        for name, since in list(self.suspected_s.items()):
            if now_s - since >= SUSPICION_TIMEOUT_S:
                record = self.records[name]
                self._store(replace(record, state=MemberState.DEAD), now_s)
        for name, since in list(self.dead_s.items()):
            if now_s - since >= DEAD_RETENTION_S:
                self._forget(name)
        return tuple(unreachable)

    def _can_suspect(self, name: str, now_s: float) -> bool:
        """Check that an instance is unreachable but its region is not.

        An instance of another region is suspected only while another
        instance of that region is heard. Otherwise the regions may be
        partitioned.
        """
        record = self.records.get(name)
        if record is None or record.region == self.own_record.region:
            return True
        return any(
            self.is_heard(other, now_s)
            for other in self.last_heard_s
            if self.records[other].region == record.region
        )

    def _restart_timeouts(self, now_s: float) -> None:
        self.pauses += 1
        for times in (self.last_heard_s, self.suspected_s):
            for name in times:
                times[name] = now_s

    def _forget(self, name: str) -> None:
        del self.records[name]
        del self.dead_s[name]
        self.departed.discard(name)
        self.idle_precedence.pop(name, None)
        self.last_heard_directly_s.pop(name, None)
        self.updates.pop(name, None)
        self.generation += 1
        self._view_hash = None
        self._serving = None

    def suspect(self, name: str, now_s: float) -> None:
        """Suspect an instance, unless it is suspected or dead already.

        :param name: name of the instance.
        :param now_s: current time in seconds.
        """
        record = self.records.get(name)
        if record is not None and record.state < MemberState.SUSPECT:
            self._store(replace(record, state=MemberState.SUSPECT), now_s)

    def suspect_disconnected(self, name: str, now_s: float) -> None:
        """Suspect a monitored neighbour whose link broke.

        :param name: name of the instance.
        :param now_s: current time in seconds.
        """
        if name in self.last_heard_s and self._can_suspect(name, now_s):
            self.suspect(name, now_s)

    def join(self) -> None:
        """Announce that this instance accepts requests."""
        self._change_state(MemberState.ALIVE)

    def leave(self) -> None:
        """Announce that this instance accepts no new requests."""
        self._change_state(MemberState.IDLE)

    def retire(self) -> None:
        """Announce that this instance has left."""
        self._change_state(MemberState.DEAD)

    def _change_state(self, state: MemberState) -> None:
        version = self.own_record.version + 1
        self._announce(replace(self.own_record, version=version, state=state))

    def accepts_requests(self, name: str) -> bool:
        """Tell whether an instance may get new requests.

        :param name: name of the instance.
        :returns: whether it is known, serves and is not suspected.
        """
        record = self.records.get(name)
        return record is not None and record.state is MemberState.ALIVE

    def may_finish(self, name: str, incarnation: int) -> bool:
        """Tell whether a process may still finish the requests it has.

        The last responses of an instance that announced its departure may
        still be on their way.

        :param name: name of the instance.
        :param incarnation: incarnation of the process.
        :returns: whether neither its state nor a later process of the
            instance rules that out.
        """
        record = self.records.get(name)
        if record is None or record.incarnation > incarnation:
            return False
        return record.state in FINISHING or name in self.departed

    def take_updates(self, limit: int) -> tuple[MemberRecord, ...]:
        """Take changed records from the queue, to send once on each link.

        Once is enough, since links are reliable and each new link starts
        with the whole member list. If the lists of two peers still differ,
        their view hashes show it.

        :param limit: maximum number of records.
        :returns: the records, oldest change first.
        """
        names = list(self.updates)[:limit]
        return tuple(self.updates.pop(name) for name in names)

    def set_weights(self, weights: InstanceWeights) -> None:
        """Set the parts of the demand that the instances take.

        That is a change of the member list as well.

        :param weights: the weights.
        """
        self.weights = weights
        self.generation += 1
        self._serving = None

    def list_serving(self) -> tuple[MemberRecord, ...]:
        """List the instances that may own shards.

        :returns: records of live and suspected instances, sorted by name.
        """
        if self._serving is None:
            self._serving = tuple(
                record
                for _, record in sorted(self.records.items())
                if record.state in SERVING and not self._is_idle(record)
            )
        return self._serving

    def _is_idle(self, record: MemberRecord) -> bool:
        """Tell whether a suspected instance was idle before."""
        idle = self.idle_precedence.get(record.name)
        return idle is not None and record.precedence[:2] == idle[:2]

    def list_leaving(self) -> list[MemberRecord]:
        """List the instances that served and accept no new requests now.

        An instance that is starting is idle as well, but has the first
        version of its record.

        :returns: records of all regions.
        """
        return [
            record
            for record in self.records.values()
            if record.state is MemberState.IDLE and record.version > 0
        ]

    def list_recently_left(self) -> list[MemberRecord]:
        """List the leaving instances that still serve for some seconds.

        :returns: records of all regions.
        """
        return [
            record
            for record in self.list_leaving()
            if self.now_s - self.left_s[record.name] < RECENTLY_LEFT_S
        ]

    @property
    def view_hash(self) -> bytes:
        """Hash of the member list, compared with the hashes of peers."""
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
        return [record for record in self.records.values() if record.is_member]

    def list_local(self) -> list[MemberRecord]:
        """List the instances of this region that are not dead.

        :returns: records of the region of this instance.
        """
        region = self.own_record.region
        return [m for m in self.list_members() if m.region == region]

    @property
    def is_full_mesh(self) -> bool:
        """Whether the region of this instance forms a full mesh of links."""
        return len(self.list_local()) <= MAX_MESH_INSTANCES
