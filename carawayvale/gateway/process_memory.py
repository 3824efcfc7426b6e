"""The memory that a process may use for messages, and its log."""

from collections.abc import Callable
from collections.abc import Iterable
import ctypes
import math
from typing import Protocol

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.telemetry.logs import log_event

BYTES_PER_MB = 1_000_000

# Fraction of the memory of the process that all messages may take. The
# interpreter and the tables of the process take about 40 MB; the shares of
# the kinds of messages together are smaller than this fraction.
PROCESS_SHARE = 0.7

# Shortest interval between two log lines of one kind.
LOG_INTERVAL_S = 1.0

# Parameter of glibc's mallopt, and the size from which a block is a mapping
# of its own. By default glibc raises that size to that of any mapping that
# was freed; large blocks are then kept in the heap after they are freed.
M_MMAP_THRESHOLD = -3
MAPPED_BYTES = 1 << 18


class Holder(Protocol):
    """Holder of reserved memory for one connection."""

    closing: bool
    reserved_bytes: int

    def abort(self) -> None:
        """Close the connection at once."""


class ProcessMemory:
    """Memory of the process for messages, as far as it is in use.

    :param memory_mb: memory of the process in MB; 0 if it is not limited.
    :param share: fraction of it for all messages; the shares of the kinds
        of messages change in proportion.

    >>> memory = ProcessMemory(100)
    >>> memory.reserve(60_000_000), memory.reserve(60_000_000)
    (True, False)
    """

    def __init__(self, memory_mb: float, share: float = PROCESS_SHARE):
        self.memory_mb = memory_mb * share / PROCESS_SHARE
        self.limit_bytes = self.find_share(PROCESS_SHARE)
        self.used_bytes = 0
        self.counts: dict[str, int] = {}
        self.logged: dict[str, int] = {}
        self.logged_s: dict[str, float] = {}

    def find_share(self, share: float) -> float:
        """Find the size of a share.

        :param share: fraction of the memory of the process.
        :returns: bytes; infinity if the memory is not limited.
        """
        if not self.memory_mb:
            return math.inf
        return self.memory_mb * BYTES_PER_MB * share

    def reserve(self, size: int, required: bool = False) -> bool:
        """Reserve memory, if there is enough.

        :param size: number of bytes.
        :param required: whether to reserve it in any case.
        :returns: whether they are reserved.
        """
        exceeds = self.used_bytes + size > self.limit_bytes
        if exceeds and self.used_bytes and not required:
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return reserved memory.

        :param size: number of bytes.
        """
        self.used_bytes -= size

    def close_largest(
        self,
        holders: Iterable[Holder],
        has_stalled: Callable[[Holder, float], bool],
        stall_s: float,
    ) -> None:
        """Close the largest holder whose client makes no progress.

        The next one is closed after the memory of this one was returned.

        :param holders: all holders of one kind.
        :param has_stalled: tells whether the client of a holder has made no
            progress since a time.
        :param stall_s: seconds without progress.
        """
        holders = list(holders)
        if any(holder.closing for holder in holders):
            return
        since_s = read_boot_clock() - stall_s
        stalled = [h for h in holders if has_stalled(h, since_s)]
        if not stalled:
            return
        largest = max(stalled, key=lambda h: h.reserved_bytes)
        largest.closing = True
        self.record("client_closed", held_bytes=largest.reserved_bytes)
        largest.abort()

    def record(self, event: str, **fields: object) -> None:
        """Count an event, and log it at most once in LOG_INTERVAL_S.

        :param event: name of the event.
        :param fields: fields of the log line.
        """
        count = self.counts[event] = self.counts.get(event, 0) + 1
        now_s = read_boot_clock()
        if now_s - self.logged_s.get(event, -math.inf) < LOG_INTERVAL_S:
            return
        log_event(
            event,
            "WARNING",
            count=count - self.logged.get(event, 0),
            used_bytes=self.used_bytes,
            **fields,
        )
        self.logged_s[event], self.logged[event] = now_s, count


def map_large_blocks() -> None:
    """Let the allocator return large blocks to the kernel when freed."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
