"""Connections to one endpoint, with a record of connection attempts."""

from collections.abc import Callable

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import MAX_FRESH_IDLE_S
from carawayvale.links.connections import MAX_IDLE_S
from carawayvale.links.http import ConnectFailed
from carawayvale.links.http_client import HttpClient

# An attempt with less time than this may fail at a reachable endpoint.
MIN_CONCLUSIVE_TIMEOUT_S = 0.2

RecordConnect = Callable[[str, bool, float], None]


def ignore_connect(name: str, reached: bool, now_s: float) -> None:
    """Record nothing about a connection attempt.

    :param name: name of the endpoint.
    :param reached: whether the connection was opened.
    :param now_s: the time.
    """


class EndpointPool(ConnectionPool):
    """Pool of connections to one endpoint.

    With ``rotates``, a request that may be retried takes the connection that
    was idle longest, which keeps all of them fresh for requests that may
    not. These open a new connection if none is fresh, and leave the others
    idle, while they close them without ``rotates``.

    :param endpoint: the endpoint.
    :param record_connect: called with the name of the endpoint, whether
        a new connection was opened, and the time.
    """

    def __init__(
        self, endpoint: EndpointRecord, record_connect: RecordConnect
    ):
        super().__init__(endpoint.address)
        self.name = endpoint.name
        self.record_connect = record_connect
        self.rotates = False

    async def acquire(
        self, timeout_s: float, recently_used_only: bool
    ) -> HttpClient:
        """Take an idle connection or open one; see :class:`ConnectionPool`."""
        if not self.rotates:
            return await super().acquire(timeout_s, recently_used_only)
        now_s = read_boot_clock()
        while self.idle and now_s - self.idle[0].idle_since_s >= MAX_IDLE_S:
            await self.idle.popleft().client.close()
        while self.idle:
            if recently_used_only:
                if now_s - self.idle[-1].idle_since_s >= MAX_FRESH_IDLE_S:
                    break
                client = self.idle.pop().client
            else:
                client = self.idle.popleft().client
            if not client.has_closed():
                return client
            await client.close()
        return await self.open(timeout_s)

    async def open(self, timeout_s: float) -> HttpClient:
        """Open a new connection; see :class:`ConnectionPool`."""
        try:
            client = await super().open(timeout_s)
        except ConnectFailed:
            if timeout_s >= MIN_CONCLUSIVE_TIMEOUT_S:
                self.record_connect(self.name, False, read_boot_clock())
            raise
        self.record_connect(self.name, True, read_boot_clock())
        return client
