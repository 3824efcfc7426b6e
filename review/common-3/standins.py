"""Stand-ins of the platform's store and of endpoints, for the cases.

Both run in the process of the case and use the standard library only.
They follow PROTOCOL.md; where it is silent, they behave like a sound store
and a sound endpoint.
"""

import asyncio
import base64
from dataclasses import dataclass
from dataclasses import field
import json
import time
from urllib.parse import parse_qs
from urllib.parse import unquote

PAGE_ITEMS = 50


@dataclass
class Message:
    """One HTTP/1.1 request.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: pairs of lower-case name and value.
    :param body: the whole body.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def find(self, name: str) -> str | None:
        """Find the first value of a header."""
        return next((v for n, v in self.headers if n == name), None)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    message = Message(method, target, headers)
    length = int(message.find("content-length") or 0)
    if length:
        try:
            message.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return message


def encode_response(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} Reason"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """A port whose connections are served one request at a time."""

    def __init__(self):
        self.server: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Open a port; 0 selects a free one."""
        self.server = await asyncio.start_server(self._serve, host, port)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                data = await self.answer(request)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request: Message) -> bytes:
        """Return the encoded response to a request."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the port."""
        if self.server is not None:
            self.server.close()


class Store(Server):
    """The platform's store, without limits on the rates of calls."""

    def __init__(self):
        super().__init__()
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 10
        self.lease_ends: dict[int, float] = {}
        self.lease_ttl: dict[int, float] = {}
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item."""
        self.revision += 1
        row = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created_at": self.items.get(key, {}).get(
                "created_at", self.revision
            ),
            "lease": lease,
        }
        self.items[key] = row
        self._record(row)

    def put_json(self, key: str, value: object) -> None:
        """Write an item as the operator and the endpoints do."""
        self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        """Delete an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._record({"key": key, "rev": self.revision, "tombstone": True})

    def _record(self, row: dict) -> None:
        self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_leases(self) -> None:
        now = time.monotonic()
        for lease, end in list(self.lease_ends.items()):
            if now >= end:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.lease_ends.pop(lease, None)
        for key in [k for k, r in self.items.items() if r["lease"] == lease]:
            self.remove(key)

    async def answer(self, request: Message) -> bytes:
        """Return the response to one call."""
        self._end_leases()
        path, _, query = request.target.partition("?")
        name, _, rest = path[1:].partition("/")
        values = {
            k: v[-1]
            for k, v in parse_qs(query, keep_blank_values=True).items()
        }
        call = CALLS.get((request.method, name))
        if call is None:
            return self._respond(404, {})
        content = json.loads(request.body) if request.body else {}
        status, body = await call(self, values, unquote(rest), content)
        return self._respond(status, body)

    def _respond(self, status: int, body: dict) -> bytes:
        body = {**body, "store_revision": self.revision}
        headers = [("content-type", "application/json"), ("store-era", "1")]
        return encode_response(status, headers, json.dumps(body).encode())

    async def _key(self, values, rest, content):
        row = self.items.get(values.get("key", ""))
        return (200, row) if row else (404, {})

    async def _range(self, values, rest, content):
        prefix, after = values.get("prefix", ""), values.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        rows = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return 200, {"items": rows, "has_more": len(keys) > PAGE_ITEMS}

    async def _watch(self, values, rest, content):
        prefix, after = values.get("prefix", ""), int(values["after"])
        until = time.monotonic() + int(values["wait_ms"]) / 1000
        while True:
            events = [
                row
                for row in self.history
                if row["rev"] > after and row["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _txn(self, values, rest, content):
        for row in content.get("expected", []):
            known = self.items.get(row["key"])
            if (known["rev"] if known else 0) != row["rev"]:
                return 412, {"items": [known] if known else []}
        leases = {row.get("lease", 0) for row in content["writes"]} - {0}
        if not leases <= self.lease_ends.keys():
            return 404, {}
        for row in content["writes"]:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in content.get("deletes", []):
            self.remove(key)
        return 200, {"rev": self.revision}

    async def _lease(self, values, rest, content):
        lease = len(self.lease_ttl) + 1
        ttl = parse_time(content["ttl_time"])
        self.lease_ttl[lease] = ttl
        self.lease_ends[lease] = time.monotonic() + ttl
        return 200, {"lease": lease, "ttl_time": f"{int(ttl * 1000)}ms"}

    async def _keep(self, values, rest, content):
        lease = int(rest)
        if lease not in self.lease_ends:
            return 404, {}
        ttl = self.lease_ttl[lease]
        self.lease_ends[lease] = time.monotonic() + ttl
        return 200, {"lease": lease, "ttl_time": f"{int(ttl * 1000)}ms"}

    async def _end(self, values, rest, content):
        self._end_lease(int(rest))
        return 200, {}


def parse_time(text: str) -> float:
    """Parse a time such as ``1500ms``; returns seconds."""
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text[:-1])


CALLS = {
    ("GET", "kv-key"): Store._key,
    ("GET", "kv-range"): Store._range,
    ("GET", "kv-watch"): Store._watch,
    ("POST", "kv-txn"): Store._txn,
    ("POST", "kv-lease"): Store._lease,
    ("POST", "kv-keep"): Store._keep,
    ("DELETE", "kv-lease-end"): Store._end,
}


@dataclass
class Run:
    """One request that an endpoint has begun to run.

    :param endpoint: id of the endpoint.
    :param request: the request.
    :param at: time of its start, by the steady clock.
    """

    endpoint: str
    request: Message
    at: float = field(default_factory=time.monotonic)


class Endpoint(Server):
    """A sound endpoint that signs its answers.

    :param name: its id.
    :param service: its service.
    :param zone: its zone.
    :param runs: list to which it adds what it runs.
    :param work_s: time that a request takes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        runs: list[Run],
        work_s: float = 0.01,
        slots: int = 5,
    ):
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.runs = runs
        self.work_s = work_s
        self.slots = slots
        self.running = 0
        # A crashed endpoint writes nothing to the store.
        self.crashed = False
        self.seq = 0
        self.born = int(time.time() * 1000)

    def make_entry(self) -> dict:
        """Make its next entry in the store."""
        self.seq += 1
        return {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": "ready", "seq": self.seq, "cold_left": "0ms"},
        }

    async def keep_registered(self, store: Store) -> None:
        """Write its entry each heartbeat until cancelled."""
        while True:
            if not self.crashed:
                store.put_json(f"servers/{self.name}", self.make_entry())
            await asyncio.sleep(1.5)

    async def answer(self, request: Message) -> bytes:
        """Run one request, or answer a health check."""
        load = ("x-server-load", f"{self.running},0,{self.slots}")
        if request.target == "/health":
            headers = [("x-instance-id", self.name), load]
            return encode_response(200, headers, b"")
        request_id = request.find("x-request-id")
        if request_id is None:
            return encode_response(400, [("x-not-executed", "1")], b"")
        echo = ("x-request-id", request_id)
        expected = request.find("x-expect-instance")
        if expected not in (None, self.name):
            return encode_response(421, [echo], b"")
        if self.running >= self.slots:
            headers = [echo, ("x-not-executed", "1"), load]
            return encode_response(503, headers, b"")
        self.runs.append(Run(self.name, request))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        stamp = ("x-server-stamp", f"sig-{self.name}")
        return encode_response(200, [echo, stamp, load], b"done")
