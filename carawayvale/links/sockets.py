"""Sockets that stay open until no task waits on them any more.

The event loop registers a socket under the number of its descriptor, from
the first wait of a task until that task has run again. If the descriptor
were closed meanwhile, its number would go to the next socket that is opened,
and the event loop would take that one for registered: it would wake the
wrong task, or end with the whole process.
"""

import errno
import socket as plain_socket
import struct
from typing import Any

import curio
from curio.io import Socket
from curio.io import WantRead
from curio.io import WantWrite
from curio.traps import _io_release
from curio.traps import _read_wait
from curio.traps import _write_wait

from carawayvale.capacity.link_meter import LinkMeter
from carawayvale.capacity.link_meter import OWN_LINK
from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.telemetry.logs import log_event

READ = "read"
WRITE = "write"

# Value of SO_LINGER with which a closed socket drops what is unread.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Calls of the event loop that wait until a socket is ready.
WAIT_TRAPS = {READ: _read_wait, WRITE: _write_wait}


class StreamSocket(Socket):
    """Stream socket that is closed when no task waits on it any more.

    A task that waits on it when another one closes it is woken, and gets
    ConnectionAbortedError. The descriptor stays open until it has run.

    :param sock: the socket, connected or not, plain or with TLS.
    :param link: link that its bytes take.
    """

    def __init__(self, sock: plain_socket.socket, link: LinkMeter = OWN_LINK):
        super().__init__(sock)
        self.link = link
        self.is_closing = False
        # What each task waits for that waits, or was woken and has not run.
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
            if self.is_closing and not self.waits:
                # The event loop forgets the number before other tasks run.
                self._close_descriptor()

    def _get_open(self) -> plain_socket.socket:
        """Return the socket for an operation.

        :raises ConnectionAbortedError: if this side has closed it.
        """
        if self.is_closing:
            raise ConnectionAbortedError(
                errno.ECONNABORTED, "closed by this side"
            )
        return self._socket

    async def recv(self, maxsize: int, flags: int = 0) -> bytes:
        """Receive bytes.

        :param maxsize: largest number of bytes.
        :param flags: see :meth:`socket.socket.recv`.
        :returns: the bytes; none at the end of the stream.
        :raises OSError: if the connection fails or is closed.
        """
        while True:
            try:
                data = self._get_open().recv(maxsize, flags)
            except WantRead:
                await self._wait(READ)
            except WantWrite:
                await self._wait(WRITE)
            else:
                self.link.record_received(len(data), read_boot_clock())
                return data

    async def _wait_for_link(self) -> None:
        """Wait until the queue of the link is short."""
        while pause_s := self.link.find_pause(read_boot_clock()):
            await curio.sleep(pause_s)

    async def sendall(self, data: bytes, flags: int = 0) -> None:
        """Send bytes.

        Of a large message, one piece after the other is sent as the link
        takes them, so that those of other sockets pass in between.

        :param data: the bytes, of which all are sent.
        :param flags: see :meth:`socket.socket.send`.
        :raises OSError: if the connection fails or is closed.
        """
        with memoryview(data).cast("B") as view:
            sent, piece = 0, int(min(len(view), self.link.piece_bytes))
            while sent < len(view):
                if piece < len(view):
                    await self._wait_for_link()
                try:
                    size = self._get_open().send(
                        view[sent : sent + piece], flags
                    )
                except WantWrite:
                    await self._wait(WRITE)
                except WantRead:
                    await self._wait(READ)
                else:
                    sent += size
                    self.link.record_sent(size, read_boot_clock())

    async def accept(self) -> tuple["StreamSocket", Any]:
        """Accept a connection.

        :returns: the connection, and the address of its other side.
        :raises OSError: if it fails, or this socket is closed.
        """
        while True:
            try:
                client, address = self._get_open().accept()
                return type(self)(client, self.link), address
            except WantRead:
                await self._wait(READ)

    async def connect(self, address: tuple) -> None:
        """Connect to an address.

        :param address: host and port.
        :raises OSError: if it fails, or the socket is closed.
        """
        try:
            self._get_open().connect(address)
            return
        except WantWrite:
            await self._wait(WRITE)
        number = self._get_open().getsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_ERROR
        )
        if number:
            raise OSError(number, f"Connect call failed {address}")

    async def do_handshake(self) -> None:
        """Perform the handshake of TLS.

        :raises OSError: if it fails, or the socket is closed.
        """
        while True:
            try:
                return self._get_open().do_handshake()
            except WantRead:
                await self._wait(READ)
            except WantWrite:
                await self._wait(WRITE)

    def shut_down(self, how: int = plain_socket.SHUT_RDWR) -> None:
        """Shut the connection down, which wakes the tasks that wait on it.

        :param how: the direction; both without it.
        :raises OSError: if the socket is not connected or is closed.
        """
        self._get_open().shutdown(how)

    def abort(self) -> None:
        """Shut the connection down, and drop what was not sent or read.

        :raises OSError: if the socket is not connected or is closed.
        """
        self._get_open().setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, RESET_ON_CLOSE
        )
        self.shut_down()

    async def close(self) -> None:
        """Close the socket, at the latest when the tasks that wait have run.

        Tasks that wait on it are woken and get ConnectionAbortedError.
        """
        if self.is_closing:
            return
        self.is_closing = True
        await _io_release(self._fileno)
        if not self.waits:
            self._close_descriptor()
            return
        task = await curio.current_task()
        log_event(
            "socket_closed_in_use",
            "WARNING",
            descriptor=self.fileno(),
            waits=",".join(self.waits),
            task=task.name,
        )
        try:
            self._socket.shutdown(plain_socket.SHUT_RDWR)
        except OSError as error:
            # Not connected; the tasks that wait end it when they end.
            log_event("shut_down_failed", "DEBUG", cause=str(error))

    def _close_descriptor(self) -> None:
        sock, self._socket = self._socket, None
        self._fileno = -1
        sock.close()

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


def open_socket_pair() -> tuple[StreamSocket, StreamSocket]:
    """Open two sockets that are connected with each other.

    :returns: the sockets.
    :raises OSError: if the process has no free descriptor.
    """
    first, second = plain_socket.socketpair()
    return StreamSocket(first), StreamSocket(second)
