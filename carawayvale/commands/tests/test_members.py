"""Tests of the membership when real processes are killed or paused."""

import signal

from benchmarks.deployment import call_json
from benchmarks.deployment import list_alive
from carawayvale.commands.tests.processes import considers_dead
from carawayvale.commands.tests.processes import SMALL_ENTRIES


class TestMembership:
    def test_dead_instance_loses_shards_and_callers(self, small_deployment):
        killed = next(
            s["name"] for s in small_deployment.read_states() if s["shards"]
        )
        orphaned = set(small_deployment.read_state(killed)["shards"])
        small_deployment.kill(killed)
        remaining = [name for name in SMALL_ENTRIES if name != killed]

        def is_taken_over():
            owned = set()
            for state in small_deployment.read_states(remaining):
                owned.update(state["shards"])
            return orphaned <= owned

        small_deployment.wait_until(is_taken_over, "shards have no owner")
        for name in remaining:
            lookup = call_json(
                small_deployment.ports[name]["callers"],
                "GET",
                "/.well-known/carawayvale/lookup?service=grids",
            )
            names = [entry["name"] for entry in lookup["entries"]]
            assert killed not in names

    def test_paused_instance_does_not_declare_others_dead(
        self, small_deployment
    ):
        small_deployment.signal("zurich-2", signal.SIGSTOP)
        remaining = [name for name in SMALL_ENTRIES if name != "zurich-2"]
        # Peers suspect an instance after it was paused for 1.0 s. The
        # instance itself recognises only pauses of 1.5 s or more. Peers
        # consider it dead after 2 s at the earliest, so a pause that lasts
        # until then is always recognised.
        small_deployment.wait_until(
            lambda: all(
                list_alive(s) == sorted(remaining)
                and considers_dead(s, "zurich-2")
                for s in small_deployment.read_states(remaining)
            ),
            "zurich-2 not considered dead",
        )
        small_deployment.signal("zurich-2", signal.SIGCONT)
        small_deployment.wait_until_converged()
        log = small_deployment.processes["zurich-2"].log.read_text()
        assert "event=pause_noticed" in log
        assert "state=dead" not in log

    def test_membership_recovers_when_two_of_five_restart_at_once(
        self, small_deployment
    ):
        for name in SMALL_ENTRIES[:2]:
            small_deployment.kill(name)
            small_deployment.start_entry(name)
        small_deployment.wait_until_converged()

    def test_peer_with_wrong_key_is_refused_and_logged(
        self, small_deployment, tmp_path
    ):
        path = small_deployment.settings["zurich-1"]
        settings = tmp_path / "stranger.ini"
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
        settings.write_text("\n".join(lines))
        small_deployment.start(
            "stranger", "entry", "--settings", str(settings)
        )
        log = small_deployment.processes["zurich-2"].log
        small_deployment.wait_until(
            lambda: "event=peer_refused" in log.read_text(), "not refused"
        )
        assert small_deployment.is_converged(SMALL_ENTRIES)
