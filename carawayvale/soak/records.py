"""What callers and endpoints saw of each request."""

from dataclasses import dataclass
from dataclasses import field


@dataclass
class SentRequest:
    """One request of a caller, from its last byte to its end.

    :param request_id: id of the request.
    :param idempotent: whether it may run more than once.
    :param gateway: number of the gateway that got it.
    :param sent_s: time at which its last byte was sent.
    :param ended_s: time of the answer, or of the end of the connection.
    :param status: status of the answer; 0 without one.
    :param echoed_id: id that the answer names; empty for none.
    :param stamp: stamp of the endpoint; empty for none.
    :param body: body of the answer.
    :param gave_up: whether the caller closed the connection itself.
    """

    request_id: str
    idempotent: bool
    gateway: int
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    echoed_id: str = ""
    stamp: str = ""
    body: bytes = b""
    gave_up: bool = False


@dataclass(frozen=True)
class Run:
    """One run of a request at an endpoint.

    :param endpoint: name of the endpoint.
    :param begun_s: time at which it began.
    """

    endpoint: str
    begun_s: float


@dataclass(frozen=True)
class Disturbance:
    """Time in which a gateway was disturbed without a plan.

    :param gateway: number of the gateway.
    :param begun_s: start of the trouble.
    :param ended_s: time at which the gateway was sound again.
    """

    gateway: int
    begun_s: float
    ended_s: float


@dataclass
class Record:
    """All that was seen in one soak.

    :param requests: the requests of all callers that have ended.
    :param runs: the runs by id of the request.
    :param broken_off: ids of the requests at which an endpoint broke off.
    :param disturbances: the unplanned troubles.
    :param events: time and description of each trouble, for the report.
    """

    requests: list[SentRequest] = field(default_factory=list)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    broken_off: set[str] = field(default_factory=set)
    disturbances: list[Disturbance] = field(default_factory=list)
    events: list[tuple[float, str]] = field(default_factory=list)


def make_body(request_id: str) -> bytes:
    """Make the body with which an endpoint answers a request.

    :param request_id: id of the request.
    :returns: the body.
    """
    return f"answer to {request_id}; ".encode() * 8
