"""Responses and refusals to callers."""

from dataclasses import dataclass
import json

import curio

from carawayvale.contracts import headers as names
from carawayvale.contracts.reasons import Reason
from carawayvale.contracts.reasons import Refusal
from carawayvale.contracts.tickets import RecordedResponse
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import Headers
from carawayvale.links.http_server import HttpServer
from carawayvale.links.json_calls import CLOSE
from carawayvale.links.json_calls import JSON_TYPE
from carawayvale.machines.attempts import Attempt
from carawayvale.machines.caller_request import CallerRequest
from carawayvale.machines.caller_request import copy_response_headers
from carawayvale.machines.entry_node import EntryNode

RELAY_STALL_TIMEOUT_S = 10.0
MS_PER_S = 1000


@dataclass(frozen=True)
class ResponseWriter:
    """Writer of the response to one request on the caller's connection.

    :param node: state of the instance.
    :param http: the caller's connection.
    :param request: the request.
    """

    node: EntryNode
    http: HttpServer
    request: CallerRequest

    def make_headers(
        self, headers: tuple[tuple[bytes, bytes], ...]
    ) -> Headers:
        """Make the headers of a response.

        :param headers: headers of the backend server's response.
        :returns: those headers that are passed through, and the headers
            that the instance adds.
        """
        made_headers = copy_response_headers(headers)
        made_headers.append((names.REQUEST_ID, self.request.request_id))
        made_headers.append(
            (names.SERVED_BY, self.node.own_record.name.encode())
        )
        if self.node.draining:
            made_headers.append(CLOSE)
        return made_headers

    async def send_buffered(self, attempt: Attempt) -> None:
        """Send a response whose body is buffered.

        :param attempt: the attempt with the response.
        :raises ConnectionBroken: if the caller closed the connection.
        """
        head = attempt.head
        headers = self.make_headers(head.headers)
        if self.request.head.method != "HEAD":
            await self.http.send_response(head.status, headers, attempt.body)
            return
        length = head.find(names.CONTENT_LENGTH) or b"0"
        headers.append((names.CONTENT_LENGTH, length))
        await self.http.send_head(head.status, headers)
        await self.http.finish()

    async def replay(self, response: RecordedResponse) -> None:
        """Send the recorded response of a submission again.

        :param response: the recorded response.
        :raises ConnectionBroken: if the caller closed the connection.
        """
        headers = self.make_headers(response.headers)
        await self.http.send_response(response.status, headers, response.body)

    async def relay(self, pool: ConnectionPool, attempt: Attempt) -> None:
        """Relay a large response chunk by chunk.

        If the response breaks off, the caller's connection is closed
        without the end of the body, so that the caller can tell that the
        response is incomplete.

        :param pool: pool of the connection that the response comes from.
        :param attempt: the attempt with the response.
        :raises ConnectionBroken: if either side closed its connection.
        :raises curio.TaskTimeout: if either side stalls.
        """
        client = attempt.client
        headers = self.make_headers(attempt.head.headers)
        length = attempt.head.find(names.CONTENT_LENGTH)
        if length is not None:
            headers.append((names.CONTENT_LENGTH, length))
        try:
            await self.http.send_head(attempt.head.status, headers)
            while True:
                async with curio.timeout_after(RELAY_STALL_TIMEOUT_S):
                    chunk = await client.read_chunk()
                    if not chunk:
                        break
                    await self.http.send_chunk(chunk)
            await self.http.finish()
        except BaseException:
            await client.close()
            raise
        await pool.release(client)


def read_refusal_reason(attempt: Attempt) -> Reason | None:
    """Read the reason with which another instance refused a request.

    :param attempt: the attempt with the instance's response.
    :returns: the reason, OUTCOME_UNKNOWN if its code is unknown, or None
        if the response is not a refusal.
    """
    text = attempt.head.find(names.REASON)
    if text is None:
        return None
    try:
        return Reason(text.decode("ascii"))
    except ValueError:
        return Reason.OUTCOME_UNKNOWN


async def send_refusal(
    node: EntryNode, http: HttpServer, refusal: Refusal, request_id: bytes
) -> None:
    """Send a refusal: its reason and whether the request was not run.

    :param node: state of the instance.
    :param http: the caller's connection.
    :param refusal: the refusal.
    :param request_id: id of the request.
    :raises ConnectionBroken: if a response was already started.
    """
    if not http.can_respond:
        raise ConnectionBroken("a response was already started")
    headers = [
        JSON_TYPE,
        (names.REQUEST_ID, request_id),
        (names.REASON, refusal.reason.value.encode()),
        (names.SERVED_BY, node.own_record.name.encode()),
    ]
    body = {"reason": refusal.reason.value, "not_run": refusal.not_run}
    if refusal.not_run:
        headers.append((names.NOT_RUN, names.YES))
    if refusal.retry_after_s:
        wait_s = refusal.retry_after_s * node.random.uniform(0.5, 1.5)
        body["retry_after_ms"] = int(wait_s * MS_PER_S)
        whole_s = max(1, round(wait_s))
        headers.append((names.RETRY_AFTER, b"%d" % whole_s))
    if node.draining:
        headers.append(CLOSE)
    data = json.dumps(body).encode()
    await http.send_response(refusal.status, headers, data)
