"""Measure how far the event loop of a process is behind."""


class LoopLag:
    """Delays with which timers fired lately.

    :param latest_s: delay of the latest timer in seconds.
    :param worst_s: longest delay since the last call of :meth:`take_worst`.
    """

    def __init__(self):
        self.latest_s = 0.0
        self.worst_s = 0.0

    def record(self, delay_s: float) -> None:
        """Record the delay of a timer.

        :param delay_s: seconds between the time for which it was set and
            the time at which its task ran.
        """
        self.latest_s = max(0.0, delay_s)
        self.worst_s = max(self.worst_s, self.latest_s)

    def take_worst(self) -> float:
        """Return the longest delay since the last call, and forget it.

        :returns: seconds.
        """
        worst_s, self.worst_s = self.worst_s, 0.0
        return worst_s
