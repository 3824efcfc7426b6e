"""Register this instance in the store for discovery by others."""

import random

import curio

from carawayvale.capacity.weights import Capacity
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.settings import GatewaySettings
from carawayvale.platform.capacities import CAPACITIES_PREFIX
from carawayvale.platform.capacities import encode_capacity
from carawayvale.platform.source import encode_instance
from carawayvale.platform.source import INSTANCES_PREFIX
from carawayvale.platform.store_client import Lease
from carawayvale.platform.store_client import StoreClient
from carawayvale.platform.store_client import Write
from carawayvale.platform.store_responses import LeaseEnded
from carawayvale.platform.store_responses import StoreFailed
from carawayvale.telemetry.logs import log_event

LEASE_TTL_S = 15.0
RENEW_INTERVAL_S = 5.0
# Pause after a failed call to the store.
RETRY_S = 2.0
POLL_S = 0.2
# Longest random delay before the instances register again after the store
# returned from a copy.
SPREAD_S = 0.5


class Registration:
    """Entry of the instance in the store, kept alive by a lease.

    :param store: client of the store.
    :param settings: settings of the instance.
    """

    def __init__(self, store: StoreClient, settings: GatewaySettings):
        self.store = store
        self.settings = settings
        self.lease: Lease | None = None

    async def run(self) -> None:
        """Register the instance and renew its lease until cancelled."""
        while True:
            try:
                await self._register_or_renew()
                await self._wait(RENEW_INTERVAL_S)
            except LeaseEnded as error:
                log_event("lease_ended", "WARNING", cause=str(error))
                self.lease = None
            except StoreFailed as error:
                log_event("lease_not_renewed", "WARNING", cause=str(error))
                await self._wait(RETRY_S)

    async def _wait(self, wait_s: float) -> None:
        """Wait, or until the store returns from a copy without the lease."""
        epoch = self.lease.epoch if self.lease else self.store.epoch
        until_s = read_boot_clock() + wait_s
        while read_boot_clock() < until_s:
            if self.store.epoch > epoch:
                await curio.sleep(random.uniform(0.0, SPREAD_S))
                return
            await curio.sleep(POLL_S)

    def _make_writes(self, lease: Lease) -> list[Write]:
        """Make the entries of the instance: its address and its capacity."""
        settings = self.settings
        capacity = Capacity(settings.cpu_share, settings.link_mbps)
        return [
            Write(
                INSTANCES_PREFIX + settings.name,
                encode_instance(settings.peers),
                lease,
            ),
            Write(
                CAPACITIES_PREFIX + settings.name,
                encode_capacity(capacity),
                lease,
            ),
        ]

    async def _register_or_renew(self) -> None:
        if self.lease is not None:
            await self.store.renew_lease(self.lease)
            return
        lease = await self.store.open_lease(LEASE_TTL_S)
        await self.store.change(self._make_writes(lease), (), lease)
        self.lease = lease
        log_event("instance_registered", lease=lease.number, epoch=lease.epoch)
