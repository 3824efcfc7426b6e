"""Tests of who owns endpoints while all instances are leaving."""

import pytest

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.address import Address
from carawayvale.gateway.endpoint_owners import EndpointOwners
from carawayvale.links.membership import Membership
from carawayvale.links.tests.test_membership import make_record

ADDRESS = Address("10.0.0.1", 80)
NAMES = ("e2", "e3", "e4")


def make_membership(left_s):
    """Make the member list of a leaving instance; it is 10 s.

    :param left_s: by name, the time at which an instance left.
    """
    membership = Membership(make_record("e1"))
    for name in left_s:
        membership.receive(make_record(name), 0.0)
    membership.now_s = left_s["e1"]
    membership.leave()
    for name in left_s.keys() - {"e1"}:
        other = Membership(make_record(name))
        other.leave()
        membership.receive(other.own_record, left_s[name])
    membership.now_s = 10.0
    return membership


def list_owners(membership, number):
    """List the owners of an endpoint."""
    owners = EndpointOwners(membership)
    endpoint = EndpointRecord(
        f"i-{number}", ADDRESS, "grids", "zurich", "zrh-a", 5
    )
    return owners.list_owners(endpoint)


class TestLeavingOwners:
    # Guards against work that the end of a leaving owner cuts (review/4).
    @pytest.mark.parametrize("number", range(8))
    def test_instance_that_left_last_is_preferred(self, number):
        left_s = {"e1": 6.0, "e2": 5.0, "e3": 9.5, "e4": 4.8}
        assert list_owners(make_membership(left_s), number)[0] == "e3"

    @pytest.mark.parametrize("number", range(8))
    def test_own_instance_is_preferred_to_those_that_end(self, number):
        left_s = {"e1": 7.0, "e2": 5.0, "e3": 5.5, "e4": 4.8}
        assert list_owners(make_membership(left_s), number)[0] == "e1"
