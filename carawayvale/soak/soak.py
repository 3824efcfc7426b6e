"""One soak: its deployment, its load, its troubles and its result."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import os
from pathlib import Path
import tempfile
import time

import curio

from carawayvale.contracts.address import Address
from carawayvale.gateway.server import RequestServer
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.platform.standin_formats import CONFIGURATION_KEY
from carawayvale.platform.standin_formats import ENDPOINT_PREFIX
from carawayvale.platform.standin_formats import make_configuration
from carawayvale.platform.tests.fakes import FakeStore
from carawayvale.soak.callers import CallerBehaviour
from carawayvale.soak.callers import HOST
from carawayvale.soak.callers import SoakCaller
from carawayvale.soak.checks import check_record
from carawayvale.soak.checks import Violation
from carawayvale.soak.endpoints import EndpointBehaviour
from carawayvale.soak.endpoints import HEARTBEAT_S
from carawayvale.soak.endpoints import SoakEndpoint
from carawayvale.soak.gateways import CALLERS
from carawayvale.soak.gateways import GatewayProcess
from carawayvale.soak.gateways import REGIONS
from carawayvale.soak.records import Record
from carawayvale.soak.troubles import KINDS
from carawayvale.soak.troubles import plan_troubles
from carawayvale.soak.troubles import Trouble

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "crew-desk"
ROUTE_KINDS = {"/book/": "unsafe", "/slot/": "safe"}

# Time for the gateways to list each other and the endpoints.
SETTLE_S = 2.0


@dataclass(frozen=True)
class SoakPlan:
    """Size, load and troubles of a soak.

    :param seed: seed of all choices.
    :param length_s: length of the traffic in seconds.
    :param gateways: number of gateways.
    :param endpoints: number of endpoints.
    :param callers: number of callers.
    :param kinds: names of the kinds of trouble that may come.
    :param gap_s: mean gap between two troubles.
    :param endpoint: how the endpoints behave.
    :param caller: how the callers behave.
    :param root: folder of the code to run.
    """

    seed: int = 1
    length_s: float = 30.0
    gateways: int = 4
    endpoints: int = 8
    callers: int = 40
    kinds: tuple[str, ...] = ("term", "term_twice", "hup")
    gap_s: float = 3.0
    endpoint: EndpointBehaviour = EndpointBehaviour()
    caller: CallerBehaviour = CallerBehaviour()
    root: Path = ROOT


@dataclass(frozen=True)
class SoakResult:
    """Result of a soak.

    :param plan: what was played.
    :param statuses: number of requests by status; 0 for none.
    :param violations: the broken promises.
    :param events: time and description of each trouble.
    :param logged: number of log lines by event, over all gateways.
    """

    plan: SoakPlan
    statuses: Counter
    violations: list[Violation]
    events: list[tuple[float, str]]
    logged: Counter = field(default_factory=Counter)

    def format_text(self) -> str:
        """Format the result for a person.

        :returns: lines of text.
        """
        rules = Counter(v.rule for v in self.violations)
        lines = [
            f"seed {self.plan.seed}: {self.statuses.total()} requests, "
            f"{len(self.events)} troubles",
            "status: " + format_counts(self.statuses),
            "broken: " + (format_counts(rules) or "none"),
            "logged: " + format_counts(self.logged),
        ]
        lines += [
            f"  {v.rule} {v.request.request_id} gateway {v.request.gateway} "
            f"sent {v.request.sent_s:.3f} ended {v.request.ended_s:.3f} "
            f"status {v.request.status}: {v.detail}"
            for v in self.violations
        ]
        if self.violations:
            lines += [f"  {at_s:.3f} {text}" for at_s, text in self.events]
        return "\n".join(lines)


def format_counts(counts: Counter) -> str:
    """Format counts in descending order.

    :param counts: the counts.
    :returns: ``name number`` pairs; empty if there are none.
    """
    return ", ".join(f"{n} {number}" for n, number in counts.most_common(12))


class Soak:
    """A deployment of real gateways and stand-ins.

    :param plan: what to play.
    :param folder: folder for settings and logs.
    """

    def __init__(self, plan: SoakPlan, folder: Path):
        self.plan = plan
        self.folder = folder
        self.record = Record()
        self.store = FakeStore()
        pid = os.getpid()
        # Each process that plays soaks has a loopback network of its own.
        self.network = f"127.{64 + pid % 128}.{pid // 128 % 250}"
        self.gateways: list[GatewayProcess] = []
        self.endpoints: list[SoakEndpoint] = []

    async def run(self) -> SoakResult:
        """Play the soak.

        :returns: the result.
        """
        async with curio.TaskGroup(wait=None) as group:
            await self._open_standins(group)
            try:
                await self._start_gateways()
                await self._play()
            finally:
                for gateway in self.gateways:
                    gateway.end()
        statuses = Counter(r.status for r in self.record.requests)
        return SoakResult(
            self.plan,
            statuses,
            check_record(self.record),
            sorted(self.record.events),
            self._count_log_lines(),
        )

    async def _open_standins(self, group: curio.TaskGroup) -> None:
        plan = self.plan
        host = f"{self.network}.1"
        configuration = make_configuration(
            HOST.decode(), SERVICE, plan.caller.deadline_s, ROUTE_KINDS
        )
        self.store.put(CONFIGURATION_KEY, configuration)
        server = RequestServer(self.store.handle)
        store = Listener(open_listener(Address(host, 0)), server.serve)
        await group.spawn(store.run)
        for number in range(plan.endpoints):
            endpoint = SoakEndpoint(
                f"i-{number:04x}",
                SERVICE,
                plan.endpoint,
                self.record,
                plan.seed,
            )
            self.endpoints.append(endpoint)
            await group.spawn(endpoint.open(host).run)
        await group.spawn(self._report_endpoints)
        self.gateways = [
            GatewayProcess(
                plan.root, self.folder, n, self.network, store.address
            )
            for n in range(plan.gateways)
        ]

    async def _report_endpoints(self) -> None:
        domains = list(REGIONS)
        while True:
            for number, endpoint in enumerate(self.endpoints):
                entry = endpoint.make_entry(domains[number % len(domains)])
                self.store.put(f"{ENDPOINT_PREFIX}{endpoint.name}", entry)
            await curio.sleep(HEARTBEAT_S)

    async def _start_gateways(self) -> None:
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        await curio.sleep(SETTLE_S)

    async def _play(self) -> None:
        plan = self.plan
        start_s = time.monotonic()
        until_s = start_s + plan.length_s
        addresses = [g.find_address(CALLERS) for g in self.gateways]
        callers = [
            SoakCaller(n, addresses, plan.caller, self.record, plan.seed)
            for n in range(plan.callers)
        ]
        troubles = plan_troubles(
            plan.seed, plan.kinds, plan.length_s, plan.gateways, plan.gap_s
        )
        busy = [curio.Lock() for _ in self.gateways]
        async with curio.TaskGroup(wait=all) as group:
            for caller in callers:
                await group.spawn(caller.run, until_s)
            for trouble in troubles:
                await group.spawn(
                    self._cause, trouble, start_s, busy[trouble.gateway]
                )

    async def _cause(
        self, trouble: Trouble, start_s: float, busy: curio.Lock
    ) -> None:
        """Cause a trouble, after those before it at the same gateway."""
        await curio.sleep(max(0.0, start_s + trouble.at_s - time.monotonic()))
        async with busy:
            text = f"{trouble.kind} {trouble.gateway}"
            self.record.events.append((time.monotonic(), text))
            gateway = self.gateways[trouble.gateway]
            await KINDS[trouble.kind](gateway, self.record)

    def _count_log_lines(self) -> Counter:
        counts: Counter = Counter()
        for gateway in self.gateways:
            for line in gateway.log_path.read_text("utf-8").splitlines():
                if "level=INFO" in line and "event=attempt_failed" in line:
                    counts[line.partition("cause=")[2]] += 1
                elif "level=ERROR" in line or "Traceback" in line:
                    counts[line[-100:]] += 1
        return counts


def play_soak(plan: SoakPlan, keep: Path | None = None) -> SoakResult:
    """Play a soak.

    :param plan: what to play.
    :param keep: folder in which to keep the logs; None to drop them.
    :returns: the result.
    """
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return curio.run(Soak(plan, keep).run)
    with tempfile.TemporaryDirectory() as folder:
        return curio.run(Soak(plan, Path(folder)).run)
