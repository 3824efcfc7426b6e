"""Bound the memory of the bodies that the connections of a port receive.

A body is kept whole until its request is answered. Each one alone is within
the limits of callers; their sum has to be within the memory of the process.
"""

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


class BodyMemory:
    """Memory for bodies, as far as it is limited and in use.

    :param limit_bytes: what all bodies together may take; a single larger
        one is admitted while there is no other.
    :param process: memory of the process, of which this is a share.

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
    ):
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
    """

    def __init__(self, memory: BodyMemory):
        self.memory = memory
        self.reserved_bytes = 0

    def extend(self, arrived_bytes: int, stated_bytes: int | None) -> bool:
        """Reserve what the body needs next.

        :param arrived_bytes: size of what has arrived.
        :param stated_bytes: size of the whole body; None if it is not known.
        :returns: whether it is reserved, or not counted.
        """
        admitted = max(UNCOUNTED_BYTES, self.reserved_bytes)
        needed = stated_bytes
        if needed is None:
            needed = arrived_bytes
            if arrived_bytes > admitted:
                needed += STEP_BYTES
        if needed <= admitted:
            return True
        if not self.memory.reserve(needed - self.reserved_bytes):
            return False
        self.reserved_bytes = needed
        return True

    def release(self) -> None:
        """Return the memory; nothing is reserved after that."""
        self.memory.release(self.reserved_bytes)
        self.reserved_bytes = 0
