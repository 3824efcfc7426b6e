"""Checks of endpoints that are ejected or have overdue requests."""

from typing import TYPE_CHECKING

import curio

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import ConnectFailed
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import ConnectRefused
from carawayvale.links.http import ResponseHead
from carawayvale.telemetry.logs import log_event

if TYPE_CHECKING:
    from carawayvale.gateway.owned_endpoint import OwnedEndpoint

CHECK_TIMEOUT_S = 0.5

# The result of a request whose connection broke is held for this check.
CRASH_CHECK_TIMEOUT_S = 0.2
MAX_CHECK_BYTES = 65536


async def check_reachable(owned: "OwnedEndpoint") -> None:
    """Eject an endpoint if it accepts no connection.

    An endpoint that refuses the connection, for example because it has
    too many, may still answer the requests that it runs.

    :param owned: the endpoint.
    """
    started_s = read_boot_clock()
    try:
        client = await owned.upstream.pool.open(CHECK_TIMEOUT_S)
    except ConnectionBroken as error:
        refused = isinstance(error, ConnectRefused)
        if not refused and owned.context.own_delay.was_behind(started_s):
            return
        owned.health.eject(read_boot_clock())
        owned.record_ejection(f"no connection: {error}")
        await owned.upstream.pool.close()
        await owned.notify_waiters()
        if not refused:
            owned.abort_in_flight()
        return
    await client.close()


async def has_crashed(owned: "OwnedEndpoint") -> bool:
    """Tell whether an endpoint ended after a connection to it broke.

    The machine of an endpoint that ended refuses connections. One that does
    not respond may be partitioned. The end of a leaving endpoint is no crash.

    :param owned: the endpoint.
    :returns: whether it ended unexpectedly.
    """
    if owned.is_leaving:
        return False
    try:
        client = await owned.upstream.pool.open(CRASH_CHECK_TIMEOUT_S)
    except ConnectFailed as error:
        return isinstance(error, ConnectRefused)
    await client.close()
    return False


async def restore_reachable(owned: "OwnedEndpoint") -> None:
    """Restore an ejected endpoint if it accepts a connection.

    :param owned: the endpoint.
    """
    try:
        client = await owned.upstream.pool.open(CHECK_TIMEOUT_S)
    except ConnectFailed as error:
        log_event(
            "check_failed",
            "DEBUG",
            endpoint=owned.endpoint.name,
            cause=repr(error),
        )
        return
    await client.close()
    owned.health.record_check(True, read_boot_clock())
    await owned.notify_waiters()


async def check_healthy(owned: "OwnedEndpoint") -> None:
    """Restore an ejected endpoint if its health check passes.

    :param owned: the endpoint.
    """
    name = owned.endpoint.name.encode("latin-1")
    host = str(owned.endpoint.address).encode()
    call = OutgoingCall("GET", owned.service.health_path, [(b"host", host)])
    header_names = owned.context.header_names
    passed = False
    cold_s = 0.0
    owned.stated_limit.record_send(read_boot_clock())
    try:
        response = await owned.upstream.pool.exchange(
            call, CHECK_TIMEOUT_S, MAX_CHECK_BYTES
        )
        head = response.head
        same_name = head.find(header_names.endpoint) == name
        passed = same_name and head.status == 200
        cold_s = parse_cold(head.find(header_names.cold_ms))
        if same_name:
            apply_notice(owned, head)
        else:
            # The response may have been a late copy of an earlier one,
            # and that of the check be still due on the connection.
            await owned.upstream.pool.close()
    except (ConnectionBroken, curio.TaskTimeout) as error:
        log_event(
            "check_failed",
            "DEBUG",
            endpoint=owned.endpoint.name,
            cause=repr(error),
        )
    now_s = read_boot_clock()
    owned.health.record_check(passed, now_s)
    if passed:
        owned.extend_cold(cold_s, now_s)
        log_event(
            "endpoint_restored",
            endpoint=owned.endpoint.name,
            cold_s=cold_s,
        )
        await owned.notify_waiters()


def apply_notice(owned: "OwnedEndpoint", head: ResponseHead) -> None:
    """Apply what an endpoint says of itself in a health check.

    :param owned: the endpoint.
    :param head: status and headers of its response.
    """
    notice = owned.context.notices.record_check(owned.endpoint, head)
    if notice.pause_s:
        owned.pause(notice.pause_s, read_boot_clock())
    if notice.load is not None:
        owned.record_load(notice.load, len(owned.in_flight))


def parse_cold(value: bytes | None) -> float:
    """Parse how long an endpoint stays cold.

    :param value: milliseconds, or None.
    :returns: seconds; 0 if the value is missing or malformed.
    """
    try:
        return max(0.0, float(value) / 1000.0) if value else 0.0
    except ValueError:
        return 0.0
