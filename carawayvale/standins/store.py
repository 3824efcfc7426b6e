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

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.documents.store import ListedInstance
from carawayvale.documents.store_state import StoreState
from carawayvale.links.http import BadRequest
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import RequestHead
from carawayvale.links.http_server import HttpServer
from carawayvale.links.json_calls import read_json
from carawayvale.links.json_calls import send_json
from carawayvale.links.json_calls import serve_requests
from carawayvale.links.sockets import StreamSocket

MAX_BODY_BYTES = 2_500_000
MAX_WAIT_S = 60.0


@dataclass
class StoreFaults:
    """Faults that a test injects.

    :param down: whether connections are closed without a response.
    :param slow_s: delay of each response in seconds.
    :param lose_answers: number of further writes that take effect but
        get no response.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0


@dataclass(frozen=True)
class StoreCall:
    """One call of the store's interface.

    :param method: HTTP method.
    :param name: path after the prefix of the handler, unquoted.
    :param query: parameters of the query.
    """

    method: str
    name: str
    query: dict[str, str]


StoreHandler = Callable[
    ["StoreServer", HttpServer, StoreCall], Awaitable[None]
]
HANDLERS: dict[tuple[str, str], StoreHandler] = {}


def register_handler(
    method: str, prefix: str
) -> Callable[[StoreHandler], StoreHandler]:
    """Register the handler of a method and a path prefix.

    :param method: HTTP method.
    :param prefix: path up to the name of the key, lease or instance.
    :returns: the decorator.
    """

    def register(handler: StoreHandler) -> StoreHandler:
        HANDLERS[method, prefix] = handler
        return handler

    return register


class StoreServer:
    """HTTP server of a store whose state is a :class:`StoreState`."""

    def __init__(self):
        self.state = StoreState()
        self.faults = StoreFaults()
        self.counts: Counter[str] = Counter()
        self.waiting = 0
        self.changed = curio.Event()

    async def handle(self, sock: StreamSocket) -> None:
        """Serve the requests of one connection until it ends.

        :param sock: the accepted connection.
        """
        await serve_requests(sock, self.handle_request)

    async def handle_request(
        self, http: HttpServer, head: RequestHead
    ) -> None:
        """Handle one call.

        :param http: the connection.
        :param head: method, target and headers of the call.
        :raises BadRequest: if no handler is registered for the call.
        :raises ConnectionBroken: while the fault ``down`` is set.
        """
        path, _, query = head.target.partition("?")
        call = StoreCall(head.method, "", dict(parse_qsl(query)))
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
                call = StoreCall(method, name, call.query)
                await handler(self, http, call)
                return
        raise BadRequest(f"no such call: {head.method} {path}", 404)

    async def notify_watchers(self) -> None:
        """Wake all waiting watch calls, which then check their key again."""
        event, self.changed = self.changed, curio.Event()
        await event.set()


@register_handler("GET", "/v1/keys/")
async def read_key(
    server: StoreServer, http: HttpServer, call: StoreCall
) -> None:
    """Respond with the value and the revision of a key."""
    stored = server.state.read(call.name)
    if stored is None:
        await send_json(http, 404, {"message": "no such key"})
    else:
        await send_json(http, 200, asdict(stored))


@register_handler("PUT", "/v1/keys/")
async def write_key(
    server: StoreServer, http: HttpServer, call: StoreCall
) -> None:
    """Write a key if its revision is the expected one (compare-and-swap)."""
    body = await read_json(http, MAX_BODY_BYTES)
    revision = int(call.query.get("revision", "0"))
    try:
        result = server.state.write(call.name, body["value"], revision)
    except ValueError as error:
        raise BadRequest(str(error), 413) from None
    if result.written:
        await server.notify_watchers()
    if server.faults.lose_answers > 0:
        server.faults.lose_answers -= 1
        raise ConnectionBroken("response lost")
    await send_json(http, 200 if result.written else 409, asdict(result))


@register_handler("GET", "/v1/watch/")
async def watch_key(
    server: StoreServer, http: HttpServer, call: StoreCall
) -> None:
    """Respond when a key has a newer revision or the wait time ends."""
    known_revision = int(call.query.get("after", "0"))
    wait_s = min(MAX_WAIT_S, float(call.query.get("wait", "30")))
    deadline_s = read_boot_clock() + wait_s
    server.waiting += 1
    try:
        while True:
            stored = server.state.read(call.name)
            remaining_s = deadline_s - read_boot_clock()
            if server.faults.down:
                raise ConnectionBroken("store is down")
            if stored is not None and stored.revision > known_revision:
                await send_json(http, 200, {"revision": stored.revision})
                return
            if remaining_s <= 0:
                await http.send_response(204, [], b"")
                return
            await curio.ignore_after(remaining_s, server.changed.wait)
    finally:
        server.waiting -= 1


@register_handler("PUT", "/v1/leases/")
async def claim_lease(
    server: StoreServer, http: HttpServer, call: StoreCall
) -> None:
    """Claim a lease and respond whether the caller holds it."""
    body = await read_json(http, MAX_BODY_BYTES)
    held = server.state.claim_lease(
        call.name, body["holder"], body["ttl_s"], read_boot_clock()
    )
    await send_json(http, 200 if held else 409, {"held": held})


@register_handler("GET", "/v1/instances")
async def list_instances(
    server: StoreServer, http: HttpServer, call: StoreCall
) -> None:
    """Respond with the platform's list of instances."""
    instances = [
        asdict(instance) for instance in server.state.instances.values()
    ]
    await send_json(http, 200, {"instances": instances})


@register_handler("PUT", "/v1/instances/")
async def put_instance(
    server: StoreServer, http: HttpServer, call: StoreCall
) -> None:
    """Add or update an instance in the platform's list."""
    body = await read_json(http, MAX_BODY_BYTES)
    leaving = bool(body["leaving"])
    server.state.instances[call.name] = ListedInstance(call.name, leaving)
    await send_json(http, 200, {})


@register_handler("GET", "/counts")
async def show_counts(
    server: StoreServer, http: HttpServer, call: StoreCall
) -> None:
    """Respond with the numbers of calls and of waiting watch calls."""
    body = {"calls": dict(server.counts), "waiting": server.waiting}
    await send_json(http, 200, body)


@register_handler("PUT", "/faults")
async def set_faults(
    server: StoreServer, http: HttpServer, call: StoreCall
) -> None:
    """Change faults and respond with all faults."""
    body = await read_json(http, MAX_BODY_BYTES)
    fault_names = {fault.name for fault in fields(StoreFaults)}
    if not fault_names.issuperset(body):
        raise BadRequest(f"known faults are {sorted(fault_names)}")
    for name, value in body.items():
        setattr(server.faults, name, value)
    await server.notify_watchers()
    await send_json(http, 200, asdict(server.faults))
