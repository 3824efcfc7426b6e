"""Peers that send without a pause, and what the event loop does meanwhile."""

from contextlib import asynccontextmanager
import socket
import threading

import curio

from carawayvale.contracts.clock import read_boot_clock

INTERVAL_S = 0.01


class Flood(threading.Thread):
    """Peer in a thread of its own that sends until its socket is closed.

    :param sock: the connected socket.
    :param first: the bytes that it sends first.
    :param repeated: the bytes that it then sends.
    :param count: how often; None to send them without end.
    """

    def __init__(self, sock, first, repeated, count=None):
        super().__init__(daemon=True)
        self.sock = sock
        self.first = first
        self.repeated = repeated
        self.count = count

    def run(self):
        """Send the bytes."""
        try:
            self.sock.sendall(self.first)
            while self.count is None or self.count > 0:
                self.sock.sendall(self.repeated)
                if self.count is not None:
                    self.count -= 1
        except OSError:
            self.sock.close()


class FloodServer(threading.Thread):
    """Server that sends a flood on the first connection.

    :param first: the bytes that it sends first.
    :param repeated: the bytes that it then sends without end.
    """

    def __init__(self, first, repeated):
        super().__init__(daemon=True)
        self.first = first
        self.repeated = repeated
        self.listener = socket.create_server(("127.0.0.1", 0))

    @property
    def port(self):
        """Port of the server."""
        return self.listener.getsockname()[1]

    def run(self):
        """Accept one connection and send."""
        sock, _ = self.listener.accept()
        self.listener.close()
        sock.recv(65536)
        Flood(sock, self.first, self.repeated).run()


class LongestGap:
    """Longest time that the event loop gave a waiting task no turn."""

    def __init__(self):
        self.gap_s = 0.0

    async def run(self):
        """Measure until cancelled."""
        while True:
            start_s = read_boot_clock()
            await curio.sleep(INTERVAL_S)
            self.gap_s = max(self.gap_s, read_boot_clock() - start_s)


@asynccontextmanager
async def measure_gap():
    """Measure the longest gap while a block runs."""
    longest = LongestGap()
    task = await curio.spawn(longest.run, daemon=True)
    try:
        yield longest
        # A gap that lasts until now counts as well.
        await curio.sleep(2 * INTERVAL_S)
    finally:
        await task.cancel()
