"""The state of one entry instance and what it derives from it."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import random

import curio

from carawayvale.contracts.clock import Clock
from carawayvale.contracts.retries import RetryBudget
from carawayvale.contracts.retries import RetryDetector
from carawayvale.contracts.sections import Service
from carawayvale.contracts.settings import EntrySettings
from carawayvale.contracts.tickets import TicketLedger
from carawayvale.links.connections import ConnectionPools
from carawayvale.links.keeper import DocumentKeeper
from carawayvale.links.membership import elect
from carawayvale.links.membership import Membership
from carawayvale.links.membership import ROLE_BRIDGE
from carawayvale.links.membership import ROLE_WATCHER
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import RegionReport
from carawayvale.links.messages import Reports
from carawayvale.links.messages import ServiceHeadroom
from carawayvale.links.tls import TlsContexts
from carawayvale.machines.dispatcher import Dispatcher
from carawayvale.machines.requests import RequestReader
from carawayvale.machines.shard_queue import ShardQueue
from carawayvale.telemetry.logs import log_event
from carawayvale.telemetry.metrics import Metrics
from carawayvale.telemetry.traces import Tracing
from carawayvale.zones.credits import ShiftCreditTable
from carawayvale.zones.headroom import HeadroomTable
from carawayvale.zones.ownership import assign_owners
from carawayvale.zones.ownership import Candidate
from carawayvale.zones.ownership import EMPTY_OWNERSHIP
from carawayvale.zones.ownership import Ownership
from carawayvale.zones.ownership import Shard
from carawayvale.zones.plan import DEFAULT_DEPLOYMENT
from carawayvale.zones.plan import make_plan
from carawayvale.zones.plan import RoutingPlan

ISSUERS = 1


@dataclass
class Node:
    """Everything that the tasks of one instance share.

    :param settings: the process's settings.
    :param key: the deployment's key.
    :param me: this instance's own record.
    :param clock: the process's clock.
    :param tls: contexts for connections with other instances.
    """

    settings: EntrySettings
    key: bytes
    me: MemberRecord
    clock: Clock
    tls: TlsContexts = TlsContexts()
    keeper: DocumentKeeper = field(default_factory=DocumentKeeper)
    metrics: Metrics = field(default_factory=Metrics)
    repeats: RetryDetector = field(default_factory=RetryDetector)
    queues: dict[str, ShardQueue] = field(default_factory=dict)
    shard_of: dict[str, Shard] = field(default_factory=dict)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()
    listed_s: float = 0.0
    list_changed: bool = False
    plan: RoutingPlan | None = None
    reader: RequestReader | None = None
    ownership: Ownership = EMPTY_OWNERSHIP
    serving: dict[str, MemberRecord] = field(default_factory=dict)
    in_flight: int = 0
    generation: int = 0
    draining: bool = False

    def __post_init__(self):
        began_s = self.clock.read()
        self.book = HeadroomTable(began_s)
        self.membership = Membership(self.me, began_s)
        self.ledger = TicketLedger(self.me.name, self.me.incarnation)
        self.tracing = Tracing(self.me.name, self.settings.trace_ratio)
        self.pools = ConnectionPools()
        self.peer_pools = ConnectionPools(self.tls.client)
        self.shifts = ShiftCreditTable(DEFAULT_DEPLOYMENT)
        self.random = random.Random(self.me.incarnation)

    @property
    def is_ready(self) -> bool:
        """Whether look-ups and requests can be answered."""
        return self.plan is not None

    async def replan(self) -> None:
        """Derive plan and ownership from the document and the members."""
        document = self.keeper.document
        if not document.revision:
            return
        plan = self.plan
        if plan is None or plan.document is not document:
            plan = await curio.run_in_thread(make_plan, document, plan)
        serving = self.list_serving()
        candidates = [
            Candidate(record.name, record.region, record.domain)
            for record in serving.values()
        ]
        ownership = await curio.run_in_thread(
            assign_owners, plan.shards, candidates
        )
        if self.plan is None or plan.revision != self.plan.revision:
            log_event(
                "revision_in_force",
                instance=self.me.name,
                revision=plan.revision,
                digest=document.digest,
            )
        self.plan, self.ownership, self.serving = plan, ownership, serving
        self.reader = RequestReader(plan, self.key)
        links = document.by_kind["link"].values()
        self.shifts.update(plan.deployment, links)
        self._update_queues()
        self.generation += 1
        for queue in list(self.queues.values()):
            await queue.pump()

    def list_serving(self) -> dict[str, MemberRecord]:
        """List the instances that may own shards.

        :returns: records by name.
        """
        listed = {
            record.name: record
            for record in self.membership.list_serving()
            if record.name not in self.leaving
        }
        # The first plan counts this instance before its peers hear of it.
        if not self.draining and self.me.name not in self.leaving:
            listed[self.me.name] = self.membership.me
        return listed

    def _update_queues(self) -> None:
        now_s = self.clock.read()
        mine = {
            name: shard
            for name, shard in self.ownership.shards.items()
            if self.ownership.find_owner(shard) == self.me.name
        }
        for name, shard in mine.items():
            queue = self.queues.get(name)
            if queue is None:
                queue = ShardQueue(Dispatcher((), {}), self.clock)
                self.queues[name] = queue
                log_event("shard_owned", shard=name, instance=self.me.name)
            self._update_queue(queue, shard, now_s)
        for name in list(self.queues):
            if name not in mine:
                self._release_shard(name)
        self.shard_of = mine

    def _update_queue(
        self, queue: ShardQueue, shard: Shard, now_s: float
    ) -> None:
        service = self.plan.services[shard.service]
        dispatcher = queue.dispatcher
        ranks = tuple(self.plan.ranks.values())
        dispatcher.update(ranks, shard.endpoints, now_s, service.ramp_s)
        for endpoint in shard.endpoints:
            slots = dispatcher.slots[endpoint.name]
            slots.quota = self.plan.quotas[endpoint.name]
            slots.listed_leaving = endpoint.name in self.leaving

    def _release_shard(self, name: str) -> None:
        """Forget a shard that another instance owns, once it is idle."""
        if name in self.shard_of:
            log_event("shard_released", shard=name, instance=self.me.name)
        dispatcher = self.queues[name].dispatcher
        if not dispatcher.waiting and not dispatcher.in_flight:
            del self.queues[name]

    def restart_ramps(self) -> None:
        """Begin the ramp of all owned shards again after a pause."""
        now_s = self.clock.read()
        for queue in self.queues.values():
            for slots in queue.dispatcher.slots.values():
                slots.since_s = now_s

    def list_local(self, service: str) -> list[ShardQueue]:
        """List the queues of the service's shards that are owned here.

        :param service: name of the service.
        :returns: the queues.
        """
        return [
            self.queues[name]
            for name, shard in self.shard_of.items()
            if shard.service == service
        ]

    def find_budget(self, service: Service) -> RetryBudget:
        """Find the retry budget of a service.

        :param service: the service.
        :returns: its budget.
        """
        budget = self.budgets.get(service.name)
        if budget is None:
            budget = RetryBudget(service.retry_ratio)
            self.budgets[service.name] = budget
        budget.ratio = service.retry_ratio
        return budget

    def has_role(self, role: str, count: int) -> bool:
        """Tell whether this instance carries a role of its region.

        :param role: name of the role.
        :param count: how many instances carry it.
        :returns: whether this is one of them.
        """
        members = self.membership.list_serving()
        chosen = elect(members, self.me.region, role, count)
        return self.me.name in chosen

    def is_watcher(self) -> bool:
        """Tell whether this instance watches the store.

        :returns: whether it does.
        """
        deployment = self.plan.deployment if self.plan else DEFAULT_DEPLOYMENT
        return self.has_role(ROLE_WATCHER, deployment.watchers)

    def measure_headroom(self) -> tuple[ServiceHeadroom, ...]:
        """Measure the headroom of the shards owned here.

        :returns: headroom by service.
        """
        now_s = self.clock.read()
        free: dict[str, int] = {}
        usable: dict[str, int] = {}
        for name, shard in self.shard_of.items():
            dispatcher = self.queues[name].dispatcher
            slots = dispatcher.count_usable(now_s)
            spare = slots - dispatcher.in_flight - dispatcher.waiting
            service = shard.service
            free[service] = free.get(service, 0) + max(0, spare)
            usable[service] = usable.get(service, 0) + slots
        return tuple(
            ServiceHeadroom(service, free[service], usable[service])
            for service in sorted(free)
        )

    def make_reports(self, target: str) -> Reports:
        """Make the message that tells a peer of headroom.

        :param target: the peer's region.
        :returns: own headroom for the own region; the own region's
            report for another one, if this instance issues it.
        """
        headroom: tuple[ServiceHeadroom, ...] = ()
        regions: tuple[RegionReport, ...] = ()
        if target == self.me.region:
            headroom = self.measure_headroom()
        elif self._relays():
            regions = (self._add_up_region(),)
        return Reports(
            headroom, regions, self.listed_s, tuple(sorted(self.leaving))
        )

    def _add_up_region(self) -> RegionReport:
        now_s = self.clock.read()
        headroom = self.measure_headroom()
        self.book.record_owner(self.me.name, headroom, now_s)
        names = [record.name for record in self.membership.list_local()]
        return self.book.make_region_report(self.me.region, names, now_s)

    def _relays(self) -> bool:
        """Tell whether this instance alone informs its mesh."""
        return self.has_role(ROLE_BRIDGE, ISSUERS)

    def take_reports(
        self, peer: MemberRecord, reports: Reports
    ) -> Reports | None:
        """Take over what a peer reports.

        :param peer: the peer.
        :param reports: its message.
        :returns: what the own region has not seen yet, or None.
        """
        now_s = self.clock.read()
        if reports.headroom:
            self.book.record_owner(peer.name, reports.headroom, now_s)
        news = tuple(
            report
            for report in reports.regions
            if report.region != self.me.region
            and self.book.record_region(report, now_s)
        )
        changed = self.take_list(reports.listed_s, reports.leaving)
        if not news and not changed:
            return None
        if self.membership.is_mesh and not self._relays():
            return None
        leaving = tuple(sorted(self.leaving))
        return Reports((), news, self.listed_s, leaving)

    def take_list(self, listed_s: float, leaving: Iterable[str]) -> bool:
        """Take over the platform's list if it is newer.

        :param listed_s: time at which it was read.
        :param leaving: names that it marks as leaving.
        :returns: whether it changed anything.
        """
        if listed_s <= self.listed_s:
            return False
        self.listed_s = listed_s
        changed = frozenset(leaving) != self.leaving
        self.leaving = frozenset(leaving)
        self.list_changed |= changed
        return changed

    def count_spenders(self) -> dict[str, int]:
        """Count the instances of each region that may spend credits.

        :returns: for each region at least its planned instances.
        """
        now_s = self.clock.read()
        hold_s = self.plan.deployment.hold_down_s
        counts: dict[str, int] = {}
        for record in self.membership.records.values():
            dead_s = self.membership.dead_s.get(record.name)
            if dead_s is None or now_s - dead_s < hold_s:
                counts[record.region] = counts.get(record.region, 0) + 1
        for region in self.plan.document.by_kind["region"].values():
            counts[region.name] = max(
                region.instances, counts.get(region.name, 0)
            )
        return counts
