"""Tests of the bounded sink for log lines."""

import os

from carawayvale.telemetry.sinks import BoundedSink
from carawayvale.telemetry.sinks import BURST_LINES
from carawayvale.telemetry.sinks import LINES_PER_S
from carawayvale.telemetry.sinks import TELL_S


class World:
    """A sink on a pipe, with a clock of its own."""

    def __init__(self):
        self.reader, writer = os.pipe()
        self.now_s = 0.0
        self.sink = BoundedSink(writer, lambda: self.now_s)

    def read(self):
        return os.read(self.reader, 1 << 22).decode().splitlines()


class TestBoundedSink:
    def test_writes_lines_as_they_are(self):
        world = World()
        world.sink("a=1\n")
        world.sink("b=2\n")
        assert world.read() == ["a=1", "b=2"]

    def test_counts_the_lines_above_the_rate(self):
        world = World()
        for _ in range(int(BURST_LINES) + 50):
            world.sink("a=1\n")
        assert len(world.read()) == BURST_LINES
        world.now_s += 1.0
        world.sink("b=2\n")
        assert world.read() == ["b=2", "event=lines_left_out count=50"]

    def test_the_rate_is_bounded_for_good(self):
        world = World()
        for _ in range(5000):
            world.now_s += 0.001
            world.sink("a=1\n")
        allowed = BURST_LINES + 5 * LINES_PER_S
        assert len(world.read()) <= allowed + 5 / TELL_S + 1

    def test_a_full_pipe_blocks_nobody_and_cuts_no_line(self):
        world = World()
        line = "x" * 1000 + "\n"
        for _ in range(300):
            world.sink(line)
        assert world.sink.left_out > 0
        lines = world.read()
        world.now_s += 2.0
        world.sink("end=1\n")
        lines += world.read()
        joined = "\n".join(lines).replace("x" * 1000, "whole")
        assert "x" not in joined
        assert lines[-1].startswith("event=lines_left_out count=")
