"""Typed messages between entry instances and their CBOR encoding."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import Field
from dataclasses import fields
from enum import IntEnum
from functools import cache
from functools import partial
from typing import Any

import cbor2

from carawayvale.contracts.address import Address

MESSAGE_TYPES: dict[int, type] = {}
MAX_MESSAGE_BYTES = 2_000_000
MAX_CODE = 0xFFFF


class BadMessage(ValueError):
    """Error raised if a message is malformed or unexpected."""


@dataclass(frozen=True)
class UnknownMessage:
    """Message of a type that only another version of the program knows.

    :param code: type code on the wire.
    """

    code: int


def register_message(code: int) -> Callable[[type], type]:
    """Register a frozen data class as a message type.

    :param code: type code on the wire.
    :returns: the class decorator.
    """

    def register(cls: type) -> type:
        if code in MESSAGE_TYPES:
            raise ValueError(f"message code {code} is already registered")
        cls.code = code
        MESSAGE_TYPES[code] = cls
        return cls

    return register


class MemberState(IntEnum):
    """State of an instance in the member list.

    Of two records with the same incarnation and version, the one with the
    higher state takes precedence.

    An idle instance is a member that accepts no new requests, because it
    has no document yet or is about to leave.
    """

    ALIVE = 0
    IDLE = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True)
class MemberRecord:
    """Entry for one instance in the member list.

    :param name: name of the instance.
    :param region: region of the instance.
    :param domain: failure domain of the instance.
    :param callers: address that serves callers.
    :param peers: address that serves peers.
    :param incarnation: number of the process; increases at each restart.
    :param version: increased by the instance when it changes its state or
        refutes a record of a peer.
    :param state: state of the instance.
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
        """Sort key for records of one instance; the highest wins."""
        return (self.incarnation, self.version, int(self.state))

    @property
    def is_member(self) -> bool:
        """Whether the instance is not known to be dead."""
        return self.state is not MemberState.DEAD


@register_message(1)
@dataclass(frozen=True)
class Challenge:
    """First handshake message, from the accepting side."""

    nonce: bytes


@register_message(2)
@dataclass(frozen=True)
class Hello:
    """Response of the opening side to a challenge, signed with the key.

    :param record: member record of the opening side.
    :param nonce: nonce of the opening side.
    :param tag: tag from ``sign_handshake`` with the deployment's key.
    """

    record: MemberRecord
    nonce: bytes
    tag: bytes


@register_message(3)
@dataclass(frozen=True)
class Welcome:
    """Signed proof of the accepting side that it knows the key."""

    record: MemberRecord
    tag: bytes


@register_message(4)
@dataclass(frozen=True)
class Heartbeat:
    """Periodic message on each link.

    :param incarnation: incarnation of the sender.
    :param view_hash: hash of the member list of the sender.
    :param revision: revision of the document in force at the sender.
    """

    incarnation: int
    view_hash: bytes
    revision: int


@register_message(12)
@dataclass(frozen=True)
class Updates:
    """Recently changed member records, disseminated by gossip."""

    records: tuple[MemberRecord, ...]


@register_message(5)
@dataclass(frozen=True)
class MembersRequest:
    """Request for the whole member list after the view hashes differed."""


@register_message(6)
@dataclass(frozen=True)
class Members:
    """The whole member list of the sender."""

    records: tuple[MemberRecord, ...]


@register_message(9)
@dataclass(frozen=True)
class ProbeRequest:
    """Request to confirm that the receiver hears the target directly."""

    target: str


@register_message(10)
@dataclass(frozen=True)
class ProbeReply:
    """Confirmation that the sender recently heard the target directly."""

    target: str
    incarnation: int
    version: int


# Types of the fields that are not scalar, by the names of class and field.
# In a list, None means strings. Modules with further messages add theirs.
NESTED_TYPES: dict[tuple[str, str], type] = {
    ("Hello", "record"): MemberRecord,
    ("Welcome", "record"): MemberRecord,
    ("MemberRecord", "callers"): Address,
    ("MemberRecord", "peers"): Address,
    ("MemberRecord", "state"): MemberState,
}
NESTED_LIST_TYPES: dict[tuple[str, str], type | None] = {
    ("Updates", "records"): MemberRecord,
    ("Members", "records"): MemberRecord,
}
SCALAR_TYPES = {
    "str": frozenset({str}),
    "int": frozenset({int}),
    "float": frozenset({int, float}),
    "bytes": frozenset({bytes}),
}

# Types whose values CBOR encodes as they are.
PLAIN_TYPES = frozenset({str, int, float, bytes})


def encode_message(message: Any) -> bytes:
    """Encode a message as CBOR.

    :param message: an instance of a registered class.
    :returns: CBOR list of the type code and the fields.
    """
    return cbor2.dumps([message.code, *_flatten(message)])


@cache
def _list_field_names(kind: type) -> tuple[str, ...]:
    return tuple(field.name for field in fields(kind))


def _flatten(value: Any) -> Any:
    kind = type(value)
    if kind in PLAIN_TYPES:
        return value
    if kind is tuple:
        return [_flatten(item) for item in value]
    if kind is MemberState:
        return int(value)
    return [_flatten(getattr(value, n)) for n in _list_field_names(kind)]


def decode_message(data: bytes) -> Any:
    """Decode a message and check the type of every field.

    :param data: CBOR from :func:`encode_message`.
    :returns: the message; an unknown message for the code of no type.
    :raises BadMessage: if the message is malformed.

    >>> decode_message(encode_message(ProbeRequest("zurich-1"))).target
    'zurich-1'
    """
    try:
        parts = cbor2.loads(data)
    except Exception as error:
        raise BadMessage(f"message is not CBOR: {error}") from None
    if not isinstance(parts, list) or not parts:
        raise BadMessage("message is not a list")
    code = parts[0]
    if type(code) is not int or not 0 <= code <= MAX_CODE:
        raise BadMessage("message begins with no type code")
    kind = MESSAGE_TYPES.get(code)
    if kind is None:
        return UnknownMessage(code)
    return _decode_value(kind, parts[1:])


def _decode_value(kind: type, parts: Any) -> Any:
    decoders = _make_field_decoders(kind)
    if type(parts) is not list or len(parts) != len(decoders):
        raise BadMessage(f"{kind.__name__}: wrong number of fields")
    return kind(*[decode(part) for decode, part in zip(decoders, parts)])


Decoder = Callable[[Any], Any]


@cache
def _make_field_decoders(kind: type) -> tuple[Decoder, ...]:
    """Make the decoders of the fields of a class, in their order."""
    return tuple(_make_field_decoder(kind, field) for field in fields(kind))


def _make_field_decoder(kind: type, field: Field) -> Decoder:
    key = (kind.__name__, field.name)
    label = f"{kind.__name__}.{field.name}"
    if NESTED_TYPES.get(key) is MemberState:
        return _decode_state
    if key in NESTED_TYPES:
        return partial(_decode_value, NESTED_TYPES[key])
    if key in NESTED_LIST_TYPES:
        return partial(_decode_list, label, NESTED_LIST_TYPES[key])
    type_name = getattr(field.type, "__name__", field.type)
    return partial(_check_scalar, label, SCALAR_TYPES[type_name])


def _decode_state(part: Any) -> MemberState:
    try:
        return MemberState(part)
    except ValueError:
        raise BadMessage(f"unknown member state {part!r}") from None


def _decode_list(label: str, kind: type | None, part: Any) -> tuple:
    if type(part) is not list:
        raise BadMessage(f"{label}: not a list")
    if kind is not None:
        return tuple([_decode_value(kind, item) for item in part])
    if not all(isinstance(item, str) for item in part):
        raise BadMessage(f"{label}: items are not strings")
    return tuple(part)


def _check_scalar(label: str, types: frozenset[type], part: Any) -> Any:
    if type(part) not in types:
        raise BadMessage(f"{label}: wrong type")
    return part
