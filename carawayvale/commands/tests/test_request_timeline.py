"""Tests of merging logs into the timeline of a request."""

import pytest

from carawayvale.commands.request_timeline import explain_refusals
from carawayvale.commands.request_timeline import format_timeline
from carawayvale.commands.request_timeline import parse_line
from carawayvale.commands.request_timeline import read_logs
from carawayvale.commands.request_timeline import REFUSAL_CAUSES
from carawayvale.commands.request_timeline import select_lines
from carawayvale.steering.organisations import RejectionReason
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


class TestCausesOfRefusals:
    def explain(self, tmp_path, *events):
        log = write_log(tmp_path / "e1.log", *events)
        timeline = select_lines("r1", read_logs([log]))
        return explain_refusals("r1", timeline)

    # Guards against an operator having to guess why a caller was refused.
    @pytest.mark.parametrize(
        "fields,status,part",
        [
            ({"reason": "no_key", "route": "fetch"}, 401, "route fetch"),
            ({"reason": "malformed_credentials"}, 401, "not looked up"),
            ({"reason": "unknown_key"}, 401, "in force at e1"),
            (
                {"reason": "quota", "organisation": "press", "retry_s": 0.4},
                429,
                "press has used up its quota",
            ),
            ({"reason": "old_configuration"}, 503, "too old"),
            (
                {"reason": "no_region", "route": "a", "organisation": "b"},
                503,
                "route a and for organisation b",
            ),
        ],
    )
    def test_one_sentence_tells_the_cause(
        self, tmp_path, fields, status, part
    ):
        event = (1.0, "request_refused", {"request": "r1"} | fields)
        (sentence,) = self.explain(tmp_path, event)
        assert sentence.startswith(f"Status {status}: ")
        assert part in sentence
        assert "not logged" not in sentence

    def test_every_rejection_of_credentials_has_a_cause(self):
        assert {reason.value for reason in RejectionReason} <= set(
            REFUSAL_CAUSES
        )

    def test_a_line_without_fields_is_explained(self, tmp_path):
        event = (1.0, "request_refused", {"request": "r1", "reason": "quota"})
        (sentence,) = self.explain(tmp_path, event)
        assert "(not logged)" in sentence

    def test_a_repeated_cause_is_told_once(self, tmp_path):
        fields = {"request": "r1", "reason": "unknown_key"}
        events = [(s, "request_refused", fields) for s in (1.0, 2.0)]
        assert len(self.explain(tmp_path, *events)) == 1

    def test_other_refusals_and_requests_are_not_explained(self, tmp_path):
        assert not self.explain(
            tmp_path,
            (1.0, "request_refused", {"request": "r1", "reason": "full"}),
            (1.1, "request_refused", {"request": "r2", "reason": "quota"}),
            (1.2, "attempt_failed", {"request": "r1", "reason": "quota"}),
        )
