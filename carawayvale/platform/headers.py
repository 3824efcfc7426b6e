"""Names of the HTTP headers that the platform uses."""

from carawayvale.catalogue.header_names import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id=b"x-request-id",
    deadline_ms=b"x-deadline-ms",
    affinity=b"x-affinity-key",
    stamp=b"x-server-stamp",
    not_run=b"x-not-executed",
    expected_endpoint=b"x-expect-instance",
    endpoint=b"x-instance-id",
    load=b"x-server-load",
    cold_ms=b"x-cold-ms",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    pause=b"retry-after",
    credentials=b"authorization",
    credentials_scheme=b"token",
    organisation=b"x-tenant",
)
