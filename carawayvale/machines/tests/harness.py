"""Test harness: entry instance, store and backend servers in one loop."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import replace
import json

import curio

from carawayvale.contracts import Address
from carawayvale.contracts import BackendSettings
from carawayvale.contracts import EntrySettings
from carawayvale.documents import Envelope
from carawayvale.documents.envelope import DOCUMENT_KEY
from carawayvale.links import connect
from carawayvale.links import HttpClient
from carawayvale.links import Listener
from carawayvale.links import open_listener
from carawayvale.links import ResponseHead
from carawayvale.machines import EntryInstance
from carawayvale.standins import BackendServer
from carawayvale.standins import Caller
from carawayvale.standins import StoreServer

LOOPBACK = Address("127.0.0.1", 0)
KEY = b"world-test-key-16"
READY_TIMEOUT_S = 5.0
DOCUMENT = """\
[region:zurich]
owner = platform
limit = 100

[domain:zurich-a]
owner = platform
region = zurich

[rank:urgent]
owner = priorities
order = 1
max_wait_s = 1

[rank:low]
owner = priorities
order = 2
floor = 0.1
max_wait_s = 1

[service:grids]
owner = grids
rank = urgent
ramp_s = 0
"""


@dataclass
class Harness:
    """Running entry instance with its backend servers and its store.

    :param entry: the entry instance.
    :param backends: backend servers by name of the endpoint.
    :param store: the store.
    """

    entry: EntryInstance
    backends: dict[str, BackendServer]
    store: StoreServer

    @property
    def address(self) -> Address:
        """Address of the listener for callers."""
        return self.entry.node.own_record.callers

    def make_caller(self) -> Caller:
        """Make a caller of the entry instance."""
        return Caller((self.address,), "zurich")

    async def send_raw(self, data: bytes) -> bytes:
        """Send bytes and read until the connection is closed."""
        sock = await connect(self.address)
        async with sock:
            await sock.sendall(data)
            chunks = []
            while chunk := await curio.timeout_after(5, sock.recv, 65536):
                chunks.append(chunk)
            return b"".join(chunks)

    async def ask(
        self, method: str, target: str, body: bytes = b"", **headers: str
    ) -> tuple[ResponseHead, bytes]:
        """Send one request; underscores in header names become hyphens."""
        header_pairs = [
            (name.replace("_", "-").encode(), value.encode())
            for name, value in {"host": "grids", **headers}.items()
        ]
        client = HttpClient(await connect(self.address))
        try:
            await client.send_request(method, target, header_pairs, body)
            head = await curio.timeout_after(10, client.read_head)
            return head, await client.read_body(10_000_000)
        finally:
            await client.close()

    async def ask_reason(self, method: str, target: str, **headers: str):
        """Send one request; return status, reason and the not-run mark."""
        head, body = await self.ask(method, target, **headers)
        response = json.loads(body)
        return head.status, response["reason"], response["not_run"]


async def start_backend(
    group: curio.TaskGroup, name: str, service_ms: float
) -> tuple[BackendServer, Address]:
    """Start a backend server."""
    settings = BackendSettings(
        name=name, address=LOOPBACK, slots=4, service_ms=service_ms
    )
    server = BackendServer(settings)
    listener = Listener(open_listener(LOOPBACK), server.handle)
    await group.spawn(listener.run)
    return server, listener.address


@asynccontextmanager
async def open_harness(
    service_ms: float = 5.0, document: str = DOCUMENT, **options
) -> AsyncIterator[Harness]:
    """Start two backend servers, a store and an entry instance.

    :param service_ms: service time of a backend server in milliseconds.
    :param document: text of the document without endpoints.
    :param options: settings of the entry instance.
    """
    async with curio.TaskGroup(wait=None) as group:
        backends = {}
        for name in ("g1", "g2"):
            server, address = await start_backend(group, name, service_ms)
            backends[name] = server
            document += (
                f"[endpoint:{name}]\nowner = grids\nservice = grids\n"
                f"region = zurich\ndomain = zurich-a\nslots = 4\n"
                f"address = {address}\n"
            )
        store = StoreServer()
        envelope = Envelope(1, document)
        store.state.write(DOCUMENT_KEY, envelope.encode(), 0)
        listener = Listener(open_listener(LOOPBACK), store.handle)
        await group.spawn(listener.run)
        settings = EntrySettings(
            name="e1",
            region="zurich",
            domain="zurich-a",
            callers=LOOPBACK,
            peers=LOOPBACK,
            operators=LOOPBACK,
            store=listener.address,
            trace_ratio=1.0,
        )
        entry = EntryInstance(replace(settings, **options), KEY)
        await group.spawn(entry.run)
        harness = Harness(entry, backends, store)
        async with curio.timeout_after(READY_TIMEOUT_S):
            while not (hasattr(entry, "node") and entry.node.is_ready):
                await curio.sleep(0.01)
        yield harness


def run_with_harness(check, *args, **kwargs) -> None:
    """Run a check with a new harness.

    :param check: coroutine function that takes the harness.
    """

    async def main() -> None:
        async with open_harness(*args, **kwargs) as harness:
            await check(harness)

    curio.run(main)
