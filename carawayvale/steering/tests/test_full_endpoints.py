"""Tests of the memory of full endpoints."""

import pytest

from carawayvale.steering.full_endpoints import FULL_BACKOFF_S
from carawayvale.steering.full_endpoints import FullEndpoints
from carawayvale.steering.full_endpoints import REMOTE_FULL_BACKOFF_S


class TestFullEndpoints:
    @pytest.mark.parametrize(
        "is_near,backoff_s",
        ((True, FULL_BACKOFF_S), (False, REMOTE_FULL_BACKOFF_S)),
    )
    def test_endpoint_is_full_for_a_while(self, is_near, backoff_s):
        full = FullEndpoints()
        full.record("i-1", is_near, 0.4, 10.0)
        assert full.find("i-1", 10.0) == 0.4
        assert full.find("i-2", 10.0) is None
        assert full.find("i-1", 10.0 + backoff_s) is None
