"""Calls of the command line to entry instances."""

from collections.abc import Iterable
from dataclasses import dataclass
import json
from typing import Any

import curio

from carawayvale.contracts.fields import Address
from carawayvale.links.http import AnswerHead
from carawayvale.links.http import connect
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import Headers
from carawayvale.links.http import HttpClient

TIMEOUT_S = 3.0
MAX_BODY_BYTES = 64_000_000
HOST = (b"host", b"carawayvale")


class Unreachable(ConnectionError):
    """A process did not answer."""


@dataclass(frozen=True)
class Answer:
    """An answer with its body."""

    head: AnswerHead
    body: bytes

    def decode(self) -> Any:
        """Decode a JSON body.

        :returns: the decoded body.
        """
        return json.loads(self.body)


async def send_call(
    address: Address,
    method: str,
    target: str,
    headers: Headers | None = None,
    body: bytes = b"",
    timeout_s: float = TIMEOUT_S,
) -> Answer:
    """Make one call over a new connection.

    :param address: where to send it.
    :param method: HTTP method.
    :param target: path and query.
    :param headers: headers without the length.
    :param body: the body.
    :param timeout_s: longest time in seconds.
    :returns: the answer.
    :raises Unreachable: if there is none in time.
    """
    try:
        async with curio.timeout_after(timeout_s):
            client = HttpClient(await connect(address))
            try:
                listed = headers or [HOST]
                await client.send_request(method, target, listed, body)
                head = await client.read_head()
                return Answer(head, await client.read_body(MAX_BODY_BYTES))
            finally:
                await client.close()
    except (ConnectionBroken, curio.TaskTimeout) as error:
        cause = str(error) or "no answer in time"
        raise Unreachable(f"{address}: {cause}") from None


async def read_state(address: Address) -> Any:
    """Read the state of an entry instance.

    :param address: its port for operators.
    :returns: the decoded state, or None if it does not answer.
    """
    try:
        return (await send_call(address, "GET", "/state")).decode()
    except (Unreachable, ValueError):
        return None


async def read_states(addresses: Iterable[Address]) -> list[Any]:
    """Read the states of several instances at once.

    :param addresses: their ports for operators.
    :returns: the states, None for those that do not answer.
    """
    tasks = [await curio.spawn(read_state, address) for address in addresses]
    return [await task.join() for task in tasks]
