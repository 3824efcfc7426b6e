"""Asynchronous queue of the requests that wait for slots of one shard."""

import curio

from carawayvale.contracts.clock import Clock
from carawayvale.contracts.reasons import Reason
from carawayvale.machines.dispatcher import Dispatcher
from carawayvale.machines.dispatcher import Grant
from carawayvale.machines.dispatcher import ShardRequest


class ShardQueue:
    """Queue in which tasks wait until their requests are granted a slot.

    :param dispatcher: decides which request gets which slot.
    :param clock: the clock of the process.
    """

    def __init__(self, dispatcher: Dispatcher, clock: Clock):
        self.dispatcher = dispatcher
        self.clock = clock
        self.grants: dict[ShardRequest, Grant] = {}
        self.waiters: dict[ShardRequest, curio.Event] = {}

    async def acquire(self, request: ShardRequest) -> Grant | Reason:
        """Wait for a slot.

        :param request: the request.
        :returns: the grant, or the reason of the rejection.
        """
        now_s = self.clock.read()
        reason = self.dispatcher.offer(request, now_s)
        if reason is not None:
            return reason
        return await self._wait(request, now_s)

    async def reacquire(
        self, request: ShardRequest, endpoint: str
    ) -> Grant | Reason:
        """Wait for another slot after a failed attempt.

        :param request: the request; its slot is already released.
        :param endpoint: name of the endpoint at which the attempt failed.
        :returns: the grant, or the reason of the rejection.
        """
        self.dispatcher.requeue(request, endpoint)
        return await self._wait(request, self.clock.read())

    def acquire_hedge(self, grant: Grant) -> Grant | None:
        """Acquire a free slot of another endpoint for a hedge.

        :param grant: the grant of the first copy.
        :returns: the grant of the second copy, or None if no slot is free.
        """
        request = grant.request
        avoid = {*request.avoid, grant.endpoint}
        hedge_request = ShardRequest(
            request.rank, request.deadline_s, avoid, request.queued_s
        )
        return self.dispatcher.grant_hedge(hedge_request, self.clock.read())

    async def _wait(
        self, request: ShardRequest, now_s: float
    ) -> Grant | Reason:
        await self.dispatch()
        if request in self.grants:
            return self.grants.pop(request)
        queue = self.dispatcher.find_queue(request.rank)
        remaining_s = request.deadline_s - queue.service_time_s - now_s
        queue_remaining_s = request.queued_s + queue.rank.max_wait_s - now_s
        reason = Reason.DEADLINE
        if queue_remaining_s < remaining_s:
            remaining_s, reason = queue_remaining_s, Reason.QUEUE_FULL
        event = self.waiters[request] = curio.Event()
        try:
            await curio.ignore_after(max(0.0, remaining_s), event.wait)
        except curio.CancelledError:
            await self._cancel_wait(request)
            raise
        finally:
            del self.waiters[request]
        grant = self.grants.pop(request, None)
        if grant is not None:
            return grant
        self.dispatcher.remove(request)
        return reason

    async def _cancel_wait(self, request: ShardRequest) -> None:
        grant = self.grants.pop(request, None)
        if grant is None:
            self.dispatcher.remove(request)
        else:
            await self.release(grant, False)

    async def release(self, grant: Grant, served: bool) -> None:
        """Release a slot and grant it to the next request.

        :param grant: the grant.
        :param served: whether the time since the grant is a valid sample
            of the service time.
        """
        self.dispatcher.release(grant, self.clock.read(), served)
        await self.dispatch()

    async def dispatch(self) -> None:
        """Grant the free slots and wake the tasks that get one."""
        for grant in self.dispatcher.grant_free_slots(self.clock.read()):
            self.grants[grant.request] = grant
            event = self.waiters.get(grant.request)
            if event is not None:
                await event.set()
