"""Names of the HTTP headers shared with callers and backend servers."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HeaderNames:
    """HTTP header names in lower case.

    :param request_id: id of one request attempt of a caller.
    :param deadline_ms: milliseconds that the sender waits for a response.
    :param affinity: the object that a request concerns.
    :param stamp: signature of a response by the backend server.
    :param not_run: marks a response to a request that was not run.
    :param expected_endpoint: the endpoint that a request is sent to.
    :param endpoint: the endpoint that responded to a health check.
    :param load: numbers of running and waiting requests and of slots.
    :param cold_ms: how long the endpoint stays cold, in milliseconds.
    :param rate_limit: requests per second that the endpoint takes from
        all instances together.
    :param leaving: marks the responses of an endpoint that is leaving.
    :param pause: seconds for which an endpoint wants nothing from the
        instance whose request it refused.
    :param credentials: the key by which a caller identifies its
        organisation.
    :param credentials_scheme: authentication scheme of the key, in lower
        case.
    :param organisation: name of the organisation of a request, which
        instances set for endpoints.
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
    rate_limit: bytes
    leaving: bytes
    pause: bytes
    credentials: bytes = b"authorization"
    credentials_scheme: bytes = b"token"
    organisation: bytes = b""
