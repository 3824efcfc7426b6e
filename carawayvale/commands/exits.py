"""Exit statuses of the command line, and exiting with an error."""

from enum import IntEnum
import sys
from typing import NoReturn


class ExitStatus(IntEnum):
    """Exit status of a command, one for each kind of outcome."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    UNKNOWN = 6


def fail(status: ExitStatus, message: str) -> NoReturn:
    """Print an error message to standard error and exit.

    :param status: the exit status.
    :param message: description of the error and of its location.
    """
    print(message, file=sys.stderr)
    raise SystemExit(int(status))
