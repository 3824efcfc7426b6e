"""Bound the memory of responses from their first byte to their last.

A response is reserved while it is read from an endpoint or an owner, and
until it is written to the connection that its request came from. Each
connection has one holder; under pressure the largest holder whose client
takes nothing is closed.
"""

from collections.abc import Callable

import curio

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.process_memory import ProcessMemory

# Fractions of the memory of the process that responses to callers, and to
# other instances, may take.
CALLER_RESPONSES_SHARE = 0.2
OWNER_RESPONSES_SHARE = 0.1

# Responses of one connection up to this size together are not counted: the
# buffers of the connection are about as large.
UNCOUNTED_BYTES = 1 << 16

# A response without a stated size is counted in steps of this size.
STEP_BYTES = 1 << 20

# Responses are held whole, so all slots of an endpoint that sends bytes
# without end may fill this much memory each.
MAX_RESPONSE_BYTES = 8 << 20

# Fraction of the memory that responses may take that are behind others on
# their connections. The ones before them cannot wait for memory that only
# these would return.
BEHIND_SHARE = 0.5

# Interval at which a response that waits for memory checks for it.
POLL_S = 0.02

# Longest wait of a response for memory.
WAIT_S = 2.0

# Time without progress after which a client counts as one that takes
# nothing. An instance that waits for memory of its own resumes in WAIT_S.
CALLER_STALL_S = 1.0
OWNER_STALL_S = 2 * WAIT_S


class NoMemory(ConnectionError):
    """Error for a response that does not fit in time."""


class ResponseMemory:
    """Memory for the responses to the requests of one port.

    :param process: memory of the process.
    :param share: fraction of it for these responses; a single larger
        response is admitted while there is no other.
    :param stall_s: time without progress after which a client counts as
        one that takes nothing.
    """

    def __init__(
        self,
        process: ProcessMemory,
        share: float = CALLER_RESPONSES_SHARE,
        stall_s: float = CALLER_STALL_S,
    ):
        self.process = process
        self.limit_bytes = process.find_share(share)
        self.stall_s = stall_s
        self.used_bytes = 0
        self.holders: set[ConnectionMemory] = set()

    def reserve(self, size: int, first: bool = True) -> bool:
        """Reserve memory, if there is enough.

        :param size: number of bytes.
        :param first: whether the response is the next one of its
            connection.
        :returns: whether they are reserved.
        """
        only = not self.used_bytes
        limit_bytes = self.limit_bytes * (1.0 if first else BEHIND_SHARE)
        if not only and self.used_bytes + size > limit_bytes:
            return False
        # One response at a time is always admitted, so that requests whose
        # bodies take the memory can end.
        if not self.process.reserve(size, required=only):
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
        """Close the largest holder whose client takes nothing."""
        self.process.close_largest(
            self.holders, ConnectionMemory.has_stalled, self.stall_s
        )


class ConnectionMemory:
    """Memory of the responses of one connection.

    :param memory: memory of the port.
    :param abort: closes the connection at once.
    """

    def __init__(self, memory: ResponseMemory, abort: Callable[[], None]):
        self.memory = memory
        self.abort = abort
        self.held_bytes = 0
        self.reserved_bytes = 0
        self.closing = False
        self.progress_s: float | None = None

    def has_stalled(self, since_s: float) -> bool:
        """Tell whether the client has taken nothing for a time.

        :param since_s: start of that time.
        :returns: whether a response is being written without progress.
        """
        if self.progress_s is None or not self.reserved_bytes:
            return False
        return self.progress_s <= since_s

    def extend(self, size: int, first: bool = True) -> bool:
        """Reserve memory for more bytes.

        :param size: number of bytes.
        :param first: whether they are of the next response.
        :returns: whether they are reserved, or not counted.
        """
        needed = max(0, self.held_bytes + size - UNCOUNTED_BYTES)
        more = needed - self.reserved_bytes
        if more > 0:
            if not self.memory.reserve(more, first):
                return False
            self.reserved_bytes = needed
            self.memory.holders.add(self)
        self.held_bytes += size
        return True

    def reduce(self, size: int) -> None:
        """Return the memory of bytes.

        :param size: number of bytes.
        """
        self.held_bytes -= size
        needed = max(0, self.held_bytes - UNCOUNTED_BYTES)
        self.memory.release(self.reserved_bytes - needed)
        self.reserved_bytes = needed
        if not needed:
            self.memory.holders.discard(self)


class RequestMemory:
    """Memory of what is read for one request, in all its attempts.

    :param holder: memory of the connection of the request.
    """

    def __init__(self, holder: ConnectionMemory):
        self.holder = holder
        self.held_bytes = 0
        self.closed = False
        self.first = False

    async def extend(self, size: int) -> None:
        """Wait for memory for more bytes.

        :param size: number of bytes.
        :raises NoMemory: if there is none in time.
        """
        first, until_s = self.first, read_boot_clock() + WAIT_S
        while not self.closed and not self.holder.extend(size, self.first):
            if self.first and not first:
                first, until_s = True, read_boot_clock() + WAIT_S
            if read_boot_clock() >= until_s:
                memory = self.holder.memory
                memory.process.record("response_dropped", size=size)
                raise NoMemory("no memory for the response")
            self.holder.memory.close_stalled()
            await curio.sleep(POLL_S)
        if self.closed:
            raise NoMemory("the request has ended")
        self.held_bytes += size

    def reduce(self, size: int) -> None:
        """Return the memory of bytes, unless all was returned already.

        :param size: number of bytes.
        """
        if not self.closed:
            self.held_bytes -= size
            self.holder.reduce(size)

    def close(self) -> None:
        """Return all memory; nothing is reserved after that."""
        self.reduce(self.held_bytes)
        self.closed = True


class AttemptMemory:
    """Memory of the response of one attempt while it is read.

    :param account: memory of the request; None if it is not counted.
    """

    def __init__(self, account: RequestMemory | None):
        self.account = account
        self.held_bytes = 0
        self.stated_bytes = 0

    def state(self, length: bytes | None) -> None:
        """Note the size that the head of the response states.

        It is reserved as a whole when the body begins, so that responses
        of a known size do not wait for each other when they have begun.

        :param length: value of ``content-length``; None without one.
        """
        stated = length is not None and length.isdigit()
        stated_bytes = int(length) if stated else 0
        # A larger response is broken off when it exceeds the limit.
        self.stated_bytes = min(stated_bytes, MAX_RESPONSE_BYTES)

    async def make_room(self, needed: int) -> None:
        """Wait for memory for the body up to a size.

        :param needed: number of bytes.
        :raises NoMemory: if there is none in time.
        """
        if self.account is None or needed <= self.held_bytes:
            return
        if self.stated_bytes:
            needed = max(needed, self.stated_bytes)
        elif needed > UNCOUNTED_BYTES:
            needed += STEP_BYTES
        more = needed - self.held_bytes
        await self.account.extend(more)
        self.held_bytes = needed

    def release(self) -> None:
        """Return the memory of a response that is not used."""
        if self.account is not None:
            self.account.reduce(self.held_bytes)
            self.held_bytes = 0
