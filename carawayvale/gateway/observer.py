"""Counts and logs what becomes of requests.

Every request that is refused or fails writes a line; of those that are
served one in a number does, chosen by the request's id, so that all
instances choose the same ones.
"""

from carawayvale.contracts.hashing import hash_text
from carawayvale.telemetry.logs import log_event
from carawayvale.telemetry.metrics import Metrics

# One served request in this many is logged.
SAMPLE_ONE_IN = 64

MS_PER_S = 1000.0


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


class RequestObserver:
    """Metrics and log lines of one instance's requests.

    Kinds of counters and histograms begin with the rank of the route.
    """

    def __init__(self):
        self.metrics = Metrics()

    def note_answer(
        self, rank: int, request_id: str, took_s: float, **fields: object
    ) -> None:
        """Record that a caller gets the answer of an endpoint.

        :param rank: rank of the route.
        :param request_id: id of the request.
        :param took_s: seconds since its head arrived.
        :param fields: further fields of the log line.
        """
        self.metrics.count("requests", f"{rank}/answered")
        self.metrics.record(str(rank), "caller", took_s)
        if is_sampled(request_id):
            log_event(
                "request_answered",
                request=request_id,
                rank=rank,
                took_ms=format_ms(took_s),
                **fields,
            )

    def note_refusal(
        self, rank: int, request_id: str, reason: str, **fields: object
    ) -> None:
        """Record that a request is refused; it has not run.

        :param rank: rank of the route.
        :param request_id: id of the request.
        :param reason: why it is refused.
        :param fields: further fields of the log line.
        """
        self.metrics.count("requests", f"{rank}/refused")
        self.metrics.count("refusals", f"{rank}/{reason}")
        log_event(
            "request_refused",
            request=request_id,
            rank=rank,
            reason=reason,
            **fields,
        )

    def note_failure(
        self, rank: int, request_id: str, status: int, **fields: object
    ) -> None:
        """Record that a request may have run and has no answer.

        :param rank: rank of the route.
        :param request_id: id of the request.
        :param status: status that the caller gets.
        :param fields: further fields of the log line.
        """
        self.metrics.count("requests", f"{rank}/failed")
        log_event(
            "request_failed",
            request=request_id,
            rank=rank,
            status=status,
            **fields,
        )

    def note_abandoned(
        self, rank: int, request_id: str, took_s: float, **fields: object
    ) -> None:
        """Record that a caller left before it had an answer.

        :param rank: rank of the route.
        :param request_id: id of the request.
        :param took_s: seconds since its head arrived.
        :param fields: further fields of the log line.
        """
        self.metrics.count("requests", f"{rank}/abandoned")
        log_event(
            "request_abandoned",
            request=request_id,
            rank=rank,
            took_ms=format_ms(took_s),
            **fields,
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
        **fields: object,
    ) -> None:
        """Record that an owned endpoint has finished with a request.

        :param rank: rank of the route.
        :param request_id: id of the request.
        :param waited_s: seconds in the endpoint's queue.
        :param took_s: seconds at the endpoint.
        :param outcome: how it ended.
        :param sound: whether it is the answer of a sound endpoint.
        :param fields: further fields of the log line.
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
            **fields,
        )
