"""Tests of the encoding of messages, also with random input."""

import zlib

import cbor2
from hypothesis import given
from hypothesis import strategies
import pytest

from carawayvale.contracts import Address
from carawayvale.links import BadMessage
from carawayvale.links import decode_message
from carawayvale.links import encode_message
from carawayvale.links import Heartbeat
from carawayvale.links import Hello
from carawayvale.links import MemberRecord
from carawayvale.links import Members
from carawayvale.links import MemberState
from carawayvale.links.messages import MAX_CODE
from carawayvale.links.messages import MAX_MESSAGE_BYTES
from carawayvale.links.messages import MESSAGE_TYPES
from carawayvale.links import pack_message
from carawayvale.links.peer_link import DEFLATED_PREFIX
from carawayvale.links import RegionReport
from carawayvale.links import Reports
from carawayvale.links import Sections
from carawayvale.links import SectionText
from carawayvale.links import ServiceHeadroom
from carawayvale.links import UnknownMessage
from carawayvale.links import unpack_message

RECORD = MemberRecord(
    "e1",
    "zurich",
    "zurich-a",
    Address("127.0.0.1", 1),
    Address("127.0.0.1", 2),
    9,
    3,
    MemberState.IDLE,
)
HEADROOM = (ServiceHeadroom("grids", 3, 8),)
EXAMPLES = (
    Hello(RECORD, b"n", b"t"),
    Members((RECORD, RECORD)),
    Heartbeat(9, b"v", 4),
    Reports(HEADROOM, (RegionReport("zurich", 1.5, HEADROOM),), 2.0, ("x",)),
    Sections(1, 2, b"d", (SectionText("rank:a", "x" * 4000),), ("rank:b",)),
)
CBOR = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=4)
    | strategies.binary(max_size=4),
    lambda inner: strategies.lists(inner, max_size=9),
    max_leaves=30,
)


def check_decoded(message, data):
    """Check a decoded message against its encoding.

    A known type keeps all its fields. An unknown type is only possible for
    a list whose first item is the code of no type.
    """
    if isinstance(message, UnknownMessage):
        assert cbor2.loads(data)[0] == message.code
        assert message.code not in MESSAGE_TYPES
    else:
        assert decode_message(encode_message(message)) == message
        assert cbor2.loads(data)[0] == type(message).code


class TestMessages:
    @pytest.mark.parametrize("message", EXAMPLES)
    def test_round_trip(self, message):
        assert decode_message(encode_message(message)) == message
        assert unpack_message(pack_message(message)) == message

    @given(strategies.binary(max_size=64))
    def test_random_bytes_raise_bad_message_or_are_a_message(self, data):
        try:
            message = unpack_message(data)
        except BadMessage:
            return
        if data[:1] == DEFLATED_PREFIX:
            body = zlib.decompress(data[1:])
        else:
            body = data[1:]
        check_decoded(message, body)

    @pytest.mark.parametrize("code", [0, 18, 255, MAX_CODE])
    def test_code_of_no_type_is_an_unknown_message(self, code):
        data = cbor2.dumps([code, "x", [1]])
        assert decode_message(data) == UnknownMessage(code)

    @pytest.mark.parametrize("code", [-1, MAX_CODE + 1, 1 << 99, True, 4.0])
    def test_code_out_of_range_raises_bad_message(self, code):
        with pytest.raises(BadMessage, match="code"):
            decode_message(cbor2.dumps([code, 9, b"v", 4]))

    @given(strategies.integers(0, 20), CBOR)
    def test_random_values_raise_or_decode_with_correct_types(
        self, code, value
    ):
        parts = value if isinstance(value, list) else [value]
        data = cbor2.dumps([code, *parts])
        try:
            message = decode_message(data)
        except BadMessage:
            return
        check_decoded(message, data)

    def test_size_of_decompressed_message_is_bounded(self):
        text = SectionText("rank:a", "x" * (MAX_MESSAGE_BYTES + 1))
        with pytest.raises(BadMessage, match="exceeds"):
            unpack_message(pack_message(Sections(1, 2, b"", (text,), ())))
