"""Reasons for error responses to callers and their HTTP statuses."""

from dataclasses import dataclass
from enum import Enum


class Reason(Enum):
    """Reason for an error response in place of a backend server's response.

    NOT_READY: the entry instance is not ready to serve requests.
    QUEUE_FULL: the wait in the queue exceeds the limit of the rank.
    DEADLINE: the request cannot complete before its deadline and did not
        run.
    DEADLINE_STARTED: the deadline passed after an attempt had started.
    BUDGET: the retry of a caller exceeds the retry budget of the service.
    NO_CAPACITY: no endpoint can run the request.
    NO_CREDIT: no credit is left to serve a request whose home is another
        region.
    NOT_OWNER: the entry instance owns no shard for the request.
    BACKEND_REFUSED: a backend server stated that it did not run the
        request.
    BACKEND_BROKEN: the connection to a backend server broke.
    BAD_TICKET: the ticket is malformed or has a wrong signature.
    TICKET_EXPIRED: the ticket is not valid and the submission has not run.
    IN_PROGRESS: the submission is still claimed or started.
    OUTCOME_UNKNOWN: the request may or may not have run.
    ANSWER_GONE: the submission has run, but the body of its response was
        not kept.
    LEDGER_FULL: the ledger has no room for another submission.
    """

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
