"""Time of drains, and from an accepted edit to its effect."""

from pathlib import Path
import signal
import tempfile
import time

from benchmarks.deployment import Deployment
from benchmarks.load import Load
from benchmarks.load import MIXED_CALLS
from benchmarks.reports import LESS
from benchmarks.reports import make_row
from benchmarks.reports import Row
from benchmarks.spread import measure_fleet
from carawayvale.standins import Call
from carawayvale.standins import Verdict

RUNS = 3
NAMES = ("zurich-1", "zurich-2", "zurich-3")
ENDPOINTS = ("grids-zurich-a1", "grids-zurich-b1", "grids-zurich-b2")
WARM_S = 2.0
WATCH_S = 3.0
LOOKUP_TTL_S = 3.0
DRAIN_MARGIN_S = 3.0
BACKEND_TARGET_S = 2.0
IN_FORCE_TARGET_S = 3.0
TAKE_OVER_TARGET_S = 3.0
CONTROL_CORE = 0.043
CONTROL_BYTES = 4096
CONTROL_MB = 256
WHOLE = 20
REGIONS = 3


def measure_backend_drain(deployment: Deployment, name: str) -> float:
    """Drain a backend server by the document; time to its last request."""
    began_s = time.monotonic()
    deployment.edit_as("grids", f"endpoint:{name}", "draining=yes")
    last_s, served = began_s, -1
    while time.monotonic() - began_s < WATCH_S:
        now = deployment.read_ledgers(name)[name]["served"]
        if now != served:
            last_s, served = time.monotonic(), now
        time.sleep(0.02)
    return last_s - began_s


def measure_entry_drain(deployment: Deployment, name: str) -> float:
    """Stop an entry as planned; time until its process ended."""
    process = deployment.processes[name]
    began_s = time.monotonic()
    deployment.signal(name, signal.SIGTERM)
    deployment.wait_until(lambda: not process.is_running, "still runs")
    took_s = time.monotonic() - began_s
    deployment.start_entry(name)
    deployment.wait_until_converged()
    return took_s


def measure_drains() -> list[Row]:
    """Measure drains under load.

    :returns: rows with their targets.
    """
    with tempfile.TemporaryDirectory() as folder:
        with Deployment(Path(folder), NAMES) as deployment:
            with Load(deployment, MIXED_CALLS) as load:
                time.sleep(WARM_S)
                entries = [measure_entry_drain(deployment, n) for n in NAMES]
            with Load(deployment, [Call("grids")], region="zurich") as more:
                time.sleep(WARM_S)
                backends = [
                    measure_backend_drain(deployment, n) for n in ENDPOINTS
                ]
    records = load.records + more.records
    lost = sum(m.result.verdict is not Verdict.ANSWERED for m in records)
    bound_s = LOOKUP_TTL_S + DRAIN_MARGIN_S
    return [
        make_row("drain of an entry", entries, LESS, bound_s, "s"),
        make_row(
            "drain of a backend server, last new work",
            backends,
            LESS,
            BACKEND_TARGET_S,
            "s",
        ),
        make_row("requests lost in drains", [lost], LESS, 0),
    ]


def measure_whole() -> list[Row]:
    """Measure 20 entries in three regions.

    :returns: rows with their targets.
    """
    runs = [measure_fleet(WHOLE, REGIONS) for _ in range(RUNS)]

    def make(name: str, key: str, target: float, unit: str) -> Row:
        return make_row(
            name, [getattr(r, key) for r in runs], LESS, target, unit
        )

    return [
        make("edit in force at 20", "in_force_s", IN_FORCE_TARGET_S, "s"),
        make(
            "killed owner taken over", "take_over_s", TAKE_OVER_TARGET_S, "s"
        ),
        make("paused owner taken over", "silent_s", TAKE_OVER_TARGET_S, "s"),
        make("control, busiest entry", "most_core", CONTROL_CORE, "core"),
        make("control, busiest entry", "most_sent", CONTROL_BYTES, "bytes/s"),
        make("memory of an entry", "memory_mb", CONTROL_MB, "MB"),
    ]


if __name__ == "__main__":
    for measured in (*measure_drains(), *measure_whole()):
        print(measured.format_line())
