"""Tests of the bounded sink for log lines."""

import os

import loguru

from carawayvale.telemetry.sinks import BoundedSink
from carawayvale.telemetry.sinks import BURST_LINES
from carawayvale.telemetry.sinks import ERROR_LINES
from carawayvale.telemetry.sinks import LINES_PER_S
from carawayvale.telemetry.sinks import REPORT_INTERVAL_S


class SinkHarness:
    """A sink that writes to a pipe, with a clock that tests advance."""

    def __init__(self):
        self.reader, writer = os.pipe()
        self.now_s = 0.0
        self.sink = BoundedSink(writer, lambda: self.now_s)

    def read(self):
        return os.read(self.reader, 1 << 22).decode().splitlines()


class TestBoundedSink:
    def test_writes_lines_unchanged(self):
        harness = SinkHarness()
        harness.sink("a=1\n")
        harness.sink("b=2\n")
        assert harness.read() == ["a=1", "b=2"]

    def test_reports_lines_dropped_above_the_rate(self):
        harness = SinkHarness()
        for _ in range(int(BURST_LINES) + 50):
            harness.sink("a=1\n")
        assert len(harness.read()) == BURST_LINES
        harness.now_s += 1.0
        harness.sink("b=2\n")
        assert harness.read() == ["b=2", "event=lines_left_out count=50"]

    def test_limits_the_rate_over_a_long_time(self):
        harness = SinkHarness()
        for _ in range(5000):
            harness.now_s += 0.001
            harness.sink("a=1\n")
        allowed = BURST_LINES + 5 * LINES_PER_S
        assert len(harness.read()) <= allowed + 5 / REPORT_INTERVAL_S + 1

    def test_a_full_pipe_drops_only_whole_lines_without_blocking(self):
        harness = SinkHarness()
        line = "x" * 1000 + "\n"
        for _ in range(300):
            harness.sink(line)
        assert harness.sink.dropped > 0
        lines = harness.read()
        harness.now_s += 2.0
        harness.sink("end=1\n")
        lines += harness.read()
        joined = "\n".join(lines).replace("x" * 1000, "whole")
        assert "x" not in joined
        assert lines[-1].startswith("event=lines_left_out count=")

    # Guards against the last error of a process that is dropped behind its
    # lines about requests.
    def test_error_is_written_behind_a_burst_of_other_lines(self):
        harness = SinkHarness()
        logger = loguru.logger
        handler = logger.add(harness.sink, format="{message}")
        try:
            for _ in range(int(BURST_LINES) + 50):
                logger.info("a=1")
            for _ in range(int(ERROR_LINES) + 50):
                logger.error("event=failed")
        finally:
            logger.remove(handler)
        lines = harness.read()
        assert lines.count("a=1") == BURST_LINES
        assert lines.count("event=failed") == ERROR_LINES
