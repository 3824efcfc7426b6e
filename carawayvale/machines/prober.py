"""Active health checks of owned endpoints that drain or are ejected."""

import curio

from carawayvale.contracts.address import Address
from carawayvale.contracts import headers
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import ConnectionBroken
from carawayvale.machines.entry_node import EntryNode
from carawayvale.machines.slots import EndpointSlots

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
HTTP_OK = 200
MAX_RESPONSE_BYTES = 65536
HOST_HEADERS = [(headers.HOST, b"health")]


class Prober:
    """Task that probes endpoints that announced a drain or are ejected.

    Other endpoints are not probed, since the responses to requests show
    their health. Only the owner of a shard probes its endpoints.

    :param node: state of the instance.
    """

    def __init__(self, node: EntryNode):
        self.node = node

    async def run(self) -> None:
        """Probe endpoints at a fixed interval until cancelled."""
        while True:
            await curio.sleep(PROBE_INTERVAL_S)
            for queue in list(self.node.queues.values()):
                for slots in list(queue.dispatcher.slots.values()):
                    if slots.leaving or slots.is_ejected:
                        await self.probe(slots)

    async def probe(self, slots: EndpointSlots) -> None:
        """Probe one endpoint and update its slots.

        :param slots: slots of the endpoint.
        """
        healthy = await self.check_health(slots.endpoint.address)
        if healthy:
            slots.leaving = False
        else:
            # Covers the time until the result of the next probe.
            now_s = self.node.clock.read()
            slots.extend_ejection(now_s + PROBE_INTERVAL_S + PROBE_TIMEOUT_S)
        self.node.metrics.count("probes", "up" if healthy else "down")

    async def check_health(self, address: Address) -> bool:
        """Check the health of a backend server.

        :param address: address of the backend server.
        :returns: whether it responds in time that it accepts requests, which
            status 200 says.
        """
        pool = self.node.pools.find(address)
        call = OutgoingCall("GET", headers.HEALTH_PATH, HOST_HEADERS)
        try:
            response = await pool.exchange(
                call, PROBE_TIMEOUT_S, MAX_RESPONSE_BYTES, True
            )
        except (ConnectionBroken, curio.TaskTimeout):
            return False
        return response.head.status == HTTP_OK
