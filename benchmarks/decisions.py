"""Compares ways to choose an endpoint, in virtual time.

Three ways are measured in the same run over the same arrivals: a random
endpoint, the better of two random endpoints by reports that lag, and
one owner for each shard. The backend servers are fakes that count
their slots and refuse what exceeds them.
"""

from collections.abc import Callable
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
import heapq
import random
from typing import Any

from benchmarks.reports import find_quantile
from benchmarks.reports import LESS
from benchmarks.reports import make_row
from benchmarks.reports import MORE
from benchmarks.reports import Row
from carawayvale.contracts import Address
from carawayvale.contracts import AttemptResult
from carawayvale.contracts import Endpoint
from carawayvale.contracts import may_retry
from carawayvale.contracts import Rank
from carawayvale.contracts import RetryBudget
from carawayvale.machines import Dispatcher
from carawayvale.machines import Grant
from carawayvale.machines import ShardRequest

ENTRIES = 7
ENDPOINTS = 4
SLOTS = 4
SHARD_SIZE = 2
SERVICE_S = 0.02
REFUSAL_S = 0.001
RETRY_PAUSE_S = 0.005
REPORT_S = 1.0
DEADLINE_S = 1.0
SECONDS = 8.0
LOADS = (0.6, 0.85, 0.95, 1.3, 3.0)
SEEDS = (1, 2, 3)
MAX_ATTEMPTS_TARGET = 1.02
GOODPUT_TARGET = 0.95
RANKS = (
    Rank(name="urgent", owner="o", order=1, max_wait_s=0.5),
    Rank(name="browse", owner="o", order=2, floor=0.2, max_wait_s=0.5),
    Rank(name="history", owner="o", order=3, floor=0.1, max_wait_s=0.5),
)
RANK_SHARES = (0.5, 0.3, 0.2)
CAPACITY = ENDPOINTS * SLOTS / SERVICE_S


@dataclass
class FakeBackend:
    """Counts its slots; its report is what it said a while ago."""

    in_flight: int = 0
    reported: int = 0


@dataclass(eq=False)
class FakeRequest:
    """A request on its way."""

    rank: str
    arrived_s: float
    entry: int
    attempts: int = 0
    job: ShardRequest | None = None


@dataclass
class Result:
    """What a run found."""

    attempts: int = 0
    sent: int = 0
    offered: int = 0
    latencies_s: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    @property
    def answered(self) -> int:
        """Number of requests that were answered in time."""
        return sum(len(listed) for listed in self.latencies_s.values())

    @property
    def attempts_each(self) -> float:
        """Attempts at backend servers for each request that was sent."""
        return self.attempts / max(1, self.sent)


class World:
    """Arrivals, backend servers and the clock of one run.

    :param load: offered load as a share of the capacity.
    :param lying: whether reports always show free slots.
    :param seed: seed of arrivals and service times.
    """

    def __init__(self, load: float, lying: bool, seed: int):
        self.random = random.Random(seed)
        self.lying = lying
        self.backends = [FakeBackend() for _ in range(ENDPOINTS)]
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.count = 0
        self.now_s = 0.0
        self.result = Result()
        self.rate = load * CAPACITY

    def after(self, pause_s: float, act: Callable, *args: Any) -> None:
        """Call a function later."""
        self.count += 1
        event = (self.now_s + pause_s, self.count, act, args)
        heapq.heappush(self.events, event)

    def run(self, arrive: Callable[[FakeRequest], None]) -> Result:
        """Send arrivals to a way of choosing until all are done."""
        self.after(0.0, self.next_arrival, arrive)
        self.after(0.0, self.report)
        while self.events:
            self.now_s, _, act, args = heapq.heappop(self.events)
            act(*args)
        return self.result

    def next_arrival(self, arrive: Callable[[FakeRequest], None]) -> None:
        """Make one request and plan the next one."""
        rank = self.random.choices(RANKS, RANK_SHARES)[0].name
        entry = self.random.randrange(ENTRIES)
        self.result.offered += 1
        if self.now_s < SECONDS:
            pause_s = self.random.expovariate(self.rate)
            self.after(pause_s, self.next_arrival, arrive)
        arrive(FakeRequest(rank, self.now_s, entry))

    def report(self) -> None:
        """Let every backend server report its load."""
        for backend in self.backends:
            backend.reported = 0 if self.lying else backend.in_flight
        if self.now_s < SECONDS:
            self.after(REPORT_S, self.report)

    def send(
        self,
        request: FakeRequest,
        place: int,
        done: Callable[[bool], None],
    ) -> None:
        """Send an attempt; the backend server runs or refuses it."""
        if not request.attempts:
            self.result.sent += 1
        request.attempts += 1
        self.result.attempts += 1
        backend = self.backends[place]
        if backend.in_flight >= SLOTS:
            self.after(REFUSAL_S, done, False)
            return
        backend.in_flight += 1
        took_s = SERVICE_S * self.random.uniform(0.5, 1.5)
        self.after(took_s, self.finish, request, backend, done)

    def finish(
        self,
        request: FakeRequest,
        backend: FakeBackend,
        done: Callable[[bool], None],
    ) -> None:
        """End a run at a backend server."""
        backend.in_flight -= 1
        took_s = self.now_s - request.arrived_s
        if took_s <= DEADLINE_S:
            self.result.latencies_s[request.rank].append(took_s)
        done(True)


class RandomChoice:
    """Each entry sends to a random endpoint and retries refusals."""

    def __init__(self, world: World):
        self.world = world

    def choose(self) -> int:
        """Choose an endpoint."""
        return self.world.random.randrange(ENDPOINTS)

    def arrive(self, request: FakeRequest) -> None:
        """Send a request, again and again until its deadline."""
        world = self.world
        if world.now_s - request.arrived_s >= DEADLINE_S:
            return

        def done(served: bool) -> None:
            if not served:
                pause_s = RETRY_PAUSE_S * world.random.uniform(0.5, 1.5)
                world.after(pause_s, self.arrive, request)

        world.send(request, self.choose(), done)


class TwoChoices(RandomChoice):
    """The endpoint with the lower report of two random ones."""

    def choose(self) -> int:
        """Choose an endpoint."""
        pair = self.world.random.sample(range(ENDPOINTS), 2)
        backends = self.world.backends
        return min(pair, key=lambda place: backends[place].reported)


class OneOwner:
    """Each shard has one owner, which counts and queues."""

    def __init__(self, world: World):
        self.world = world
        self.budget = RetryBudget(0.1)
        self.owners = [
            self.make_owner(start) for start in range(0, ENDPOINTS, SHARD_SIZE)
        ]
        self.requests: dict[ShardRequest, FakeRequest] = {}
        self.turn = 0

    def make_owner(self, start: int) -> Dispatcher:
        """Make the dispatcher of one shard."""
        dispatcher = Dispatcher(RANKS, {})
        endpoints = [
            Endpoint(
                name=str(place),
                owner="o",
                service="s",
                region="r",
                domain="d",
                address=Address("127.0.0.1", 1),
                slots=SLOTS,
            )
            for place in range(start, start + SHARD_SIZE)
        ]
        dispatcher.update(RANKS, endpoints, 0.0, 0.0)
        return dispatcher

    def arrive(self, request: FakeRequest) -> None:
        """Queue a request at the owner that the look-up named."""
        self.turn += 1
        owner = self.owners[self.turn % len(self.owners)]
        now_s = self.world.now_s
        job = ShardRequest(request.rank, request.arrived_s + DEADLINE_S)
        if owner.offer(job, now_s) is None:
            self.requests[job] = request
            self.pump(owner)

    def pump(self, owner: Dispatcher) -> None:
        """Send what has been granted."""
        for grant in owner.grant_free_slots(self.world.now_s):
            request = self.requests[grant.request]
            place = int(grant.endpoint)
            self.world.send(request, place, self.make_done(owner, grant))

    def make_done(
        self, owner: Dispatcher, grant: Grant
    ) -> Callable[[bool], None]:
        """Make what happens at the end of an attempt."""

        def done(served: bool) -> None:
            now_s = self.world.now_s
            result = AttemptResult.REFUSED_NOT_RUN
            if served:
                result = AttemptResult.ANSWERED
                self.budget.deposit()
            took_s = now_s - grant.request.granted_s
            owner.slots[grant.endpoint].record(result, took_s, now_s)
            owner.release(grant, now_s, served)
            if may_retry(result, False, True) and self.budget.withdraw():
                owner.requeue(grant.request, grant.endpoint)
            self.pump(owner)

        return done


WAYS = {
    "random": RandomChoice,
    "two choices": TwoChoices,
    "one owner": OneOwner,
}


def run_way(name: str, load: float, lying: bool, seed: int) -> Result:
    """Run one way of choosing.

    :param name: name of the way.
    :param load: offered load as a share of the capacity.
    :param lying: whether reports always show free slots.
    :param seed: seed of the run.
    :returns: what was found.
    """
    world = World(load, lying, seed)
    return world.run(WAYS[name](world).arrive)


def format_comparison() -> list[str]:
    """Compare all ways at all loads.

    :returns: lines of a table.
    """
    lines = [
        f"{'way':<12} {'load':>5} {'reports':<7} {'attempts':>8} "
        f"{'goodput':>8} {'p50 ms':>8} {'p99 urgent/browse/history ms':>30}"
    ]
    for load in LOADS:
        for lying in (False, True):
            for name in WAYS:
                result = run_way(name, load, lying, SEEDS[0])
                lines.append(format_result(name, load, lying, result))
    return lines


def format_result(name: str, load: float, lying: bool, result: Result) -> str:
    """Write one line of the comparison."""
    every = [t for listed in result.latencies_s.values() for t in listed]
    p99 = "/".join(
        f"{find_quantile(result.latencies_s[rank.name], 0.99) * 1000:.0f}"
        for rank in RANKS
    )
    goodput = result.answered / SECONDS / CAPACITY
    return (
        f"{name:<12} {load:>5.0%} {'lying' if lying else 'late':<7} "
        f"{result.attempts_each:>8.2f} {goodput:>8.1%} "
        f"{find_quantile(every, 0.5) * 1000:>8.1f} {p99:>30}"
    )


def measure_decisions() -> list[Row]:
    """Measure the targets of shard ownership.

    :returns: rows with their targets.
    """
    rows = []
    goodput = Counter()
    for load in LOADS:
        figures = []
        for seed in SEEDS:
            result = run_way("one owner", load, True, seed)
            figures.append(result.attempts_each)
            goodput[load, seed] = result.answered
        name = f"attempts each at {load:.0%}, lying reports"
        rows.append(make_row(name, figures, LESS, MAX_ATTEMPTS_TARGET))
    ratio = [goodput[3.0, s] / goodput[0.95, s] for s in SEEDS]
    rows.append(
        make_row("goodput at 300% / at 95%", ratio, MORE, GOODPUT_TARGET)
    )
    return rows


if __name__ == "__main__":
    print("\n".join(format_comparison()))
    for measured in measure_decisions():
        print(measured.format_line())
