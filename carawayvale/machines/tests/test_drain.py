"""Tests of the end of an entry instance's drain."""

from dataclasses import replace

import curio

from carawayvale.links.messages import MemberState
from carawayvale.machines.entry import DEPARTURE_FLUSH_S
from carawayvale.machines.entry import EntryInstance
from carawayvale.machines.tests.harness import DOCUMENT
from carawayvale.machines.tests.harness import KEY
from carawayvale.machines.tests.harness import run_with_harness

POLL_S = 0.01
TIMEOUT_S = 20.0
SHORT_TTL = f"""\
{DOCUMENT}
[deployment:demo]
owner = platform
lookup_ttl_s = 0.5

"""


async def wait_until(condition):
    """Wait until a condition holds."""
    async with curio.timeout_after(TIMEOUT_S):
        while not condition():
            await curio.sleep(POLL_S)


async def start_peer(entry):
    """Start another entry instance that serves beside the first one."""
    own_record = entry.node.own_record
    settings = replace(entry.settings, name="e2", seeds=(own_record.peers,))
    peer = EntryInstance(settings, KEY)
    task = await curio.spawn(peer.run, daemon=True)
    await wait_until(lambda: len(entry.node.membership.list_serving()) == 2)
    return task


def has_departed(entry):
    """Tell whether an entry instance has announced its departure."""
    return entry.node.membership.own_record.state is MemberState.DEAD


class TestDrain:
    def test_request_after_the_departure_is_answered(self):
        """The look-up of its caller is older than its time to live."""

        async def check(harness):
            entry = harness.entry
            task = await start_peer(entry)
            await entry.drain()
            await wait_until(lambda: has_departed(entry))
            await curio.sleep(DEPARTURE_FLUSH_S / 2)
            head, body = await harness.ask("GET", "/late")
            assert head.status == 200
            await wait_until(lambda: entry.drain_s)
            await task.cancel()

        run_with_harness(check, 1000 * DEPARTURE_FLUSH_S, SHORT_TTL)

    def test_drain_ends_at_its_limit_while_requests_keep_coming(self):
        async def check(harness):
            entry = harness.entry
            task = await start_peer(entry)
            await entry.drain()
            async with curio.timeout_after(TIMEOUT_S):
                while not entry.drain_s:
                    await curio.spawn(harness.ask, "GET", "/more", daemon=True)
                    await curio.sleep(0.1)
            limit_s = entry.settings.drain_limit_s
            assert entry.drain_s < limit_s + 2 * DEPARTURE_FLUSH_S
            assert "in flight" in entry.waited_for
            await task.cancel()

        run_with_harness(check, 300, SHORT_TTL, drain_limit_s=4.0)
