"""Non-blocking, rate-limited sink for log lines."""

from collections.abc import Callable
import logging
import os
import time

# Rate and capacity of a token bucket: the lines that a process may write
# per second, and in one burst after a period with few lines.
LINES_PER_S = 100.0
BURST_LINES = 400.0

# Further lines of a burst for errors alone, so that the last words of a
# process are not dropped behind its lines about requests.
ERROR_LINES = 20.0

# Shortest interval between two reports of the number of dropped lines.
REPORT_INTERVAL_S = 1.0


class BoundedSink:
    """Sink that writes lines to a file descriptor without blocking.

    Lines above the rate limit and lines that a full pipe does not accept
    are dropped and counted. The event ``lines_left_out`` reports the
    number of dropped lines, at most once a second.

    :param descriptor: file descriptor to write to; it is set to
        non-blocking mode.
    :param read_clock: reads a monotonic clock in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        read_clock: Callable[[], float] = time.monotonic,
    ):
        self.descriptor = descriptor
        self.read_clock = read_clock
        self.tokens = BURST_LINES
        self.error_tokens = ERROR_LINES
        self.refilled_s = read_clock()
        self.dropped = 0
        self.reported_s = self.refilled_s - REPORT_INTERVAL_S
        self.unwritten = b""
        os.set_blocking(descriptor, False)

    def __call__(self, line: str) -> None:
        """Write a line, or drop and count it.

        :param line: the line, including its line end; its attribute
            ``record``, which loguru adds, states its level.
        """
        if not self._take_token() and not self._take_error_token(line):
            self.dropped += 1
            return
        data = line.encode()
        report_due = (
            self.dropped
            and self.refilled_s - self.reported_s >= REPORT_INTERVAL_S
        )
        if report_due:
            data += f"event=lines_left_out count={self.dropped}\n".encode()
        if not self._write(data):
            self.dropped += 1
        elif report_due:
            self.dropped = 0
            self.reported_s = self.refilled_s

    def _take_token(self) -> bool:
        now_s = self.read_clock()
        refilled = self.tokens + LINES_PER_S * (now_s - self.refilled_s)
        self.tokens = min(BURST_LINES, refilled)
        if self.tokens == BURST_LINES:
            self.error_tokens = ERROR_LINES
        self.refilled_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _take_error_token(self, line: str) -> bool:
        """Take a token that is kept for errors.

        These tokens come back with those of the other lines.
        """
        record = getattr(line, "record", None)
        if record is None or record["level"].no < logging.ERROR:
            return False
        if self.error_tokens < 1:
            return False
        self.error_tokens -= 1
        return True

    def _write(self, data: bytes) -> bool:
        """Write whole lines, after the rest of a partially written line.

        :param data: the lines.
        :returns: whether the lines were accepted: False if the earlier
            line could not be completed or no byte of the lines was written.
        """
        if self.unwritten and not self._flush_unwritten():
            return False
        self.unwritten = data
        self._flush_unwritten()
        if self.unwritten == data:
            self.unwritten = b""
            return False
        return True

    def _flush_unwritten(self) -> bool:
        try:
            written = os.write(self.descriptor, self.unwritten)
        except OSError:
            # The pipe is full or closed. The caller counts the line as
            # dropped.
            return False
        self.unwritten = self.unwritten[written:]
        return not self.unwritten
