"""The contract that every adapter to a platform's store obeys."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from carawayvale.contracts.address import Address

STORE_KINDS: dict[str, type["Store"]] = {}
NO_REVISION = 0


class StoreUnavailable(ConnectionError):
    """The store did not answer; a write may or may not have happened."""


@dataclass(frozen=True)
class StoredValue:
    """A value and the revision of its key.

    :param value: text of at most a megabyte.
    :param revision: grows with each write of the key.
    """

    value: str
    revision: int


@dataclass(frozen=True)
class WriteResult:
    """Result of a compare-and-swap.

    :param written: whether the value was written.
    :param revision: revision of the key now.
    """

    written: bool
    revision: int


@dataclass(frozen=True)
class ListedInstance:
    """An instance in the platform's lagging list.

    :param name: name of an entry instance or an endpoint.
    :param leaving: whether the platform is about to stop it.
    """

    name: str
    leaving: bool


def register_store(kind: str) -> Callable[[type], type]:
    """Register an adapter under the name used in settings.

    :param kind: the name.
    :returns: the class decorator.
    """

    def register(cls: type) -> type:
        STORE_KINDS[kind] = cls
        return cls

    return register


class Store(ABC):
    """Small values with compare-and-swap, leases and watches.

    :param address: where the store listens.
    """

    def __init__(self, address: Address):
        self.address = address

    @abstractmethod
    async def read(self, key: str) -> StoredValue | None:
        """Read a value.

        :param key: the key.
        :returns: the value, or None if there is none.
        :raises StoreUnavailable: if the store does not answer.
        """

    @abstractmethod
    async def write(self, key: str, value: str, revision: int) -> WriteResult:
        """Write a value if the key's revision is still the given one.

        :param key: the key.
        :param value: the new value.
        :param revision: expected revision; ``NO_REVISION`` for none.
        :returns: whether it was written.
        :raises StoreUnavailable: if the store does not answer; the value
            may have been written all the same.
        """

    @abstractmethod
    async def watch(
        self, key: str, revision: int, wait_s: float
    ) -> int | None:
        """Wait until a key passes a revision.

        :param key: the key.
        :param revision: the revision that is known.
        :param wait_s: longest wait in seconds.
        :returns: the newer revision, or None after the wait.
        :raises StoreUnavailable: if the store does not answer.
        """

    @abstractmethod
    async def claim_lease(self, name: str, holder: str, ttl_s: float) -> bool:
        """Take or renew a lease.

        :param name: name of the lease.
        :param holder: who takes it.
        :param ttl_s: seconds until it lapses.
        :returns: whether the holder has it now.
        :raises StoreUnavailable: if the store does not answer.
        """

    @abstractmethod
    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Read the platform's list of instances.

        :returns: the list, which lags.
        :raises StoreUnavailable: if the store does not answer.
        """

    async def close(self) -> None:
        """Close connections, if there are any."""
        return None


def make_store(kind: str, address: Address) -> Store:
    """Make the adapter that the settings name.

    :param kind: registered name.
    :param address: where the store listens.
    :returns: the adapter.
    :raises KeyError: if no adapter has that name.
    """
    return STORE_KINDS[kind](address)
