"""Tests of the waits that owners report to other instances."""

import curio

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.contracts.headers import strip_hop_by_hop
from carawayvale.gateway.owner_messages import decode_result
from carawayvale.gateway.owner_messages import encode_result
from carawayvale.gateway.owner_messages import INTERNAL_HEADERS
from carawayvale.gateway.owner_messages import LOAD_HEADER
from carawayvale.gateway.tests.test_fleet import run_scenario
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.steering.expected_waits import ExpectedWait

REPORT = ExpectedWait(5, 1, 6, 0.4, 0.3, 0.9)


def make_result(**options):
    return UpstreamResult(UpstreamOutcome.ANSWERED, status=200, **options)


class TestMessages:
    def test_a_report_reaches_the_entry_instance_only(self):
        response = encode_result(make_result(expected_wait=REPORT))
        result = decode_result(response.headers, b"")
        assert result.expected_wait == REPORT
        assert not INTERNAL_HEADERS & {name for name, _ in result.headers}

    def test_earlier_versions_drop_the_report(self):
        """They must not pass it on to the caller."""
        response = encode_result(make_result(expected_wait=REPORT))
        kept = strip_hop_by_hop(response.headers)
        assert LOAD_HEADER not in {name for name, _ in kept}

    def test_an_endpoint_cannot_report_for_its_owner(self):
        headers = ((LOAD_HEADER, REPORT.format()),)
        response = encode_result(make_result(headers=headers))
        assert decode_result(response.headers, b"").expected_wait is None


def find_entry(fleet):
    """Find an instance that does not own the endpoint ``i-1``."""
    return next(d for d in fleet.daemons if not d.node.owners.is_owner("i-1"))


class TestFleet:
    def test_an_entry_skips_an_endpoint_without_room(self):
        async def scenario(fleet):
            for endpoint in fleet.endpoints.values():
                endpoint.pace = 100
            daemon = find_entry(fleet)
            node, other = daemon.node, "i-1"
            for number in range(30):
                await fleet.call(daemon, key=b"%d" % number)
            full = ExpectedWait(5, 9, 5, 30.0)
            counters = node.observer.metrics.counters
            before = len(fleet.endpoints[other].runs)
            for number in range(30):
                node.expected_waits.record(other, 0, full, read_boot_clock())
                response = await fleet.call(daemon, key=b"%d" % number)
                assert response.head.status == 200
                names = [name for name, _ in response.head.headers]
                assert LOAD_HEADER not in names
            assert counters["endpoints_skipped", "0"] >= 5
            assert len(fleet.endpoints[other].runs) == before

        run_scenario(scenario, instances=2, endpoints=("i-1", "i-2"))

    def test_reports_arrive_only_with_a_pace(self):
        """Deployments of earlier versions must see no new header."""

        async def scenario(fleet):
            daemon = find_entry(fleet)
            for number in range(30):
                await fleet.call(daemon, key=b"%d" % number)
            assert not daemon.node.expected_waits._reports
            for endpoint in fleet.endpoints.values():
                endpoint.pace = 100
            for number in range(30):
                await fleet.call(daemon, key=b"%d" % number)
            assert daemon.node.expected_waits._reports

        run_scenario(scenario, instances=2, endpoints=("i-1", "i-2"))

    def test_callers_cannot_send_reports(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            await fleet.call(daemon, headers=[(LOAD_HEADER, b"1,1,1,1,1,1")])
            runs = [run for e in fleet.endpoints.values() for run in e.runs]
            assert runs
            for run in runs:
                assert run.find(LOAD_HEADER) is None

        run_scenario(scenario)

    def test_many_requests_at_once_are_all_served(self):
        """Expected waits must not refuse what the endpoints can serve."""

        async def scenario(fleet):
            for endpoint in fleet.endpoints.values():
                endpoint.pace, endpoint.service_time_s = 100, 0.01
            statuses = []

            async def call(number):
                daemon = fleet.daemons[number % 2]
                response = await fleet.call(daemon, key=b"%d" % (number % 5))
                statuses.append(response.head.status)

            for _ in range(5):
                async with curio.TaskGroup() as group:
                    for number in range(8):
                        await group.spawn(call, number)
            assert statuses == [200] * 40

        run_scenario(scenario, instances=2, endpoints=("i-1", "i-2"))
