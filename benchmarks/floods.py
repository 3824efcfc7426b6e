"""Benchmark of how ranks are served while one of them overloads a service."""

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
import json
from pathlib import Path
import subprocess
import sys
import tempfile
import time

from benchmarks.deployment import call_json
from benchmarks.deployment import ROOT
from benchmarks.deployment import RunningDeployment
from benchmarks.reports import AT_LEAST
from benchmarks.reports import AT_MOST
from benchmarks.reports import compute_quantile
from benchmarks.reports import make_row
from benchmarks.reports import Row
from benchmarks.spread import read_cpu_time_s

RUNS = 3
SERVICE_TIME_MS = 50.0
SERVICE_TIME_S = SERVICE_TIME_MS / 1000
SLOT_COUNT = 18
CAPACITY_RPS = SLOT_COUNT / SERVICE_TIME_S
ENTRY_NAMES = ("zurich-1", "zurich-2", "zurich-3", "zurich-4")
WARM_UP_S = 5.0
DURATION_S = 5.0
FLOOD_FACTOR = 10
FLOOD_CONNECTIONS = 200
RECOVERY_S = 5.0
HISTORY_FLOOR = 0.1
P99_FACTOR = 1.5
SUCCESS_TARGET = 0.999
FLOOR_TARGET = 0.9
REFUSAL_TARGET = 0.1
URGENT = "GET / HTTP/1.1\r\nhost: grids\r\n\r\n"
URGENT_WITH_DEADLINE = (
    "GET / HTTP/1.1\r\nhost: grids\r\ncarawayvale-deadline-ms: 500\r\n\r\n"
)
HISTORY_WITH_DEADLINE = (
    "GET /history HTTP/1.1\r\nhost: grids\r\n"
    "carawayvale-deadline-ms: 500\r\n\r\n"
)
HISTORY = "GET /history HTTP/1.1\r\nhost: grids\r\n\r\n"
SUBMISSION = (
    "POST / HTTP/1.1\r\nhost: submissions\r\ncontent-length: 4\r\n\r\ngrid"
)


@dataclass(frozen=True)
class Stream:
    """Stream of equal requests at a constant rate.

    :param request: text of the HTTP request.
    :param service: service of the request.
    :param rate_rps: requests a second.
    :param connections: number of connections to each owner.
    """

    request: str
    service: str
    rate_rps: float
    connections: int = 24


@dataclass(frozen=True)
class StreamResult:
    """Result of a request stream.

    :param offered: requests that got any response.
    :param successful: requests that got a response with status 200.
    :param latencies_s: latencies of the successful requests in seconds.
    """

    offered: int
    successful: int
    latencies_s: list[float]

    @property
    def success(self) -> float:
        """Share of the requests that were successful."""
        return self.successful / max(1, self.offered)

    @property
    def p99_s(self) -> float:
        """99th percentile of the latency in seconds."""
        return compute_quantile(self.latencies_s, 0.99)


def find_owners(deployment: RunningDeployment, service: str) -> dict[int, int]:
    """Look up the owners of a service.

    :param deployment: the deployment.
    :param service: the service.
    :returns: weight of each owner by its callers' port.
    """
    port = deployment.ports[ENTRY_NAMES[0]]["callers"]
    path = f"/.well-known/carawayvale/lookup?service={service}&region=zurich"
    response = call_json(port, "GET", path)
    return {
        int(entry["address"].rpartition(":")[2]): entry["weight"]
        for entry in response["entries"]
        if entry["weight"]
    }


def start_load_generator(
    port: int, stream: Stream, rate_rps: float
) -> subprocess.Popen:
    """Start a process that sends a share of a stream to one port.

    :param port: port on the loopback address.
    :param stream: the stream.
    :param rate_rps: requests a second for this port.
    :returns: the process.
    """
    task = {
        "port": port,
        "request": stream.request,
        "seconds": DURATION_S,
        "connections": stream.connections,
        "rate": rate_rps,
    }
    command = [sys.executable, "-m", "benchmarks.hammer", json.dumps(task)]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE)


def send_stream(deployment: RunningDeployment, stream: Stream) -> StreamResult:
    """Send a stream to the owners of its service, in proportion to weight."""
    owners = find_owners(deployment, stream.service)
    total_weight = sum(owners.values())
    processes = [
        start_load_generator(
            port, stream, stream.rate_rps * weight / total_weight
        )
        for port, weight in owners.items()
    ]
    outputs = [json.loads(p.communicate()[0]) for p in processes]
    latencies = [t for output in outputs for t in output["latencies_s"]]
    counts = [n for output in outputs for n in output["statuses"].values()]
    return StreamResult(sum(counts), len(latencies), latencies)


def send_streams(
    deployment: RunningDeployment, streams: Sequence[Stream]
) -> list[StreamResult]:
    """Send several streams concurrently."""
    with ThreadPoolExecutor(len(streams)) as pool:
        return list(pool.map(lambda s: send_stream(deployment, s), streams))


def read_entries_cpu_s(deployment: RunningDeployment) -> float:
    """Read the total processor time of the entry instances in seconds."""
    return sum(
        read_cpu_time_s(deployment.processes[name].popen.pid)
        for name in ENTRY_NAMES
    )


def measure_cpu_cost(
    deployment: RunningDeployment, stream: Stream
) -> Sequence[float]:
    """Measure the processor time that entry instances use for a stream.

    :param deployment: the deployment.
    :param stream: the stream.
    :returns: number of requests, number of successful requests and
        processor time in seconds.
    """
    start_cpu_s = read_entries_cpu_s(deployment)
    result = send_stream(deployment, stream)
    return (
        result.offered,
        result.successful,
        read_entries_cpu_s(deployment) - start_cpu_s,
    )


def measure_floods() -> list[Row]:
    """Measure how ranks are served while each of two overloads a service.

    :returns: rows of the report.
    """
    figures: dict[str, list[float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        with RunningDeployment(
            Path(folder), ENTRY_NAMES, service_ms=SERVICE_TIME_MS
        ) as deployment:
            time.sleep(WARM_UP_S)
            for _ in range(RUNS):
                for name, figure in measure_floods_once(deployment).items():
                    figures.setdefault(name, []).append(figure)
    targets = {
        "history flood: urgent success": (AT_LEAST, SUCCESS_TARGET),
        "history flood: urgent p99 / (1.5 alone + service)": (AT_MOST, 1.0),
        "urgent flood: history served / its floor": (AT_LEAST, FLOOR_TARGET),
        "urgent flood: submissions success": (AT_LEAST, FLOOR_TARGET),
        "urgent flood: goodput / capacity": (AT_LEAST, 0.95),
        "5 s after the floods: urgent p99 / alone": (AT_MOST, P99_FACTOR),
        "processor time: refusal / served request": (AT_MOST, REFUSAL_TARGET),
    }
    return [
        make_row(name, figures[name], relation, target, "ratio")
        for name, (relation, target) in targets.items()
    ]


def measure_floods_once(deployment: RunningDeployment) -> dict[str, float]:
    """Run both overloads and the measurements around them once.

    :param deployment: the deployment.
    :returns: figures by name of the measure.
    """
    urgent = Stream(URGENT, "grids", CAPACITY_RPS / 2)
    history = Stream(HISTORY, "grids", CAPACITY_RPS / 2)
    submissions = Stream(SUBMISSION, "submissions", 40, 8)
    flood_rate = FLOOD_FACTOR * CAPACITY_RPS
    history_flood = Stream(
        HISTORY_WITH_DEADLINE, "grids", flood_rate, FLOOD_CONNECTIONS
    )
    urgent_flood = Stream(
        URGENT_WITH_DEADLINE, "grids", flood_rate, FLOOD_CONNECTIONS
    )
    baseline = send_stream(deployment, urgent)
    during_flood, _ = send_streams(deployment, [urgent, history_flood])
    urgent_result, history_result, submissions_result = send_streams(
        deployment, [urgent_flood, history, submissions]
    )
    time.sleep(RECOVERY_S)
    recovered = send_stream(deployment, urgent)
    goodput = (
        urgent_result.successful + history_result.successful
    ) / DURATION_S
    max_p99_s = P99_FACTOR * baseline.p99_s + SERVICE_TIME_S
    return {
        "history flood: urgent success": during_flood.success,
        "history flood: urgent p99 / (1.5 alone + service)": (
            during_flood.p99_s / max_p99_s
        ),
        "urgent flood: history served / its floor": (
            history_result.successful
            / DURATION_S
            / (HISTORY_FLOOR * CAPACITY_RPS)
        ),
        "urgent flood: submissions success": submissions_result.success,
        "urgent flood: goodput / capacity": goodput / CAPACITY_RPS,
        "5 s after the floods: urgent p99 / alone": recovered.p99_s
        / baseline.p99_s,
        "processor time: refusal / served request": measure_refusal_cost(
            deployment
        ),
    }


def measure_refusal_cost(deployment: RunningDeployment) -> float:
    """Measure the cost of a refusal relative to a successful request.

    The cost of the successful requests under overload is estimated from
    a run below the capacity.

    :param deployment: the deployment.
    :returns: processor time of a refusal divided by that of a
        successful request.
    """
    below_capacity = Stream(URGENT, "grids", CAPACITY_RPS * 0.8)
    overload = Stream(
        URGENT_WITH_DEADLINE,
        "grids",
        FLOOD_FACTOR * CAPACITY_RPS,
        FLOOD_CONNECTIONS,
    )
    _, served, served_s = measure_cpu_cost(deployment, below_capacity)
    offered, successful, total_s = measure_cpu_cost(deployment, overload)
    cost_s = served_s / served
    refused = offered - successful
    return (total_s - successful * cost_s) / refused / cost_s


if __name__ == "__main__":
    for measured in measure_floods():
        print(measured.format_line())
