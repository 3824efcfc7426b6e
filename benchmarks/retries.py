"""Attempts at backend servers while many fail and callers retry."""

from dataclasses import dataclass
from pathlib import Path
import tempfile
import time

from benchmarks.deployment import Deployment
from benchmarks.load import Load
from benchmarks.reports import LESS
from benchmarks.reports import make_row
from benchmarks.reports import MORE
from benchmarks.reports import Row
from carawayvale.standins import Call
from carawayvale.standins import Verdict

RUNS = 3
NAMES = ("zurich-1", "zurich-2", "zurich-3")
CALLERS = 24
CALLER_ATTEMPTS = 4
WARM_S = 4.0
FAULTY_S = 6.0
RECOVERY_S = 5.0
NORMAL_S = 2.0
ATTEMPTS_TARGET = 1.2
NORMAL_TARGET = 0.99
CALL = Call("grids", timeout_s=3.0)


@dataclass(frozen=True)
class Storm:
    """What a run with failing backend servers found.

    :param attempts: attempts at backend servers for each first try.
    :param normal: share of answers after the repair.
    """

    attempts: float
    normal: float


def without_budget(text: str) -> str:
    """Let every success pay for a retry."""
    return text.replace("[service:grids]", "[service:grids]\nretry_ratio = 1")


def run_storm(change, pattern: str, share: float) -> Storm:
    """Let backend servers fail and repair them.

    :param change: changes the document.
    :param pattern: which endpoints fail.
    :param share: share of their requests that fail.
    :returns: what was found.
    """
    with tempfile.TemporaryDirectory() as folder:
        with Deployment(
            Path(folder), NAMES, change, service_ms=40
        ) as deployment:
            load = Load(
                deployment,
                [CALL],
                CALLERS,
                0.02,
                "zurich",
                CALLER_ATTEMPTS,
            )
            with load:
                time.sleep(WARM_S)
                deployment.set_backend_faults(
                    pattern, mode="fail", share=share
                )
                began_s = time.monotonic()
                time.sleep(FAULTY_S)
                ended_s = time.monotonic()
                deployment.set_backend_faults(pattern, mode="")
                time.sleep(RECOVERY_S)
                repaired_s = time.monotonic()
                time.sleep(NORMAL_S)
            return judge(deployment, load, began_s, ended_s, repaired_s)


def judge(
    deployment: Deployment,
    load: Load,
    began_s: float,
    ended_s: float,
    repaired_s: float,
) -> Storm:
    """Count attempts in the storm and answers after the repair."""
    attempts: dict[str, int] = {}
    for ledger in deployment.read_ledgers("grids-.*").values():
        for kind in ("runs", "refused"):
            for request_id, count in ledger[kind].items():
                attempts[request_id] = attempts.get(request_id, 0) + count
    storm = [m for m in load.records if began_s <= m.started_s < ended_s]
    late = [m for m in load.records if m.started_s >= repaired_s]
    sent = [attempts.get(m.result.request_id, 0) for m in storm]
    firsts = sum(count > 0 for count in sent)
    good = sum(m.result.verdict is Verdict.ANSWERED for m in late)
    return Storm(sum(sent) / max(1, firsts), good / max(1, len(late)))


def measure_retries() -> list[Row]:
    """Measure two kinds of failure with the budget, one without.

    :returns: rows with their targets.
    """
    half = "grids-zurich-.1"
    every = "grids-zurich-.*"
    servers = [run_storm(str, half, 1.0) for _ in range(RUNS)]
    requests = [run_storm(str, every, 0.5) for _ in range(RUNS)]
    unbound = [run_storm(without_budget, every, 0.5) for _ in range(RUNS)]
    return [
        make_row(
            "half of the servers fail: attempts / first tries",
            [s.attempts for s in servers],
            LESS,
            ATTEMPTS_TARGET,
        ),
        make_row(
            "half of the servers fail: answers 5 s after the repair",
            [s.normal for s in servers],
            MORE,
            NORMAL_TARGET,
        ),
        make_row(
            "half of the requests fail: attempts / first tries",
            [s.attempts for s in requests],
            LESS,
            ATTEMPTS_TARGET,
        ),
        make_row(
            "half of the requests fail: answers 5 s after the repair",
            [s.normal for s in requests],
            MORE,
            NORMAL_TARGET,
        ),
        make_row(
            "the same without the budget: attempts (must exceed 1.2)",
            [s.attempts for s in unbound],
            MORE,
            ATTEMPTS_TARGET,
        ),
    ]


if __name__ == "__main__":
    for measured in measure_retries():
        print(measured.format_line())
