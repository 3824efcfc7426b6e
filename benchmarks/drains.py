"""Benchmarks of drains and of a deployment of 20 entry instances."""

from pathlib import Path
import signal
import tempfile
import time

from benchmarks.deployment import RunningDeployment
from benchmarks.load import Load
from benchmarks.load import MIXED_CALLS
from benchmarks.reports import AT_MOST
from benchmarks.reports import make_row
from benchmarks.reports import Row
from benchmarks.spread import measure_fleet
from carawayvale.standins import CallOutcome
from carawayvale.standins import ServiceCall

RUNS = 3
ENTRY_NAMES = ("zurich-1", "zurich-2", "zurich-3")
ENDPOINT_NAMES = ("grids-zurich-a1", "grids-zurich-b1", "grids-zurich-b2")
WARM_UP_S = 2.0
OBSERVATION_S = 3.0
LOOKUP_TTL_S = 3.0
DRAIN_MARGIN_S = 3.0
BACKEND_DRAIN_TARGET_S = 2.0
IN_FORCE_TARGET_S = 3.0
TAKE_OVER_TARGET_S = 3.0
CONTROL_TARGET_CORES = 0.043
CONTROL_TARGET_BYTES_PER_S = 4096
MEMORY_TARGET_MB = 256
ENTRY_COUNT = 20
REGION_COUNT = 3


def measure_endpoint_drain(deployment: RunningDeployment, name: str) -> float:
    """Measure how long a backend server gets requests after a drain edit.

    :param deployment: the deployment.
    :param name: name of the endpoint.
    :returns: seconds from the edit to the last served request.
    """
    start_s = time.monotonic()
    deployment.edit_as("grids", f"endpoint:{name}", "draining=yes")
    last_s, served = start_s, -1
    while time.monotonic() - start_s < OBSERVATION_S:
        count = deployment.read_ledgers(name)[name]["served"]
        if count != served:
            last_s, served = time.monotonic(), count
        time.sleep(0.02)
    return last_s - start_s


def measure_entry_drain(deployment: RunningDeployment, name: str) -> float:
    """Measure how long an entry instance takes to drain and stop.

    Afterwards, the instance is started again.

    :param deployment: the deployment.
    :param name: name of the instance.
    :returns: seconds from the signal to the end of its process.
    """
    process = deployment.processes[name]
    start_s = time.monotonic()
    deployment.signal(name, signal.SIGTERM)
    deployment.wait_until(lambda: not process.is_running, f"{name} still runs")
    drain_s = time.monotonic() - start_s
    deployment.start_entry(name)
    deployment.wait_until_converged()
    return drain_s


def measure_drains() -> list[Row]:
    """Measure drains of entry instances and endpoints under load.

    :returns: rows of the report.
    """
    with tempfile.TemporaryDirectory() as folder:
        with RunningDeployment(Path(folder), ENTRY_NAMES) as deployment:
            with Load(deployment, MIXED_CALLS) as load:
                time.sleep(WARM_UP_S)
                entry_drains_s = [
                    measure_entry_drain(deployment, n) for n in ENTRY_NAMES
                ]
            with Load(
                deployment, [ServiceCall("grids")], region="zurich"
            ) as grids_load:
                time.sleep(WARM_UP_S)
                backend_drains_s = [
                    measure_endpoint_drain(deployment, n)
                    for n in ENDPOINT_NAMES
                ]
    records = load.records + grids_load.records
    failed = sum(r.result.outcome is not CallOutcome.ANSWERED for r in records)
    target_s = LOOKUP_TTL_S + DRAIN_MARGIN_S
    return [
        make_row("drain of an entry", entry_drains_s, AT_MOST, target_s, "s"),
        make_row(
            "drain of a backend server, last new work",
            backend_drains_s,
            AT_MOST,
            BACKEND_DRAIN_TARGET_S,
            "s",
        ),
        make_row("requests lost in drains", [failed], AT_MOST, 0),
    ]


def measure_large_deployment() -> list[Row]:
    """Measure a deployment of 20 entry instances in three regions.

    :returns: rows of the report.
    """
    runs = [measure_fleet(ENTRY_COUNT, REGION_COUNT) for _ in range(RUNS)]

    def make_field_row(
        measure: str, key: str, target: float, unit: str
    ) -> Row:
        return make_row(
            measure, [getattr(r, key) for r in runs], AT_MOST, target, unit
        )

    return [
        make_field_row(
            "edit in force at 20", "in_force_s", IN_FORCE_TARGET_S, "s"
        ),
        make_field_row(
            "killed owner taken over", "take_over_s", TAKE_OVER_TARGET_S, "s"
        ),
        make_field_row(
            "paused owner taken over", "silent_s", TAKE_OVER_TARGET_S, "s"
        ),
        make_field_row(
            "control, busiest entry", "most_core", CONTROL_TARGET_CORES, "core"
        ),
        make_field_row(
            "control, busiest entry",
            "most_sent",
            CONTROL_TARGET_BYTES_PER_S,
            "bytes/s",
        ),
        make_field_row(
            "memory of an entry", "memory_mb", MEMORY_TARGET_MB, "MB"
        ),
    ]


if __name__ == "__main__":
    for measured in (*measure_drains(), *measure_large_deployment()):
        print(measured.format_line())
