"""The request that an instance sends to the owner of an endpoint."""

from dataclasses import dataclass

from carawayvale.gateway.http_messages import Request


@dataclass(frozen=True)
class OwnerRequest:
    """A request for an owner, with the parameters of one attempt.

    :param request: the request as the caller sent it.
    :param rank: priority; 0 is the most urgent.
    :param key: the object that the request concerns.
    :param idempotent: whether the request may run more than once.
    :param objective_s: latency objective, as a time; the response is
        best before it.
    :param deadline_s: time by which the response is due.
    :param may_be_late: whether the request may be queued past its
        objective.
    :param may_warm_up: whether the endpoint is one that keeps the object,
        so that the request may be its warm-up.
    :param may_use_failing: whether an endpoint that fails many requests
        may serve it.
    """

    request: Request
    rank: int
    key: str
    idempotent: bool
    objective_s: float
    deadline_s: float
    may_be_late: bool = False
    may_warm_up: bool = False
    may_use_failing: bool = False

    @property
    def organisation(self) -> str:
        """Name of the caller's organisation; empty if there are none."""
        return self.request.organisation
