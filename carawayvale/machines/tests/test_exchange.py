"""Tests of single requests through an entry instance."""

from dataclasses import replace
import json

import curio

from carawayvale.machines import EntryInstance
from carawayvale.machines.tests.world import DOCUMENT
from carawayvale.machines.tests.world import KEY
from carawayvale.machines.tests.world import LOOPBACK
from carawayvale.machines.tests.world import run_world
from carawayvale.standins import BackendCall
from carawayvale.standins import CallOutcome

HEDGED = DOCUMENT.replace("ramp_s = 0", "ramp_s = 0\nhedge_s = 0.1")
TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def sum_runs(world):
    """Count runs by request id over all backend servers."""
    runs = {}
    for server in world.backends.values():
        for request_id, count in server.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    return runs


async def take_ticket(world):
    """Look a submission ticket up."""
    path = "/.well-known/carawayvale/lookup?service=grids&method=POST"
    _, body = await world.ask("GET", path)
    return json.loads(body)["ticket"]


class TestHedging:
    def test_slow_read_is_answered_by_another_server(self):
        async def check(world):
            world.backends["g1"].faults.delay_s = 2.0
            caller = world.make_caller()
            for _ in range(6):
                result = await caller.call(BackendCall("grids"))
                assert result.outcome is CallOutcome.ANSWERED
                assert result.took_s < 1.5
            await curio.sleep(0.2)
            assert sum(world.backends["g1"].cancelled.values()) >= 1
            queue = next(iter(world.entry.node.queues.values()))
            assert queue.dispatcher.in_flight == 0

        run_world(check, 5.0, HEDGED)

    def test_no_slot_is_lost_when_copies_fail(self):
        async def check(world):
            for server in world.backends.values():
                server.faults.delay_s = 0.2
                server.faults.mode = "break"
            caller = world.make_caller()
            for _ in range(4):
                await caller.call(BackendCall("grids"))
            await curio.sleep(0.5)
            queue = next(iter(world.entry.node.queues.values()))
            assert queue.dispatcher.in_flight == 0

        run_world(check, 5.0, HEDGED)

    def test_submission_is_never_sent_twice(self):
        async def check(world):
            for server in world.backends.values():
                server.faults.delay_s = 0.5
            result = await world.make_caller().call(
                BackendCall("grids", "POST")
            )
            assert result.outcome is CallOutcome.ANSWERED
            assert sum_runs(world) == {result.request_id: 1}

        run_world(check, 5.0, HEDGED)


class TestTickets:
    def test_repeat_gets_the_remembered_answer(self):
        async def check(world):
            ticket = await take_ticket(world)
            answers = [
                await world.ask(
                    "POST",
                    "/",
                    b"grid",
                    carawayvale_request_id="r1",
                    carawayvale_ticket=ticket,
                )
                for _ in range(3)
            ]
            assert [head.status for head, _ in answers] == [200] * 3
            assert len({body for _, body in answers}) == 1
            assert sum_runs(world) == {"r1": 1}

        run_world(check)

    def test_repeats_at_once_run_once(self):
        async def check(world):
            for server in world.backends.values():
                server.faults.delay_s = 0.3
            ticket = await take_ticket(world)

            async def submit():
                head, _ = await world.ask(
                    "POST",
                    "/",
                    b"grid",
                    carawayvale_request_id="r1",
                    carawayvale_ticket=ticket,
                )
                return head.status

            tasks = [await curio.spawn(submit) for _ in range(5)]
            statuses = [await task.join() for task in tasks]
            assert statuses == [200] * 5
            assert sum_runs(world) == {"r1": 1}

        run_world(check)


class TestBodies:
    def test_long_bodies_are_streamed_both_ways(self):
        async def check(world):
            call = BackendCall(
                "grids", "PUT", "/x", 3_000_000, b"z" * 2_000_000
            )
            result = await world.make_caller().call(call)
            assert result.outcome is CallOutcome.ANSWERED

        run_world(check)

    def test_head_has_a_length_and_no_body(self):
        async def check(world):
            head, body = await world.ask("HEAD", "/")
            assert head.status == 200
            assert body == b""

        run_world(check)

    def test_headers_of_the_caller_reach_the_backend_and_back(self):
        async def check(world):
            head, _ = await world.ask(
                "GET", "/", carawayvale_request_id="r7", x_own="1"
            )
            assert head.find(b"carawayvale-request-id") == b"r7"
            assert head.find(b"carawayvale-served-by") == b"e1"

        run_world(check)


class TestReadiness:
    def test_instance_without_a_document_takes_no_work(self):
        async def check(world):
            settings = replace(world.entry.settings, name="e2", store=LOOPBACK)
            second = EntryInstance(settings, KEY)
            task = await curio.spawn(second.run)
            await curio.sleep(0.5)
            assert second.node.me.name not in second.node.serving
            assert second.node.membership.list_serving() == ()
            first = world.entry.node.membership
            assert [m.name for m in first.list_serving()] == ["e1"]
            await task.cancel()

        run_world(check)


class TestTraces:
    def test_each_hop_has_a_span_of_the_callers_trace(self):
        async def check(world):
            await world.ask("GET", "/", traceparent=TRACEPARENT)
            spans = list(world.entry.node.tracing.list_spans())
            mine = [s for s in spans if s["trace"] == TRACEPARENT[3:35]]
            assert {s["name"] for s in mine} == {"entry", "queue", "backend"}
            entry = next(s for s in mine if s["name"] == "entry")
            assert entry["parent"] == TRACEPARENT[36:52]

        run_world(check)


class TestOperatorPort:
    def test_calls_answer(self):
        async def check(world):
            caller = world.make_caller()
            await caller.call(BackendCall("grids"))
            address = world.entry.operator_listener.address
            for path, words in (
                ("/health", b"true"),
                ("/ready", b"true"),
                ("/metrics", b'carawayvale_latency_seconds{hop="entry"'),
                ("/state", b'"revision": 1'),
                ("/traces", b'"name": "backend"'),
            ):
                headers = [(b"host", b"entry")]
                reply = await caller.send(
                    address, "GET", path, headers, b"", 5.0
                )
                assert reply.head.status == 200
                assert words in reply.body, path

        run_world(check)
