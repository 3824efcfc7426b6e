"""Stand-in for the platform's store: JSON over HTTP, with faults."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections import Counter
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import fields
from urllib.parse import parse_qsl
from urllib.parse import unquote

import curio
from curio.io import Socket

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.documents.store import ListedInstance
from carawayvale.documents.store_state import StoreState
from carawayvale.links.http import BadRequest
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import RequestHead
from carawayvale.links.http_server import HttpServer
from carawayvale.links.requests import read_json
from carawayvale.links.requests import send_json
from carawayvale.links.requests import serve_requests

MAX_BODY_BYTES = 2_500_000
MAX_WAIT_S = 60.0


@dataclass
class StoreFaults:
    """Faults that a test switches on.

    :param down: whether connections are closed without an answer.
    :param slow_s: delay of each answer in seconds.
    :param lose_answers: how many writes take effect unanswered.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0


@dataclass(frozen=True)
class Call:
    """One call: its method, the rest of its path, and its query."""

    method: str
    name: str
    query: dict[str, str]


StoreHandler = Callable[["StoreServer", HttpServer, Call], Awaitable[None]]
HANDLERS: dict[tuple[str, str], StoreHandler] = {}


def handle_call(
    method: str, prefix: str
) -> Callable[[StoreHandler], StoreHandler]:
    """Register the handler of a method and a path prefix.

    :param method: HTTP method.
    :param prefix: path up to the name.
    :returns: the decorator.
    """

    def register(handler: StoreHandler) -> StoreHandler:
        HANDLERS[method, prefix] = handler
        return handler

    return register


class StoreServer:
    """Serves :class:`StoreState` over HTTP."""

    def __init__(self):
        self.cells = StoreState()
        self.faults = StoreFaults()
        self.counts: Counter[str] = Counter()
        self.waiting = 0
        self.changed = curio.Event()

    async def handle(self, sock: Socket) -> None:
        """Serve one connection.

        :param sock: the accepted connection.
        """
        await serve_requests(sock, self.answer)

    async def answer(self, http: HttpServer, head: RequestHead) -> None:
        """Answer one call.

        :param http: the connection.
        :param head: the call.
        :raises ConnectionBroken: while the store is down.
        """
        path, _, query = head.target.partition("?")
        call = Call(head.method, "", dict(parse_qsl(query)))
        is_control = path in ("/faults", "/counts")
        if not is_control:
            self.counts[f"{head.method} {path.split('/')[2]}"] += 1
            if self.faults.slow_s:
                await curio.sleep(self.faults.slow_s)
            if self.faults.down:
                raise ConnectionBroken("store is down")
        for (method, prefix), handler in HANDLERS.items():
            if method == head.method and path.startswith(prefix):
                name = unquote(path[len(prefix) :])
                call = Call(method, name, call.query)
                await handler(self, http, call)
                return
        raise BadRequest(f"no such call: {head.method} {path}", 404)

    async def announce(self) -> None:
        """Wake all waiting watches."""
        event, self.changed = self.changed, curio.Event()
        await event.set()


@handle_call("GET", "/v1/keys/")
async def read_key(server: StoreServer, http: HttpServer, call: Call) -> None:
    """Answer a read."""
    stored = server.cells.read(call.name)
    if stored is None:
        await send_json(http, 404, {"message": "no such key"})
    else:
        await send_json(http, 200, asdict(stored))


@handle_call("PUT", "/v1/keys/")
async def write_key(server: StoreServer, http: HttpServer, call: Call) -> None:
    """Answer a compare-and-swap."""
    body = await read_json(http, MAX_BODY_BYTES)
    revision = int(call.query.get("revision", "0"))
    try:
        result = server.cells.write(call.name, body["value"], revision)
    except ValueError as error:
        raise BadRequest(str(error), 413) from None
    if result.written:
        await server.announce()
    if server.faults.lose_answers > 0:
        server.faults.lose_answers -= 1
        raise ConnectionBroken("answer lost")
    await send_json(http, 200 if result.written else 409, asdict(result))


@handle_call("GET", "/v1/watch/")
async def watch_key(server: StoreServer, http: HttpServer, call: Call) -> None:
    """Answer a watch when the key changes or the wait ends."""
    known = int(call.query.get("after", "0"))
    wait_s = min(MAX_WAIT_S, float(call.query.get("wait", "30")))
    deadline_s = read_boot_clock() + wait_s
    server.waiting += 1
    try:
        while True:
            stored = server.cells.read(call.name)
            left_s = deadline_s - read_boot_clock()
            if server.faults.down:
                raise ConnectionBroken("store is down")
            if stored is not None and stored.revision > known:
                await send_json(http, 200, {"revision": stored.revision})
                return
            if left_s <= 0:
                await http.send_answer(204, [], b"")
                return
            await curio.ignore_after(left_s, server.changed.wait)
    finally:
        server.waiting -= 1


@handle_call("PUT", "/v1/leases/")
async def claim_lease(
    server: StoreServer, http: HttpServer, call: Call
) -> None:
    """Answer a claim of a lease."""
    body = await read_json(http, MAX_BODY_BYTES)
    held = server.cells.claim_lease(
        call.name, body["holder"], body["ttl_s"], read_boot_clock()
    )
    await send_json(http, 200 if held else 409, {"held": held})


@handle_call("GET", "/v1/instances")
async def list_instances(
    server: StoreServer, http: HttpServer, call: Call
) -> None:
    """Answer with the platform's list of instances."""
    listed = [asdict(i) for i in server.cells.instances.values()]
    await send_json(http, 200, {"instances": listed})


@handle_call("PUT", "/v1/instances/")
async def put_instance(
    server: StoreServer, http: HttpServer, call: Call
) -> None:
    """Change the platform's list of instances."""
    body = await read_json(http, MAX_BODY_BYTES)
    leaving = bool(body["leaving"])
    server.cells.instances[call.name] = ListedInstance(call.name, leaving)
    await send_json(http, 200, {})


@handle_call("GET", "/counts")
async def show_counts(
    server: StoreServer, http: HttpServer, call: Call
) -> None:
    """Show how often each call was made and how many watches wait."""
    body = {"calls": dict(server.counts), "waiting": server.waiting}
    await send_json(http, 200, body)


@handle_call("PUT", "/faults")
async def set_faults(
    server: StoreServer, http: HttpServer, call: Call
) -> None:
    """Switch faults on and off."""
    body = await read_json(http, MAX_BODY_BYTES)
    known = {declared.name for declared in fields(StoreFaults)}
    if not known.issuperset(body):
        raise BadRequest(f"known faults are {sorted(known)}")
    for name, value in body.items():
        setattr(server.faults, name, value)
    await server.announce()
    await send_json(http, 200, asdict(server.faults))
