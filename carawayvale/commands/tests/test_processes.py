"""Tests of real processes that are killed, paused, cut and drained."""

import signal
import time

import curio
import pytest

from benchmarks.deployment import call
from benchmarks.deployment import Deployment
from benchmarks.deployment import list_live
from benchmarks.load import Load
from benchmarks.load import MIX
from carawayvale.commands.documents import push_envelope
from carawayvale.contracts import Address
from carawayvale.contracts import load_settings
from carawayvale.documents import Edit
from carawayvale.documents import Editor
from carawayvale.documents import EditStatus
from carawayvale.documents import HttpStore
from carawayvale.standins import Call
from carawayvale.standins import Caller
from carawayvale.standins import Verdict

REGION_EDIT = Edit("region:zurich", "platform", {"limit": "59"})
SMALL = ("zurich-1", "zurich-2", "zurich-3", "geneva-1", "geneva-2")
SUBMISSION = Call("submissions", "POST", "/", body=b"grid", timeout_s=8.0)
WARM_S = 2.0
STEP_RPS = 12
GENEVA = "127.11.0.9"
ZURICH = "127.10.0.9"


@pytest.fixture(scope="class")
def whole(request, tmp_path_factory):
    """Run all 20 entry instances."""
    with Deployment(tmp_path_factory.mktemp("whole")) as deployment:
        yield deployment


@pytest.fixture
def small(tmp_path):
    """Run five entry instances in two regions."""
    with Deployment(tmp_path, SMALL) as deployment:
        yield deployment


def is_in_force(deployment, revision, names=None):
    """Tell whether a revision is in force at entries."""
    states = deployment.read_states(names)
    return all(s is not None and s["revision"] >= revision for s in states)


def wait_in_force(deployment, revision, names=None):
    """Wait until a revision is in force at entries."""
    deployment.wait_until(
        lambda: is_in_force(deployment, revision, names), "not in force"
    )


def check_revisions(deployment):
    """Check that no instance's revision ever fell."""
    for name in deployment.settings:
        revisions = deployment.list_revisions(name)
        assert revisions == sorted(revisions), name


def find_watchers(deployment, region):
    """Find the watchers of a region."""
    return [
        state["name"]
        for state in deployment.read_states()
        if state and state["region"] == region and state["watcher"]
    ]


def check_ledgers(deployment, load):
    """Check that submissions ran at most once and refusals are true."""
    runs = {}
    for ledger in deployment.read_ledgers("submissions.*").values():
        for request_id, count in ledger["runs"].items():
            runs[request_id] = runs.get(request_id, 0) + count
    for made in load.made:
        if made.call.method != "POST" or made.call.service != "submissions":
            continue
        count = runs.get(made.result.request_id, 0)
        assert count <= 1, made
        if made.result.verdict is Verdict.NOT_RUN:
            assert count == 0, made
        if made.result.verdict is Verdict.ANSWERED:
            assert count == 1, made


def is_cut(reason):
    """Tell whether an attempt ended without an answer."""
    return reason.startswith("broken") or "failed" in reason


def is_dead(state, name):
    """Tell whether an entry holds an instance for dead."""
    found = [m["state"] for m in state["members"] if m["name"] == name]
    return found == ["dead"]


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
        whole.wait_until_whole()
        wait_in_force(whole, result.revision)
        check_revisions(whole)

    def test_instance_started_in_an_outage_learns_from_peers(self, whole):
        whole.set_store_faults(down=True)
        whole.kill("lugano-4")
        whole.start_entry("lugano-4")
        whole.wait_until_whole()
        revision = whole.read_state("zurich-1")["revision"]
        wait_in_force(whole, revision)
        whole.set_store_faults(down=False)
        whole.wait_until(
            lambda: not any(s["store_down"] for s in whole.read_states()),
            "store not reached",
        )
        check_revisions(whole)


class TestMembershipProcesses:
    def test_dead_instance_loses_shards_and_callers(self, small):
        victim = next(s["name"] for s in small.read_states() if s["shards"])
        lost = set(small.read_state(victim)["shards"])
        small.kill(victim)
        left = [name for name in SMALL if name != victim]

        def is_taken_over():
            owned = set()
            for state in small.read_states(left):
                owned.update(state["shards"])
            return lost <= owned

        small.wait_until(is_taken_over, "shards have no owner")
        for name in left:
            answer = call(
                small.ports[name]["callers"],
                "GET",
                "/.well-known/carawayvale/lookup?service=grids",
            )
            names = [entry["name"] for entry in answer["entries"]]
            assert victim not in names

    def test_paused_instance_makes_nobody_else_leave(self, small):
        small.signal("zurich-2", signal.SIGSTOP)
        left = [name for name in SMALL if name != "zurich-2"]
        # Peers suspect an instance after 1.0 s of a pause, and it only
        # takes 1.5 s and more for one; dead means 2 s at the least.
        small.wait_until(
            lambda: all(
                list_live(s) == sorted(left) and is_dead(s, "zurich-2")
                for s in small.read_states(left)
            ),
            "pause not noticed",
        )
        small.signal("zurich-2", signal.SIGCONT)
        small.wait_until_whole()
        log = small.processes["zurich-2"].log.read_text()
        assert "event=pause_noticed" in log
        assert "state=dead" not in log

    def test_a_third_restarted_at_once_heals(self, small):
        for name in SMALL[:2]:
            small.kill(name)
            small.start_entry(name)
        small.wait_until_whole()

    def test_unsigned_peer_is_refused_and_logged(self, small, tmp_path):
        path = small.settings["zurich-1"]
        other = tmp_path / "stranger.ini"
        text = path.read_text().replace("name = zurich-1", "name = stranger")
        key = tmp_path / "key"
        key.write_text("another-key-of-enough-bytes")
        lines = [
            line
            for line in text.splitlines()
            if not line.startswith(("callers", "peers", "operators"))
        ]
        lines += [f"{k} = 127.0.0.1:0" for k in ("callers", "peers")]
        lines += ["operators = 127.0.0.1:0", f"key_file = {key}"]
        other.write_text("\n".join(lines))
        small.start("stranger", "entry", "--settings", str(other))
        log = small.processes["zurich-2"].log
        small.wait_until(
            lambda: "event=peer_refused" in log.read_text(), "not refused"
        )
        assert small.is_whole(SMALL)


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


class TestDrains:
    def test_rolling_restart_fails_no_request(self, small):
        with Load(small, MIX) as load:
            time.sleep(WARM_S)
            for name in SMALL:
                process = small.processes[name]
                small.signal(name, signal.SIGTERM)
                small.wait_until(
                    lambda p=process: not p.is_running, f"{name} still runs"
                )
                assert process.popen.returncode == 0
                assert "waited_for=nothing" in process.log.read_text()
                small.start_entry(name)
                small.wait_until_whole()
        assert len(load.made) > 100
        assert load.list_bad() == []
        cut = [m for m in load.made if is_cut(m.result.reason)]
        assert cut == []
        check_ledgers(small, load)

    def test_backend_drained_by_the_document_gets_no_new_work(self, small):
        with Load(small, [Call("grids")], region="zurich") as load:
            time.sleep(WARM_S)
            result = small.edit_as(
                "grids", "endpoint:grids-zurich-a1", "draining=yes"
            )
            assert result.returncode == 0, result.stderr
            time.sleep(0.5)
            before = small.read_ledgers("grids-zurich-a1")
            time.sleep(1.0)
            after = small.read_ledgers("grids-zurich-a1")
        name = "grids-zurich-a1"
        assert before[name]["served"] > 0
        assert after[name]["served"] == before[name]["served"]
        assert load.list_bad() == []

    @pytest.mark.parametrize("source", ["answers", "list"])
    def test_backend_drained_by_another_sign_gets_no_new_work(
        self, small, source
    ):
        name = "grids-zurich-a1"
        with Load(small, [Call("grids")], region="zurich") as load:
            time.sleep(WARM_S)
            if source == "answers":
                small.set_backend_faults(name, draining=True)
            else:
                body = {"leaving": True}
                target = f"/v1/instances/{name}"
                call(small.store_port, "PUT", target, body)
            time.sleep(3.0)
            before = small.read_ledgers(name)[name]["served"]
            time.sleep(1.0)
            after = small.read_ledgers(name)[name]["served"]
        assert before > 0
        assert after == before
        assert load.list_bad() == []

    def test_stuck_drain_ends_by_its_bound(self, tmp_path):
        options = "drain_limit_s = 2\n"
        with Deployment(
            tmp_path, ("zurich-1",), service_ms=8000, options=options
        ) as deployment:
            with Load(deployment, [SUBMISSION], 1, region="zurich"):
                time.sleep(WARM_S)
                process = deployment.processes["zurich-1"]
                deployment.signal("zurich-1", signal.SIGTERM)
                deployment.wait_until(
                    lambda: not process.is_running, "still runs"
                )
            log = process.log.read_text()
            assert "event=drain_limit_reached" in log
            assert 'waited_for="1 requests in flight"' in log


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
            calls = [Call("grids")]
            with Load(
                deployment, calls, 12, 0.05, "zurich", source=ZURICH
            ) as load:
                time.sleep(6.0)
            ledgers = deployment.read_ledgers("grids-geneva-.*").values()
            moved = sum(ledger["served"] for ledger in ledgers)
        assert load.list_bad() == []
        assert 0 < moved <= STEP_RPS * sum(range(1, 9))
        assert moved < len(load.made)


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
            assert load.count()[Verdict.ANSWERED] > 0

    def test_broken_backend_connections(self, small):
        small.set_backend_faults("submissions.*", mode="break", share=0.3)
        with Load(small, [SUBMISSION], 16) as load:
            time.sleep(4.0)
        check_ledgers(small, load)
        assert load.count()[Verdict.UNKNOWN] > 0


class TestWholeAnswers:
    @pytest.mark.parametrize("mode", ["cross", "truncate", "silent"])
    def test_no_caller_gets_a_wrong_answer(self, small, mode):
        small.set_backend_faults("grids-zurich-.1", mode=mode, share=0.2)
        calls = [Call("grids"), Call("grids", size=200_000)]
        with Load(small, calls, 16, region="zurich") as load:
            time.sleep(5.0)
        counts = load.count()
        assert counts[Verdict.WRONG] == 0
        assert counts[Verdict.ANSWERED] > 0.9 * len(load.made)


class TestOutages:
    def test_traffic_goes_on_while_the_store_is_down(self, small):
        small.set_store_faults(down=True)
        with Load(small, MIX) as load:
            time.sleep(6.0)
        assert load.list_bad() == []
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
            before = Load(small, MIX, 8, region="geneva", source=GENEVA)
            with before:
                time.sleep(WARM_S)
            assert before.list_bad() == []
            self.lose_geneva(small)
            began_s = time.monotonic()
            with Load(
                small, MIX, 24, 0.01, "geneva", seed=2, source=GENEVA
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
        deployment.wait_until(lambda: deployment.is_whole(left), "geneva")
        time.sleep(4.0)

    def check_shift(self, deployment, load, began_s):
        """Check the growth of the shift and the order of ranks."""
        served = [0] * 30
        for made in load.made:
            if made.result.verdict is Verdict.ANSWERED:
                ended_s = made.began_s + made.result.took_s
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
            made = [m for m in load.made if m.call.service == service]
            good = [m for m in made if m.result.verdict is Verdict.ANSWERED]
            shares[service] = len(good) / len(made)
        assert shares["grids"] > shares["archive"]
        for name, ledger in deployment.read_ledgers(".*-zurich-.*").items():
            assert ledger["refused"] == {}, name
