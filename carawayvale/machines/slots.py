"""Adaptive concurrency limit, ramp-up and ejection of one endpoint."""

from dataclasses import dataclass

from carawayvale.contracts.retries import AttemptResult
from carawayvale.contracts.sections import Endpoint

RAMP_START_SHARE = 0.34
MIN_CONCURRENCY_LIMIT = 1.0
REFUSAL_BACKOFF_FACTOR = 0.7
SLOW_BACKOFF_FACTOR = 0.9
SLOW_RESPONSE_RATIO = 3.0
LATENCY_WEIGHT = 0.1
FAILURES_TO_EJECT = 3
INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 5.0


@dataclass
class EndpointSlots:
    """Slots of one endpoint with an adaptive concurrency limit.

    Quick responses raise the limit; slow responses and refusals lower it.
    Repeated failures eject the endpoint for a time.

    :param endpoint: the endpoint.
    :param ramp_start_s: time at which the ramp-up of usable slots starts.
    :param ramp_s: duration of the ramp-up in seconds; the usable slots
        grow from RAMP_START_SHARE of the declared slots to all.
    :param quota: largest number of slots that the region's limit allows
        the endpoint, or None for no limit.
    :param in_flight: number of slots in use.
    :param concurrency_limit: adaptive limit, at most the declared slots.
    :param mean_latency_s: exponential moving average of the response time.
    :param failures: number of failures since the last response.
    :param ejected_until_s: time until which the endpoint is ejected.
    :param next_ejection_s: duration of the next ejection in seconds.
    :param leaving: whether the backend server announced its drain.
    :param listed_leaving: whether the platform lists it as leaving.
    :param removed: whether the document no longer has the endpoint.
    """

    endpoint: Endpoint
    ramp_start_s: float
    ramp_s: float
    quota: int | None = None
    in_flight: int = 0
    concurrency_limit: float = 0.0
    mean_latency_s: float = 0.0
    failures: int = 0
    ejected_until_s: float = 0.0
    next_ejection_s: float = INITIAL_EJECTION_S
    leaving: bool = False
    listed_leaving: bool = False
    removed: bool = False

    def __post_init__(self):
        self.concurrency_limit = float(self.endpoint.slots)

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint gets no new requests."""
        marked_draining = self.endpoint.draining or self.listed_leaving
        return marked_draining or self.leaving or self.removed

    @property
    def is_ejected(self) -> bool:
        """Whether the endpoint is ejected or on probation after failures."""
        return self.failures >= FAILURES_TO_EJECT

    def extend_ejection(self, until_s: float) -> None:
        """Extend the ejection of an endpoint that is still ejected.

        :param until_s: earliest time of its next request.
        """
        if self.is_ejected:
            self.ejected_until_s = max(self.ejected_until_s, until_s)

    def count_usable(self, now_s: float) -> int:
        """Count the slots that may be in use at the same time.

        :param now_s: the current time.
        :returns: number of slots; 0 while draining or ejected or if the
            quota is 0, 1 from the end of an ejection to the next response.
        """
        if self.is_draining or now_s < self.ejected_until_s:
            return 0
        slots = self.endpoint.slots
        quota = slots if self.quota is None else self.quota
        allowed = min(self.concurrency_limit, slots, quota)
        if allowed < 1:
            return 0
        age_s = now_s - self.ramp_start_s
        if age_s < self.ramp_s:
            share = (
                RAMP_START_SHARE + (1 - RAMP_START_SHARE) * age_s / self.ramp_s
            )
            allowed = min(allowed, slots * share)
        if self.is_ejected:
            return 1
        # The margin keeps rounding errors from costing a whole slot.
        return max(1, int(allowed + 1e-9))

    def has_free_slot(self, now_s: float) -> bool:
        """Check whether a slot is free.

        :param now_s: the current time.
        :returns: whether another request may be sent.
        """
        return self.in_flight < self.count_usable(now_s)

    def record(
        self, result: AttemptResult, took_s: float, now_s: float
    ) -> None:
        """Adapt limit and ejection to the result of one attempt.

        :param result: result of the attempt.
        :param took_s: duration of the attempt in seconds.
        :param now_s: the current time.
        """
        RECORDERS[result](self, took_s, now_s)

    def record_response(self, took_s: float, now_s: float) -> None:
        """Raise the limit after a quick response, lower it after a slow one.

        :param took_s: time to the response in seconds.
        :param now_s: the current time.
        """
        self.failures = 0
        self.next_ejection_s = INITIAL_EJECTION_S
        slow = (
            self.mean_latency_s
            and took_s > SLOW_RESPONSE_RATIO * self.mean_latency_s
        )
        if not self.mean_latency_s:
            self.mean_latency_s = took_s
        self.mean_latency_s += LATENCY_WEIGHT * (took_s - self.mean_latency_s)
        if slow:
            self.concurrency_limit = max(
                MIN_CONCURRENCY_LIMIT,
                self.concurrency_limit * SLOW_BACKOFF_FACTOR,
            )
        else:
            grown = self.concurrency_limit + 1.0 / self.concurrency_limit
            self.concurrency_limit = min(float(self.endpoint.slots), grown)

    def record_refusal(self, took_s: float, now_s: float) -> None:
        """Lower the limit after the backend server refused a request.

        :param took_s: time to the refusal in seconds.
        :param now_s: the current time.
        """
        self.concurrency_limit = max(
            MIN_CONCURRENCY_LIMIT,
            self.concurrency_limit * REFUSAL_BACKOFF_FACTOR,
        )

    def record_failure(self, took_s: float, now_s: float) -> None:
        """Eject the endpoint after repeated failures.

        Each further failure doubles the duration of the next ejection.

        :param took_s: time to the failure in seconds.
        :param now_s: the current time.
        """
        self.failures += 1
        if self.is_ejected:
            self.ejected_until_s = now_s + self.next_ejection_s
            self.next_ejection_s = min(
                MAX_EJECTION_S, 2 * self.next_ejection_s
            )


RECORDERS = {
    AttemptResult.ANSWERED: EndpointSlots.record_response,
    AttemptResult.REFUSED_NOT_RUN: EndpointSlots.record_refusal,
    AttemptResult.UNSENT: EndpointSlots.record_failure,
    AttemptResult.FAILED: EndpointSlots.record_failure,
    AttemptResult.BROKEN: EndpointSlots.record_failure,
}
