"""The contract of a source that fills the catalogue."""

from dataclasses import dataclass

from carawayvale.catalogue.records import Configuration
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.replica import StoredItem
from carawayvale.contracts.address import Address


@dataclass(frozen=True)
class ConfigurationUpdate:
    """A configuration was read; None if it was removed."""

    configuration: Configuration | None


@dataclass(frozen=True)
class EndpointUpdate:
    """An endpoint's entry was read; None if it is not there."""

    name: str
    endpoint: EndpointRecord | None


@dataclass(frozen=True)
class EvacuationUpdate:
    """A failure domain's evacuation began or ended."""

    domain: str
    wanted: bool


@dataclass(frozen=True)
class InstanceUpdate:
    """An instance's port for peers was read; None if it is not there."""

    name: str
    peers: Address | None


CatalogueUpdate = (
    ConfigurationUpdate | EndpointUpdate | EvacuationUpdate | InstanceUpdate
)


class Source:
    """Decodes stored items; knows their keys and formats, decides nothing.

    Subclasses implement every method.
    """

    def decode(self, item: StoredItem) -> CatalogueUpdate | None:
        """Decode an item.

        :param item: the item.
        :returns: what it says, or None if it concerns nobody here.
        :raises ValueError: if it cannot be read.
        """
        raise NotImplementedError
