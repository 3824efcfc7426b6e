"""Updates of the catalogue and the interface of their source."""

from dataclasses import dataclass

from carawayvale.capacity.weights import Capacity
from carawayvale.catalogue.crashes import StoredCrash
from carawayvale.catalogue.records import Configuration
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.replica import StoredItem
from carawayvale.contracts.address import Address


@dataclass(frozen=True)
class ConfigurationUpdate:
    """The changed configuration, or None if it was removed."""

    configuration: Configuration | None


@dataclass(frozen=True)
class EndpointUpdate:
    """The changed entry of an endpoint, or None if it was removed."""

    name: str
    endpoint: EndpointRecord | None


@dataclass(frozen=True)
class EvacuationUpdate:
    """Start or end of the evacuation of a failure domain.

    :param domain: name of the failure domain.
    :param wanted: whether the failure domain is evacuated.
    """

    domain: str
    wanted: bool


@dataclass(frozen=True)
class InstanceUpdate:
    """The changed peer address of an instance, or None if it was removed."""

    name: str
    peers: Address | None


@dataclass(frozen=True)
class CapacityUpdate:
    """The capacity of an instance, or None if its entry was removed."""

    name: str
    capacity: Capacity | None


@dataclass(frozen=True)
class CrashUpdate:
    """The changed record of a crash, or None if it was removed.

    :param key: key of its item.
    :param stored: the record.
    """

    key: str
    stored: StoredCrash | None


CatalogueUpdate = (
    CapacityUpdate
    | ConfigurationUpdate
    | CrashUpdate
    | EndpointUpdate
    | EvacuationUpdate
    | InstanceUpdate
)


class Source:
    """Decoder of stored items into updates of the catalogue.

    It knows the keys and formats of the items and makes no decisions.
    Subclasses implement every method.
    """

    def decode(self, item: StoredItem) -> CatalogueUpdate | None:
        """Decode an item into an update.

        :param item: the item.
        :returns: the update, or None if the catalogue does not use the
            item.
        :raises ValueError: if the item cannot be decoded.
        """
        raise NotImplementedError
