"""Tests of what a gateway process imports when it starts."""

import subprocess
import sys

import pytest

LIST_MODULES = """
import sys
from carawayvale.deferred_imports import defer_event_loop
defer_event_loop()
import carawayvale.platform.gateway_command
print(*sys.modules)
"""


@pytest.fixture(scope="class")
def imported() -> frozenset[str]:
    command = [sys.executable, "-c", LIST_MODULES]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return frozenset(done.stdout.split())


class TestImports:
    @pytest.mark.parametrize(
        "name",
        [
            "carawayvale.contracts.document",
            "carawayvale.contracts.sections",
            "carawayvale.contracts.tickets",
            "carawayvale.documents.store",
            "carawayvale.links.document_messages",
            "carawayvale.machines.entry_node",
            "carawayvale.commands.main",
            "expression",
            "asyncio.base_events",
            "opentelemetry",
            "prometheus_client",
            "fire",
        ],
    )
    def test_gateway_does_not_import(self, imported, name):
        assert name not in imported


class TestDeferredEventLoop:
    def test_is_loaded_when_something_of_it_is_used(self):
        code = (
            "from carawayvale.deferred_imports import defer_event_loop\n"
            "defer_event_loop()\n"
            "import asyncio\n"
            "async def work(): return 7\n"
            "assert asyncio.run(work()) == 7\n"
            "import asyncio\n"
            "assert asyncio.run(work()) == 7\n"
        )
        subprocess.run([sys.executable, "-c", code], check=True)

    def test_tells_that_no_event_loop_runs(self):
        code = (
            "from carawayvale.deferred_imports import defer_event_loop\n"
            "defer_event_loop()\n"
            "import asyncio\n"
            "try:\n"
            "    asyncio.get_running_loop()\n"
            "except RuntimeError:\n"
            "    raise SystemExit(3)\n"
        )
        assert subprocess.run([sys.executable, "-c", code]).returncode == 3
