"""The tasks of one entry instance, from start to planned stop."""

from collections.abc import Awaitable
from collections.abc import Callable
import gc

import curio

from carawayvale.contracts.clock import Clock
from carawayvale.contracts.settings import EntrySettings
from carawayvale.documents.document_updater import DocumentUpdater
from carawayvale.documents.store import make_store
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import MemberState
from carawayvale.links.peers import PeerHooks
from carawayvale.links.peers import PeerTable
from carawayvale.links.tls import load_tls
from carawayvale.machines.caller_port import CallerPort
from carawayvale.machines.incarnation import make_incarnation
from carawayvale.machines.node import Node
from carawayvale.machines.operator_port import OperatorPort
from carawayvale.machines.prober import Prober
from carawayvale.telemetry.logs import log_event

PUMP_S = 0.05
DRAIN_POLL_S = 0.05
DRAIN_MARGIN_S = 1.0
GOODBYE_S = 0.5


def settle_memory() -> None:
    """Exempt all present objects from garbage collection.

    A full collection would visit every section of a large document and
    stall the event loop. Objects without cycles, as sections are, are
    still freed when they are replaced.
    """
    gc.collect()
    gc.freeze()


class EntryInstance:
    """One entry instance.

    :param settings: the process's settings.
    :param key: the deployment's key.
    """

    def __init__(self, settings: EntrySettings, key: bytes):
        self.settings = settings
        self.key = key
        self.plan_wanted = curio.Event()
        self.drain_wanted = curio.Event()
        self.drain_s = 0.0
        self.waited_for = ""

    async def run(self) -> None:
        """Serve until a planned stop is complete or it is cancelled."""
        self._open()
        tasks: list[Callable[[], Awaitable[None]]] = [
            self.caller_listener.run,
            self.peer_listener.run,
            self.operator_listener.run,
            self.peers.run,
            self.watcher.run,
            self.watcher.poll_instance_list,
            self.prober.run,
            self._plan_always,
            self._pump_always,
        ]
        log_event(
            "entry_started",
            instance=self.settings.name,
            callers=self.node.me.callers,
            peers=self.node.me.peers,
            operators=self.operator_listener.address,
            incarnation=self.node.me.incarnation,
        )
        async with curio.TaskGroup(wait=any) as group:
            for task in tasks:
                await group.spawn(task)
            await group.spawn(self._drain_when_asked)
        if group.completed is not None and group.completed.exception:
            raise group.completed.exception
        await self.node.pools.keep_only(set())
        await self.node.peer_pools.keep_only(set())
        log_event(
            "entry_stopped",
            instance=self.settings.name,
            drain_s=self.drain_s,
            waited_for=self.waited_for or "nothing",
        )

    def _open(self) -> None:
        settings = self.settings
        caller_sock = open_listener(settings.callers)
        peer_sock = open_listener(settings.peers)
        operator_sock = open_listener(settings.operators)
        tls = load_tls(settings)
        self.peer_listener = Listener(
            peer_sock, self._accept_peer, ssl=tls.server
        )
        callers = Listener(caller_sock, self._accept_caller, ssl=tls.server)
        self.caller_listener = callers
        me = MemberRecord(
            settings.name,
            settings.region,
            settings.domain,
            callers.address,
            self.peer_listener.address,
            make_incarnation(),
            state=MemberState.IDLE,
        )
        node = Node(settings, self.key, me, Clock(), tls)
        self.node = node
        self.caller_port = CallerPort(node)
        self.peers = PeerTable(
            self.key,
            settings.seeds,
            node.clock,
            node.tls.client,
            node.membership,
            node.keeper,
            PeerHooks(
                self.plan_wanted.set,
                self._on_document,
                node.make_reports,
                node.take_reports,
            ),
        )
        self.watcher = DocumentUpdater(
            make_store(settings.store_kind, settings.store),
            node.keeper,
            settings.store_read_s,
            node.is_watcher,
            self._on_document,
            self._on_list,
            me.incarnation,
        )
        self.prober = Prober(node)
        port = OperatorPort(node, self.peers, self.watcher, self.drain)
        self.operator_listener = Listener(operator_sock, port.handle)

    async def _accept_peer(self, sock: curio.io.Socket) -> None:
        await self.peers.accept(sock)

    async def _accept_caller(self, sock: curio.io.Socket) -> None:
        await self.caller_port.handle(sock)

    async def _on_document(self) -> None:
        await self.plan_wanted.set()
        await self.peers.send_heartbeats()

    async def _on_list(self, leaving: tuple[str, ...]) -> None:
        self.node.take_list(self.node.clock.read(), leaving)

    async def _plan_always(self) -> None:
        while True:
            await self.plan_wanted.wait()
            self.plan_wanted.clear()
            was_ready = self.node.is_ready
            await self.node.replan()
            if self.node.is_ready and not was_ready:
                settle_memory()
                if not self.node.draining:
                    self.node.membership.join()
                    await self.peers.settle()

    async def _pump_always(self) -> None:
        """Do what only the passing of time makes possible."""
        node = self.node
        pauses = node.membership.pauses
        while True:
            await curio.sleep(PUMP_S)
            if node.plan is None:
                continue
            now_s = node.clock.read()
            if node.shifts.has_expired_epoch(now_s):
                node.shifts.open_epochs(now_s, node.count_spenders())
            if node.membership.pauses != pauses:
                pauses = node.membership.pauses
                node.restart_ramps()
            if node.list_changed:
                node.list_changed = False
                await self.plan_wanted.set()
            if node.me.name in node.leaving and not node.draining:
                await self.drain()
            for queue in list(node.queues.values()):
                if queue.dispatcher.waiting:
                    await queue.pump()

    async def drain(self) -> None:
        """Begin a planned stop; it goes on by itself."""
        await self.drain_wanted.set()

    async def _drain_when_asked(self) -> None:
        await self.drain_wanted.wait()
        node = self.node
        began_s = node.clock.read()
        node.draining = True
        node.membership.leave()
        await self.plan_wanted.set()
        log_event("drain_started", instance=node.me.name)
        await self._wait_until_drained(began_s)
        await self.peers.say_goodbye()
        await curio.sleep(GOODBYE_S)
        self.drain_s = node.clock.read() - began_s

    async def _wait_until_drained(self, began_s: float) -> None:
        node = self.node
        ttl_s = node.plan.deployment.lookup_ttl_s if node.plan else 0.0
        quiet_s = began_s + ttl_s + DRAIN_MARGIN_S
        limit_s = began_s + self.settings.drain_limit_s
        while True:
            now_s = node.clock.read()
            busy = node.in_flight
            if now_s >= quiet_s and not busy:
                return
            if now_s >= limit_s:
                self.waited_for = f"{busy} requests in flight"
                log_event(
                    "drain_limit_reached",
                    "WARNING",
                    instance=node.me.name,
                    waited_for=self.waited_for,
                )
                return
            await curio.sleep(DRAIN_POLL_S)
