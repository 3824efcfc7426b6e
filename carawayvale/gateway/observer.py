"""Counts and logs what becomes of requests.

Every request that is refused or fails writes a line; of those that are
served one in a number does, chosen by the request's id, so that all
instances choose the same ones.
"""

from collections.abc import Callable
from collections.abc import Mapping
from enum import Enum

from carawayvale.contracts.hashing import hash_text
from carawayvale.telemetry.logs import log_event
from carawayvale.telemetry.metrics import Metrics

# One served request in this many is logged.
SAMPLE_ONE_IN = 64

MS_PER_S = 1000.0

Describe = Callable[[], Mapping[str, object]]


def is_sampled(request_id: str) -> bool:
    """Tell whether a served request is logged.

    :param request_id: id of the request.
    :returns: whether it is among the sampled ones.
    """
    return hash_text(request_id) % SAMPLE_ONE_IN == 0


def format_ms(seconds: float) -> int:
    """Convert a time for a log line.

    :param seconds: seconds.
    :returns: milliseconds.
    """
    return int(seconds * MS_PER_S)


class RequestOutcome(Enum):
    """What a caller's request came to."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"


class RequestObserver:
    """Metrics and log lines of one instance's requests.

    Kinds of counters and histograms begin with the rank of the route.
    What a line says besides is only worked out if the line is written.
    """

    def __init__(self):
        self.metrics = Metrics()

    def note_end(
        self,
        end: RequestOutcome,
        rank: int,
        request_id: str,
        describe: Describe,
    ) -> None:
        """Record what a caller's request came to.

        :param end: what it came to.
        :param rank: rank of the route.
        :param request_id: id of the request.
        :param describe: makes the further fields of the log line.
        """
        self.metrics.count("requests", f"{rank}/{end.value}")
        if end is RequestOutcome.ANSWERED and not is_sampled(request_id):
            return
        log_event(
            f"request_{end.value}",
            request=request_id,
            rank=rank,
            **describe(),
        )

    def note_answer_time(self, rank: int, took_s: float) -> None:
        """Record how long a caller waited for its answer.

        :param rank: rank of the route.
        :param took_s: seconds since the head of its request arrived.
        """
        self.metrics.record(str(rank), "caller", took_s)

    def note_refusal_reason(self, rank: int, reason: str) -> None:
        """Count why a request was refused.

        :param rank: rank of the route.
        :param reason: why.
        """
        self.metrics.count("refusals", f"{rank}/{reason}")

    def note_ejection(self, service: str, endpoint: str, cause: str) -> None:
        """Record that an endpoint is taken out of use.

        :param service: name of its service.
        :param endpoint: its name.
        :param cause: why.
        """
        self.metrics.count("ejections", service)
        log_event(
            "endpoint_ejected", "WARNING", endpoint=endpoint, cause=cause
        )

    def note_attempt(self, rank: int, outcome: str) -> None:
        """Count one owner's answer to a request of this instance.

        :param rank: rank of the route.
        :param outcome: how the attempt ended.
        """
        self.metrics.count("attempts", f"{rank}/{outcome}")

    def note_run(
        self,
        rank: int,
        request_id: str,
        waited_s: float,
        took_s: float,
        outcome: str,
        sound: bool,
        describe: Describe,
    ) -> None:
        """Record that an owned endpoint has finished with a request.

        :param rank: rank of the route.
        :param request_id: id of the request.
        :param waited_s: seconds in the endpoint's queue.
        :param took_s: seconds at the endpoint.
        :param outcome: how it ended.
        :param sound: whether it is the answer of a sound endpoint.
        :param describe: makes the further fields of the log line.
        """
        self.metrics.count("runs", f"{rank}/{outcome}")
        self.metrics.record(str(rank), "queue", waited_s)
        self.metrics.record(str(rank), "endpoint", took_s)
        if sound and not is_sampled(request_id):
            return
        log_event(
            "request_run",
            request=request_id,
            rank=rank,
            outcome=outcome,
            waited_ms=format_ms(waited_s),
            took_ms=format_ms(took_s),
            **describe(),
        )
