"""Connections to one address, kept for later exchanges."""

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

IDLE_LIMIT_S = 20.0
FRESH_IDLE_S = 1.0
MAX_IDLE = 64


@dataclass(frozen=True)
class IdleConnection:
    """A connection and the time at which it became idle."""

    client: HttpClient
    since_s: float


@dataclass(frozen=True)
class OutgoingCall:
    """A request whose body is at hand.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: headers without the length.
    :param body: the body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True)
class Response:
    """A whole answer."""

    head: ResponseHead
    body: bytes


class ConnectionPool:
    """Idle connections to one address, the newest used first.

    A connection that an unfinished exchange leaves is closed, never
    kept.

    :param address: where to connect.
    :param ssl: context for TLS, or None.
    :param source: IP address to connect from; empty for any.
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

    async def acquire(self, timeout_s: float, fresh: bool) -> HttpClient:
        """Take an idle connection or open one.

        :param timeout_s: longest time to connect in seconds.
        :param fresh: whether a connection must not have been idle long,
            since what is sent cannot be sent twice.
        :returns: a connection for one exchange.
        :raises ConnectFailed: if no connection comes about.
        """
        limit_s = FRESH_IDLE_S if fresh else IDLE_LIMIT_S
        now_s = read_boot_clock()
        while self.idle:
            kept = self.idle.pop()
            young = now_s - kept.since_s < limit_s
            if young and not kept.client.has_closed():
                return kept.client
            await kept.client.close()
        sock = await connect(self.address, timeout_s, self.ssl, self.source)
        return HttpClient(sock)

    async def release(self, client: HttpClient) -> None:
        """Keep a connection if its exchange is complete, else close it.

        :param client: the connection.
        """
        if len(self.idle) < MAX_IDLE and client.reset():
            self.idle.append(IdleConnection(client, read_boot_clock()))
        else:
            await client.close()

    async def exchange(
        self,
        call: OutgoingCall,
        timeout_s: float,
        limit: int,
        fresh: bool = False,
    ) -> Response:
        """Send a whole request and read its whole answer.

        :param call: the request.
        :param timeout_s: longest time in seconds.
        :param limit: most bytes of the answer's body.
        :param fresh: see :meth:`acquire`.
        :returns: the answer.
        :raises ConnectionBroken: if the connection ends first.
        :raises curio.TaskTimeout: if the time is over first.
        """
        async with curio.timeout_after(timeout_s):
            connect_s = min(CONNECT_TIMEOUT_S, timeout_s)
            client = await self.acquire(connect_s, fresh)
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
        return Response(head, body)

    async def close(self) -> None:
        """Close all idle connections."""
        while self.idle:
            await self.idle.pop().client.close()


class ConnectionPools:
    """Pools by address.

    :param ssl: context for TLS, or None.
    :param source: IP address to connect from; empty for any.
    """

    def __init__(self, ssl: SSLContext | None = None, source: str = ""):
        self.ssl = ssl
        self.source = source
        self.pools: dict[Address, ConnectionPool] = {}

    def find(self, address: Address) -> ConnectionPool:
        """Find or make the pool of an address.

        :param address: the address.
        :returns: its pool.
        """
        pool = self.pools.get(address)
        if pool is None:
            pool = ConnectionPool(address, self.ssl, self.source)
            self.pools[address] = pool
        return pool

    async def keep_only(self, addresses: set[Address]) -> None:
        """Close the pools of all other addresses.

        :param addresses: addresses that are still in use.
        """
        for address in self.pools.keys() - addresses:
            await self.pools.pop(address).close()
