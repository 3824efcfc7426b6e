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

POLL_S = 0.01


@register_store("memory")
class MemoryStore(Store):
    """Keeps everything in this process.

    :param address: ignored.
    """

    def __init__(self, address: Address):
        super().__init__(address)
        self.cells = StoreState()
        self.is_down = False
        self.loses_answers = False

    def _check(self) -> None:
        if self.is_down:
            raise StoreUnavailable("store is down")

    async def read(self, key: str) -> StoredValue | None:
        """Read a value; see :class:`Store`."""
        self._check()
        return self.cells.read(key)

    async def write(self, key: str, value: str, revision: int) -> WriteResult:
        """Write a value; see :class:`Store`."""
        self._check()
        result = self.cells.write(key, value, revision)
        if self.loses_answers:
            raise StoreUnavailable("answer lost")
        return result

    async def watch(
        self, key: str, revision: int, wait_s: float
    ) -> int | None:
        """Wait for a newer revision; see :class:`Store`."""
        deadline_s = read_boot_clock() + wait_s
        while True:
            self._check()
            stored = self.cells.read(key)
            if stored is not None and stored.revision > revision:
                return stored.revision
            if read_boot_clock() >= deadline_s:
                return None
            await curio.sleep(POLL_S)

    async def claim_lease(self, name: str, holder: str, ttl_s: float) -> bool:
        """Take or renew a lease; see :class:`Store`."""
        self._check()
        now_s = read_boot_clock()
        return self.cells.claim_lease(name, holder, ttl_s, now_s)

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Read the instance list; see :class:`Store`."""
        self._check()
        return tuple(self.cells.instances.values())
