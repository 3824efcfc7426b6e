"""Tests of structured logging."""

import logging

import curio
from loguru import logger
import pytest

from carawayvale.telemetry.logs import capture_library_logs


@pytest.fixture
def lines():
    """Capture the log lines of a test."""
    captured = []
    sink_id = logger.add(captured.append, format="{level.name} {message}")
    root = logging.getLogger()
    previous = root.level, list(root.handlers)
    capture_library_logs()
    yield captured
    logger.remove(sink_id)
    root.setLevel(previous[0])
    root.handlers[:] = previous[1]


class TestLibraryLogs:
    def test_a_crashed_task_is_logged_as_one_line(self, lines):
        async def crash():
            raise ValueError("broken\nin two")

        async def run():
            task = await curio.spawn(crash)
            await task.wait()

        curio.run(run)
        assert len(lines) == 1
        assert lines[0].startswith("ERROR event=library_report library=curio")
        assert "ValueError" in lines[0] and lines[0].count("\n") == 1

    def test_warnings_are_dropped(self, lines):
        logging.getLogger("curio.kernel").warning("a little late")
        assert lines == []
