"""Send a request to an endpoint and classify the response."""

from dataclasses import dataclass
from enum import Enum
from weakref import WeakKeyDictionary

import curio

from carawayvale.catalogue.header_names import HeaderNames
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.headers import HOP_BY_HOP
from carawayvale.contracts.headers import strip_hop_by_hop
from carawayvale.gateway.endpoint_pool import EndpointPool
from carawayvale.gateway.endpoint_pool import ignore_connect
from carawayvale.gateway.endpoint_pool import RecordConnect
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.response_memory import AttemptMemory
from carawayvale.gateway.response_memory import MAX_RESPONSE_BYTES
from carawayvale.gateway.response_memory import NoMemory
from carawayvale.links.http import ConnectFailed
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import ConnectRefused
from carawayvale.links.http import Headers
from carawayvale.links.http import ResponseHead
from carawayvale.links.http_client import HttpClient
from carawayvale.steering.expected_waits import ExpectedWait

MS_PER_S = 1000.0
CONNECT_TIMEOUT_S = 0.5

# Status with which an endpoint refuses a request that was meant for
# another one at its address; the request was not run.
HTTP_MISDIRECTED = 421
HTTP_SERVER_ERROR = 500

# Maximum number of late copies of earlier responses before a response.
MAX_LATE_COPIES = 2

# An endpoint responds at its deadline by itself; this margin covers the
# transfer of that response.
DEADLINE_MARGIN_S = 0.06


class UpstreamOutcome(Enum):
    """Outcome of an attempt at an endpoint or its owner.

    ANSWERED: the endpoint ran the request and its response is usable.
    FULL, SKIPPED and UNUSABLE come from the owner: nothing was sent.
    SKIPPED: the endpoint fails many requests, so healthy endpoints go
    first. UNSENT: no connection to the endpoint could be opened.
    NOT_RUN: the endpoint reports that it did not run the request.
    FAILED: the request may have run, and there is no usable response.
    CRASHED: the endpoint ended while it ran the request. QUARANTINED: the
    request crashes endpoints, and was not sent.
    LATE: the request may have run, and its deadline has passed.
    OWNER_LOST: the connection to the owner broke; the request may have
    run. CANCELLED: the instance that sent the request to its owner, or
    its caller, closed the connection; this is only logged.
    """

    ANSWERED = "answered"
    FULL = "full"
    SKIPPED = "spared"
    UNUSABLE = "unusable"
    UNSENT = "unsent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    CRASHED = "crashed"
    QUARANTINED = "quarantined"
    LATE = "late"
    OWNER_LOST = "owner_lost"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class UpstreamResult:
    """The result of one attempt.

    :param outcome: how the attempt ended.
    :param finish_s: for FULL, seconds until the request would be
        complete; for QUARANTINED, seconds until it may be sent.
    :param status: HTTP status of the endpoint's response.
    :param headers: headers of the response without hop-by-hop headers.
    :param body: body of the response.
    :param cause: description of a failure for the log.
    :param failing: whether the endpoint has failed many requests lately.
    :param busy: for FULL, whether the endpoint would reject any other
        request as well.
    :param disconnected: whether the connection to the endpoint broke.
    :param expected_wait: what the owner expects of the endpoint; None if the
        endpoint reports no pace.
    :param timed_out: whether a timeout of this instance ended the attempt.
    :param no_memory: whether this instance had no memory for the response,
        which says nothing about the endpoint.
    """

    outcome: UpstreamOutcome
    finish_s: float = 0.0
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    cause: str = ""
    failing: bool = False
    busy: bool = True
    disconnected: bool = False
    expected_wait: ExpectedWait | None = None
    no_memory: bool = False
    timed_out: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the endpoint responded without a server error."""
        answered = self.outcome is UpstreamOutcome.ANSWERED
        return answered and self.status < HTTP_SERVER_ERROR


class Upstream:
    """Client of one endpoint with persistent connections.

    :param header_names: names of HTTP headers.
    :param endpoint: the endpoint.
    :param record_connect: records attempts to open a connection.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        endpoint: EndpointRecord,
        record_connect: RecordConnect = ignore_connect,
    ):
        self.header_names = header_names
        self.endpoint = endpoint
        self.pool = EndpointPool(endpoint, record_connect)
        self.abortable: dict[int, set[HttpClient]] = {}
        self.answered_ids: WeakKeyDictionary[HttpClient, bytes | None] = (
            WeakKeyDictionary()
        )

    async def send(
        self, request: Request, remaining_s: float, idempotent: bool
    ) -> UpstreamResult:
        """Send a request and read its whole response.

        :param request: the request.
        :param remaining_s: seconds until the deadline.
        :param idempotent: whether the request may be sent again.
        :returns: the result.
        """
        try:
            client = await self.pool.acquire(
                min(CONNECT_TIMEOUT_S, remaining_s), not idempotent
            )
        except ConnectFailed as error:
            return UpstreamResult(
                UpstreamOutcome.UNSENT,
                cause=str(error),
                timed_out=not isinstance(error, ConnectRefused),
            )
        reusable = False
        hold = AttemptMemory(request.response_memory)
        if idempotent:
            self.abortable.setdefault(id(request), set()).add(client)
        try:
            async with curio.timeout_after(remaining_s + DEADLINE_MARGIN_S):
                result = await self._exchange(
                    client, request, remaining_s, hold
                )
            reusable = result.outcome in (
                UpstreamOutcome.ANSWERED,
                UpstreamOutcome.NOT_RUN,
            )
        except curio.TaskTimeout:
            result = UpstreamResult(
                UpstreamOutcome.LATE, cause="no answer in time", timed_out=True
            )
        except NoMemory as error:
            result = UpstreamResult(
                UpstreamOutcome.FAILED, cause=str(error), no_memory=True
            )
        except ConnectionBroken as error:
            result = UpstreamResult(
                UpstreamOutcome.FAILED, cause=str(error), disconnected=True
            )
        finally:
            self._forget(request, client)
            if not reusable:
                hold.release()
                await client.close()
        if reusable:
            if result.outcome is not UpstreamOutcome.ANSWERED:
                hold.release()
            request_id = request.find(self.header_names.request_id)
            self.answered_ids[client] = request_id
            await self.pool.release(client)
        return result

    def abort(self, request: Request) -> None:
        """Abort the exchanges of an idempotent request.

        The exchange of a request that may run only once continues.

        :param request: the request.
        """
        for client in self.abortable.get(id(request), ()):
            client.abort()

    def _forget(self, request: Request, client: HttpClient) -> None:
        clients = self.abortable.get(id(request), set())
        clients.discard(client)
        if not clients:
            self.abortable.pop(id(request), None)

    async def _exchange(
        self,
        client: HttpClient,
        request: Request,
        remaining_s: float,
        hold: AttemptMemory,
    ) -> UpstreamResult:
        headers = self._make_headers(request, remaining_s)
        await client.send_request(
            request.method, request.target, headers, request.body
        )
        for _ in range(MAX_LATE_COPIES + 1):
            head = await client.read_head()
            hold.release()
            hold.state(head.find(b"content-length"))
            body = await client.read_body(MAX_RESPONSE_BYTES, hold.make_room)
            if not self._is_late_copy(client, request, head):
                break
            if not client.skip_response(request.method):
                break
        return self._classify_response(request, head, body)

    def _is_late_copy(
        self, client: HttpClient, request: Request, head: ResponseHead
    ) -> bool:
        """Tell whether a response repeats the last one on its connection.

        The response to the request follows a late copy.
        """
        id_header = self.header_names.request_id
        request_id = head.find(id_header)
        if request_id is None or request_id == request.find(id_header):
            return False
        return request_id == self.answered_ids.get(client)

    def _make_headers(self, request: Request, remaining_s: float) -> Headers:
        header_names = self.header_names
        remaining_ms = b"%d" % max(1, int(remaining_s * MS_PER_S))
        replaced = (header_names.deadline_ms, header_names.expected_endpoint)
        headers = [
            (name, value)
            for name, value in request.headers
            if name not in replaced and name not in HOP_BY_HOP
        ]
        headers.append((header_names.deadline_ms, remaining_ms))
        name = self.endpoint.name.encode("latin-1")
        headers.append((header_names.expected_endpoint, name))
        return headers

    def _classify_response(
        self, request: Request, head: ResponseHead, body: bytes
    ) -> UpstreamResult:
        """Classify a response by its headers.

        A late copy of an earlier response may arrive on a connection that
        is used again. No response counts, a refusal neither, unless its id
        shows that it belongs to the request. It is usable only if it also
        has a stamp and no encoded body.
        """
        header_names = self.header_names
        if head.find(header_names.request_id) != request.find(
            header_names.request_id
        ):
            return UpstreamResult(
                UpstreamOutcome.FAILED, cause="answer of another request"
            )
        if (
            head.find(header_names.not_run) is not None
            or head.status == HTTP_MISDIRECTED
        ):
            return UpstreamResult(
                UpstreamOutcome.NOT_RUN,
                status=head.status,
                headers=tuple(head.headers),
                cause=f"status {head.status}",
            )
        if head.find(header_names.stamp) is None:
            return UpstreamResult(
                UpstreamOutcome.FAILED, cause="answer without a stamp"
            )
        if head.find(b"content-encoding") is not None:
            return UpstreamResult(
                UpstreamOutcome.FAILED, cause="body is encoded"
            )
        kept = frozenset({header_names.request_id, header_names.stamp})
        headers = tuple(strip_hop_by_hop(head.headers, kept))
        return UpstreamResult(
            UpstreamOutcome.ANSWERED, 0.0, head.status, headers, body
        )
