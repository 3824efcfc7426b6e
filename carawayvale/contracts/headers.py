"""HTTP headers and paths of callers, entry instances and backend servers."""

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

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        TRANSFER_ENCODING,
        b"upgrade",
    }
)

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
