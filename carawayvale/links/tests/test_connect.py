"""Tests of opening connections."""

import curio
import pytest

from carawayvale.contracts.address import Address
from carawayvale.links.http import connect
from carawayvale.links.http import ConnectRefused

CLOSED_PORT = Address("127.0.0.1", 1)


class TestFailures:
    def test_closed_port_refuses_the_connection(self):
        with pytest.raises(ConnectRefused):
            curio.run(connect, CLOSED_PORT)
