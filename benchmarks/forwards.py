"""Processor time of an entry that forwards, beside one that serves."""

from pathlib import Path
import tempfile
import time

from benchmarks.deployment import Deployment
from benchmarks.floods import find_owners
from benchmarks.floods import NAMES
from benchmarks.speed import REQUEST
from benchmarks.speed import run_hammer
from benchmarks.speed import SECONDS
from benchmarks.spread import read_cpu_s

RATE = 300
WARM_S = 5.0
US = 1_000_000


def measure_cost_us(deployment: Deployment, name: str) -> float:
    """Measure the processor time of one request at an entry."""
    pid = deployment.processes[name].popen.pid
    idle_s = read_cpu_s(pid)
    time.sleep(SECONDS)
    began_s = read_cpu_s(pid)
    found = run_hammer(deployment.ports[name]["callers"], REQUEST, rate=RATE)
    spent_s = read_cpu_s(pid) - began_s - (began_s - idle_s)
    return spent_s / len(found.latencies_s) * US


def measure_forwards() -> dict[str, float]:
    """Measure an owner and another entry.

    :returns: microseconds a request by role.
    """
    with tempfile.TemporaryDirectory() as folder:
        with Deployment(Path(folder), NAMES, service_ms=1) as deployment:
            time.sleep(WARM_S)
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
    for found_role, cost_us in measure_forwards().items():
        print(f"{found_role}: {cost_us:.0f} us a request")
