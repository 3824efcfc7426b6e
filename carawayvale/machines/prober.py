"""Checks the health of owned endpoints that get no requests."""

import curio

from carawayvale.contracts.address import Address
from carawayvale.contracts import headers as names
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import ConnectionBroken
from carawayvale.machines.entry_node import EntryNode
from carawayvale.machines.slots import EndpointSlots

PROBE_S = 1.0
PROBE_TIMEOUT_S = 1.0
HTTP_OK = 200
MAX_BODY_BYTES = 65536
HOST_HEADERS = [(names.HOST, b"health")]


class Prober:
    """Probes endpoints that drained by their own word or failed.

    Endpoints in normal use are not probed, since their answers tell
    enough. Only the owner of a shard probes its endpoints.

    :param node: the instance.
    """

    def __init__(self, node: EntryNode):
        self.node = node

    async def run(self) -> None:
        """Probe in a fixed interval until cancelled."""
        while True:
            await curio.sleep(PROBE_S)
            for queue in list(self.node.queues.values()):
                for slots in list(queue.dispatcher.slots.values()):
                    if slots.leaving or slots.is_ejected:
                        await self.probe(slots)

    async def probe(self, slots: EndpointSlots) -> None:
        """Probe one endpoint and note the result.

        :param slots: the endpoint's slots.
        """
        healthy = await self.check_health(slots.endpoint.address)
        if healthy:
            slots.leaving = False
        else:
            now_s = self.node.clock.read()
            slots.postpone(now_s + PROBE_S + PROBE_TIMEOUT_S)
        self.node.metrics.count("probes", "up" if healthy else "down")

    async def check_health(self, address: Address) -> bool:
        """Ask a backend server for its health.

        :param address: where it listens.
        :returns: whether it answers that it takes work.
        """
        pool = self.node.pools.find(address)
        call = OutgoingCall("GET", names.HEALTH_PATH, HOST_HEADERS)
        try:
            reply = await pool.exchange(
                call, PROBE_TIMEOUT_S, MAX_BODY_BYTES, True
            )
        except (ConnectionBroken, curio.TaskTimeout):
            return False
        return reply.head.status == HTTP_OK
