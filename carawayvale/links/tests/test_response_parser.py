"""Tests of the HTTP client with arbitrary bytes in place of responses."""

import curio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http_client import HttpClient

MAX_BODY_BYTES = 1 << 16
HEADERS = [(b"host", b"a")]

# The response to the second request on a connection.
SECOND = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond"

# Parts of responses, valid and invalid, whose combinations reach the edges
# of the parser sooner than random bytes.
FRAGMENTS = st.sampled_from(
    [
        *(b"HTTP/1.1 ", b"HTTP/1.0 ", b"HTTP/2.0 ", b"HTTP/1.10 "),
        *(b"200 OK", b"204 X", b"304 X", b"100 X", b"101 X", b"600 X"),
        *(b"000", b"99", b"1000", b"-20", b"2OO"),
        *(b"\r\n", b"\r\n\r\n", b"\n", b"\r", b" ", b"\t", b":", b"\x00"),
        *(b"content-length: 5", b"content-length: -1", b"content-length: 0"),
        *(b"content-length: 5, 5", b"content-length: 99999999999999999999"),
        *(b"transfer-encoding: chunked", b"transfer-encoding: gzip"),
        *(b"5\r\nfirst\r\n", b"0\r\n\r\n", b"5;x=y\r\n", b"-1\r\n"),
        *(b"first", b"x-a: 1", b"x-a: \x01", b"connection: close"),
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst",
    ]
)
STATUS_LINES = st.builds(
    b"HTTP/%b %b\r\n".__mod__,
    st.tuples(
        st.sampled_from([b"1.1", b"1.1", b"1.1", b"1.0", b"1.2", b"2.0"]),
        st.sampled_from(
            [b"200 OK", b"204 X", b"304 X", b"103 X", b"599", b"600", b"999"]
        ),
    ),
)
FIELDS = st.sampled_from(
    [
        *(b"content-length: 5", b"content-length: 0", b"content-length: 4"),
        *(b"transfer-encoding: chunked", b"connection: close"),
        *(b"x-a: 1", b"x-a: \x01", b"x-a: \x7f", b"x-a : 1", b" folded"),
    ]
)
BODIES = st.sampled_from(
    [b"first", b"", b"5\r\nfirst\r\n0\r\n\r\n", b"5\r\nfirstX0\r\n\r\n"]
)


@st.composite
def make_messages(draw):
    """Make a message in the form of a response."""
    fields = draw(st.lists(FIELDS, max_size=3))
    lines = b"".join(field + b"\r\n" for field in fields)
    return draw(STATUS_LINES) + lines + b"\r\n" + draw(BODIES)


MESSAGES = st.one_of(
    make_messages(),
    st.lists(make_messages(), min_size=2, max_size=3).map(b"".join),
    st.lists(FRAGMENTS, max_size=12).map(b"".join),
    st.lists(st.one_of(FRAGMENTS, st.binary(max_size=4)), max_size=12).map(
        b"".join
    ),
    st.binary(max_size=64),
)

# Valid responses whose body is "first".
FRAMED = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        b"2\r\nfi\r\n3;a=b\r\nrst\r\n0\r\nx-a: 1\r\n\r\n",
        b"HTTP/1.1 103 X\r\nlink: a\r\n\r\n"
        b"HTTP/1.1 500 X\r\ncontent-length: 5\r\n\r\nfirst",
    ]
)


class ScriptedSocket:
    """Socket that returns given chunks, and serves as its own plain socket.

    :param chunks: chunks that arrive.
    :param closes: whether the connection ends after them.
    """

    def __init__(self, chunks, closes):
        self.chunks = [chunk for chunk in chunks if chunk]
        self.closes = closes
        self._socket = PlainSocket(self)

    async def sendall(self, data):
        pass

    async def recv(self, count):
        if self.chunks:
            return self.chunks.pop(0)
        if self.closes:
            return b""
        raise OSError("no data before the deadline")


class PlainSocket:
    """The plain socket of a scripted one."""

    def __init__(self, scripted):
        self.scripted = scripted

    def getpeername(self):
        return ("127.0.0.1", 1)

    def recv(self, count, flags):
        if self.scripted.chunks:
            return self.scripted.chunks[0][:count]
        if self.scripted.closes:
            return b""
        raise BlockingIOError


def split(data, places):
    """Split bytes at some places."""
    bounds = [0, *sorted(place % (len(data) + 1) for place in places)]
    ends = [*bounds[1:], len(data)]
    return [data[i:j] for i, j in zip(bounds, ends, strict=True)]


async def exchange(client, method="GET"):
    """Send a request and read the response; None if it is visibly broken."""
    try:
        await client.send_request(method, "/", HEADERS)
        head = await client.read_head()
        return head, await client.read_body(MAX_BODY_BYTES)
    except ConnectionBroken:
        return None


async def exchange_again(client):
    """Send a second request, if the connection may be used for it.

    :returns: whether it may, and the response.
    """
    if not client.reset() or client.has_closed():
        return False, None
    client.sock.chunks.append(SECOND)
    return True, await exchange(client)


PLACES = st.lists(st.integers(0, 1000), max_size=4)
METHODS = st.sampled_from(["GET", "POST", "HEAD"])


class TestArbitraryBytes:
    # Guards against bytes that are no response being passed on, and against
    # the rest of one response being read as the next.
    @given(MESSAGES, PLACES, st.booleans(), METHODS)
    @settings(max_examples=500, deadline=None)
    def test_response_is_valid_or_visibly_broken(
        self, data, places, closes, method
    ):
        async def run():
            sock = ScriptedSocket(split(data, places), closes)
            client = HttpClient(sock)
            first = await exchange(client, method)
            if first is not None:
                head, body = first
                assert 200 <= head.status <= 599
                assert body in data or b"chunked" in data
                for name, value in head.headers:
                    assert name and name == name.lower()
                    assert not set(value) & {*range(9), *range(10, 32), 127}
                if method == "HEAD" or head.status in (204, 304):
                    assert body == b""
            again, second = await exchange_again(client)
            if again:
                assert first is not None
                assert second is not None
                assert second[1] == b"second"

        curio.run(run)

    # Guards against one of two responses at once being read as the next.
    @given(FRAMED, st.one_of(MESSAGES, FRAMED), PLACES, st.booleans())
    @settings(max_examples=300, deadline=None)
    def test_bytes_after_a_response_are_never_the_next_one(
        self, framed, rest, places, closes
    ):
        async def run():
            sock = ScriptedSocket(split(framed + rest, places), closes)
            client = HttpClient(sock)
            first = await exchange(client)
            assert first is not None
            assert first[1] == b"first"
            again, second = await exchange_again(client)
            assert again == (not rest and not closes)
            if again:
                assert second is not None
                assert second[1] == b"second"

        curio.run(run)

    @given(FRAMED, st.integers(0, 200), PLACES)
    @settings(max_examples=200, deadline=None)
    def test_truncated_response_is_visibly_broken(self, framed, end, places):
        async def run():
            data = framed[: end % len(framed)]
            client = HttpClient(ScriptedSocket(split(data, places), True))
            assert await exchange(client) is None

        curio.run(run)
