"""Checks of the heads of responses that the HTTP parser lets pass."""

import re

HeaderPairs = tuple[tuple[bytes, bytes], ...]

# Statuses of responses; others have no meaning to any caller.
MIN_STATUS = 100
MAX_STATUS = 599

# Statuses of responses that never have a body.
BODILESS_STATUSES = frozenset({204, 304})

# Bytes that no header value may contain. The parser rejects NUL, CR and LF
# itself, and the tabulator is allowed.
CONTROL_BYTES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")

CHUNKED_VERSION = b"1.1"


def is_valid_status(status: int) -> bool:
    """Tell whether a number is the status of a response.

    :param status: the number.
    :returns: whether it is.

    >>> is_valid_status(599), is_valid_status(600)
    (True, False)
    """
    return MIN_STATUS <= status <= MAX_STATUS


def find_violation(status: int, version: bytes, headers: HeaderPairs) -> str:
    """Find what makes a parsed head invalid.

    A response with both a length and chunked encoding, or with chunked
    encoding in a version that has none, may end at another place for
    another reader, so that what follows would be taken for a response.

    :param status: status of the response.
    :param version: its version of HTTP, as ``1.1``.
    :param headers: its headers.
    :returns: the violation; empty for a valid head.

    >>> find_violation(600, b"1.1", ())
    'status 600'
    >>> find_violation(200, b"1.1", ())
    ''
    """
    if not is_valid_status(status):
        return f"status {status}"
    if not version.startswith(b"1."):
        return f"version HTTP/{version.decode('latin-1')}"
    if CONTROL_BYTES.search(b"".join([value for _, value in headers])):
        return "control byte in a header"
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names:
        if version < CHUNKED_VERSION:
            return "chunked encoding in version HTTP/1.0"
        if b"content-length" in names:
            return "both a length and chunked encoding"
    return ""


def may_have_unread_body(status: int, headers: HeaderPairs) -> bool:
    """Tell whether bytes may follow a response that has no body.

    Some servers send the body that the headers of such a response announce,
    against the standard; it would be taken for the next response.

    :param status: status of the response.
    :param headers: its headers.
    :returns: whether the headers of a 204 or 304 announce a body.

    >>> may_have_unread_body(204, ((b"content-length", b"2"),))
    True
    >>> may_have_unread_body(200, ((b"content-length", b"2"),))
    False
    """
    if status not in BODILESS_STATUSES:
        return False
    return any(
        name == b"transfer-encoding"
        or (name == b"content-length" and int(value) > 0)
        for name, value in headers
    )
