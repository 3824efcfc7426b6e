"""Tests of requests that real processes forward and serve."""

import signal
import time

import curio
import pytest

from benchmarks.deployment import RunningDeployment
from benchmarks.load import Load
from carawayvale.commands.tests.processes import check_ledgers
from carawayvale.commands.tests.processes import SETTLING_TIME_S
from carawayvale.commands.tests.processes import SMALL_ENTRIES
from carawayvale.commands.tests.processes import STEP_RPS
from carawayvale.commands.tests.processes import SUBMISSION
from carawayvale.commands.tests.processes import ZURICH_CALLER_IP
from carawayvale.contracts import Address
from carawayvale.standins import Caller
from carawayvale.standins import CallOutcome
from carawayvale.standins import ServiceCall


class TestForwarding:
    def test_each_instance_of_the_region_serves_each_service(
        self, small_deployment
    ):
        time.sleep(SETTLING_TIME_S)

        async def send(name, service):
            port = small_deployment.ports[name]["callers"]
            address = Address("127.0.0.1", port)
            caller = Caller((address,), "zurich")
            headers = [
                (b"host", service.encode()),
                (b"carawayvale-request-id", b"r"),
            ]
            try:
                return await caller.send(
                    address, "GET", "/", headers, b"", 5.0
                )
            finally:
                await caller.close()

        servers = set()
        for name in SMALL_ENTRIES[:3]:
            for service in ("grids", "clues", "submissions", "archive"):
                response = curio.run(send, name, service)
                assert response.head.status == 200, response
                servers.add(response.head.find(b"carawayvale-served-by"))
        assert len(servers) == 3


class TestShifts:
    def test_planned_shift_grows_by_steps_and_fails_no_request(self, tmp_path):
        shift = (
            "\n[shift:away]\nowner = platform\nservice = grids\n"
            "source = zurich\ntarget = geneva\nshare = 1\n"
        )

        def adapt_document(text):
            text = text.replace("instances = 7", "instances = 3")
            return text.replace("step_rps = 40", f"step_rps = {STEP_RPS}")

        with RunningDeployment(
            tmp_path, SMALL_ENTRIES, adapt_document
        ) as deployment:
            time.sleep(SETTLING_TIME_S + 3.0)
            path = tmp_path / "shift.ini"
            path.write_text(shift.partition("]")[2])
            result = deployment.edit("shift:away", "--file", str(path))
            assert result.returncode == 0, result.stderr
            calls = [ServiceCall("grids")]
            with Load(
                deployment, calls, 12, 0.05, "zurich", source=ZURICH_CALLER_IP
            ) as load:
                time.sleep(6.0)
            ledgers = deployment.read_ledgers("grids-geneva-.*").values()
            moved = sum(ledger["served"] for ledger in ledgers)
        assert load.list_failed() == []
        assert 0 < moved <= STEP_RPS * sum(range(1, 9))
        assert moved < len(load.records)


class TestAtMostOnce:
    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
    def test_owner_lost_while_it_runs_submissions(self, tmp_path, number):
        with RunningDeployment(
            tmp_path, SMALL_ENTRIES, service_ms=200
        ) as deployment:
            with Load(deployment, [SUBMISSION], 16, region="zurich") as load:
                time.sleep(SETTLING_TIME_S)
                for name in ("zurich-1", "zurich-2"):
                    deployment.signal(name, number)
                    time.sleep(1.0)
                    deployment.signal(name, signal.SIGCONT)
            check_ledgers(deployment, load)
            assert load.count_outcomes()[CallOutcome.ANSWERED] > 0

    def test_broken_backend_connections(self, small_deployment):
        small_deployment.set_backend_faults(
            "submissions.*", mode="break", share=0.3
        )
        with Load(small_deployment, [SUBMISSION], 16) as load:
            time.sleep(4.0)
        check_ledgers(small_deployment, load)
        assert load.count_outcomes()[CallOutcome.UNKNOWN] > 0


class TestIncorrectResponses:
    @pytest.mark.parametrize("mode", ["cross", "truncate", "silent"])
    def test_no_caller_gets_an_incorrect_response(
        self, small_deployment, mode
    ):
        small_deployment.set_backend_faults(
            "grids-zurich-.1", mode=mode, share=0.2
        )
        calls = [ServiceCall("grids"), ServiceCall("grids", size=200_000)]
        with Load(small_deployment, calls, 16, region="zurich") as load:
            time.sleep(5.0)
        counts = load.count_outcomes()
        assert counts[CallOutcome.WRONG] == 0
        assert counts[CallOutcome.ANSWERED] > 0.9 * len(load.records)
