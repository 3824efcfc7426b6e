"""A fleet whose instances can be partitioned from all endpoints."""

from contextlib import suppress
from dataclasses import replace
from enum import Enum
import socket as plain_socket
import struct

import curio

from carawayvale.catalogue.source import EndpointUpdate
from carawayvale.contracts.address import Address
from carawayvale.gateway.tests.fleet import GatewayFleet
from carawayvale.links.http import READ_BYTES
from carawayvale.links.listener import open_listener
from carawayvale.links.sockets import open_socket
from carawayvale.platform.source import PlatformSource

# The relays of an instance have its loopback address and ports from this
# one on, below the kernel's range of ephemeral ports.
FIRST_PORT = 7100
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Connections that fill the accept queue of a listener with backlog 0.
FILLER_COUNT = 2


class Partition(Enum):
    """How connections to endpoints behave while partitioned.

    HANG: no bytes pass, and connection attempts get no response. RESET:
    connections are reset, and new ones refused. REFUSE: connections live
    on, and new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


async def _reset(sock):
    """Reset a connection, unless it is closed already."""
    if sock.fileno() < 0:
        return
    sock.setsockopt(
        plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, RESET_ON_CLOSE
    )
    await sock.close()


def _shut_down(sock):
    """End a connection whose socket another task may be reading."""
    with suppress(OSError):
        sock._socket.shutdown(plain_socket.SHUT_RDWR)


class Relay:
    """TCP relay between one instance and one endpoint."""

    def __init__(self, target, address):
        self.target = target
        self.address = address
        self.sock = open_listener(address)
        self.flowing = curio.Event()
        self.acceptor = None
        self.pumps = set()
        self.pairs = set()
        self.fillers = []
        self.opened = 0

    async def start(self):
        """Accept and relay connections."""
        await self.flowing.set()
        self.acceptor = await curio.spawn(self._accept_all, daemon=True)

    async def cut(self, partition):
        """Partition the instance from the endpoint."""
        await self.acceptor.cancel()
        if partition is Partition.HANG:
            self.flowing.clear()
            self._fill_accept_queue()
            return
        await self.sock.close()
        if partition is Partition.RESET:
            await self._reset_all()

    async def heal(self):
        """End the partition."""
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        await self.sock.close()
        self.sock = open_listener(self.address)
        await self.start()

    async def stop(self):
        """Close all connections."""
        await self.acceptor.cancel()
        await self._reset_all()
        for filler in self.fillers:
            filler.close()
        await self.sock.close()

    def _fill_accept_queue(self):
        self.sock._socket.listen(0)
        for _ in range(FILLER_COUNT):
            filler = plain_socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.address.host, self.address.port))
            self.fillers.append(filler)

    async def _reset_all(self):
        for pump in list(self.pumps):
            await pump.cancel()
        for pair in list(self.pairs):
            for sock in pair:
                await _reset(sock)
        self.pairs.clear()

    async def _accept_all(self):
        while True:
            near, _ = await self.sock.accept()
            self.opened += 1
            far = open_socket(self.target)
            try:
                await far.connect((self.target.host, self.target.port))
            except OSError:
                await near.close()
                continue
            self.pairs.add((near, far))
            for source, sink in ((near, far), (far, near)):
                pump = await curio.spawn(self._pump, source, sink, daemon=True)
                self.pumps.add(pump)

    async def _pump(self, source, sink):
        try:
            while data := await source.recv(READ_BYTES):
                await self.flowing.wait()
                await sink.sendall(data)
            await self.flowing.wait()
            await sink.shutdown(plain_socket.SHUT_WR)
        except OSError:
            _shut_down(sink)
        finally:
            self.pumps.discard(await curio.current_task())


class RelayedSource(PlatformSource):
    """Decoder that replaces the endpoints' addresses by relays."""

    def __init__(self, regions, relays):
        super().__init__(regions)
        self.relays = relays

    def decode(self, item):
        """Decode an item; see :class:`PlatformSource`."""
        update = super().decode(item)
        if not isinstance(update, EndpointUpdate) or update.endpoint is None:
            return update
        relay = self.relays[update.endpoint.address]
        endpoint = replace(update.endpoint, address=relay.address)
        return replace(update, endpoint=endpoint)


class PartitionedFleet(GatewayFleet):
    """A fleet with a relay between each instance and each endpoint.

    All endpoints are added before the first instance.
    """

    def __init__(self):
        super().__init__()
        self.relays = {}

    async def make_source(self, settings):
        """Make a decoder, and the relays of one instance."""
        relays = {}
        own_host = settings.callers.host
        for number, endpoint in enumerate(self.endpoints.values()):
            host, port = endpoint.entry["address"].rsplit(":", 1)
            target = Address(host, int(port))
            own_address = Address(own_host, FIRST_PORT + number)
            relays[target] = Relay(target, own_address)
            await relays[target].start()
        self.relays[settings.name] = relays
        return RelayedSource(settings.regions, relays)

    async def cut(self, name, partition):
        """Partition an instance from all endpoints."""
        for relay in self.relays[name].values():
            await relay.cut(partition)

    async def heal(self, name):
        """End the partition of an instance."""
        for relay in self.relays[name].values():
            await relay.heal()
