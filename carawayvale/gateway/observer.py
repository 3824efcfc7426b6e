"""Record metrics and log lines about requests.

Every request that is refused or fails is logged. Of the successful
requests a fixed share is logged, selected by a hash of the request's id,
so that all instances log the same requests.
"""

from collections.abc import Callable
from collections.abc import Mapping
from enum import Enum

from carawayvale.contracts.hashing import hash_text
from carawayvale.links.messages import MemberRecord
from carawayvale.telemetry.logs import log_event
from carawayvale.telemetry.metrics import Metrics

# One of this many successful requests is logged.
LOG_SAMPLE_INTERVAL = 64

MS_PER_S = 1000.0

MakeFields = Callable[[], Mapping[str, object]]


def is_sampled(request_id: str) -> bool:
    """Tell whether a successful request is logged.

    :param request_id: id of the request.
    :returns: whether the request belongs to the sample.
    """
    return hash_text(request_id) % LOG_SAMPLE_INTERVAL == 0


def format_ms(seconds: float) -> int:
    """Convert a duration to milliseconds for a log line.

    :param seconds: the duration in seconds.
    :returns: whole milliseconds.
    """
    return int(seconds * MS_PER_S)


class RequestOutcome(Enum):
    """Outcome of a caller's request.

    ANSWERED: an endpoint's response is returned. REFUSED: the request
    did not run. FAILED: the request may have run, and there is no usable
    response. ABANDONED: the caller disconnected.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"


class RequestObserver:
    """Recorder of metrics and log lines of one instance's requests.

    The kind labels of counters and histograms begin with the rank of the
    route. The optional fields of a log line are computed only if the
    line is written.
    """

    def __init__(self):
        self.metrics = Metrics()

    def record_outcome(
        self,
        outcome: RequestOutcome,
        rank: int,
        request_id: str,
        make_fields: MakeFields,
    ) -> None:
        """Count and log how a caller's request ended.

        :param outcome: how the request ended.
        :param rank: rank of the route.
        :param request_id: id of the request.
        :param make_fields: computes the optional fields of the log line.
        """
        self.metrics.count("requests", f"{rank}/{outcome.value}")
        if outcome is RequestOutcome.ANSWERED and not is_sampled(request_id):
            return
        log_event(
            f"request_{outcome.value}",
            request=request_id,
            rank=rank,
            **make_fields(),
        )

    def record_response_time(self, rank: int, took_s: float) -> None:
        """Record how long a caller waited for its response.

        :param rank: rank of the route.
        :param took_s: seconds since the head of the request arrived.
        """
        self.metrics.record(str(rank), "caller", took_s)

    def count_hop(self, service: str) -> None:
        """Count an attempt that is forwarded to another instance.

        :param service: name of the service.
        """
        self.metrics.count("hops", service)

    def count_region(self, region: str) -> None:
        """Count a request that was sent to an endpoint by its region.

        :param region: region of the endpoint.
        """
        self.metrics.count("sent_requests", region)

    def count_unserved(self, service: str, rank: int, reason: str) -> None:
        """Count a request that no endpoint served, by its kind and reason.

        :param service: name of the service.
        :param rank: rank of the request.
        :param reason: why it was not served.
        """
        self.metrics.count("unserved", f"{service}/{rank}/{reason}")

    def count_refusal(self, rank: int, reason: str) -> None:
        """Count a refused request by reason.

        :param rank: rank of the route.
        :param reason: reason code of the refusal.
        """
        self.metrics.count("refusals", f"{rank}/{reason}")

    def count_quota(self, kind: str) -> None:
        """Count a request of an organisation with a limit.

        :param kind: ``own`` or ``granted`` for a token of this instance or
            of another one, ``returned`` for a token that was not used,
            ``quota`` or ``quota_unknown`` for a refusal.
        """
        self.metrics.count("quota_requests", kind)

    def count_quota_call(self, kind: str) -> None:
        """Count a call about a quota.

        :param kind: kind of the call that was sent, with the suffix
            ``_failed`` if it was not answered; ``adopted`` or
            ``not_adopted`` for a bucket that another instance handed over.
        """
        self.metrics.count("quota_calls", kind)

    def count_lost_owner(self, state: str, outcome: RequestOutcome) -> None:
        """Count a connection to an owner that broke during an attempt.

        :param state: state of the owner in the member list.
        :param outcome: how the request ended in the end.
        """
        self.metrics.count("lost_owners", f"{state}/{outcome.value}")

    def record_aborted_forwards(
        self, record: MemberRecord, number: int
    ) -> None:
        """Count and log forwarded requests that this instance aborted.

        :param record: the news of the owner on which they were aborted.
        :param number: number of the requests.
        """
        state = record.state.name.lower()
        self.metrics.count("aborted_forwards", state, number)
        log_event(
            "forwards_aborted",
            owner=record.name,
            state=state,
            incarnation=record.incarnation,
            version=record.version,
            count=number,
        )

    def count_repeat(self, service: str, outcome: str) -> None:
        """Count a second request for a new object by its outcome.

        :param service: name of the service.
        :param outcome: ``faster``, ``slower`` or ``failed``; ``abandoned``
            if the caller left first; ``no_slot`` and ``no_budget`` if it
            was not sent.
        """
        self.metrics.count("repeats", f"{service}/{outcome}")

    def record_ejection(self, service: str, endpoint: str, cause: str) -> None:
        """Count and log that an endpoint is ejected.

        :param service: name of the service.
        :param endpoint: name of the endpoint.
        :param cause: why the endpoint is ejected.
        """
        self.metrics.count("ejections", service)
        log_event(
            "endpoint_ejected", "WARNING", endpoint=endpoint, cause=cause
        )

    def record_limit(
        self, endpoint: str, rate: float | None, sent: int, owner: str
    ) -> None:
        """Log the rate limit that an endpoint names.

        :param endpoint: name of the endpoint.
        :param rate: requests per second; None if the limit has ended.
        :param sent: requests that this instance sent to the endpoint in
            the last seconds.
        :param owner: name of the instance that passed the limit on; empty
            if the endpoint named it to this instance.
        """
        self.metrics.count("limits_named", "heard" if owner else "named")
        log_event(
            "endpoint_limit",
            endpoint=endpoint,
            rate="none" if rate is None else rate,
            sent=sent,
            owner=owner or "self",
        )

    def record_departure(self, endpoint: str, owner: str) -> None:
        """Count and log that an endpoint says that it is leaving.

        :param endpoint: name of the endpoint.
        :param owner: name of the instance that passed that on; empty if the
            endpoint told this instance.
        """
        self.metrics.count("departures", "heard" if owner else "told")
        log_event("endpoint_leaving", endpoint=endpoint, owner=owner or "self")

    def record_crash(
        self,
        endpoint: str,
        fingerprint: str,
        crashes: int,
        wait_s: float,
        source: str,
    ) -> None:
        """Count and log a crash at which a request was in progress.

        :param endpoint: name of the endpoint.
        :param fingerprint: fingerprint of the request.
        :param crashes: number of its crashes since it was last answered.
        :param wait_s: seconds for which the request is in quarantine.
        :param source: name of the peer that reported it; empty for this
            instance.
        """
        self.metrics.count("crashes", "reported" if source else "seen")
        log_event(
            "request_suspected",
            "WARNING" if wait_s else "INFO",
            fingerprint=fingerprint,
            endpoint=endpoint,
            crashes=crashes,
            quarantine_s=f"{wait_s:.1f}",
            source=source or "self",
        )

    def count_load_report(self, is_valid: bool, has_bad_load: bool) -> None:
        """Count the report of an endpoint's load, or that there is none.

        :param is_valid: whether a response has a valid report.
        :param has_bad_load: whether its report is malformed or absurd.
        """
        kind = "malformed" if has_bad_load else "missing"
        self.metrics.count("load_reports", "valid" if is_valid else kind)

    def record_body_limit(
        self, endpoint: str, held_bytes: int, limit_bytes: float
    ) -> None:
        """Count and log that an endpoint gets fewer large bodies at once.

        :param endpoint: name of the endpoint.
        :param held_bytes: bytes of bodies that it held when it crashed.
        :param limit_bytes: bytes that it may hold now.
        """
        self.metrics.count("body_limits", "lowered")
        log_event(
            "body_limit_lowered",
            "WARNING",
            endpoint=endpoint,
            held_bytes=held_bytes,
            limit_bytes=int(limit_bytes),
        )

    def record_pause(
        self, service: str, endpoint: str, pause_s: float
    ) -> None:
        """Count and log that an endpoint wants nothing for a while.

        :param service: name of the service.
        :param endpoint: name of the endpoint.
        :param pause_s: length of the pause in seconds.
        """
        self.metrics.count("pauses", service)
        log_event("endpoint_paused", endpoint=endpoint, pause_s=pause_s)

    def count_attempt(self, rank: int, outcome: str) -> None:
        """Count one attempt by its outcome.

        :param rank: rank of the route.
        :param outcome: outcome that the owner reported, or ``no_owner``
            if no owner could be reached.
        """
        self.metrics.count("attempts", f"{rank}/{outcome}")

    def count_remote_start(self, service: str) -> None:
        """Count a request that is sent to another region first.

        :param service: name of the service.
        """
        self.metrics.count("remote_starts", service)

    def count_skipped(self, rank: int) -> None:
        """Count an endpoint that was not asked because of its expected wait.

        :param rank: rank of the request.
        """
        self.metrics.count("endpoints_skipped", str(rank))

    def record_run(
        self,
        rank: int,
        request_id: str,
        waited_s: float,
        took_s: float,
        outcome: str,
        success: bool,
        make_fields: MakeFields,
    ) -> None:
        """Record that an owned endpoint finished with a request.

        :param rank: rank of the route.
        :param request_id: id of the request.
        :param waited_s: seconds in the endpoint's queue.
        :param took_s: seconds at the endpoint.
        :param outcome: how the attempt ended.
        :param success: whether the endpoint responded without a server
            error.
        :param make_fields: computes the optional fields of the log line.
        """
        self.metrics.count("runs", f"{rank}/{outcome}")
        self.metrics.record(str(rank), "queue", waited_s)
        self.metrics.record(str(rank), "endpoint", took_s)
        if success and not is_sampled(request_id):
            return
        log_event(
            "request_run",
            request=request_id,
            rank=rank,
            outcome=outcome,
            waited_ms=format_ms(waited_s),
            took_ms=format_ms(took_s),
            **make_fields(),
        )
