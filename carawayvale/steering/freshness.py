"""Decide how old the configuration of an instance is.

The age counts from the beginning of the latest reading of the store whose
changes this instance has. A change that the store acknowledged before a
reading began is part of it. All times are of the boot clock, which
continues while the machine is suspended.
"""

from dataclasses import dataclass
from dataclasses import field

from carawayvale.catalogue.position import find_epoch

# Readings that wait for the changes up to them. One comes about every
# half second, and missing changes are requested as often.
MAX_WAITING = 8

# Time after which the oldest measurements of a link are dropped, so that
# the drift of the two clocks cannot add up.
LINK_WINDOW_S = 30.0

# Drift of two clocks of 500 ppm, the limit of NTP, over two windows.
CLOCK_DRIFT_S = 0.03

INFINITY = float("inf")


@dataclass(frozen=True)
class Reading:
    """A call to the store that was answered.

    :param revision: packed position up to which it has all changes.
    :param began_s: time at which the call was sent, or an earlier one if
        that time is not known exactly.
    """

    revision: int
    began_s: float

    def is_later(self, other: "Reading", gain_s: float) -> bool:
        """Tell whether this reading is worth reporting after another one.

        :param other: the other reading.
        :param gain_s: seconds by which it has to be later, unless it is of
            a later epoch of the store.
        :returns: whether it is.
        """
        if find_epoch(self.revision) > find_epoch(other.revision):
            return True
        return self.began_s - other.began_s >= gain_s


NO_READING = Reading(0, -INFINITY)


@dataclass
class Freshness:
    """The latest reading that the configuration of an instance contains.

    :param latest: the reading.
    :param revision: packed position up to which the instance has all
        changes.
    :param waiting: readings beyond that position.
    """

    latest: Reading = NO_READING
    revision: int = 0
    waiting: list[Reading] = field(default_factory=list)

    def find_age(self, at_s: float) -> float:
        """Find the age of the configuration.

        :param at_s: the time, for example of a request's arrival.
        :returns: seconds; infinity before the first reading.
        """
        return at_s - self.latest.began_s

    def record(self, reading: Reading) -> bool:
        """Record a reading of this instance or of a peer.

        A reading of an earlier epoch of the store is ignored. One beyond
        the changes that this instance has counts once it has them.

        :param reading: the reading.
        :returns: whether the age fell.
        """
        if find_epoch(reading.revision) < find_epoch(self.revision):
            return False
        if reading.began_s <= self.latest.began_s:
            return False
        if reading.revision > self.revision:
            # The first ones stay: later ones may be out of reach as long as
            # changes are frequent.
            if len(self.waiting) < MAX_WAITING:
                self.waiting.append(reading)
            return False
        self.latest = reading
        return True

    def advance(self, revision: int) -> bool:
        """Record that this instance has all changes up to a position.

        The first position of a later epoch ends the earlier one, and its
        readings count no more.

        :param revision: the packed position.
        :returns: whether the age fell.
        """
        self.revision = max(self.revision, revision)
        if find_epoch(self.latest.revision) < find_epoch(self.revision):
            self.latest = NO_READING
        waiting, self.waiting = self.waiting, []
        # A list, as each reading has to be recorded.
        return any([self.record(reading) for reading in waiting])


@dataclass
class LinkMinima:
    """Least measurements of a link in one window.

    :param difference_s: receiver's clock at the receipt of a message minus
        sender's clock at its sending.
    :param round_trip_s: measured round trip.
    """

    difference_s: float = INFINITY
    round_trip_s: float = INFINITY


@dataclass
class LinkDelay:
    """Upper bound of the delays of messages on a link, in one direction.

    The clocks of the two sides have an unknown difference. The least
    difference that was seen is that difference plus the least delay, and
    the least delay is at most the least round trip. Both minima are of the
    same time, at most two windows long.

    :param started_s: beginning of the present window.
    :param present: minima of the present window.
    :param previous: minima of the window before it.
    """

    started_s: float = -INFINITY
    present: LinkMinima = field(default_factory=LinkMinima)
    previous: LinkMinima = field(default_factory=LinkMinima)

    def record(
        self, sent_s: float, received_s: float, round_trip_s: float | None
    ) -> None:
        """Record a message.

        :param sent_s: sender's clock when it sent the message.
        :param received_s: receiver's clock when it received it.
        :param round_trip_s: round trip that the message completed; None if
            it completed none.
        """
        elapsed_s = received_s - self.started_s
        if elapsed_s >= LINK_WINDOW_S:
            is_next = elapsed_s < 2 * LINK_WINDOW_S
            self.previous = self.present if is_next else LinkMinima()
            self.present = LinkMinima()
            self.started_s = received_s
        minima = self.present
        minima.difference_s = min(minima.difference_s, received_s - sent_s)
        if round_trip_s is not None:
            round_trip_s = max(0.0, round_trip_s)
            minima.round_trip_s = min(minima.round_trip_s, round_trip_s)

    def find_bound(self, sent_s: float, received_s: float) -> float | None:
        """Find how long a recorded message took at most.

        :param sent_s: sender's clock when it sent the message.
        :param received_s: receiver's clock when it received it.
        :returns: seconds; None if no round trip was measured lately.
        """
        windows = (self.present, self.previous)
        round_trip_s = min(window.round_trip_s for window in windows)
        if round_trip_s == INFINITY:
            return None
        least_s = min(window.difference_s for window in windows)
        excess_s = received_s - sent_s - least_s
        return excess_s + round_trip_s + CLOCK_DRIFT_S
