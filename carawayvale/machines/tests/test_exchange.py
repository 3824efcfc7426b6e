"""Tests of single requests through an entry instance."""

from dataclasses import replace
import json

import curio

from carawayvale.machines import EntryInstance
from carawayvale.machines.tests.harness import DOCUMENT
from carawayvale.machines.tests.harness import KEY
from carawayvale.machines.tests.harness import LOOPBACK
from carawayvale.machines.tests.harness import run_with_harness
from carawayvale.standins import CallOutcome
from carawayvale.standins import ServiceCall

HEDGED = DOCUMENT.replace("ramp_s = 0", "ramp_s = 0\nhedge_s = 0.1")
TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def sum_runs(harness):
    """Count the runs of each request id on all backend servers."""
    runs = {}
    for server in harness.backends.values():
        for request_id, count in server.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    return runs


async def get_ticket(harness):
    """Get a submission ticket from a look-up."""
    path = "/.well-known/carawayvale/lookup?service=grids&method=POST"
    _, body = await harness.ask("GET", path)
    return json.loads(body)["ticket"]


class TestHedging:
    def test_slow_request_is_hedged_at_another_server(self):
        async def check(harness):
            harness.backends["g1"].faults.delay_s = 2.0
            caller = harness.make_caller()
            for _ in range(6):
                result = await caller.call(ServiceCall("grids"))
                assert result.outcome is CallOutcome.ANSWERED
                assert result.took_s < 1.5
            await curio.sleep(0.2)
            assert sum(harness.backends["g1"].cancelled.values()) >= 1
            queue = next(iter(harness.entry.node.queues.values()))
            assert queue.dispatcher.in_flight == 0

        run_with_harness(check, 5.0, HEDGED)

    def test_failed_copies_release_their_slots(self):
        async def check(harness):
            for server in harness.backends.values():
                server.faults.delay_s = 0.2
                server.faults.mode = "break"
            caller = harness.make_caller()
            for _ in range(4):
                await caller.call(ServiceCall("grids"))
            await curio.sleep(0.5)
            queue = next(iter(harness.entry.node.queues.values()))
            assert queue.dispatcher.in_flight == 0

        run_with_harness(check, 5.0, HEDGED)

    def test_submission_is_never_sent_twice(self):
        async def check(harness):
            for server in harness.backends.values():
                server.faults.delay_s = 0.5
            result = await harness.make_caller().call(
                ServiceCall("grids", "POST")
            )
            assert result.outcome is CallOutcome.ANSWERED
            assert sum_runs(harness) == {result.request_id: 1}

        run_with_harness(check, 5.0, HEDGED)


class TestTickets:
    def test_retry_gets_the_recorded_response(self):
        async def check(harness):
            ticket = await get_ticket(harness)
            responses = [
                await harness.ask(
                    "POST",
                    "/",
                    b"grid",
                    carawayvale_request_id="r1",
                    carawayvale_ticket=ticket,
                )
                for _ in range(3)
            ]
            assert [head.status for head, _ in responses] == [200] * 3
            assert len({body for _, body in responses}) == 1
            assert sum_runs(harness) == {"r1": 1}

        run_with_harness(check)

    def test_concurrent_retries_run_once(self):
        async def check(harness):
            for server in harness.backends.values():
                server.faults.delay_s = 0.3
            ticket = await get_ticket(harness)

            async def submit():
                head, _ = await harness.ask(
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
            assert sum_runs(harness) == {"r1": 1}

        run_with_harness(check)


class TestBodies:
    def test_large_bodies_are_streamed_in_both_directions(self):
        async def check(harness):
            call = ServiceCall(
                "grids", "PUT", "/x", 3_000_000, b"z" * 2_000_000
            )
            result = await harness.make_caller().call(call)
            assert result.outcome is CallOutcome.ANSWERED

        run_with_harness(check)

    def test_response_to_head_has_no_body(self):
        async def check(harness):
            head, body = await harness.ask("HEAD", "/")
            assert head.status == 200
            assert body == b""

        run_with_harness(check)

    def test_response_echoes_the_request_id_and_names_the_instance(self):
        async def check(harness):
            head, _ = await harness.ask(
                "GET", "/", carawayvale_request_id="r7", x_own="1"
            )
            assert head.find(b"carawayvale-request-id") == b"r7"
            assert head.find(b"carawayvale-served-by") == b"e1"

        run_with_harness(check)


class TestReadiness:
    def test_instance_without_a_document_is_not_serving(self):
        async def check(harness):
            settings = replace(
                harness.entry.settings, name="e2", store=LOOPBACK
            )
            second = EntryInstance(settings, KEY)
            task = await curio.spawn(second.run)
            await curio.sleep(0.5)
            assert second.node.own_record.name not in second.node.serving
            assert second.node.membership.list_serving() == ()
            first = harness.entry.node.membership
            assert [m.name for m in first.list_serving()] == ["e1"]
            await task.cancel()

        run_with_harness(check)


class TestTraces:
    def test_each_hop_has_a_span_in_the_trace_of_the_caller(self):
        async def check(harness):
            await harness.ask("GET", "/", traceparent=TRACEPARENT)
            spans = list(harness.entry.node.tracing.list_spans())
            own_spans = [s for s in spans if s["trace"] == TRACEPARENT[3:35]]
            assert {s["name"] for s in own_spans} == {
                "entry",
                "queue",
                "backend",
            }
            entry = next(s for s in own_spans if s["name"] == "entry")
            assert entry["parent"] == TRACEPARENT[36:52]

        run_with_harness(check)


class TestOperatorHandler:
    def test_each_call_responds(self):
        async def check(harness):
            caller = harness.make_caller()
            await caller.call(ServiceCall("grids"))
            address = harness.entry.operator_listener.address
            for path, expected in (
                ("/health", b"true"),
                ("/ready", b"true"),
                ("/metrics", b'carawayvale_latency_seconds{hop="entry"'),
                ("/state", b'"revision": 1'),
                ("/traces", b'"name": "backend"'),
            ):
                headers = [(b"host", b"entry")]
                response = await caller.send(
                    address, "GET", path, headers, b"", 5.0
                )
                assert response.head.status == 200
                assert expected in response.body, path

        run_with_harness(check)
