"""Reasons for error responses to callers and their HTTP statuses."""

from dataclasses import dataclass
from enum import Enum


class Reason(Enum):
    """Why a caller gets an error instead of a response of a backend server."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_READY = "not_ready"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    DEADLINE_STARTED = "deadline_started"
    BUDGET = "retry_budget"
    NO_CAPACITY = "no_capacity"
    NO_CREDIT = "no_credit"
    NOT_OWNER = "not_owner"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_BROKEN = "backend_broken"
    OWNER_UNREACHABLE = "owner_unreachable"
    BAD_TICKET = "bad_ticket"
    TICKET_EXPIRED = "ticket_expired"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_GONE = "answer_gone"
    LEDGER_FULL = "ledger_full"


@dataclass(frozen=True)
class Refusal:
    """An error response that is sent to a caller.

    :param reason: reason for the error.
    :param status: HTTP status.
    :param not_run: whether it is certain that the request did not run.
    :param retry_after_s: seconds after which a retry may succeed; 0 if
        a retry does not help.
    """

    reason: Reason
    status: int
    not_run: bool
    retry_after_s: float = 0.0


REFUSALS = {
    refusal.reason: refusal
    for refusal in (
        Refusal(Reason.BAD_REQUEST, 400, True),
        Refusal(Reason.UNKNOWN_SERVICE, 404, True),
        Refusal(Reason.NOT_READY, 503, True, 1.0),
        Refusal(Reason.QUEUE_FULL, 503, True, 1.0),
        Refusal(Reason.DEADLINE, 504, True),
        Refusal(Reason.DEADLINE_STARTED, 504, False),
        Refusal(Reason.BUDGET, 503, True, 2.0),
        Refusal(Reason.NO_CAPACITY, 503, True, 1.0),
        Refusal(Reason.NO_CREDIT, 503, True, 1.0),
        Refusal(Reason.NOT_OWNER, 503, True, 1.0),
        Refusal(Reason.BACKEND_REFUSED, 503, True, 1.0),
        Refusal(Reason.BACKEND_BROKEN, 502, False),
        Refusal(Reason.OWNER_UNREACHABLE, 503, True, 1.0),
        Refusal(Reason.BAD_TICKET, 400, True),
        Refusal(Reason.TICKET_EXPIRED, 410, True),
        Refusal(Reason.IN_PROGRESS, 409, False, 1.0),
        Refusal(Reason.OUTCOME_UNKNOWN, 502, False),
        Refusal(Reason.ANSWER_GONE, 409, False),
        Refusal(Reason.LEDGER_FULL, 503, True, 1.0),
    )
}
