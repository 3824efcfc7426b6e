"""Estimates how long an endpoint needs for a request.

Answers the load of repeated objects: an endpoint that handled an object
lately needs a fraction of the time, and it keeps a limited number of
objects, which nobody tells. Requests that concern no object are counted
apart; they may need next to nothing.
"""

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field

SERVICE_WEIGHT = 0.2

# Objects that an endpoint is taken to keep until it shows otherwise, and
# the least that it is ever taken to keep.
MAX_ROOM = 256
MIN_ROOM = 8

# Known and new objects differ if the second takes this much longer.
DISTINCT_FACTOR = 1.5

# An object that was not asked for in this time makes room for another.
STALE_S = 5.0


@dataclass
class ServiceTimes:
    """Mean service times of an endpoint: known, new and no object.

    :param known_s: mean for objects that the endpoint keeps.
    :param new_s: mean for other objects.
    :param plain_s: mean for requests without an object.
    :param room: objects that the endpoint is taken to keep.
    :param objects: when each of them was used, the oldest first.

    >>> times = ServiceTimes(known_s=0.1, new_s=0.3)
    >>> _ = times.remember("a", 0.0)
    >>> times.estimate("a"), times.estimate("b")
    (0.1, 0.3)
    """

    known_s: float = 0.0
    new_s: float = 0.0
    plain_s: float = 0.0
    room: int = MAX_ROOM
    objects: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def knows(self, key: str) -> bool:
        """Tell whether the endpoint handled an object lately.

        :param key: the object.
        :returns: whether it did.
        """
        return key in self.objects

    def remember(self, key: str, now_s: float) -> int:
        """Record that the endpoint handles an object.

        :param key: the object.
        :param now_s: the time.
        :returns: number of other objects since it was handled last; 0
            if it was not.
        """
        depth = 0
        if key in self.objects:
            depth = len(self.objects) - 1 - list(self.objects).index(key)
        self.objects[key] = now_s
        self.objects.move_to_end(key)
        self._forget()
        return depth

    def _forget(self) -> None:
        while len(self.objects) > self.room:
            self.objects.popitem(last=False)

    def may_learn(self, now_s: float) -> bool:
        """Tell whether another object has room beside those in use.

        :param now_s: the time.
        :returns: whether it has.
        """
        if len(self.objects) < self.room:
            return True
        oldest_s = next(iter(self.objects.values()))
        return now_s - oldest_s > STALE_S

    def estimate(self, key: str) -> float:
        """Estimate a service time.

        :param key: the object; empty for none.
        :returns: seconds; 0 without any sample.
        """
        if not key:
            return self.plain_s or self.known_s or self.new_s
        if key in self.objects:
            return self.known_s or self.new_s
        return self.new_s or self.known_s

    def record(
        self, key: str, known: bool, took_s: float, depth: int = 0
    ) -> None:
        """Record a service time.

        A new object that takes as little as a known one was known all
        the same, from another owner; a known one that takes as long as a
        new one, after many others, was forgotten.

        :param key: the object; empty for none.
        :param known: whether the endpoint was taken to know it.
        :param took_s: seconds.
        :param depth: see :meth:`remember`.
        """
        if not key:
            self.plain_s = _blend(self.plain_s, took_s)
            return
        if self._is_distinct():
            slow = took_s * took_s > self.known_s * self.new_s
            if known and slow and depth >= MIN_ROOM:
                self.room = min(self.room, depth)
                self._forget()
                known = False
            elif not known and not slow:
                known = True
        if known and depth >= self.room - 1:
            self.room = min(MAX_ROOM, self.room + 1)
        if known:
            self.known_s = _blend(self.known_s, took_s)
        else:
            self.new_s = _blend(self.new_s, took_s)

    def _is_distinct(self) -> bool:
        if not self.known_s or not self.new_s:
            return False
        return self.new_s > DISTINCT_FACTOR * self.known_s


def _blend(mean_s: float, sample_s: float) -> float:
    if not mean_s:
        return sample_s
    return mean_s + SERVICE_WEIGHT * (sample_s - mean_s)
