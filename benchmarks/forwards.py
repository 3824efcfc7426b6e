"""Benchmark of the processor time of a request at owner and forwarder."""

from pathlib import Path
import tempfile
import time

from benchmarks.deployment import RunningDeployment
from benchmarks.floods import ENTRY_NAMES
from benchmarks.floods import find_owners
from benchmarks.speed import DURATION_S
from benchmarks.speed import REQUEST
from benchmarks.speed import run_load_generator
from benchmarks.spread import read_cpu_time_s

RATE_RPS = 300
WARM_UP_S = 5.0
US_PER_S = 1_000_000


def measure_cost_us(deployment: RunningDeployment, name: str) -> float:
    """Measure the processor time of a request at an entry instance.

    The processor time of the idle instance is subtracted.

    :param deployment: the deployment.
    :param name: name of the instance.
    :returns: processor time of one request in microseconds.
    """
    pid = deployment.processes[name].popen.pid
    before_idle_s = read_cpu_time_s(pid)
    time.sleep(DURATION_S)
    before_load_s = read_cpu_time_s(pid)
    result = run_load_generator(
        deployment.ports[name]["callers"], REQUEST, rate_rps=RATE_RPS
    )
    load_s = (
        read_cpu_time_s(pid) - before_load_s - (before_load_s - before_idle_s)
    )
    return load_s / len(result.latencies_s) * US_PER_S


def measure_forwards() -> dict[str, float]:
    """Measure an owner and an entry instance that forwards to it.

    :returns: processor time of a request by role, in microseconds.
    """
    with tempfile.TemporaryDirectory() as folder:
        with RunningDeployment(
            Path(folder), ENTRY_NAMES, service_ms=1
        ) as deployment:
            time.sleep(WARM_UP_S)
            owners = find_owners(deployment, "grids")
            role_of = {
                name: "owner" if ports["callers"] in owners else "forwarder"
                for name, ports in deployment.ports.items()
            }
            return {
                role: measure_cost_us(deployment, name)
                for name, role in role_of.items()
            }


if __name__ == "__main__":
    for role_name, cost_us in measure_forwards().items():
        print(f"{role_name}: {cost_us:.0f} us a request")
