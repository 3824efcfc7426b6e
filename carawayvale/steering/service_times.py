"""Estimate the service time of a request at an endpoint.

An endpoint that handled an object lately needs a fraction of the time
for the next request that concerns it. The endpoint keeps a limited
number of objects and does not report how many, so its capacity is
estimated from the service times. Requests that concern no object have a
mean of their own, as they may take close to no time.

All times are those of an undisturbed machine. Measured times are divided
by the pace of the machine, and estimates are multiplied by it.
"""

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field

# Weight of a new sample in the exponential moving average.
SAMPLE_WEIGHT = 0.2

# Bounds of the estimated number of objects that an endpoint keeps; the
# estimate starts at the upper bound.
MAX_CAPACITY = 256
MIN_CAPACITY = 8

# A service time can show whether an object was warm only if the mean of
# new objects is more than this many times the mean of warm ones.
DISTINCT_FACTOR = 1.5

# An object that was not used for this long may be evicted for another.
STALE_S = 5.0


@dataclass
class ServiceTimes:
    """Mean service times of an endpoint for warm, new and no objects.

    :param warm_s: mean for objects that the endpoint keeps.
    :param new_s: mean for other objects.
    :param no_object_s: mean for requests without an object.
    :param capacity: estimated number of objects that the endpoint keeps.
    :param objects: time of last use of each warm object, in order of
        last use.

    >>> times = ServiceTimes(warm_s=0.1, new_s=0.3)
    >>> _ = times.record_use("a", 0.0)
    >>> times.estimate("a"), times.estimate("b")
    (0.1, 0.3)
    """

    warm_s: float = 0.0
    new_s: float = 0.0
    no_object_s: float = 0.0
    capacity: int = MAX_CAPACITY
    objects: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def is_warm(self, key: str) -> bool:
        """Tell whether the endpoint handled an object lately.

        :param key: the object.
        :returns: whether it did.
        """
        return key in self.objects

    def record_use(self, key: str, now_s: float) -> int:
        """Record that the endpoint handles an object.

        :param key: the object.
        :param now_s: the time.
        :returns: reuse distance: the number of other objects used since
            the last use of this one; 0 if it was not warm.
        """
        reuse_distance = 0
        if key in self.objects:
            reuse_distance = (
                len(self.objects) - 1 - list(self.objects).index(key)
            )
        self.objects[key] = now_s
        self.objects.move_to_end(key)
        self._evict()
        return reuse_distance

    def _evict(self) -> None:
        while len(self.objects) > self.capacity:
            self.objects.popitem(last=False)

    def has_capacity(self, now_s: float) -> bool:
        """Tell whether a new object can be kept without evicting one in use.

        :param now_s: the time.
        :returns: whether the endpoint keeps fewer objects than it can, or
            one of them was not used for ``STALE_S``.
        """
        if len(self.objects) < self.capacity:
            return True
        oldest_s = next(iter(self.objects.values()))
        return now_s - oldest_s > STALE_S

    def estimate(self, key: str) -> float:
        """Estimate the service time of a request on an undisturbed machine.

        :param key: the object; empty for none.
        :returns: seconds; 0 without any sample.
        """
        if not key:
            return self.no_object_s or self.warm_s or self.new_s
        if key in self.objects:
            return self.warm_s or self.new_s
        return self.new_s or self.warm_s

    def has_sample(self, key: str) -> bool:
        """Tell whether the estimate for an object rests on its own kind.

        :param key: the object; empty for none.
        :returns: whether a request for an object of the same kind, warm
            or new, was measured.
        """
        if not key:
            return self.no_object_s > 0
        return (self.warm_s if key in self.objects else self.new_s) > 0

    def record(
        self,
        key: str,
        is_warm: bool,
        took_s: float,
        reuse_distance: int = 0,
        pace: float = 1.0,
    ) -> None:
        """Record a measured service time.

        A new object that takes as little time as a warm one counts as
        warm: it was handled for an earlier owner. A warm object with a
        large reuse distance that takes as long as a new one counts as
        evicted by the endpoint, and the estimated capacity shrinks. The
        estimate grows by one if an object is still warm although the
        endpoint used as many others since as the estimate allows.

        :param key: the object; empty for none.
        :param is_warm: whether the object was expected to be warm.
        :param took_s: seconds.
        :param reuse_distance: see :meth:`record_use`.
        :param pace: mean pace of the machine during the run.
        """
        took_s /= pace
        if not key:
            self.no_object_s = _update_mean(self.no_object_s, took_s)
            return
        if self._has_distinct_means():
            # Slow means longer than the geometric mean of both means.
            slow = took_s * took_s > self.warm_s * self.new_s
            if is_warm and slow and reuse_distance >= MIN_CAPACITY:
                self.capacity = min(self.capacity, reuse_distance)
                self._evict()
                is_warm = False
            elif not is_warm and not slow:
                is_warm = True
        if is_warm and reuse_distance >= self.capacity - 1:
            self.capacity = min(MAX_CAPACITY, self.capacity + 1)
        if is_warm:
            self.warm_s = _update_mean(self.warm_s, took_s)
        else:
            self.new_s = _update_mean(self.new_s, took_s)

    def _has_distinct_means(self) -> bool:
        if not self.warm_s or not self.new_s:
            return False
        return self.new_s > DISTINCT_FACTOR * self.warm_s


def _update_mean(mean_s: float, sample_s: float) -> float:
    if not mean_s:
        return sample_s
    return mean_s + SAMPLE_WEIGHT * (sample_s - mean_s)
