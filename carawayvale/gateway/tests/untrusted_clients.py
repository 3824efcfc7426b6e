"""Gateway processes with small memory, and clients that strain it."""

from contextlib import asynccontextmanager
import itertools
import json
import os
import time

import curio

from carawayvale.catalogue.records import RequestLimits
from carawayvale.contracts.address import Address
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.request_parser import encode_response
from carawayvale.gateway.request_parser import RequestParser
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import connect
from carawayvale.links.http import ConnectionBroken
from carawayvale.platform.standin_formats import CONFIGURATION_KEY
from carawayvale.platform.standin_formats import ENDPOINT_PREFIX
from carawayvale.platform.standin_formats import HEALTH_PATH
from carawayvale.platform.standin_formats import make_configuration
from carawayvale.platform.standin_formats import make_endpoint_entry
from carawayvale.platform.standin_formats import METRICS_OFFSET
from carawayvale.platform.tests.fakes import FakeStore
from carawayvale.platform.tests.fakes import open_port
from carawayvale.platform.tests.fakes import open_raw_port
from carawayvale.soak.gateways import CALLERS
from carawayvale.soak.gateways import GatewayProcess
from carawayvale.soak.soak import ROOT

# Memory of the smallest machine in use; 8 MB responses and 64 MiB bodies
# are within the limits there too.
MEMORY_MB = 152
MAX_FDS = 256
BYTES_PER_KB = 1024
BYTES_PER_MB = 1_000_000

HOST = "desk.example"
SERVICE = "desk"
DOMAIN = "ekm-a"
LONG_BYTES = 8_000_000
HOLD_S = 3.0
WAIT_S = 30.0
POLL_S = 0.05
SLOW_READ_BYTES = 512
SLOW_READ_S = 0.5
SLOW_UPLOAD_BYTES = 1 << 14
SLOW_UPLOAD_S = 0.05
WORK_S = 2.0
NUMBERS = itertools.count(1)
NETWORKS = itertools.count(1)


class SmallGateway(GatewayProcess):
    """A gateway process with the memory and descriptors of the tests."""

    peak_bytes = 0
    peak_files = 0

    def _write_settings(self):
        path = super()._write_settings()
        settings = json.loads(path.read_text())
        limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        settings["limits"] = {**settings["limits"], **limits}
        path.write_text(json.dumps(settings))
        return path

    def measure(self):
        """Read the peak memory and the open descriptors of the process."""
        folder = f"/proc/{self.process.pid}"
        try:
            with open(f"{folder}/status") as status:
                lines = dict(line.split(":", 1) for line in status)
            files = len(os.listdir(f"{folder}/fd"))
        except OSError:
            return
        if "VmHWM" not in lines:
            return
        kb = int(lines["VmHWM"].split()[0])
        self.peak_bytes = max(self.peak_bytes, kb * BYTES_PER_KB)
        self.peak_files = max(self.peak_files, files)


class SlowEndpoint:
    """An endpoint with long responses, that may read uploads slowly.

    :param name: its name.
    """

    def __init__(self, name):
        self.name = name
        self.listener = open_raw_port(self.serve)

    def make_entry(self):
        """Make its entry in the store."""
        return make_endpoint_entry(
            self.listener.address,
            int(time.time() * 1000),
            SERVICE,
            DOMAIN,
            32,
            1,
        )

    async def serve(self, sock):
        """Serve one connection, one request at a time."""
        parser = RequestParser(RequestLimits())
        while True:
            while (request := parser.parse_next()) is None:
                if not parser.is_interrupted:
                    size, pause_s = 1 << 16, 0.0
                    if parser.head and parser.head.target == b"/book/slow":
                        size, pause_s = SLOW_UPLOAD_BYTES, SLOW_UPLOAD_S
                    data = await sock.recv(size)
                    if not data:
                        return
                    await curio.sleep(pause_s)
                    parser.receive(data)
            await self._respond(sock, request)

    async def _respond(self, sock, request):
        identity = (b"x-instance-id", self.name.encode())
        headers = (identity,)
        if request.path != HEALTH_PATH:
            request_id = request.find(b"x-request-id") or b""
            headers += ((b"x-request-id", request_id),)
            headers += ((b"x-server-stamp", self.name.encode()),)
        if request.path == "/slot/work":
            await curio.sleep(WORK_S)
        body = b"x" * LONG_BYTES if request.path == "/slot/long" else b"ok"
        response = Response(200, headers, body)
        await sock.sendall(encode_response(response, request.method))


class SmallSite:
    """The store, endpoints and gateway processes of one test."""

    def __init__(self, folder):
        number = os.getpid() * 16 + next(NETWORKS)
        self.network = f"127.{220 + number // 250 % 30}.{number % 250}"
        self.folder = folder
        self.store = FakeStore()
        self.gateways = []
        self.tasks = []

    async def start(self, gateways, endpoints):
        """Start everything and wait until the gateways are ready."""
        configuration = make_configuration(
            HOST, SERVICE, 8.0, {"/book/": "unsafe", "/slot/": "safe"}
        )
        configuration["limits"]["max_body_bytes"] = 1 << 26
        self.store.put(CONFIGURATION_KEY, configuration)
        for number in range(endpoints):
            endpoint = SlowEndpoint(f"i-{number}")
            await self._run(endpoint.listener)
            self.store.put(
                f"{ENDPOINT_PREFIX}{endpoint.name}", endpoint.make_entry()
            )
        listener = open_port(self.store.handle)
        await self._run(listener)
        for number in range(gateways):
            # Even numbers are in one failure domain.
            gateway = SmallGateway(
                ROOT, self.folder, 2 * number, self.network, listener.address
            )
            gateway.start()
            self.gateways.append(gateway)
        async with curio.timeout_after(WAIT_S):
            for gateway in self.gateways:
                await gateway.wait_ready()
                while await self._count_alive(gateway) < gateways:
                    await curio.sleep(POLL_S)
        self.tasks.append(await curio.spawn(self._measure, daemon=True))

    async def _run(self, listener):
        self.tasks.append(await curio.spawn(listener.run, daemon=True))

    async def _count_alive(self, gateway):
        """Count the instances that a gateway knows to be serving."""
        pool = ConnectionPool(gateway.find_address(METRICS_OFFSET))
        call = OutgoingCall("GET", "/state", [(b"host", b"gateway")])
        try:
            response = await pool.exchange(call, 5.0, 1 << 20)
        finally:
            await pool.close()
        members = json.loads(response.body)["members"]
        return sum(member["state"] == "alive" for member in members)

    async def _measure(self):
        while True:
            for gateway in self.gateways:
                gateway.measure()
            await curio.sleep(POLL_S)

    async def stop(self):
        """End the processes and the tasks of the test."""
        for gateway in self.gateways:
            gateway.end()
        for task in self.tasks:
            await task.cancel()

    async def call(self, gateway):
        """Send an ordinary request until it is answered."""
        headers = [
            (b"host", HOST.encode()),
            (b"x-request-id", b"ordinary-%d" % next(NUMBERS)),
        ]
        call = OutgoingCall("GET", "/slot/x", headers)
        until_s = time.monotonic() + WAIT_S
        status = 0
        while status != 200 and time.monotonic() < until_s:
            pool = ConnectionPool(gateway.find_address(CALLERS))
            try:
                response = await pool.exchange(call, 5.0, 1 << 16)
                status = response.head.status
            except (ConnectionBroken, curio.TaskTimeout):
                status = 0
            finally:
                await pool.close()
            await curio.sleep(POLL_S)
        return status

    async def check(self, stopped=()):
        """Check the processes after the clients have left."""
        for gateway in self.gateways:
            if gateway not in stopped:
                assert gateway.process.poll() is None
                assert await self.call(gateway) == 200
                gateway.measure()
            print(
                f"gateway {gateway.number}: peak"
                f" {gateway.peak_bytes / BYTES_PER_MB:.1f} MB,"
                f" {gateway.peak_files} descriptors"
            )
        for gateway in self.gateways:
            assert gateway.peak_bytes <= MEMORY_MB * BYTES_PER_MB
            assert gateway.peak_files <= MAX_FDS


@asynccontextmanager
async def open_site(folder, gateways=1, endpoints=2):
    """Start a site, and end it afterwards."""
    site = SmallSite(folder)
    try:
        await site.start(gateways, endpoints)
        yield site
    finally:
        await site.stop()


def make_head(path, extra=b"", method=b"GET"):
    """Make the head of a request with its own id."""
    return (
        b"%s %s HTTP/1.1\r\nhost: %s\r\nx-request-id: strain-%d\r\n%s\r\n"
        % (method, path, HOST.encode(), next(NUMBERS), extra)
    )


async def send_and_read(
    address: Address, data: list[bytes], read_bytes: int, hold_s: float
):
    """Send pieces of a stream, then read slowly or not at all.

    The gateway may refuse the client or close the connection at any time.

    :param address: the gateway's port.
    :param data: what the client sends.
    :param read_bytes: what it reads at a time; 0 for nothing.
    :param hold_s: time after which it leaves.
    """
    try:
        sock = await connect(address, 5.0)
    except ConnectionBroken:
        return
    try:
        async with curio.ignore_after(hold_s):
            for piece in data:
                await sock.sendall(piece)
            while read_bytes and await sock.recv(read_bytes):
                await curio.sleep(SLOW_READ_S)
            await curio.sleep(hold_s)
    except OSError:
        return
    finally:
        await sock.close()


async def strain(gateway, clients, hold_s=HOLD_S):
    """Run clients at the same time until they have left.

    :param gateway: the gateway that they connect to.
    :param clients: for each client, the pieces that it sends and the number
        of bytes that it reads at a time.
    :param hold_s: time after which they leave.
    """
    address = gateway.find_address(CALLERS)
    async with curio.TaskGroup(wait=all) as group:
        for data, read_bytes in clients:
            await group.spawn(send_and_read, address, data, read_bytes, hold_s)
