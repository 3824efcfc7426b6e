"""Tests of the soak: its checks, its schedule, and a short seeded run."""

import pytest

from carawayvale.soak.checks import check_record
from carawayvale.soak.endpoints import EndpointBehaviour
from carawayvale.soak.records import Disturbance
from carawayvale.soak.records import make_body
from carawayvale.soak.records import Record
from carawayvale.soak.records import Run
from carawayvale.soak.records import SentRequest
from carawayvale.soak.soak import play_soak
from carawayvale.soak.soak import SoakPlan
from carawayvale.soak.troubles import KINDS
from carawayvale.soak.troubles import plan_troubles


def make_request(status, idempotent=False, held_s=0.1, **options):
    """Make a request that was sent at 10 s."""
    return SentRequest(
        "r-1",
        idempotent,
        0,
        10.0,
        10.0 + held_s,
        status,
        "r-1" if status else "",
        "sig" if status == 200 else "",
        make_body("r-1") if status == 200 else b"",
        **options,
    )


def find_rules(request, runs=(), broken_off=(), disturbances=()):
    """Check a record of one request; return the broken rules."""
    record = Record(
        [request],
        {"r-1": [Run(name, 10.0) for name in runs]} if runs else {},
        set(broken_off),
        list(disturbances),
    )
    return [violation.rule for violation in check_record(record)]


class TestChecks:
    def test_answered_request_breaks_nothing(self):
        assert not find_rules(make_request(200), ["i-1"])
        assert not find_rules(make_request(503))
        assert not find_rules(make_request(502), ["i-1"])

    def test_second_run_counts_unless_idempotent(self):
        runs = ["i-1", "i-2"]
        assert find_rules(make_request(200), runs) == ["twice"]
        assert not find_rules(make_request(200, True), runs)

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_refused_request_must_not_have_run(self, status):
        assert find_rules(make_request(status), ["i-1"]) == ["refused"]

    def test_part_of_a_body_is_no_success(self):
        request = make_request(200)
        request.body = request.body[:-1]
        assert find_rules(request, ["i-1"]) == ["mixed"]

    def test_lost_request(self):
        assert find_rules(make_request(0, held_s=0.3)) == ["lost"]
        assert find_rules(make_request(0), ["i-1"]) == ["lost"]

    def test_request_that_crosses_a_close_is_not_lost(self):
        assert not find_rules(make_request(0))

    def test_excuses_of_a_lost_request(self):
        assert not find_rules(make_request(0, gave_up=True, held_s=9.0))
        assert not find_rules(make_request(0), ["i-1"], ["r-1"])
        killed = Disturbance(0, 10.05, 11.0)
        assert not find_rules(make_request(0), ["i-1"], (), [killed])
        other = Disturbance(1, 10.05, 11.0)
        assert find_rules(make_request(0), ["i-1"], (), [other]) == ["lost"]


class TestSchedule:
    def test_seed_decides_the_troubles(self):
        kinds = tuple(KINDS)
        first = plan_troubles(7, kinds, 60.0, 4, 2.0)
        assert first == plan_troubles(7, kinds, 60.0, 4, 2.0)
        assert first != plan_troubles(8, kinds, 60.0, 4, 2.0)
        assert first == sorted(first, key=lambda trouble: trouble.at_s)

    def test_no_kind_means_no_trouble(self):
        assert not plan_troubles(7, (), 60.0, 4, 2.0)


class TestShortSoak:
    # Guards against late refusals, repeated signals and lost requests.
    def test_overload_with_repeated_stops_breaks_no_promise(self):
        plan = SoakPlan(
            seed=1,
            length_s=20.0,
            gateways=3,
            callers=30,
            gap_s=2.0,
            endpoint=EndpointBehaviour(refused_share=0.4, repeated_share=0.05),
        )
        result = play_soak(plan)
        assert not result.violations, result.format_text()
        assert result.statuses[200] > 100
        assert len(result.events) >= 5
