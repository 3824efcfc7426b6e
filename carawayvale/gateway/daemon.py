"""The tasks of one gateway instance, from start to planned stop."""

from collections.abc import Callable
from dataclasses import replace

import curio

from carawayvale.catalogue.header_names import HeaderNames
from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.source import Source
from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import Clock
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.change_feed import ChangeFeed
from carawayvale.gateway.forwarding import OwnerHandler
from carawayvale.gateway.gateway_node import GatewayNode
from carawayvale.gateway.page_handlers import LookupHandler
from carawayvale.gateway.page_handlers import MetricsHandler
from carawayvale.gateway.page_handlers import ReadinessHandler
from carawayvale.gateway.proxy_handler import ProxyHandler
from carawayvale.gateway.registration import Registration
from carawayvale.gateway.server import Handler
from carawayvale.gateway.server import ServerLimits
from carawayvale.gateway.settings import GatewaySettings
from carawayvale.links.document_replica import DocumentReplica
from carawayvale.links import handlers  # noqa: F401 registers handlers
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.links.membership import Membership
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import MemberState
from carawayvale.links.messages import Reports
from carawayvale.links.peers import PeerCallbacks
from carawayvale.links.peers import PeerTable
from carawayvale.machines.incarnation import make_incarnation
from carawayvale.platform.store_client import PlatformStore
from carawayvale.telemetry.logs import log_event

STORE_TIMEOUT_S = 1.0
TICK_S = 0.1
STOP_POLL_S = 0.05

# Callers may keep a look-up for three times the time that it names.
LOOKUP_TAIL_S = 3.2
STOP_MARGIN_S = 0.6


class GatewayDaemon:
    """One gateway instance.

    :param settings: settings of the process.
    :param dialect: names of headers.
    :param source: decodes the items of the store.
    :param key: the deployment's key for links between instances.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: HeaderNames,
        source: Source,
        key: bytes,
    ):
        self.settings = settings
        clock = Clock()
        me = MemberRecord(
            settings.name,
            settings.region,
            settings.domain,
            settings.callers,
            settings.peers,
            make_incarnation(),
            state=MemberState.IDLE,
        )
        membership = Membership(me, clock.read())
        self.node = GatewayNode(settings, dialect, source, membership)
        self.peers = PeerTable(
            key,
            settings.seeds,
            clock,
            None,
            membership,
            DocumentReplica(),
            PeerCallbacks(
                self._on_members,
                self._on_document,
                self._make_reports,
                self._take_reports,
            ),
        )
        self.store = PlatformStore(settings.store, STORE_TIMEOUT_S)
        self.feed = ChangeFeed(self.store, self.peers, self._on_items)
        self.registration = Registration(self.store, settings)
        self.callers = ServerLimits(ProxyHandler(self.node).handle)
        self.internal = ServerLimits(OwnerHandler(self.node).handle)
        self.listeners: dict[ServerLimits, Listener] = {}
        self.stop_wanted = curio.Event()

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        settings = self.settings
        callers = open_listener(settings.callers)
        internal = open_listener(settings.internal)
        self.listeners = {
            self.callers: Listener(callers, self.callers.serve),
            self.internal: Listener(internal, self.internal.serve),
        }
        listeners = [
            *self.listeners.values(),
            Listener(open_listener(settings.peers), self.peers.accept),
            self._open(settings.lookups, LookupHandler(self.node).handle),
            self._open(settings.readiness, ReadinessHandler(self.node).handle),
            self._open(
                settings.metrics, MetricsHandler(self.node, self.feed).handle
            ),
        ]
        tasks: list[Callable] = [listener.run for listener in listeners]
        tasks += [
            self.peers.run,
            self.feed.run,
            self.registration.run,
            self._tick_always,
            self._stop_when_asked,
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
            raise group.completed.exception
        log_event("gateway_stopped", instance=settings.name)

    async def reload(self, settings: GatewaySettings) -> None:
        """Take over changed settings, as far as a running process can.

        :param settings: the new settings, already checked.
        """
        old = self.node.settings
        merged = replace(old, bounds=settings.bounds, seeds=settings.seeds)
        self.node.settings = self.settings = merged
        log_event(
            "settings_reloaded",
            changed=merged != old,
            needs_restart=merged != settings,
        )

    def _open(self, address: Address, handle: Handler) -> Listener:
        return Listener(open_listener(address), ServerLimits(handle).serve)

    async def stop(self) -> None:
        """Ask for a planned stop."""
        await self.stop_wanted.set()

    async def _on_items(
        self, items: list[StoredItem], fresh_s: float
    ) -> list[StoredItem]:
        node = self.node
        told = node.take_items(items, fresh_s)
        configuration = node.catalogue.configuration
        if configuration is not None:
            self.callers.limits = configuration.limits
            if not node.leaving:
                await self._join()
        self._take_seeds()
        await node.settle_owned()
        return told

    def _take_seeds(self) -> None:
        """Dial the instances that the store names, new ones at once."""
        live = set(self.node.keeper.instances.values())
        seeds = live | set(self.settings.seeds)
        if not seeds <= set(self.peers.seeds):
            self.peers.last_redial_s = 0.0
        self.peers.seeds = tuple(seeds)

    async def _join(self) -> None:
        membership = self.node.membership
        if membership.me.state is MemberState.IDLE:
            membership.join()
            log_event("instance_ready", instance=self.settings.name)
            await self.peers.update_neighbours()

    async def _on_members(self) -> None:
        self.node.members_changed_s = read_boot_clock()
        self.node.assign()
        self.node.abort_forwards()

    async def _on_document(self) -> None:
        """There is no document of the product's own on the platform."""

    def _make_reports(self, region: str) -> Reports:
        return Reports((), (), 0.0, ())

    def _take_reports(self, peer: MemberRecord, reports: Reports) -> None:
        return None

    async def _tick_always(self) -> None:
        while True:
            await curio.sleep(TICK_S)
            self.node.refresh()
            if self.node.released:
                await self.node.settle_owned()
            now_s = read_boot_clock()
            for owned in list(self.node.owned.values()):
                if owned.needs_check(now_s):
                    owned.checked_s = now_s
                    await curio.spawn(owned.check, daemon=True)

    async def _stop_when_asked(self) -> None:
        await self.stop_wanted.wait()
        node = self.node
        began_s = read_boot_clock()
        log_event("stop_requested", instance=self.settings.name)
        node.leaving = True
        node.membership.leave()
        await self.peers.update_neighbours()
        await self.peers.send_updates()
        self.callers.closing = True
        await curio.sleep(LOOKUP_TAIL_S)
        last_s = began_s + self.settings.bounds.grace_s - STOP_MARGIN_S
        await self._finish_requests(self.callers, last_s)
        await self._finish_requests(self.internal, last_s)
        await self.peers.announce_departure()
        await curio.sleep(STOP_POLL_S)

    async def _finish_requests(
        self, port: ServerLimits, last_s: float
    ) -> None:
        """Take no further request at a port and wait for those it has."""
        await self.listeners[port].stop()
        await port.stop()
        while port.open_requests and read_boot_clock() < last_s:
            await curio.sleep(STOP_POLL_S)
