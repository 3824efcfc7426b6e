"""The state of a small key-value store, without I/O."""

from dataclasses import dataclass
from dataclasses import field

from carawayvale.documents.store import ListedInstance
from carawayvale.documents.store import StoredValue
from carawayvale.documents.store import WriteResult

MAX_VALUE_BYTES = 1_000_000


@dataclass
class Lease:
    """A lease and the time at which it lapses."""

    holder: str
    expiry_s: float


@dataclass
class StoreState:
    """Values, leases and the instance list.

    >>> cells = StoreState()
    >>> cells.write("key", "a", 0).written, cells.write("key", "b", 0).written
    (True, False)
    """

    values: dict[str, StoredValue] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    instances: dict[str, ListedInstance] = field(default_factory=dict)

    def read(self, key: str) -> StoredValue | None:
        """Read a value.

        :param key: the key.
        :returns: the value, or None.
        """
        return self.values.get(key)

    def write(self, key: str, value: str, revision: int) -> WriteResult:
        """Write a value if the revision matches.

        :param key: the key.
        :param value: the new value.
        :param revision: expected revision; 0 for no value.
        :returns: whether it was written.
        :raises ValueError: if the value is too large.
        """
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise ValueError(f"value exceeds {MAX_VALUE_BYTES} bytes")
        present = self.values.get(key)
        current = present.revision if present else 0
        if current != revision:
            return WriteResult(False, current)
        self.values[key] = StoredValue(value, current + 1)
        return WriteResult(True, current + 1)

    def claim_lease(
        self, name: str, holder: str, ttl_s: float, now_s: float
    ) -> bool:
        """Take or renew a lease.

        :param name: name of the lease.
        :param holder: who takes it.
        :param ttl_s: seconds until it lapses.
        :param now_s: the time.
        :returns: whether the holder has it now.
        """
        lease = self.leases.get(name)
        if lease and lease.holder != holder and now_s < lease.expiry_s:
            return False
        self.leases[name] = Lease(holder, now_s + ttl_s)
        return True
