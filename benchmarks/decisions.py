"""Comparison of endpoint selection strategies by simulation.

A discrete event simulation runs each strategy: a random endpoint, the
less loaded of two random endpoints by their last load reports, and one
owner for each shard. All strategies run with the same loads and seeds.
The simulated backend servers count their slots and refuse a request if
none is free.
"""

from collections.abc import Callable
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
import heapq
import random
from typing import Any

from benchmarks.reports import AT_LEAST
from benchmarks.reports import AT_MOST
from benchmarks.reports import compute_quantile
from benchmarks.reports import make_row
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

ENTRY_COUNT = 7
ENDPOINT_COUNT = 4
SLOTS_PER_ENDPOINT = 4
ENDPOINTS_PER_SHARD = 2
SERVICE_TIME_S = 0.02
REFUSAL_LATENCY_S = 0.001
RETRY_DELAY_S = 0.005
REPORT_INTERVAL_S = 1.0
DEADLINE_S = 1.0
DURATION_S = 8.0
LOADS = (0.6, 0.85, 0.95, 1.3, 3.0)
SEEDS = (1, 2, 3)
ATTEMPTS_TARGET = 1.02
GOODPUT_TARGET = 0.95
RANKS = (
    Rank(name="urgent", owner="o", order=1, max_wait_s=0.5),
    Rank(name="browse", owner="o", order=2, floor=0.2, max_wait_s=0.5),
    Rank(name="history", owner="o", order=3, floor=0.1, max_wait_s=0.5),
)
RANK_SHARES = (0.5, 0.3, 0.2)
CAPACITY_RPS = ENDPOINT_COUNT * SLOTS_PER_ENDPOINT / SERVICE_TIME_S


@dataclass
class SimulatedBackend:
    """Simulated backend server.

    :param in_flight: requests that it runs now.
    :param reported: requests in flight by its last load report.
    """

    in_flight: int = 0
    reported: int = 0


@dataclass(eq=False)
class SimulatedRequest:
    """Simulated request.

    :param rank: name of its rank.
    :param arrived_s: time of its arrival.
    :param entry: number of the entry instance that received it.
    :param attempts: attempts at backend servers so far.
    :param shard_request: not used.
    """

    rank: str
    arrived_s: float
    entry: int
    attempts: int = 0
    shard_request: ShardRequest | None = None


@dataclass
class SimulationResult:
    """Result of one simulation.

    :param attempts: attempts at backend servers.
    :param sent: requests with at least one attempt.
    :param offered: requests that arrived.
    :param latencies_s: latencies of the requests completed before their
        deadline, by rank, in seconds.
    """

    attempts: int = 0
    sent: int = 0
    offered: int = 0
    latencies_s: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    @property
    def completed(self) -> int:
        """Number of requests that were completed before their deadline."""
        return sum(len(values) for values in self.latencies_s.values())

    @property
    def attempts_per_request(self) -> float:
        """Mean number of attempts for each request that was sent."""
        return self.attempts / max(1, self.sent)


class Simulation:
    """Discrete event simulation of arrivals and backend servers.

    :param load: offered load as a share of the capacity.
    :param false_reports: whether load reports always show free slots.
    :param seed: seed of the arrivals and service times.
    """

    def __init__(self, load: float, false_reports: bool, seed: int):
        self.random = random.Random(seed)
        self.false_reports = false_reports
        self.backends = [SimulatedBackend() for _ in range(ENDPOINT_COUNT)]
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.event_count = 0
        self.now_s = 0.0
        self.result = SimulationResult()
        self.rate_rps = load * CAPACITY_RPS

    def schedule(self, delay_s: float, callback: Callable, *args: Any) -> None:
        """Schedule a call of a function after a delay."""
        self.event_count += 1
        event = (self.now_s + delay_s, self.event_count, callback, args)
        heapq.heappush(self.events, event)

    def run(
        self, arrive: Callable[[SimulatedRequest], None]
    ) -> SimulationResult:
        """Run the simulation until no event is left.

        :param arrive: handler of the strategy for a new request.
        :returns: the result.
        """
        self.schedule(0.0, self.generate_arrival, arrive)
        self.schedule(0.0, self.publish_reports)
        while self.events:
            self.now_s, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        return self.result

    def generate_arrival(
        self, arrive: Callable[[SimulatedRequest], None]
    ) -> None:
        """Generate one request and schedule the next one."""
        rank = self.random.choices(RANKS, RANK_SHARES)[0].name
        entry = self.random.randrange(ENTRY_COUNT)
        self.result.offered += 1
        if self.now_s < DURATION_S:
            delay_s = self.random.expovariate(self.rate_rps)
            self.schedule(delay_s, self.generate_arrival, arrive)
        arrive(SimulatedRequest(rank, self.now_s, entry))

    def publish_reports(self) -> None:
        """Update the load reports of all backend servers."""
        for backend in self.backends:
            backend.reported = 0 if self.false_reports else backend.in_flight
        if self.now_s < DURATION_S:
            self.schedule(REPORT_INTERVAL_S, self.publish_reports)

    def send_attempt(
        self,
        request: SimulatedRequest,
        index: int,
        on_done: Callable[[bool], None],
    ) -> None:
        """Send an attempt to a backend server, which runs or refuses it.

        :param request: the request.
        :param index: index of the backend server.
        :param on_done: callback; it gets whether the request was run.
        """
        if not request.attempts:
            self.result.sent += 1
        request.attempts += 1
        self.result.attempts += 1
        backend = self.backends[index]
        if backend.in_flight >= SLOTS_PER_ENDPOINT:
            self.schedule(REFUSAL_LATENCY_S, on_done, False)
            return
        backend.in_flight += 1
        service_time_s = SERVICE_TIME_S * self.random.uniform(0.5, 1.5)
        self.schedule(service_time_s, self.complete, request, backend, on_done)

    def complete(
        self,
        request: SimulatedRequest,
        backend: SimulatedBackend,
        on_done: Callable[[bool], None],
    ) -> None:
        """Complete a request at a backend server."""
        backend.in_flight -= 1
        latency_s = self.now_s - request.arrived_s
        if latency_s <= DEADLINE_S:
            self.result.latencies_s[request.rank].append(latency_s)
        on_done(True)


class RandomChoice:
    """Strategy that sends to a random endpoint and retries refusals."""

    def __init__(self, simulation: Simulation):
        self.simulation = simulation

    def choose(self) -> int:
        """Choose an endpoint.

        :returns: index of its backend server.
        """
        return self.simulation.random.randrange(ENDPOINT_COUNT)

    def arrive(self, request: SimulatedRequest) -> None:
        """Send a request and retry it until it is run or expires."""
        simulation = self.simulation
        if simulation.now_s - request.arrived_s >= DEADLINE_S:
            return

        def on_done(served: bool) -> None:
            if not served:
                delay_s = RETRY_DELAY_S * simulation.random.uniform(0.5, 1.5)
                simulation.schedule(delay_s, self.arrive, request)

        simulation.send_attempt(request, self.choose(), on_done)


class TwoChoices(RandomChoice):
    """Strategy that takes the less loaded of two random endpoints."""

    def choose(self) -> int:
        """Choose an endpoint by the last load reports."""
        pair = self.simulation.random.sample(range(ENDPOINT_COUNT), 2)
        backends = self.simulation.backends
        return min(pair, key=lambda index: backends[index].reported)


class ShardOwners:
    """Strategy with one owner for each shard, which queues and dispatches."""

    def __init__(self, simulation: Simulation):
        self.simulation = simulation
        self.budget = RetryBudget(0.1)
        self.owners = [
            self.make_owner(start)
            for start in range(0, ENDPOINT_COUNT, ENDPOINTS_PER_SHARD)
        ]
        self.requests: dict[ShardRequest, SimulatedRequest] = {}
        self.arrivals = 0

    def make_owner(self, start: int) -> Dispatcher:
        """Create the dispatcher of one shard.

        :param start: index of the first endpoint of the shard.
        :returns: the dispatcher.
        """
        dispatcher = Dispatcher(RANKS, {})
        endpoints = [
            Endpoint(
                name=str(index),
                owner="o",
                service="s",
                region="r",
                domain="d",
                address=Address("127.0.0.1", 1),
                slots=SLOTS_PER_ENDPOINT,
            )
            for index in range(start, start + ENDPOINTS_PER_SHARD)
        ]
        dispatcher.update(RANKS, endpoints, 0.0, 0.0)
        return dispatcher

    def arrive(self, request: SimulatedRequest) -> None:
        """Queue a request at one of the owners, in round-robin order."""
        self.arrivals += 1
        owner = self.owners[self.arrivals % len(self.owners)]
        now_s = self.simulation.now_s
        queued = ShardRequest(request.rank, request.arrived_s + DEADLINE_S)
        if owner.offer(queued, now_s) is None:
            self.requests[queued] = request
            self.dispatch(owner)

    def dispatch(self, owner: Dispatcher) -> None:
        """Send the requests to which the owner grants a slot."""
        for grant in owner.grant_free_slots(self.simulation.now_s):
            request = self.requests[grant.request]
            index = int(grant.endpoint)
            self.simulation.send_attempt(
                request, index, self.make_callback(owner, grant)
            )

    def make_callback(
        self, owner: Dispatcher, grant: Grant
    ) -> Callable[[bool], None]:
        """Create the callback for the end of an attempt.

        :param owner: dispatcher of the shard.
        :param grant: the granted slot.
        :returns: the callback; it gets whether the request was run.
        """

        def on_done(served: bool) -> None:
            now_s = self.simulation.now_s
            result = AttemptResult.REFUSED_NOT_RUN
            if served:
                result = AttemptResult.ANSWERED
                self.budget.deposit()
            service_time_s = now_s - grant.request.granted_s
            owner.slots[grant.endpoint].record(result, service_time_s, now_s)
            owner.release(grant, now_s, served)
            if may_retry(result, False, True) and self.budget.withdraw():
                owner.requeue(grant.request, grant.endpoint)
            self.dispatch(owner)

        return on_done


STRATEGIES = {
    "random": RandomChoice,
    "two choices": TwoChoices,
    "one owner": ShardOwners,
}


def run_strategy(
    name: str, load: float, false_reports: bool, seed: int
) -> SimulationResult:
    """Simulate one strategy.

    :param name: name of the strategy.
    :param load: offered load as a share of the capacity.
    :param false_reports: whether load reports always show free slots.
    :param seed: seed of the simulation.
    :returns: result of the simulation.
    """
    simulation = Simulation(load, false_reports, seed)
    return simulation.run(STRATEGIES[name](simulation).arrive)


def format_comparison() -> list[str]:
    """Compare all strategies at all loads.

    :returns: lines of a text table.
    """
    lines = [
        f"{'way':<12} {'load':>5} {'reports':<7} {'attempts':>8} "
        f"{'goodput':>8} {'p50 ms':>8} {'p99 urgent/browse/history ms':>30}"
    ]
    for load in LOADS:
        for false_reports in (False, True):
            for name in STRATEGIES:
                result = run_strategy(name, load, false_reports, SEEDS[0])
                lines.append(format_result(name, load, false_reports, result))
    return lines


def format_result(
    name: str, load: float, false_reports: bool, result: SimulationResult
) -> str:
    """Format one line of the comparison."""
    latencies = [t for values in result.latencies_s.values() for t in values]
    p99 = "/".join(
        f"{compute_quantile(result.latencies_s[rank.name], 0.99) * 1000:.0f}"
        for rank in RANKS
    )
    goodput = result.completed / DURATION_S / CAPACITY_RPS
    return (
        f"{name:<12} {load:>5.0%} {'lying' if false_reports else 'late':<7} "
        f"{result.attempts_per_request:>8.2f} {goodput:>8.1%} "
        f"{compute_quantile(latencies, 0.5) * 1000:>8.1f} {p99:>30}"
    )


def measure_decisions() -> list[Row]:
    """Measure attempts and goodput with one owner for each shard.

    :returns: rows of the report.
    """
    rows = []
    goodput = Counter()
    for load in LOADS:
        figures = []
        for seed in SEEDS:
            result = run_strategy("one owner", load, True, seed)
            figures.append(result.attempts_per_request)
            goodput[load, seed] = result.completed
        measure = f"attempts each at {load:.0%}, lying reports"
        rows.append(make_row(measure, figures, AT_MOST, ATTEMPTS_TARGET))
    ratios = [goodput[3.0, s] / goodput[0.95, s] for s in SEEDS]
    rows.append(
        make_row("goodput at 300% / at 95%", ratios, AT_LEAST, GOODPUT_TARGET)
    )
    return rows


if __name__ == "__main__":
    print("\n".join(format_comparison()))
    for measured in measure_decisions():
        print(measured.format_line())
