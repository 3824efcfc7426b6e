"""A sink for log lines that never blocks and bounds their number."""

from collections.abc import Callable
import os
import time

# Lines that a process may write each second, and in a burst after a
# quiet time.
LINES_PER_S = 100.0
BURST_LINES = 400.0

# How often the number of lines that were left out is told.
TELL_S = 1.0


class BoundedSink:
    """Writes lines to a descriptor, as many as fit.

    Lines above the rate, and lines that a full pipe does not take, are
    left out and counted; a line tells how many, once a second at most.

    :param descriptor: where to write; it is made non-blocking.
    :param read_clock: reads a steady clock in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        read_clock: Callable[[], float] = time.monotonic,
    ):
        self.descriptor = descriptor
        self.read_clock = read_clock
        self.tokens = BURST_LINES
        self.filled_s = read_clock()
        self.left_out = 0
        self.told_s = self.filled_s - TELL_S
        self.rest = b""
        os.set_blocking(descriptor, False)

    def __call__(self, line: str) -> None:
        """Write a line, or count it as left out.

        :param line: the line with its end.
        """
        if not self._take_token():
            self.left_out += 1
            return
        data = line.encode()
        telling = self.left_out and self.filled_s - self.told_s >= TELL_S
        if telling:
            data += f"event=lines_left_out count={self.left_out}\n".encode()
        if not self._write(data):
            self.left_out += 1
        elif telling:
            self.left_out = 0
            self.told_s = self.filled_s

    def _take_token(self) -> bool:
        now_s = self.read_clock()
        grown = self.tokens + LINES_PER_S * (now_s - self.filled_s)
        self.tokens = min(BURST_LINES, grown)
        self.filled_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _write(self, data: bytes) -> bool:
        """Write whole lines; the end of one that was cut comes first."""
        if self.rest and not self._write_rest():
            return False
        self.rest = data
        self._write_rest()
        if self.rest == data:
            self.rest = b""
            return False
        return True

    def _write_rest(self) -> bool:
        try:
            written = os.write(self.descriptor, self.rest)
        except OSError:
            # A full or closed pipe takes nothing; the line is counted.
            return False
        self.rest = self.rest[written:]
        return not self.rest
