"""Complete requests and responses."""

from dataclasses import dataclass
from dataclasses import field
from functools import cached_property
from hashlib import blake2b

from carawayvale.gateway.response_memory import RequestMemory
from carawayvale.links.http import find_header

FINGERPRINT_BYTES = 16


@dataclass(frozen=True)
class Request:
    """A complete request.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: lower-case names and values.
    :param body: the body, which is not changed any more.
    :param arrived_s: time at which the head arrived, by the boot clock.
    :param organisation: name of the organisation that the caller belongs
        to; empty if callers need no keys.
    :param response_memory: memory of the responses to the request; None if
        they are not counted.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | bytearray
    arrived_s: float
    organisation: str = ""
    response_memory: RequestMemory | None = field(
        default=None, compare=False, repr=False
    )

    def find(self, name: bytes) -> bytes | None:
        """Find the value of a header.

        :param name: name in lower case.
        :returns: the first value, or None.
        """
        return find_header(self.headers, name)

    def find_all(self, name: bytes) -> list[bytes]:
        """Find all values of a header.

        :param name: name in lower case.
        :returns: the values in the order of the headers.
        """
        return [value for key, value in self.headers if key == name]

    def find_text(self, name: bytes) -> str:
        """Find the value of a header as text.

        :param name: name in lower case.
        :returns: the first value; empty if there is none.
        """
        return (self.find(name) or b"").decode("latin-1")

    @property
    def path(self) -> str:
        """Target without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Query of the target."""
        return self.target.partition("?")[2]

    @cached_property
    def fingerprint(self) -> bytes:
        """Hash of what the request asks for.

        Requests of one caller that differ only in other headers, such as
        their id and deadline, have the same fingerprint.

        >>> first = Request("GET", "/a", ((b"x-request-id", b"1"),), b"", 0.0)
        >>> again = Request("GET", "/a", ((b"x-request-id", b"2"),), b"", 9.0)
        >>> first.fingerprint == again.fingerprint
        True
        """
        digest = blake2b(digest_size=FINGERPRINT_BYTES)
        parts = (
            self.method.encode("latin-1"),
            (self.find(b"host") or b"").lower(),
            self.target.encode("latin-1", "replace"),
            self.find(b"authorization") or b"",
            self.find(b"cookie") or b"",
            self.body,
        )
        if self.organisation:
            # The key itself is known to the entry instance only.
            parts += (self.organisation.encode(),)
        for part in parts:
            digest.update(b"%d:" % len(part))
            digest.update(part)
        return digest.digest()


@dataclass(frozen=True)
class Response:
    """A complete response.

    :param status: HTTP status.
    :param headers: headers without those that frame the body.
    :param body: the body.
    :param close: whether the connection is closed after the response.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes | bytearray = b""
    close: bool = False
