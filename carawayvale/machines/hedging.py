"""Sends a second copy of a slow read and keeps the first answer."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

import curio

from carawayvale.contracts.retries import AttemptResult
from carawayvale.machines.attempts import Attempt
from carawayvale.machines.dispatcher import Grant


@dataclass(frozen=True)
class Hedge:
    """Two copies of one idempotent request at different endpoints.

    :param delay_s: time before the second copy is sent.
    :param take: takes a slot for the second copy, or None.
    :param send: sends a copy with a grant.
    :param cancel: tells a backend server that its copy has lost.
    :param discard: gives back the slot of a copy that ended, unused.
    """

    delay_s: float
    take: Callable[[], Grant | None]
    send: Callable[[Grant], Awaitable[Attempt]]
    cancel: Callable[[Grant], Awaitable[None]]
    discard: Callable[[Grant, Attempt], Awaitable[None]]

    async def run(self, grant: Grant) -> tuple[Grant, Attempt]:
        """Send the first copy and, if it is slow, the second.

        :param grant: grant of the first copy.
        :returns: the copy that answered first and its attempt; the last
            failure if neither answers.
        """
        async with curio.TaskGroup(wait=None) as group:
            first = await group.spawn(self.send, grant)
            grants = {first: grant}
            done = await curio.ignore_after(self.delay_s, group.next_done)
            if done is None:
                extra = self.take()
                if extra is not None:
                    grants[await group.spawn(self.send, extra)] = extra
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
                await self._end_all(grants)
                return grant, attempt
            await self.discard(grant, attempt)
            done = await group.next_done()

    async def _end_all(self, grants: dict[curio.Task, Grant]) -> None:
        """End the other copies; a cancelled one gives its slot back."""
        for task, grant in grants.items():
            await task.cancel()
            if task.exception is None:
                await self.discard(grant, task.result)
            else:
                await curio.spawn(self.cancel, grant, daemon=True)
