"""Start, run and stop the tasks of one gateway instance."""

from collections.abc import Callable
from dataclasses import replace

import curio

from carawayvale.capacity.weights import Capacity
from carawayvale.capacity.weights import InstanceWeights
from carawayvale.catalogue.header_names import HeaderNames
from carawayvale.catalogue.records import RequestLimits
from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.source import Source
from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import Clock
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.age_reports import AgeReports
from carawayvale.gateway.body_memory import BodyMemory
from carawayvale.gateway.body_memory import CALLER_BODIES_SHARE
from carawayvale.gateway.body_memory import CALLER_STALL_S
from carawayvale.gateway.body_memory import OWNER_BODIES_SHARE
from carawayvale.gateway.change_feed import ChangeFeed
from carawayvale.gateway.crash_store import CrashStore
from carawayvale.gateway.feed_notices import FeedNotices
from carawayvale.gateway.forwarding import limit_forwards
from carawayvale.gateway.forwarding import OwnerHandler
from carawayvale.gateway.gateway_node import GatewayNode
from carawayvale.gateway.load_monitor import LoadMonitor
from carawayvale.gateway.observer import format_ms
from carawayvale.gateway.page_handlers import LookupHandler
from carawayvale.gateway.page_handlers import MetricsHandler
from carawayvale.gateway.page_handlers import ReadinessHandler
from carawayvale.gateway.process_memory import map_large_blocks
from carawayvale.gateway.proxy_handler import ProxyHandler
from carawayvale.gateway.reachability_monitor import ReachabilityMonitor
from carawayvale.gateway.registration import Registration
from carawayvale.gateway.response_memory import OWNER_RESPONSES_SHARE
from carawayvale.gateway.response_memory import OWNER_STALL_S
from carawayvale.gateway.response_memory import ResponseMemory
from carawayvale.gateway.server import HandleRequest
from carawayvale.gateway.server import RequestServer
from carawayvale.gateway.settings import GatewaySettings
from carawayvale.links import handlers  # noqa: F401 registers handlers
from carawayvale.links.listener import Listener
from carawayvale.links.listener import MAX_CONNECTIONS
from carawayvale.links.listener import open_listener
from carawayvale.links.membership import HEARTBEAT_TIMEOUT_S
from carawayvale.links.membership import Membership
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import MemberState
from carawayvale.links.peers import PeerCallbacks
from carawayvale.links.peers import PeerTable
from carawayvale.machines.incarnation import make_incarnation
from carawayvale.platform.store_client import StoreClient
from carawayvale.steering.planned_stops import plan_stop
from carawayvale.steering.planned_stops import PlannedStop
from carawayvale.telemetry.logs import format_place
from carawayvale.telemetry.logs import log_event

STORE_TIMEOUT_S = 1.0
TICK_INTERVAL_S = 0.1
STOP_POLL_S = 0.05

# Longest wait of a caller's body for memory before it is refused, so that
# its caller can try another instance.
MEMORY_WAIT_S = 0.5

# The same for a body from another instance. Two instances that wait for
# each other's memory end their waits after this time.
OWNER_MEMORY_WAIT_S = 10.0

# Size by which the head of a forwarded request may exceed that of callers.
FORWARD_HEADER_BYTES = 4096

# Fractions of the descriptors of the process that connections of callers,
# and of other instances, may take; endpoints and links use the rest.
CALLER_FILES_SHARE = 0.6
OWNER_FILES_SHARE = 0.2

# Limits of look-ups, readiness checks and requests for metrics.
PAGE_LIMITS = RequestLimits(header_bytes=1 << 13, body_bytes=1 << 10)

# Callers may keep a look-up for up to three times its time to live.
LOOKUP_EXPIRY_S = 3.2

# Interval at which owners are told which requests a stop wants back. It is
# repeated, since a request may reach its owner after the first message.
LIMIT_INTERVAL_S = 0.5


class GatewayDaemon:
    """One gateway instance with its servers, links and tasks.

    :param settings: settings of the process.
    :param header_names: names of HTTP headers.
    :param source: decodes the items of the store.
    :param key: the deployment's key for links between instances.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        header_names: HeaderNames,
        source: Source,
        key: bytes,
    ):
        self.settings = settings
        clock = Clock()
        own_record = MemberRecord(
            settings.name,
            settings.region,
            settings.domain,
            settings.callers,
            settings.peers,
            make_incarnation(),
            state=MemberState.IDLE,
        )
        membership = Membership(own_record, clock.read())
        self.node = GatewayNode(settings, header_names, source, membership)
        self.peers = PeerTable(
            key,
            settings.seeds,
            clock,
            None,
            membership,
            None,
            PeerCallbacks(self._handle_member_change),
        )
        self.node.crash_reports.attach(self.peers)
        self.store = StoreClient(settings.store, STORE_TIMEOUT_S)
        self.age_reports = AgeReports(
            self.node.configuration_age,
            self.peers,
            lambda: self.node.has_organisations,
        )
        self.change_feed = ChangeFeed(
            self.store,
            self.peers,
            self._apply_items,
            self.age_reports,
            self.node.builder.outages,
        )
        self.registration = Registration(self.store, settings)
        self.crash_store = CrashStore(self.store, self.node.crash_reports)
        self.reachability_monitor = ReachabilityMonitor(self.node, self.peers)
        self.load_monitor = LoadMonitor(
            self.node.observer, self.node.own_delay
        )
        proxy_handler = ProxyHandler(self.node)
        memory = self.node.memory
        self.caller_server = RequestServer(
            proxy_handler.handle,
            find_timeout=proxy_handler.find_timeout,
            body_memory=BodyMemory(
                memory.find_share(CALLER_BODIES_SHARE),
                memory,
                CALLER_STALL_S,
            ),
            memory_wait_s=MEMORY_WAIT_S,
            response_memory=ResponseMemory(memory),
            max_head_lines=settings.max_head_lines,
        )
        # Bodies that another instance has accepted wait longer; those here
        # end by themselves.
        self.internal_server = RequestServer(
            OwnerHandler(self.node).handle,
            body_memory=BodyMemory(
                memory.find_share(OWNER_BODIES_SHARE), memory
            ),
            memory_wait_s=OWNER_MEMORY_WAIT_S,
            response_memory=ResponseMemory(
                memory, OWNER_RESPONSES_SHARE, OWNER_STALL_S
            ),
        )
        self.listeners: dict[RequestServer, Listener] = {}
        self.stop_requested = curio.Event()
        self.listed_instances: dict[str, Address] = {}
        self.listed_seeds = settings.seeds
        self.listed_capacities: dict[str, Capacity] = {}

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        settings = self.settings
        map_large_blocks()
        caller_socket = open_listener(settings.callers)
        internal_socket = open_listener(settings.internal)
        self.listeners = {
            self.caller_server: Listener(
                caller_socket,
                self.caller_server.serve,
                self._find_limit(CALLER_FILES_SHARE),
            ),
            self.internal_server: Listener(
                internal_socket,
                self.internal_server.serve,
                self._find_limit(OWNER_FILES_SHARE),
            ),
        }
        listeners = [
            *self.listeners.values(),
            Listener(open_listener(settings.peers), self.peers.accept),
            self._make_listener(
                settings.lookups, LookupHandler(self.node).handle
            ),
            self._make_listener(
                settings.readiness, ReadinessHandler(self.node).handle
            ),
            self._make_listener(
                settings.metrics,
                MetricsHandler(self.node, self.change_feed).handle,
            ),
        ]
        tasks: list[Callable] = [listener.run for listener in listeners]
        tasks += [
            self.peers.run,
            self.change_feed.run,
            FeedNotices(self.change_feed).run,
            self.age_reports.run,
            self.registration.run,
            self.crash_store.run,
            self.reachability_monitor.run,
            self._tick,
            self._stop_when_requested,
        ]
        log_event(
            "gateway_started",
            instance=settings.name,
            callers=settings.callers,
            store=settings.store,
            metrics=settings.metrics,
        )
        async with curio.TaskGroup(wait=any) as group:
            for task in tasks:
                await group.spawn(task)
        if group.completed is not None and group.completed.exception:
            error = group.completed.exception
            log_event(
                "gateway_failed",
                "ERROR",
                task=group.completed.name,
                cause=repr(error),
                place=format_place(error),
            )
            raise error
        log_event("gateway_stopped", instance=settings.name)

    async def reload(self, settings: GatewaySettings) -> None:
        """Apply the changed settings that need no restart.

        :param settings: the new settings, already validated.
        """
        old = self.node.settings
        merged = replace(old, bounds=settings.bounds, seeds=settings.seeds)
        self.node.settings = self.settings = merged
        log_event(
            "settings_reloaded",
            changed=merged != old,
            needs_restart=merged != settings,
        )

    def _find_limit(self, share: float) -> int:
        """Find how many connections a port may have."""
        return min(MAX_CONNECTIONS, int(self.settings.max_files * share))

    def _make_listener(
        self, address: Address, handle: HandleRequest
    ) -> Listener:
        """Make the listener of a port whose requests have no bodies."""
        server = RequestServer(handle, PAGE_LIMITS)
        return Listener(open_listener(address), server.serve)

    async def stop(self) -> None:
        """Request a planned stop."""
        await self.stop_requested.set()

    async def _apply_items(
        self, items: list[StoredItem], confirmed_s: float
    ) -> list[StoredItem]:
        node = self.node
        to_publish = node.apply_items(items, confirmed_s)
        updates = node.builder.take_crash_updates()
        node.has_read_all = node.has_read_all or self.change_feed.complete
        await node.crash_reports.apply_stored(updates)
        configuration = node.catalogue.configuration
        if configuration is not None:
            self.caller_server.limits = configuration.limits
            self.internal_server.limits = replace(
                self.internal_server.limits,
                header_bytes=configuration.limits.header_bytes
                + FORWARD_HEADER_BYTES,
            )
            if node.is_ready:
                await self._join()
        self._update_seeds()
        await self._update_weights()
        await node.reconcile_owned()
        return to_publish

    def _update_seeds(self) -> None:
        """Connect to the instances in the store, to new ones at once."""
        instances = self.node.builder.instances
        seeds = self.settings.seeds
        if (instances, seeds) == (self.listed_instances, self.listed_seeds):
            return
        known = set(self.peers.seeds)
        self.listed_instances, self.listed_seeds = dict(instances), seeds
        self.peers.seeds = tuple(set(instances.values()) | set(seeds))
        if not known.issuperset(self.peers.seeds):
            self.peers.last_redial_s = 0.0

    async def _update_weights(self) -> None:
        """Apply changed capacities of instances."""
        capacities = self.node.builder.capacities
        if capacities == self.listed_capacities:
            return
        self.listed_capacities = dict(capacities)
        self.node.membership.set_weights(InstanceWeights(capacities))
        await self.peers.update_neighbours()

    async def _join(self) -> None:
        """Become a serving member, once there is a configuration.

        An instance that is partitioned from all endpoints does not join.
        """
        if self.node.reachability.is_partitioned:
            return
        membership = self.node.membership
        if membership.own_record.state is MemberState.IDLE:
            membership.join()
            log_event("instance_ready", instance=self.settings.name)
            await self.peers.update_neighbours()

    async def _handle_member_change(self) -> None:
        self.node.record_member_change(read_boot_clock())
        self.node.abort_forwards()

    async def _tick(self) -> None:
        """Regularly update derived state and start the checks that are due."""
        while True:
            due_s = read_boot_clock() + TICK_INTERVAL_S
            await curio.sleep(TICK_INTERVAL_S)
            now_s = read_boot_clock()
            self.load_monitor.sample(now_s - due_s, now_s)
            self._allow_for_own_delay()
            self.node.refresh()
            await self.node.quotas.reconcile()
            if self.node.released:
                await self.node.reconcile_owned()
            if self.node.reachability.is_partitioned:
                continue
            now_s = read_boot_clock()
            for owned in list(self.node.owned.values()):
                if owned.needs_check(now_s):
                    owned.checked_s = now_s
                    await curio.spawn(owned.check, daemon=True)

    def _allow_for_own_delay(self) -> None:
        """Give others more time while this instance itself is behind."""
        since_s = read_boot_clock() - HEARTBEAT_TIMEOUT_S
        behind = self.node.own_delay.was_behind(since_s)
        self.node.membership.allowance_s = (
            HEARTBEAT_TIMEOUT_S if behind else 0.0
        )

    async def _stop_when_requested(self) -> None:
        """Complete a planned stop after it is requested.

        The instance first announces that it is leaving, so that new
        look-ups no longer name it. It accepts requests until earlier
        look-ups have expired, and finishes those that can be finished
        before the end of the stop; it refuses the others at once.
        """
        await self.stop_requested.wait()
        node = self.node
        stop = plan_stop(read_boot_clock(), self.settings.bounds.grace_s)
        log_event("stop_requested", instance=self.settings.name)
        node.stop = stop
        node.membership.leave()
        await self.peers.update_neighbours()
        await self.peers.send_updates()
        await node.quotas.reconcile()
        self.caller_server.closing = True
        await curio.spawn(self._limit_requests, stop, daemon=True)
        await curio.sleep(LOOKUP_EXPIRY_S)
        self._log_stop_phase("close_callers", stop.end_s)
        await self._finish_requests(self.caller_server, stop.end_s)
        await self.caller_server.fail_open_requests()
        self._log_stop_phase("close_internal", stop.end_s)
        await self._finish_requests(self.internal_server, stop.end_s)
        self._log_stop_phase("depart", stop.end_s)
        await self.peers.announce_departure()
        await curio.sleep(STOP_POLL_S)

    async def _limit_requests(self, stop: PlannedStop) -> None:
        """Make the requests in progress end before the stop does.

        Those that wait for a slot, here or at another owner, and cannot
        finish in time are refused as soon as that is known.
        """
        while read_boot_clock() < stop.end_s:
            await self.node.limit_waiting(stop.end_s)
            await limit_forwards(self.node, stop.end_s)
            await curio.sleep(LIMIT_INTERVAL_S)

    def _log_stop_phase(self, phase: str, deadline_s: float) -> None:
        """Log the requests in progress when a phase of the stop begins."""
        log_event(
            "stop_phase",
            phase=phase,
            callers=self.caller_server.open_requests,
            forwarded=self.internal_server.open_requests,
            left_ms=format_ms(deadline_s - read_boot_clock()),
        )

    async def _finish_requests(
        self, server: RequestServer, deadline_s: float
    ) -> None:
        """Stop accepting requests and wait for those in progress."""
        await self.listeners[server].stop()
        await server.stop()
        # Requests that have arrived are read in the first interval.
        await curio.sleep(STOP_POLL_S)
        while not server.is_finished and read_boot_clock() < deadline_s:
            await curio.sleep(STOP_POLL_S)
