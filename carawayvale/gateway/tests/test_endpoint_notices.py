"""Tests of what endpoints say of themselves in their responses."""

import curio
import pytest

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.endpoint_notices import decode_notice
from carawayvale.gateway.endpoint_notices import EndpointNotice
from carawayvale.gateway.endpoint_notices import MAX_PAUSE_S
from carawayvale.gateway.tests.test_fleet import run_scenario
from carawayvale.gateway.upstream import HTTP_MISDIRECTED
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.platform.headers import HEADER_NAMES

MAX_CALLS = 10


def make_result(
    *headers, outcome=UpstreamOutcome.ANSWERED, status=200
) -> UpstreamResult:
    return UpstreamResult(outcome, status=status, headers=tuple(headers))


class TestDecoding:
    @pytest.mark.parametrize("text", (b"10.3", b" 10.3 ", b"10.30"))
    def test_a_decimal_limit_is_decoded(self, text):
        notice = decode_notice(
            make_result((b"server-limit", text)), HEADER_NAMES
        )
        assert notice == EndpointNotice(10.3, True)

    @pytest.mark.parametrize(
        "text", (b"", b"-1", b"nan", b"inf", b"1e3", b"1,5", b"x", b"9" * 40)
    )
    def test_a_malformed_limit_changes_nothing(self, text):
        notice = decode_notice(
            make_result((b"server-limit", text)), HEADER_NAMES
        )
        assert notice == EndpointNotice(None, False)

    def test_a_response_without_a_limit_may_end_it(self):
        assert decode_notice(make_result(), HEADER_NAMES).is_complete

    def test_a_refusal_may_name_a_limit_but_does_not_end_it(self):
        refused = {"outcome": UpstreamOutcome.NOT_RUN, "status": 503}
        named = make_result((b"server-limit", b"2"), **refused)
        assert decode_notice(named, HEADER_NAMES).rate_limit == 2.0
        unnamed = decode_notice(make_result(**refused), HEADER_NAMES)
        assert unnamed == EndpointNotice(None, False)

    @pytest.mark.parametrize(
        ("outcome", "status"),
        (
            (UpstreamOutcome.NOT_RUN, HTTP_MISDIRECTED),
            (UpstreamOutcome.FAILED, 200),
            (UpstreamOutcome.OWNER_LOST, 0),
        ),
    )
    def test_other_results_are_no_notice(self, outcome, status):
        result = make_result(
            (b"server-limit", b"2"), outcome=outcome, status=status
        )
        assert decode_notice(result, HEADER_NAMES) == EndpointNotice()


async def call_until_limited(fleet, daemon):
    """Call until the instance hears a limit; a few go to the desk."""
    for _ in range(MAX_CALLS):
        assert (await fleet.call(daemon)).head.status == 200
        if daemon.node.notices.limits.list_limited() == ["i-1"]:
            return
    raise AssertionError("no limit was heard")


class TestHearing:
    def test_owner_and_other_instances_hear_a_limit(self):
        async def scenario(fleet):
            fleet.endpoints["i-1"].rate_limit = "4.5"
            for daemon in fleet.daemons:
                await call_until_limited(fleet, daemon)

        run_scenario(scenario, instances=3)

    def test_a_limit_ends_with_its_endpoint(self):
        async def scenario(fleet):
            node = fleet.daemons[0].node
            fleet.endpoints["i-1"].rate_limit = "4.5"
            await call_until_limited(fleet, fleet.daemons[0])
            fleet.store.remove("servers/i-1")
            await fleet.wait_until(
                lambda: "i-1" not in node.catalogue.endpoints
            )
            assert not node.notices.limits.list_limited()

        run_scenario(scenario)


async def call_until_leaving(fleet, daemon, endpoint):
    """Call until an endpoint has told the instance that it leaves."""
    endpoint.leaving = True
    for _ in range(MAX_CALLS):
        runs = len(endpoint.runs)
        assert (await fleet.call(daemon)).head.status == 200
        if len(endpoint.runs) > runs:
            return
    raise AssertionError("the endpoint got no request")


class TestLeaving:
    def test_endpoint_that_says_it_leaves_gets_no_more_requests(self):
        async def scenario(fleet):
            leaving = fleet.endpoints["i-1"]
            for daemon in fleet.daemons:
                await call_until_leaving(fleet, daemon, leaving)
                leaving.leaving = False
                runs = len(leaving.runs)
                for key in range(MAX_CALLS):
                    response = await fleet.call(daemon, key=b"%d" % key)
                    assert response.head.status == 200
                assert len(leaving.runs) == runs
                return

        run_scenario(scenario, instances=2, endpoints=("i-1", "i-2"))

    def test_requests_that_wait_at_a_leaving_endpoint_go_elsewhere(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            leaving = fleet.endpoints["i-1"]
            leaving.service_time_s = 0.04
            for key in range(24):
                await fleet.call(daemon, key=b"%d" % key)
            leaving.runs.clear()
            leaving.leaving = True
            async with curio.TaskGroup() as group:
                for key in range(24):
                    await group.spawn(fleet.call(daemon, key=b"%d" % key))
            assert all(r.head.status == 200 for r in group.results)
            slots = leaving.entry["info"]["slots"]
            assert 0 < len(leaving.runs) <= slots

        run_scenario(scenario, endpoints=("i-1", "i-2"))

    def test_restarted_endpoint_gets_requests_again(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            endpoint = fleet.endpoints["i-1"]
            await call_until_leaving(fleet, daemon, endpoint)
            assert not daemon.node.usable_endpoints.get("grids")
            endpoint.leaving = False
            endpoint.entry["born"] += 1000
            fleet.put_report("i-1", cold_left="0ms")
            await fleet.wait_until(
                lambda: daemon.node.usable_endpoints.get("grids")
            )

        run_scenario(scenario)

    def test_endpoint_that_left_is_not_used_when_its_entry_is_back(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            endpoint = fleet.endpoints["i-1"]
            await call_until_leaving(fleet, daemon, endpoint)
            catalogue = daemon.node.builder.endpoints
            fleet.store.remove("servers/i-1")
            await fleet.wait_until(lambda: "i-1" not in catalogue)
            fleet.put_report("i-1", cold_left="0ms")
            await fleet.wait_until(lambda: "i-1" in catalogue)
            await curio.sleep(0.2)
            assert not daemon.node.usable_endpoints.get("grids")

        run_scenario(scenario)


class TestPauses:
    PAUSE_S = 1.5

    async def call_for(self, fleet, duration_s, **options):
        """Call all instances in turn for some time."""
        end_s = read_boot_clock() + duration_s
        responses = []
        while read_boot_clock() < end_s:
            daemon = fleet.daemons[len(responses) % len(fleet.daemons)]
            key = b"%d" % len(responses)
            responses.append(await fleet.call(daemon, key=key, **options))
            await curio.sleep(0.02)
        return responses

    def test_endpoint_that_asks_for_a_pause_gets_nothing_until_its_end(self):
        async def scenario(fleet):
            paused = fleet.endpoints["i-1"]
            paused.retry_after = str(self.PAUSE_S)
            paused.shed = 1
            while not paused.refused_s:
                await self.call_for(fleet, 0.05)
            end_s = paused.refused_s[0] + self.PAUSE_S
            paused.runs.clear()
            await self.call_for(fleet, self.PAUSE_S + 0.5)
            arrived_s = [run.arrived_s for run in paused.runs]
            assert min(arrived_s) >= end_s

        run_scenario(scenario, instances=2, endpoints=("i-1", "i-2"))

    def test_callers_are_refused_at_once_while_all_endpoints_pause(self):
        async def scenario(fleet):
            for name in ("i-1", "desk-i-1"):
                fleet.endpoints[name].retry_after = str(self.PAUSE_S)
                fleet.endpoints[name].shed = 100
            await self.call_for(fleet, 0.3)
            refused = sum(len(e.refused_s) for e in fleet.endpoints.values())
            assert refused == 2
            started_s = read_boot_clock()
            response = await fleet.call(fleet.daemons[0])
            assert read_boot_clock() - started_s < 0.2
            assert response.head.status == 503
            retry_s = float(response.head.find(b"retry-after"))
            assert 0.8 < retry_s < self.PAUSE_S + 0.3

        run_scenario(scenario)

    @pytest.mark.parametrize(
        "text", ("", "-1", "nan", "Fri, 31 Dec 1999 23:59:59 GMT")
    )
    def test_malformed_pause_is_ignored(self, text):
        result = make_result(
            (b"retry-after", text.encode()),
            outcome=UpstreamOutcome.NOT_RUN,
            status=503,
        )
        assert decode_notice(result, HEADER_NAMES).pause_s == 0.0

    def test_absurd_pause_is_bounded(self):
        result = make_result(
            (b"retry-after", b"9999999999"),
            outcome=UpstreamOutcome.NOT_RUN,
            status=503,
        )
        assert decode_notice(result, HEADER_NAMES).pause_s == MAX_PAUSE_S

    def test_retry_after_of_a_success_is_no_pause(self):
        result = make_result((b"retry-after", b"5"))
        assert decode_notice(result, HEADER_NAMES).pause_s == 0.0


class TestLoad:
    def test_the_owner_keeps_the_load_that_responses_report(self):
        async def scenario(fleet):
            endpoint = fleet.endpoints["i-1"]
            endpoint.pace, endpoint.running = 250, 3
            daemon = fleet.daemons[0]
            for _ in range(MAX_CALLS):
                assert (await fleet.call(daemon)).head.status == 200
            queue = daemon.node.owned["i-1"].queue
            assert queue.endpoint_load.report.pace == 2.5
            assert queue.count_slots(read_boot_clock()) < queue.slots
            counters = daemon.node.observer.metrics.counters
            assert counters["load_reports", "valid"]

        run_scenario(scenario)

    def test_own_requests_take_no_slots_twice(self):
        """The report includes the requests of the owner."""

        async def scenario(fleet):
            endpoint = fleet.endpoints["i-1"]
            endpoint.pace, endpoint.service_time_s = 100, 0.05
            daemon = fleet.daemons[0]
            for _ in range(3):
                async with curio.TaskGroup() as group:
                    for _ in range(MAX_CALLS):
                        await group.spawn(fleet.call, daemon)
            queue = daemon.node.owned["i-1"].queue
            assert queue.endpoint_load.has_pace
            assert queue.endpoint_load.others == 0

        run_scenario(scenario)

    def test_malformed_and_missing_reports_are_counted_and_ignored(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            for load in ("1,2", "", "8,8,5"):
                fleet.endpoints["i-1"].load = load
                for _ in range(MAX_CALLS):
                    assert (await fleet.call(daemon)).head.status == 200
            queue = daemon.node.owned["i-1"].queue
            assert not queue.endpoint_load.has_pace
            assert queue.count_slots(read_boot_clock()) == queue.slots
            counters = daemon.node.observer.metrics.counters
            for kind in ("malformed", "missing", "valid"):
                assert counters["load_reports", kind]

        run_scenario(scenario)
