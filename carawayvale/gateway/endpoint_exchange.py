"""Exchange of one request with its endpoint, and what follows from it."""

from dataclasses import replace
from typing import TYPE_CHECKING

from carawayvale.catalogue.position import unpack_position
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.endpoint_checks import has_crashed
from carawayvale.gateway.observer import format_ms
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.upstream import HTTP_MISDIRECTED
from carawayvale.gateway.upstream import HTTP_SERVER_ERROR
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.steering.health import HealthSignal
from carawayvale.steering.queued_request import QueuedRequest
from carawayvale.telemetry.logs import log_event

if TYPE_CHECKING:
    from carawayvale.gateway.owned_endpoint import OwnedEndpoint

# An endpoint whose address is now used by another one gets no requests
# for this long; its entry expires meanwhile if the endpoint is gone.
MOVED_PAUSE_S = 5.0

# An endpoint responds with this status by itself at the deadline, which
# says nothing about its health.
HTTP_GATEWAY_TIMEOUT = 504

# Health signals that replace those of the outcome if the response
# reports a server error.
SERVER_ERROR_SIGNALS = {HealthSignal.ANSWERED: HealthSignal.ERROR}

# Health signals of the outcomes of requests that were sent.
OUTCOME_SIGNALS = {
    UpstreamOutcome.ANSWERED: HealthSignal.ANSWERED,
    UpstreamOutcome.NOT_RUN: HealthSignal.REFUSED,
    UpstreamOutcome.UNSENT: HealthSignal.UNREACHABLE,
    UpstreamOutcome.FAILED: HealthSignal.BROKEN,
    UpstreamOutcome.CRASHED: HealthSignal.UNREACHABLE,
    UpstreamOutcome.LATE: HealthSignal.BROKEN,
}

# Result of a run that ended because nobody waits for its response.
CANCELLED_RUN = UpstreamResult(
    UpstreamOutcome.CANCELLED, cause="sender closed its connection"
)


class EndpointExchange:
    """Exchange of a request that holds a slot with the endpoint.

    The result concerns the process of the endpoint that the request was
    sent to, which may have been replaced before the exchange ends.

    :param owned: the endpoint at its owner.
    :param endpoint: the endpoint as it was when the exchange began.
    :param owner_request: the request.
    :param queued: the request as it stands in the queue.
    """

    def __init__(
        self,
        owned: "OwnedEndpoint",
        endpoint: EndpointRecord,
        owner_request: OwnerRequest,
        queued: QueuedRequest,
    ):
        self.owned = owned
        self.context = owned.context
        self.endpoint = endpoint
        self.owner_request = owner_request
        self.queued = queued
        self.others_in_flight = 0
        self.held_bytes = 0

    @property
    def is_current(self) -> bool:
        """Whether the endpoint has not started again meanwhile."""
        return self.owned.endpoint.started_ms == self.endpoint.started_ms

    async def run(self) -> UpstreamResult:
        """Send the request, unless it is in quarantine.

        :returns: the result.
        """
        wait_s = self.context.crash_reports.find_wait(
            self.owner_request.request
        )
        if wait_s:
            return UpstreamResult(UpstreamOutcome.QUARANTINED, wait_s)
        result = await self._report_end(await self._send())
        self._record_notice(result)
        if self.is_current and self._is_evidence(result):
            self._record_signal(result)
        self.record_run(result)
        if not self.owned.is_usable:
            await self.owned.notify_waiters()
        return result

    def _is_evidence(self, result: UpstreamResult) -> bool:
        """Tell whether a result says something about the endpoint."""
        if result.no_memory:
            return False
        started_s = self.queued.started_s
        behind = self.context.own_delay.was_behind(started_s)
        return not (result.timed_out and behind)

    async def _send(self) -> UpstreamResult:
        owned = self.owned
        now_s = read_boot_clock()
        owned.stated_limit.count_send(now_s)
        owned.in_flight[self.queued] = self.owner_request.request
        size = len(self.owner_request.request.body)
        owned.body_limit.begin(size)
        try:
            return await owned.upstream.send(
                self.owner_request.request,
                self.owner_request.deadline_s - now_s,
                self.owner_request.idempotent,
            )
        finally:
            owned.in_flight.pop(self.queued, None)
            self.others_in_flight = len(owned.in_flight)
            self.held_bytes = owned.body_limit.end(size)

    async def _report_end(self, result: UpstreamResult) -> UpstreamResult:
        """Report a crash during the request, or that it was answered.

        :returns: the result, which tells whether the endpoint crashed.
        """
        request = self.owner_request.request
        if result.outcome is UpstreamOutcome.ANSWERED:
            await self.context.crash_reports.record_answer(request)
        if not result.disconnected or not await has_crashed(self.owned):
            return result
        await self.context.crash_reports.record_crash(self.endpoint, request)
        self._limit_bodies()
        return replace(result, outcome=UpstreamOutcome.CRASHED)

    def _limit_bodies(self) -> None:
        """Lower the limit of bodies if the endpoint held large ones."""
        limit, now_s = self.owned.body_limit, read_boot_clock()
        if limit.record_crash(
            self.endpoint.started_ms, self.held_bytes, now_s
        ):
            self.context.observer.record_body_limit(
                self.endpoint.name, self.held_bytes, limit.find_limit(now_s)
            )

    def _record_notice(self, result: UpstreamResult) -> None:
        """Apply what the endpoint says of itself in its response."""
        notice = self.context.notices.record(self.endpoint, result)
        if not self.is_current:
            return
        if notice.pause_s:
            self.owned.pause(notice.pause_s, read_boot_clock())
        if notice.load is not None:
            # The endpoint may still count the request that it answers.
            answered = result.outcome is UpstreamOutcome.ANSWERED
            self.owned.record_load(
                notice.load, self.others_in_flight + answered
            )

    def _record_signal(self, result: UpstreamResult) -> None:
        """Update the endpoint's health from the result."""
        owned, now_s = self.owned, read_boot_clock()
        if (
            result.outcome is UpstreamOutcome.NOT_RUN
            and result.status == HTTP_MISDIRECTED
        ):
            owned.moved_until_s = now_s + MOVED_PAUSE_S
            log_event("endpoint_moved", endpoint=self.endpoint.name)
        was_usable = owned.health.is_usable
        signal = OUTCOME_SIGNALS[result.outcome]
        if (
            result.status >= HTTP_SERVER_ERROR
            and result.status != HTTP_GATEWAY_TIMEOUT
        ):
            signal = SERVER_ERROR_SIGNALS.get(signal, signal)
        owned.health.record(signal, now_s)
        if was_usable and not owned.health.is_usable:
            owned.record_ejection(result.cause)

    def record_run(self, result: UpstreamResult) -> None:
        """Count and log the run.

        :param result: the result.
        """
        request = self.owner_request.request
        self.context.observer.record_run(
            self.owner_request.rank,
            request.find_text(self.context.header_names.request_id),
            self.queued.started_s - self.queued.queued_s,
            read_boot_clock() - self.queued.started_s,
            result.outcome.value,
            result.is_success,
            lambda: self._describe_run(result),
        )

    def _describe_run(self, result: UpstreamResult) -> dict[str, object]:
        queue = self.owned.queue
        return {
            "fingerprint": self.owner_request.request.fingerprint.hex(),
            "endpoint": self.endpoint.name,
            "status": result.status,
            "estimate_ms": format_ms(self.queued.service_time_s),
            "turn": self.queued.queue_class.name.lower(),
            "waiting": len(queue.waiting),
            "running": len(queue.running),
            "revision": unpack_position(self.endpoint.revision),
            "cause": result.cause or "none",
        }
