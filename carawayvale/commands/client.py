"""HTTP client that the command line uses to call entry instances."""

from collections.abc import Iterable
import json
from typing import Any

import curio

from carawayvale.contracts.address import Address
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.connections import ReceivedResponse
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import Headers

TIMEOUT_S = 3.0
MAX_RESPONSE_BYTES = 64_000_000
HOST_HEADER = (b"host", b"carawayvale")


class Unreachable(ConnectionError):
    """Raised when a process does not respond to a call."""


async def send_call(
    address: Address,
    method: str,
    target: str,
    headers: Headers | None = None,
    body: bytes = b"",
    timeout_s: float = TIMEOUT_S,
) -> ReceivedResponse:
    """Send one HTTP request over a new connection.

    :param address: address to send the request to.
    :param method: HTTP method.
    :param target: path and query.
    :param headers: request headers without the content length; if empty,
        only ``HOST_HEADER`` is sent.
    :param body: body of the request.
    :param timeout_s: maximum time in seconds until the response is complete.
    :returns: the response.
    :raises Unreachable: if no complete response arrives in time.
    """
    call = OutgoingCall(method, target, headers or [HOST_HEADER], body)
    pool = ConnectionPool(address)
    try:
        return await pool.exchange(call, timeout_s, MAX_RESPONSE_BYTES)
    except (ConnectionBroken, curio.TaskTimeout) as error:
        cause = str(error) or "no response before the timeout"
        raise Unreachable(f"{address}: {cause}") from None
    finally:
        await pool.close()


async def read_state(address: Address) -> Any:
    """Read the state of an entry instance.

    :param address: address of the instance's port for operators.
    :returns: the decoded state, or None if the instance does not respond
        or the response is not valid JSON.
    """
    try:
        return json.loads((await send_call(address, "GET", "/state")).body)
    except (Unreachable, ValueError):
        return None


async def read_states(addresses: Iterable[Address]) -> list[Any]:
    """Read the states of several entry instances concurrently.

    :param addresses: addresses of the instances' ports for operators.
    :returns: the state of each instance in the order of the addresses;
        None for each instance whose state cannot be read.
    """
    tasks = [await curio.spawn(read_state, address) for address in addresses]
    return [await task.join() for task in tasks]
