"""Tests of draining entry instances and backend servers."""

import signal
import socket
import time

import pytest

from benchmarks.deployment import call_json
from benchmarks.deployment import RunningDeployment
from benchmarks.load import Load
from benchmarks.load import MIXED_CALLS
from carawayvale.commands.tests.processes import check_ledgers
from carawayvale.commands.tests.processes import is_interrupted
from carawayvale.commands.tests.processes import SETTLING_TIME_S
from carawayvale.commands.tests.processes import SMALL_ENTRIES
from carawayvale.commands.tests.processes import SUBMISSION
from carawayvale.standins import ServiceCall


SLOW_BODY_HEAD = (
    b"PUT /x HTTP/1.1\r\nhost: archive\r\ncontent-length: 4\r\n"
    b"carawayvale-request-id: slow-body\r\n"
    b"carawayvale-deadline-ms: 30000\r\n\r\n"
)


class TestDrains:
    def test_instance_does_not_stop_while_the_body_of_a_request_arrives(
        self, small_deployment
    ):
        process = small_deployment.processes["zurich-1"]
        address = "127.0.0.1", small_deployment.ports["zurich-1"]["callers"]
        with socket.create_connection(address, timeout=20) as caller:
            small_deployment.signal("zurich-1", signal.SIGTERM)
            small_deployment.wait_until(
                lambda: "event=drain_started" in process.log.read_text(),
                "does not drain",
            )
            caller.sendall(SLOW_BODY_HEAD + b"cl")
            # An instance without requests stops after 4.5 s.
            time.sleep(6.0)
            caller.sendall(b"ue")
            response = caller.recv(4096)
        assert response.startswith(b"HTTP/1.1 200 ")
        small_deployment.wait_until(
            lambda: not process.is_running, "still runs"
        )
        assert "waited_for=nothing" in process.log.read_text()

    def test_no_request_fails_during_rolling_restart(self, small_deployment):
        with Load(small_deployment, MIXED_CALLS) as load:
            time.sleep(SETTLING_TIME_S)
            for name in SMALL_ENTRIES:
                process = small_deployment.processes[name]
                small_deployment.signal(name, signal.SIGTERM)
                small_deployment.wait_until(
                    lambda p=process: not p.is_running, f"{name} still runs"
                )
                assert process.popen.returncode == 0
                assert "waited_for=nothing" in process.log.read_text()
                small_deployment.start_entry(name)
                small_deployment.wait_until_converged()
        assert len(load.records) > 100
        assert load.list_failed() == []
        interrupted = [
            m for m in load.records if is_interrupted(m.result.reason)
        ]
        assert interrupted == []
        check_ledgers(small_deployment, load)

    def test_backend_drained_by_the_document_gets_no_new_requests(
        self, small_deployment
    ):
        with Load(
            small_deployment, [ServiceCall("grids")], region="zurich"
        ) as load:
            time.sleep(SETTLING_TIME_S)
            result = small_deployment.edit_as(
                "grids", "endpoint:grids-zurich-a1", "draining=yes"
            )
            assert result.returncode == 0, result.stderr
            time.sleep(0.5)
            before = small_deployment.read_ledgers("grids-zurich-a1")
            time.sleep(1.0)
            after = small_deployment.read_ledgers("grids-zurich-a1")
        name = "grids-zurich-a1"
        assert before[name]["served"] > 0
        assert after[name]["served"] == before[name]["served"]
        assert load.list_failed() == []

    @pytest.mark.parametrize("source", ["answers", "list"])
    def test_backend_drained_by_another_signal_gets_no_new_requests(
        self, small_deployment, source
    ):
        name = "grids-zurich-a1"
        with Load(
            small_deployment, [ServiceCall("grids")], region="zurich"
        ) as load:
            time.sleep(SETTLING_TIME_S)
            if source == "answers":
                small_deployment.set_backend_faults(name, draining=True)
            else:
                body = {"leaving": True}
                target = f"/v1/instances/{name}"
                call_json(small_deployment.store_port, "PUT", target, body)
            time.sleep(3.0)
            before = small_deployment.read_ledgers(name)[name]["served"]
            time.sleep(1.0)
            after = small_deployment.read_ledgers(name)[name]["served"]
        assert before > 0
        assert after == before
        assert load.list_failed() == []

    def test_stuck_drain_ends_at_its_time_limit(self, tmp_path):
        options = "drain_limit_s = 2\n"
        with RunningDeployment(
            tmp_path, ("zurich-1",), service_ms=8000, extra_settings=options
        ) as deployment:
            with Load(deployment, [SUBMISSION], 1, region="zurich"):
                time.sleep(SETTLING_TIME_S)
                process = deployment.processes["zurich-1"]
                deployment.signal("zurich-1", signal.SIGTERM)
                deployment.wait_until(
                    lambda: not process.is_running, "still runs"
                )
            log = process.log.read_text()
            assert "event=drain_limit_reached" in log
            assert 'waited_for="1 requests in flight"' in log
