"""The port for operators: health, metrics, state, traces and drain."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
import hashlib
import hmac

from curio.io import Socket

from carawayvale.documents.document_updater import DocumentUpdater
from carawayvale.documents.envelope import decode_envelope
from carawayvale.documents.store import StoredValue
from carawayvale.links.http import BadRequest
from carawayvale.links.http import RequestHead
from carawayvale.links.http_server import HttpServer
from carawayvale.links.peers import PeerTable
from carawayvale.links.requests import read_body
from carawayvale.links.requests import send_json
from carawayvale.links.requests import serve_requests
from carawayvale.machines.node import Node

MAX_BODY_BYTES = 2_500_000
SIGNATURE = b"carawayvale-signature"
METRICS_TYPE = (b"content-type", b"text/plain; version=0.0.4")
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


def sign_document(key: bytes, value: bytes) -> bytes:
    """Sign a document that is handed to an instance directly.

    :param key: the deployment's key.
    :param value: the envelope as stored.
    :returns: the signature's header value.
    """
    digest = hmac.new(key, b"document|" + value, hashlib.sha256)
    return digest.hexdigest().encode("ascii")


@dataclass
class OperatorPort:
    """Answers operators.

    :param node: the instance.
    :param peers: its links.
    :param watcher: its view of the store.
    :param drain: begins a planned stop.
    """

    node: Node
    peers: PeerTable
    watcher: DocumentUpdater
    drain: Callable[[], Awaitable[None]]

    async def handle(self, sock: Socket) -> None:
        """Serve one connection.

        :param sock: the accepted connection.
        """
        await serve_requests(sock, self.answer)

    async def answer(self, http: HttpServer, head: RequestHead) -> None:
        """Answer one call.

        :param http: the connection.
        :param head: head of the call.
        """
        handler = HANDLERS.get((head.method, head.path))
        if handler is None:
            known = ", ".join(f"{m} {p}" for m, p in HANDLERS)
            raise BadRequest(f"no such call; there are {known}", 404)
        await handler(self, http, head)


Handler = Callable[[OperatorPort, HttpServer, RequestHead], Awaitable[None]]
HANDLERS: dict[tuple[str, str], Handler] = {}


def handle_call(method: str, path: str) -> Callable[[Handler], Handler]:
    """Register the handler of a call.

    :param method: HTTP method.
    :param path: path.
    :returns: the decorator.
    """

    def register(handler: Handler) -> Handler:
        HANDLERS[method, path] = handler
        return handler

    return register


@handle_call("GET", "/health")
async def show_health(
    port: OperatorPort, http: HttpServer, head: RequestHead
) -> None:
    """Tell that the process answers."""
    await send_json(http, HTTP_OK, {"healthy": True})


@handle_call("GET", "/ready")
async def show_ready(
    port: OperatorPort, http: HttpServer, head: RequestHead
) -> None:
    """Tell whether the instance takes new callers."""
    ready = port.node.is_ready and not port.node.draining
    status = HTTP_OK if ready else HTTP_UNAVAILABLE
    await send_json(http, status, {"ready": ready})


@handle_call("GET", "/metrics")
async def show_metrics(
    port: OperatorPort, http: HttpServer, head: RequestHead
) -> None:
    """Show all metrics in the Prometheus text format."""
    node = port.node
    metrics = node.metrics
    metrics.set_gauge("in_flight", "", node.in_flight)
    for name, value in asdict(port.peers.measure_traffic()).items():
        metrics.set_gauge("peer_traffic", name, value)
    metrics.set_gauge("members", "", len(node.membership.records))
    metrics.set_gauge("revision", "", node.keeper.revision)
    for name, queue in node.queues.items():
        metrics.set_gauge("waiting", name, queue.dispatcher.waiting)
    for service, budget in node.budgets.items():
        metrics.set_gauge("retry_budget", service, budget.balance)
    await http.send_answer(HTTP_OK, [METRICS_TYPE], metrics.format_text())


@handle_call("GET", "/state")
async def show_state(
    port: OperatorPort, http: HttpServer, head: RequestHead
) -> None:
    """Show revision, members, shards and roles."""
    node = port.node
    members = [
        {
            "name": record.name,
            "region": record.region,
            "state": record.state.name.lower(),
            "incarnation": record.incarnation,
            "version": record.version,
        }
        for _, record in sorted(node.membership.records.items())
    ]
    body = {
        "name": node.me.name,
        "incarnation": node.me.incarnation,
        "region": node.me.region,
        "revision": node.plan.revision if node.plan else 0,
        "digest": node.keeper.document.digest.hex(),
        "ready": node.is_ready,
        "draining": node.draining,
        "in_flight": node.in_flight,
        "watcher": node.is_watcher(),
        "store_down": port.watcher.is_store_down,
        "shards": sorted(node.shard_of),
        "members": members,
        "links": sorted(port.peers.links),
        "leaving": sorted(node.leaving),
        "traffic": asdict(port.peers.measure_traffic()),
    }
    await send_json(http, HTTP_OK, body)


@handle_call("GET", "/traces")
async def show_traces(
    port: OperatorPort, http: HttpServer, head: RequestHead
) -> None:
    """Show the newest spans."""
    spans = port.node.tracing.list_spans()
    await send_json(http, HTTP_OK, {"spans": spans})


@handle_call("POST", "/drain")
async def begin_drain(
    port: OperatorPort, http: HttpServer, head: RequestHead
) -> None:
    """Begin a planned stop."""
    await port.drain()
    await send_json(http, 202, {"draining": True})


@handle_call("POST", "/document")
async def take_document(
    port: OperatorPort, http: HttpServer, head: RequestHead
) -> None:
    """Take an accepted revision while the store may be down."""
    data = await read_body(http, MAX_BODY_BYTES)
    signature = head.find(SIGNATURE) or b""
    expected = sign_document(port.node.key, data)
    if not hmac.compare_digest(signature, expected):
        raise BadRequest("document is not signed with the key", 403)
    text = data.decode("utf-8", "replace")
    decoded = decode_envelope(text)
    if decoded.is_error():
        raise BadRequest("; ".join(str(f) for f in decoded.error))
    await port.watcher.accept_value(
        StoredValue(text, port.watcher.key_revision)
    )
    await send_json(http, HTTP_OK, {"revision": port.node.keeper.revision})
