"""Fakes of the platform's store and of endpoints, for tests."""

import base64
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import json
from urllib.parse import parse_qs

import curio

from carawayvale.contracts.address import Address
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.server import RequestServer
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener

LOOPBACK = "127.0.0.1"
POLL_S = 0.01


def open_port(handle) -> Listener:
    """Open a port on the loopback address.

    :param handle: returns the response to one request.
    :returns: the listener of the port.
    """
    return open_raw_port(RequestServer(handle).serve)


def open_raw_port(serve) -> Listener:
    """Open a port on the loopback address whose connections are not HTTP.

    :param serve: serves one connection.
    :returns: the listener of the port.
    """
    return Listener(open_listener(Address(LOOPBACK, 0)), serve)


def echo_id(request: Request) -> tuple[bytes, bytes]:
    """Make the header that echoes the id of a request.

    :param request: the request.
    :returns: name and value.
    """
    return (b"x-request-id", request.find(b"x-request-id") or b"")


@dataclass(frozen=True)
class StoreCopy:
    """Copy of a store's contents from which it may return.

    :param items: rows of the present items by key.
    :param revision: revision of the latest change.
    :param leases: number of leases that were opened.
    """

    items: dict[str, dict]
    revision: int
    leases: int


@dataclass
class FakeStore:
    """In-memory implementation of the store's calls.

    :param items: rows of the present items by key.
    :param history: rows of all changes that are kept, deletions included.
    :param revision: revision of the latest change.
    :param history_start: revision up to which changes are dropped.
    :param leases: number of leases that were opened.
    :param open_leases: numbers of the leases that have not ended.
    :param era: number that the store sends in all responses; it rises when
        the store returns from a copy.
    :param calls: method and path of each call.
    :param status: HTTP status of each response; 200 for normal responses.
    :param unresponsive: whether calls get no response.
    """

    items: dict[str, dict] = field(default_factory=dict)
    history: list[dict] = field(default_factory=list)
    revision: int = 10
    history_start: int = 0
    leases: int = 0
    open_leases: set[int] = field(default_factory=set)
    era: int = 1
    calls: list[str] = field(default_factory=list)
    status: int = 200
    unresponsive: bool = False

    def put(self, key, value, lease=0):
        """Write an item as another client of the store would."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        row = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created_at": self.revision,
            "lease": lease,
        }
        self.items[key] = row
        self.history.append(row)

    def remove(self, key):
        """Delete an item."""
        self.revision += 1
        del self.items[key]
        row = {"key": key, "rev": self.revision, "tombstone": True}
        self.history.append(row)

    def forget_history(self):
        """Drop all earlier changes from the history."""
        self.history.clear()
        self.history_start = self.revision

    def copy(self) -> StoreCopy:
        """Copy the contents, to return from the copy later."""
        return StoreCopy(dict(self.items), self.revision, self.leases)

    def restore(self, copy: StoreCopy):
        """Return from a copy: later changes and all leases are gone."""
        self.items = {
            key: row for key, row in copy.items.items() if not row["lease"]
        }
        self.revision = self.history_start = copy.revision
        self.history.clear()
        self.leases = copy.leases
        self.open_leases.clear()
        self.era += 1

    async def handle(self, request: Request) -> Response:
        """Return the response to one call, with the era at its end."""
        response = await self._handle(request)
        await self._wait_until_responsive()
        header = (b"store-era", b"%d" % self.era)
        return replace(response, headers=(*response.headers, header))

    async def _wait_until_responsive(self):
        while self.unresponsive:
            await curio.sleep(POLL_S)

    async def _handle(self, request):
        self.calls.append(f"{request.method} {request.path}")
        await self._wait_until_responsive()
        if self.status != 200:
            return Response(self.status)
        query = {k: v[-1] for k, v in parse_qs(request.query).items()}
        name = request.path.split("/")[1]
        return await CALLS[name](self, query, request)

    async def _range(self, query, request):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get("prefix", ""))
            and key > query.get("after", "")
        )
        page = keys[:50]
        return self._make_response(
            items=[self.items[key] for key in page],
            has_more=len(keys) > len(page),
        )

    async def _watch(self, query, request):
        after = int(query["after"])
        wait_s = int(query["wait_ms"]) / 1000
        elapsed_s = 0.0
        while True:
            if not self.history_start <= after <= self.revision:
                return Response(410)
            events = [row for row in self.history if row["rev"] > after]
            if events or elapsed_s >= wait_s:
                return self._make_response(events=events)
            await curio.sleep(POLL_S)
            elapsed_s += POLL_S

    async def _lease(self, query, request):
        self.leases += 1
        self.open_leases.add(self.leases)
        return self._make_response(lease=self.leases, ttl_time="15000ms")

    async def _keep(self, query, request):
        if int(request.path.rpartition("/")[2]) not in self.open_leases:
            return Response(404)
        return self._make_response(ttl_time="15000ms")

    async def _txn(self, query, request):
        body = json.loads(request.body)
        for row in body["expected"]:
            present = self.items.get(row["key"])
            if (present["rev"] if present else 0) != row["rev"]:
                return Response(412, body=b'{"items":[]}')
        leases = {row["lease"] for row in body["writes"]} - {0}
        if not leases <= self.open_leases:
            return Response(404)
        for row in body["writes"]:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row["lease"])
        for key in body["deletes"]:
            if key in self.items:
                self.remove(key)
        return self._make_response(rev=self.revision)

    def _make_response(self, **fields):
        fields["store_revision"] = self.revision
        return Response(200, body=json.dumps(fields).encode())


CALLS = {
    "kv-range": FakeStore._range,
    "kv-watch": FakeStore._watch,
    "kv-lease": FakeStore._lease,
    "kv-keep": FakeStore._keep,
    "kv-txn": FakeStore._txn,
}


@dataclass
class FakeEndpoint:
    """An endpoint that signs its responses.

    :param name: identity of the endpoint.
    :param runs: requests that were run.
    :param service_time_s: time that a request takes, in seconds.
    :param shed: number of next requests to refuse without running them.
    :param fail: number of next requests to fail with status 500.
    :param wrong_ids: number of next responses with a wrong request id.
    :param cancelled: number of requests cancelled while they ran.
    :param cold_ms: cold time reported to health checks, in milliseconds.
    :param rate_limit: text of the rate limit that responses name; empty for
        none.
    :param leaving: whether responses tell that the endpoint is leaving.
    :param retry_after: text of the Retry-After of refusals; empty for none.
    :param refused_s: times at which requests were refused.
    :param load: text of the load report in responses; empty for a report of
        the requests in progress, if ``pace`` is set, and else for none.
    :param pace: reported pace of the machine; 0 for none.
    :param slots: reported number of slots.
    :param running: number of requests in progress, the reported ones of
        others included.
    """

    name: str
    runs: list[Request] = field(default_factory=list)
    service_time_s: float = 0.0
    shed: int = 0
    fail: int = 0
    wrong_ids: int = 0
    cancelled: int = 0
    cold_ms: int = 0
    rate_limit: str = ""
    leaving: bool = False
    retry_after: str = ""
    refused_s: list[float] = field(default_factory=list)
    load: str = ""
    pace: int = 0
    slots: int = 5
    running: int = 0

    async def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        expected = request.find_text(b"x-expect-instance")
        if expected not in ("", self.name):
            return Response(
                421, (echo_id(request), (b"x-instance-id", b"another"))
            )
        if request.path == "/health":
            headers = (
                (b"x-instance-id", self.name.encode()),
                (b"x-cold-ms", b"%d" % self.cold_ms),
                *self._list_loads(),
            )
            return Response(200, headers)
        if self.shed:
            self.shed -= 1
            return self._refuse(request)
        self.runs.append(request)
        self.running += 1
        try:
            await curio.sleep(self.service_time_s)
        except curio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
        status = 200
        if self.fail:
            self.fail -= 1
            status = 500
        id_field = echo_id(request)
        if self.wrong_ids:
            self.wrong_ids -= 1
            id_field = (b"x-request-id", b"of-another")
        headers = (
            id_field,
            (b"x-server-stamp", b"sig-" + self.name.encode()),
            *self._list_notices(),
        )
        return Response(status, headers, b"done by " + self.name.encode())

    def _refuse(self, request):
        """Return the response to a request that does not run."""
        self.refused_s.append(request.arrived_s)
        headers = [
            echo_id(request),
            (b"x-not-executed", b"1"),
            *self._list_notices(),
        ]
        if self.retry_after:
            headers.append((b"retry-after", self.retry_after.encode()))
        return Response(503, tuple(headers))

    def _list_notices(self):
        """List the headers in which the endpoint speaks of itself."""
        if self.rate_limit:
            yield (b"server-limit", self.rate_limit.encode())
        if self.leaving:
            yield (b"server-leaving", b"1")
        yield from self._list_loads()

    def _list_loads(self):
        """List the header with the report of the load, if there is one."""
        load = self.load
        if self.pace and not load:
            load = f"{self.running},0,{self.slots},{self.pace}"
        if load:
            yield (b"x-server-load", load.encode())
