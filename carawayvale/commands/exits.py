"""Exit statuses of the command line."""

from enum import IntEnum
import sys
from typing import NoReturn


class ExitStatus(IntEnum):
    """Exit statuses that scripts can use."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    UNKNOWN = 6


def fail(status: ExitStatus, message: str) -> NoReturn:
    """Print an error on standard error and exit.

    :param status: the exit status.
    :param message: what went wrong, with its place.
    """
    print(message, file=sys.stderr)
    raise SystemExit(int(status))
