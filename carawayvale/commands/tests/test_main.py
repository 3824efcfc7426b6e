"""Tests of the command line's errors and exit statuses."""

import subprocess
import sys

import pytest

from benchmarks.deployment import ROOT

GOOD = ROOT / "examples" / "gitterwerk" / "document.ini"


def run_command(*arguments):
    """Run the command line."""
    return subprocess.run(
        [sys.executable, "-m", "carawayvale", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


class TestPlatformCommands:
    def test_our_deploy_file_passes(self):
        done = run_command("check-deploy")
        assert done.returncode == 0, done.stderr
        assert "no findings" in done.stdout

    def test_findings_of_all_files_are_listed(self, tmp_path):
        path = tmp_path / "n.json"
        path.write_text("{}")
        missing = str(tmp_path / "none.toml")
        done = run_command(
            "check-deploy", f"--deploy={missing}", f"--settings={path}"
        )
        assert done.returncode == 3
        assert missing in done.stderr and str(path) in done.stderr

    def test_explain_prints_the_story(self, tmp_path):
        path = tmp_path / "e1.log"
        path.write_text(
            "time=2026-01-02T03:04:05.000+00:00 level=INFO "
            "event=request_refused request=9c41 reason=full\n"
        )
        done = run_command("explain", "9c41", str(path))
        assert done.returncode == 0, done.stderr
        assert "request_refused  reason=full" in done.stdout
        path.write_text(path.read_text().replace("9c41", "1e10"))
        assert run_command("explain", "1e10", str(path)).returncode == 0
        done = run_command("explain", "none", str(path))
        assert done.returncode == 1
        assert "no line of request none" in done.stderr


class TestExitStatuses:
    def test_valid_document_passes(self):
        for name in ("gitterwerk", "kuttanad"):
            path = ROOT / "examples" / name / "document.ini"
            done = run_command("document", "check", str(path))
            assert done.returncode == 0, done.stderr
            assert "no findings" in done.stdout

    def test_invalid_document_lists_findings_with_places(self, tmp_path):
        path = tmp_path / "bad.ini"
        text = GOOD.read_text()
        text = text.replace("limit = 60", "limit = no", 1)
        text = text.replace("order = 1", "order = 2", 1)
        path.write_text(text)
        done = run_command("document", "check", str(path))
        assert done.returncode == 3
        lines = done.stderr.splitlines()
        assert lines == [
            f"{path}: 11: [region:zurich] limit: must be a whole number"
        ]

    def test_bad_settings_name_their_place(self, tmp_path):
        path = tmp_path / "entry.ini"
        path.write_text("[entry]\nname = a b\n")
        done = run_command("entry", "--settings", str(path))
        assert done.returncode == 3
        assert f"{path}: 2: [entry] name: must be a name" in done.stderr

    def test_missing_key_is_named(self):
        path = ROOT / "examples/gitterwerk/entries/zurich-1.ini"
        done = run_command("entry", "--settings", str(path))
        assert done.returncode == 3
        assert "CARAWAYVALE_KEY" in done.stderr

    def test_store_that_is_away_is_unreachable(self, tmp_path):
        path = tmp_path / "operator.ini"
        path.write_text("[operator]\nstore = 127.0.0.1:9\nteam = platform\n")
        for command in (
            ("show",),
            ("history",),
            ("edit", "region:zurich", "limit=1"),
        ):
            done = run_command("document", *command, "--settings", str(path))
            assert done.returncode == 5, done.stderr

    @pytest.mark.parametrize(
        "arguments",
        [
            ("backend",),
            ("lookup", "--entry", "nowhere", "--service", "grids"),
            ("document", "edit", "a:b", "novalue", "--settings", "x.ini"),
        ],
    )
    def test_wrong_usage(self, arguments):
        assert run_command(*arguments).returncode in (2, 3)

    def test_help_names_the_commands(self):
        done = run_command("--help")
        for command in ("entry", "lookup", "document", "status", "drain"):
            assert command in done.stdout + done.stderr
