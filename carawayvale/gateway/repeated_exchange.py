"""Send a request to an endpoint, and a second time if that may be faster."""

from typing import TYPE_CHECKING

import curio

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.steering.queued_request import QueuedRequest
from carawayvale.steering.repeats import start_repeat

if TYPE_CHECKING:
    from carawayvale.gateway.owned_endpoint import OwnedEndpoint

# Outcomes of two exchanges of one request; the later one in this list
# counts. A result that tells that the request may have run precedes one
# that tells that it did not.
OUTCOME_PRECEDENCE = (
    UpstreamOutcome.QUARANTINED,
    UpstreamOutcome.UNSENT,
    UpstreamOutcome.NOT_RUN,
    UpstreamOutcome.LATE,
    UpstreamOutcome.FAILED,
    UpstreamOutcome.CRASHED,
    UpstreamOutcome.ANSWERED,
)


def choose_result(
    first: UpstreamResult | None, second: UpstreamResult | None
) -> UpstreamResult | None:
    """Choose between the results of a request and of its repeat.

    :param first: a result; None if the request was not sent.
    :param second: the other result, or None.
    :returns: the result that counts.
    """
    if first is None or second is None:
        return first or second
    return max(
        first,
        second,
        key=lambda r: (r.is_success, OUTCOME_PRECEDENCE.index(r.outcome)),
    )


class RepeatedExchange:
    """Exchange of an idempotent request that may be sent twice.

    The exchange that is not needed any more is cancelled. Only the first
    success tells which of the two was faster: if the caller leaves before,
    nothing is known about the repeat.

    :param owned: the endpoint.
    :param owner_request: the request.
    :param queued: the request as it holds its slot.
    """

    def __init__(
        self,
        owned: "OwnedEndpoint",
        owner_request: OwnerRequest,
        queued: QueuedRequest,
    ):
        self.owned = owned
        self.owner_request = owner_request
        self.queued = queued
        self.answered = False

    async def run(self, delay_s: float) -> UpstreamResult:
        """Send the request, and once more if it takes longer than a delay.

        :param delay_s: seconds after which it is sent again.
        :returns: the result.
        """
        result = None
        async with curio.TaskGroup() as group:
            first = await group.spawn(
                self.owned.exchange, self.owner_request, self.queued
            )
            async with curio.ignore_after(delay_s):
                await first.wait()
            if not first.terminated:
                await group.spawn(self._repeat)
            async for task in group:
                result = choose_result(result, task.result)
                if result is not None and result.is_success:
                    self.answered = True
                    self.queued.answered_by_repeat = task is not first
                    await group.cancel_remaining()
                    break
        return result

    async def _repeat(self) -> UpstreamResult | None:
        """Send the request again if the endpoint has a free slot.

        :returns: the result; None if it was not sent again.
        """
        owned = self.owned
        if not owned.is_usable or owned.health.is_failing:
            return None
        repeat = start_repeat(owned.queue, self.queued, read_boot_clock())
        if repeat is None:
            return self._count("no_slot")
        success = False
        try:
            if not owned.context.may_repeat(owned.service.name):
                return self._count("no_budget")
            result = await owned.exchange(self.owner_request, repeat)
            success = result.is_success
            owned.repeat_policy.record(success)
            self._count("faster" if success else "failed")
            return result
        except curio.CancelledError:
            self._record_cancelled()
            raise
        finally:
            owned.queue.release(repeat, read_boot_clock(), success)
            await owned.dispatch()

    def _record_cancelled(self) -> None:
        """Record a repeat that ended without a result of its own."""
        if not self.answered:
            self._count("abandoned")
            return
        self.owned.repeat_policy.record(False)
        self._count("slower")

    def _count(self, outcome: str) -> None:
        self.owned.context.observer.count_repeat(
            self.owned.service.name, outcome
        )
