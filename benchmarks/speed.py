"""Benchmark of requests through one entry instance and without it."""

from dataclasses import dataclass
import json
from pathlib import Path
import re
import subprocess
import sys
import tempfile
import time

from benchmarks.deployment import ROOT
from benchmarks.deployment import RunningDeployment
from benchmarks.reports import AT_LEAST
from benchmarks.reports import AT_MOST
from benchmarks.reports import compute_quantile
from benchmarks.reports import make_row
from benchmarks.reports import Row

RUNS = 5
DURATION_S = 2.0
CONNECTIONS = 8
WARM_UP_S = 4.0
REQUESTS_TARGET_RPS = 800
LOOKUPS_TARGET_RPS = 2000
ADDED_LATENCY_TARGET_MS = 2.0
MS_PER_S = 1000
ENTRY_NAME = "zurich-1"
REQUEST = "GET /grid HTTP/1.1\r\nhost: grids\r\n\r\n"
LOOKUP = (
    "GET /.well-known/carawayvale/lookup?service=grids&region=zurich "
    "HTTP/1.1\r\nhost: lookup\r\n\r\n"
)


@dataclass(frozen=True)
class LoadResult:
    """Result of one run of the load generator.

    :param rate_rps: successful requests a second.
    :param latencies_s: latencies of the successful requests in seconds.
    :param failed: number of responses with another status than 200.
    """

    rate_rps: float
    latencies_s: list[float]
    failed: int


def run_load_generator(
    port: int,
    request: str,
    connections: int = CONNECTIONS,
    rate_rps: float = 0,
) -> LoadResult:
    """Run the load generator as a process.

    :param port: port on the loopback address.
    :param request: text of the HTTP request.
    :param connections: number of concurrent connections.
    :param rate_rps: requests a second; 0 for as many as possible.
    :returns: result of the run.
    """
    task = {
        "port": port,
        "request": request,
        "seconds": DURATION_S,
        "connections": connections,
        "rate": rate_rps,
    }
    command = [sys.executable, "-m", "benchmarks.hammer", json.dumps(task)]
    process = subprocess.run(
        command, cwd=ROOT, capture_output=True, check=True, text=True
    )
    output = json.loads(process.stdout)
    counts = output["statuses"]
    failed = sum(n for status, n in counts.items() if status != "200")
    successful = counts.get("200", 0)
    return LoadResult(
        successful / output["seconds"], output["latencies_s"], failed
    )


def raise_limits(text: str) -> str:
    """Raise slots and region limits above the load of the benchmark.

    :param text: text of the document.
    :returns: the changed text.
    """
    text = re.sub(r"(?m)^slots = \d+$", "slots = 64", text)
    return re.sub(r"(?m)^limit = \d+$", "limit = 100000", text)


def measure_speed() -> list[Row]:
    """Measure request rate, look-up rate and latency added by an entry.

    :returns: rows of the report.
    """
    with tempfile.TemporaryDirectory() as folder:
        with RunningDeployment(
            Path(folder), (ENTRY_NAME,), raise_limits, service_ms=0
        ) as deployment:
            time.sleep(WARM_UP_S)
            entry_port = deployment.ports[ENTRY_NAME]["callers"]
            backend_port = next(
                iter(deployment.find_endpoints("grids-zurich-a1").values())
            )
            return measure_runs(entry_port, backend_port)


def measure_runs(entry_port: int, backend_port: int) -> list[Row]:
    """Measure an entry instance and a backend server alternately.

    :param entry_port: callers' port of the entry instance.
    :param backend_port: port of the backend server.
    :returns: rows of the report.
    """
    entry_rates, lookup_rates, added_ms, direct_rates = [], [], [], []
    for _ in range(RUNS):
        direct_rates.append(run_load_generator(backend_port, REQUEST).rate_rps)
        entry_rates.append(run_load_generator(entry_port, REQUEST).rate_rps)
        lookup_rates.append(run_load_generator(entry_port, LOOKUP).rate_rps)
        rate_rps = entry_rates[-1] / 2
        via_entry = run_load_generator(
            entry_port, REQUEST, rate_rps=rate_rps
        ).latencies_s
        direct = run_load_generator(
            backend_port, REQUEST, rate_rps=rate_rps
        ).latencies_s
        added_s = compute_quantile(via_entry, 0.5) - compute_quantile(
            direct, 0.5
        )
        added_ms.append(added_s * MS_PER_S)
    ratios = [a / b for a, b in zip(entry_rates, direct_rates)]
    return [
        make_row(
            "requests through one entry",
            entry_rates,
            AT_LEAST,
            REQUESTS_TARGET_RPS,
            "1/s",
        ),
        make_row(
            "look-ups of one entry",
            lookup_rates,
            AT_LEAST,
            LOOKUPS_TARGET_RPS,
            "1/s",
        ),
        make_row(
            "added by a hop at half load, median",
            added_ms,
            AT_MOST,
            ADDED_LATENCY_TARGET_MS,
            "ms",
        ),
        make_row(
            "requests through entry / direct", ratios, AT_LEAST, 0.1, "ratio"
        ),
    ]


if __name__ == "__main__":
    for measured in measure_speed():
        print(measured.format_line())
