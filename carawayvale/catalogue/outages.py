"""Tell an outage of the store from the silence of those that call it.

An instance that hears nothing knows only that nobody told it of the store:
the instance that watches may be lost, suspended or cut off, or the store may
have had nothing to tell. The store had an outage only if it owed an answer
to a call, and neither this instance nor a peer got one meanwhile.
"""

from dataclasses import dataclass

# A shorter outage makes no entry expire: that takes three missing reports of
# an endpoint. Another instance takes over from a lost watcher within this
# time, so that it refutes an outage that only the watcher has seen.
MIN_OUTAGE_S = 2.0

# Time for which an answer has to be overdue. It exceeds a round trip.
MIN_OVERDUE_S = 0.5

# Longest time between two observations that counts in full. After a longer
# one this process was suspended, and the answer may be waiting for it.
MAX_STEP_S = 0.25

INFINITY = float("inf")


@dataclass
class OutageDetector:
    """Detector of the outages of the store, as one instance knows them.

    All times are in seconds of the boot clock.

    :param confirmed_s: time at which the store last confirmed the known
        state to this instance or to a peer; minus infinity before that.
    :param due_s: time at which the answer to the call under way was or is
        due; infinity without a call.
    :param overdue_s: time for which an answer has been overdue since the
        last confirmation.
    :param observed_s: time of the last observation.

    >>> detector = OutageDetector()
    >>> detector.record_confirmation(10.0), detector.record_confirmation(15.0)
    (False, False)
    """

    confirmed_s: float = -INFINITY
    due_s: float = INFINITY
    overdue_s: float = 0.0
    observed_s: float = -INFINITY

    def record_call(self, due_s: float) -> None:
        """Record the beginning of a call to the store.

        After a failed call its answer is due since then.

        :param due_s: time at which the store answers at the latest, apart
            from the way there and back.
        """
        self.due_s = min(self.due_s, due_s)

    def record_failure(self, now_s: float) -> None:
        """Record that a call failed.

        :param now_s: the time.
        """
        self.due_s = min(self.due_s, now_s)

    def record_answer(self) -> None:
        """Record that the store answered the call under way."""
        self.due_s = INFINITY

    def observe(self, now_s: float) -> None:
        """Count the time for which an answer is overdue.

        :param now_s: the time; observations are frequent while the process
            runs.
        """
        since_s = max(self.observed_s, self.due_s)
        if now_s > since_s:
            self.overdue_s += min(MAX_STEP_S, now_s - since_s)
        self.observed_s = max(self.observed_s, now_s)

    def record_confirmation(self, confirmed_s: float) -> bool:
        """Record that the store confirmed the known state.

        :param confirmed_s: time of the confirmation, of this instance or of
            a peer.
        :returns: whether it ends an outage.
        """
        gap_s = confirmed_s - self.confirmed_s
        if gap_s <= 0:
            return False
        has_known_state = self.confirmed_s > -INFINITY
        was_overdue = self.overdue_s >= MIN_OVERDUE_S
        self.confirmed_s = confirmed_s
        self.overdue_s = 0.0
        return has_known_state and was_overdue and gap_s > MIN_OUTAGE_S
