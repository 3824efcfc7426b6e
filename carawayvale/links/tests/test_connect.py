"""Tests of opening connections."""

import errno

import curio
import pytest

from carawayvale.contracts.address import Address
from carawayvale.links import http
from carawayvale.links.http import connect
from carawayvale.links.http import ConnectFailed
from carawayvale.links.http import ConnectRefused

CLOSED_PORT = Address("127.0.0.1", 1)


class TestFailures:
    def test_closed_port_refuses_the_connection(self):
        with pytest.raises(ConnectRefused):
            curio.run(connect, CLOSED_PORT)

    def test_process_without_free_descriptors_cannot_connect(
        self, monkeypatch
    ):
        def fail(*_):
            raise OSError(errno.EMFILE, "Too many open files")

        monkeypatch.setattr(http, "open_socket", fail)
        with pytest.raises(ConnectFailed, match="Too many open files"):
            curio.run(connect, CLOSED_PORT)
