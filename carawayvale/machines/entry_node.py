"""Shared state of one entry instance: plan, ownership, queues, members."""

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
from carawayvale.links.document_messages import RegionReport
from carawayvale.links.document_messages import Reports
from carawayvale.links.document_messages import ServiceHeadroom
from carawayvale.links.document_replica import DocumentReplica
from carawayvale.links.membership import Membership
from carawayvale.links.messages import MemberRecord
from carawayvale.links.tls import TlsContexts
from carawayvale.links.topology import elect
from carawayvale.links.topology import ROLE_BRIDGE
from carawayvale.links.topology import ROLE_WATCHER
from carawayvale.machines.caller_request import CallerRequestParser
from carawayvale.machines.dispatcher import Dispatcher
from carawayvale.machines.shard_queue import ShardQueue
from carawayvale.telemetry.logs import log_event
from carawayvale.telemetry.metrics import Metrics
from carawayvale.telemetry.traces import Tracing
from carawayvale.zones.credits import ShiftCreditTable
from carawayvale.zones.headroom import HeadroomTable
from carawayvale.zones.owner_table import assign_owners
from carawayvale.zones.owner_table import EMPTY_OWNERSHIP
from carawayvale.zones.owner_table import Ownership
from carawayvale.zones.plan import DEFAULT_DEPLOYMENT
from carawayvale.zones.plan import make_plan
from carawayvale.zones.plan import RoutingPlan
from carawayvale.zones.shards import Candidate
from carawayvale.zones.shards import Shard

# Only the first elected bridge reports its region to other regions. In a
# full mesh, it alone relays their reports.
REPORTERS_PER_REGION = 1


@dataclass
class EntryNode:
    """State that the tasks of one instance share.

    :param settings: settings of the process.
    :param key: the deployment's key.
    :param own_record: member record of this instance.
    :param clock: clock of the process.
    :param tls: TLS contexts for connections with other instances.
    :param document_replica: the instance's copy of the document.
    :param metrics: metrics of the process.
    :param retry_detector: recognises callers' retries.
    :param queues: queues by shard name, including those of shards that
        are no longer owned but not yet idle.
    :param owned_shards: shards that this instance owns by name.
    :param budgets: retry budgets by service name.
    :param leaving: names of the entry instances and endpoints that the
        platform lists as leaving.
    :param list_read_s: time at which the platform's list was read.
    :param list_changed: whether the list changed since the last plan
        update was requested.
    :param plan: routing plan of the document in force, or None.
    :param request_parser: parser of requests under the plan, or None.
    :param ownership: owners of all shards.
    :param serving: instances that may own shards, by name.
    :param in_flight: number of requests in progress.
    :param plan_generation: number of plan updates.
    :param draining: whether the instance is draining.
    """

    settings: EntrySettings
    key: bytes
    own_record: MemberRecord
    clock: Clock
    tls: TlsContexts = TlsContexts()
    document_replica: DocumentReplica = field(default_factory=DocumentReplica)
    metrics: Metrics = field(default_factory=Metrics)
    retry_detector: RetryDetector = field(default_factory=RetryDetector)
    queues: dict[str, ShardQueue] = field(default_factory=dict)
    owned_shards: dict[str, Shard] = field(default_factory=dict)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()
    list_read_s: float = 0.0
    list_changed: bool = False
    plan: RoutingPlan | None = None
    request_parser: CallerRequestParser | None = None
    ownership: Ownership = EMPTY_OWNERSHIP
    serving: dict[str, MemberRecord] = field(default_factory=dict)
    in_flight: int = 0
    plan_generation: int = 0
    draining: bool = False

    def __post_init__(self):
        start_s = self.clock.read()
        self.headroom_table = HeadroomTable(start_s)
        self.membership = Membership(self.own_record, start_s)
        self.ledger = TicketLedger(
            self.own_record.name, self.own_record.incarnation
        )
        self.tracing = Tracing(self.own_record.name, self.settings.trace_ratio)
        self.pools = ConnectionPools()
        self.peer_pools = ConnectionPools(self.tls.client)
        self.shift_credits = ShiftCreditTable(DEFAULT_DEPLOYMENT)
        self.random = random.Random(self.own_record.incarnation)

    @property
    def is_ready(self) -> bool:
        """Whether the instance has a plan and can serve requests."""
        return self.plan is not None

    async def update_plan(self) -> None:
        """Compute plan and ownership from the document and the members."""
        document = self.document_replica.document
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
                instance=self.own_record.name,
                revision=plan.revision,
                digest=document.digest,
            )
        self.plan, self.ownership, self.serving = plan, ownership, serving
        self.request_parser = CallerRequestParser(plan, self.key)
        links = document.by_kind["link"].values()
        self.shift_credits.update(plan.deployment, links)
        self._update_queues()
        self.plan_generation += 1
        for queue in list(self.queues.values()):
            await queue.dispatch()

    def list_serving(self) -> dict[str, MemberRecord]:
        """List the instances that may own shards.

        :returns: member records by name.
        """
        listed = {
            record.name: record
            for record in self.membership.list_serving()
            if record.name not in self.leaving
        }
        # The first plan includes this instance, which announces itself to
        # its peers only afterwards.
        if not self.draining and self.own_record.name not in self.leaving:
            listed[self.own_record.name] = self.membership.own_record
        return listed

    def _update_queues(self) -> None:
        now_s = self.clock.read()
        owned = {
            name: shard
            for name, shard in self.ownership.shards.items()
            if self.ownership.find_owner(shard) == self.own_record.name
        }
        for name, shard in owned.items():
            queue = self.queues.get(name)
            if queue is None:
                queue = ShardQueue(Dispatcher((), {}), self.clock)
                self.queues[name] = queue
                log_event(
                    "shard_owned", shard=name, instance=self.own_record.name
                )
            self._update_queue(queue, shard, now_s)
        for name in list(self.queues):
            if name not in owned:
                self._release_shard(name)
        self.owned_shards = owned

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
        """Delete the queue of a shard that is no longer owned, once idle."""
        if name in self.owned_shards:
            log_event(
                "shard_released", shard=name, instance=self.own_record.name
            )
        dispatcher = self.queues[name].dispatcher
        if not dispatcher.waiting and not dispatcher.in_flight:
            del self.queues[name]

    def restart_ramps(self) -> None:
        """Restart the ramp-up of endpoints after a pause of the process."""
        now_s = self.clock.read()
        for queue in self.queues.values():
            for slots in queue.dispatcher.slots.values():
                slots.ramp_start_s = now_s

    def list_local_queues(self, service: str) -> list[ShardQueue]:
        """List the queues of a service's shards that this instance owns.

        :param service: name of the service.
        :returns: the queues.
        """
        return [
            self.queues[name]
            for name, shard in self.owned_shards.items()
            if shard.service == service
        ]

    def find_retry_budget(self, service: Service) -> RetryBudget:
        """Find the retry budget of a service.

        :param service: the service.
        :returns: the retry budget.
        """
        budget = self.budgets.get(service.name)
        if budget is None:
            budget = RetryBudget(service.retry_ratio)
            self.budgets[service.name] = budget
        budget.ratio = service.retry_ratio
        return budget

    def has_role(self, role: str, count: int) -> bool:
        """Check whether this instance is elected to a role in its region.

        :param role: name of the role.
        :param count: number of instances with the role.
        :returns: whether this instance is one of them.
        """
        members = self.membership.list_serving()
        chosen = elect(members, self.own_record.region, role, count)
        return self.own_record.name in chosen

    def is_watcher(self) -> bool:
        """Check whether this instance is elected to watch the store.

        :returns: whether it is one of the region's watchers.
        """
        deployment = self.plan.deployment if self.plan else DEFAULT_DEPLOYMENT
        return self.has_role(ROLE_WATCHER, deployment.watchers)

    def measure_headroom(self) -> tuple[ServiceHeadroom, ...]:
        """Measure the headroom of the shards that this instance owns.

        :returns: the headroom of each service.
        """
        now_s = self.clock.read()
        free: dict[str, int] = {}
        usable: dict[str, int] = {}
        for name, shard in self.owned_shards.items():
            dispatcher = self.queues[name].dispatcher
            slots = dispatcher.count_usable(now_s)
            free_slots = slots - dispatcher.in_flight - dispatcher.waiting
            service = shard.service
            free[service] = free.get(service, 0) + max(0, free_slots)
            usable[service] = usable.get(service, 0) + slots
        return tuple(
            ServiceHeadroom(service, free[service], usable[service])
            for service in sorted(free)
        )

    def make_reports(self, target: str) -> Reports:
        """Make the headroom report for a peer.

        :param target: region of the peer.
        :returns: for a peer in the same region, the headroom of this
            instance; for a peer in another region, the report of the whole
            region if this instance is the one that reports it.
        """
        headroom: tuple[ServiceHeadroom, ...] = ()
        regions: tuple[RegionReport, ...] = ()
        if target == self.own_record.region:
            headroom = self.measure_headroom()
        elif self._is_reporter():
            regions = (self._sum_region_headroom(),)
        return Reports(
            headroom, regions, self.list_read_s, tuple(sorted(self.leaving))
        )

    def _sum_region_headroom(self) -> RegionReport:
        now_s = self.clock.read()
        headroom = self.measure_headroom()
        self.headroom_table.record_owner(self.own_record.name, headroom, now_s)
        names = [record.name for record in self.membership.list_local()]
        return self.headroom_table.make_region_report(
            self.own_record.region, names, now_s
        )

    def _is_reporter(self) -> bool:
        """Check whether this instance reports its region to others."""
        return self.has_role(ROLE_BRIDGE, REPORTERS_PER_REGION)

    def merge_reports(
        self, peer: MemberRecord, reports: Reports
    ) -> Reports | None:
        """Merge the reports of a peer.

        :param peer: member record of the peer.
        :param reports: message of the peer.
        :returns: the new reports to relay within the region of this
            instance, or None if there are none or another instance relays
            them.
        """
        now_s = self.clock.read()
        if reports.headroom:
            self.headroom_table.record_owner(
                peer.name, reports.headroom, now_s
            )
        new_reports = tuple(
            report
            for report in reports.regions
            if report.region != self.own_record.region
            and self.headroom_table.record_region(report, now_s)
        )
        changed = self.merge_platform_list(reports.listed_s, reports.leaving)
        if not new_reports and not changed:
            return None
        if self.membership.is_full_mesh and not self._is_reporter():
            return None
        leaving = tuple(sorted(self.leaving))
        return Reports((), new_reports, self.list_read_s, leaving)

    def merge_platform_list(
        self, listed_s: float, leaving: Iterable[str]
    ) -> bool:
        """Merge the platform's list of instances if it is newer.

        :param listed_s: time at which the list was read.
        :param leaving: names of the instances and endpoints that the list
            marks as leaving.
        :returns: whether the set of leaving names changed.
        """
        if listed_s <= self.list_read_s:
            return False
        self.list_read_s = listed_s
        changed = frozenset(leaving) != self.leaving
        self.leaving = frozenset(leaving)
        self.list_changed |= changed
        return changed

    def count_credit_spenders(self) -> dict[str, int]:
        """Count the instances of each region that may spend shift credits.

        Members that died less than ``hold_down_s`` ago are included.

        :returns: number of instances by region, at least the number that
            the document plans for the region.
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
