"""Callers that send requests to a deployment in the background."""

from collections.abc import Sequence
from collections import Counter
from dataclasses import dataclass
import random
import threading
import time

import curio

from benchmarks.deployment import Deployment
from carawayvale.contracts import Address
from carawayvale.standins import Call
from carawayvale.standins import Caller
from carawayvale.standins import CallResult
from carawayvale.standins import Verdict

MIXED_CALLS = (
    Call("grids"),
    Call("grids", size=200_000),
    Call("submissions", "POST", "/", body=b"grid"),
    Call("submissions", "GET", "/queue"),
    Call("clues", "POST", "/check", body=b"clue"),
    Call("archive", timeout_s=10.0),
)


@dataclass(frozen=True)
class CallRecord:
    """A call that was made, when, and what became of it."""

    call: Call
    started_s: float
    result: CallResult


class Load:
    """Closed-loop callers in a thread of their own.

    :param deployment: the deployment.
    :param calls: the calls to choose from.
    :param callers: how many callers send at once.
    :param pause_s: mean pause of a caller between calls.
    :param region: region of the callers; None spreads them over all.
    :param max_attempts: how often a caller sends one call at most.
    :param seed: seed of all choices.
    :param source: IP address that the callers connect from.
    """

    def __init__(
        self,
        deployment: Deployment,
        calls: Sequence[Call] = MIXED_CALLS,
        callers: int = 12,
        pause_s: float = 0.02,
        region: str | None = None,
        max_attempts: int = 4,
        seed: int = 1,
        source: str = "",
    ):
        self.calls = calls
        self.callers = callers
        self.pause_s = pause_s
        self.max_attempts = max_attempts
        self.seed = seed
        self.source = source
        self.records: list[CallRecord] = []
        self.stopping = False
        self.regions = (region,) if region else ("zurich", "geneva", "lugano")
        self.seeds = tuple(
            Address("127.0.0.1", ports["callers"])
            for ports in deployment.ports.values()
        )
        self.thread = threading.Thread(target=curio.run, args=(self._run,))

    def __enter__(self) -> "Load":
        self.thread.start()
        return self

    def __exit__(self, *caught: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Let the callers finish their calls."""
        self.stopping = True
        self.thread.join()

    async def _run(self) -> None:
        async with curio.TaskGroup() as group:
            for number in range(self.callers):
                await group.spawn(self._call_always, number)

    async def _call_always(self, number: int) -> None:
        seed = self.seed * 1000 + number
        chooser = random.Random(seed)
        region = self.regions[number % len(self.regions)]
        caller = Caller(
            self.seeds, region, seed, self.max_attempts, source=self.source
        )
        while not self.stopping:
            call = chooser.choice(self.calls)
            began_s = time.monotonic()
            result = await caller.call(call)
            self.records.append(CallRecord(call, began_s, result))
            await curio.sleep(chooser.uniform(0, 2 * self.pause_s))
        await caller.close()

    def count_verdicts(self) -> Counter:
        """Count the calls by verdict."""
        return Counter(record.result.verdict for record in self.records)

    def list_failed(self) -> list[CallRecord]:
        """List the calls that were not answered."""
        return [
            record
            for record in self.records
            if record.result.verdict is not Verdict.ANSWERED
        ]
