"""Time to in force and to take over, and control cost, against nodes."""

import calendar
from dataclasses import dataclass
import os
from pathlib import Path
import statistics
import sys
import tempfile
import time

import curio

from benchmarks.deployment import call_json
from benchmarks.deployment import Deployment
from benchmarks.fleet import Fleet
from carawayvale.contracts import Address
from carawayvale.documents import Edit
from carawayvale.documents import Editor
from carawayvale.documents import HttpStore

SIZES = (5, 10, 20, 40, 80)
EDITS = 5
IDLE_S = 10.0
SETTLE_S = 8.0
PACKET_BYTES = 52
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True)
class FleetFigures:
    """What was measured at one size.

    :param entries: entry instances.
    :param in_force_s: time from the accept to in force everywhere.
    :param take_over_s: time from a kill to the last shard's new owner.
    :param silent_s: time from a pause to the same.
    :param core: processor time of an idle entry, share of a core.
    :param most_core: the same of the busiest entry.
    :param sent: bytes a second, with packet headers, mean.
    :param most_sent: the same of the busiest entry.
    :param memory_mb: resident memory, mean.
    :param store_calls: calls to the store for one edit.
    """

    entries: int
    in_force_s: float
    take_over_s: float
    silent_s: float
    core: float
    most_core: float
    sent: float
    most_sent: float
    memory_mb: float
    store_calls: float


def read_cpu_s(pid: int) -> float:
    """Read the processor time of a process in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    return sum(int(part) for part in text.split()[11:13]) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Read the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def count_calls(deployment: Deployment) -> int:
    """Count the calls that the store has had."""
    counts = call_json(deployment.store_port, "GET", "/counts")
    return sum(counts["calls"].values())


def measure_edits(deployment: Deployment) -> tuple[float, float]:
    """Measure edits; median time in force, and calls for each."""
    store = HttpStore(Address("127.0.0.1", deployment.store_port))
    editor = Editor(store)
    times = []
    before = count_calls(deployment)
    for number in range(EDITS):
        edit = Edit("region:r0", "platform", {"limit": str(100_001 + number)})
        result = curio.run(editor.edit, edit)
        accepted_s = time.time()
        deployment.wait_until(
            lambda r=result: all(
                s["revision"] >= r.revision for s in deployment.read_states()
            ),
            "not in force",
        )
        times.append(read_last_in_force(deployment) - accepted_s)
    calls = (count_calls(deployment) - before) / EDITS
    return statistics.median(times), calls


def read_last_in_force(deployment: Deployment) -> float:
    """Read from the logs when the last instance put a revision in force."""
    return max(
        read_event_time(deployment, name, "event=revision_in_force")
        for name in deployment.settings
    )


def read_event_time(deployment: Deployment, name: str, event: str) -> float:
    """Read the wall clock of an entry's last line with an event."""
    lines = deployment.processes[name].log.read_text().splitlines()
    found = [line for line in lines if event in line]
    if not found:
        return 0.0
    stamp = found[-1].split()[0].removeprefix("time=")
    date, _, clock = stamp.partition("T")
    clock = clock[:12]
    parsed = time.strptime(f"{date}T{clock[:8]}", "%Y-%m-%dT%H:%M:%S")
    return calendar.timegm(parsed) + float(clock[8:])


def measure_idle(deployment: Deployment) -> dict[str, tuple]:
    """Measure processor time and traffic of idle entries."""
    pids = {n: deployment.processes[n].popen.pid for n in deployment.settings}
    began_s = time.monotonic()
    before = {
        n: (read_cpu_s(p), read_sent(deployment, n)) for n, p in pids.items()
    }
    time.sleep(IDLE_S)
    after = {
        n: (read_cpu_s(p), read_sent(deployment, n)) for n, p in pids.items()
    }
    took_s = time.monotonic() - began_s
    return {
        n: tuple((after[n][i] - before[n][i]) / took_s for i in range(2))
        for n in pids
    }


def read_sent(deployment: Deployment, name: str) -> float:
    """Read the bytes that an entry sent, with packet headers."""
    traffic = deployment.read_state(name)["traffic"]
    headers = traffic["sent_packets"] * PACKET_BYTES
    return traffic["sent_bytes"] + headers


def measure_loss(deployment: Deployment, number: int) -> float:
    """Stop an owner by a signal; time until others own its shards."""
    victim = next(
        state["name"]
        for state in reversed(deployment.read_states())
        if state and state["shards"]
    )
    lost = set(deployment.read_state(victim)["shards"])
    left = [name for name in deployment.settings if name != victim]
    began_s = time.time()
    deployment.signal(victim, number)

    def is_taken() -> bool:
        owned = set()
        for name in left:
            state = deployment.read_state(name)
            owned.update(state["shards"])
        return lost <= owned

    deployment.wait_until(is_taken, "not taken over")
    ended_s = max(
        read_event_time(deployment, name, f"shard_owned shard={shard}")
        for shard in lost
        for name in left
    )
    deployment.kill(victim)
    deployment.start_entry(victim)
    deployment.wait_until_converged()
    time.sleep(2.0)
    return ended_s - began_s


def measure_fleet(entries: int, regions: int = 1) -> FleetFigures:
    """Measure a deployment of one size.

    :param entries: entry instances.
    :param regions: regions.
    :returns: the figures.
    """
    with tempfile.TemporaryDirectory() as folder:
        example = Fleet(entries, regions).write(Path(folder) / "example")
        with Deployment(Path(folder), example=example) as deployment:
            time.sleep(SETTLE_S)
            idle = measure_idle(deployment)
            memory = [
                read_memory_mb(deployment.processes[n].popen.pid)
                for n in deployment.settings
            ]
            in_force_s, calls = measure_edits(deployment)
            take_over_s = measure_loss(deployment, 9)
            silent_s = measure_loss(deployment, 19)
    cores = [core for core, _ in idle.values()]
    sent = [one for _, one in idle.values()]
    return FleetFigures(
        entries,
        in_force_s,
        take_over_s,
        silent_s,
        statistics.mean(cores),
        max(cores),
        statistics.mean(sent),
        max(sent),
        statistics.mean(memory),
        calls,
    )


def format_figures(figures: FleetFigures) -> str:
    """Write the figures of one size."""
    return " ".join(
        f"{name}={value:.4g}" for name, value in vars(figures).items()
    )


if __name__ == "__main__":
    for size in [int(word) for word in sys.argv[1:]] or SIZES:
        print(format_figures(measure_fleet(size)), flush=True)
