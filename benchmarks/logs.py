"""Benchmark of the processor time that log lines add to a request."""

from collections.abc import Callable
import os
import time

import curio
from loguru import logger

from benchmarks.reports import AT_MOST
from benchmarks.reports import make_row
from benchmarks.reports import Row
from carawayvale.gateway.tests.fleet import GatewayFleet
from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.telemetry.logs import start_logs
from carawayvale.telemetry.sinks import BoundedSink

RUNS = 5
REQUEST_COUNT = 400

# Log lines may add at most a tenth to the processor time of a request.
LOG_RATIO_TARGET = 1.1


def run_requests() -> float:
    """Send requests to an instance that runs with stand-ins in this process.

    :returns: processor time in seconds.
    """

    async def send(fleet: GatewayFleet) -> float:
        start_cpu_s = time.process_time()
        for number in range(REQUEST_COUNT):
            await fleet.call(fleet.daemons[0], key=b"%d" % (number % 20))
        return time.process_time() - start_cpu_s

    async def run() -> float:
        async with open_fleet() as fleet:
            return await send(fleet)

    return curio.run(run)


def run_with_logs(run: Callable[[], float]) -> float:
    """Call a function with logs written to the null device.

    :param run: the function.
    :returns: result of the function.
    """
    descriptor = os.open(os.devnull, os.O_WRONLY)
    start_logs("INFO", BoundedSink(descriptor))
    try:
        return run()
    finally:
        logger.remove()
        os.close(descriptor)


def measure_logs() -> list[Row]:
    """Measure the ratio of a request's processor time with and without logs.

    Stand-ins, caller and instance share the process, so the ratio is
    lower than that of the instance alone.

    :returns: row of the report.
    """
    logger.remove()
    run_requests()
    ratios = []
    for _ in range(RUNS):
        ratios.append(run_with_logs(run_requests) / run_requests())
    measure = "processor time of a request: logs on / off"
    return [make_row(measure, ratios, AT_MOST, LOG_RATIO_TARGET, "ratio")]
