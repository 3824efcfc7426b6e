"""Processor time of a request at the gateway with logs on and off."""

from collections.abc import Callable
import os
import time

import curio
from loguru import logger

from benchmarks.reports import LESS
from benchmarks.reports import make_row
from benchmarks.reports import Row
from carawayvale.gateway.tests.fleet import Fleet
from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.telemetry.logs import start_logs
from carawayvale.telemetry.sinks import BoundedSink

RUNS = 5
REQUESTS = 400

# A request with its log lines costs at most a tenth more.
LOG_TARGET = 1.1


def run_requests() -> float:
    """Send requests to one instance with its stand-ins in this process.

    :returns: processor seconds.
    """

    async def send(fleet: Fleet) -> float:
        began_s = time.process_time()
        for number in range(REQUESTS):
            await fleet.call(fleet.daemons[0], key=b"%d" % (number % 20))
        return time.process_time() - began_s

    async def run() -> float:
        async with open_fleet() as fleet:
            return await send(fleet)

    return curio.run(run)


def run_with_logs(run: Callable[[], float]) -> float:
    """Run with lines written to a descriptor that takes all of them.

    :param run: what to run.
    :returns: its result.
    """
    descriptor = os.open(os.devnull, os.O_WRONLY)
    start_logs("INFO", BoundedSink(descriptor))
    try:
        return run()
    finally:
        logger.remove()
        os.close(descriptor)


def measure_logs() -> list[Row]:
    """Measure what log lines add to a served request.

    Stand-ins, caller and instance share the process, so the ratio is
    lower than that of an instance alone.

    :returns: the row of the ratio.
    """
    logger.remove()
    run_requests()
    ratios = []
    for _ in range(RUNS):
        ratios.append(run_with_logs(run_requests) / run_requests())
    name = "processor time of a request: logs on / off"
    return [make_row(name, ratios, LESS, LOG_TARGET, "ratio")]
