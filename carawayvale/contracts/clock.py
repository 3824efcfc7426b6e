"""The process's own clock, which never jumps and counts suspension."""

from dataclasses import dataclass
from dataclasses import field
import time


def read_boot_clock() -> float:
    """Read the monotonic clock that counts suspended time.

    :returns: seconds since an arbitrary moment.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True)
class Clock:
    """Seconds since the epoch as known at the start of the process.

    Later changes of the wall clock do not move it.

    :param offset_s: wall clock less boot clock at the start.

    >>> clock = Clock()
    >>> clock.read() <= clock.read()
    True
    """

    offset_s: float = field(
        default_factory=lambda: time.time() - read_boot_clock()
    )

    def read(self) -> float:
        """Read the clock.

        :returns: seconds.
        """
        return read_boot_clock() + self.offset_s
