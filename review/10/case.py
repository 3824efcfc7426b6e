"""A gateway is suspended while endpoints leave without notice.

Endpoints are replaced. A new one has joined when the gateway that watches the
store is suspended (SIGSTOP), like a machine that loses power or is suspended.
Just after, the entries of three endpoints are removed from the store, as
those of endpoints that never report draining; they go on serving. Without TROUBLE no process is suspended.
"""

import asyncio
from pathlib import Path
import signal
import sys
import time

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from harness import call  # noqa: E402
from harness import CaseNotRun  # noqa: E402
from harness import Endpoint  # noqa: E402
from harness import Fleet  # noqa: E402
from harness import make_configuration  # noqa: E402
from harness import make_request  # noqa: E402
from harness import run_case  # noqa: E402
from harness import Store  # noqa: E402

GATEWAYS = 4
ENDPOINTS = 12
LEAVING = 3
DRAIN_S = 2.5
# Time for a request on its way; later arrivals count.
SLACK_S = 0.05
WATCHER_TIMEOUT_S = 40.0
SUSPENDED_S = 5.0
# Endpoints are replaced: a new one joins this long before the others leave.
JOINED_S = 0.3
CLIENTS = 24


class WatchedStore(Store):
    """Store with one port for each gateway, to tell who watches."""

    def __init__(self):
        super().__init__()
        self.watched_s = {}
        self.addresses = []

    async def open_ports(self, count):
        """Open a port for each gateway."""
        for number in range(count):
            server = await asyncio.start_server(
                lambda r, w, n=number: self._serve_gateway(n, r, w),
                "127.0.0.1",
                0,
            )
            port = server.sockets[0].getsockname()[1]
            self.addresses.append(f"127.0.0.1:{port}")

    async def _serve_gateway(self, number, reader, writer):
        await self._serve(NotingReader(self, number, reader), writer)

    def list_watchers(self, within_s):
        """List the gateways that watched lately."""
        now_s = time.monotonic()
        return [
            n for n, time_s in self.watched_s.items() if now_s - time_s < within_s
        ]


class NotingReader:
    """Reader of a gateway's calls that notes when it watches."""

    def __init__(self, store, number, reader):
        self.store = store
        self.number = number
        self.reader = reader

    async def readuntil(self, separator):
        """Read the head of a call."""
        data = await self.reader.readuntil(separator)
        if data.startswith(b"GET /kv-watch"):
            self.store.watched_s[self.number] = time.monotonic()
        return data

    async def readexactly(self, size):
        """Read the body of a call."""
        return await self.reader.readexactly(size)


async def find_watcher(fleet):
    """Wait until a single gateway watches the store."""
    until_s = time.monotonic() + WATCHER_TIMEOUT_S
    while time.monotonic() < until_s:
        watchers = fleet.store.list_watchers(2.5)
        if len(watchers) == 1:
            return fleet.gateways[watchers[0]]
        await asyncio.sleep(0.2)
    raise CaseNotRun("no single gateway watches the store")


async def send_requests(fleet, number, sent, state):
    """Send requests one after the other to the running gateways."""
    count = 0
    while not state["done"]:
        count += 1
        choices = [g for g in fleet.gateways if g is not state["suspended"]]
        gateway = choices[(number + count) % len(choices)]
        request_id = f"c{number}-{count}"
        data = make_request(
            "GET",
            "/read/a",
            request_id,
            [("X-Deadline-Ms", "2000"), ("Connection", "close")],
        )
        sent_s = time.monotonic()
        try:
            response = await call(gateway.find_address("front"), data, 2.5)
            answer = response.status if response else "closed"
        except (OSError, asyncio.TimeoutError) as error:
            answer = type(error).__name__
        sent[request_id] = (gateway.name, sent_s, answer)
        await asyncio.sleep(0.05)


async def play(record, trouble):
    """Suspend the watcher, remove the entries, and look who gets requests."""
    fleet = Fleet({"ekm-a": "ernakulam"}, ["ekm-a"] * GATEWAYS)
    fleet.store = WatchedStore()
    sent, state = {}, {"done": False, "suspended": None}
    try:
        await fleet.store.open_ports(GATEWAYS)
        for gateway, address in zip(fleet.gateways, fleet.store.addresses):
            gateway.store_address = address
        routes = [
            {"name": "r", "prefix": "/read/", "kind": "safe", "service": "s1"}
        ]
        await fleet.start(
            make_configuration(routes, ["s1"]),
            [Endpoint(f"i-{n}", "s1", "ekm-a") for n in range(ENDPOINTS)],
        )
        watcher = await find_watcher(fleet)
        clients = [
            asyncio.create_task(send_requests(fleet, n, sent, state))
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(3.0)
        record.write(f"{watcher.name} watches the store")
        await fleet.add_endpoint(Endpoint("i-new", "s1", "ekm-a"))
        record.write("the store has acknowledged a new endpoint")
        await asyncio.sleep(JOINED_S)
        if trouble:
            state["suspended"] = watcher
            watcher.process.send_signal(signal.SIGSTOP)
            record.write(f"{watcher.name} is suspended")
        await asyncio.sleep(0.05)
        removed_s = remove_entries(record, fleet)
        await asyncio.sleep(SUSPENDED_S)
        state["done"] = True
        await asyncio.gather(*clients)
        return judge(record, fleet, sent, removed_s)
    finally:
        await fleet.stop()


def remove_entries(record, fleet):
    """Remove the entries of some endpoints; return the time."""
    for endpoint in fleet.endpoints[:LEAVING]:
        fleet.store.remove(f"servers/{endpoint.name}")
        record.write(
            f"the store has removed servers/{endpoint.name},"
            f" revision {fleet.store.revision}"
        )
    return time.monotonic()


def judge(record, fleet, sent, removed_s):
    """Find the requests that reached an endpoint too late."""
    findings = []
    for endpoint in fleet.endpoints[:LEAVING]:
        for run in endpoint.runs:
            after_s = run.started_s - removed_s
            if after_s <= 0:
                continue
            gateway, sent_s, answer = sent.get(
                run.request_id, ("-", removed_s, "-")
            )
            record.write(
                f"{run.request_id} sent to {gateway}"
                f" {sent_s - removed_s:.3f} s after the removal reached"
                f" {endpoint.name} {after_s:.3f} s after it -> {answer}"
            )
            if after_s > DRAIN_S + SLACK_S:
                findings.append(
                    f"DRAIN: {run.request_id} reached {endpoint.name}"
                    f" {after_s:.3f} s after the store had removed it"
                )
    served = sum(answer == 200 for _, _, answer in sent.values())
    record.write(f"{len(sent)} requests sent, {served} answered with 200")
    return findings


run_case(play, HERE / "record.txt")
