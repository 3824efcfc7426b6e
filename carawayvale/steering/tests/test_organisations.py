"""Tests of the identification of organisations."""

import pytest

from carawayvale.catalogue.records import OrganisationRecord
from carawayvale.steering.organisations import KeyTable
from carawayvale.steering.organisations import MAX_CREDENTIALS_BYTES
from carawayvale.steering.organisations import RejectionReason

PRESS = OrganisationRecord("press", ("k1", "k2"))
DESK = OrganisationRecord("desk", ("k3",))


def identify(*credentials):
    """Identify the sender of the given credentials."""
    return KeyTable([PRESS, DESK], b"token").identify(credentials)


class TestKeyTable:
    @pytest.mark.parametrize(
        "value,organisation",
        [
            (b"Token k1", PRESS),
            (b"token k2", PRESS),
            (b" TOKEN  k3 ", DESK),
        ],
    )
    def test_each_key_identifies_its_holder(self, value, organisation):
        assert identify(value).organisation is organisation

    def test_missing_credentials_have_their_own_reason(self):
        assert identify().reason is RejectionReason.NO_KEY

    @pytest.mark.parametrize("value", [b"Token k9", b"Token K1", b"Token k"])
    def test_a_key_of_nobody_is_unknown(self, value):
        assert identify(value).reason is RejectionReason.UNKNOWN_KEY

    @pytest.mark.parametrize(
        "credentials",
        [
            (b"Token k1", b"Token k1"),
            (b"Token k1", b"Token k3"),
            (b"Bearer k1",),
            (b"Tokenk1",),
            (b"k1",),
            (b"",),
            (b"Token k1 k3",),
            (b"Token k1,Token k3",),
            (b"Token \xff",),
            (b"Token " + b"k" * MAX_CREDENTIALS_BYTES,),
        ],
    )
    def test_ambiguous_or_malformed_credentials_identify_nobody(
        self, credentials
    ):
        assert not hasattr(identify(*credentials), "organisation")
