"""Closed-loop load on a deployment from a background thread."""

from collections.abc import Sequence
from collections import Counter
from dataclasses import dataclass
import random
import threading
import time

import curio

from benchmarks.deployment import RunningDeployment
from carawayvale.contracts import Address
from carawayvale.standins import Caller
from carawayvale.standins import CallOutcome
from carawayvale.standins import CallResult
from carawayvale.standins import ServiceCall

MIXED_CALLS = (
    ServiceCall("grids"),
    ServiceCall("grids", size=200_000),
    ServiceCall("submissions", "POST", "/", body=b"grid"),
    ServiceCall("submissions", "GET", "/queue"),
    ServiceCall("clues", "POST", "/check", body=b"clue"),
    ServiceCall("archive", timeout_s=10.0),
)


@dataclass(frozen=True)
class CallRecord:
    """Completed call of a caller.

    :param call: the call.
    :param started_s: start of the call on the monotonic clock.
    :param result: result of the call.
    """

    call: ServiceCall
    started_s: float
    result: CallResult


class Load:
    """Closed-loop callers that run in a background thread.

    Each caller waits for the result of a call before it starts the next
    one. The results are collected in ``records``.

    :param deployment: the deployment.
    :param calls: the calls from which the callers choose at random.
    :param callers: number of concurrent callers.
    :param pause_s: mean pause of a caller between calls in seconds.
    :param region: region of all callers; None distributes the callers
        over all regions.
    :param max_attempts: maximum number of attempts for one call.
    :param seed: seed of the random choices.
    :param source: IP address from which the callers connect; empty for
        any.
    """

    def __init__(
        self,
        deployment: RunningDeployment,
        calls: Sequence[ServiceCall] = MIXED_CALLS,
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

    def __exit__(self, *exception: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop the callers after their current calls."""
        self.stopping = True
        self.thread.join()

    async def _run(self) -> None:
        async with curio.TaskGroup() as group:
            for index in range(self.callers):
                await group.spawn(self._call_repeatedly, index)

    async def _call_repeatedly(self, index: int) -> None:
        seed = self.seed * 1000 + index
        rng = random.Random(seed)
        region = self.regions[index % len(self.regions)]
        caller = Caller(
            self.seeds, region, seed, self.max_attempts, source=self.source
        )
        while not self.stopping:
            call = rng.choice(self.calls)
            start_s = time.monotonic()
            result = await caller.call(call)
            self.records.append(CallRecord(call, start_s, result))
            await curio.sleep(rng.uniform(0, 2 * self.pause_s))
        await caller.close()

    def count_outcomes(self) -> Counter:
        """Count the completed calls by outcome."""
        return Counter(record.result.outcome for record in self.records)

    def list_failed(self) -> list[CallRecord]:
        """List the completed calls whose outcome is not ``ANSWERED``."""
        return [
            record
            for record in self.records
            if record.result.outcome is not CallOutcome.ANSWERED
        ]
