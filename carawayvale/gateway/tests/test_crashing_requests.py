"""Tests of requests that crash the endpoints that run them."""

from dataclasses import replace

import curio

from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.endpoint_checks import has_crashed
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.tests.crashing import call_repeatedly
from carawayvale.gateway.tests.crashing import CRASHING_PATH
from carawayvale.gateway.tests.crashing import start_crashing
from carawayvale.gateway.tests.test_endpoint_checks import make_request
from carawayvale.gateway.tests.test_fleet import run_scenario
from carawayvale.gateway.tests.test_owned_endpoint import ENDPOINT
from carawayvale.gateway.tests.test_owned_endpoint import make_owned_endpoint
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.platform.tests.fakes import open_raw_port

ENDPOINTS = ("i-1", "i-2", "i-3", "i-4")
CALL_TIME_S = 5.0

# Crashes after which the request is known, and how often it may reach an
# endpoint later than a second after the last of these.
KNOWN_CRASHES = 3
KNOWN_AFTER_S = 1.0
MAX_LATER = 3

# Longest time for the refusal of a request that is known.
MAX_REFUSAL_S = 0.2

# An address at which connections are refused.
CLOSED_PORT = Address("127.0.0.1", 1)


def count_later(crashes_s):
    """Count the crashes after the request has to be known."""
    if len(crashes_s) < KNOWN_CRASHES:
        return 0
    known_s = crashes_s[KNOWN_CRASHES - 1] + KNOWN_AFTER_S
    return sum(crash_s > known_s for crash_s in crashes_s)


async def call_others(fleet, duration_s):
    """Send requests that crash nothing to all instances in turn."""
    end_s = read_boot_clock() + duration_s
    responses = []
    while read_boot_clock() < end_s:
        number = len(responses)
        daemon = fleet.daemons[number % len(fleet.daemons)]
        responses.append(await fleet.call(daemon, path=f"/{number % 9}"))
    return responses


class TestCrashingRequest:
    def test_request_does_not_end_endpoint_after_endpoint(self):
        async def scenario(fleet):
            crashes_s = await start_crashing(fleet)
            await call_repeatedly(fleet, CALL_TIME_S)
            assert crashes_s
            assert count_later(crashes_s) <= MAX_LATER

        run_scenario(scenario, instances=3, endpoints=ENDPOINTS)

    def test_request_that_may_run_once_does_not_either(self):
        async def scenario(fleet):
            crashes_s = await start_crashing(fleet)
            responses = await call_repeatedly(
                fleet,
                CALL_TIME_S,
                method="POST",
                host=b"jepu9.example",
                path="/puka" + CRASHING_PATH,
            )
            assert len(crashes_s) == KNOWN_CRASHES
            failed, refused = responses[:-50], responses[-50:]
            assert {r.head.status for r in refused} == {503}
            assert {r.head.status for r in failed} <= {502, 503}

        run_scenario(scenario, instances=3, endpoints=ENDPOINTS)

    def test_known_request_is_refused_at_once_by_all_instances(self):
        async def scenario(fleet):
            await start_crashing(fleet)
            await call_repeatedly(fleet, CALL_TIME_S / 2)
            for daemon in fleet.daemons:
                started_s = read_boot_clock()
                response = await fleet.call(daemon, path=CRASHING_PATH)
                assert read_boot_clock() - started_s < MAX_REFUSAL_S
                assert response.head.status == 503
                assert float(response.head.find(b"retry-after")) > 60

        run_scenario(
            scenario,
            instances=4,
            endpoints=ENDPOINTS,
            domains=("zrh-a", "zrh-b", "gva-a", "lug-a"),
        )

    def test_new_instance_learns_which_requests_are_refused(self):
        async def scenario(fleet):
            crashes_s = await start_crashing(fleet)
            await call_repeatedly(fleet, CALL_TIME_S / 2)
            crashes = len(crashes_s)
            daemon = await fleet.add_instance("e9")
            await fleet.wait_ready()
            quarantine = daemon.node.crash_reports.quarantine
            await fleet.wait_until(lambda: quarantine.suspects)
            response = await fleet.call(daemon, path=CRASHING_PATH)
            assert response.head.status == 503
            assert len(crashes_s) == crashes

        run_scenario(scenario, instances=2, endpoints=ENDPOINTS)

    def test_other_requests_are_served_meanwhile(self):
        async def scenario(fleet):
            await start_crashing(fleet)
            async with curio.TaskGroup() as group:
                await group.spawn(call_repeatedly, fleet, CALL_TIME_S)
                others = await group.spawn(call_others, fleet, CALL_TIME_S)
            served = [r.head.status == 200 for r in others.result]
            assert sum(served) >= 0.9 * len(served)
            late = served[len(served) // 2 :]
            assert all(late)

        run_scenario(scenario, instances=3, endpoints=ENDPOINTS)


class TestInnocentRequests:
    def test_connection_that_breaks_is_no_crash(self):
        """The endpoint closes the connection, and accepts the next one."""

        async def close_after_request(sock):
            await sock.recv(65536)

        async def run():
            listener = open_raw_port(close_after_request)
            server = await curio.spawn(listener.run, daemon=True)
            owned = make_owned_endpoint(
                replace(ENDPOINT, address=listener.address)
            )
            result = await owned.serve(make_request())
            await server.cancel()
            return owned, result

        owned, result = curio.run(run)
        assert result.outcome is UpstreamOutcome.FAILED
        assert not owned.context.crash_reports.quarantine.suspects

    def test_planned_end_of_an_endpoint_is_no_crash(self):
        async def scenario(fleet):
            await start_crashing(fleet)
            for name in ENDPOINTS:
                fleet.put_report(name, state="draining")
            owned = fleet.daemons[0].node.find_owned(ENDPOINTS[0])
            await fleet.wait_until(lambda: owned.endpoint.is_draining)
            owned.upstream.pool.address = CLOSED_PORT
            assert not await has_crashed(owned)

        run_scenario(scenario, endpoints=ENDPOINTS)

    def test_answered_request_is_cleared_on_all_instances(self):
        async def scenario(fleet):
            await start_crashing(fleet)
            for endpoint in fleet.endpoints.values():
                endpoint.service_time_s = 0.3
            daemon = fleet.daemons[0]
            async with curio.TaskGroup() as group:
                await group.spawn(fleet.call(daemon, path="/innocent"))
                await curio.sleep(0.1)
                await group.spawn(fleet.call(daemon, path=CRASHING_PATH))
            response = await fleet.call(daemon, path="/innocent")
            assert response.head.status == 200
            request = Request(
                "GET", "/innocent", ((b"host", b"hulo.example"),), b"", 0.0
            )
            fingerprint = request.fingerprint
            quarantines = [
                daemon.node.crash_reports.quarantine
                for daemon in fleet.daemons
            ]
            await fleet.wait_until(
                lambda: all(
                    not quarantine.suspects[fingerprint].crashes
                    and quarantine.count_suspects()
                    for quarantine in quarantines
                    if fingerprint in quarantine.suspects
                )
            )
            assert all(fingerprint in q.suspects for q in quarantines)

        run_scenario(scenario, instances=3, endpoints=ENDPOINTS)
