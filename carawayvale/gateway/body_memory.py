"""Bound the memory of the bodies that the connections of a port receive.

A body is kept whole until its request is answered. Each one alone is within
the limits of callers; their sum has to be within the memory of the process.
"""

from collections.abc import Callable
import math

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.process_memory import ProcessMemory

# Fractions of the memory of the process that bodies from callers, and from
# other instances, may take.
CALLER_BODIES_SHARE = 0.2
OWNER_BODIES_SHARE = 0.15

# Bodies up to this size are not counted: the buffers of a connection are
# about as large.
UNCOUNTED_BYTES = 1 << 16

# A body without a stated size is counted in steps of this size.
STEP_BYTES = 1 << 20

# A client that sends less than PROGRESS_BYTES of a body in this time counts
# as one that sends nothing.
CALLER_STALL_S = 1.0
PROGRESS_BYTES = 1 << 16


class BodyMemory:
    """Memory for bodies, as far as it is limited and in use.

    :param limit_bytes: what all bodies together may take; a single larger
        one is admitted while there is no other.
    :param process: memory of the process, of which this is a share.
    :param stall_s: time without progress after which a client counts as one
        that sends nothing.

    >>> memory = BodyMemory(100)
    >>> memory.reserve(60), memory.reserve(60)
    (True, False)
    >>> memory.release(60)
    >>> memory.reserve(150)
    True
    """

    def __init__(
        self,
        limit_bytes: float = float("inf"),
        process: ProcessMemory | None = None,
        stall_s: float = math.inf,
    ):
        self.stall_s = stall_s
        self.holders: set[BodyReservation] = set()
        self.limit_bytes = limit_bytes
        self.process = process or ProcessMemory(0)
        self.used_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve memory, if there is enough.

        :param size: number of bytes.
        :returns: whether they are reserved.
        """
        if self.used_bytes and self.used_bytes + size > self.limit_bytes:
            return False
        if not self.process.reserve(size):
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return reserved memory.

        :param size: number of bytes.
        """
        self.used_bytes -= size
        self.process.release(size)

    def close_stalled(self) -> None:
        """Close the largest holder whose client sends nothing."""
        self.process.close_largest(
            self.holders, BodyReservation.has_stalled, self.stall_s
        )


def ignore_abort() -> None:
    """Do nothing for a body that has no connection."""


def make_body_memory(memory_mb: float) -> BodyMemory:
    """Make the limit of one port of a process.

    :param memory_mb: memory of the process in MB; 0 if it is not limited.
    :returns: the limit.
    """
    process = ProcessMemory(memory_mb)
    return BodyMemory(process.find_share(CALLER_BODIES_SHARE), process)


class BodyReservation:
    """Memory that is reserved for one body while it arrives and is used.

    :param memory: memory of the port.
    :param abort: closes the connection on which the body arrives.
    """

    def __init__(
        self, memory: BodyMemory, abort: Callable[[], None] = ignore_abort
    ):
        self.memory = memory
        self.abort = abort
        self.reserved_bytes = 0
        self.closing = False
        self.progress_s = math.inf
        self.progress_bytes = 0

    def has_stalled(self, since_s: float) -> bool:
        """Tell whether the client has sent nothing for a time.

        :param since_s: start of that time.
        :returns: whether the body has not progressed since then.
        """
        return self.progress_s <= since_s

    def extend(self, arrived_bytes: int, stated_bytes: int | None) -> bool:
        """Reserve what the body needs next.

        :param arrived_bytes: size of what has arrived.
        :param stated_bytes: size of the whole body; None if it is not known.
        :returns: whether it is reserved, or not counted.
        """
        if arrived_bytes >= self.progress_bytes + PROGRESS_BYTES:
            self.progress_bytes = arrived_bytes
            self.progress_s = read_boot_clock()
        admitted = max(UNCOUNTED_BYTES, self.reserved_bytes)
        needed = stated_bytes
        if needed is None:
            needed = arrived_bytes
            if arrived_bytes > admitted:
                needed += STEP_BYTES
        if needed <= admitted:
            return True
        # A wait for memory is no fault of the client.
        self.progress_s = read_boot_clock()
        if not self.memory.reserve(needed - self.reserved_bytes):
            return False
        self.reserved_bytes = needed
        self.memory.holders.add(self)
        return True

    def complete(self) -> None:
        """Note that the whole body has arrived."""
        self.memory.holders.discard(self)

    def release(self) -> None:
        """Return the memory; nothing is reserved after that."""
        self.memory.holders.discard(self)
        self.memory.release(self.reserved_bytes)
        self.reserved_bytes = 0
