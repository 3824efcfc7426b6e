"""Tests of real processes that are killed and paused."""

import signal

from benchmarks.deployment import call_json
from benchmarks.deployment import list_alive
from carawayvale.commands.tests.processes import is_dead
from carawayvale.commands.tests.processes import SMALL


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
            answer = call_json(
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
                list_alive(s) == sorted(left) and is_dead(s, "zurich-2")
                for s in small.read_states(left)
            ),
            "pause not noticed",
        )
        small.signal("zurich-2", signal.SIGCONT)
        small.wait_until_converged()
        log = small.processes["zurich-2"].log.read_text()
        assert "event=pause_noticed" in log
        assert "state=dead" not in log

    def test_a_third_restarted_at_once_heals(self, small):
        for name in SMALL[:2]:
            small.kill(name)
            small.start_entry(name)
        small.wait_until_converged()

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
        assert small.is_converged(SMALL)
