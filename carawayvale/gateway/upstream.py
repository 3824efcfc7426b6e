"""One exchange with an endpoint and the judgement of its answer."""

from dataclasses import dataclass
from enum import Enum

import curio

from carawayvale.catalogue.header_names import HeaderNames
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.gateway.server import Request
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.http import ConnectFailed
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import Headers
from carawayvale.links.http import ResponseHead
from carawayvale.links.http_client import HttpClient

MS_PER_S = 1000.0
CONNECT_TIMEOUT_S = 0.5

# Another endpoint answers at the address; the request was not run.
HTTP_MISDIRECTED = 421
HTTP_SERVER_ERROR = 500
MAX_ANSWER_BYTES = 1 << 26

# An endpoint answers at its deadline by itself; this is added for the
# way of that answer.
DEADLINE_MARGIN_S = 0.06

HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


class UpstreamOutcome(Enum):
    """How a request fared at an endpoint or its owner.

    FULL, SPARED and UNUSABLE come from the owner: nothing was sent.
    SPARED: it fails many requests, so sound ones go first. UNSENT:
    no connection. NOT_RUN: the endpoint says so. FAILED: it may have
    run, and there is no usable answer. LATE: it may have run, and the
    time is over.
    """

    ANSWERED = "answered"
    FULL = "full"
    SPARED = "spared"
    UNUSABLE = "unusable"
    UNSENT = "unsent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    LATE = "late"


@dataclass(frozen=True)
class UpstreamResult:
    """The end of one attempt.

    :param outcome: how it ended.
    :param finish_s: for FULL, seconds until it would be answered.
    :param status: status of the endpoint's answer.
    :param headers: its headers, but for those of the connection.
    :param body: its body.
    :param cause: words for the log.
    :param failing: whether the endpoint fails many requests lately.
    :param busy: for FULL, whether any other request would be refused
        as well.
    """

    outcome: UpstreamOutcome
    finish_s: float = 0.0
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    cause: str = ""
    failing: bool = False
    busy: bool = True

    @property
    def is_sound(self) -> bool:
        """Whether it is an answer that reports no error of the server."""
        answered = self.outcome is UpstreamOutcome.ANSWERED
        return answered and self.status < HTTP_SERVER_ERROR


def strip_hop_headers(headers: Headers) -> Headers:
    """Drop the headers that concern one connection only.

    :param headers: all headers.
    :returns: the others.
    """
    named = set(HOP_HEADERS)
    for name, value in headers:
        if name == b"connection":
            named.update(v.strip().lower() for v in value.split(b","))
    return [(n, v) for n, v in headers if n not in named]


class Upstream:
    """Sends requests to one endpoint over kept connections.

    :param dialect: names of headers.
    :param endpoint: the endpoint.
    """

    def __init__(self, dialect: HeaderNames, endpoint: EndpointRecord):
        self.dialect = dialect
        self.endpoint = endpoint
        self.pool = ConnectionPool(endpoint.address)
        self.active: dict[int, HttpClient] = {}

    async def send(
        self, request: Request, left_s: float, idempotent: bool
    ) -> UpstreamResult:
        """Send a request and read its whole answer.

        :param request: the request.
        :param left_s: seconds until the answer is due.
        :param idempotent: whether it may be sent again.
        :returns: the result.
        """
        try:
            client = await self.pool.acquire(
                min(CONNECT_TIMEOUT_S, left_s), not idempotent
            )
        except ConnectFailed as error:
            return UpstreamResult(UpstreamOutcome.UNSENT, cause=str(error))
        keep = False
        token = id(request)
        if idempotent:
            self.active[token] = client
        try:
            async with curio.timeout_after(left_s + DEADLINE_MARGIN_S):
                result = await self._exchange(client, request, left_s)
            keep = result.outcome in (
                UpstreamOutcome.ANSWERED,
                UpstreamOutcome.NOT_RUN,
            )
        except curio.TaskTimeout:
            result = UpstreamResult(
                UpstreamOutcome.LATE, cause="no answer in time"
            )
        except ConnectionBroken as error:
            result = UpstreamResult(UpstreamOutcome.FAILED, cause=str(error))
        finally:
            self.active.pop(token, None)
            if not keep:
                await client.close()
        if keep:
            await self.pool.release(client)
        return result

    def abort(self, request: Request) -> None:
        """End an exchange that may be repeated elsewhere.

        :param request: its request; one that may run only once goes on.
        """
        client = self.active.get(id(request))
        if client is not None:
            client.abort()

    async def _exchange(
        self, client: HttpClient, request: Request, left_s: float
    ) -> UpstreamResult:
        headers = self._make_headers(request, left_s)
        await client.send_request(
            request.method, request.target, headers, request.body
        )
        head = await client.read_head()
        body = await client.read_body(MAX_ANSWER_BYTES)
        return self._judge(request, head, body)

    def _make_headers(self, request: Request, left_s: float) -> Headers:
        dialect = self.dialect
        left_ms = b"%d" % max(1, int(left_s * MS_PER_S))
        replaced = (dialect.deadline_ms, dialect.expected_endpoint)
        kept = strip_hop_headers(list(request.headers))
        headers = [(n, v) for n, v in kept if n not in replaced]
        headers.append((dialect.deadline_ms, left_ms))
        name = self.endpoint.name.encode("latin-1")
        headers.append((dialect.expected_endpoint, name))
        return headers

    def _judge(
        self, request: Request, head: ResponseHead, body: bytes
    ) -> UpstreamResult:
        """Tell whether an answer belongs to the request and is whole."""
        dialect = self.dialect
        if (
            head.find(dialect.not_run) is not None
            or head.status == HTTP_MISDIRECTED
        ):
            return UpstreamResult(
                UpstreamOutcome.NOT_RUN,
                status=head.status,
                headers=tuple(head.headers),
                cause=f"status {head.status}",
            )
        if head.find(dialect.request_id) != request.find(dialect.request_id):
            return UpstreamResult(
                UpstreamOutcome.FAILED, cause="answer of another request"
            )
        if head.find(dialect.stamp) is None:
            return UpstreamResult(
                UpstreamOutcome.FAILED, cause="answer without a stamp"
            )
        if head.find(b"content-encoding") is not None:
            return UpstreamResult(
                UpstreamOutcome.FAILED, cause="body is encoded"
            )
        headers = tuple(strip_hop_headers(list(head.headers)))
        return UpstreamResult(
            UpstreamOutcome.ANSWERED, 0.0, head.status, headers, body
        )
