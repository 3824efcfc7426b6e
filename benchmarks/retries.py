"""Benchmark of retries while many backend requests fail."""

from dataclasses import dataclass
from pathlib import Path
import tempfile
import time

from benchmarks.deployment import RunningDeployment
from benchmarks.load import Load
from benchmarks.reports import AT_LEAST
from benchmarks.reports import AT_MOST
from benchmarks.reports import make_row
from benchmarks.reports import Row
from carawayvale.standins import CallOutcome
from carawayvale.standins import ServiceCall

RUNS = 3
ENTRY_NAMES = ("zurich-1", "zurich-2", "zurich-3")
CALLER_COUNT = 24
MAX_CALLER_ATTEMPTS = 4
WARM_UP_S = 4.0
FAULT_DURATION_S = 6.0
RECOVERY_S = 5.0
AFTER_RECOVERY_S = 2.0
ATTEMPTS_TARGET = 1.2
RECOVERED_TARGET = 0.99
CALL = ServiceCall("grids", timeout_s=3.0)


@dataclass(frozen=True)
class RetryStormResult:
    """Result of a run with failing backend servers.

    :param attempts_ratio: attempts at backend servers for each request
        with at least one attempt, while the backend servers fail.
    :param recovered: share of the calls with a correct response after
        the end of the faults.
    """

    attempts_ratio: float
    recovered: float


def allow_one_retry_per_success(text: str) -> str:
    """Set a retry budget that allows one retry for each success.

    :param text: text of the document.
    :returns: the changed text.
    """
    return text.replace("[service:grids]", "[service:grids]\nretry_ratio = 1")


def run_retry_storm(transform, pattern: str, share: float) -> RetryStormResult:
    """Measure a deployment during and after faults of backend servers.

    :param transform: function that returns the changed text of the
        document.
    :param pattern: regular expression for the endpoints that fail.
    :param share: share of the requests to these endpoints that fail.
    :returns: result of the run.
    """
    with tempfile.TemporaryDirectory() as folder:
        with RunningDeployment(
            Path(folder), ENTRY_NAMES, transform, service_ms=40
        ) as deployment:
            load = Load(
                deployment,
                [CALL],
                CALLER_COUNT,
                0.02,
                "zurich",
                MAX_CALLER_ATTEMPTS,
            )
            with load:
                time.sleep(WARM_UP_S)
                deployment.set_backend_faults(
                    pattern, mode="fail", share=share
                )
                start_s = time.monotonic()
                time.sleep(FAULT_DURATION_S)
                ended_s = time.monotonic()
                deployment.set_backend_faults(pattern, mode="")
                time.sleep(RECOVERY_S)
                recovered_s = time.monotonic()
                time.sleep(AFTER_RECOVERY_S)
            return evaluate(deployment, load, start_s, ended_s, recovered_s)


def evaluate(
    deployment: RunningDeployment,
    load: Load,
    start_s: float,
    ended_s: float,
    recovered_s: float,
) -> RetryStormResult:
    """Evaluate attempts during the faults and responses after them.

    :param deployment: the deployment.
    :param load: the load with the completed calls.
    :param start_s: start of the faults.
    :param ended_s: end of the faults.
    :param recovered_s: time from which calls count as after the faults.
    :returns: result of the run.
    """
    attempts: dict[str, int] = {}
    for ledger in deployment.read_ledgers("grids-.*").values():
        for kind in ("runs", "refused"):
            for request_id, count in ledger[kind].items():
                attempts[request_id] = attempts.get(request_id, 0) + count
    during = [r for r in load.records if start_s <= r.started_s < ended_s]
    after = [r for r in load.records if r.started_s >= recovered_s]
    counts = [attempts.get(r.result.request_id, 0) for r in during]
    attempted = sum(count > 0 for count in counts)
    successful = sum(r.result.outcome is CallOutcome.ANSWERED for r in after)
    return RetryStormResult(
        sum(counts) / max(1, attempted), successful / max(1, len(after))
    )


def measure_retries() -> list[Row]:
    """Measure two kinds of faults with the retry budget and one without.

    :returns: rows of the report.
    """
    half_pattern = "grids-zurich-.1"
    all_pattern = "grids-zurich-.*"
    half_servers = [
        run_retry_storm(str, half_pattern, 1.0) for _ in range(RUNS)
    ]
    half_requests = [
        run_retry_storm(str, all_pattern, 0.5) for _ in range(RUNS)
    ]
    no_budget = [
        run_retry_storm(allow_one_retry_per_success, all_pattern, 0.5)
        for _ in range(RUNS)
    ]
    return [
        make_row(
            "half of the servers fail: attempts / first tries",
            [r.attempts_ratio for r in half_servers],
            AT_MOST,
            ATTEMPTS_TARGET,
        ),
        make_row(
            "half of the servers fail: answers 5 s after the repair",
            [r.recovered for r in half_servers],
            AT_LEAST,
            RECOVERED_TARGET,
        ),
        make_row(
            "half of the requests fail: attempts / first tries",
            [r.attempts_ratio for r in half_requests],
            AT_MOST,
            ATTEMPTS_TARGET,
        ),
        make_row(
            "half of the requests fail: answers 5 s after the repair",
            [r.recovered for r in half_requests],
            AT_LEAST,
            RECOVERED_TARGET,
        ),
        make_row(
            "the same without the budget: attempts (must exceed 1.2)",
            [r.attempts_ratio for r in no_budget],
            AT_LEAST,
            ATTEMPTS_TARGET,
        ),
    ]


if __name__ == "__main__":
    for measured in measure_retries():
        print(measured.format_line())
