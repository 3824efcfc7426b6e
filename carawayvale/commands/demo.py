"""Demo: a small deployment in one process, with load and two drains."""

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
import random
import re
import sys
import time

import curio

from carawayvale.commands.exits import ExitStatus
from carawayvale.contracts.address import Address
from carawayvale.contracts.document import Document
from carawayvale.contracts.document import load_document
from carawayvale.contracts.settings import BackendSettings
from carawayvale.contracts.settings import EntrySettings
from carawayvale.documents.editor import Edit
from carawayvale.documents.editor import Editor
from carawayvale.documents.envelope import DOCUMENT_KEY
from carawayvale.documents.envelope import Envelope
from carawayvale.documents.http_store import HttpStore
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.machines.entry import EntryInstance
from carawayvale.standins.backend import BackendServer
from carawayvale.standins.caller import Caller
from carawayvale.standins.caller import CallOutcome
from carawayvale.standins.caller import CallResult
from carawayvale.standins.caller import ServiceCall
from carawayvale.standins.store import StoreServer
from carawayvale.telemetry.logs import start_logs
from carawayvale.telemetry.metrics import make_histogram
from carawayvale.telemetry.metrics import US_PER_S
from carawayvale.zones.plan import make_plan
from carawayvale.zones.plan import RoutingPlan

LOOPBACK = Address("127.0.0.1", 0)
DEMO_KEY = b"carawayvale-demo-key"
SERVICE_TIME_MS = 10.0
CALLERS_PER_REGION = 4
MEAN_PAUSE_S = 0.08
READY_TIMEOUT_S = 15.0
SETTLING_TIME_S = 1.5
DRAIN_TIMEOUT_S = 30.0
SUBMISSION_BODY = b"grid=7x7"
SEED = 7


@dataclass
class RankSummary:
    """Number, outcomes and latencies of the requests of one rank."""

    requests: int = 0
    outcomes: dict[CallOutcome, int] = field(
        default_factory=lambda: defaultdict(int)
    )

    def __post_init__(self):
        self.latency = make_histogram()

    def add(self, result: CallResult) -> None:
        """Count the result of one call.

        :param result: outcome and duration of the call.
        """
        self.requests += 1
        self.outcomes[result.outcome] += 1
        self.latency.record_value(max(1, int(result.took_s * US_PER_S)))

    def format_line(self, rank: str) -> str:
        """Format the summary as one row of the results table.

        :param rank: name of the rank.
        :returns: the row.
        """
        quantiles = [
            self.latency.get_value_at_percentile(q) / 1000 for q in (50, 99)
        ]
        answered = self.outcomes[CallOutcome.ANSWERED]
        refused = self.outcomes[CallOutcome.NOT_RUN]
        lost = self.requests - answered - refused
        return (
            f"{rank:<10} {self.requests:>8} {answered:>8} {refused:>8} "
            f"{lost:>6} {quantiles[0]:>9.1f} {quantiles[1]:>9.1f}"
        )


class Demo:
    """Deployment of entry instances, backend servers, a store and callers.

    :param document: document of the deployment; the addresses of its
        endpoints are replaced by free ports of the loopback interface.
    :param seconds: time in seconds during which requests are sent.
    """

    def __init__(self, document: Document, seconds: float):
        self.document = document
        self.seconds = seconds
        self.backends: dict[str, BackendServer] = {}
        self.entries: list[EntryInstance] = []
        self.summaries: dict[str, RankSummary] = defaultdict(RankSummary)
        self.random = random.Random(SEED)
        # Violations, such as lost requests; empty if the demo passes.
        self.findings: list[str] = []
        self.drain_durations_s: dict[str, float] = {}
        # Time on the monotonic clock at which the callers stop.
        self.end_s = 0.0

    async def run(self) -> bool:
        """Start the deployment, send requests, drain and print the results.

        A finding is a violation of what the deployment guarantees, such as
        a request that was lost or that ran more than once.

        :returns: whether there are no findings.
        """
        async with curio.TaskGroup(wait=None) as servers:
            await self._start_backends(servers)
            await self._start_store(servers)
            # The entry instances end before the servers that they use.
            async with curio.TaskGroup(wait=None) as entries:
                await self._start_entries(entries)
                await self._send_and_drain()
        self._check_backends()
        self._print_table()
        return not self.findings

    async def _send_and_drain(self) -> None:
        """Send requests, and drain a backend server and an instance."""
        await self._wait_until_ready()
        self.end_s = time.monotonic() + self.seconds
        callers = await self._start_callers()
        await self._drain_backend()
        await self._drain_entry()
        for task in callers:
            await task.join()

    async def _start_backends(self, group: curio.TaskGroup) -> None:
        bodies = []
        for title, section in self.document.sections.items():
            body = section.body
            if section.kind == "endpoint":
                listener = self._make_backend_listener(section.value)
                await group.spawn(listener.run)
                body = re.sub(
                    r"(?m)^address\s*=.*$",
                    f"address = {listener.address}",
                    body,
                )
            bodies.append(f"[{title}]\n{body.strip()}")
        text = "\n\n".join(bodies)
        self.document = load_document(text, "demo")

    def _make_backend_listener(self, endpoint) -> Listener:
        settings = BackendSettings(
            name=endpoint.name,
            address=LOOPBACK,
            slots=endpoint.slots,
            service_ms=SERVICE_TIME_MS,
        )
        server = BackendServer(settings)
        self.backends[endpoint.name] = server
        return Listener(open_listener(LOOPBACK), server.handle)

    async def _start_store(self, group: curio.TaskGroup) -> None:
        server = StoreServer()
        envelope = Envelope(1, self.document.text)
        server.state.write(DOCUMENT_KEY, envelope.encode(), 0)
        listener = Listener(open_listener(LOOPBACK), server.handle)
        self.store_address = listener.address
        await group.spawn(listener.run)

    async def _start_entries(self, group: curio.TaskGroup) -> None:
        seeds: tuple[Address, ...] = ()
        for domain in self.document.by_kind["domain"].values():
            settings = EntrySettings(
                name=f"{domain.name}-1",
                region=domain.region,
                domain=domain.name,
                callers=LOOPBACK,
                peers=LOOPBACK,
                operators=LOOPBACK,
                store=self.store_address,
                seeds=seeds,
            )
            entry = EntryInstance(settings, DEMO_KEY)
            self.entries.append(entry)
            await group.spawn(entry.run)
            while not hasattr(entry, "node"):
                await curio.sleep(0.01)
            seeds = (*seeds, entry.node.own_record.peers)[:2]

    async def _wait_until_ready(self) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not self._is_ready():
            if time.monotonic() > deadline_s:
                raise TimeoutError("the deployment did not become ready")
            await curio.sleep(0.05)
        await curio.sleep(SETTLING_TIME_S)

    def _is_ready(self) -> bool:
        count = len(self.entries)
        return all(
            entry.node.is_ready and len(entry.node.serving) == count
            for entry in self.entries
        )

    async def _start_callers(self) -> list[curio.Task]:
        plan = make_plan(self.document)
        seeds = tuple(entry.node.own_record.callers for entry in self.entries)
        tasks = [await curio.spawn(self._show_progress)]
        for region in self.document.by_kind["region"]:
            for number in range(CALLERS_PER_REGION):
                caller = Caller(seeds, region, number)
                tasks.append(
                    await curio.spawn(self._send_requests, caller, plan)
                )
        return tasks

    async def _send_requests(self, caller: Caller, plan: RoutingPlan) -> None:
        services = list(plan.services.values())
        while time.monotonic() < self.end_s:
            service = self.random.choice(services)
            call = self._make_call(service.name, plan)
            result = await caller.call(call)
            policy = plan.classify(
                service, call.method, call.path, "127.0.0.1"
            )
            self.summaries[policy.rank.name].add(result)
            if result.outcome not in (
                CallOutcome.ANSWERED,
                CallOutcome.NOT_RUN,
            ):
                self.findings.append(f"{call} ended as {result}")
            await curio.sleep(self.random.uniform(0, 2 * MEAN_PAUSE_S))
        await caller.close()

    def _make_call(self, service: str, plan: RoutingPlan) -> ServiceCall:
        routes = plan.routes.get(service, ())
        unrestricted = [route for route in routes if not route.caller]
        if not unrestricted or self.random.random() < 0.4:
            return ServiceCall(service, "GET", "/")
        route = self.random.choice(unrestricted)
        method = route.methods[0] if route.methods else "GET"
        body = SUBMISSION_BODY if method == "POST" else b""
        return ServiceCall(service, method, route.path, body=body)

    async def _show_progress(self) -> None:
        while (remaining_s := self.end_s - time.monotonic()) > 0:
            count = sum(s.requests for s in self.summaries.values())
            line = f"\rrequests {count:>6}, {remaining_s:4.1f} s left "
            print(line, end="", file=sys.stderr, flush=True)
            await curio.sleep(min(0.5, max(0.05, remaining_s)))
        print(file=sys.stderr)

    async def _drain_backend(self) -> None:
        """Drain a backend server by editing its section of the document."""
        await curio.sleep(self.seconds / 4)
        title, section = next(
            (title, section)
            for title, section in self.document.sections.items()
            if section.kind == "endpoint"
        )
        name = section.value.name
        edit = Edit(title, section.value.owner, {"draining": "yes"})
        start_s = time.monotonic()
        result = await Editor(HttpStore(self.store_address)).edit(edit)
        if not result.envelope:
            self.findings.append(f"edit was not accepted: {result}")
            return
        server = self.backends[name]
        while any(
            entry.node.plan.revision < result.revision
            for entry in self.entries
        ):
            await curio.sleep(0.02)
        in_force_s = time.monotonic() - start_s
        while server.in_flight:
            await curio.sleep(0.02)
        self.drain_durations_s[f"backend server {name}"] = in_force_s
        self.drained_backend = server
        self.served_until_drained = server.served

    async def _drain_entry(self) -> None:
        entry = self.entries[-1]
        name = entry.settings.name
        await entry.drain()
        deadline_s = time.monotonic() + DRAIN_TIMEOUT_S
        while not entry.drain_s:
            if time.monotonic() > deadline_s:
                self.findings.append(f"drain of {name} did not complete")
                return
            await curio.sleep(0.05)
        self.drain_durations_s[f"entry instance {name}"] = entry.drain_s
        if entry.waited_for:
            self.findings.append(
                f"drain of {name} ended while waiting for {entry.waited_for}"
            )

    def _check_backends(self) -> None:
        served_later = self.drained_backend.served - self.served_until_drained
        if served_later:
            self.findings.append(
                f"{served_later} requests served after the drain"
            )
        for name, server in self.backends.items():
            repeated = [i for i, n in server.runs.items() if n > 1]
            if repeated:
                self.findings.append(f"{name} ran {repeated} more than once")

    def _print_table(self) -> None:
        print(
            f"{'rank':<10} {'requests':>8} {'answers':>8} {'refused':>8} "
            f"{'lost':>6} {'p50 ms':>9} {'p99 ms':>9}"
        )
        ranks = sorted(
            self.document.by_kind["rank"].values(), key=lambda r: r.order
        )
        for rank in ranks:
            print(self.summaries[rank.name].format_line(rank.name))
        for drained, took_s in self.drain_durations_s.items():
            print(f"drained {drained} in {took_s:.2f} s")
        for finding in self.findings:
            print(f"finding: {finding}")
        if not self.findings:
            print("nothing lost, nothing run twice")


def run_demo(document_path: str, seconds: float) -> ExitStatus:
    """Run the demo with a document and print its results.

    :param document_path: file with the document.
    :param seconds: time in seconds during which requests are sent.
    :returns: exit status of the command.
    :raises InvalidInput: if the document is invalid.
    """
    start_logs("WARNING")
    text = Path(document_path).read_text()
    document = load_document(text, document_path)
    demo = Demo(document, seconds)
    passed = curio.run(demo.run)
    return ExitStatus.DONE if passed else ExitStatus.FAILED
