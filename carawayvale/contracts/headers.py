"""HTTP headers and paths of callers, entry instances and backend servers."""

from collections.abc import Iterable

REQUEST_ID = b"carawayvale-request-id"
DEADLINE_MS = b"carawayvale-deadline-ms"
ATTEMPT = b"carawayvale-attempt"
TICKET = b"carawayvale-ticket"
HOP = b"carawayvale-hop"
HOME = b"carawayvale-home"
CALLER_ADDRESS = b"carawayvale-caller"
SERVICE = b"carawayvale-service"
LOAD = b"carawayvale-load"
DRAINING = b"carawayvale-draining"
NOT_RUN = b"carawayvale-not-run"
REASON = b"carawayvale-reason"
SERVED_BY = b"carawayvale-served-by"
TRACEPARENT = b"traceparent"
RETRY_AFTER = b"retry-after"
HOST = b"host"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CACHE_CONTROL = b"cache-control"

YES = b"1"
LOOKUP_PATH = "/.well-known/carawayvale/lookup"
CANCEL_PATH = "/.well-known/carawayvale/requests/"
HEALTH_PATH = "/health"

CONNECTION = b"connection"

# Headers that concern one connection, or the framing on it.
HOP_BY_HOP = frozenset(
    {
        CONNECTION,
        CONTENT_LENGTH,
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        TRANSFER_ENCODING,
        b"upgrade",
    }
)


def strip_hop_by_hop(
    headers: Iterable[tuple[bytes, bytes]],
    kept: frozenset[bytes] = frozenset(),
) -> list[tuple[bytes, bytes]]:
    """Drop the headers that concern one connection only.

    It has to be called before anything is added to the headers, since their
    sender names what is dropped.

    :param headers: lower-case names and values, as one party sent them.
    :param kept: names that the sender cannot have dropped.
    :returns: the other headers.

    >>> strip_hop_by_hop([(b"connection", b"A"), (b"a", b"1"), (b"b", b"2")])
    [(b'b', b'2')]
    """
    headers = list(headers)
    declared = {
        name.strip().lower()
        for header, value in headers
        if header == CONNECTION
        for name in value.split(b",")
    }
    dropped = HOP_BY_HOP | (declared - kept)
    return [(name, value) for name, value in headers if name not in dropped]


# Request headers that entry instances set and do not copy from a caller.
SYSTEM_HEADERS = frozenset(
    {
        REQUEST_ID,
        DEADLINE_MS,
        ATTEMPT,
        TICKET,
        HOP,
        HOME,
        CALLER_ADDRESS,
        TRACEPARENT,
        HOST,
        CONTENT_LENGTH,
        b"expect",
    }
)

# Response headers of a backend server that are meant for the entry instance
# and are not copied to the caller.
BACKEND_HEADERS = frozenset(
    {REQUEST_ID, LOAD, DRAINING, NOT_RUN, SERVED_BY, CONTENT_LENGTH}
)
