"""Register this instance in the store for discovery by others."""

import curio

from carawayvale.gateway.settings import GatewaySettings
from carawayvale.platform.source import encode_instance
from carawayvale.platform.source import INSTANCES_PREFIX
from carawayvale.platform.store_client import LeaseEnded
from carawayvale.platform.store_client import StoreClient
from carawayvale.platform.store_client import StoreFailed
from carawayvale.platform.store_client import Write
from carawayvale.telemetry.logs import log_event

LEASE_TTL_S = 15.0
RENEW_INTERVAL_S = 5.0
# Pause after a failed call to the store.
RETRY_S = 2.0


class Registration:
    """Entry of the instance in the store, kept alive by a lease.

    :param store: client of the store.
    :param settings: settings of the instance.
    """

    def __init__(self, store: StoreClient, settings: GatewaySettings):
        self.store = store
        self.settings = settings
        self.lease = 0

    async def run(self) -> None:
        """Register the instance and renew its lease until cancelled."""
        while True:
            try:
                await self._register_or_renew()
                await curio.sleep(RENEW_INTERVAL_S)
            except LeaseEnded:
                log_event("lease_ended", "WARNING", lease=self.lease)
                self.lease = 0
            except StoreFailed as error:
                log_event("lease_not_renewed", "WARNING", cause=str(error))
                await curio.sleep(RETRY_S)

    async def _register_or_renew(self) -> None:
        if self.lease:
            await self.store.renew_lease(self.lease)
            return
        lease = await self.store.open_lease(LEASE_TTL_S)
        key = INSTANCES_PREFIX + self.settings.name
        value = encode_instance(self.settings.peers)
        await self.store.write(Write(key, value, lease))
        self.lease = lease
