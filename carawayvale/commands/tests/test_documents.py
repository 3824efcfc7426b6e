"""Tests of the document over real processes and their store."""

import signal
import time

import curio
import pytest

from benchmarks.deployment import Deployment
from benchmarks.load import Load
from benchmarks.load import MIXED_CALLS
from carawayvale.commands.documents import push_envelope
from carawayvale.commands.tests.processes import check_ledgers
from carawayvale.commands.tests.processes import check_revisions
from carawayvale.commands.tests.processes import find_watchers
from carawayvale.commands.tests.processes import GENEVA
from carawayvale.commands.tests.processes import REGION_EDIT
from carawayvale.commands.tests.processes import SMALL
from carawayvale.commands.tests.processes import STEP_RPS
from carawayvale.commands.tests.processes import wait_in_force
from carawayvale.commands.tests.processes import WARM_S
from carawayvale.contracts import Address
from carawayvale.contracts import load_settings
from carawayvale.documents import Edit
from carawayvale.documents import Editor
from carawayvale.documents import EditStatus
from carawayvale.documents import HttpStore
from carawayvale.standins import CallOutcome


class TestDocumentEverywhere:
    def open_editor(self, deployment):
        """Open an editor of the deployment's store."""
        return Editor(HttpStore(Address("127.0.0.1", deployment.store_port)))

    def test_edit_of_the_command_line_takes_hold(self, whole):
        result = whole.edit("region:zurich", "limit=58")
        assert result.returncode == 0, result.stderr
        assert "in force at 20 instances" in result.stdout
        check_revisions(whole)

    def test_racing_editors_are_told_the_truth(self, whole):
        editor = self.open_editor(whole)

        async def race():
            base = await editor.read()
            other = Edit("region:zurich", "platform", {"limit": "57"})
            third = Edit("region:geneva", "platform", {"limit": "56"})
            tasks = [
                await curio.spawn(editor.edit_from, base, edit)
                for edit in (REGION_EDIT, other, third)
            ]
            return [await task.join() for task in tasks], await editor.read()

        results, after = curio.run(race)
        statuses = [result.status for result in results]
        assert sorted(s.value for s in statuses[:2]) == [
            EditStatus.ACCEPTED.value,
            EditStatus.CONFLICT.value,
        ]
        assert statuses[2] is EditStatus.ACCEPTED
        regions = after.document.by_kind["region"]
        won = 59 if statuses[0] is EditStatus.ACCEPTED else 57
        assert (regions["zurich"].limit, regions["geneva"].limit) == (won, 56)
        wait_in_force(whole, after.envelope.revision)
        check_revisions(whole)

    def test_lost_answer_of_the_write(self, whole):
        whole.set_store_faults(lose_answers=1)
        result = whole.edit("region:lugano", "limit=50")
        assert result.returncode == 0, result.stderr
        check_revisions(whole)

    def test_store_down_right_after_the_accept(self, whole):
        watchers = [
            name
            for region in ("zurich", "geneva", "lugano")
            for name in find_watchers(whole, region)
        ]
        editor = self.open_editor(whole)
        for name in watchers:
            whole.signal(name, signal.SIGSTOP)
        try:
            result = curio.run(editor.edit, REGION_EDIT)
            whole.set_store_faults(down=True)
        finally:
            for name in watchers:
                whole.signal(name, signal.SIGCONT)
        assert result.status is EditStatus.ACCEPTED
        time.sleep(1.0)
        settings = load_settings(str(whole.operator), "operator")
        with pytest.MonkeyPatch.context() as patch:
            patch.setenv("CARAWAYVALE_KEY", "deployment-test-key")
            taken = curio.run(push_envelope, settings, result.envelope)
        assert taken
        wait_in_force(whole, result.revision)
        whole.set_store_faults(down=False)
        check_revisions(whole)

    def test_watchers_of_a_region_killed(self, whole):
        killed = find_watchers(whole, "geneva")
        assert len(killed) == 2
        for name in killed:
            whole.kill(name)
        left = [name for name in whole.settings if name not in killed]
        editor = self.open_editor(whole)
        edit = Edit("region:geneva", "platform", {"limit": "55"})
        result = curio.run(editor.edit, edit)
        wait_in_force(whole, result.revision, left)
        for name in killed:
            whole.start_entry(name)
        whole.wait_until_converged()
        wait_in_force(whole, result.revision)
        check_revisions(whole)

    def test_instance_started_in_an_outage_learns_from_peers(self, whole):
        whole.set_store_faults(down=True)
        whole.kill("lugano-4")
        whole.start_entry("lugano-4")
        whole.wait_until_converged()
        revision = whole.read_state("zurich-1")["revision"]
        wait_in_force(whole, revision)
        whole.set_store_faults(down=False)
        whole.wait_until(
            lambda: not any(s["store_down"] for s in whole.read_states()),
            "store not reached",
        )
        check_revisions(whole)


class TestOutages:
    def test_traffic_goes_on_while_the_store_is_down(self, small):
        small.set_store_faults(down=True)
        with Load(small, MIXED_CALLS) as load:
            time.sleep(6.0)
        assert load.list_failed() == []
        result = small.edit("region:zurich", "limit=50")
        assert result.returncode == 5, result.stdout
        small.set_store_faults(down=False)
        result = small.edit("region:zurich", "limit=50")
        assert result.returncode == 0, result.stderr

    def test_lost_region_is_served_by_the_others(self, tmp_path):
        def plan_three(text):
            text = text.replace("instances = 7", "instances = 3")
            return text.replace("step_rps = 40", f"step_rps = {STEP_RPS}")

        with Deployment(tmp_path, SMALL, plan_three) as small:
            before = Load(
                small, MIXED_CALLS, 8, region="geneva", source=GENEVA
            )
            with before:
                time.sleep(WARM_S)
            assert before.list_failed() == []
            self.lose_geneva(small)
            began_s = time.monotonic()
            with Load(
                small, MIXED_CALLS, 24, 0.01, "geneva", seed=2, source=GENEVA
            ) as load:
                time.sleep(10.0)
            check_ledgers(small, load)
            self.check_shift(small, load, began_s)

    def lose_geneva(self, deployment):
        """Kill a region's entries and cut its backend servers off."""
        for name in ("geneva-1", "geneva-2"):
            deployment.kill(name)
        deployment.set_backend_faults(".*-geneva-.*", mode="break")
        left = SMALL[:3]
        deployment.wait_until(lambda: deployment.is_converged(left), "geneva")
        time.sleep(4.0)

    def check_shift(self, deployment, load, began_s):
        """Check the growth of the shift and the order of ranks."""
        served = [0] * 30
        for record in load.records:
            if record.result.outcome is CallOutcome.ANSWERED:
                ended_s = record.started_s + record.result.took_s
                served[int(ended_s - began_s)] += 1
        # The shift grows by a step from one epoch of a second to the
        # next; n seconds meet at most n + 1 epochs.
        for seconds in range(1, len(served) + 1):
            epochs = seconds + 1
            bound = STEP_RPS * epochs * (epochs + 1) / 2
            assert sum(served[:seconds]) <= bound, served
        assert sum(served) > 0
        shares = {}
        for service in ("grids", "archive"):
            records = [m for m in load.records if m.call.service == service]
            good = [
                m for m in records if m.result.outcome is CallOutcome.ANSWERED
            ]
            shares[service] = len(good) / len(records)
        assert shares["grids"] > shares["archive"]
        for name, ledger in deployment.read_ledgers(".*-zurich-.*").items():
            assert ledger["refused"] == {}, name
