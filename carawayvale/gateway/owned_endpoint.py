"""An endpoint at the instance that alone sends requests to it."""

from dataclasses import dataclass
from dataclasses import replace

import curio

from carawayvale.catalogue.header_names import HeaderNames
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import ServiceRecord
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.observer import format_ms
from carawayvale.gateway.observer import RequestObserver
from carawayvale.gateway.server import Request
from carawayvale.gateway.upstream import HTTP_MISDIRECTED
from carawayvale.gateway.upstream import HTTP_SERVER_ERROR
from carawayvale.gateway.upstream import Upstream
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import connect
from carawayvale.links.http import ConnectionBroken
from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.admission import QueuedRequest
from carawayvale.steering.health import EndpointHealth
from carawayvale.steering.health import HealthSignal
from carawayvale.steering.rates import ColdRateLimit
from carawayvale.telemetry.logs import log_event

CHECK_TIMEOUT_S = 0.5
MAX_CHECK_BYTES = 65536
MIN_CHECK_GAP_S = 1.0

# An endpoint whose address another one answers is left alone for this
# long; its entry lapses meanwhile if it is gone.
MOVED_S = 5.0

# An endpoint that may be used again is taken for cold for this long;
# its next reports tell whether it is.
RESUME_S = 2.5

# A request is overdue when it takes this much longer than usual.
OVERDUE_FACTOR = 4.0
OVERDUE_S = 0.5

# The least time that a waiting request sleeps.
MIN_SLEEP_S = 0.001

# An endpoint's own end at the deadline says nothing of its health.
TIMED_OUT = 504

ERRORS = {HealthSignal.ANSWERED: HealthSignal.ERROR}
EVIDENCE = {
    UpstreamOutcome.ANSWERED: HealthSignal.ANSWERED,
    UpstreamOutcome.NOT_RUN: HealthSignal.REFUSED,
    UpstreamOutcome.UNSENT: HealthSignal.UNREACHABLE,
    UpstreamOutcome.FAILED: HealthSignal.BROKEN,
    UpstreamOutcome.LATE: HealthSignal.BROKEN,
}


@dataclass(frozen=True)
class OwnerRequest:
    """A request that an owner is to serve, with its times.

    :param request: the request as the caller sent it.
    :param rank: priority; 0 is the most urgent.
    :param key: the object that it concerns.
    :param idempotent: whether it may run more than once.
    :param objective_s: time by which its answer is worth most.
    :param limit_s: time by which its answer is due.
    :param may_be_late: whether it may be queued past its objective.
    :param may_learn: whether the endpoint is the one to keep its object.
    :param may_fail: whether an endpoint that fails many may serve it.
    """

    request: Request
    rank: int
    key: str
    idempotent: bool
    objective_s: float
    limit_s: float
    may_be_late: bool = False
    may_learn: bool = False
    may_fail: bool = False


class Waiter:
    """Wakes the task of a job when it gets a slot, or must give up."""

    def __init__(self):
        self.event = curio.Event()
        self.started = False


class OwnedEndpoint:
    """Queue, health and connections of one endpoint.

    :param dialect: names of headers.
    :param endpoint: the endpoint.
    :param service: its service.
    :param observer: counts and logs its requests.
    """

    def __init__(
        self,
        dialect: HeaderNames,
        endpoint: EndpointRecord,
        service: ServiceRecord,
        observer: RequestObserver,
    ):
        self.dialect = dialect
        self.observer = observer
        self.endpoint = endpoint
        self.service = service
        self.queue = EndpointQueue(endpoint.slots)
        self.health = EndpointHealth()
        self.upstream = Upstream(dialect, endpoint)
        self.waiters: dict[QueuedRequest, Waiter] = {}
        self.sending: dict[QueuedRequest, Request] = {}
        self.checked_s = 0.0
        self.moved_until_s = 0.0
        self.blocked = False
        self.cold_until_s = endpoint.cold_until_s

    def update(
        self, endpoint: EndpointRecord, service: ServiceRecord, now_s: float
    ) -> None:
        """Take over a changed entry.

        :param endpoint: the entry.
        :param service: the service.
        :param now_s: the time.
        """
        old = self.endpoint
        self.endpoint, self.service = endpoint, service
        self.upstream.endpoint = endpoint
        restarted = endpoint.started_ms != old.started_ms
        if endpoint.address != old.address or restarted:
            self.upstream = Upstream(self.dialect, endpoint)
            self.health = EndpointHealth()
            self.queue.service_times.objects.clear()
            self.moved_until_s = 0.0
        self.queue.slots = endpoint.slots
        self._note_cold_until(endpoint.cold_until_s, now_s)

    def block(self, blocked: bool, now_s: float) -> None:
        """Stop using the endpoint, or use it again.

        An endpoint that got nothing for a while may be cold, before its
        reports say so.

        :param blocked: whether it gets no requests.
        :param now_s: the time.
        """
        if self.blocked and not blocked:
            self.note_cold(min(self.service.cold_s, RESUME_S), now_s)
        self.blocked = blocked

    def note_cold(self, cold_s: float, now_s: float) -> None:
        """Take over how long the endpoint stays cold.

        :param cold_s: seconds from now.
        :param now_s: the time.
        """
        self._note_cold_until(now_s + cold_s, now_s)

    def _note_cold_until(self, until_s: float, now_s: float) -> None:
        self.cold_until_s = max(self.cold_until_s, until_s)
        self._apply_cold(now_s)

    def _apply_cold(self, now_s: float) -> None:
        cold = now_s < self.cold_until_s and self.service.cold_rate > 0
        if not cold:
            self.queue.cold_limit = None
        elif self.queue.cold_limit is None:
            self.queue.cold_limit = ColdRateLimit(
                self.service.cold_rate, now_s
            )

    @property
    def is_usable(self) -> bool:
        """Whether the endpoint may get requests."""
        if self.endpoint.is_draining or self.blocked:
            return False
        if read_boot_clock() < self.moved_until_s:
            return False
        return self.health.is_usable

    async def serve(self, order: OwnerRequest) -> UpstreamResult:
        """Serve a request, or refuse it at once.

        :param order: the request.
        :returns: the result.
        """
        if not self.is_usable:
            return UpstreamResult(UpstreamOutcome.UNUSABLE)
        now_s = read_boot_clock()
        if self.health.is_failing and not order.may_fail:
            if not self.health.admit_sample(now_s):
                return UpstreamResult(UpstreamOutcome.SPARED)
        self._apply_cold(now_s)
        job = QueuedRequest(
            order.rank,
            order.key,
            order.objective_s,
            order.limit_s,
            order.may_be_late,
            order.may_learn,
        )
        refusal = self.queue.offer(job, now_s)
        if refusal is not None:
            return UpstreamResult(
                UpstreamOutcome.FULL, refusal.finish_s, busy=refusal.busy
            )
        served = False
        try:
            if not await self._await_slot(job):
                return UpstreamResult(UpstreamOutcome.FULL, job.service_s)
            result = await self._send(order, job)
            served = result.is_sound
            return replace(result, failing=self.health.is_failing)
        finally:
            self.waiters.pop(job, None)
            self.queue.withdraw(job)
            self.queue.release(job, read_boot_clock(), served)
            await self.pump()

    async def _await_slot(self, job: QueuedRequest) -> bool:
        waiter = Waiter()
        self.waiters[job] = waiter
        await self.pump()
        while not waiter.started:
            now_s = read_boot_clock()
            if not self.is_usable or job not in self.queue.waiting:
                return False
            wait_s = job.deadline_s - job.service_s - now_s
            due_s = self.queue.find_next_start(now_s)
            if due_s is not None:
                wait_s = min(wait_s, due_s - now_s)
            async with curio.ignore_after(max(MIN_SLEEP_S, wait_s)):
                await waiter.event.wait()
            waiter.event.clear()
            await self.pump()
        return True

    async def pump(self) -> None:
        """Give free slots to waiting jobs; give up what is hopeless."""
        now_s = read_boot_clock()
        self._apply_cold(now_s)
        for job in self.queue.drop_infeasible(now_s):
            await self._wake(job)
        while self.is_usable:
            job = self.queue.take(now_s)
            if job is None:
                return
            waiter = self.waiters.get(job)
            if waiter is not None:
                waiter.started = True
            await self._wake(job)

    async def _wake(self, job: QueuedRequest) -> None:
        waiter = self.waiters.get(job)
        if waiter is not None:
            await waiter.event.set()

    async def wake_all(self) -> None:
        """Let all waiting jobs look at the endpoint again."""
        for waiter in list(self.waiters.values()):
            await waiter.event.set()

    async def _send(
        self, order: OwnerRequest, job: QueuedRequest
    ) -> UpstreamResult:
        now_s = read_boot_clock()
        left_s = order.limit_s - now_s
        if left_s <= 0:
            return UpstreamResult(UpstreamOutcome.FULL, job.service_s)
        self.sending[job] = order.request
        try:
            result = await self.upstream.send(
                order.request, left_s, order.idempotent
            )
        finally:
            self.sending.pop(job, None)
        self._learn(result)
        self._note_run(order, job, result)
        return result

    def _note_run(
        self, order: OwnerRequest, job: QueuedRequest, result: UpstreamResult
    ) -> None:
        self.observer.note_run(
            order.rank,
            order.request.find_text(self.dialect.request_id),
            job.started_s - job.arrived_s,
            read_boot_clock() - job.started_s,
            result.outcome.value,
            result.is_sound,
            lambda: self._describe_run(job, result),
        )

    def _describe_run(
        self, job: QueuedRequest, result: UpstreamResult
    ) -> dict[str, object]:
        return {
            "endpoint": self.endpoint.name,
            "status": result.status,
            "estimate_ms": format_ms(job.service_s),
            "turn": job.queue_class.name.lower(),
            "waiting": len(self.queue.waiting),
            "running": len(self.queue.running),
            "revision": self.endpoint.revision,
            "cause": result.cause or "none",
        }

    def _learn(self, result: UpstreamResult) -> None:
        now_s = read_boot_clock()
        if (
            result.outcome is UpstreamOutcome.NOT_RUN
            and result.status == HTTP_MISDIRECTED
        ):
            self.moved_until_s = now_s + MOVED_S
            log_event("endpoint_moved", endpoint=self.endpoint.name)
        usable = self.health.is_usable
        evidence = EVIDENCE[result.outcome]
        if result.status >= HTTP_SERVER_ERROR and result.status != TIMED_OUT:
            evidence = ERRORS.get(evidence, evidence)
        self.health.record(evidence, now_s)
        if usable and not self.health.is_usable:
            self._note_ejection(result.cause)

    def _note_ejection(self, cause: str) -> None:
        self.observer.note_ejection(
            self.service.name, self.endpoint.name, cause
        )

    def list_overdue(self, now_s: float) -> list[QueuedRequest]:
        """List the requests that take far longer than usual.

        :param now_s: the time.
        :returns: their jobs.
        """
        return [
            job
            for job in self.sending
            if now_s - job.started_s
            > OVERDUE_FACTOR * job.service_s + OVERDUE_S
        ]

    def needs_check(self, now_s: float) -> bool:
        """Tell whether the endpoint should be checked now.

        :param now_s: the time.
        :returns: whether it is ejected, or requests are overdue.
        """
        if self.health.needs_check(now_s):
            return True
        if now_s - self.checked_s < MIN_CHECK_GAP_S:
            return False
        return self.health.is_usable and bool(self.list_overdue(now_s))

    async def check(self) -> None:
        """Check an endpoint that is ejected or does not answer."""
        now_s = read_boot_clock()
        self.checked_s = now_s
        if self.health.is_usable:
            await self._check_reachable()
        else:
            await self._check_healthy()

    async def _check_reachable(self) -> None:
        try:
            sock = await connect(self.endpoint.address, CHECK_TIMEOUT_S)
        except ConnectionBroken as error:
            self.health.eject(read_boot_clock())
            self._note_ejection(f"no connection: {error}")
            await self.upstream.pool.close()
            await self.wake_all()
            self._abort_all()
            return
        await sock.close()

    def _abort_all(self) -> None:
        for request in self.sending.values():
            self.upstream.abort(request)

    async def _check_healthy(self) -> None:
        name = self.endpoint.name.encode("latin-1")
        host = str(self.endpoint.address).encode()
        call = OutgoingCall("GET", self.service.health_path, [(b"host", host)])
        passed = False
        cold_s = 0.0
        try:
            reply = await self.upstream.pool.exchange(
                call, CHECK_TIMEOUT_S, MAX_CHECK_BYTES
            )
            same = reply.head.find(self.dialect.endpoint) == name
            passed = same and reply.head.status == 200
            cold_s = read_cold(reply.head.find(self.dialect.cold_ms))
        except (ConnectionBroken, curio.TaskTimeout) as error:
            log_event(
                "check_failed",
                "DEBUG",
                endpoint=self.endpoint.name,
                cause=repr(error),
            )
        now_s = read_boot_clock()
        self.health.record_check(passed, now_s)
        if passed:
            self.note_cold(cold_s, now_s)
            log_event(
                "endpoint_restored",
                endpoint=self.endpoint.name,
                cold_s=cold_s,
            )
            await self.wake_all()

    async def close(self) -> None:
        """Close the kept connections."""
        await self.upstream.pool.close()


def read_cold(value: bytes | None) -> float:
    """Read how long an endpoint stays cold.

    :param value: milliseconds, or None.
    :returns: seconds; 0 if it is not told.
    """
    try:
        return max(0.0, float(value) / 1000.0) if value else 0.0
    except ValueError:
        return 0.0
