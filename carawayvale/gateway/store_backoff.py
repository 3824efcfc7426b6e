"""Pauses after failed calls to the store."""

# More doublings would exceed every longest pause, and in the end a float.
MAX_DOUBLINGS = 16


def find_pause(failures: int, initial_s: float, max_s: float) -> float:
    """Find the pause after a failed call, which doubles with each failure.

    :param failures: number of failed calls in a row before this one.
    :param initial_s: pause after the first failure in seconds.
    :param max_s: longest pause in seconds.
    :returns: seconds.

    >>> find_pause(0, 0.4, 1.6), find_pause(1, 0.4, 1.6)
    (0.4, 0.8)
    >>> find_pause(5000, 0.4, 1.6)
    1.6
    """
    return min(max_s, initial_s * 2 ** min(failures, MAX_DOUBLINGS))
