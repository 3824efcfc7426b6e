"""A deadly request comes again after all gateways were killed."""

import asyncio
import json
from pathlib import Path
import signal
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))

from deployment import call  # noqa: E402
from deployment import deploy  # noqa: E402
from deployment import has_trouble  # noqa: E402
from deployment import HOST  # noqa: E402
from deployment import make_configuration  # noqa: E402
from deployment import run_case  # noqa: E402
from standins import Endpoint  # noqa: E402
from standins import Run  # noqa: E402

ENDPOINTS = 9
# stable_window of the settings, and a margin after the start of a process.
STABLE_S = 4.0
MARGIN_S = 1.0
# A crashed endpoint is back after so long.
BACK_S = 3.0
RESTART_S = 0.5
KILLS = 2
# Tries of the caller after each start, and the pause between them.
TRIES = 4
PAUSE_S = 1.0
ALLOWED = 3


class MortalEndpoint(Endpoint):
    """An endpoint that a deadly request crashes."""

    async def answer(self, request):
        """Run a request; a deadly one ends the process of the endpoint."""
        expected = request.find("x-expect-instance")
        deadly = request.target == "/read/deadly" and expected == self.name
        if not deadly:
            return await super().answer(request)
        self.runs.append(Run(self.name, request))
        await asyncio.sleep(0.02)
        asyncio.create_task(self._crash())
        raise ConnectionError("crashed")

    async def _crash(self) -> None:
        """Close the port, and start again on it with nothing of before."""
        if self.crashed:
            return
        self.crashed = True
        host, port = self.address.rsplit(":", 1)
        self.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(BACK_S)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        await self.open(host, int(port))
        self.crashed = False


def make_request(path: str, name: str) -> bytes:
    """Make a request; the deadly one differs in its id only."""
    lines = [
        f"GET /read/{path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {name}",
        "X-Deadline-Ms: 3000",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


class Caller:
    """The caller that repeats the deadly request."""

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.tries = 0

    async def send(self) -> None:
        """Send the deadly request once, at the gateways in turn."""
        self.tries += 1
        gateways = self.deployment.gateways
        gateway = gateways[self.tries % len(gateways)]
        name = f"deadly-{self.tries}"
        address = gateway.find_address("front")
        answer = await call(address, make_request("deadly", name), 4.0)
        self.record.write(f"{name} at {gateway.name}: {answer}")

    async def repeat(self) -> None:
        """Send the deadly request some times."""
        for _ in range(TRIES):
            await self.send()
            await asyncio.sleep(PAUSE_S)


async def kill_all(deployment, record) -> None:
    """Kill all gateways at one moment and start them again."""
    record.write("all gateways are killed")
    for gateway in deployment.gateways:
        gateway.signal(signal.SIGKILL)
    for gateway in deployment.gateways:
        gateway.process.wait(5)
    await asyncio.sleep(RESTART_S)
    for gateway in deployment.gateways:
        gateway.start(deployment.make_settings(gateway))
    for gateway in deployment.gateways:
        await deployment.wait_ready(gateway)


def find_late(runs: list[Run]) -> set[str]:
    """Find the tries that reached endpoints too late after the third crash."""
    deadly = [r for r in runs if r.request.target == "/read/deadly"]
    if len(deadly) < 3:
        return set()
    since = deadly[2].at + STABLE_S
    return {r.request.find("x-request-id") for r in deadly if r.at > since}


async def play(record) -> bool:
    """Count the tries that reach endpoints after the third crash."""
    configuration = make_configuration(1, [("/read/", "safe")])
    async with deploy(
        configuration,
        gateways=2,
        endpoints=ENDPOINTS,
        make_endpoint=MortalEndpoint,
    ) as deployment:
        caller = Caller(deployment, record)
        await asyncio.sleep(STABLE_S)
        await caller.repeat()
        for _ in range(KILLS):
            if has_trouble():
                await kill_all(deployment, record)
            await asyncio.sleep(STABLE_S + MARGIN_S)
            await caller.repeat()
        address = deployment.gateways[0].find_address("front")
        answer = await call(address, make_request("1", "ordinary"), 4.0)
        record.write(f"an ordinary request: {answer}")
        late = find_late(deployment.runs)
        for run in deployment.runs:
            record.write(
                f"{run.endpoint} runs {run.request.find('x-request-id')}"
            )
        record.write(
            f"late tries that reached endpoints: {json.dumps(sorted(late))}"
        )
    return len(late) <= ALLOWED


run_case(__file__, play)
