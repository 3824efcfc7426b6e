"""Give up the ownership of endpoints that this instance cannot reach.

An instance that is partitioned from all endpoints announces itself as
idle, so that others own its endpoints and look-ups do not name it. It
still forwards the requests of callers that use it.
"""

from collections.abc import Callable
from dataclasses import replace

import curio

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.endpoint_checks import restore_reachable
from carawayvale.gateway.gateway_node import GatewayNode
from carawayvale.links.http import connect
from carawayvale.links.http import ConnectFailed
from carawayvale.links.peers import PeerTable
from carawayvale.steering.reachability import choose_probes
from carawayvale.steering.reachability import PROBE_TIMEOUT_S
from carawayvale.steering.reachability import ProbeRound
from carawayvale.steering.reachability import ReachabilityChange
from carawayvale.telemetry.logs import log_event

POLL_S = 0.1


async def probe(endpoint: EndpointRecord) -> bool:
    """Try to open a connection to an endpoint.

    :param endpoint: the endpoint.
    :returns: whether it was opened.
    """
    try:
        sock = await connect(endpoint.address, PROBE_TIMEOUT_S)
    except ConnectFailed:
        return False
    await sock.close()
    return True


async def probe_all(endpoints: list[EndpointRecord]) -> ProbeRound:
    """Try to open a connection to each of some endpoints at once.

    :param endpoints: the endpoints.
    :returns: the result.
    """
    started_s = read_boot_clock()
    async with curio.TaskGroup() as group:
        for endpoint in endpoints:
            await group.spawn(probe, endpoint)
    return ProbeRound(
        tuple(endpoint.name for endpoint in endpoints),
        sum(group.results),
        started_s,
        read_boot_clock(),
    )


class ReachabilityMonitor:
    """Task that leaves and joins the serving members as endpoints require.

    :param node: state of the instance.
    :param peers: links with other instances.
    """

    def __init__(self, node: GatewayNode, peers: PeerTable):
        self.node = node
        self.peers = peers

    async def run(self) -> None:
        """Probe endpoints whenever that is due, until cancelled."""
        while True:
            await curio.sleep(POLL_S)
            now_s = read_boot_clock()
            reachability = self.node.reachability
            if not self.node.leaving and reachability.needs_round(now_s):
                await self._run_round()

    async def _run_round(self) -> None:
        reachability = self.node.reachability
        heard_before = self._hears_others()
        failed = set(reachability.failed_s)
        endpoints = choose_probes(
            self.node.catalogue.endpoints.values(),
            failed,
            self.node.settings.domain,
        )
        probe_round = await probe_all(endpoints)
        if self.node.own_delay.was_behind(probe_round.started_s):
            probe_round = replace(probe_round, was_behind=True)
        if self.node.leaving:
            return
        since_s = reachability.partitioned_s
        if reachability.is_partitioned:
            others_serve = self._others_serve()
        else:
            others_serve = heard_before and self._hears_others()
        change = reachability.record_round(
            probe_round, others_serve, probe_round.finished_s
        )
        if change is not None:
            self._log_change(change, probe_round, failed, since_s)
            await ACTIONS[change](self)
        if reachability.is_partitioned:
            for owned in list(self.node.owned.values()):
                owned.abort_overdue(probe_round.finished_s)

    def _others_serve(self) -> bool:
        """Tell whether the failure detector lists another instance."""
        return any(
            record.name != self.node.settings.name
            for record in self.node.membership.list_serving()
        )

    def _hears_others(self) -> bool:
        """Tell whether another instance serves and one was heard lately.

        An instance that hears no other one is partitioned from them too,
        and giving up its endpoints would help nobody.
        """
        membership = self.node.membership
        now_s = self.peers.clock.read()
        return self._others_serve() and any(
            membership.is_heard(name, now_s)
            for name in membership.last_heard_s
        )

    def _log_change(
        self,
        change: ReachabilityChange,
        probe_round: ProbeRound,
        failed: set[str],
        since_s: float | None,
    ) -> None:
        lasted_s = 0.0
        if since_s is not None:
            lasted_s = probe_round.finished_s - since_s
        log_event(
            f"endpoints_{change.value}",
            "WARNING",
            probed=",".join(probe_round.probed),
            reached=probe_round.reached,
            failed=",".join(sorted(failed)) or "none",
            lasted_s=f"{lasted_s:.2f}",
        )

    async def _leave(self) -> None:
        """Give up the ownership of all endpoints.

        Requests that wait for a slot leave the queues. Requests at
        endpoints continue, since their connections may live on.
        """
        self.node.membership.leave()
        await self._announce()
        now_s = read_boot_clock()
        for owned in list(self.node.owned.values()):
            owned.health.eject(now_s)
            await owned.upstream.pool.close()
            await owned.notify_waiters()

    async def _join(self) -> None:
        """Own endpoints again.

        Endpoints that were ejected and accept a connection are restored.
        """
        ejected = [
            owned for owned in self.node.owned.values() if owned.health.ejected
        ]
        async with curio.TaskGroup() as group:
            for owned in ejected:
                await group.spawn(restore_reachable, owned)
        if self.node.leaving:
            return
        self.node.membership.join()
        await self._announce()

    async def _announce(self) -> None:
        await self.peers.update_neighbours()
        await self.peers.send_updates()


ACTIONS: dict[ReachabilityChange, Callable] = {
    ReachabilityChange.PARTITIONED: ReachabilityMonitor._leave,
    ReachabilityChange.REACHED: ReachabilityMonitor._join,
    ReachabilityChange.ALONE: ReachabilityMonitor._join,
}
