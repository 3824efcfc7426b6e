"""How many requests one endpoint may run at once, and whether it may."""

from dataclasses import dataclass

from carawayvale.contracts.retries import AttemptResult
from carawayvale.contracts.sections import Endpoint

RAMP_START = 0.34
MIN_LIMIT = 1.0
SHED_FACTOR = 0.7
SLOW_FACTOR = 0.9
SLOW_RATIO = 3.0
LATENCY_WEIGHT = 0.1
FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 5.0


@dataclass
class EndpointSlots:
    """The slots of one endpoint as its owner counts them.

    :param endpoint: the endpoint.
    :param since_s: start of its ramp.
    :param ramp_s: length of its ramp.
    :param quota: slots that the region's limit leaves, at most.
    """

    endpoint: Endpoint
    since_s: float
    ramp_s: float
    quota: int | None = None
    in_flight: int = 0
    limit: float = 0.0
    usual_s: float = 0.0
    failures: int = 0
    ejected_until_s: float = 0.0
    ejection_s: float = FIRST_EJECTION_S
    leaving: bool = False
    listed_leaving: bool = False
    removed: bool = False

    def __post_init__(self):
        self.limit = float(self.endpoint.slots)

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint gets no new work."""
        marked = self.endpoint.draining or self.listed_leaving
        return marked or self.leaving or self.removed

    @property
    def is_ejected(self) -> bool:
        """Whether failures keep the endpoint from its full load."""
        return self.failures >= FAILURES_TO_EJECT

    def postpone(self, until_s: float) -> None:
        """Keep an ejected endpoint from work for longer.

        :param until_s: the time until which it gets none.
        """
        if self.is_ejected:
            self.ejected_until_s = max(self.ejected_until_s, until_s)

    def count_usable(self, now_s: float) -> int:
        """Count the slots that may be in use now.

        :param now_s: the time.
        :returns: number of slots; 0 while draining or ejected.
        """
        if self.is_draining or now_s < self.ejected_until_s:
            return 0
        slots = self.endpoint.slots
        quota = slots if self.quota is None else self.quota
        allowed = min(self.limit, slots, quota)
        if allowed < 1:
            return 0
        age_s = now_s - self.since_s
        if age_s < self.ramp_s:
            part = RAMP_START + (1 - RAMP_START) * age_s / self.ramp_s
            allowed = min(allowed, slots * part)
        if self.is_ejected:
            return 1
        return max(1, int(allowed + 1e-9))

    def has_free(self, now_s: float) -> bool:
        """Tell whether a slot is free.

        :param now_s: the time.
        :returns: whether another request may be sent.
        """
        return self.in_flight < self.count_usable(now_s)

    def record(
        self, result: AttemptResult, took_s: float, now_s: float
    ) -> None:
        """Adapt to the result of one attempt.

        :param result: how it ended.
        :param took_s: how long it took.
        :param now_s: the time.
        """
        RECORDERS[result](self, took_s, now_s)

    def record_answer(self, took_s: float, now_s: float) -> None:
        """Grow the limit after a quick answer, shrink it after a slow one.

        :param took_s: time to the answer's first byte.
        :param now_s: the time.
        """
        self.failures = 0
        self.ejection_s = FIRST_EJECTION_S
        slow = self.usual_s and took_s > SLOW_RATIO * self.usual_s
        if not self.usual_s:
            self.usual_s = took_s
        self.usual_s += LATENCY_WEIGHT * (took_s - self.usual_s)
        if slow:
            self.limit = max(MIN_LIMIT, self.limit * SLOW_FACTOR)
        else:
            grown = self.limit + 1.0 / self.limit
            self.limit = min(float(self.endpoint.slots), grown)

    def record_shed(self, took_s: float, now_s: float) -> None:
        """Shrink the limit after the backend server refused work.

        :param took_s: time to the refusal.
        :param now_s: the time.
        """
        self.limit = max(MIN_LIMIT, self.limit * SHED_FACTOR)

    def record_failure(self, took_s: float, now_s: float) -> None:
        """Eject the endpoint for a while after repeated failures.

        :param took_s: time to the failure.
        :param now_s: the time.
        """
        self.failures += 1
        if self.is_ejected:
            self.ejected_until_s = now_s + self.ejection_s
            self.ejection_s = min(MAX_EJECTION_S, 2 * self.ejection_s)


RECORDERS = {
    AttemptResult.ANSWERED: EndpointSlots.record_answer,
    AttemptResult.REFUSED_NOT_RUN: EndpointSlots.record_shed,
    AttemptResult.UNSENT: EndpointSlots.record_failure,
    AttemptResult.FAILED: EndpointSlots.record_failure,
    AttemptResult.BROKEN: EndpointSlots.record_failure,
}
