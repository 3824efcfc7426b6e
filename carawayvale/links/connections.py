"""Connection pools for outgoing HTTP requests."""

from collections import deque
from dataclasses import dataclass
from ssl import SSLContext

import curio

from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.links.http import connect
from carawayvale.links.http import CONNECT_TIMEOUT_S
from carawayvale.links.http import Headers
from carawayvale.links.http import ResponseHead
from carawayvale.links.http_client import HttpClient

MAX_IDLE_S = 20.0
# A request that cannot be retried uses no connection that was idle longer.
MAX_FRESH_IDLE_S = 1.0
MAX_IDLE_CONNECTIONS = 64  # in each pool


@dataclass(frozen=True)
class IdleConnection:
    """An idle connection and the time at which it became idle."""

    client: HttpClient
    idle_since_s: float


@dataclass(frozen=True)
class OutgoingCall:
    """An HTTP request with its whole body.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: headers without ``content-length``.
    :param body: the request body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True)
class ReceivedResponse:
    """An HTTP response with its whole body."""

    head: ResponseHead
    body: bytes


class ConnectionPool:
    """Pool of idle connections to one address, last in first out.

    A connection whose exchange did not complete is closed and never
    reused.

    :param address: IP address and port of the server.
    :param ssl: TLS context, or None for plain TCP.
    :param source: local IP address to bind; empty for any.
    """

    def __init__(
        self,
        address: Address,
        ssl: SSLContext | None = None,
        source: str = "",
    ):
        self.address = address
        self.ssl = ssl
        self.source = source
        self.idle: deque[IdleConnection] = deque()

    async def acquire(
        self, timeout_s: float, recently_used_only: bool
    ) -> HttpClient:
        """Take an idle connection or open a new one.

        :param timeout_s: connect timeout in seconds.
        :param recently_used_only: whether to reuse only connections that
            have been idle for a short time, because the request cannot be
            retried.
        :returns: a connection for one exchange.
        :raises ConnectFailed: if the connection fails or times out.
        """
        max_idle_s = MAX_FRESH_IDLE_S if recently_used_only else MAX_IDLE_S
        now_s = read_boot_clock()
        while self.idle:
            connection = self.idle.pop()
            is_recent = now_s - connection.idle_since_s < max_idle_s
            if is_recent and not connection.client.has_closed():
                return connection.client
            await connection.client.close()
        return await self.open(timeout_s)

    async def open(self, timeout_s: float) -> HttpClient:
        """Open a new connection.

        :param timeout_s: connect timeout in seconds.
        :returns: a connection for one exchange.
        :raises ConnectFailed: if the connection fails or times out.
        """
        sock = await connect(self.address, timeout_s, self.ssl, self.source)
        return HttpClient(sock)

    async def release(self, client: HttpClient) -> None:
        """Return a connection to the pool if its exchange is complete.

        Otherwise, or if the pool is full, close the connection.

        :param client: the connection.
        """
        if len(self.idle) < MAX_IDLE_CONNECTIONS and client.reset():
            self.idle.append(IdleConnection(client, read_boot_clock()))
        else:
            await client.close()

    async def exchange(
        self,
        call: OutgoingCall,
        timeout_s: float,
        limit: int,
        recently_used_only: bool = False,
    ) -> ReceivedResponse:
        """Send a whole request and read the whole response.

        :param call: the request.
        :param timeout_s: timeout of the exchange in seconds.
        :param limit: maximum size of the response body in bytes.
        :param recently_used_only: see :meth:`acquire`.
        :returns: the response.
        :raises ConnectionBroken: if the connection fails or the response
            is too large.
        :raises curio.TaskTimeout: if the exchange times out.
        """
        async with curio.timeout_after(timeout_s):
            connect_s = min(CONNECT_TIMEOUT_S, timeout_s)
            client = await self.acquire(connect_s, recently_used_only)
            try:
                await client.send_request(
                    call.method, call.target, call.headers, call.body
                )
                head = await client.read_head()
                body = await client.read_body(limit)
            except BaseException:
                await client.close()
                raise
            await self.release(client)
        return ReceivedResponse(head, body)

    async def close(self) -> None:
        """Close all idle connections."""
        while self.idle:
            await self.idle.pop().client.close()


class ConnectionPools:
    """Connection pools by address.

    :param ssl: TLS context, or None for plain TCP.
    :param source: local IP address to bind; empty for any.
    """

    def __init__(self, ssl: SSLContext | None = None, source: str = ""):
        self.ssl = ssl
        self.source = source
        self.pools: dict[Address, ConnectionPool] = {}

    def find(self, address: Address) -> ConnectionPool:
        """Return the pool of an address, creating it if needed.

        :param address: IP address and port of the server.
        :returns: the pool.
        """
        pool = self.pools.get(address)
        if pool is None:
            pool = ConnectionPool(address, self.ssl, self.source)
            self.pools[address] = pool
        return pool

    async def keep_only(self, addresses: set[Address]) -> None:
        """Close and remove the pools of all other addresses.

        :param addresses: addresses whose pools to keep.
        """
        for address in self.pools.keys() - addresses:
            await self.pools.pop(address).close()
