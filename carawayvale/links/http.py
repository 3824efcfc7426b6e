"""HTTP/1.1 exchanges by h11 on curio sockets, for both sides."""

from collections.abc import Iterable
from dataclasses import dataclass
import socket as plain_socket
from ssl import SSLContext

import curio
from curio.io import Socket
from curio import socket

from carawayvale.contracts.address import Address

READ_BYTES = 65536
MAX_HEADER_BYTES = 16384
CONNECT_TIMEOUT_S = 1.0

# A connection whose other end is gone without a word is noticed after
# about KEEPALIVE_S * (KEEPALIVE_PROBES + 1) when nothing is under way,
# and after USER_TIMEOUT_MS when data is.
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2500

Headers = list[tuple[bytes, bytes]]


class ConnectionBroken(ConnectionError):
    """The connection ended, or broke HTTP, in the midst of an exchange."""


class ConnectFailed(ConnectionBroken):
    """No connection came about; nothing was sent."""


class BadRequest(ValueError):
    """A caller sent something that is not HTTP/1.1 or too large.

    :param message: what is wrong.
    :param status: HTTP status of the answer.
    """

    def __init__(self, message: str, status: int = 400):
        super().__init__(message)
        self.status = status


@dataclass(frozen=True)
class RequestHead:
    """Method, target and headers of a request.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: header names in lower case and values.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]

    def find(self, name: bytes) -> bytes | None:
        """Find the value of a header.

        :param name: name in lower case.
        :returns: the first value, or None.
        """
        return find_header(self.headers, name)

    @property
    def path(self) -> str:
        """Target without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def find(self, name: bytes) -> bytes | None:
        """Find the value of a header.

        :param name: name in lower case.
        :returns: the first value, or None.
        """
        return find_header(self.headers, name)


def find_header(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes | None:
    """Find the first value of a header.

    :param headers: pairs of lower-case name and value.
    :param name: name in lower case.
    :returns: the value, or None.
    """
    for key, value in headers:
        if key == name:
            return value
    return None


async def connect(
    address: Address,
    timeout_s: float = CONNECT_TIMEOUT_S,
    ssl: SSLContext | None = None,
    source: str = "",
) -> Socket:
    """Open a TCP connection to an IP address.

    :param address: where to connect.
    :param timeout_s: longest wait in seconds.
    :param ssl: context for TLS, or None for plain TCP.
    :param source: IP address to connect from; empty for any.
    :returns: the connected socket.
    :raises ConnectFailed: if no connection comes about in time.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        if source:
            sock.bind((source, 0))
        async with curio.timeout_after(timeout_s):
            await sock.connect((address.host, address.port))
            tune_socket(sock)
            if ssl is not None:
                sock = Socket(
                    ssl.wrap_socket(
                        sock._socket, do_handshake_on_connect=False
                    )
                )
                await sock.do_handshake()
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        raise ConnectFailed(f"{address}: {error}") from None
    except BaseException:
        await sock.close()
        raise
    return sock


def tune_socket(sock: Socket) -> None:
    """Send small messages without delay, and notice a silent peer.

    :param sock: a TCP socket.
    """
    tcp = plain_socket.IPPROTO_TCP
    sock.setsockopt(tcp, plain_socket.TCP_NODELAY, 1)
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, plain_socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(tcp, plain_socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(tcp, plain_socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, plain_socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
