"""Handling of operators' calls: health, metrics, state, traces, drain."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
import hashlib
import hmac

from carawayvale.documents.document_updater import DocumentUpdater
from carawayvale.documents.envelope import decode_envelope
from carawayvale.documents.store import StoredValue
from carawayvale.links.http import BadRequest
from carawayvale.links.http import RequestHead
from carawayvale.links.http_server import HttpServer
from carawayvale.links.json_calls import read_body
from carawayvale.links.json_calls import send_json
from carawayvale.links.json_calls import serve_requests
from carawayvale.links.peers import PeerTable
from carawayvale.links.sockets import StreamSocket
from carawayvale.machines.entry_node import EntryNode

MAX_BODY_BYTES = 2_500_000
SIGNATURE_HEADER = b"carawayvale-signature"
METRICS_TYPE = (b"content-type", b"text/plain; version=0.0.4")
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


def sign_document(key: bytes, value: bytes) -> bytes:
    """Sign a document that is sent directly to an instance.

    :param key: the deployment's key.
    :param value: the envelope in its stored form.
    :returns: the value of the signature header.
    """
    digest = hmac.new(key, b"document|" + value, hashlib.sha256)
    return digest.hexdigest().encode("ascii")


@dataclass
class OperatorHandler:
    """HTTP handler for operators: health, metrics, state, traces, drain.

    :param node: state of the instance.
    :param peers: links to other instances.
    :param updater: updater of the document from the store.
    :param drain: function that starts the drain of the instance.
    """

    node: EntryNode
    peers: PeerTable
    updater: DocumentUpdater
    drain: Callable[[], Awaitable[None]]

    async def handle(self, sock: StreamSocket) -> None:
        """Serve the calls of one connection.

        :param sock: the accepted connection.
        """
        await serve_requests(sock, self.handle_request)

    async def handle_request(
        self, http: HttpServer, head: RequestHead
    ) -> None:
        """Respond to one call.

        :param http: the connection.
        :param head: head of the call.
        """
        operation = OPERATIONS.get((head.method, head.path))
        if operation is None:
            known = ", ".join(f"{m} {p}" for m, p in OPERATIONS)
            raise BadRequest(f"no such call; there are {known}", 404)
        await operation(self, http, head)


Operation = Callable[
    [OperatorHandler, HttpServer, RequestHead], Awaitable[None]
]
OPERATIONS: dict[tuple[str, str], Operation] = {}


def register_operation(
    method: str, path: str
) -> Callable[[Operation], Operation]:
    """Register the function that responds to a call.

    :param method: HTTP method of the call.
    :param path: path of the call.
    :returns: the decorator.
    """

    def register(operation: Operation) -> Operation:
        OPERATIONS[method, path] = operation
        return operation

    return register


@register_operation("GET", "/health")
async def show_health(
    handler: OperatorHandler, http: HttpServer, head: RequestHead
) -> None:
    """Report that the process responds."""
    await send_json(http, HTTP_OK, {"healthy": True})


@register_operation("GET", "/ready")
async def show_ready(
    handler: OperatorHandler, http: HttpServer, head: RequestHead
) -> None:
    """Report whether the instance accepts new requests."""
    ready = handler.node.is_ready and not handler.node.draining
    status = HTTP_OK if ready else HTTP_UNAVAILABLE
    await send_json(http, status, {"ready": ready})


@register_operation("GET", "/metrics")
async def show_metrics(
    handler: OperatorHandler, http: HttpServer, head: RequestHead
) -> None:
    """Send all metrics in the Prometheus text format."""
    node = handler.node
    metrics = node.metrics
    metrics.set_gauge("in_flight", "", node.in_flight)
    for name, value in asdict(handler.peers.measure_traffic()).items():
        metrics.set_gauge("peer_traffic", name, value)
    metrics.set_gauge("members", "", len(node.membership.records))
    metrics.set_gauge("revision", "", node.document_replica.revision)
    for name, queue in node.queues.items():
        metrics.set_gauge("waiting", name, queue.dispatcher.waiting)
    for service, budget in node.budgets.items():
        metrics.set_gauge("retry_budget", service, budget.balance)
    await http.send_response(HTTP_OK, [METRICS_TYPE], metrics.format_text())


@register_operation("GET", "/state")
async def show_state(
    handler: OperatorHandler, http: HttpServer, head: RequestHead
) -> None:
    """Send the state of the instance: revision, members, shards and roles."""
    node = handler.node
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
        "name": node.own_record.name,
        "incarnation": node.own_record.incarnation,
        "region": node.own_record.region,
        "revision": node.plan.revision if node.plan else 0,
        "digest": node.document_replica.document.digest.hex(),
        "ready": node.is_ready,
        "draining": node.draining,
        "in_flight": node.in_flight,
        "watcher": node.is_watcher(),
        "store_down": handler.updater.is_store_down,
        "shards": sorted(node.owned_shards),
        "members": members,
        "links": sorted(handler.peers.links),
        "leaving": sorted(node.leaving),
        "traffic": asdict(handler.peers.measure_traffic()),
    }
    await send_json(http, HTTP_OK, body)


@register_operation("GET", "/traces")
async def show_traces(
    handler: OperatorHandler, http: HttpServer, head: RequestHead
) -> None:
    """Send the most recent spans."""
    spans = handler.node.tracing.list_spans()
    await send_json(http, HTTP_OK, {"spans": spans})


@register_operation("POST", "/drain")
async def begin_drain(
    handler: OperatorHandler, http: HttpServer, head: RequestHead
) -> None:
    """Start the drain of the instance."""
    await handler.drain()
    await send_json(http, 202, {"draining": True})


@register_operation("POST", "/document")
async def apply_document(
    handler: OperatorHandler, http: HttpServer, head: RequestHead
) -> None:
    """Apply a signed document, even while the store is unavailable."""
    data = await read_body(http, MAX_BODY_BYTES)
    signature = head.find(SIGNATURE_HEADER) or b""
    expected = sign_document(handler.node.key, data)
    if not hmac.compare_digest(signature, expected):
        raise BadRequest("document is not signed with the key", 403)
    text = data.decode("utf-8", "replace")
    decoded = decode_envelope(text)
    if decoded.is_error():
        raise BadRequest("; ".join(str(finding) for finding in decoded.error))
    await handler.updater.accept_value(
        StoredValue(text, handler.updater.key_revision)
    )
    await send_json(
        http, HTTP_OK, {"revision": handler.node.document_replica.revision}
    )
