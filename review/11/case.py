"""Clients leave while their pipelined requests are being answered."""

import asyncio
import functools
from pathlib import Path
import random
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))

from deployment import deploy  # noqa: E402
from deployment import has_trouble  # noqa: E402
from deployment import HOST  # noqa: E402
from deployment import make_configuration  # noqa: E402
from deployment import read_answer  # noqa: E402
from deployment import run_case  # noqa: E402
from standins import Endpoint  # noqa: E402

# Clients of each gateway. The share of them that leaves early, and how long
# one period of this lasts, are the largest of the site file's give_up.
CLIENTS = 60
LEAVING_SHARE = 0.3
PERIOD_S = 5.0
GAP_S = 1.0
PLAY_S = 100.0

# Requests that a client of the safe route sends before the first answer.
DEPTH = 4
WORK_S = 0.02
# Mean pause of a client between two sendings.
THINK_S = 0.1
# Clients that give up leave within half the objective of 1 s.
LEAVE_WITHIN_S = 0.04
POLL_S = 0.1

# The platform starts a process that has ended again after a short delay.
RESTART_S = 0.5
# The rule is broken by more than three such requests.
ALLOWED = 3


def make_request(kind: str, name: str) -> bytes:
    """Make an ordinary request."""
    method, body = ("GET", "") if kind == "read" else ("POST", "ok")
    lines = [
        f"{method} /{kind}/1 HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {name}",
        "X-Deadline-Ms: 3000",
        f"Content-Length: {len(body)}",
    ]
    return ("\r\n".join([*lines, "", ""]) + body).encode()


class Clients:
    """Clients of one gateway."""

    def __init__(self, address: tuple[str, int], name: str):
        self.address = address
        self.name = name
        self.leaving = False
        self.numbers = 0
        self.served = self.left = self.late = 0
        # Requests on kept connections that ended without an answer, of
        # clients that stayed.
        self.unanswered: list[str] = []

    def start(self) -> list[asyncio.Task]:
        """Start the clients; every second one books, the others read."""
        leavers = int(CLIENTS * LEAVING_SHARE)
        return [
            asyncio.create_task(
                self._run(
                    number < leavers,
                    "read" if number < leavers or number % 2 else "book",
                )
            )
            for number in range(CLIENTS)
        ]

    async def _run(self, may_leave: bool, kind: str) -> None:
        depth = DEPTH if kind == "read" else 1
        while True:
            writer = None
            pending: list[str] = []
            is_kept = False
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                while True:
                    await asyncio.sleep(random.uniform(0, 2 * THINK_S))
                    pending = [self._make_name(kind) for _ in range(depth)]
                    for name in pending:
                        writer.write(make_request(kind, name))
                    if may_leave and self.leaving:
                        await asyncio.sleep(random.uniform(0, LEAVE_WITHIN_S))
                        self.left += 1
                        pending = []
                        break
                    while pending:
                        answer = await asyncio.wait_for(
                            read_answer(reader), 4.0
                        )
                        pending.pop(0)
                        self.served += answer.status == 200
                    is_kept = True
            except asyncio.TimeoutError:
                self.late += len(pending)
            except (OSError, EOFError):
                if is_kept:
                    self.unanswered += pending
                await asyncio.sleep(0.05)
            finally:
                if writer is not None:
                    writer.close()

    def _make_name(self, kind: str) -> str:
        self.numbers += 1
        return f"{self.name}-{kind}-{self.numbers}"


def find_lost(groups: list[Clients], deployment) -> list[str]:
    """Find what ran on a kept connection that ended without an answer."""
    ran = {run.request.find("x-request-id") for run in deployment.runs}
    return [n for c in groups for n in c.unanswered if n in ran]


async def note_end(record, deployment, gateway) -> None:
    """Record that a process ended by itself, and start it again."""
    log = deployment.folder / f"gateway-{gateway.number}.log"
    lines = log.read_text(errors="replace").splitlines()
    errors = [x for x in lines if x.startswith("FileNot")]
    status = gateway.process.poll()
    record.write(f"{gateway.name} ended, status {status}: {errors[-1:]}")
    await asyncio.sleep(RESTART_S)
    gateway.start(deployment.make_settings(gateway))


async def play(record) -> bool:
    """Check that no kept connection ends without an answer."""
    routes = [("/read/", "safe"), ("/book/", "unsafe")]
    make_endpoint = functools.partial(Endpoint, work_s=WORK_S, slots=40)
    async with deploy(
        make_configuration(1, routes),
        gateways=2,
        endpoints=6,
        make_endpoint=make_endpoint,
    ) as deployment:
        groups = [
            Clients(gateway.find_address("front"), gateway.name)
            for gateway in deployment.gateways
        ]
        tasks = [task for clients in groups for task in clients.start()]
        started = time.monotonic()
        lost: list[str] = []
        while time.monotonic() - started < PLAY_S and len(lost) <= ALLOWED:
            await asyncio.sleep(POLL_S)
            phase = (time.monotonic() - started) % (PERIOD_S + GAP_S)
            for clients in groups:
                clients.leaving = has_trouble() and phase >= GAP_S
            for gateway in deployment.gateways:
                if gateway.process.poll() is not None:
                    await note_end(record, deployment, gateway)
            lost = find_lost(groups, deployment)
        await asyncio.sleep(0.5)
        for task in tasks:
            task.cancel()
        for gateway in deployment.gateways:
            status = gateway.process.poll()
            if status is not None:
                record.write(f"{gateway.name} ended, status {status}")
        lost = find_lost(groups, deployment)
        for clients in groups:
            record.write(
                f"{clients.name}: served {clients.served}, clients that left "
                f"{clients.left}, late {clients.late}"
            )
        record.write(f"ran and ended without an answer: {len(lost)}")
        for name in lost:
            record.write(f"{name} ran at a sound endpoint, no answer")
        if not sum(clients.served for clients in groups):
            raise RuntimeError("nothing was served")
    return len(lost) <= ALLOWED


run_case(__file__, play)
