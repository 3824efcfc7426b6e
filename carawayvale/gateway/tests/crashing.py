"""Endpoints that crash when they run a certain request, for tests."""

import curio

from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.server import RequestServer
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.platform.tests.fakes import LOOPBACK

CRASHING_PATH = "/crashing"

# Time after which an endpoint is back, at its address.
RETURN_S = 1.0

# Pause between two requests of a caller.
CALL_INTERVAL_S = 0.04


class CrashingEndpoint:
    """An endpoint of a fleet that ends with all its connections.

    :param fleet: the fleet.
    :param name: name of the endpoint, which the fleet has started.
    :param crashes_s: list to which the times of its crashes are added.
    """

    def __init__(self, fleet, name, crashes_s):
        self.fleet = fleet
        self.endpoint = fleet.endpoints[name]
        self.name = name
        self.crashes_s = crashes_s
        self.address = None
        self.task = None

    async def start(self):
        """Serve at a new address in place of the fleet's server."""
        await self._serve(open_listener(Address(LOOPBACK, 0)))
        self.endpoint.entry["address"] = str(self.address)
        self.fleet.put_report(self.name)

    async def _serve(self, sock):
        listener = Listener(sock, RequestServer(self.handle).serve)
        self.address = listener.address
        self.task = await curio.spawn(listener.run, daemon=True)
        self.fleet.tasks.append(self.task)

    async def handle(self, request):
        """Return the response to one request, or crash."""
        if not request.path.endswith(CRASHING_PATH):
            return await self.endpoint.handle(request)
        self.crashes_s.append(read_boot_clock())
        await curio.spawn(self.crash, daemon=True)
        await curio.sleep(RETURN_S)

    async def crash(self):
        """End with all connections, and be back after a while."""
        await self.task.cancel()
        await curio.sleep(RETURN_S)
        await self._serve(open_listener(self.address))
        self.endpoint.entry["born"] += 1000
        self.fleet.put_report(self.name, cold_left="0ms")


async def start_crashing(fleet):
    """Make all endpoints of a fleet ones that crash.

    :param fleet: the fleet.
    :returns: list to which the times of all crashes are added.
    """
    crashes_s = []
    for name in list(fleet.endpoints):
        await CrashingEndpoint(fleet, name, crashes_s).start()
    await curio.sleep(RETURN_S / 2)
    return crashes_s


async def call_repeatedly(fleet, duration_s, **options):
    """Send the request that crashes to all instances in turn.

    :param fleet: the fleet.
    :param duration_s: how long it is sent again, in seconds.
    :param options: options of the call; ``path`` ends with CRASHING_PATH.
    :returns: the responses.
    """
    end_s = read_boot_clock() + duration_s
    responses = []
    while read_boot_clock() < end_s:
        daemon = fleet.daemons[len(responses) % len(fleet.daemons)]
        responses.append(
            await fleet.call(daemon, **{"path": CRASHING_PATH, **options})
        )
        await curio.sleep(CALL_INTERVAL_S)
    return responses
