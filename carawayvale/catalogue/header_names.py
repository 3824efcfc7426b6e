"""Names of the headers that callers and backend servers understand."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HeaderNames:
    """Header names, in lower case.

    :param request_id: identity of one attempt of a caller.
    :param deadline_ms: milliseconds that the sender will wait.
    :param affinity: the object that a request concerns.
    :param stamp: a backend server's signature of its answer.
    :param not_run: marks an answer whose request was not run.
    :param expected_endpoint: the endpoint that a request is meant for.
    :param endpoint: the endpoint that answered a health check.
    :param load: running and waiting requests, and slots.
    :param cold_ms: how long the endpoint stays cold, in milliseconds.
    """

    request_id: bytes
    deadline_ms: bytes
    affinity: bytes
    stamp: bytes
    not_run: bytes
    expected_endpoint: bytes
    endpoint: bytes
    load: bytes
    cold_ms: bytes
