"""Speed of one entry process beside a direct call to the backend."""

from dataclasses import dataclass
import json
from pathlib import Path
import re
import subprocess
import sys
import tempfile
import time

from benchmarks.deployment import Deployment
from benchmarks.deployment import ROOT
from benchmarks.reports import find_quantile
from benchmarks.reports import LESS
from benchmarks.reports import make_row
from benchmarks.reports import MORE
from benchmarks.reports import Row

RUNS = 5
SECONDS = 2.0
CONNECTIONS = 8
WARM_S = 4.0
REQUESTS_TARGET = 800
LOOKUPS_TARGET = 2000
HOP_TARGET_MS = 2.0
MS_PER_S = 1000
NAME = "zurich-1"
REQUEST = "GET /grid HTTP/1.1\r\nhost: grids\r\n\r\n"
LOOKUP = (
    "GET /.well-known/carawayvale/lookup?service=grids&region=zurich "
    "HTTP/1.1\r\nhost: lookup\r\n\r\n"
)


@dataclass(frozen=True)
class Hammered:
    """What one run of the hammer found."""

    rate: float
    latencies_s: list[float]
    bad: int


def run_hammer(
    port: int, request: str, connections: int = CONNECTIONS, rate: float = 0
) -> Hammered:
    """Run the hammer as a process.

    :param port: port on the loopback address.
    :param request: the prepared request.
    :param connections: how many connections send at once.
    :param rate: requests a second; 0 for as many as possible.
    :returns: what it found.
    """
    task = {
        "port": port,
        "request": request,
        "seconds": SECONDS,
        "connections": connections,
        "rate": rate,
    }
    command = [sys.executable, "-m", "benchmarks.hammer", json.dumps(task)]
    run = subprocess.run(
        command, cwd=ROOT, capture_output=True, check=True, text=True
    )
    found = json.loads(run.stdout)
    statuses = found["statuses"]
    bad = sum(n for status, n in statuses.items() if status != "200")
    good = statuses.get("200", 0)
    return Hammered(good / found["seconds"], found["latencies_s"], bad)


def give_slots(text: str) -> str:
    """Give backend servers more slots than the hammer needs."""
    text = re.sub(r"(?m)^slots = \d+$", "slots = 64", text)
    return re.sub(r"(?m)^limit = \d+$", "limit = 100000", text)


def measure_speed() -> list[Row]:
    """Measure requests, look-ups and the latency of a hop.

    :returns: rows with their targets.
    """
    with tempfile.TemporaryDirectory() as folder:
        with Deployment(
            Path(folder), (NAME,), give_slots, service_ms=0
        ) as deployment:
            time.sleep(WARM_S)
            entry = deployment.ports[NAME]["callers"]
            backend = next(
                iter(deployment.find_endpoints("grids-zurich-a1").values())
            )
            return measure_runs(entry, backend)


def measure_runs(entry: int, backend: int) -> list[Row]:
    """Measure several runs, direct calls and entry in turn.

    :param entry: callers' port of the entry.
    :param backend: port of a backend server.
    :returns: rows with their targets.
    """
    requests, lookups, hops, direct = [], [], [], []
    for _ in range(RUNS):
        direct.append(run_hammer(backend, REQUEST).rate)
        requests.append(run_hammer(entry, REQUEST).rate)
        lookups.append(run_hammer(entry, LOOKUP).rate)
        rate = requests[-1] / 2
        behind = run_hammer(entry, REQUEST, rate=rate).latencies_s
        alone = run_hammer(backend, REQUEST, rate=rate).latencies_s
        added_s = find_quantile(behind, 0.5) - find_quantile(alone, 0.5)
        hops.append(added_s * MS_PER_S)
    ratio = [a / b for a, b in zip(requests, direct)]
    return [
        make_row(
            "requests through one entry",
            requests,
            MORE,
            REQUESTS_TARGET,
            "1/s",
        ),
        make_row(
            "look-ups of one entry", lookups, MORE, LOOKUPS_TARGET, "1/s"
        ),
        make_row(
            "added by a hop at half load, median",
            hops,
            LESS,
            HOP_TARGET_MS,
            "ms",
        ),
        make_row("requests through entry / direct", ratio, MORE, 0.1, "ratio"),
    ]


if __name__ == "__main__":
    for measured in measure_speed():
        print(measured.format_line())
