"""Complete requests and responses."""

from dataclasses import dataclass

from carawayvale.links.http import find_header


@dataclass(frozen=True)
class Request:
    """A complete request.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: lower-case names and values.
    :param body: the body.
    :param arrived_s: time at which the head arrived, by the boot clock.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived_s: float

    def find(self, name: bytes) -> bytes | None:
        """Find the value of a header.

        :param name: name in lower case.
        :returns: the first value, or None.
        """
        return find_header(self.headers, name)

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
    body: bytes = b""
    close: bool = False
