"""Clocks that are not affected by changes of the wall clock."""

from dataclasses import dataclass
from dataclasses import field
import time


def read_boot_clock() -> float:
    """Read the monotonic clock that includes time spent in suspension.

    :returns: seconds since an arbitrary point in time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True)
class Clock:
    """Clock that counts seconds since the epoch and never jumps.

    It takes the wall clock once, when it is created, and then advances
    with the boot clock. Later changes of the wall clock do not affect
    it.

    :param offset_s: wall clock minus boot clock when the clock was
        created, in seconds.

    >>> clock = Clock()
    >>> clock.read() <= clock.read()
    True
    """

    offset_s: float = field(
        default_factory=lambda: time.time() - read_boot_clock()
    )

    def read(self) -> float:
        """Read the clock.

        :returns: seconds since the epoch.
        """
        return read_boot_clock() + self.offset_s
