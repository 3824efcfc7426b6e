"""Tests of whole requests through instances, store and endpoints."""

from dataclasses import replace
import json

import curio
import pytest

from carawayvale.commands.main import format_state
from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway import daemon as daemon_module
from carawayvale.gateway import observer as observer_module
from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import connect
from carawayvale.platform.tests.examples import CONFIGURATION
from carawayvale.steering.admission import QueuedRequest

DESK = {"host": b"jepu9.example", "path": "/puka/1", "method": "POST"}


def play(scenario, **options):
    """Run a scenario with a fleet."""

    async def run():
        async with open_fleet(**options) as fleet:
            await scenario(fleet)

    curio.run(run)


async def fetch(address, path):
    """Call one of an instance's small ports."""
    pool = ConnectionPool(address)
    call = OutgoingCall("GET", path, [(b"host", b"a")])
    reply = await pool.exchange(call, 5.0, 65536)
    await pool.close()
    return reply


class TestRequests:
    def test_an_answer_comes_back_unchanged(self):
        async def scenario(fleet):
            reply = await fleet.call(fleet.daemons[0])
            assert reply.head.status == 200
            assert reply.body == b"done by i-1"
            assert reply.head.find(b"x-server-stamp") == b"sig-i-1"
            run = fleet.endpoints["i-1"].runs[0]
            assert run.find(b"x-expect-instance") == b"i-1"
            assert int(run.find(b"x-deadline-ms")) <= 1200

        play(scenario)

    def test_every_instance_serves_every_endpoint(self):
        async def scenario(fleet):
            for daemon in fleet.daemons:
                for key in (b"1", b"2", b"3", b"4"):
                    reply = await fleet.call(daemon, key=key)
                    assert reply.head.status == 200
            used = [name for name, e in fleet.endpoints.items() if e.runs]
            assert len(used) >= 2

        play(scenario, instances=3, endpoints=("i-1", "i-2", "i-3"))

    def test_unknown_routes_are_404(self):
        async def scenario(fleet):
            reply = await fleet.call(fleet.daemons[0], host=b"x.example")
            assert reply.head.status == 404

        play(scenario)

    def test_callers_cannot_set_headers_of_instances(self):
        async def scenario(fleet):
            own = [(b"caraway-order", b"i-9"), (b"caraway-result", b"1")]
            reply = await fleet.call(fleet.daemons[0], headers=own)
            assert reply.head.status == 200
            names = [n for n, _ in fleet.endpoints["i-1"].runs[0].headers]
            assert not [n for n in names if n.startswith(b"caraway-")]

        play(scenario)


class TestConfiguration:
    def test_without_one_requests_are_refused_not_denied(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            await fleet.wait_until(lambda: daemon.feed.complete)
            reply = await fleet.call(daemon)
            assert reply.head.status == 503
            assert float(reply.head.find(b"retry-after")) > 0
            ready = await fetch(daemon.settings.readiness, "/ready")
            assert ready.head.status == 503

        play(scenario, configured=False)

    def test_a_late_one_is_taken_up(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            fleet.store.put("op/config", CONFIGURATION)
            await fleet.wait_until(lambda: daemon.node.is_ready)
            assert (await fleet.call(daemon)).head.status == 200

        play(scenario, configured=False)


class TestHomes:
    """The route of desk may only be served in zurich."""

    def test_endpoints_elsewhere_are_not_used(self):
        async def scenario(fleet):
            await fleet.add_endpoint("desk-far", "desk", "gva-a")
            node = fleet.daemons[0].node
            await fleet.wait_until(
                lambda: "desk-far" in node.catalogue.endpoints
            )
            for key in range(8):
                reply = await fleet.call(
                    fleet.daemons[0], key=b"%d" % key, **DESK
                )
                assert reply.head.status == 200
            assert not fleet.endpoints["desk-far"].runs

        play(scenario, domains=("gva-a",))

    def test_look_ups_name_the_homes_where_a_region_has_no_instance(self):
        async def scenario(fleet):
            question = "/resolve?name={}&region=lugano&zone=lug-a"
            port = fleet.daemons[0].settings.lookups
            reply = await fetch(port, question.format("jepu9.example"))
            home = str(fleet.daemons[0].settings.callers)
            assert json.loads(reply.body)["addresses"] == [home]
            reply = await fetch(port, question.format("hulo.example"))
            assert len(json.loads(reply.body)["addresses"]) == 2

        play(scenario, instances=2, domains=("zrh-a", "gva-a"))

    def test_no_instance_of_a_third_region_gets_the_request(self):
        """No instance of the home is left, so others own its endpoints."""

        async def scenario(fleet):
            near, far = fleet.daemons
            for key in range(12):
                reply = await fleet.call(near, key=b"%d" % key, **DESK)
                assert reply.head.status == 200
            owned = [n for n in far.node.owned if n.startswith("desk")]
            assert not owned

        names = tuple(f"i-{n}" for n in range(6))
        play(
            scenario,
            instances=2,
            endpoints=names,
            domains=("gva-a", "lug-a"),
        )


class TestRetries:
    def test_a_shed_request_goes_to_another_endpoint(self):
        async def scenario(fleet):
            for endpoint in fleet.endpoints.values():
                endpoint.shed = 1
            reply = await fleet.call(fleet.daemons[0], **DESK)
            runs = [e for e in fleet.endpoints.values() if e.runs]
            assert reply.head.status == 503 and not runs
            fleet.endpoints["desk-i-1"].shed = 1
            fleet.endpoints["desk-i-2"].shed = 0
            reply = await fleet.call(fleet.daemons[0], **DESK)
            assert reply.head.status == 200

        play(scenario, endpoints=("i-1", "i-2"))

    def test_a_request_that_may_have_run_is_not_repeated(self):
        async def scenario(fleet):
            for endpoint in fleet.endpoints.values():
                endpoint.crossed = 1
            reply = await fleet.call(fleet.daemons[0], **DESK)
            assert reply.head.status == 502
            assert sum(len(e.runs) for e in fleet.endpoints.values()) == 1

        play(scenario, endpoints=("i-1", "i-2"))

    def test_a_crossed_answer_of_a_safe_request_is_repeated(self):
        async def scenario(fleet):
            for endpoint in fleet.endpoints.values():
                endpoint.crossed = 1
            reply = await fleet.call(fleet.daemons[0])
            assert reply.head.status == 502
            reply = await fleet.call(fleet.daemons[0])
            assert reply.head.status == 200
            assert sum(len(e.runs) for e in fleet.endpoints.values()) == 3

        play(scenario, endpoints=("i-1", "i-2"))

    def test_an_error_of_a_sound_endpoint_is_the_answer(self):
        async def scenario(fleet):
            fleet.endpoints["i-1"].fail = 1
            reply = await fleet.call(fleet.daemons[0])
            assert reply.head.status == 500
            assert reply.head.find(b"x-server-stamp") == b"sig-i-1"

        play(scenario)

    def test_errors_of_a_failing_endpoint_are_repeated_elsewhere(self):
        """Answers the load of an endpoint that fails all requests."""

        async def scenario(fleet):
            fleet.endpoints["i-1"].fail = 1000
            keys = [b"%d" % n for n in range(20)]
            found = [
                (await fleet.call(fleet.daemons[0], key=k)).head.status
                for k in keys
            ]
            assert found.count(500) <= 3
            assert found[-5:] == [200] * 5

        play(scenario, endpoints=("i-1", "i-2"))

    def test_a_failing_endpoint_is_used_when_sound_ones_are_full(self):
        """Answers the load of most endpoints of a service failing."""

        async def scenario(fleet):
            node = fleet.daemons[0].node
            now_s = read_boot_clock()
            failing, full = node.find_owned("i-1"), node.find_owned("i-2")
            failing.health.failure_rate = 0.6
            failing.health.last_sample_s = now_s + 60
            for _ in range(full.endpoint.slots):
                job = QueuedRequest(0, "", now_s, now_s + 60, started_s=now_s)
                job.service_s = 60.0
                full.queue.running.add(job)
            reply = await fleet.call(fleet.daemons[0])
            assert reply.head.status == 200
            assert fleet.endpoints["i-1"].runs

        play(scenario, endpoints=("i-1", "i-2"))


class TestObserving:
    def test_metrics_tell_requests_by_rank_and_end(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            await fleet.call(daemon)
            for endpoint in fleet.endpoints.values():
                endpoint.shed = 1
            await fleet.call(daemon, **DESK)
            reply = await fetch(daemon.settings.metrics, "/metrics")
            lines = reply.body.decode().splitlines()
            for line in (
                'carawayvale_requests_total{kind="0/answered"} 1.0',
                'carawayvale_requests_total{kind="1/refused"} 1.0',
                'carawayvale_refusals_total{kind="1/no_endpoint"} 1.0',
                'carawayvale_attempts_total{kind="1/not_run"} 1.0',
                'carawayvale_endpoints{kind=""} 2.0',
            ):
                assert line in lines
            text = reply.body.decode()
            assert 'latency_seconds_count{hop="endpoint",rank="0"} 1.0' in text
            assert "carawayvale_store_age_s" in text

        play(scenario)

    def test_state_tells_what_the_status_command_prints(self):
        async def scenario(fleet):
            reply = await fetch(fleet.daemons[0].settings.metrics, "/state")
            line = format_state(json.loads(reply.body))
            assert "name=e1" in line and "ready=True" in line

        play(scenario)

    def record_lines(self, monkeypatch):
        """Record the observer's log lines as (event, fields)."""
        lines = []

        def record(event, level="INFO", **fields):
            lines.append((event, fields))

        monkeypatch.setattr(observer_module, "log_event", record)
        return lines

    def test_a_caller_that_leaves_is_logged(self, monkeypatch):
        lines = self.record_lines(monkeypatch)

        async def scenario(fleet):
            fleet.endpoints["i-1"].work_s = 2.0
            call = await curio.spawn(fleet.call, fleet.daemons[0], daemon=True)
            await fleet.wait_until(lambda: fleet.endpoints["i-1"].runs)
            await call.cancel()
            await fleet.wait_until(lambda: lines)

        play(scenario)
        fields = dict(lines)["request_abandoned"]
        assert fields["request"] == "id-1"
        assert fields["asked"] == "i-1:waits"

    def test_a_refusal_names_what_decided_it(self, monkeypatch):
        lines = self.record_lines(monkeypatch)

        async def scenario(fleet):
            for endpoint in fleet.endpoints.values():
                endpoint.shed = 9
            await fleet.call(fleet.daemons[0], **DESK)

        play(scenario)
        fields = dict(lines)["request_refused"]
        assert fields["asked"] == "desk-i-1:not_run"
        assert fields["revision"] > 0 and fields["left_ms"] > 0
        assert dict(lines)["request_run"]["outcome"] == "not_run"


class TestLeaving:
    def test_a_draining_endpoint_gets_nothing_more(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            fleet.report("i-1", state="draining")
            await fleet.wait_until(
                lambda: daemon.node.catalogue.endpoints["i-1"].is_draining
            )
            before = len(fleet.endpoints["i-1"].runs)
            for key in (b"1", b"2", b"3", b"4", b"5"):
                reply = await fleet.call(daemon, key=key)
                assert reply.head.status == 200
            assert len(fleet.endpoints["i-1"].runs) == before

        play(scenario, endpoints=("i-1", "i-2"))

    def test_an_evacuated_failure_domain_gets_nothing(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            fleet.store.put("op/evacuate/zrh-a", {})
            await fleet.wait_until(lambda: daemon.node.catalogue.evacuated)
            reply = await fleet.call(daemon)
            assert reply.head.status == 503
            fleet.store.remove("op/evacuate/zrh-a")
            await fleet.wait_until(lambda: not daemon.node.catalogue.evacuated)
            assert (await fleet.call(daemon)).head.status == 200

        play(scenario)

    def test_waiting_requests_leave_an_endpoint_that_is_gone(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            for endpoint in fleet.endpoints.values():
                endpoint.work_s = 1.0
            entry = fleet.endpoints["desk-i-1"].entry
            entry["info"]["slots"] = 1
            fleet.report("desk-i-1")
            node = daemon.node
            await fleet.wait_until(
                lambda: node.catalogue.endpoints["desk-i-1"].slots == 1
            )
            calls = [
                await curio.spawn(
                    lambda: fleet.call(daemon, **DESK), daemon=True
                )
                for _ in range(2)
            ]
            await fleet.wait_until(lambda: daemon.callers.open_requests == 2)
            waiting = node.owned["desk-i-1"].queue
            await fleet.wait_until(lambda: waiting.load)
            fleet.store.remove("servers/desk-i-1")
            await fleet.wait_until(lambda: any(c.terminated for c in calls))
            ended = [call for call in calls if call.terminated]
            # The waiting request is refused while the other still runs.
            assert [c.result.head.status for c in ended] == [503]
            found = sorted([(await c.join()).head.status for c in calls])
            assert found == [200, 503]
            assert not waiting.waiting

        play(scenario)

    def test_an_endpoint_is_taken_for_cold_after_an_evacuation(self):
        async def scenario(fleet):
            node = fleet.daemons[0].node
            assert (await fleet.call(fleet.daemons[0])).head.status == 200
            fleet.store.put("op/evacuate/zrh-a", {})
            await fleet.wait_until(lambda: node.catalogue.evacuated)
            fleet.store.remove("op/evacuate/zrh-a")
            await fleet.wait_until(lambda: not node.catalogue.evacuated)
            assert node.owned["i-1"].queue.cold_limit is not None

        play(scenario)

    def test_changed_settings_hold_as_far_as_they_can(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            old = daemon.settings
            bounds = replace(old.bounds, grace_s=9.0)
            await daemon.reload(replace(old, bounds=bounds, name="other"))
            assert daemon.node.settings.bounds.grace_s == 9.0
            assert daemon.node.settings.name == old.name

        play(scenario)

    def test_a_planned_stop_cuts_no_request(self):
        async def scenario(fleet):
            first, second = fleet.daemons
            for endpoint in fleet.endpoints.values():
                endpoint.work_s = 0.8
            calls = [
                await curio.spawn(fleet.call, first, daemon=True)
                for _ in range(4)
            ]
            await fleet.wait_until(lambda: first.callers.open_requests == 4)
            await first.stop()
            reply = await fetch(first.settings.readiness, "/ready")
            assert reply.head.status == 503
            for call in calls:
                assert (await call.join()).head.status == 200
            await fleet.wait_until(
                lambda: len(second.node.membership.list_serving()) == 1
            )

        play(scenario, instances=2)

    def test_requests_until_the_last_moment_are_answered_or_not_run(
        self, monkeypatch
    ):
        """The process ends only when its endpoints have answered.

        Hunt on gitterwerk-lb, hunt-a28e-11: it ended while a request that
        had come at the last moment was at its endpoint.
        """
        monkeypatch.setattr(daemon_module, "LOOKUP_TAIL_S", 0.3)

        async def call_always(fleet, daemon, answers):
            while True:
                try:
                    reply = await fleet.call(daemon)
                except ConnectionError:
                    return
                answers.append(reply.head.status)
                # A short pause, in which the instance seems idle.
                await curio.sleep(0.03)

        async def scenario(fleet):
            first = fleet.daemons[0]
            endpoints = fleet.endpoints.values()
            for endpoint in endpoints:
                endpoint.work_s = 0.1
            answers = []
            caller = await curio.spawn(
                call_always, fleet, first, answers, daemon=True
            )
            await fleet.wait_until(lambda: len(answers) > 2)
            before = len(answers)
            await first.stop()
            await caller.join()
            assert len(answers) > before + 1
            assert set(answers) == {200}
            assert sum(len(e.runs) for e in endpoints) == len(answers)
            assert not any(e.cancelled for e in endpoints)

        play(scenario, instances=2)

    def test_a_caller_that_leaves_cancels_its_request(self):
        async def scenario(fleet):
            endpoint = fleet.endpoints["i-1"]
            endpoint.work_s = 5.0
            sock = await connect(fleet.daemons[0].settings.callers)
            await sock.sendall(
                b"GET /x HTTP/1.1\r\nhost: hulo.example\r\n"
                b"x-request-id: a\r\nx-deadline-ms: 9000\r\n\r\n"
            )
            await fleet.wait_until(lambda: endpoint.runs)
            await sock.close()
            await fleet.wait_until(lambda: endpoint.cancelled)

        play(scenario, instances=2)


class TestStoreTrouble:
    def test_serves_on_while_the_store_is_away(self):
        async def scenario(fleet):
            fleet.store.status = 503
            await fleet.wait_until(lambda: not fleet.daemons[0].feed.reachable)
            assert (await fleet.call(fleet.daemons[0])).head.status == 200
            fleet.store.status = 200
            fleet.report("i-1", state="draining")
            await fleet.wait_until(
                lambda: (
                    fleet.daemons[0]
                    .node.catalogue.endpoints["i-1"]
                    .is_draining
                )
            )

        play(scenario)

    def test_reads_again_when_the_history_is_gone(self):
        async def scenario(fleet):
            fleet.store.put("op/config", b"{")
            fleet.store.remove("servers/i-1")
            fleet.store.forget_history()
            node = fleet.daemons[0].node
            await fleet.wait_until(
                lambda: "i-1" not in node.catalogue.endpoints
            )
            assert node.catalogue.configuration is not None

        play(scenario, endpoints=("i-1", "i-2"))

    def test_one_instance_of_a_region_watches(self):
        async def scenario(fleet):
            await curio.sleep(1.0)
            await fleet.wait_until(
                lambda: sum(d.feed.watching for d in fleet.daemons) == 1
            )
            fleet.report("i-1", state="draining")
            await fleet.wait_until(
                lambda: all(
                    d.node.catalogue.endpoints["i-1"].is_draining
                    for d in fleet.daemons
                )
            )

        play(scenario, instances=3)

    def test_a_new_instance_learns_from_peers(self):
        async def scenario(fleet):
            fleet.store.status = 503
            old = fleet.daemons[0]
            new = await fleet.add_instance("e9")
            new.peers.seeds = (old.settings.peers,)
            await fleet.wait_until(lambda: new.node.is_ready)
            assert (await fleet.call(new)).head.status == 200

        play(scenario)


class TestSmallPorts:
    def test_look_ups_name_the_instances_of_the_callers_domain(self):
        async def scenario(fleet):
            first, second = fleet.daemons
            path = "/resolve?name=a&region=zurich&zone=zrh-a"
            reply = await fetch(first.settings.lookups, path)
            for daemon in (first, second):
                assert str(daemon.settings.callers).encode() in reply.body

        play(scenario, instances=2)

    @pytest.mark.parametrize("path,status", [("/ready", 200), ("/x", 404)])
    def test_readiness(self, path, status):
        async def scenario(fleet):
            address: Address = fleet.daemons[0].settings.readiness
            assert (await fetch(address, path)).head.status == status

        play(scenario)
