"""Bound the bytes of large bodies that an endpoint holds at one time.

Nothing says how much memory an endpoint has. Until it crashes while it holds
large bodies, there is no limit; a crash sets it to half of what was held.
"""

import math

# Bodies up to this size are not counted.
UNCOUNTED_BYTES = 1 << 16

# A crash at which fewer bytes were held has another cause, and no limit is
# smaller.
MIN_LIMIT_BYTES = 1 << 20

# Fraction of the bytes held at a crash that may be held afterwards, and the
# time without such a crash after which the limit has doubled.
CRASH_FRACTION = 0.5
DOUBLING_S = 30.0


class EndpointBodyLimit:
    """Bytes of large bodies at one endpoint, waiting there or being run.

    >>> limit = EndpointBodyLimit()
    >>> limit.reserve(8 << 20, 0.0), limit.reserve(8 << 20, 0.0)
    (True, True)
    >>> limit.record_crash(1, 16 << 20, 0.0)
    True
    >>> limit.reserve(1 << 20, 0.0)
    False
    """

    def __init__(self):
        self.reserved_bytes = 0
        self.sent_bytes = 0
        self.limit_bytes = math.inf
        self.earlier_bytes = math.inf
        self.crashed_s = 0.0
        self.crashed_ms = 0
        self.crash_bytes = 0

    def find_limit(self, now_s: float) -> float:
        """Find how many bytes the endpoint may hold.

        :param now_s: the time.
        :returns: bytes; infinity without a limit.
        """
        if math.isinf(self.limit_bytes):
            return math.inf
        doublings = (now_s - self.crashed_s) / DOUBLING_S
        # After 32 doublings the limit exceeds any memory.
        return self.limit_bytes * 2.0 ** min(32.0, doublings)

    def reserve(self, size: int, now_s: float) -> bool:
        """Reserve room for a body; a single one is always admitted.

        :param size: size of the body.
        :param now_s: the time.
        :returns: whether the request may be queued.
        """
        if size <= UNCOUNTED_BYTES:
            return True
        if self.reserved_bytes:
            if self.reserved_bytes + size > self.find_limit(now_s):
                return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return the room of a body whose request has ended.

        :param size: size of the body.
        """
        if size > UNCOUNTED_BYTES:
            self.reserved_bytes -= size

    def begin(self, size: int) -> None:
        """Count a body that is sent.

        :param size: size of the body.
        """
        if size > UNCOUNTED_BYTES:
            self.sent_bytes += size

    def end(self, size: int) -> int:
        """Count the end of an exchange.

        :param size: size of the body.
        :returns: bytes that the endpoint held until then.
        """
        held_bytes = self.sent_bytes
        if size > UNCOUNTED_BYTES:
            self.sent_bytes -= size
        return held_bytes

    def record_crash(
        self, started_ms: int, held_bytes: int, now_s: float
    ) -> bool:
        """Lower the limit after a crash that coincides with large bodies.

        All exchanges that a crash ends report it; the one that held most
        counts.

        :param started_ms: start of the process that crashed.
        :param held_bytes: bytes that the endpoint held.
        :param now_s: the time.
        :returns: whether the limit was lowered.
        """
        if held_bytes < MIN_LIMIT_BYTES:
            return False
        if started_ms == self.crashed_ms and held_bytes <= self.crash_bytes:
            return False
        if started_ms != self.crashed_ms:
            self.earlier_bytes = self.find_limit(now_s)
        self.limit_bytes = max(
            MIN_LIMIT_BYTES,
            min(self.earlier_bytes, held_bytes * CRASH_FRACTION),
        )
        self.crashed_s, self.crashed_ms = now_s, started_ms
        self.crash_bytes = held_bytes
        return True
