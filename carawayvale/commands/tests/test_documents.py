"""Tests of editing the document with real processes and a store."""

import signal
import time

import curio
import pytest

from benchmarks.deployment import RunningDeployment
from benchmarks.load import Load
from benchmarks.load import MIXED_CALLS
from carawayvale.commands.documents import push_envelope
from carawayvale.commands.tests.processes import check_ledgers
from carawayvale.commands.tests.processes import check_revisions
from carawayvale.commands.tests.processes import find_watchers
from carawayvale.commands.tests.processes import GENEVA_CALLER_IP
from carawayvale.commands.tests.processes import SETTLING_TIME_S
from carawayvale.commands.tests.processes import SMALL_ENTRIES
from carawayvale.commands.tests.processes import STEP_RPS
from carawayvale.commands.tests.processes import wait_in_force
from carawayvale.commands.tests.processes import ZURICH_LIMIT_EDIT
from carawayvale.contracts import Address
from carawayvale.contracts import load_settings
from carawayvale.documents import Edit
from carawayvale.documents import Editor
from carawayvale.documents import EditStatus
from carawayvale.documents import HttpStore
from carawayvale.standins import CallOutcome


class TestDocumentDistribution:
    def open_editor(self, deployment):
        """Create an editor that uses the store of the deployment."""
        return Editor(HttpStore(Address("127.0.0.1", deployment.store_port)))

    def test_command_line_edit_comes_into_force(self, full_deployment):
        result = full_deployment.edit("region:zurich", "limit=58")
        assert result.returncode == 0, result.stderr
        assert "in force at 20 instances" in result.stdout
        check_revisions(full_deployment)

    def test_concurrent_edits_report_their_outcome(self, full_deployment):
        editor = self.open_editor(full_deployment)

        async def edit_concurrently():
            base = await editor.read()
            conflicting = Edit("region:zurich", "platform", {"limit": "57"})
            independent = Edit("region:geneva", "platform", {"limit": "56"})
            tasks = [
                await curio.spawn(editor.edit_from, base, edit)
                for edit in (ZURICH_LIMIT_EDIT, conflicting, independent)
            ]
            return [await task.join() for task in tasks], await editor.read()

        results, after = curio.run(edit_concurrently)
        statuses = [result.status for result in results]
        assert sorted(s.value for s in statuses[:2]) == [
            EditStatus.ACCEPTED.value,
            EditStatus.CONFLICT.value,
        ]
        assert statuses[2] is EditStatus.ACCEPTED
        regions = after.document.by_kind["region"]
        accepted = 59 if statuses[0] is EditStatus.ACCEPTED else 57
        assert (regions["zurich"].limit, regions["geneva"].limit) == (
            accepted,
            56,
        )
        wait_in_force(full_deployment, after.envelope.revision)
        check_revisions(full_deployment)

    def test_write_whose_response_is_lost(self, full_deployment):
        full_deployment.set_store_faults(lose_answers=1)
        result = full_deployment.edit("region:lugano", "limit=50")
        assert result.returncode == 0, result.stderr
        check_revisions(full_deployment)

    def test_store_down_right_after_edit_is_accepted(self, full_deployment):
        watchers = [
            name
            for region in ("zurich", "geneva", "lugano")
            for name in find_watchers(full_deployment, region)
        ]
        editor = self.open_editor(full_deployment)
        for name in watchers:
            full_deployment.signal(name, signal.SIGSTOP)
        try:
            result = curio.run(editor.edit, ZURICH_LIMIT_EDIT)
            full_deployment.set_store_faults(down=True)
        finally:
            for name in watchers:
                full_deployment.signal(name, signal.SIGCONT)
        assert result.status is EditStatus.ACCEPTED
        time.sleep(1.0)
        settings = load_settings(str(full_deployment.operator), "operator")
        with pytest.MonkeyPatch.context() as patch:
            patch.setenv("CARAWAYVALE_KEY", "deployment-test-key")
            accepted = curio.run(push_envelope, settings, result.envelope)
        assert accepted
        wait_in_force(full_deployment, result.revision)
        full_deployment.set_store_faults(down=False)
        check_revisions(full_deployment)

    def test_edit_comes_into_force_without_watchers_of_a_region(
        self, full_deployment
    ):
        killed = find_watchers(full_deployment, "geneva")
        assert len(killed) == 2
        for name in killed:
            full_deployment.kill(name)
        remaining = [
            name for name in full_deployment.settings if name not in killed
        ]
        editor = self.open_editor(full_deployment)
        edit = Edit("region:geneva", "platform", {"limit": "55"})
        result = curio.run(editor.edit, edit)
        wait_in_force(full_deployment, result.revision, remaining)
        for name in killed:
            full_deployment.start_entry(name)
        full_deployment.wait_until_converged()
        wait_in_force(full_deployment, result.revision)
        check_revisions(full_deployment)

    def test_instance_started_in_store_outage_gets_document_from_peers(
        self, full_deployment
    ):
        full_deployment.set_store_faults(down=True)
        full_deployment.kill("lugano-4")
        full_deployment.start_entry("lugano-4")
        full_deployment.wait_until_converged()
        revision = full_deployment.read_state("zurich-1")["revision"]
        wait_in_force(full_deployment, revision)
        full_deployment.set_store_faults(down=False)
        full_deployment.wait_until(
            lambda: (
                not any(s["store_down"] for s in full_deployment.read_states())
            ),
            "store not reached",
        )
        check_revisions(full_deployment)


class TestOutages:
    def test_requests_are_served_while_store_is_down(self, small_deployment):
        small_deployment.set_store_faults(down=True)
        with Load(small_deployment, MIXED_CALLS) as load:
            time.sleep(6.0)
        assert load.list_failed() == []
        result = small_deployment.edit("region:zurich", "limit=50")
        assert result.returncode == 5, result.stdout
        small_deployment.set_store_faults(down=False)
        result = small_deployment.edit("region:zurich", "limit=50")
        assert result.returncode == 0, result.stderr

    def test_lost_region_is_served_by_another_region(self, tmp_path):
        def adapt_document(text):
            text = text.replace("instances = 7", "instances = 3")
            return text.replace("step_rps = 40", f"step_rps = {STEP_RPS}")

        with RunningDeployment(
            tmp_path, SMALL_ENTRIES, adapt_document
        ) as small_deployment:
            before = Load(
                small_deployment,
                MIXED_CALLS,
                8,
                region="geneva",
                source=GENEVA_CALLER_IP,
            )
            with before:
                time.sleep(SETTLING_TIME_S)
            assert before.list_failed() == []
            self.lose_geneva(small_deployment)
            start_s = time.monotonic()
            with Load(
                small_deployment,
                MIXED_CALLS,
                24,
                0.01,
                "geneva",
                seed=2,
                source=GENEVA_CALLER_IP,
            ) as load:
                time.sleep(10.0)
            check_ledgers(small_deployment, load)
            self.check_shift(small_deployment, load, start_s)

    def lose_geneva(self, deployment):
        """Kill the entry instances of Geneva and break its backend servers."""
        for name in ("geneva-1", "geneva-2"):
            deployment.kill(name)
        deployment.set_backend_faults(".*-geneva-.*", mode="break")
        remaining = SMALL_ENTRIES[:3]
        deployment.wait_until(
            lambda: deployment.is_converged(remaining), "geneva"
        )
        time.sleep(4.0)

    def check_shift(self, deployment, load, start_s):
        """Check how fast the shift grows and that ranks have priority."""
        served = [0] * 30
        for record in load.records:
            if record.result.outcome is CallOutcome.ANSWERED:
                end_s = record.started_s + record.result.took_s
                served[int(end_s - start_s)] += 1
        # The shift grows by one step per epoch of one second. A period of n
        # seconds overlaps at most n + 1 epochs.
        for seconds in range(1, len(served) + 1):
            epochs = seconds + 1
            bound = STEP_RPS * epochs * (epochs + 1) / 2
            assert sum(served[:seconds]) <= bound, served
        assert sum(served) > 0
        answered_shares = {}
        for service in ("grids", "archive"):
            records = [m for m in load.records if m.call.service == service]
            answered = [
                m for m in records if m.result.outcome is CallOutcome.ANSWERED
            ]
            answered_shares[service] = len(answered) / len(records)
        assert answered_shares["grids"] > answered_shares["archive"]
        for name, ledger in deployment.read_ledgers(".*-zurich-.*").items():
            assert ledger["refused"] == {}, name
