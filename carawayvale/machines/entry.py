"""Tasks of one entry instance from its start to the end of its drain."""

from collections.abc import Awaitable
from collections.abc import Callable
import gc

import curio

from carawayvale.contracts.clock import Clock
from carawayvale.contracts.settings import EntrySettings
from carawayvale.documents.document_updater import DocumentUpdater
from carawayvale.documents.store import make_store
from carawayvale.links import document_handlers  # noqa: F401 registers
from carawayvale.links import handlers  # noqa: F401 registers handlers
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import MemberState
from carawayvale.links.peers import PeerCallbacks
from carawayvale.links.peers import PeerTable
from carawayvale.links.tls import load_tls
from carawayvale.machines.caller_handler import CallerHandler
from carawayvale.machines.entry_node import EntryNode
from carawayvale.machines.incarnation import make_incarnation
from carawayvale.machines.operator_handler import OperatorHandler
from carawayvale.machines.prober import Prober
from carawayvale.telemetry.logs import log_event

PERIODIC_WORK_INTERVAL_S = 0.05
DRAIN_POLL_INTERVAL_S = 0.05
DRAIN_MARGIN_S = 1.0
# Time for the links to send the announced departure.
DEPARTURE_FLUSH_S = 0.5


def freeze_garbage_collector() -> None:
    """Exempt all existing objects from garbage collection.

    A full collection visits every section of a large document and blocks
    the event loop meanwhile. Objects without reference cycles, such as
    sections, are still freed when they are replaced.
    """
    gc.collect()
    gc.freeze()


class EntryInstance:
    """Entry instance with its listeners and tasks.

    :param settings: settings of the process.
    :param key: the deployment's key.
    """

    def __init__(self, settings: EntrySettings, key: bytes):
        self.settings = settings
        self.key = key
        self.plan_requested = curio.Event()
        self.drain_requested = curio.Event()
        self.drain_s = 0.0
        self.waited_for = ""

    async def run(self) -> None:
        """Serve until the drain is complete or the task is cancelled."""
        self._open()
        tasks: list[Callable[[], Awaitable[None]]] = [
            self.caller_listener.run,
            self.peer_listener.run,
            self.operator_listener.run,
            self.peers.run,
            self.updater.run,
            self.updater.poll_instance_list,
            self.prober.run,
            self._run_planning,
            self._run_periodic_work,
        ]
        log_event(
            "entry_started",
            instance=self.settings.name,
            callers=self.node.own_record.callers,
            peers=self.node.own_record.peers,
            operators=self.operator_listener.address,
            incarnation=self.node.own_record.incarnation,
        )
        async with curio.TaskGroup(wait=any) as group:
            for task in tasks:
                await group.spawn(task)
            await group.spawn(self._drain_on_request)
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
        own_record = MemberRecord(
            settings.name,
            settings.region,
            settings.domain,
            callers.address,
            self.peer_listener.address,
            make_incarnation(),
            state=MemberState.IDLE,
        )
        node = EntryNode(settings, self.key, own_record, Clock(), tls)
        self.node = node
        self.caller_handler = CallerHandler(node)
        self.peers = PeerTable(
            self.key,
            settings.seeds,
            node.clock,
            node.tls.client,
            node.membership,
            node.document_replica,
            PeerCallbacks(
                self.plan_requested.set,
                self._on_document,
                node.make_reports,
                node.merge_reports,
            ),
        )
        self.updater = DocumentUpdater(
            make_store(settings.store_kind, settings.store),
            node.document_replica,
            settings.store_read_s,
            node.is_watcher,
            self._on_document,
            self._on_list,
            own_record.incarnation,
        )
        self.prober = Prober(node)
        handler = OperatorHandler(node, self.peers, self.updater, self.drain)
        self.operator_listener = Listener(operator_sock, handler.handle)

    async def _accept_peer(self, sock: curio.io.Socket) -> None:
        await self.peers.accept(sock)

    async def _accept_caller(self, sock: curio.io.Socket) -> None:
        await self.caller_handler.handle(sock)

    async def _on_document(self) -> None:
        await self.plan_requested.set()
        await self.peers.send_heartbeats()

    async def _on_list(self, leaving: tuple[str, ...]) -> None:
        self.node.merge_platform_list(self.node.clock.read(), leaving)

    async def _run_planning(self) -> None:
        while True:
            await self.plan_requested.wait()
            self.plan_requested.clear()
            was_ready = self.node.is_ready
            await self.node.update_plan()
            if self.node.is_ready and not was_ready:
                freeze_garbage_collector()
                if not self.node.draining:
                    self.node.membership.join()
                    await self.peers.update_neighbours()

    async def _run_periodic_work(self) -> None:
        """Do the work that depends on time or on flags set by other tasks."""
        node = self.node
        pauses = node.membership.pauses
        while True:
            await curio.sleep(PERIODIC_WORK_INTERVAL_S)
            if node.plan is None:
                continue
            now_s = node.clock.read()
            if node.shift_credits.has_expired_epoch(now_s):
                node.shift_credits.open_epochs(
                    now_s, node.count_credit_spenders()
                )
            if node.membership.pauses != pauses:
                pauses = node.membership.pauses
                node.restart_ramps()
            if node.list_changed:
                node.list_changed = False
                await self.plan_requested.set()
            if node.own_record.name in node.leaving and not node.draining:
                await self.drain()
            for queue in list(node.queues.values()):
                if queue.dispatcher.waiting:
                    await queue.dispatch()

    async def drain(self) -> None:
        """Start the drain; a task of the instance carries it out."""
        await self.drain_requested.set()

    async def _drain_on_request(self) -> None:
        await self.drain_requested.wait()
        node = self.node
        start_s = node.clock.read()
        node.draining = True
        node.membership.leave()
        await self.plan_requested.set()
        log_event("drain_started", instance=node.own_record.name)
        await self._wait_until_drained(start_s)
        await self.peers.announce_departure()
        await curio.sleep(DEPARTURE_FLUSH_S)
        if not self.waited_for:
            # Callers with an old look-up may have sent requests meanwhile.
            await self._wait_until_drained(start_s)
        self.drain_s = node.clock.read() - start_s

    async def _wait_until_drained(self, start_s: float) -> None:
        """Wait until no request is in flight, at most for the drain limit.

        Waits at least for the time to live of look-up responses, which may
        still name this instance, and a margin.
        """
        node = self.node
        ttl_s = node.plan.deployment.lookup_ttl_s if node.plan else 0.0
        earliest_s = start_s + ttl_s + DRAIN_MARGIN_S
        latest_s = start_s + self.settings.drain_limit_s
        while True:
            now_s = node.clock.read()
            in_flight = node.in_flight
            if now_s >= earliest_s and not in_flight:
                return
            if now_s >= latest_s:
                self.waited_for = f"{in_flight} requests in flight"
                log_event(
                    "drain_limit_reached",
                    "WARNING",
                    instance=node.own_record.name,
                    waited_for=self.waited_for,
                )
                return
            await curio.sleep(DRAIN_POLL_INTERVAL_S)
