"""Tests of requests through real processes."""

import signal
import time

import curio
import pytest

from benchmarks.deployment import Deployment
from benchmarks.load import Load
from carawayvale.commands.tests.processes import check_ledgers
from carawayvale.commands.tests.processes import SMALL
from carawayvale.commands.tests.processes import STEP_RPS
from carawayvale.commands.tests.processes import SUBMISSION
from carawayvale.commands.tests.processes import WARM_S
from carawayvale.commands.tests.processes import ZURICH
from carawayvale.contracts import Address
from carawayvale.standins import BackendCall
from carawayvale.standins import Caller
from carawayvale.standins import CallOutcome


class TestForwarding:
    def test_any_instance_of_the_region_answers_at_once(self, small):
        time.sleep(WARM_S)

        async def ask(name, service):
            port = small.ports[name]["callers"]
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
        for name in SMALL[:3]:
            for service in ("grids", "clues", "submissions", "archive"):
                reply = curio.run(ask, name, service)
                assert reply.head.status == 200, reply
                servers.add(reply.head.find(b"carawayvale-served-by"))
        assert len(servers) == 3


class TestShifts:
    def test_planned_shift_follows_the_step_and_fails_nobody(self, tmp_path):
        shift = (
            "\n[shift:away]\nowner = platform\nservice = grids\n"
            "source = zurich\ntarget = geneva\nshare = 1\n"
        )

        def plan(text):
            text = text.replace("instances = 7", "instances = 3")
            return text.replace("step_rps = 40", f"step_rps = {STEP_RPS}")

        with Deployment(tmp_path, SMALL, plan) as deployment:
            time.sleep(WARM_S + 3.0)
            path = tmp_path / "shift.ini"
            path.write_text(shift.partition("]")[2])
            result = deployment.edit("shift:away", "--file", str(path))
            assert result.returncode == 0, result.stderr
            calls = [BackendCall("grids")]
            with Load(
                deployment, calls, 12, 0.05, "zurich", source=ZURICH
            ) as load:
                time.sleep(6.0)
            ledgers = deployment.read_ledgers("grids-geneva-.*").values()
            moved = sum(ledger["served"] for ledger in ledgers)
        assert load.list_failed() == []
        assert 0 < moved <= STEP_RPS * sum(range(1, 9))
        assert moved < len(load.records)


class TestAtMostOnce:
    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
    def test_owner_lost_in_the_midst_of_submissions(self, tmp_path, number):
        with Deployment(tmp_path, SMALL, service_ms=200) as deployment:
            with Load(deployment, [SUBMISSION], 16, region="zurich") as load:
                time.sleep(WARM_S)
                for name in ("zurich-1", "zurich-2"):
                    deployment.signal(name, number)
                    time.sleep(1.0)
                    deployment.signal(name, signal.SIGCONT)
            check_ledgers(deployment, load)
            assert load.count_verdicts()[CallOutcome.ANSWERED] > 0

    def test_broken_backend_connections(self, small):
        small.set_backend_faults("submissions.*", mode="break", share=0.3)
        with Load(small, [SUBMISSION], 16) as load:
            time.sleep(4.0)
        check_ledgers(small, load)
        assert load.count_verdicts()[CallOutcome.UNKNOWN] > 0


class TestWholeAnswers:
    @pytest.mark.parametrize("mode", ["cross", "truncate", "silent"])
    def test_no_caller_gets_a_wrong_answer(self, small, mode):
        small.set_backend_faults("grids-zurich-.1", mode=mode, share=0.2)
        calls = [BackendCall("grids"), BackendCall("grids", size=200_000)]
        with Load(small, calls, 16, region="zurich") as load:
            time.sleep(5.0)
        counts = load.count_verdicts()
        assert counts[CallOutcome.WRONG] == 0
        assert counts[CallOutcome.ANSWERED] > 0.9 * len(load.records)
