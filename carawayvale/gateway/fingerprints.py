"""Recognize a request that is sent again."""

from hashlib import blake2b

from carawayvale.gateway.http_messages import Request

FINGERPRINT_BYTES = 16


def make_fingerprint(request: Request) -> bytes:
    """Make the fingerprint of what a request asks for.

    Requests of one caller that differ only in other headers, such as their
    id and deadline, have the same fingerprint.

    :param request: the request.
    :returns: a hash of method, host, target, credentials and body.

    >>> first = Request("GET", "/a", ((b"x-request-id", b"1"),), b"", 0.0)
    >>> again = Request("GET", "/a", ((b"x-request-id", b"2"),), b"", 9.0)
    >>> make_fingerprint(first) == make_fingerprint(again)
    True
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    fields = (
        request.method.encode("latin-1"),
        (request.find(b"host") or b"").lower(),
        request.target.encode("latin-1", "replace"),
        request.find(b"authorization") or b"",
        request.find(b"cookie") or b"",
        request.body,
    )
    for field in fields:
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return digest.digest()
