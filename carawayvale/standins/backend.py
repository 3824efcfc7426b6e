"""Stand-in for a backend server, with a ledger of requests and faults."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections import Counter
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import fields
import random
from urllib.parse import parse_qsl

import curio
import xxhash

from carawayvale.contracts import headers as names
from carawayvale.contracts.settings import BackendSettings
from carawayvale.links.http import BadRequest
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import Headers
from carawayvale.links.http import RequestHead
from carawayvale.links.http_server import HttpServer
from carawayvale.links.json_calls import read_json
from carawayvale.links.json_calls import send_json
from carawayvale.links.json_calls import serve_requests
from carawayvale.links.sockets import StreamSocket
from carawayvale.machines.caller_request import parse_cancel_target

MAX_BODY_BYTES = 4096
CHUNK_BYTES = 65536

# A cold server multiplies the service time of its first requests.
COLD_REQUESTS = 20
COLD_FACTOR = 4.0

# Time for which the fault ``silent`` keeps a connection open.
SILENCE_S = 3600.0

MS_PER_S = 1000.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


@dataclass
class BackendFaults:
    """Faults that a test injects.

    :param mode: name of a registered fault, or empty for none.
    :param share: share of requests that the fault affects.
    :param delay_s: additional service time in seconds.
    :param draining: whether responses and health checks report that the
        server is draining.
    :param lie_free: number of free slots to report; negative to report
        the true number.
    """

    mode: str = ""
    share: float = 1.0
    delay_s: float = 0.0
    draining: bool = False
    lie_free: int = -1


@dataclass(frozen=True)
class EchoedRequest:
    """Properties of a request that the response body repeats.

    :param request_id: id of the request.
    :param method: HTTP method.
    :param path: path without a query.
    :param size: length of the response body in bytes; 0 for one line.
    :param body_hash: hash of the request body as hexadecimal text.
    """

    request_id: bytes
    method: str
    path: str
    size: int
    body_hash: str

    def make_response_body(self) -> bytes:
        """Make the body of the response, which a caller can verify.

        :returns: the body, which depends on the request only.
        """
        line = b"%s %s %s %s\n" % (
            self.request_id,
            self.method.encode(),
            self.path.encode(),
            self.body_hash.encode(),
        )
        line_count = self.size // len(line) + 1
        return line if not self.size else (line * line_count)[: self.size]


FaultHandler = Callable[
    ["BackendServer", HttpServer, EchoedRequest, Headers], Awaitable[None]
]
FAULT_HANDLERS: dict[str, FaultHandler] = {}


def register_fault(mode: str) -> Callable[[FaultHandler], FaultHandler]:
    """Register a handler that replaces the normal response in a fault mode.

    :param mode: name of the fault mode.
    :returns: the decorator.
    """

    def register(handler: FaultHandler) -> FaultHandler:
        FAULT_HANDLERS[mode] = handler
        return handler

    return register


class BackendServer:
    """Backend server that runs requests in a bounded number of slots.

    :param settings: name, slots and service time of the server.
    :param seed: seed of the random choice of requests that a fault
        affects.
    """

    def __init__(self, settings: BackendSettings, seed: int = 0):
        self.settings = settings
        self.faults = BackendFaults()
        self.random = random.Random(seed)
        self.in_flight = 0
        self.peak = 0
        self.served = 0
        self.runs: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.cancelled: Counter[str] = Counter()
        self.running: dict[bytes, curio.Task] = {}

    async def handle(self, sock: StreamSocket) -> None:
        """Serve the requests of one connection until it ends.

        :param sock: the accepted connection.
        """
        await serve_requests(sock, self.handle_request)

    async def handle_request(
        self, http: HttpServer, head: RequestHead
    ) -> None:
        """Handle one request.

        :param http: the connection.
        :param head: method, target and headers of the request.
        """
        control_handler = CONTROL_HANDLERS.get((head.method, head.path))
        if control_handler is not None:
            await control_handler(self, http)
        elif head.path.startswith(names.CANCEL_PATH):
            await self._cancel(http, head)
        elif self.in_flight >= self.settings.slots:
            await self._refuse(http, head)
        else:
            await self._run(http, head)

    async def _refuse(self, http: HttpServer, head: RequestHead) -> None:
        request_id = head.find(names.REQUEST_ID) or b""
        self.refused[request_id.decode()] += 1
        headers = [(names.NOT_RUN, names.YES), *self._make_headers(request_id)]
        await http.send_response(HTTP_UNAVAILABLE, headers, b"no free slot\n")

    async def _run(self, http: HttpServer, head: RequestHead) -> None:
        request_id = head.find(names.REQUEST_ID) or b""
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        self.runs[request_id.decode()] += 1
        self.running[request_id] = await curio.current_task()
        try:
            request = await self._read_request(http, head, request_id)
            await curio.sleep(self._compute_service_time())
        except curio.TaskCancelled:
            self.cancelled[request_id.decode()] += 1
            raise
        finally:
            self.in_flight -= 1
            self.running.pop(request_id, None)
        self.served += 1
        mode = self.faults.mode
        has_fault = mode and self.random.random() < self.faults.share
        send = FAULT_HANDLERS[mode] if has_fault else send_response
        await send(self, http, request, self._make_headers(request_id))

    async def _read_request(
        self, http: HttpServer, head: RequestHead, request_id: bytes
    ) -> EchoedRequest:
        hasher = xxhash.xxh3_64()
        while chunk := await http.read_chunk():
            hasher.update(chunk)
        query = dict(parse_qsl(head.target.partition("?")[2]))
        size = int(query.get("size", "0"))
        body_hash = hasher.hexdigest()
        return EchoedRequest(
            request_id, head.method, head.path, size, body_hash
        )

    def _compute_service_time(self) -> float:
        service_time_s = self.settings.service_ms / MS_PER_S
        if self.settings.cold and self.served < COLD_REQUESTS:
            service_time_s *= COLD_FACTOR
        return service_time_s + self.faults.delay_s

    def _make_headers(self, request_id: bytes) -> Headers:
        slots = self.settings.slots
        used_slots = self.in_flight
        if self.faults.lie_free >= 0:
            used_slots = max(0, slots - self.faults.lie_free)
        headers = [
            (names.REQUEST_ID, request_id),
            (names.LOAD, b"%d/%d" % (used_slots, slots)),
        ]
        if self.faults.draining:
            headers.append((names.DRAINING, names.YES))
        return headers

    async def _cancel(self, http: HttpServer, head: RequestHead) -> None:
        request_id = parse_cancel_target(head.path)
        task = self.running.get(request_id)
        if task is not None:
            await task.cancel(blocking=False)
        await http.send_response(204, [], b"")


async def send_response(
    server: BackendServer,
    http: HttpServer,
    request: EchoedRequest,
    headers: Headers,
) -> None:
    """Send the whole response, in several chunks if it is long."""
    body = request.make_response_body()
    length = (names.CONTENT_LENGTH, b"%d" % len(body))
    await http.send_head(HTTP_OK, [*headers, length])
    for start in range(0, len(body), CHUNK_BYTES):
        await http.send_chunk(body[start : start + CHUNK_BYTES])
    await http.finish()


@register_fault("fail")
async def send_error(
    server: BackendServer,
    http: HttpServer,
    request: EchoedRequest,
    headers: Headers,
) -> None:
    """Respond with an internal server error."""
    await http.send_response(500, headers, b"internal error\n")


@register_fault("break")
async def break_connection(
    server: BackendServer,
    http: HttpServer,
    request: EchoedRequest,
    headers: Headers,
) -> None:
    """Close the connection without a response."""
    raise ConnectionBroken("fault")


@register_fault("truncate")
async def send_truncated_response(
    server: BackendServer,
    http: HttpServer,
    request: EchoedRequest,
    headers: Headers,
) -> None:
    """Send half of the response body, then close the connection."""
    body = request.make_response_body()
    length = (names.CONTENT_LENGTH, b"%d" % len(body))
    await http.send_head(HTTP_OK, [*headers, length])
    await http.send_chunk(body[: len(body) // 2])
    raise ConnectionBroken("fault")


@register_fault("cross")
async def send_wrong_response(
    server: BackendServer,
    http: HttpServer,
    request: EchoedRequest,
    headers: Headers,
) -> None:
    """Send the response to a different request."""
    other = EchoedRequest(
        b"foreign",
        request.method,
        request.path,
        request.size,
        request.body_hash,
    )
    headers = [header for header in headers if header[0] != names.REQUEST_ID]
    headers.append((names.REQUEST_ID, b"foreign"))
    await send_response(server, http, other, headers)


@register_fault("silent")
async def send_nothing(
    server: BackendServer,
    http: HttpServer,
    request: EchoedRequest,
    headers: Headers,
) -> None:
    """Keep the connection open without sending a response."""
    await curio.sleep(SILENCE_S)


async def show_health(server: BackendServer, http: HttpServer) -> None:
    """Respond to a health check."""
    status = HTTP_UNAVAILABLE if server.faults.draining else HTTP_OK
    await send_json(http, status, {"draining": server.faults.draining})


async def show_ledger(server: BackendServer, http: HttpServer) -> None:
    """Respond with the requests that ran, were refused or were cancelled."""
    body = {
        "runs": dict(server.runs),
        "refused": dict(server.refused),
        "cancelled": dict(server.cancelled),
        "peak": server.peak,
        "in_flight": server.in_flight,
        "served": server.served,
    }
    await send_json(http, HTTP_OK, body)


async def set_faults(server: BackendServer, http: HttpServer) -> None:
    """Change faults and respond with all faults."""
    body = await read_json(http, MAX_BODY_BYTES)
    fault_names = {fault.name for fault in fields(BackendFaults)}
    if not fault_names.issuperset(body):
        raise BadRequest(f"known faults are {sorted(fault_names)}")
    if body.get("mode") and body["mode"] not in FAULT_HANDLERS:
        raise BadRequest(f"known modes are {sorted(FAULT_HANDLERS)}")
    for name, value in body.items():
        setattr(server.faults, name, value)
    await send_json(http, HTTP_OK, asdict(server.faults))


CONTROL_HANDLERS = {
    ("GET", names.HEALTH_PATH): show_health,
    ("GET", "/ledger"): show_ledger,
    ("PUT", "/faults"): set_faults,
}
