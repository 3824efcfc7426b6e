"""Tests of the memory of gateway processes with clients that strain it.

Each test starts gateways as real processes. It checks that they live, that
memory and descriptors stay within their settings, and that an ordinary
request is answered afterwards. What the clients get is not checked: they may
be refused or closed.
"""

import signal

import curio
import pytest

from carawayvale.gateway.tests.untrusted_clients import HOLD_S
from carawayvale.gateway.tests.untrusted_clients import make_head
from carawayvale.gateway.tests.untrusted_clients import open_site
from carawayvale.gateway.tests.untrusted_clients import SLOW_READ_BYTES
from carawayvale.gateway.tests.untrusted_clients import strain
from carawayvale.gateway.tests.untrusted_clients import WAIT_S

HEAD_BYTES = 15_800

# Longer than a planned stop, so that its last phases meet the clients too.
STOP_HOLD_S = 8.0
SLOW_READERS = 24
UPLOAD_BYTES = 16_000_000

CHUNKED = b"transfer-encoding: chunked\r\n"
LONG_CHUNK = b"1;" + b"e" * 8_000 + b"\r\nx\r\n"


def make_slow_readers(count):
    """Make clients that read one long response slowly."""
    return [
        ([make_head(b"/slot/long")], SLOW_READ_BYTES) for _ in range(count)
    ]


def make_silent_readers(count, pipelined):
    """Make clients that send requests and read nothing."""
    return [
        ([make_head(b"/slot/long") for _ in range(pipelined)], 0)
        for _ in range(count)
    ]


def make_lines(make_line):
    """Make header lines up to the legal size of a head."""
    lines, number = b"", 0
    while len(lines) + len(line := make_line(number)) < HEAD_BYTES:
        lines += line
        number += 1
    return lines


# Header lines of one head each, by what is odd about them.
ODD_LINES = {
    "short": make_lines(lambda n: b"a%d:1\r\n" % (n % 10)),
    "empty": make_lines(lambda n: b"a:\r\n"),
    "odd": make_lines(lambda n: b"%%!%d: \t\r\n" % (n % 10)),
    "long": b"a: " + b"x" * HEAD_BYTES + b"\r\n",
    "cases": make_lines(lambda n: (b"Xy:1\r\n", b"xY:2\r\n")[n % 2]),
}


def run_site(folder, scenario, **sizes):
    """Run a scenario at a site."""

    async def run():
        async with open_site(folder, **sizes) as site:
            await scenario(site)

    curio.run(run)


class TestResponses:
    # Guards against responses that are held for all readers at once.
    def test_slow_readers_of_long_responses(self, tmp_path):
        async def scenario(site):
            await strain(site.gateways[0], make_slow_readers(SLOW_READERS))
            await site.check()

        run_site(tmp_path, scenario)

    # Guards against pipelined requests that are all served although the
    # client reads nothing.
    def test_unread_responses_to_pipelined_requests(self, tmp_path):
        async def scenario(site):
            await strain(site.gateways[0], make_silent_readers(12, 8))
            await site.check()

        run_site(tmp_path, scenario)

    # Guards against responses that are held at the owner and the entry.
    def test_slow_readers_through_the_hop(self, tmp_path):
        async def scenario(site):
            await strain(site.gateways[0], make_slow_readers(SLOW_READERS))
            await site.check()

        run_site(tmp_path, scenario, gateways=2, endpoints=4)

    # Guards against a stop that hangs, or that exceeds the memory.
    def test_slow_readers_beside_a_planned_stop(self, tmp_path):
        async def scenario(site):
            stopping = site.gateways[0]
            clients = make_slow_readers(SLOW_READERS // 2)
            clients += make_silent_readers(6, 8)
            task = await curio.spawn(strain, stopping, clients, STOP_HOLD_S)
            await curio.sleep(HOLD_S / 4)
            stopping.signal(signal.SIGTERM)
            assert await stopping.wait_end(WAIT_S) == 0
            await task.join()
            await site.check(stopped=(stopping,))

        run_site(tmp_path, scenario, gateways=2)


class TestRequests:
    # Guards against objects for many header lines, which take many times
    # the bytes of the head.
    @pytest.mark.parametrize("kind", list(ODD_LINES))
    def test_many_odd_header_lines(self, tmp_path, kind):
        async def scenario(site):
            clients = [
                (
                    [
                        make_head(b"/slot/work", ODD_LINES[kind])
                        for _ in range(16)
                    ],
                    0,
                )
                for _ in range(24)
            ]
            await strain(site.gateways[0], clients)
            await site.check()

        run_site(tmp_path, scenario)

    # Guards against connections that take all descriptors.
    def test_many_unfinished_heads(self, tmp_path):
        async def scenario(site):
            lines = ODD_LINES["short"]
            clients = [
                ([make_head(b"/slot/x", lines)[:-8]], 0) for _ in range(300)
            ]
            await strain(site.gateways[0], clients)
            await site.check()

        run_site(tmp_path, scenario)

    # Guards against memory for the extensions of chunks.
    def test_small_chunks_with_long_extensions(self, tmp_path):
        async def scenario(site):
            chunks = [LONG_CHUNK] * 400
            clients = [
                ([make_head(b"/book/x", CHUNKED, b"POST"), *chunks], 0)
                for _ in range(24)
            ]
            await strain(site.gateways[0], clients)
            await site.check()

        run_site(tmp_path, scenario)

    # Guards against bodies that are held while an endpoint reads slowly.
    def test_endpoints_that_read_uploads_slowly(self, tmp_path):
        async def scenario(site):
            length = b"content-length: %d\r\n" % UPLOAD_BYTES
            body = b"x" * UPLOAD_BYTES
            clients = [
                ([make_head(b"/book/slow", length, b"POST"), body], 0)
                for _ in range(12)
            ]
            await strain(site.gateways[0], clients)
            await site.check()

        run_site(tmp_path, scenario)
