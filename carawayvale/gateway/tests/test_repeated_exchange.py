"""Tests of the choice between the results of a request and its repeat."""

import pytest

from carawayvale.gateway.repeated_exchange import choose_result
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult

SUCCESS = UpstreamResult(UpstreamOutcome.ANSWERED, status=200)
ERROR = UpstreamResult(UpstreamOutcome.ANSWERED, status=500)
FAILED = UpstreamResult(UpstreamOutcome.FAILED)
LATE = UpstreamResult(UpstreamOutcome.LATE)
NOT_RUN = UpstreamResult(UpstreamOutcome.NOT_RUN, status=503)
UNSENT = UpstreamResult(UpstreamOutcome.UNSENT)


class TestChoice:
    @pytest.mark.parametrize("other", [ERROR, FAILED, LATE, NOT_RUN, UNSENT])
    def test_a_success_counts(self, other):
        assert choose_result(SUCCESS, other) is SUCCESS
        assert choose_result(other, SUCCESS) is SUCCESS

    @pytest.mark.parametrize("may_have_run", [ERROR, FAILED, LATE])
    @pytest.mark.parametrize("not_run", [NOT_RUN, UNSENT])
    def test_not_run_is_told_only_if_neither_ran(self, may_have_run, not_run):
        assert choose_result(may_have_run, not_run) is may_have_run
        assert choose_result(not_run, may_have_run) is may_have_run

    def test_a_repeat_that_was_not_sent_does_not_count(self):
        assert choose_result(NOT_RUN, None) is NOT_RUN
        assert choose_result(None, LATE) is LATE
