"""Measure the use of the network link of a process.

The queue of the link is not visible to the process. It is derived from what
was sent and from the bandwidth: a leaky bucket that is never limited. What
is received has waited at the other end, so only its rate is known.
"""

import math

BYTES_PER_MEGABIT = 125_000

# Longest queue of the own link at which a large message goes on. Small ones,
# such as heartbeats, quota calls and short responses, wait no longer than
# that and one piece.
MAX_QUEUE_S = 0.05

# A large message is sent in pieces that take the link this long, at least of
# the second size.
PIECE_S = 0.02
MIN_PIECE_BYTES = 1 << 14

# Time over which the rate of received bytes is averaged.
RECEIVE_WINDOW_S = 0.25


class LinkMeter:
    """Bytes sent and received over a link of a known bandwidth.

    :param bandwidth_mbps: bandwidth in each direction in Mbit/s; infinity
        if it is not known.

    >>> meter = LinkMeter(8.0)
    >>> meter.record_sent(500_000, 1.0)
    >>> meter.find_queue(1.0), meter.find_queue(1.2)
    (0.5, 0.3)
    """

    def __init__(self, bandwidth_mbps: float = math.inf):
        self.set_bandwidth(bandwidth_mbps)
        self.sent_bytes = 0
        self.received_bytes = 0
        self._queued_bytes = 0.0
        self._sent_s = 0.0
        self._recent_bytes = 0.0
        self._received_s = 0.0

    def set_bandwidth(self, bandwidth_mbps: float) -> None:
        """Set the bandwidth.

        :param bandwidth_mbps: Mbit/s in each direction, above 0.
        """
        self.bytes_per_s = bandwidth_mbps * BYTES_PER_MEGABIT

    @property
    def piece_bytes(self) -> float:
        """Size of the pieces of a large message; infinity for no limit."""
        return max(MIN_PIECE_BYTES, self.bytes_per_s * PIECE_S)

    def find_pause(self, now_s: float) -> float:
        """Find how long a large message has to wait for smaller ones.

        :param now_s: the time.
        :returns: seconds; 0 if its next piece may be sent.
        """
        return max(0.0, self.find_queue(now_s) - MAX_QUEUE_S)

    def record_sent(self, size: int, now_s: float) -> None:
        """Record bytes that were given to the link.

        :param size: their number.
        :param now_s: the time.
        """
        self.sent_bytes += size
        self._queued_bytes = self._count_queued(now_s) + size
        self._sent_s = now_s

    def record_received(self, size: int, now_s: float) -> None:
        """Record bytes that have arrived.

        :param size: their number.
        :param now_s: the time.
        """
        self.received_bytes += size
        self._recent_bytes = self._count_recent(now_s) + size
        self._received_s = now_s

    def _count_queued(self, now_s: float) -> float:
        if math.isinf(self.bytes_per_s):
            return 0.0
        sent_bytes = (now_s - self._sent_s) * self.bytes_per_s
        return max(0.0, self._queued_bytes - sent_bytes)

    def _count_recent(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self._received_s)
        return self._recent_bytes * math.exp(-age_s / RECEIVE_WINDOW_S)

    def find_queue(self, now_s: float) -> float:
        """Find how long bytes that are sent now wait for the link.

        :param now_s: the time.
        :returns: seconds.
        """
        return round(self._count_queued(now_s) / self.bytes_per_s, 6)

    def find_receive_share(self, now_s: float) -> float:
        """Find the share of the bandwidth that received bytes took lately.

        :param now_s: the time.
        :returns: the share; bursts may exceed 1.
        """
        rate = self._count_recent(now_s) / RECEIVE_WINDOW_S
        return rate / self.bytes_per_s


# Link of the machine on which this process runs.
OWN_LINK = LinkMeter()
