"""Lets request tasks wait for slots of one shard."""

import curio

from carawayvale.contracts.clock import Clock
from carawayvale.contracts.reasons import Reason
from carawayvale.machines.dispatcher import Dispatcher
from carawayvale.machines.dispatcher import Grant
from carawayvale.machines.dispatcher import ShardRequest


class ShardQueue:
    """Connects a dispatcher with the tasks that wait for its grants.

    :param dispatcher: the decisions.
    :param clock: the process's clock.
    """

    def __init__(self, dispatcher: Dispatcher, clock: Clock):
        self.dispatcher = dispatcher
        self.clock = clock
        self.grants: dict[ShardRequest, Grant] = {}
        self.waiters: dict[ShardRequest, curio.Event] = {}

    async def obtain(self, request: ShardRequest) -> Grant | Reason:
        """Wait for a slot.

        :param request: the request.
        :returns: the grant, or the reason of a refusal.
        """
        now_s = self.clock.read()
        reason = self.dispatcher.offer(request, now_s)
        if reason is not None:
            return reason
        return await self._wait(request, now_s)

    async def obtain_again(
        self, request: ShardRequest, endpoint: str
    ) -> Grant | Reason:
        """Wait for another slot after a failed attempt.

        :param request: the request, whose slot was given back.
        :param endpoint: the endpoint that failed.
        :returns: the grant, or the reason of a refusal.
        """
        self.dispatcher.requeue(request, endpoint)
        return await self._wait(request, self.clock.read())

    def take_extra(self, grant: Grant) -> Grant | None:
        """Take a free slot of another endpoint for a second copy.

        :param grant: the grant of the first copy.
        :returns: the grant of the copy, or None.
        """
        request = grant.request
        avoid = {*request.avoid, grant.endpoint}
        copy = ShardRequest(
            request.rank, request.deadline_s, avoid, request.queued_s
        )
        return self.dispatcher.take_extra(copy, self.clock.read())

    async def _wait(
        self, request: ShardRequest, now_s: float
    ) -> Grant | Reason:
        await self.pump()
        if request in self.grants:
            return self.grants.pop(request)
        queue = self.dispatcher.find_queue(request.rank)
        left_s = request.deadline_s - queue.cost_s - now_s
        patience_s = request.queued_s + queue.rank.max_wait_s - now_s
        reason = Reason.DEADLINE
        if patience_s < left_s:
            left_s, reason = patience_s, Reason.QUEUE_FULL
        event = self.waiters[request] = curio.Event()
        try:
            await curio.ignore_after(max(0.0, left_s), event.wait)
        except curio.CancelledError:
            await self._abandon(request)
            raise
        finally:
            del self.waiters[request]
        grant = self.grants.pop(request, None)
        if grant is not None:
            return grant
        self.dispatcher.withdraw(request)
        return reason

    async def _abandon(self, request: ShardRequest) -> None:
        grant = self.grants.pop(request, None)
        if grant is None:
            self.dispatcher.withdraw(request)
        else:
            await self.give_back(grant, False)

    async def give_back(self, grant: Grant, served: bool) -> None:
        """Give a slot back and grant it to the next request.

        :param grant: the grant.
        :param served: whether the service time is a valid sample.
        """
        self.dispatcher.release(grant, self.clock.read(), served)
        await self.pump()

    async def pump(self) -> None:
        """Grant what can be granted and wake the jobs' tasks."""
        for grant in self.dispatcher.grant_free_slots(self.clock.read()):
            self.grants[grant.request] = grant
            event = self.waiters.get(grant.request)
            if event is not None:
                await event.set()
