"""Tests of malformed, oversized and slow input at each listener."""

from dataclasses import replace

import curio
import pytest

from carawayvale.documents import Envelope
from carawayvale.documents.envelope import DOCUMENT_KEY
from carawayvale.links import connect
from carawayvale.links import json_calls
from carawayvale.links import LinkBroken
from carawayvale.links.messages import Address
from carawayvale.links.messages import MemberRecord
from carawayvale.links import open_link
from carawayvale.links import PeerLink
from carawayvale.links.sockets import open_socket_pair
from carawayvale.links.turns import TurnCounter
from carawayvale.machines.operator_handler import sign_document
from carawayvale.machines.tests.harness import DOCUMENT
from carawayvale.machines.tests.harness import KEY
from carawayvale.machines.tests.harness import run_with_harness
from carawayvale.standins import CallOutcome
from carawayvale.standins import ServiceCall

UNUSED_ADDRESS = Address("127.0.0.1", 9)
UNKNOWN_MEMBER = MemberRecord(
    "e9", "zurich", "zurich-a", UNUSED_ADDRESS, UNUSED_ADDRESS, 1
)


async def check_still_serving(harness):
    """Check that the instance still serves a caller."""
    result = await harness.make_caller().call(ServiceCall("grids"))
    assert result.outcome is CallOutcome.ANSWERED


class TestCallerHandler:
    @pytest.mark.parametrize(
        "data, status",
        [
            (b"nonsense\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nx: " + b"y" * 20_000, b"431"),
            (
                b"POST / HTTP/1.1\r\nhost: grids\r\n"
                b"content-length: many\r\n\r\n",
                b"400",
            ),
            (
                b"POST / HTTP/1.1\r\nhost: grids\r\n"
                b"transfer-encoding: chunked\r\n\r\nzz\r\n",
                b"400",
            ),
        ],
    )
    def test_malformed_request_is_refused(self, data, status):
        async def check(harness):
            response = await harness.send_raw(data)
            assert response.split(b" ", 2)[1] == status
            assert b'"not_run": true' in response
            await check_still_serving(harness)

        run_with_harness(check)

    @pytest.mark.parametrize(
        "headers, expected",
        [
            ({"host": "nothing"}, (404, "unknown_service", True)),
            (
                {"carawayvale_deadline_ms": "soon"},
                (400, "bad_request", True),
            ),
            ({"carawayvale_deadline_ms": "-1"}, (400, "bad_request", True)),
            ({"carawayvale_attempt": "nan"}, (400, "bad_request", True)),
            ({"carawayvale_ticket": "forged"}, (400, "bad_ticket", True)),
            ({"carawayvale_hop": "forged"}, (400, "bad_request", True)),
            (
                {"carawayvale_request_id": "x" * 200},
                (400, "bad_request", True),
            ),
            ({"carawayvale_deadline_ms": "1"}, (504, "deadline", True)),
        ],
    )
    def test_invalid_header_is_refused_with_its_reason(
        self, headers, expected
    ):
        async def check(harness):
            found = await harness.ask_reason("GET", "/", **headers)
            assert found == expected
            assert not any(b.runs for b in harness.backends.values())
            await check_still_serving(harness)

        run_with_harness(check)

    @pytest.mark.parametrize(
        "query, status",
        [
            ("service=nothing", 404),
            ("service=grids&region=nowhere", 404),
            ("service=grids&address=nonsense", 400),
            ("", 404),
        ],
    )
    def test_invalid_look_up_is_refused(self, query, status):
        async def check(harness):
            path = f"/.well-known/carawayvale/lookup?{query}"
            head, _ = await harness.ask("GET", path)
            assert head.status == status

        run_with_harness(check)

    def test_request_with_a_truncated_body_is_not_run(self):
        async def check(harness):
            sock = await connect(harness.address)
            async with sock:
                await sock.sendall(
                    b"POST / HTTP/1.1\r\nhost: grids\r\n"
                    b"content-length: 100\r\n\r\nhalf"
                )
            await curio.sleep(0.2)
            assert not any(b.runs for b in harness.backends.values())
            await check_still_serving(harness)

        run_with_harness(check)

    def test_slow_header_times_out(self, monkeypatch):
        monkeypatch.setattr(json_calls, "HEADER_TIMEOUT_S", 0.1)

        async def check():
            first, second = open_socket_pair()
            monkeypatch.setattr(
                "carawayvale.links.http_server.HttpServer.__init__",
                make_server,
            )
            async with first, second:
                await second.sendall(b"GET / HT")
                await curio.timeout_after(
                    5, json_calls.serve_requests, first, None
                )

        def make_server(self, sock):
            import h11

            self.sock = sock
            self.http = h11.Connection(h11.SERVER)
            self.pending, self.body_left = b"", False
            self.sends_body = True
            self.turns = TurnCounter()

        curio.run(check)


class TestDocument:
    def test_invalid_document_keeps_the_last_valid_revision(self):
        async def check(harness):
            bad = Envelope(2, DOCUMENT.replace("limit = 100", "limit = 0"))
            harness.store.state.write(DOCUMENT_KEY, bad.encode(), 1)
            await harness.store.notify_watchers()
            await curio.sleep(0.3)
            assert harness.entry.node.document_replica.revision == 1
            harness.store.state.write(DOCUMENT_KEY, "nonsense", 2)
            await harness.store.notify_watchers()
            await curio.sleep(0.3)
            assert harness.entry.node.document_replica.revision == 1
            await check_still_serving(harness)

        run_with_harness(check)

    def test_unsigned_document_is_refused(self):
        async def check(harness):
            address = harness.entry.operator_listener.address
            data = Envelope(9, DOCUMENT).encode().encode()
            caller = harness.make_caller()
            for signature, status in ((b"x", 403), (None, 200)):
                signature = signature or sign_document(KEY, data)
                headers = [
                    (b"host", b"entry"),
                    (b"carawayvale-signature", signature),
                ]
                response = await caller.send(
                    address, "POST", "/document", headers, data, 5.0
                )
                assert response.head.status == status
            assert harness.entry.node.document_replica.revision == 9

        run_with_harness(check)


class TestPeerListener:
    def test_malformed_handshake_does_not_disturb_callers(self):
        async def check(harness):
            sock = await connect(harness.entry.node.own_record.peers)
            async with sock:
                await sock.sendall(b"\x00\xff" * 100)
                await curio.ignore_after(3, sock.recv, 100)
            await check_still_serving(harness)

        run_with_harness(check)

    def test_malformed_message_of_a_signed_peer_closes_only_its_link(self):
        async def check(harness):
            sock = await connect(harness.entry.node.own_record.peers)
            async with sock:
                link = await open_link(sock, KEY, UNKNOWN_MEMBER)
                await link.receive()
                await link.post_packed(b"\x07nonsense")
                writer = await curio.spawn(link.write_all)
                with pytest.raises(LinkBroken):
                    while True:
                        await curio.timeout_after(5, link.receive)
                await writer.cancel()
            await check_still_serving(harness)

        run_with_harness(check)

    def test_record_of_an_earlier_process_is_ignored(self):
        async def check(harness):
            membership = harness.entry.node.membership
            earlier = replace(
                harness.entry.node.own_record, incarnation=1, version=99
            )
            assert not membership.receive(earlier, 0.0)
            assert isinstance(membership.own_record.version, int)

        run_with_harness(check)


class TestPeerLink:
    def test_post_drops_messages_when_the_outbox_is_full(self):
        async def check():
            link = PeerLink(None, None)
            for _ in range(1000):
                await link.post_packed(b"x")
            assert link.outbox.qsize() == 256

        curio.run(check)
