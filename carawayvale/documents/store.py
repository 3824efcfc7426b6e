"""Interface of the adapters to the platform's key-value store."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from carawayvale.contracts.address import Address

STORE_KINDS: dict[str, type["Store"]] = {}
NO_REVISION = 0


class StoreUnavailable(ConnectionError):
    """The store did not respond; a pending write may have taken effect."""


@dataclass(frozen=True)
class StoredValue:
    """A value and the revision of its key.

    :param value: text of at most a megabyte.
    :param revision: revision of the key as a packed
        :class:`~carawayvale.catalogue.position.StorePosition`. Each write
        increases it, and so does each return of the store from a copy.
    """

    value: str
    revision: int


@dataclass(frozen=True)
class WriteResult:
    """Result of a compare-and-swap.

    :param written: whether the value was written.
    :param revision: current revision of the key.
    """

    written: bool
    revision: int


@dataclass(frozen=True)
class ListedInstance:
    """An item of the platform's list of instances, which may be stale.

    :param name: name of an entry instance or an endpoint.
    :param leaving: whether the platform is about to stop the instance.
    """

    name: str
    leaving: bool


def register_store(kind: str) -> Callable[[type], type]:
    """Register an adapter under the store kind used in settings.

    :param kind: store kind.
    :returns: class decorator.
    """

    def register(cls: type) -> type:
        STORE_KINDS[kind] = cls
        return cls

    return register


class Store(ABC):
    """Key-value store with compare-and-swap, leases and watches.

    :param address: address of the store.
    """

    def __init__(self, address: Address):
        self.address = address

    @abstractmethod
    async def read(self, key: str) -> StoredValue | None:
        """Read a value.

        :param key: key to read.
        :returns: value and revision, or None if the key has no value.
        :raises StoreUnavailable: if the store does not respond.
        """

    @abstractmethod
    async def write(self, key: str, value: str, revision: int) -> WriteResult:
        """Write a value if the key has the expected revision.

        :param key: key to write.
        :param value: new value.
        :param revision: expected revision; ``NO_REVISION`` if the key has
            no value.
        :returns: whether the value was written, and the key's revision.
        :raises StoreUnavailable: if the store does not respond; the value
            may have been written nevertheless.
        """

    @abstractmethod
    async def watch(
        self, key: str, revision: int, wait_s: float
    ) -> int | None:
        """Wait until a key has a newer revision.

        :param key: key to watch.
        :param revision: latest revision that the client has seen.
        :param wait_s: maximum wait in seconds.
        :returns: newer revision, or None after the maximum wait.
        :raises StoreUnavailable: if the store does not respond.
        """

    @abstractmethod
    async def claim_lease(self, name: str, holder: str, ttl_s: float) -> bool:
        """Acquire or renew a lease.

        :param name: name of the lease.
        :param holder: name of the claimant.
        :param ttl_s: time to live of the lease in seconds.
        :returns: whether the claimant holds the lease now.
        :raises StoreUnavailable: if the store does not respond.
        """

    @abstractmethod
    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Read the platform's list of instances.

        :returns: listed instances; the list may be stale.
        :raises StoreUnavailable: if the store does not respond.
        """

    async def close(self) -> None:
        """Close the connections to the store."""
        return None


def make_store(kind: str, address: Address) -> Store:
    """Make the adapter of a store kind.

    :param kind: registered store kind.
    :param address: address of the store.
    :returns: adapter to the store.
    :raises KeyError: if the store kind is not registered.
    """
    return STORE_KINDS[kind](address)
