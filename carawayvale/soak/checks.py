"""Checks of a soak's record, each for one promise to callers."""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass

from carawayvale.soak.records import make_body
from carawayvale.soak.records import Record
from carawayvale.soak.records import SentRequest

# Statuses that promise that the request has not run.
REFUSING_STATUSES = frozenset({408, 421, 429, 503})

# A connection may end without an answer within this time after the last
# byte of the request, as the request then crossed its close.
LOSS_SLACK_S = 0.2

# Trouble excuses what ends up to this long after it.
STABLE_S = 3.0


@dataclass(frozen=True)
class Violation:
    """One broken promise.

    :param rule: name of the promise.
    :param request: the request.
    :param detail: what was seen.
    """

    rule: str
    request: SentRequest
    detail: str


Check = Callable[[Record, SentRequest], Iterator[str]]
CHECKS: dict[str, Check] = {}


def check(rule: str) -> Callable[[Check], Check]:
    """Register the check of a promise.

    :param rule: name of the promise.
    :returns: the decorator.
    """

    def register(function: Check) -> Check:
        CHECKS[rule] = function
        return function

    return register


@check("twice")
def find_second_run(record: Record, request: SentRequest) -> Iterator[str]:
    """Find a non-idempotent request that ran more than once."""
    runs = record.runs.get(request.request_id, [])
    if not request.idempotent and len(runs) > 1:
        yield " ".join(f"{r.endpoint}@{r.begun_s:.3f}" for r in runs)


@check("refused")
def find_refused_run(record: Record, request: SentRequest) -> Iterator[str]:
    """Find a non-idempotent request that was refused and ran."""
    if request.idempotent or request.status not in REFUSING_STATUSES:
        return
    if request.request_id in record.runs:
        yield f"status {request.status}"


@check("mixed")
def find_foreign_answer(record: Record, request: SentRequest) -> Iterator[str]:
    """Find a success that is not the endpoint's whole answer."""
    if request.status // 100 != 2:
        return
    if request.echoed_id != request.request_id:
        yield f"answer to {request.echoed_id}"
    elif not request.stamp:
        yield "no stamp"
    elif request.body != make_body(request.request_id):
        yield f"{len(request.body)} bytes of another body"


@check("lost")
def find_lost_request(record: Record, request: SentRequest) -> Iterator[str]:
    """Find a request that ended with its connection, without an answer."""
    if request.status or request.gave_up:
        return
    if request.request_id in record.broken_off:
        return
    if _is_disturbed(record, request):
        return
    held_s = request.ended_s - request.sent_s
    ran = request.request_id in record.runs
    if ran or held_s > LOSS_SLACK_S:
        yield f"held {held_s:.3f} s, {'ran' if ran else 'not run'}"


def _is_disturbed(record: Record, request: SentRequest) -> bool:
    return any(
        trouble.gateway == request.gateway
        and trouble.begun_s <= request.ended_s
        and request.sent_s <= trouble.ended_s + STABLE_S
        for trouble in record.disturbances
    )


def check_record(record: Record) -> list[Violation]:
    """Check all promises.

    :param record: what was seen.
    :returns: the broken ones.
    """
    return [
        Violation(rule, request, detail)
        for rule, find in CHECKS.items()
        for request in record.requests
        for detail in find(record, request)
    ]
