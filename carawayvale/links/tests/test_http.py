"""Tests of socket options, against peers that vanish."""

import ctypes
import errno
import socket as plain_socket
import struct

import curio
import pytest

from carawayvale.contracts.address import Address
from carawayvale.links.http import connect
from carawayvale.links.http import KEEPALIVE_INTERVAL_S
from carawayvale.links.http import USER_TIMEOUT_MS

# Not in the socket module: attaches a packet filter to a socket.
SO_ATTACH_FILTER = 26
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)

MS_PER_S = 1000
WAIT_TIMEOUT_S = 20.0


def drop_packets(sock):
    """Make the kernel drop all packets that arrive for a socket."""
    program = ctypes.create_string_buffer(DROP_ALL)
    filter_size = struct.pack("HL", 1, ctypes.addressof(program))
    sock.setsockopt(plain_socket.SOL_SOCKET, SO_ATTACH_FILTER, filter_size)


class TestVanishedPeers:
    @pytest.mark.parametrize("data", [b"", b"unacknowledged"])
    def test_connection_ends(self, data):
        async def scenario():
            listener = plain_socket.create_server(("127.0.0.1", 0))
            address = Address(*listener.getsockname())
            async with await connect(address) as sock:
                peer, _ = listener.accept()
                drop_packets(peer)
                if data:
                    await sock.sendall(data)
                async with curio.timeout_after(WAIT_TIMEOUT_S):
                    with pytest.raises(OSError) as raised:
                        await sock.recv(1)
            peer.close()
            listener.close()
            assert raised.value.errno == errno.ETIMEDOUT

        curio.run(scenario)

    def test_a_probe_is_due_before_the_timeout(self):
        """Otherwise idle connections would end without a single probe."""
        assert KEEPALIVE_INTERVAL_S * MS_PER_S < USER_TIMEOUT_MS
