"""Types and socket options shared by the HTTP/1.1 client and server."""

from collections.abc import Iterable
from dataclasses import dataclass
import socket as plain_socket
from ssl import SSLContext

import curio

from carawayvale.contracts.address import Address
from carawayvale.links.sockets import open_socket
from carawayvale.links.sockets import StreamSocket

READ_BYTES = 65536
MAX_HEADER_BYTES = 16384
CONNECT_TIMEOUT_S = 1.0

# Maximum number of parts, such as chunks, in which a body may arrive. Each
# costs as much as the parsing of some hundred bytes.
MAX_BODY_PARTS = 1 << 21

# A peer that vanishes without closing the connection is detected after
# USER_TIMEOUT_MS while data is unacknowledged, and on an idle connection
# when the first keep-alive probe is due after that time. The timeout
# replaces the maximum number of probes.
KEEPALIVE_INTERVAL_S = 1
USER_TIMEOUT_MS = 2500

Headers = list[tuple[bytes, bytes]]


class ConnectionBroken(ConnectionError):
    """Error raised if a connection fails or violates HTTP in an exchange."""


class InvalidResponse(ConnectionBroken):
    """Error raised for bytes that are no HTTP/1.x response.

    What the peer did with the request is unknown.
    """


class ConnectFailed(ConnectionBroken):
    """Error raised if a connection cannot be opened; nothing was sent."""


class ConnectRefused(ConnectFailed):
    """Error raised if the server resets an attempt to connect.

    Its machine is reachable, so connections that are open end by
    themselves if the server does.
    """


class BadRequest(ValueError):
    """Error raised if a request is malformed or too large.

    :param message: description of the fault.
    :param status: HTTP status of the response.
    """

    def __init__(self, message: str, status: int = 400):
        super().__init__(message)
        self.status = status


@dataclass(frozen=True)
class RequestHead:
    """Method, target and headers of a request.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: pairs of lower-case header name and value.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]

    def find(self, name: bytes) -> bytes | None:
        """Find the first value of a header.

        :param name: header name in lower case.
        :returns: the value, or None if the header is missing.
        """
        return find_header(self.headers, name)

    @property
    def path(self) -> str:
        """Request target without the query string."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def find(self, name: bytes) -> bytes | None:
        """Find the first value of a header.

        :param name: header name in lower case.
        :returns: the value, or None if the header is missing.
        """
        return find_header(self.headers, name)


def find_header(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes | None:
    """Find the first value of a header.

    :param headers: pairs of lower-case header name and value.
    :param name: header name in lower case.
    :returns: the value, or None if the header is missing.
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
) -> StreamSocket:
    """Open a TCP or TLS connection to an IP address.

    :param address: IP address and port of the server.
    :param timeout_s: timeout in seconds, TLS handshake included.
    :param ssl: TLS context, or None for plain TCP.
    :param source: local IP address to bind; empty for any.
    :returns: the connected socket.
    :raises ConnectRefused: if the server resets the attempt.
    :raises ConnectFailed: if the connection fails or times out.
    """
    try:
        sock = open_socket(address)
    except OSError as error:
        # The process has no free descriptor.
        raise ConnectFailed(f"{address}: {error}") from None
    try:
        if source:
            sock.bind((source, 0))
        async with curio.timeout_after(timeout_s):
            await sock.connect((address.host, address.port))
            tune_socket(sock)
            if ssl is not None:
                sock = StreamSocket(
                    ssl.wrap_socket(
                        sock._socket,
                        do_handshake_on_connect=False,
                        suppress_ragged_eofs=False,
                    )
                )
                await sock.do_handshake()
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        refused = isinstance(
            error, (ConnectionRefusedError, ConnectionResetError)
        )
        failure = ConnectRefused if refused else ConnectFailed
        raise failure(f"{address}: {error}") from None
    except BaseException:
        await sock.close()
        raise
    return sock


def tune_socket(sock: StreamSocket) -> None:
    """Disable Nagle's algorithm and enable detection of dead peers.

    :param sock: the TCP socket.
    """
    tcp = plain_socket.IPPROTO_TCP
    sock.setsockopt(tcp, plain_socket.TCP_NODELAY, 1)
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, plain_socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, plain_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, plain_socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
