"""Stand-in for a backend server, with a ledger of runs and faults."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections import Counter
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import fields
import random
from urllib.parse import parse_qsl

import curio
from curio.io import Socket
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
from carawayvale.machines.caller_request import parse_cancel_target

MAX_BODY_BYTES = 4096
CHUNK_BYTES = 65536
COLD_REQUESTS = 20
COLD_FACTOR = 4.0
SILENCE_S = 3600.0
MS_PER_S = 1000.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


@dataclass
class BackendFaults:
    """Faults that a test switches on.

    :param mode: name of a registered fault, or empty.
    :param share: share of requests that meet the fault.
    :param delay_s: extra service time in seconds.
    :param draining: whether answers and health say so.
    :param lie_free: reported free slots; negative for the truth.
    """

    mode: str = ""
    share: float = 1.0
    delay_s: float = 0.0
    draining: bool = False
    lie_free: int = -1


@dataclass(frozen=True)
class Work:
    """One request as the backend server runs it."""

    request_id: bytes
    method: str
    path: str
    size: int
    body_hash: str

    def make_body(self) -> bytes:
        """Make the answer's body, which a caller can check.

        :returns: the body; it depends on the request only.
        """
        line = b"%s %s %s %s\n" % (
            self.request_id,
            self.method.encode(),
            self.path.encode(),
            self.body_hash.encode(),
        )
        repeats = self.size // len(line) + 1
        return line if not self.size else (line * repeats)[: self.size]


FaultHandler = Callable[
    ["BackendServer", HttpServer, Work, Headers], Awaitable[None]
]
FAULTS: dict[str, FaultHandler] = {}


def register_fault(mode: str) -> Callable[[FaultHandler], FaultHandler]:
    """Register what a faulty backend server does in place of an answer.

    :param mode: name of the fault.
    :returns: the decorator.
    """

    def register(handler: FaultHandler) -> FaultHandler:
        FAULTS[mode] = handler
        return handler

    return register


class BackendServer:
    """Runs requests in a bounded number of slots.

    :param settings: name, slots and service time.
    :param seed: seed of the choice of faulty requests.
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

    async def handle(self, sock: Socket) -> None:
        """Serve one connection.

        :param sock: the accepted connection.
        """
        await serve_requests(sock, self.answer)

    async def answer(self, http: HttpServer, head: RequestHead) -> None:
        """Answer one request.

        :param http: the connection.
        :param head: the request.
        """
        control = CONTROLS.get((head.method, head.path))
        if control is not None:
            await control(self, http)
        elif head.path.startswith(names.CANCEL_PATH):
            await self._cancel(http, head)
        elif self.in_flight >= self.settings.slots:
            await self._refuse(http, head)
        else:
            await self._run(http, head)

    async def _refuse(self, http: HttpServer, head: RequestHead) -> None:
        request_id = head.find(names.REQUEST_ID) or b""
        self.refused[request_id.decode()] += 1
        marks = [(names.NOT_RUN, names.YES), *self._describe(request_id)]
        await http.send_response(HTTP_UNAVAILABLE, marks, b"no free slot\n")

    async def _run(self, http: HttpServer, head: RequestHead) -> None:
        request_id = head.find(names.REQUEST_ID) or b""
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        self.runs[request_id.decode()] += 1
        self.running[request_id] = await curio.current_task()
        try:
            work = await self._read_work(http, head, request_id)
            await curio.sleep(self._choose_duration())
        except curio.TaskCancelled:
            self.cancelled[request_id.decode()] += 1
            raise
        finally:
            self.in_flight -= 1
            self.running.pop(request_id, None)
        self.served += 1
        mode = self.faults.mode
        faulty = mode and self.random.random() < self.faults.share
        send = FAULTS[mode] if faulty else send_whole
        await send(self, http, work, self._describe(request_id))

    async def _read_work(
        self, http: HttpServer, head: RequestHead, request_id: bytes
    ) -> Work:
        state = xxhash.xxh3_64()
        while piece := await http.read_chunk():
            state.update(piece)
        query = dict(parse_qsl(head.target.partition("?")[2]))
        size = int(query.get("size", "0"))
        digest = state.hexdigest()
        return Work(request_id, head.method, head.path, size, digest)

    def _choose_duration(self) -> float:
        service_s = self.settings.service_ms / MS_PER_S
        if self.settings.cold and self.served < COLD_REQUESTS:
            service_s *= COLD_FACTOR
        return service_s + self.faults.delay_s

    def _describe(self, request_id: bytes) -> Headers:
        slots = self.settings.slots
        used = self.in_flight
        if self.faults.lie_free >= 0:
            used = max(0, slots - self.faults.lie_free)
        marks = [
            (names.REQUEST_ID, request_id),
            (names.LOAD, b"%d/%d" % (used, slots)),
        ]
        if self.faults.draining:
            marks.append((names.DRAINING, names.YES))
        return marks

    async def _cancel(self, http: HttpServer, head: RequestHead) -> None:
        request_id = parse_cancel_target(head.path)
        task = self.running.get(request_id)
        if task is not None:
            await task.cancel(blocking=False)
        await http.send_response(204, [], b"")


async def send_whole(
    server: BackendServer, http: HttpServer, work: Work, marks: Headers
) -> None:
    """Send the whole answer, in pieces if it is long."""
    body = work.make_body()
    length = (names.CONTENT_LENGTH, b"%d" % len(body))
    await http.send_head(HTTP_OK, [*marks, length])
    for start in range(0, len(body), CHUNK_BYTES):
        await http.send_chunk(body[start : start + CHUNK_BYTES])
    await http.finish()


@register_fault("fail")
async def send_error(
    server: BackendServer, http: HttpServer, work: Work, marks: Headers
) -> None:
    """Answer with an internal error."""
    await http.send_response(500, marks, b"internal error\n")


@register_fault("break")
async def break_connection(
    server: BackendServer, http: HttpServer, work: Work, marks: Headers
) -> None:
    """Close the connection without an answer."""
    raise ConnectionBroken("fault")


@register_fault("truncate")
async def send_part(
    server: BackendServer, http: HttpServer, work: Work, marks: Headers
) -> None:
    """Close the connection in the midst of the answer."""
    body = work.make_body()
    length = (names.CONTENT_LENGTH, b"%d" % len(body))
    await http.send_head(HTTP_OK, [*marks, length])
    await http.send_chunk(body[: len(body) // 2])
    raise ConnectionBroken("fault")


@register_fault("cross")
async def send_foreign(
    server: BackendServer, http: HttpServer, work: Work, marks: Headers
) -> None:
    """Send the answer to another request."""
    foreign = Work(
        b"foreign", work.method, work.path, work.size, work.body_hash
    )
    marks = [m for m in marks if m[0] != names.REQUEST_ID]
    marks.append((names.REQUEST_ID, b"foreign"))
    await send_whole(server, http, foreign, marks)


@register_fault("silent")
async def stay_silent(
    server: BackendServer, http: HttpServer, work: Work, marks: Headers
) -> None:
    """Keep the connection open and send nothing more."""
    await curio.sleep(SILENCE_S)


async def show_health(server: BackendServer, http: HttpServer) -> None:
    """Answer a health check."""
    status = HTTP_UNAVAILABLE if server.faults.draining else HTTP_OK
    await send_json(http, status, {"draining": server.faults.draining})


async def show_ledger(server: BackendServer, http: HttpServer) -> None:
    """Show which requests ran, were refused or were cancelled."""
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
    """Switch faults on and off."""
    body = await read_json(http, MAX_BODY_BYTES)
    known = {declared.name for declared in fields(BackendFaults)}
    if not known.issuperset(body):
        raise BadRequest(f"known faults are {sorted(known)}")
    if body.get("mode") and body["mode"] not in FAULTS:
        raise BadRequest(f"known modes are {sorted(FAULTS)}")
    for name, value in body.items():
        setattr(server.faults, name, value)
    await send_json(http, HTTP_OK, asdict(server.faults))


CONTROLS = {
    ("GET", names.HEALTH_PATH): show_health,
    ("GET", "/ledger"): show_ledger,
    ("PUT", "/faults"): set_faults,
}
