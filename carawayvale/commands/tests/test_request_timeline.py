"""Tests of merging logs into the timeline of a request."""

from carawayvale.commands.request_timeline import format_timeline
from carawayvale.commands.request_timeline import parse_line
from carawayvale.commands.request_timeline import read_logs
from carawayvale.commands.request_timeline import select_lines
from carawayvale.telemetry.logs import format_event


def write_log(path, *events):
    """Write a log of events, each given as (second, name, fields)."""
    path.write_text(
        "".join(
            f"time=2026-01-02T03:04:{second:06.3f}+00:00 level=INFO "
            + format_event(name, fields)
            + "\n"
            for second, name, fields in events
        )
    )
    return path


class TestRequestTimeline:
    def make_logs(self, tmp_path):
        entry = write_log(
            tmp_path / "e1.log",
            (1.0, "request_refused", {"request": "other", "reason": "full"}),
            (8.2, "attempt_failed", {"request": "r1", "endpoint": "i-1"}),
            (8.3, "request_failed", {"request": "r1", "asked": "i-1:failed"}),
        )
        owner = write_log(
            tmp_path / "e2.log",
            (0.1, "store_lost", {"cause": "too early"}),
            (7.9, "endpoint_ejected", {"endpoint": "i-1", "cause": "a b"}),
            (8.0, "endpoint_ejected", {"endpoint": "i-9", "cause": "x"}),
            (8.1, "request_run", {"request": "r1", "endpoint": "i-1"}),
        )
        return read_logs([entry, owner])

    def test_timeline_is_in_chronological_order(self, tmp_path):
        timeline = select_lines("r1", self.make_logs(tmp_path))
        assert [(e.instance, e.event) for e in timeline] == [
            ("e2", "endpoint_ejected"),
            ("e2", "request_run"),
            ("e1", "attempt_failed"),
            ("e1", "request_failed"),
        ]
        texts = format_timeline("r1", timeline)
        assert texts[0].split()[:4] == ["-200", "ms", "e2", "endpoint_ejected"]
        assert "cause=a b" in texts[0]
        assert texts[1].startswith("*")

    def test_unknown_request_has_no_timeline(self, tmp_path):
        assert select_lines("r9", self.make_logs(tmp_path)) == []

    def test_lines_that_are_no_events_are_skipped(self):
        assert parse_line("Traceback (most recent call last):", "f") is None
        assert parse_line("time=never event=x", "f") is None
