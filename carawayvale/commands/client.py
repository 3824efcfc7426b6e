"""Calls of the command line to entry instances."""

from collections.abc import Iterable
import json
from typing import Any

import curio

from carawayvale.contracts.address import Address
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.connections import Response
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import Headers

TIMEOUT_S = 3.0
MAX_BODY_BYTES = 64_000_000
HOST = (b"host", b"carawayvale")


class Unreachable(ConnectionError):
    """A process did not answer."""


async def send_call(
    address: Address,
    method: str,
    target: str,
    headers: Headers | None = None,
    body: bytes = b"",
    timeout_s: float = TIMEOUT_S,
) -> Response:
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
    call = OutgoingCall(method, target, headers or [HOST], body)
    pool = ConnectionPool(address)
    try:
        return await pool.exchange(call, timeout_s, MAX_BODY_BYTES)
    except (ConnectionBroken, curio.TaskTimeout) as error:
        cause = str(error) or "no answer in time"
        raise Unreachable(f"{address}: {cause}") from None
    finally:
        await pool.close()


async def read_state(address: Address) -> Any:
    """Read the state of an entry instance.

    :param address: its port for operators.
    :returns: the decoded state, or None if it does not answer.
    """
    try:
        return json.loads((await send_call(address, "GET", "/state")).body)
    except (Unreachable, ValueError):
        return None


async def read_states(addresses: Iterable[Address]) -> list[Any]:
    """Read the states of several instances at once.

    :param addresses: their ports for operators.
    :returns: the states, None for those that do not answer.
    """
    tasks = [await curio.spawn(read_state, address) for address in addresses]
    return [await task.join() for task in tasks]
