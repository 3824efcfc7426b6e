"""Service by rank while one kind of work floods in."""

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
from benchmarks.deployment import Deployment
from benchmarks.deployment import ROOT
from benchmarks.reports import find_quantile
from benchmarks.reports import LESS
from benchmarks.reports import make_row
from benchmarks.reports import MORE
from benchmarks.reports import Row
from benchmarks.spread import read_cpu_s

RUNS = 3
SERVICE_MS = 50.0
SERVICE_S = SERVICE_MS / 1000
SLOTS = 18
CAPACITY = SLOTS / SERVICE_S
NAMES = ("zurich-1", "zurich-2", "zurich-3", "zurich-4")
WARM_S = 5.0
SECONDS = 5.0
FLOOD = 10
FLOOD_CONNECTIONS = 200
RECOVERY_S = 5.0
HISTORY_FLOOR = 0.1
P99_FACTOR = 1.5
SUCCESS_TARGET = 0.999
FLOOR_TARGET = 0.9
REFUSAL_TARGET = 0.1
URGENT = "GET / HTTP/1.1\r\nhost: grids\r\n\r\n"
HURRIED_URGENT = (
    "GET / HTTP/1.1\r\nhost: grids\r\ncarawayvale-deadline-ms: 500\r\n\r\n"
)
HURRIED_HISTORY = (
    "GET /history HTTP/1.1\r\nhost: grids\r\n"
    "carawayvale-deadline-ms: 500\r\n\r\n"
)
HISTORY = "GET /history HTTP/1.1\r\nhost: grids\r\n\r\n"
SUBMISSION = (
    "POST / HTTP/1.1\r\nhost: submissions\r\ncontent-length: 4\r\n\r\ngrid"
)


@dataclass(frozen=True)
class Stream:
    """One kind of request at a rate.

    :param request: the prepared request.
    :param service: its service.
    :param rate: requests a second.
    :param connections: connections of each owner.
    """

    request: str
    service: str
    rate: float
    connections: int = 24


@dataclass(frozen=True)
class Served:
    """What became of a stream."""

    offered: int
    good: int
    latencies_s: list[float]

    @property
    def success(self) -> float:
        """Share of the requests that were answered."""
        return self.good / max(1, self.offered)

    @property
    def p99_s(self) -> float:
        """The 99th percentile of the latency in seconds."""
        return find_quantile(self.latencies_s, 0.99)


def find_owners(deployment: Deployment, service: str) -> dict[int, int]:
    """Find the owners' ports of a service and their weights."""
    port = deployment.ports[NAMES[0]]["callers"]
    path = f"/.well-known/carawayvale/lookup?service={service}&region=zurich"
    answer = call_json(port, "GET", path)
    return {
        int(entry["address"].rpartition(":")[2]): entry["weight"]
        for entry in answer["entries"]
        if entry["weight"]
    }


def start_hammer(port: int, stream: Stream, rate: float) -> subprocess.Popen:
    """Start one process that sends a part of a stream."""
    task = {
        "port": port,
        "request": stream.request,
        "seconds": SECONDS,
        "connections": stream.connections,
        "rate": rate,
    }
    command = [sys.executable, "-m", "benchmarks.hammer", json.dumps(task)]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE)


def send_stream(deployment: Deployment, stream: Stream) -> Served:
    """Send a stream to the owners that the look-up names."""
    owners = find_owners(deployment, stream.service)
    total = sum(owners.values())
    runs = [
        start_hammer(port, stream, stream.rate * weight / total)
        for port, weight in owners.items()
    ]
    found = [json.loads(run.communicate()[0]) for run in runs]
    latencies = [t for one in found for t in one["latencies_s"]]
    statuses = [n for one in found for n in one["statuses"].values()]
    return Served(sum(statuses), len(latencies), latencies)


def send_streams(
    deployment: Deployment, streams: Sequence[Stream]
) -> list[Served]:
    """Send several streams at once."""
    with ThreadPoolExecutor(len(streams)) as pool:
        return list(pool.map(lambda s: send_stream(deployment, s), streams))


def read_cpu(deployment: Deployment) -> float:
    """Read the processor time of all entries in seconds."""
    return sum(
        read_cpu_s(deployment.processes[name].popen.pid) for name in NAMES
    )


def measure_cost(deployment: Deployment, stream: Stream) -> Sequence[float]:
    """Measure the processor time of a stream; see the return value.

    :returns: requests, answers and processor time in seconds.
    """
    began_s = read_cpu(deployment)
    served = send_stream(deployment, stream)
    return served.offered, served.good, read_cpu(deployment) - began_s


def measure_floods() -> list[Row]:
    """Measure two floods one after the other.

    :returns: rows with their targets.
    """
    figures: dict[str, list[float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        with Deployment(
            Path(folder), NAMES, service_ms=SERVICE_MS
        ) as deployment:
            time.sleep(WARM_S)
            for _ in range(RUNS):
                for name, figure in run_floods(deployment).items():
                    figures.setdefault(name, []).append(figure)
    targets = {
        "history flood: urgent success": (MORE, SUCCESS_TARGET),
        "history flood: urgent p99 / (1.5 alone + service)": (LESS, 1.0),
        "urgent flood: history served / its floor": (MORE, FLOOR_TARGET),
        "urgent flood: submissions success": (MORE, FLOOR_TARGET),
        "urgent flood: goodput / capacity": (MORE, 0.95),
        "5 s after the floods: urgent p99 / alone": (LESS, P99_FACTOR),
        "processor time: refusal / served request": (LESS, REFUSAL_TARGET),
    }
    return [
        make_row(name, figures[name], relation, target, "ratio")
        for name, (relation, target) in targets.items()
    ]


def run_floods(deployment: Deployment) -> dict[str, float]:
    """Run both floods once.

    :returns: figures by name.
    """
    urgent = Stream(URGENT, "grids", CAPACITY / 2)
    history = Stream(HISTORY, "grids", CAPACITY / 2)
    submissions = Stream(SUBMISSION, "submissions", 40, 8)
    flood = FLOOD * CAPACITY
    history_flood = Stream(HURRIED_HISTORY, "grids", flood, FLOOD_CONNECTIONS)
    urgent_flood = Stream(HURRIED_URGENT, "grids", flood, FLOOD_CONNECTIONS)
    alone = send_stream(deployment, urgent)
    first, _ = send_streams(deployment, [urgent, history_flood])
    top, low, submitted = send_streams(
        deployment, [urgent_flood, history, submissions]
    )
    time.sleep(RECOVERY_S)
    after = send_stream(deployment, urgent)
    total = (top.good + low.good) / SECONDS
    bound_s = P99_FACTOR * alone.p99_s + SERVICE_S
    return {
        "history flood: urgent success": first.success,
        "history flood: urgent p99 / (1.5 alone + service)": (
            first.p99_s / bound_s
        ),
        "urgent flood: history served / its floor": (
            low.good / SECONDS / (HISTORY_FLOOR * CAPACITY)
        ),
        "urgent flood: submissions success": submitted.success,
        "urgent flood: goodput / capacity": total / CAPACITY,
        "5 s after the floods: urgent p99 / alone": after.p99_s / alone.p99_s,
        "processor time: refusal / served request": measure_refusal(
            deployment
        ),
    }


def measure_refusal(deployment: Deployment) -> float:
    """Measure the cost of a refusal beside that of an answer.

    :returns: the ratio of the processor times.
    """
    quiet = Stream(URGENT, "grids", CAPACITY * 0.8)
    loud = Stream(HURRIED_URGENT, "grids", FLOOD * CAPACITY, FLOOD_CONNECTIONS)
    _, served, served_s = measure_cost(deployment, quiet)
    offered, good, total_s = measure_cost(deployment, loud)
    each_s = served_s / served
    refused = offered - good
    return (total_s - good * each_s) / refused / each_s


if __name__ == "__main__":
    for measured in measure_floods():
        print(measured.format_line())
