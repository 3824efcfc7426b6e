"""Tests of the encoding of messages, also with random input."""

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
from carawayvale.links.messages import MAX_MESSAGE_BYTES
from carawayvale.links import pack_message
from carawayvale.links import RegionReport
from carawayvale.links import Reports
from carawayvale.links import Sections
from carawayvale.links import SectionText
from carawayvale.links import ServiceHeadroom
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


class TestMessages:
    @pytest.mark.parametrize("message", EXAMPLES)
    def test_round_trip(self, message):
        assert decode_message(encode_message(message)) == message
        assert unpack_message(pack_message(message)) == message

    @given(strategies.binary(max_size=64))
    def test_random_bytes_raise_bad_message(self, data):
        with pytest.raises(BadMessage):
            unpack_message(data)

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
        assert decode_message(encode_message(message)) == message

    def test_size_of_decompressed_message_is_bounded(self):
        text = SectionText("rank:a", "x" * (MAX_MESSAGE_BYTES + 1))
        with pytest.raises(BadMessage, match="exceeds"):
            unpack_message(pack_message(Sections(1, 2, b"", (text,), ())))
