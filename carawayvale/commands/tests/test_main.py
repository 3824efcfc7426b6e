"""Tests of the output and exit statuses of the command line."""

import subprocess
import sys

import pytest

from benchmarks.deployment import ROOT

VALID_DOCUMENT = ROOT / "examples" / "gitterwerk" / "document.ini"


def run_command(*arguments):
    """Run the command line in a new process and return its output."""
    return subprocess.run(
        [sys.executable, "-m", "carawayvale", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


class TestPlatformCommands:
    def test_deploy_file_of_the_repository_passes(self):
        completed = run_command("check-deploy")
        assert completed.returncode == 0, completed.stderr
        assert "no findings" in completed.stdout

    def test_findings_of_all_files_are_listed(self, tmp_path):
        path = tmp_path / "n.json"
        path.write_text("{}")
        missing = str(tmp_path / "none.toml")
        completed = run_command(
            "check-deploy", f"--deploy={missing}", f"--settings={path}"
        )
        assert completed.returncode == 3
        assert missing in completed.stderr and str(path) in completed.stderr

    def test_explain_prints_the_timeline(self, tmp_path):
        path = tmp_path / "e1.log"
        path.write_text(
            "time=2026-01-02T03:04:05.000+00:00 level=INFO "
            "event=request_refused request=9c41 reason=full\n"
        )
        completed = run_command("explain", "9c41", str(path))
        assert completed.returncode == 0, completed.stderr
        assert "request_refused  reason=full" in completed.stdout
        unknown = path.read_text().replace("reason=full", "reason=unknown_key")
        path.write_text(unknown)
        completed = run_command("explain", "9c41", str(path))
        (*_, sentence) = completed.stdout.splitlines()
        assert sentence.startswith("Status 401: ")
        path.write_text(path.read_text().replace("9c41", "1e10"))
        assert run_command("explain", "1e10", str(path)).returncode == 0
        completed = run_command("explain", "none", str(path))
        assert completed.returncode == 1
        assert "no line of request none" in completed.stderr


class TestExitStatuses:
    def test_valid_document_passes(self):
        for name in ("gitterwerk", "kuttanad"):
            path = ROOT / "examples" / name / "document.ini"
            completed = run_command("document", "check", str(path))
            assert completed.returncode == 0, completed.stderr
            assert "no findings" in completed.stdout

    def test_findings_in_a_document_have_their_location(self, tmp_path):
        path = tmp_path / "bad.ini"
        text = VALID_DOCUMENT.read_text()
        text = text.replace("limit = 60", "limit = no", 1)
        text = text.replace("order = 1", "order = 2", 1)
        path.write_text(text)
        completed = run_command("document", "check", str(path))
        assert completed.returncode == 3
        lines = completed.stderr.splitlines()
        assert lines == [
            f"{path}: 11: [region:zurich] limit: must be a whole number"
        ]

    def test_error_in_settings_has_its_location(self, tmp_path):
        path = tmp_path / "entry.ini"
        path.write_text("[entry]\nname = a b\n")
        completed = run_command("entry", "--settings", str(path))
        assert completed.returncode == 3
        assert f"{path}: 2: [entry] name: must be a name" in completed.stderr

    def test_missing_key_names_its_environment_variable(self):
        path = ROOT / "examples/gitterwerk/entries/zurich-1.ini"
        completed = run_command("entry", "--settings", str(path))
        assert completed.returncode == 3
        assert "CARAWAYVALE_KEY" in completed.stderr

    def test_unreachable_store_has_its_exit_status(self, tmp_path):
        path = tmp_path / "operator.ini"
        path.write_text("[operator]\nstore = 127.0.0.1:9\nteam = platform\n")
        for command in (
            ("show",),
            ("history",),
            ("edit", "region:zurich", "limit=1"),
        ):
            completed = run_command(
                "document", *command, "--settings", str(path)
            )
            assert completed.returncode == 5, completed.stderr

    @pytest.mark.parametrize(
        "arguments",
        [
            ("backend",),
            ("lookup", "--entry", "nowhere", "--service", "grids"),
            ("document", "edit", "a:b", "novalue", "--settings", "x.ini"),
        ],
    )
    def test_invalid_arguments(self, arguments):
        assert run_command(*arguments).returncode in (2, 3)

    def test_help_lists_the_commands(self):
        completed = run_command("--help")
        for command in ("entry", "lookup", "document", "status", "drain"):
            assert command in completed.stdout + completed.stderr
