"""Tests of responses that are none, from endpoints, owners and the store."""

from contextlib import asynccontextmanager
from contextlib import contextmanager
from dataclasses import replace

import curio
from loguru import logger
import pytest

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.forward_table import ForwardTable
from carawayvale.gateway.forward_table import OwnerProcess
from carawayvale.gateway.forwarding import forward_request
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.owner_messages import decode_result
from carawayvale.gateway.owner_messages import encode_result
from carawayvale.gateway.owner_messages import RESULT_HEADER
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.gateway.tests.test_owned_endpoint import make_owned_endpoint
from carawayvale.gateway.upstream import Upstream
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.links.connections import ConnectionPool
from carawayvale.platform.headers import HEADER_NAMES
from carawayvale.platform.store_client import StoreClient
from carawayvale.platform.store_client import Write
from carawayvale.platform.store_responses import StoreFailed
from carawayvale.platform.tests.fakes import open_raw_port
from carawayvale.steering.health import FAILURES_TO_EJECT

REMAINING_S = 20.0
MAX_LOGGED_CAUSE = 200

# Endpoints, health checks, owners and the store all find what they need.
FIELDS = (
    b"x-request-id: id-1\r\nx-server-stamp: sig\r\nx-instance-id: i-1\r\n"
    b"caraway-result: answered;200;0;0;1;\r\n"
)
LENGTH = FIELDS + b"content-length: 2\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"transfer-encoding: chunked\r\n"
MORE_DIGITS = b"9" * 30


def with_status_line(status_line):
    """Make a response that is valid apart from its status line."""
    return status_line + b"\r\n" + LENGTH + b"\r\n{}"


def with_fields(*lines):
    """Make a response without length from the lines of more headers."""
    return (
        b"HTTP/1.1 200 OK\r\n" + FIELDS + b"\r\n".join(lines) + b"\r\n\r\n{}"
    )


def with_header(line):
    """Make a response that is valid apart from one header line."""
    return with_fields(b"content-length: 2", line)


# Bytes that are no response, by what is wrong with them.
INVALID_RESPONSES = {
    **{
        f"status {status}": with_status_line(
            b"HTTP/1.1 %s X" % status.encode()
        )
        for status in (
            *("600", "999", "000", "099", "99", "1000"),
            *("2OO", "-20", "020", ""),
        )
    },
    **{
        f"version {version}": with_status_line(version.encode() + b" 200 OK")
        for version in (
            *("HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HTTP/1", "HTTP/1.10"),
            *("http/1.1", "ICY"),
        )
    },
    "chunked in version 1.0": CHUNKED.replace(b"/1.1", b"/1.0")
    + b"\r\n2\r\n{}\r\n0\r\n\r\n",
    "endless informational": b"HTTP/1.1 100 Continue\r\n\r\n" * 1000,
    "informational of version 2.0": b"HTTP/2.0 100 Continue\r\n\r\n"
    + with_status_line(b"HTTP/1.1 200 OK"),
    "unrequested 101": b"HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\n"
    + with_status_line(b"HTTP/1.1 200 OK"),
    "101 with a length": with_status_line(b"HTTP/1.1 101 Switching"),
    "two lengths": with_fields(b"content-length: 2", b"content-length: 1"),
    "two lengths in a header": with_fields(b"content-length: 2, 1"),
    "length and chunked": CHUNKED
    + b"content-length: 2\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "chunked twice": CHUNKED
    + b"transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "unknown encoding": with_fields(b"transfer-encoding: gzip"),
    "negative length": with_fields(b"content-length: -2"),
    "signed length": with_fields(b"content-length: +2"),
    "empty length": with_fields(b"content-length:"),
    "length in words": with_fields(b"content-length: two"),
    "huge length": with_fields(b"content-length: " + MORE_DIGITS),
    "negative chunk": CHUNKED + b"\r\n-2\r\n{}\r\n0\r\n\r\n",
    "prefixed chunk": CHUNKED + b"\r\n0x2\r\n{}\r\n0\r\n\r\n",
    "huge chunk": CHUNKED + b"\r\n" + MORE_DIGITS + b"\r\n{}\r\n0\r\n\r\n",
    "chunk without end": CHUNKED + b"\r\n2\r\n{}{}\r\n0\r\n\r\n",
    "empty status line": b"\r\n\r\n\r\n",
    "no HTTP": b"220 ready\r\n\r\n",
    "name with a space": with_header(b"x a: 1"),
    "space before the colon": with_header(b"x-a : 1"),
    "empty name": with_header(b": 1"),
    "name outside the grammar": with_header(b"x(a): 1"),
    "line without a colon": with_header(b"x-a"),
    "value with NUL": with_header(b"x-a: 1\x002"),
    "value with CR": with_header(b"x-a: 1\r2"),
    "value with a control byte": with_header(b"x-a: 1\x012"),
    "value with ESC": with_header(b"x-a: 1\x1b[2J"),
    "value with DEL": with_header(b"x-a: 1\x7f2"),
    "continued first line": b"HTTP/1.1 200 OK\r\n x-a: 1\r\n"
    + LENGTH
    + b"\r\n{}",
}

# Responses that end early, and are known to only as the connection ends.
TRUNCATED_RESPONSES = {
    "nothing": b"",
    "part of the head": b"HTTP/1.1 200 OK\r\n" + FIELDS,
    "part of the body": with_fields(b"content-length: 3"),
    "longest length": with_fields(b"content-length: " + b"9" * 20),
    "part of a chunk": CHUNKED + b"\r\n3\r\n{}",
    "no last chunk": CHUNKED + b"\r\n2\r\n{}\r\n",
}

# Valid responses whose connection must not be used again, and their bodies.
UNCLEAN_RESPONSES = {
    "204 and a body": (b"204 No Content", b"", b"{}"),
    "304 and a body": (b"304 Not Modified", b"", b"{}"),
    "204 with a length": (b"204 No Content", b"content-length: 2\r\n", b""),
    "304 with a length": (b"304 Not Modified", b"content-length: 2\r\n", b""),
    "204 and chunks": (
        b"204 No Content",
        b"transfer-encoding: chunked\r\n",
        b"",
    ),
    "304 and chunks": (
        b"304 Not Modified",
        b"transfer-encoding: chunked\r\n",
        b"2\r\n{}\r\n0\r\n\r\n",
    ),
    "204 and a response": (
        b"204 No Content",
        b"",
        with_status_line(b"HTTP/1.1 200 OK"),
    ),
}

# Valid responses whose connection is used again.
VALID_RESPONSES = {
    "plain": with_status_line(b"HTTP/1.1 200 OK"),
    "no reason phrase": with_status_line(b"HTTP/1.1 200"),
    "status 599": with_status_line(b"HTTP/1.1 599 X"),
    "version 1.2": with_status_line(b"HTTP/1.2 200 OK"),
    "informational": b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
    + with_status_line(b"HTTP/1.1 200 OK"),
    "same length twice": with_fields(
        b"content-length: 2", b"content-length: 2"
    ),
    "chunks": CHUNKED + b"\r\n2;a=b\r\n{}\r\n0\r\nx-a: 1\r\n\r\n",
    "folded header": with_header(b"x-a: 1\r\n 2"),
    "value with a tab": with_header(b"x-a: 1\t2"),
    "value in UTF-8": with_header(b"x-a: \xc3\xbc"),
    "204": b"HTTP/1.1 204 No Content\r\n" + FIELDS + b"\r\n",
    "204 with length 0": b"HTTP/1.1 204 No Content\r\n"
    + FIELDS
    + b"content-length: 0\r\n\r\n",
    "304": b"HTTP/1.1 304 Not Modified\r\n" + FIELDS + b"\r\n",
}


class RawEndpoint:
    """Endpoint that sends fixed bytes to each request.

    :param data: the bytes.
    :param closes: whether it closes the connection after them.
    """

    def __init__(self, data, closes=False):
        self.data = data
        self.closes = closes
        self.requests = 0

    async def serve(self, sock):
        while await sock.recv(65536):
            self.requests += 1
            try:
                await sock.sendall(self.data)
            except OSError:
                return
            if self.closes:
                return


@asynccontextmanager
async def open_endpoint(endpoint):
    """Open the port of an endpoint; yield the endpoint's record."""
    listener = open_raw_port(endpoint.serve)
    task = await curio.spawn(listener.run, daemon=True)
    try:
        yield EndpointRecord(
            "i-1", listener.address, "grids", "zurich", "zrh-a", 5
        )
    finally:
        await task.cancel()


def make_request(idempotent):
    """Make a request that responses of the tables belong to."""
    method = "GET" if idempotent else "POST"
    headers = ((b"host", b"a"), (b"x-request-id", b"id-1"))
    return Request(method, "/x", headers, b"", read_boot_clock())


def make_owner_request(idempotent):
    """Make the request for an owner."""
    due_s = read_boot_clock() + REMAINING_S
    return OwnerRequest(
        make_request(idempotent), 0, "7", idempotent, due_s, due_s
    )


def send(endpoint, idempotent):
    """Send a request; return the result and the number of idle connections."""

    async def run():
        async with open_endpoint(endpoint) as record:
            upstream = Upstream(HEADER_NAMES, record)
            request = make_request(idempotent)
            result = await upstream.send(request, REMAINING_S, idempotent)
            idle = len(upstream.pool.idle)
            await upstream.pool.close()
        return result, idle

    return curio.run(run)


@contextmanager
def capture_log():
    """Capture the lines of the log."""
    lines = []
    sink_id = logger.add(lines.append, level="INFO", format="{message}")
    try:
        yield lines
    finally:
        logger.remove(sink_id)


@pytest.mark.parametrize("idempotent", [True, False])
class TestResponsesOfEndpoints:
    # Guards against bytes that are no response being passed on to callers.
    @pytest.mark.parametrize("kind", INVALID_RESPONSES)
    def test_invalid_response_is_a_failure(self, kind, idempotent):
        endpoint = RawEndpoint(INVALID_RESPONSES[kind])
        with capture_log() as lines:
            result, idle = send(endpoint, idempotent)
        assert result.outcome is UpstreamOutcome.FAILED
        assert result.cause.startswith("invalid response: ")
        assert len(result.cause) < MAX_LOGGED_CAUSE
        assert not idle
        (line,) = [x for x in lines if "event=invalid_response" in x]
        assert "peer=127.0.0.1:" in line
        assert endpoint.requests == 1

    # Guards against a part of a response passing for the whole.
    @pytest.mark.parametrize("kind", TRUNCATED_RESPONSES)
    def test_truncated_response_is_a_failure(self, kind, idempotent):
        endpoint = RawEndpoint(TRUNCATED_RESPONSES[kind], closes=True)
        result, idle = send(endpoint, idempotent)
        assert result.outcome is UpstreamOutcome.FAILED
        assert not idle

    # Guards against what follows being read as the next response.
    @pytest.mark.parametrize("kind", UNCLEAN_RESPONSES)
    def test_connection_is_closed_if_a_body_may_follow(self, kind, idempotent):
        status, framing, body = UNCLEAN_RESPONSES[kind]
        head = b"HTTP/1.1 " + status + b"\r\n" + FIELDS + framing + b"\r\n"
        result, idle = send(RawEndpoint(head + body), idempotent)
        assert result.outcome is UpstreamOutcome.ANSWERED
        assert result.status == int(status[:3])
        assert result.body == b""
        assert not idle

    # Guards against checks that refuse what the standard allows.
    @pytest.mark.parametrize("kind", VALID_RESPONSES)
    def test_valid_response_counts(self, kind, idempotent):
        endpoint = RawEndpoint(VALID_RESPONSES[kind])
        result, idle = send(endpoint, idempotent)
        assert result.outcome is UpstreamOutcome.ANSWERED
        assert result.body in (b"{}", b"")
        assert idle == 1


class TestHealthOfEndpoints:
    # Guards against an endpoint being used on that sends no responses.
    def test_endpoint_is_ejected(self):
        async def run():
            endpoint = RawEndpoint(INVALID_RESPONSES["status 999"])
            async with open_endpoint(endpoint) as record:
                owned = make_owned_endpoint(record)
                for _ in range(FAILURES_TO_EJECT):
                    assert not owned.health.ejected
                    owner_request = replace(
                        make_owner_request(True), may_use_failing=True
                    )
                    result = await owned.serve(owner_request)
                    assert result.outcome is UpstreamOutcome.FAILED
                assert owned.health.ejected

        with capture_log() as lines:
            curio.run(run)
        (ejection,) = [x for x in lines if "event=endpoint_ejected" in x]
        assert 'cause="invalid response: status 999"' in ejection

    # Guards against an ejected endpoint being restored by such a response.
    @pytest.mark.parametrize(
        "kind", [*INVALID_RESPONSES, *TRUNCATED_RESPONSES]
    )
    def test_check_fails(self, kind):
        responses = INVALID_RESPONSES | TRUNCATED_RESPONSES
        endpoint = RawEndpoint(responses[kind], kind in TRUNCATED_RESPONSES)
        owned = self.check(endpoint)
        assert owned.health.ejected
        assert not owned.upstream.pool.idle

    def test_check_passes_with_a_valid_response(self):
        owned = self.check(RawEndpoint(VALID_RESPONSES["plain"]))
        assert not owned.health.ejected

    def check(self, endpoint):
        async def run():
            async with open_endpoint(endpoint) as record:
                owned = make_owned_endpoint(record)
                owned.health.eject(read_boot_clock())
                await owned.check()
                return owned

        return curio.run(run)


def forward(endpoint, idempotent):
    """Forward a request to an owner that sends fixed bytes."""

    async def run():
        async with open_endpoint(endpoint) as record:
            pool = ConnectionPool(record.address)
            result = await forward_request(
                pool,
                make_owner_request(idempotent),
                "i-1",
                HEADER_NAMES.request_id,
                ForwardTable(),
                OwnerProcess("e2", 1),
            )
            idle = len(pool.idle)
            await pool.close()
        return result, idle

    return curio.run(run)


def make_result_headers(value):
    """Make the headers of an owner's response."""
    return ((RESULT_HEADER, value),)


@pytest.mark.parametrize("idempotent", [True, False])
class TestResponsesOfOwners:
    # Guards against work that may have run being reported as not run.
    @pytest.mark.parametrize("kind", INVALID_RESPONSES)
    def test_invalid_response_is_a_failure(self, kind, idempotent):
        endpoint = RawEndpoint(INVALID_RESPONSES[kind])
        result, idle = forward(endpoint, idempotent)
        assert result.outcome is UpstreamOutcome.FAILED
        assert result.cause
        assert not idle

    @pytest.mark.parametrize("kind", TRUNCATED_RESPONSES)
    def test_truncated_response_is_a_lost_owner(self, kind, idempotent):
        endpoint = RawEndpoint(TRUNCATED_RESPONSES[kind], closes=True)
        result, idle = forward(endpoint, idempotent)
        assert result.outcome is UpstreamOutcome.OWNER_LOST
        assert not idle

    @pytest.mark.parametrize(
        "value",
        [
            *(b"answered;600;0;0;1;", b"answered;999;0;0;1;"),
            *(b"answered;0;0;0;1;", b"answered;99;0;0;1;"),
            *(b"answered;-20;0;0;1;", b"answered;20O;0;0;1;"),
            *(b"not_run;600;0;0;1;", b"full;-1;0;0;1;"),
            *(b"served;200;0;0;1;", b";200;0;0;1;", b"ANSWERED;200;0;0;1;"),
            *(b"answered;200;0;0", b"answered;200;0;x;1;", b"", b";;;;;"),
            b"full;0;" + b"9" * 400 + b";0;1;",
            b"full;0;" + b"9" * 5000 + b";0;1;",
        ],
    )
    def test_invalid_result_is_a_failure(self, value, idempotent):
        head = b"x-request-id: id-1\r\ncaraway-result: " + value + b"\r\n"
        data = b"HTTP/1.1 200 OK\r\n" + head + b"content-length: 0\r\n\r\n"
        result, idle = forward(RawEndpoint(data), idempotent)
        assert result.outcome is UpstreamOutcome.FAILED
        assert result.cause.startswith("owner: ValueError")
        assert not idle


class TestResultsOfOwners:
    # Guards against an endpoint that ran a request making the entry believe
    # that it did not.
    def test_endpoint_cannot_state_a_result(self):
        forged = make_result_headers(b"full;0;0;0;1;")
        result = UpstreamResult(UpstreamOutcome.ANSWERED, 0.0, 200, forged)
        response = encode_result(result)
        assert len(response.headers) == 1
        decoded = decode_result(response.headers, b"")
        assert decoded.outcome is UpstreamOutcome.ANSWERED

    def test_result_of_the_owner_comes_last(self):
        """Owners of earlier versions passed the endpoint's header on."""
        headers = make_result_headers(b"full;0;0;0;1;")
        headers += make_result_headers(b"answered;200;0;0;1;")
        decoded = decode_result(headers, b"")
        assert decoded.outcome is UpstreamOutcome.ANSWERED

    @pytest.mark.parametrize("outcome", UpstreamOutcome)
    def test_every_outcome_is_carried(self, outcome):
        status = 200 if outcome is UpstreamOutcome.ANSWERED else 0
        result = UpstreamResult(outcome, 0.5, status, cause="a;b")
        response = encode_result(result)
        assert decode_result(response.headers, b"") == result


def write_to_store(endpoint):
    """Write to a store that sends fixed bytes.

    :returns: whether it succeeded, and the number of idle connections.
    """

    async def run():
        async with open_endpoint(endpoint) as record:
            client = StoreClient(record.address, REMAINING_S)
            try:
                written = await client.write(Write("a", b"x"))
            except StoreFailed:
                written = False
            idle = len(client.pool.idle)
            await client.pool.close()
            return written, idle

    return curio.run(run)


class TestResponsesOfTheStore:
    # Guards against a write being taken for done that may not be.
    @pytest.mark.parametrize(
        "kind", [*INVALID_RESPONSES, *TRUNCATED_RESPONSES]
    )
    def test_invalid_response_is_a_failure(self, kind):
        responses = INVALID_RESPONSES | TRUNCATED_RESPONSES
        endpoint = RawEndpoint(responses[kind], kind in TRUNCATED_RESPONSES)
        assert write_to_store(endpoint) == (False, 0)
        assert endpoint.requests == 1

    def test_valid_response_counts(self):
        endpoint = RawEndpoint(VALID_RESPONSES["plain"])
        assert write_to_store(endpoint) == (True, 1)

    # Guards against errors of the decoders ending the task that watches.
    def test_deeply_nested_body_is_a_failure(self):
        body = b"[" * 100_000
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        written, _ = write_to_store(RawEndpoint(head + body))
        assert not written

    def test_endless_epoch_is_a_failure(self):
        epoch = b"store-era: " + b"9" * 5000
        written, _ = write_to_store(RawEndpoint(with_header(epoch)))
        assert not written


def send_invalid_first(endpoints):
    """Make endpoints send a status that is none to the next request only.

    :returns: the endpoints that ran requests, one for each run.
    """
    runs = []

    def wrap(endpoint, handle):
        async def respond(request):
            response = await handle(request)
            if request.path != "/health":
                runs.append(endpoint)
                if len(runs) == 1:
                    return replace(response, status=999)
            return response

        return respond

    for endpoint in endpoints:
        endpoint.handle = wrap(
            endpoint, type(endpoint).handle.__get__(endpoint)
        )
    return runs


class TestRequestsOfCallers:
    # Guards against a status that is none reaching a caller, and against
    # requests that may have run being sent again.
    @pytest.mark.parametrize("instances", [1, 3])
    @pytest.mark.parametrize(
        "options,status,runs",
        [
            ({}, 200, 2),
            (
                {
                    "host": b"jepu9.example",
                    "path": "/puka/1",
                    "method": "POST",
                },
                502,
                1,
            ),
        ],
    )
    def test_only_an_idempotent_request_is_sent_again(
        self, options, status, runs, instances
    ):
        async def run():
            # With three instances, some of the requests are forwarded.
            async with open_fleet(instances, ("i-1", "i-2")) as fleet:
                for daemon in fleet.daemons:
                    ran_at = send_invalid_first(fleet.endpoints.values())
                    response = await fleet.call(daemon, **options)
                    assert response.head.status == status
                    assert len(ran_at) == len(set(map(id, ran_at))) == runs

        curio.run(run)
