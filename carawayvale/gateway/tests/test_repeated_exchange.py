"""Tests of a request and its repeat: the result that counts, the records."""

import curio
import pytest

from carawayvale.gateway.repeated_exchange import choose_result
from carawayvale.gateway.repeated_exchange import RepeatedExchange
from carawayvale.gateway.tests.test_owned_endpoint import ENDPOINT
from carawayvale.gateway.tests.test_owned_endpoint import make_owned_endpoint
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.steering.queued_request import QueuedRequest

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


class SlowEndpoint:
    """Endpoint whose responses a test releases.

    :param owned: the endpoint at its owner, with the exchange replaced.
    :param sent: requests sent so far, each with the event of its response.
    """

    def __init__(self):
        self.owned = make_owned_endpoint(ENDPOINT)
        self.owned.exchange = self.exchange
        self.sent = []
        self.both_sent = curio.Event()

    async def exchange(self, owner_request, queued):
        """Send a request and wait until the test releases its response."""
        released = curio.Event()
        self.sent.append(released)
        if len(self.sent) == 2:
            await self.both_sent.set()
        await released.wait()
        return SUCCESS

    async def send_twice(self):
        """Send a request and its repeat.

        :returns: the task of the request, which waits for both.
        """
        queued = QueuedRequest(0, "7", 10.0, 10.0)
        repeated = RepeatedExchange(self.owned, None, queued)
        task = await curio.spawn(repeated.run, 0.0)
        await self.both_sent.wait()
        return task

    def count(self, outcome):
        """Count the repeats with an outcome."""
        counters = self.owned.context.observer.metrics.counters
        return counters["repeats", f"grids/{outcome}"]


class TestRecords:
    def test_caller_that_leaves_does_not_count_as_a_slower_repeat(self):
        async def run():
            endpoint = SlowEndpoint()
            task = await endpoint.send_twice()
            await task.cancel()
            return endpoint

        endpoint = curio.run(run)
        assert endpoint.owned.repeat_policy.faster_share == 1.0
        assert endpoint.count("slower") == 0
        assert endpoint.count("abandoned") == 1
        assert not endpoint.owned.queue.running

    @pytest.mark.parametrize(
        "position, outcome, share",
        [(0, "slower", 0.8), (1, "faster", 1.0)],
    )
    def test_first_response_decides_whether_the_repeat_was_faster(
        self, position, outcome, share
    ):
        async def run():
            endpoint = SlowEndpoint()
            task = await endpoint.send_twice()
            await endpoint.sent[position].set()
            assert await task.join() is SUCCESS
            return endpoint

        endpoint = curio.run(run)
        assert endpoint.owned.repeat_policy.faster_share == share
        assert endpoint.count(outcome) == 1
        assert endpoint.count("abandoned") == 0
        assert not endpoint.owned.queue.running
