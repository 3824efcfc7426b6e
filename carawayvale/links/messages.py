"""Typed messages between entry instances and their CBOR form."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import fields
from enum import IntEnum
from typing import Any

import cbor2

from carawayvale.contracts.address import Address

MESSAGE_KINDS: dict[int, type] = {}
MAX_MESSAGE_BYTES = 2_000_000


class BadMessage(ValueError):
    """A peer sent something that is not a known message."""


def register_message(code: int) -> Callable[[type], type]:
    """Register a frozen data class as a message.

    :param code: number of the kind on the wire.
    :returns: the class decorator.
    """

    def register(cls: type) -> type:
        if code in MESSAGE_KINDS:
            raise ValueError(f"message code {code} is taken")
        cls.code = code
        MESSAGE_KINDS[code] = cls
        return cls

    return register


class MemberState(IntEnum):
    """State of an instance; the greater number wins at one version.

    An idle instance is a member that takes no new work: it has no
    document yet, or it is about to leave.
    """

    ALIVE = 0
    IDLE = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True)
class MemberRecord:
    """What all instances know of one instance.

    :param name: name of the instance.
    :param region: its region.
    :param domain: its failure domain.
    :param callers: address of its port for callers.
    :param peers: address of its port for peers.
    :param incarnation: the process; a restart gives a greater one.
    :param version: raised by the instance to overrule others.
    :param state: the state.
    """

    name: str
    region: str
    domain: str
    callers: Address
    peers: Address
    incarnation: int
    version: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Order of records of one instance; the greatest is in force."""
        return (self.incarnation, self.version, int(self.state))


@dataclass(frozen=True)
class ServiceHeadroom:
    """Free slots of one service at one owner or in one region.

    :param service: name of the service.
    :param free: slots that are free now.
    :param usable: slots that may be in use now.
    """

    service: str
    free: int
    usable: int


@dataclass(frozen=True)
class RegionReport:
    """Headroom of a region as one of its bridges added it up.

    :param region: the region.
    :param measured_s: time of the measurement on the issuer's clock.
    :param services: headroom of each service.
    """

    region: str
    measured_s: float
    services: tuple[ServiceHeadroom, ...]


@register_message(1)
@dataclass(frozen=True)
class Challenge:
    """First message of the side that accepted the link."""

    nonce: bytes


@register_message(2)
@dataclass(frozen=True)
class Hello:
    """Answer to a challenge by the side that opened the link."""

    record: MemberRecord
    nonce: bytes
    tag: bytes


@register_message(3)
@dataclass(frozen=True)
class Welcome:
    """Proof of the side that accepted the link."""

    record: MemberRecord
    tag: bytes


@register_message(4)
@dataclass(frozen=True)
class Heartbeat:
    """Sent on each link in a fixed interval.

    :param incarnation: the sender's process.
    :param view_hash: hash of the sender's member list.
    :param revision: revision of the document in force at the sender.
    """

    incarnation: int
    view_hash: bytes
    revision: int


@register_message(12)
@dataclass(frozen=True)
class Updates:
    """Recent changes of member records, passed on from peer to peer."""

    records: tuple[MemberRecord, ...]


@register_message(13)
@dataclass(frozen=True)
class Reports:
    """Headroom of the sender, and the newest reports that it knows.

    :param headroom: headroom of the sender's shards.
    :param regions: reports of regions.
    :param listed_s: time at which the platform's list was read.
    :param leaving: names that the list marks as leaving.
    """

    headroom: tuple[ServiceHeadroom, ...]
    regions: tuple[RegionReport, ...]
    listed_s: float
    leaving: tuple[str, ...]


@register_message(5)
@dataclass(frozen=True)
class MembersRequest:
    """Asks for the whole member list after hashes differed."""


@register_message(6)
@dataclass(frozen=True)
class Members:
    """The whole member list of the sender."""

    records: tuple[MemberRecord, ...]


@register_message(7)
@dataclass(frozen=True)
class SectionsRequest:
    """Asks for what changed in the document.

    :param revision: revision in force at the asking instance.
    :param digest: hash of that document.
    """

    revision: int
    digest: bytes


@dataclass(frozen=True)
class SectionText:
    """A section as text."""

    title: str
    body: str


@register_message(8)
@dataclass(frozen=True)
class Sections:
    """What leads from one revision of the document to another.

    :param base: revision that it changes; 0 replaces everything.
    :param revision: revision that it leads to.
    :param digest: hash of the resulting document.
    :param changed: new and changed sections.
    :param removed: titles of removed sections.
    """

    base: int
    revision: int
    digest: bytes
    changed: tuple[SectionText, ...]
    removed: tuple[str, ...]


@register_message(9)
@dataclass(frozen=True)
class ProbeRequest:
    """Asks a peer whether it hears a third instance."""

    target: str


@register_message(10)
@dataclass(frozen=True)
class ProbeReply:
    """Tells that the sender heard the target within the bound."""

    target: str
    incarnation: int
    version: int


@register_message(11)
@dataclass(frozen=True)
class CreditGrant:
    """Gives credits of a cap to the receiver.

    :param link: title of the cap's section.
    :param epoch: epoch for which the credits are valid.
    :param credits: number of requests.
    :param serial: number of the grant at the sender.
    """

    link: str
    epoch: int
    credits: int
    serial: int


NESTED: dict[tuple[str, str], type] = {
    ("Hello", "record"): MemberRecord,
    ("Welcome", "record"): MemberRecord,
    ("MemberRecord", "callers"): Address,
    ("MemberRecord", "peers"): Address,
    ("MemberRecord", "state"): MemberState,
}
NESTED_LISTS: dict[tuple[str, str], type | None] = {
    ("Updates", "records"): MemberRecord,
    ("Reports", "headroom"): ServiceHeadroom,
    ("Reports", "regions"): RegionReport,
    ("Reports", "leaving"): None,
    ("RegionReport", "services"): ServiceHeadroom,
    ("Members", "records"): MemberRecord,
    ("Sections", "changed"): SectionText,
    ("Sections", "removed"): None,
}
SCALARS = {"str": str, "int": int, "float": (int, float), "bytes": bytes}


def encode_message(message: Any) -> bytes:
    """Encode a message.

    :param message: an instance of a registered class.
    :returns: CBOR of the code and the fields.
    """
    return cbor2.dumps([message.code, *_flatten(message)])


def _flatten(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_flatten(item) for item in value]
    if isinstance(value, MemberState):
        return int(value)
    if hasattr(value, "__dataclass_fields__"):
        return [_flatten(getattr(value, f.name)) for f in fields(value)]
    return value


def decode_message(data: bytes) -> Any:
    """Decode a message and check every field's type.

    :param data: bytes from :func:`encode_message`.
    :returns: the message.
    :raises BadMessage: if it is malformed.

    >>> decode_message(encode_message(ProbeRequest("zurich-1"))).target
    'zurich-1'
    """
    try:
        parts = cbor2.loads(data)
    except Exception as error:
        raise BadMessage(f"not CBOR: {error}") from None
    if not isinstance(parts, list) or not parts:
        raise BadMessage("not a list")
    kind = MESSAGE_KINDS.get(parts[0]) if _is_int(parts[0]) else None
    if kind is None:
        raise BadMessage(f"unknown code {parts[0]!r}")
    return _build(kind, parts[1:])


def _is_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _build(kind: type, parts: Any) -> Any:
    if kind is MemberState:
        return _build_state(parts)
    if not isinstance(parts, list) or len(parts) != len(fields(kind)):
        raise BadMessage(f"{kind.__name__}: wrong number of fields")
    values = []
    for declared, part in zip(fields(kind), parts):
        values.append(_build_field(kind.__name__, declared, part))
    return kind(*values)


def _build_state(part: Any) -> MemberState:
    try:
        return MemberState(part)
    except ValueError:
        raise BadMessage(f"unknown member state {part!r}") from None


def _build_field(owner: str, declared: Any, part: Any) -> Any:
    key = (owner, declared.name)
    if key in NESTED:
        return _build(NESTED[key], part)
    if key in NESTED_LISTS:
        if not isinstance(part, list):
            raise BadMessage(f"{owner}.{declared.name}: not a list")
        kind = NESTED_LISTS[key]
        if kind is not None:
            return tuple(_build(kind, item) for item in part)
        if not all(isinstance(item, str) for item in part):
            raise BadMessage(f"{owner}.{declared.name}: not texts")
        return tuple(part)
    expected = SCALARS[getattr(declared.type, "__name__", declared.type)]
    if not isinstance(part, expected) or isinstance(part, bool):
        raise BadMessage(f"{owner}.{declared.name}: wrong type")
    return part
