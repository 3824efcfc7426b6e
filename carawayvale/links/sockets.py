"""Sockets that know which tasks wait on them.

The event loop registers a socket under the number of its descriptor, from
the first wait of a task until that task has run again. A descriptor that is
closed meanwhile leaves a registration behind, and its number goes to the
next socket that is opened.
"""

import socket as plain_socket
from typing import Any

import curio
from curio.io import Socket
from curio.io import WantRead
from curio.io import WantWrite
from curio.traps import _read_wait
from curio.traps import _write_wait

from carawayvale.contracts.address import Address
from carawayvale.telemetry.logs import log_event

READ = "read"
WRITE = "write"

# Calls of the event loop that wait until a socket is ready.
WAIT_TRAPS = {READ: _read_wait, WRITE: _write_wait}


class StreamSocket(Socket):
    """Stream socket of the event loop that counts the tasks that wait on it.

    :param sock: the socket, connected or not, plain or with TLS.
    """

    def __init__(self, sock: plain_socket.socket):
        super().__init__(sock)
        # What each of them waits for, until it has run again.
        self.waits: list[str] = []

    async def _wait(self, operation: str) -> None:
        """Wait until the socket is ready for an operation.

        :param operation: key of ``WAIT_TRAPS``.
        """
        self.waits.append(operation)
        try:
            await WAIT_TRAPS[operation](self._fileno)
        finally:
            self.waits.remove(operation)

    async def recv(self, maxsize: int, flags: int = 0) -> bytes:
        """Receive up to ``maxsize`` bytes; empty at the end of the stream."""
        while True:
            try:
                return self._socket_recv(maxsize, flags)
            except WantRead:
                await self._wait(READ)
            except WantWrite:
                await self._wait(WRITE)

    async def sendall(self, data: bytes, flags: int = 0) -> None:
        """Send all of ``data``."""
        with memoryview(data).cast("B") as view:
            sent = 0
            while sent < len(view):
                try:
                    sent += self._socket_send(view[sent:], flags)
                except WantWrite:
                    await self._wait(WRITE)
                except WantRead:
                    await self._wait(READ)

    async def accept(self) -> tuple["StreamSocket", Any]:
        """Accept a connection; see :meth:`socket.socket.accept`."""
        while True:
            try:
                client, address = self._socket.accept()
                return type(self)(client), address
            except WantRead:
                await self._wait(READ)

    async def connect(self, address: tuple) -> None:
        """Connect to an address; see :meth:`socket.socket.connect`."""
        try:
            self._socket.connect(address)
            return
        except WantWrite:
            await self._wait(WRITE)
        number = self._socket.getsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_ERROR
        )
        if number:
            raise OSError(number, f"Connect call failed {address}")

    async def do_handshake(self) -> None:
        """Perform the handshake of TLS."""
        while True:
            try:
                return self._socket.do_handshake()
            except WantRead:
                await self._wait(READ)
            except WantWrite:
                await self._wait(WRITE)

    async def close(self) -> None:
        """Close the socket."""
        if self._socket is not None and self.waits:
            task = await curio.current_task()
            log_event(
                "socket_closed_in_use",
                "ERROR",
                descriptor=self.fileno(),
                waits=",".join(self.waits),
                task=task.name,
            )
        await super().close()

    async def __aexit__(self, *args: Any) -> None:
        await self.close()


def open_socket(address: Address) -> StreamSocket:
    """Open a TCP socket of the family of an address, without connecting it.

    :param address: IP address and port that it will be used with.
    :returns: the socket.
    :raises OSError: if the process has no free descriptor.
    """
    is_ipv6 = ":" in address.host
    family = plain_socket.AF_INET6 if is_ipv6 else plain_socket.AF_INET
    return StreamSocket(plain_socket.socket(family, plain_socket.SOCK_STREAM))
