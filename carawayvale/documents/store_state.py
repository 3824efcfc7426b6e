"""State of a small key-value store, without I/O."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from carawayvale.catalogue.position import StorePosition
from carawayvale.catalogue.position import unpack_position
from carawayvale.documents.store import ListedInstance
from carawayvale.documents.store import StoredValue
from carawayvale.documents.store import WriteResult

MAX_VALUE_BYTES = 1_000_000


@dataclass
class Lease:
    """The holder of a lease and when the lease expires.

    :param holder: name of the holder.
    :param expiry_s: time of expiry in seconds.
    """

    holder: str
    expiry_s: float


@dataclass
class StoreState:
    """Versioned values, leases and the instance list.

    :param values: value and revision by key.
    :param leases: leases by name.
    :param instances: listed instances by name.
    :param epoch: number of returns from a copy, part of all revisions.

    >>> state = StoreState()
    >>> state.write("key", "a", 0).written, state.write("key", "b", 0).written
    (True, False)
    """

    values: dict[str, StoredValue] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    instances: dict[str, ListedInstance] = field(default_factory=dict)
    epoch: int = 0

    def read(self, key: str) -> StoredValue | None:
        """Read a value.

        :param key: key to read.
        :returns: value and revision, or None if the key has no value.
        """
        return self.values.get(key)

    def write(self, key: str, value: str, revision: int) -> WriteResult:
        """Write a value if the key has the expected revision.

        :param key: key to write.
        :param value: new value.
        :param revision: expected revision; 0 if the key has no value.
        :returns: whether the value was written, and the key's revision.
        :raises ValueError: if the value exceeds ``MAX_VALUE_BYTES``.
        """
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise ValueError(f"value exceeds {MAX_VALUE_BYTES} bytes")
        stored = self.values.get(key)
        current = stored.revision if stored else 0
        if current != revision:
            return WriteResult(False, current)
        new = self._renew(current) + 1
        self.values[key] = StoredValue(value, new)
        return WriteResult(True, new)

    def _renew(self, revision: int) -> int:
        """Move a revision into the current epoch."""
        count = unpack_position(revision).revision
        return StorePosition(self.epoch, count).pack()

    def copy(self) -> dict[str, StoredValue]:
        """Copy the values, to return from the copy later.

        :returns: value and revision by key.
        """
        return dict(self.values)

    def restore(self, copy: dict[str, StoredValue]) -> None:
        """Return from a copy: later writes and all leases are gone.

        A new epoch begins, and the values have revisions of it.

        :param copy: value and revision by key.
        """
        self.epoch += 1
        self.values = {
            key: replace(stored, revision=self._renew(stored.revision))
            for key, stored in copy.items()
        }
        self.leases.clear()

    def claim_lease(
        self, name: str, holder: str, ttl_s: float, now_s: float
    ) -> bool:
        """Acquire or renew a lease.

        :param name: name of the lease.
        :param holder: name of the claimant.
        :param ttl_s: time to live of the lease in seconds.
        :param now_s: current time in seconds.
        :returns: whether the claimant holds the lease now.
        """
        lease = self.leases.get(name)
        if lease and lease.holder != holder and now_s < lease.expiry_s:
            return False
        self.leases[name] = Lease(holder, now_s + ttl_s)
        return True
