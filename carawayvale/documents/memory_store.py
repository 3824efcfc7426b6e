"""Adapter to a store in the same process, for tests and examples."""

import curio

from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.documents.store import ListedInstance
from carawayvale.documents.store import register_store
from carawayvale.documents.store import Store
from carawayvale.documents.store import StoredValue
from carawayvale.documents.store import StoreUnavailable
from carawayvale.documents.store import WriteResult
from carawayvale.documents.store_state import StoreState

POLL_INTERVAL_S = 0.01


@register_store("memory")
class MemoryStore(Store):
    """Store in the memory of this process, with faults for tests.

    :param address: ignored.
    """

    def __init__(self, address: Address):
        super().__init__(address)
        self.state = StoreState()
        self.is_down = False
        self.loses_responses = False

    def _check_available(self) -> None:
        if self.is_down:
            raise StoreUnavailable("store is down")

    async def read(self, key: str) -> StoredValue | None:
        """Read a value; see :class:`Store`."""
        self._check_available()
        return self.state.read(key)

    async def write(self, key: str, value: str, revision: int) -> WriteResult:
        """Write a value; see :class:`Store`."""
        self._check_available()
        result = self.state.write(key, value, revision)
        if self.loses_responses:
            raise StoreUnavailable("response lost")
        return result

    async def watch(
        self, key: str, revision: int, wait_s: float
    ) -> int | None:
        """Wait for a newer revision; see :class:`Store`."""
        deadline_s = read_boot_clock() + wait_s
        while True:
            self._check_available()
            stored = self.state.read(key)
            if stored is not None and stored.revision > revision:
                return stored.revision
            if read_boot_clock() >= deadline_s:
                return None
            await curio.sleep(POLL_INTERVAL_S)

    async def claim_lease(self, name: str, holder: str, ttl_s: float) -> bool:
        """Acquire or renew a lease; see :class:`Store`."""
        self._check_available()
        now_s = read_boot_clock()
        return self.state.claim_lease(name, holder, ttl_s, now_s)

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Read the instance list; see :class:`Store`."""
        self._check_available()
        return tuple(self.state.instances.values())
