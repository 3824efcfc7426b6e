"""Measures what the calls for tokens of quotas cost.

Run ``python -m benchmarks.quota_calls``. One process is both the instance
that asks and the owner, so the processor time of a call is that of both.
Traffic counts the bytes of TCP payload in both directions.
"""

import time

import curio

from carawayvale.contracts.address import Address
from carawayvale.gateway.observer import RequestObserver
from carawayvale.gateway.quota_calls import QuotaCalls
from carawayvale.gateway.server import RequestServer
from carawayvale.gateway.settings import Bounds
from carawayvale.links.connections import ConnectionPools
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.links.membership import Membership
from carawayvale.links.messages import MemberRecord
from carawayvale.steering.quota_buckets import QuotaLimit

CALLS = 3000
HOST = "127.0.0.1"
NAME = "organisation-17"
LIMIT = QuotaLimit(37.5, 112.5)
REQUEST_RATE = 1000.0
FLEETS = (121, 510)


def make_quotas(name, pools, address) -> QuotaCalls:
    """Make the quotas of one instance.

    :param name: name of the instance.
    :param pools: connections to other instances.
    :param address: internal address of the other instance.
    :returns: the quotas.
    """
    port = Address(HOST, 1)
    record = MemberRecord(name, "r", "d", port, port, 1)
    return QuotaCalls(
        Membership(record),
        Bounds(),
        pools,
        lambda _: address,
        RequestObserver(),
    )


async def measure() -> None:
    """Measure calls and print their cost for an instance of each fleet."""
    pools = ConnectionPools()
    owner = make_quotas("e1", pools, Address(HOST, 1))
    server = RequestServer(owner.handle)
    listener = Listener(open_listener(Address(HOST, 0)), server.serve)
    address = listener.address
    asking = make_quotas("e2", pools, address)
    task = await curio.spawn(listener.run, daemon=True)
    value = f"ask;1;0;{LIMIT.rate};{LIMIT.burst}".encode()
    for number in (100, CALLS):
        started_s, cpu_s = time.perf_counter(), time.process_time()
        for _ in range(number):
            grant = await asking._call_for_grant("e1", value, NAME, 1.0)
            assert grant is not None
        took_s = (time.perf_counter() - started_s) / number
        cpu_s = (time.process_time() - cpu_s) / number
    request = (
        f"POST / HTTP/1.1\r\nhost: {address}\r\ncaraway-quota: "
        f"{value.decode()}\r\ncontent-length: {len(NAME)}\r\n\r\n{NAME}"
    )
    answer = (
        "HTTP/1.1 200 OK\r\ncaraway-quota: 1;123456;0.0000;0.0\r\n"
        "content-length: 0\r\n\r\n"
    )
    size = len(request) + len(answer)
    print(f"call: {took_s * 1e3:.2f} ms, {cpu_s * 1e3:.2f} ms of processor")
    print(f"call: {size} bytes")
    for instances in FLEETS:
        # Each request needs a call, except at the owner of its quota.
        calls = REQUEST_RATE * (1 - 1 / instances) / instances
        print(
            f"{instances} instances: {calls:.1f} calls sent and received a "
            f"second, {calls * cpu_s * 100:.2f} % of a core, "
            f"{2 * calls * size:.0f} bytes/s"
        )
    await task.cancel()


if __name__ == "__main__":
    curio.run(measure)
