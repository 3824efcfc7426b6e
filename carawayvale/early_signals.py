"""Keep the signals that arrive while a process starts.

Until a daemon sets its handlers, SIGHUP would end the process.
"""

import signal

_held: list[int] = []


def hold_signal(number: int) -> None:
    """Keep a signal until the daemon can handle it.

    :param number: number of the signal.
    """
    signal.signal(number, lambda received, frame: _held.append(received))


def take_held_signals() -> list[int]:
    """Take the signals that were kept.

    :returns: their numbers in the order of arrival.
    """
    held = _held.copy()
    _held.clear()
    return held
