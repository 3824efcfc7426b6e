"""Tests of the records of crashes in the store."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from carawayvale.catalogue.crashes import CrashRecord
from carawayvale.catalogue.crashes import EndpointCrash
from carawayvale.catalogue.crashes import StoredCrash
from carawayvale.catalogue.replica import StoredItem
from carawayvale.platform.crashes import CRASHES_PREFIX
from carawayvale.platform.crashes import decode_crash
from carawayvale.platform.crashes import encode_crash
from carawayvale.platform.crashes import make_crash_key

MAX_KEY_BYTES = 200

RECORDS = st.builds(
    CrashRecord,
    st.binary(min_size=16, max_size=16),
    st.builds(EndpointCrash, st.text(max_size=190), st.integers(0, 1 << 60)),
)


class TestRecords:
    @given(RECORDS, st.text(max_size=30), st.booleans())
    def test_decodes_what_was_encoded(self, record, writer, expires):
        stored = StoredCrash(record, writer, expires)
        key = make_crash_key(record)
        item = StoredItem(key, 1, encode_crash(stored))
        assert decode_crash(item) == stored

    @given(RECORDS)
    def test_key_fits_the_store(self, record):
        key = make_crash_key(record)
        assert len(key.encode()) <= MAX_KEY_BYTES
        assert key.startswith(CRASHES_PREFIX)

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"\xff",
            b"[]",
            b"{}",
            b'{"request":"zz","endpoint":"i","started":1}',
            b'{"request":"00","endpoint":"i","started":"1"}',
            b"[" * 100000,
        ],
    )
    def test_refuses_what_it_cannot_read(self, value):
        with pytest.raises(ValueError):
            decode_crash(StoredItem(CRASHES_PREFIX + "x", 1, value))
