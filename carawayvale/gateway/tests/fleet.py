"""A fleet of instances and stand-ins in one event loop, for tests."""

from contextlib import asynccontextmanager
import copy
import itertools
import os

import curio

from carawayvale.contracts.address import Address
from carawayvale.gateway.daemon import GatewayDaemon
from carawayvale.gateway.settings import Bounds
from carawayvale.gateway.settings import GatewaySettings
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.platform.headers import HEADER_NAMES
from carawayvale.platform.source import PlatformSource
from carawayvale.platform.tests.examples import CONFIGURATION
from carawayvale.platform.tests.examples import ENDPOINT
from carawayvale.platform.tests.fakes import FakeEndpoint
from carawayvale.platform.tests.fakes import FakeStore
from carawayvale.platform.tests.fakes import open_port

REGIONS = {
    "zrh-a": "zurich",
    "zrh-b": "zurich",
    "gva-a": "geneva",
    "lug-a": "lugano",
}
POLL_S = 0.02
WAIT_TIMEOUT_S = 20.0
MAX_BYTES = 1 << 20

# These ports are below the kernel's range of ephemeral ports. Each
# instance of each test has its own loopback address.
PORTS = dict(callers=7001, lookups=7002, readiness=7003, peers=7004)
INTERNAL_PORT = 7005
METRICS_PORT = 7006
HOST_NUMBERS = itertools.count(1)
HOSTS_PER_BLOCK = 250
BLOCK_STEP = 25


def make_host() -> str:
    """Make a loopback address that no other instance or test uses."""
    number = next(HOST_NUMBERS)
    pid = os.getpid()
    block, host = divmod(number, HOSTS_PER_BLOCK)
    # Processes differ in the second byte, and in the third within a block.
    third = pid // 200 % BLOCK_STEP + BLOCK_STEP * block
    return f"127.{16 + pid % 200}.{third}.{1 + host}"


def make_settings(
    name, domain, store, bounds=Bounds(), **limits
) -> GatewaySettings:
    """Make the settings of one instance."""
    host = make_host()
    ports = {key: Address(host, port) for key, port in PORTS.items()}
    return GatewaySettings(
        name,
        REGIONS[domain],
        domain,
        REGIONS,
        internal=Address(host, INTERNAL_PORT),
        metrics=Address(host, METRICS_PORT),
        store=store,
        bounds=bounds,
        **ports,
        **limits,
    )


class GatewayFleet:
    """The store, the endpoints and the instances of one test."""

    bounds = Bounds()

    def __init__(self):
        self.store = FakeStore()
        self.endpoints: dict[str, FakeEndpoint] = {}
        self.daemons: list[GatewayDaemon] = []
        self.tasks: list[curio.Task] = []
        self.instance_tasks: list[curio.Task] = []
        self.call_count = 0
        self.store_address = None

    async def open_store(self, configured):
        """Start the store, with a configuration if asked for."""
        if configured:
            self.store.put("op/config", CONFIGURATION)
        listener = open_port(self.store.handle)
        self.store_address = listener.address
        self.tasks.append(await curio.spawn(listener.run, daemon=True))

    async def add_endpoint(self, name, service="grids", domain="zrh-a"):
        """Start an endpoint and register it in the store."""
        endpoint = FakeEndpoint(name)
        listener = open_port(lambda request: endpoint.handle(request))
        self.tasks.append(await curio.spawn(listener.run, daemon=True))
        self.endpoints[name] = endpoint
        entry = copy.deepcopy(ENDPOINT)
        entry["address"] = str(listener.address)
        entry["info"]["service"] = service
        entry["info"]["zone"] = domain
        entry["status"]["cold_left"] = "0ms"
        endpoint.entry = entry
        self.store.put(f"servers/{name}", entry)
        return endpoint

    def find_limits(self, name):
        """Return the limits of an instance, as fields of its settings."""
        return {}

    def put_report(self, name, **status):
        """Write a new status report of an endpoint to the store."""
        entry = self.endpoints[name].entry
        entry["status"].update(status)
        entry["status"]["seq"] += 1
        self.store.put(f"servers/{name}", entry)

    async def add_instance(self, name, domain="zrh-a"):
        """Start an instance on its own loopback address."""
        settings = make_settings(
            name,
            domain,
            self.store_address,
            self.bounds,
            **self.find_limits(name),
        )
        source = await self.make_source(settings)
        daemon = GatewayDaemon(settings, HEADER_NAMES, source, b"test")
        self.daemons.append(daemon)
        task = await curio.spawn(daemon.run, daemon=True)
        self.tasks.append(task)
        self.instance_tasks.append(task)
        return daemon

    async def lose_all_instances(self):
        """End all instances at once, and start as many with their names."""
        lost, self.daemons = self.daemons, []
        tasks, self.instance_tasks = self.instance_tasks, []
        for task in tasks:
            await task.cancel(blocking=False)
        for task in tasks:
            await task.wait()
        for daemon in lost:
            settings = daemon.settings
            await self.add_instance(settings.name, settings.domain)
        await self.wait_ready()

    async def make_source(self, settings):
        """Make the decoder of the store's items for one instance."""
        return PlatformSource(settings.regions)

    async def wait_until(self, condition):
        """Wait for a condition with a long timeout."""
        async with curio.timeout_after(WAIT_TIMEOUT_S):
            while not condition():
                await curio.sleep(POLL_S)

    async def wait_ready(self):
        """Wait until all instances are ready and know each other."""
        count = len(self.daemons)
        await self.wait_until(
            lambda: all(
                d.node.is_ready
                and len(d.node.membership.list_serving()) == count
                for d in self.daemons
            )
        )

    async def call(self, daemon, method="GET", path="/x", **options):
        """Send one request as a caller."""
        self.call_count += 1
        headers = [
            (b"host", options.get("host", b"hulo.example")),
            (b"x-request-id", b"id-%d" % self.call_count),
            (b"x-affinity-key", options.get("key", b"7")),
            (b"x-deadline-ms", b"%d" % options.get("deadline_ms", 5000)),
        ]
        headers += options.get("headers", [])
        pool = ConnectionPool(daemon.settings.callers)
        call = OutgoingCall(method, path, headers, options.get("body", b""))
        try:
            return await pool.exchange(call, WAIT_TIMEOUT_S, MAX_BYTES)
        finally:
            await pool.close()


@asynccontextmanager
async def open_fleet(
    instances=1,
    endpoints=("i-1",),
    domains=("zrh-a",),
    configured=True,
    fleet_class=GatewayFleet,
):
    """Start a fleet, and cancel all its tasks afterwards."""
    fleet = fleet_class()
    await fleet.open_store(configured)
    for name in endpoints:
        await fleet.add_endpoint(name)
        await fleet.add_endpoint(f"desk-{name}", "desk")
    for number in range(instances):
        domain = domains[number % len(domains)]
        await fleet.add_instance(f"e{number + 1}", domain)
    try:
        if configured:
            await fleet.wait_ready()
        yield fleet
    finally:
        for task in fleet.tasks:
            await task.cancel()
