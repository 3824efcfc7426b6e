"""Lets request tasks wait for slots of one shard."""

import curio

from carawayvale.contracts.clock import Clock
from carawayvale.contracts.reasons import Reason
from carawayvale.machines.dispatcher import Dispatcher
from carawayvale.machines.dispatcher import Grant
from carawayvale.machines.dispatcher import Job


class ShardQueue:
    """Connects a dispatcher with the tasks that wait for its grants.

    :param dispatcher: the decisions.
    :param clock: the process's clock.
    """

    def __init__(self, dispatcher: Dispatcher, clock: Clock):
        self.dispatcher = dispatcher
        self.clock = clock
        self.grants: dict[Job, Grant] = {}
        self.waiters: dict[Job, curio.Event] = {}

    async def obtain(self, job: Job) -> Grant | Reason:
        """Wait for a slot.

        :param job: the request's job.
        :returns: the grant, or the reason of a refusal.
        """
        now_s = self.clock.read()
        reason = self.dispatcher.offer(job, now_s)
        if reason is not None:
            return reason
        return await self._wait(job, now_s)

    async def obtain_again(self, job: Job, endpoint: str) -> Grant | Reason:
        """Wait for another slot after a failed attempt.

        :param job: the request's job, whose slot was given back.
        :param endpoint: the endpoint that failed.
        :returns: the grant, or the reason of a refusal.
        """
        self.dispatcher.requeue(job, endpoint)
        return await self._wait(job, self.clock.read())

    def take_extra(self, grant: Grant) -> Grant | None:
        """Take a free slot of another endpoint for a second copy.

        :param grant: the grant of the first copy.
        :returns: the grant of the copy, or None.
        """
        job = grant.job
        avoid = {*job.avoid, grant.endpoint}
        copy = Job(job.rank, job.deadline_s, avoid, job.queued_s)
        return self.dispatcher.take_extra(copy, self.clock.read())

    async def _wait(self, job: Job, now_s: float) -> Grant | Reason:
        await self.pump()
        if job in self.grants:
            return self.grants.pop(job)
        queue = self.dispatcher.find_queue(job.rank)
        left_s = job.deadline_s - queue.cost_s - now_s
        patience_s = job.queued_s + queue.rank.max_wait_s - now_s
        reason = Reason.DEADLINE
        if patience_s < left_s:
            left_s, reason = patience_s, Reason.QUEUE_FULL
        event = self.waiters[job] = curio.Event()
        try:
            await curio.ignore_after(max(0.0, left_s), event.wait)
        except curio.CancelledError:
            await self._abandon(job)
            raise
        finally:
            del self.waiters[job]
        grant = self.grants.pop(job, None)
        if grant is not None:
            return grant
        self.dispatcher.withdraw(job)
        return reason

    async def _abandon(self, job: Job) -> None:
        grant = self.grants.pop(job, None)
        if grant is None:
            self.dispatcher.withdraw(job)
        else:
            await self.give_back(grant, False)

    async def give_back(self, grant: Grant, served: bool) -> None:
        """Give a slot back and grant it to the next job.

        :param grant: the grant.
        :param served: whether the service time is a valid sample.
        """
        self.dispatcher.release(grant, self.clock.read(), served)
        await self.pump()

    async def pump(self) -> None:
        """Grant what can be granted and wake the jobs' tasks."""
        for grant in self.dispatcher.take_grants(self.clock.read()):
            self.grants[grant.job] = grant
            event = self.waiters.get(grant.job)
            if event is not None:
                await event.set()
