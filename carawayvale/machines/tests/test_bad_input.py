"""Tests of wrong, oversized and slow input at each port."""

from dataclasses import replace

import curio
from curio import socket
import pytest

from carawayvale.documents import Envelope
from carawayvale.documents.envelope import DOCUMENT_KEY
from carawayvale.links import connect
from carawayvale.links import greet_server
from carawayvale.links import LinkBroken
from carawayvale.links.messages import Address
from carawayvale.links.messages import MemberRecord
from carawayvale.links import PeerLink
from carawayvale.links import requests
from carawayvale.machines.operator_port import sign_document
from carawayvale.machines.tests.world import DOCUMENT
from carawayvale.machines.tests.world import KEY
from carawayvale.machines.tests.world import run_world
from carawayvale.standins import BackendCall
from carawayvale.standins import CallOutcome

PORT = Address("127.0.0.1", 9)
STRANGER = MemberRecord("e9", "zurich", "zurich-a", PORT, PORT, 1)


async def check_undisturbed(world):
    """Check that a caller is still served."""
    result = await world.make_caller().call(BackendCall("grids"))
    assert result.outcome is CallOutcome.ANSWERED


class TestCallerPort:
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
        async def check(world):
            answer = await world.send_raw(data)
            assert answer.split(b" ", 2)[1] == status
            assert b'"not_run": true' in answer
            await check_undisturbed(world)

        run_world(check)

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
    def test_wrong_header_is_refused_with_its_reason(self, headers, expected):
        async def check(world):
            found = await world.ask_reason("GET", "/", **headers)
            assert found == expected
            assert not any(b.runs for b in world.backends.values())
            await check_undisturbed(world)

        run_world(check)

    @pytest.mark.parametrize(
        "query, status",
        [
            ("service=nothing", 404),
            ("service=grids&region=nowhere", 404),
            ("service=grids&address=nonsense", 400),
            ("", 404),
        ],
    )
    def test_wrong_look_up_is_refused(self, query, status):
        async def check(world):
            path = f"/.well-known/carawayvale/lookup?{query}"
            head, _ = await world.ask("GET", path)
            assert head.status == status

        run_world(check)

    def test_body_that_ends_early_is_not_run(self):
        async def check(world):
            sock = await connect(world.address)
            async with sock:
                await sock.sendall(
                    b"POST / HTTP/1.1\r\nhost: grids\r\n"
                    b"content-length: 100\r\n\r\nhalf"
                )
            await curio.sleep(0.2)
            assert not any(b.runs for b in world.backends.values())
            await check_undisturbed(world)

        run_world(check)

    def test_slow_header_is_cut(self, monkeypatch):
        monkeypatch.setattr(requests, "HEADER_TIMEOUT_S", 0.1)

        async def check():
            first, second = socket.socketpair(socket.AF_UNIX)
            monkeypatch.setattr(
                "carawayvale.links.http_server.HttpServer.__init__",
                make_server,
            )
            async with first, second:
                await second.sendall(b"GET / HT")
                await curio.timeout_after(
                    5, requests.serve_requests, first, None
                )

        def make_server(self, sock):
            import h11

            self.sock = sock
            self.http = h11.Connection(h11.SERVER)
            self.pending, self.body_left = b"", False
            self.sends_body = True

        curio.run(check)


class TestDocument:
    def test_invalid_document_keeps_the_last_good_revision(self):
        async def check(world):
            bad = Envelope(2, DOCUMENT.replace("limit = 100", "limit = 0"))
            world.store.cells.write(DOCUMENT_KEY, bad.encode(), 1)
            await world.store.notify_watchers()
            await curio.sleep(0.3)
            assert world.entry.node.keeper.revision == 1
            world.store.cells.write(DOCUMENT_KEY, "nonsense", 2)
            await world.store.notify_watchers()
            await curio.sleep(0.3)
            assert world.entry.node.keeper.revision == 1
            await check_undisturbed(world)

        run_world(check)

    def test_unsigned_push_is_refused(self):
        async def check(world):
            address = world.entry.operator_listener.address
            data = Envelope(9, DOCUMENT).encode().encode()
            caller = world.make_caller()
            for signature, status in ((b"x", 403), (None, 200)):
                signature = signature or sign_document(KEY, data)
                headers = [
                    (b"host", b"entry"),
                    (b"carawayvale-signature", signature),
                ]
                reply = await caller.send(
                    address, "POST", "/document", headers, data, 5.0
                )
                assert reply.head.status == status
            assert world.entry.node.keeper.revision == 9

        run_world(check)


class TestPeerPort:
    def test_nonsense_at_the_peer_port_disturbs_nobody(self):
        async def check(world):
            sock = await connect(world.entry.node.me.peers)
            async with sock:
                await sock.sendall(b"\x00\xff" * 100)
                await curio.ignore_after(3, sock.recv, 100)
            await check_undisturbed(world)

        run_world(check)

    def test_wrong_message_of_a_signed_peer_ends_its_link_only(self):
        async def check(world):
            sock = await connect(world.entry.node.me.peers)
            async with sock:
                link = await greet_server(sock, KEY, STRANGER)
                await link.receive()
                await link.post_packed(b"\x07nonsense")
                writer = await curio.spawn(link.write_all)
                with pytest.raises(LinkBroken):
                    while True:
                        await curio.timeout_after(5, link.receive)
                await writer.cancel()
            await check_undisturbed(world)

        run_world(check)

    def test_record_of_an_old_process_changes_nothing(self):
        async def check(world):
            membership = world.entry.node.membership
            old = replace(world.entry.node.me, incarnation=1, version=99)
            assert not membership.receive(old, 0.0)
            assert isinstance(membership.me.version, int)

        run_world(check)


class TestLinkType:
    def test_post_drops_when_the_queue_is_full(self):
        async def check():
            link = PeerLink(None, None)
            for _ in range(1000):
                await link.post_packed(b"x")
            assert link.outbox.qsize() == 256

        curio.run(check)
