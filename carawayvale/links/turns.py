"""Give other tasks a turn during long work on one message.

A read from a socket that has data does not switch tasks, nor does parsing.
Without a turn in between, a peer that sends without a pause would keep the
event loop from everything else, timeouts included.
"""

import curio

# Steps of work, each a parsed part, between two turns.
STEPS_PER_TURN = 64

# A read of READ_BYTES from a socket counts as so many steps.
STEPS_PER_READ = 16


class TurnCounter:
    """Counter of the steps of work that one task does without a wait."""

    def __init__(self):
        self.steps = 0

    async def count_steps(self, number: int = 1) -> None:
        """Count steps, and let other tasks run when a turn is due.

        :param number: number of the steps.
        :raises curio.TaskTimeout: if the timeout of the work has expired.
        """
        self.steps += number
        if self.steps >= STEPS_PER_TURN:
            self.steps = 0
            await curio.sleep(0)
