"""Writes answers and refusals to callers."""

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
from carawayvale.links.requests import CLOSE
from carawayvale.links.requests import JSON_TYPE
from carawayvale.machines.attempts import Attempt
from carawayvale.machines.node import Node
from carawayvale.machines.requests import CallerRequest
from carawayvale.machines.requests import copy_answer_headers

RELAY_TIMEOUT_S = 10.0
MS_PER_S = 1000


@dataclass(frozen=True)
class AnswerWriter:
    """Passes the answer of one request on to its caller.

    :param node: the instance.
    :param http: the caller's connection.
    :param request: the request.
    """

    node: Node
    http: HttpServer
    request: CallerRequest

    def make_headers(
        self, headers: tuple[tuple[bytes, bytes], ...]
    ) -> Headers:
        """Make the headers of an answer.

        :param headers: headers of the backend server's answer.
        :returns: those that pass through, and the system's own.
        """
        made = copy_answer_headers(headers)
        made.append((names.REQUEST_ID, self.request.request_id))
        made.append((names.SERVED_BY, self.node.me.name.encode()))
        if self.node.draining:
            made.append(CLOSE)
        return made

    async def send_small(self, attempt: Attempt) -> None:
        """Send an answer whose body is at hand.

        :param attempt: the answered attempt.
        :raises ConnectionBroken: if the caller went away.
        """
        head = attempt.head
        headers = self.make_headers(head.headers)
        if self.request.head.method != "HEAD":
            await self.http.send_answer(head.status, headers, attempt.body)
            return
        length = head.find(names.CONTENT_LENGTH) or b"0"
        headers.append((names.CONTENT_LENGTH, length))
        await self.http.send_head(head.status, headers)
        await self.http.finish()

    async def replay(self, outcome: RecordedResponse) -> None:
        """Send the remembered answer of a submission.

        :param outcome: the answer.
        :raises ConnectionBroken: if the caller went away.
        """
        headers = self.make_headers(outcome.headers)
        await self.http.send_answer(outcome.status, headers, outcome.body)

    async def relay(self, pool: ConnectionPool, attempt: Attempt) -> None:
        """Pass a long answer on piece by piece.

        If it ends early, the caller's connection ends without its end
        mark, so that nobody takes a part for the whole.

        :param pool: pool of the connection that the answer comes from.
        :param attempt: the answered attempt.
        :raises ConnectionBroken: if either side went away.
        :raises curio.TaskTimeout: if either side stands still.
        """
        client = attempt.client
        headers = self.make_headers(attempt.head.headers)
        length = attempt.head.find(names.CONTENT_LENGTH)
        if length is not None:
            headers.append((names.CONTENT_LENGTH, length))
        try:
            await self.http.send_head(attempt.head.status, headers)
            while True:
                async with curio.timeout_after(RELAY_TIMEOUT_S):
                    piece = await client.read_chunk()
                    if not piece:
                        break
                    await self.http.send_chunk(piece)
            await self.http.finish()
        except BaseException:
            await client.close()
            raise
        await pool.release(client)


def read_reason(attempt: Attempt) -> Reason | None:
    """Read the reason with which another instance refused.

    :param attempt: the answered attempt.
    :returns: the reason, or None if it is an answer.
    """
    text = attempt.head.find(names.REASON)
    if text is None:
        return None
    try:
        return Reason(text.decode("ascii"))
    except ValueError:
        return Reason.OUTCOME_UNKNOWN


async def send_refusal(
    node: Node, http: HttpServer, refusal: Refusal, request_id: bytes
) -> None:
    """Send a refusal with its reason and whether anything ran.

    :param node: the instance.
    :param http: the caller's connection.
    :param refusal: the refusal.
    :param request_id: id of the request.
    :raises ConnectionBroken: if the answer was already started.
    """
    if not http.can_answer:
        raise ConnectionBroken("answer was already started")
    marks = [
        JSON_TYPE,
        (names.REQUEST_ID, request_id),
        (names.REASON, refusal.reason.value.encode()),
        (names.SERVED_BY, node.me.name.encode()),
    ]
    body = {"reason": refusal.reason.value, "not_run": refusal.not_run}
    if refusal.not_run:
        marks.append((names.NOT_RUN, names.YES))
    if refusal.retry_after_s:
        wait_s = refusal.retry_after_s * node.random.uniform(0.5, 1.5)
        body["retry_after_ms"] = int(wait_s * MS_PER_S)
        whole_s = max(1, round(wait_s))
        marks.append((names.RETRY_AFTER, b"%d" % whole_s))
    if node.draining:
        marks.append(CLOSE)
    data = json.dumps(body).encode()
    await http.send_answer(refusal.status, marks, data)
