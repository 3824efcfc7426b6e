"""Hedged requests: a second copy of a slow request at another endpoint."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

import curio

from carawayvale.contracts.retries import AttemptResult
from carawayvale.machines.attempts import Attempt
from carawayvale.machines.dispatcher import Grant


@dataclass(frozen=True)
class Hedge:
    """Up to two copies of an idempotent request, of which one is used.

    :param delay_s: time in seconds before the second copy is sent.
    :param acquire: acquires a slot for the second copy; returns None if
        there is none.
    :param send: sends a copy to the endpoint of a grant.
    :param cancel: asks a backend server to stop a copy whose response is
        no longer needed.
    :param discard: releases the slot of a finished copy whose response is
        not used.
    """

    delay_s: float
    acquire: Callable[[], Grant | None]
    send: Callable[[Grant], Awaitable[Attempt]]
    cancel: Callable[[Grant], Awaitable[None]]
    discard: Callable[[Grant, Attempt], Awaitable[None]]

    async def run(self, grant: Grant) -> tuple[Grant, Attempt]:
        """Send the first copy and, if it is slow, the second.

        :param grant: grant of the first copy.
        :returns: grant and attempt of the copy with the first response, or
            of the last failure if neither copy gets a response.
        """
        async with curio.TaskGroup(wait=None) as group:
            first = await group.spawn(self.send, grant)
            grants = {first: grant}
            done = await curio.ignore_after(self.delay_s, group.next_done)
            if done is None:
                hedge_grant = self.acquire()
                if hedge_grant is not None:
                    grants[await group.spawn(self.send, hedge_grant)] = (
                        hedge_grant
                    )
                done = await group.next_done()
            return await self._choose(group, grants, done)

    async def _choose(
        self,
        group: curio.TaskGroup,
        grants: dict[curio.Task, Grant],
        done: curio.Task,
    ) -> tuple[Grant, Attempt]:
        while True:
            grant = grants.pop(done)
            attempt = done.result
            answered = attempt.result is AttemptResult.ANSWERED
            if answered or not grants:
                await self._cancel_remaining(grants)
                return grant, attempt
            await self.discard(grant, attempt)
            done = await group.next_done()

    async def _cancel_remaining(self, grants: dict[curio.Task, Grant]) -> None:
        """Cancel the other copies; a cancelled task releases its own slot."""
        for task, grant in grants.items():
            await task.cancel()
            if task.exception is None:
                await self.discard(grant, task.result)
            else:
                await curio.spawn(self.cancel, grant, daemon=True)
