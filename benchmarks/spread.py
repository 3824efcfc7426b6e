"""Benchmark of edits, take-overs and control cost by deployment size."""

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
from benchmarks.deployment import RunningDeployment
from benchmarks.fleet import Fleet
from carawayvale.contracts import Address
from carawayvale.documents import Edit
from carawayvale.documents import Editor
from carawayvale.documents import HttpStore

ENTRY_COUNTS = (5, 10, 20, 40, 80)
EDIT_COUNT = 5
IDLE_DURATION_S = 10.0
WARM_UP_S = 8.0
PACKET_HEADER_BYTES = 52
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True)
class FleetFigures:
    """Figures of a deployment of one size.

    :param entries: number of entry instances.
    :param in_force_s: median time from the acceptance of an edit until
        it is in force at all instances, in seconds.
    :param take_over_s: time from the kill of an owner until all of its
        shards have a new owner, in seconds.
    :param silent_s: time from the pause of an owner until all of its
        shards have a new owner, in seconds.
    :param core: mean processor time of an idle instance as a share of a
        core.
    :param most_core: processor time of the busiest idle instance as a
        share of a core.
    :param sent: mean bytes a second that an idle instance sends, packet
        headers included.
    :param most_sent: bytes a second that the busiest idle instance
        sends, packet headers included.
    :param memory_mb: mean resident memory of an instance in megabytes.
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


def read_cpu_time_s(pid: int) -> float:
    """Read the processor time of a process in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    return sum(int(field) for field in text.split()[11:13]) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Read the resident memory of a process in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def count_calls(deployment: RunningDeployment) -> int:
    """Read the number of calls that the store has received."""
    counts = call_json(deployment.store_port, "GET", "/counts")
    return sum(counts["calls"].values())


def measure_edits(deployment: RunningDeployment) -> tuple[float, float]:
    """Measure edits of the document.

    :param deployment: the deployment.
    :returns: median time from the acceptance of an edit until it is in
        force at all instances in seconds, and store calls for an edit.
    """
    store = HttpStore(Address("127.0.0.1", deployment.store_port))
    editor = Editor(store)
    times_s = []
    calls_before = count_calls(deployment)
    for number in range(EDIT_COUNT):
        edit = Edit("region:r0", "platform", {"limit": str(100_001 + number)})
        result = curio.run(editor.edit, edit)
        accepted_s = time.time()
        deployment.wait_until(
            lambda r=result: all(
                s["revision"] >= r.revision for s in deployment.read_states()
            ),
            "not in force",
        )
        times_s.append(read_last_in_force(deployment) - accepted_s)
    calls = (count_calls(deployment) - calls_before) / EDIT_COUNT
    return statistics.median(times_s), calls


def read_last_in_force(deployment: RunningDeployment) -> float:
    """Read from the logs when the last instance put a revision in force."""
    return max(
        read_event_time(deployment, name, "event=revision_in_force")
        for name in deployment.settings
    )


def read_event_time(
    deployment: RunningDeployment, name: str, event: str
) -> float:
    """Read the time of the last log line that contains an event.

    :param deployment: the deployment.
    :param name: name of the entry instance.
    :param event: text to find in the line.
    :returns: wall clock time in seconds; 0 if there is no such line.
    """
    lines = deployment.processes[name].log.read_text().splitlines()
    matching = [line for line in lines if event in line]
    if not matching:
        return 0.0
    timestamp = matching[-1].split()[0].removeprefix("time=")
    date, _, clock = timestamp.partition("T")
    clock = clock[:12]
    parsed = time.strptime(f"{date}T{clock[:8]}", "%Y-%m-%dT%H:%M:%S")
    return calendar.timegm(parsed) + float(clock[8:])


def measure_idle(deployment: RunningDeployment) -> dict[str, tuple]:
    """Measure processor time and sent traffic of idle entry instances.

    :param deployment: the deployment.
    :returns: share of a core and bytes a second by name of the instance.
    """
    pids = {n: deployment.processes[n].popen.pid for n in deployment.settings}
    start_s = time.monotonic()
    before = {
        n: (read_cpu_time_s(p), read_sent_bytes(deployment, n))
        for n, p in pids.items()
    }
    time.sleep(IDLE_DURATION_S)
    after = {
        n: (read_cpu_time_s(p), read_sent_bytes(deployment, n))
        for n, p in pids.items()
    }
    elapsed_s = time.monotonic() - start_s
    return {
        n: tuple((after[n][i] - before[n][i]) / elapsed_s for i in range(2))
        for n in pids
    }


def read_sent_bytes(deployment: RunningDeployment, name: str) -> float:
    """Read the bytes that an entry instance sent, with packet headers."""
    traffic = deployment.read_state(name)["traffic"]
    header_bytes = traffic["sent_packets"] * PACKET_HEADER_BYTES
    return traffic["sent_bytes"] + header_bytes


def measure_take_over(deployment: RunningDeployment, number: int) -> float:
    """Measure how long the take-over of an owner's shards takes.

    The owner gets the signal; afterwards it is killed and started again.

    :param deployment: the deployment.
    :param number: number of the signal.
    :returns: seconds from the signal until other instances own all of
        its shards.
    """
    stopped = next(
        state["name"]
        for state in reversed(deployment.read_states())
        if state and state["shards"]
    )
    shards = set(deployment.read_state(stopped)["shards"])
    others = [name for name in deployment.settings if name != stopped]
    start_s = time.time()
    deployment.signal(stopped, number)

    def is_taken_over() -> bool:
        owned = set()
        for name in others:
            state = deployment.read_state(name)
            owned.update(state["shards"])
        return shards <= owned

    deployment.wait_until(is_taken_over, "not taken over")
    ended_s = max(
        read_event_time(deployment, name, f"shard_owned shard={shard}")
        for shard in shards
        for name in others
    )
    deployment.kill(stopped)
    deployment.start_entry(stopped)
    deployment.wait_until_converged()
    time.sleep(2.0)
    return ended_s - start_s


def measure_fleet(entries: int, regions: int = 1) -> FleetFigures:
    """Measure a deployment of one size.

    :param entries: number of entry instances.
    :param regions: number of regions.
    :returns: the figures.
    """
    with tempfile.TemporaryDirectory() as folder:
        example = Fleet(entries, regions).write(Path(folder) / "example")
        with RunningDeployment(Path(folder), example=example) as deployment:
            time.sleep(WARM_UP_S)
            idle = measure_idle(deployment)
            memory = [
                read_memory_mb(deployment.processes[n].popen.pid)
                for n in deployment.settings
            ]
            in_force_s, calls = measure_edits(deployment)
            # Signal 9 is SIGKILL, 19 is SIGSTOP.
            take_over_s = measure_take_over(deployment, 9)
            silent_s = measure_take_over(deployment, 19)
    cores = [core for core, _ in idle.values()]
    sent = [sent_bytes for _, sent_bytes in idle.values()]
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
    """Format the figures of one size as a line of key=value pairs."""
    return " ".join(
        f"{name}={value:.4g}" for name, value in vars(figures).items()
    )


if __name__ == "__main__":
    for size in [int(argument) for argument in sys.argv[1:]] or ENTRY_COUNTS:
        print(format_figures(measure_fleet(size)), flush=True)
