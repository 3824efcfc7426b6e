"""Decoding of the items of the platform's store by their keys."""

from collections.abc import Callable
from collections.abc import Mapping

from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.source import CapacityUpdate
from carawayvale.catalogue.source import CatalogueUpdate
from carawayvale.catalogue.source import ConfigurationUpdate
from carawayvale.catalogue.source import CrashUpdate
from carawayvale.catalogue.source import EndpointUpdate
from carawayvale.catalogue.source import EvacuationUpdate
from carawayvale.catalogue.source import InstanceUpdate
from carawayvale.catalogue.source import Source
from carawayvale.contracts.address import Address
from carawayvale.platform.capacities import CAPACITIES_PREFIX
from carawayvale.platform.capacities import decode_capacity
from carawayvale.platform.configuration import CONFIGURATION_KEY
from carawayvale.platform.configuration import decode_configuration
from carawayvale.platform.configuration import EVACUATE_PREFIX
from carawayvale.platform.crashes import CRASHES_PREFIX
from carawayvale.platform.crashes import decode_crash
from carawayvale.platform.endpoints import decode_endpoint
from carawayvale.platform.endpoints import SERVERS_PREFIX
from carawayvale.platform.values import parse_address

INSTANCES_PREFIX = "carawayvale/instances/"


class PlatformSource(Source):
    """Decoder of the items of the platform's store.

    :param regions: region of each failure domain.
    """

    def __init__(self, regions: Mapping[str, str]):
        self.regions = regions

    def decode(self, item: StoredItem) -> CatalogueUpdate | None:
        """Decode an item; see :class:`Source`."""
        for prefix, decode in DECODERS.items():
            if item.key.startswith(prefix):
                return decode(self, item)
        return None

    def _decode_configuration(
        self, item: StoredItem
    ) -> CatalogueUpdate | None:
        if item.key != CONFIGURATION_KEY:
            return None
        if item.value is None:
            return ConfigurationUpdate(None)
        return ConfigurationUpdate(decode_configuration(item))

    def _decode_evacuation(self, item: StoredItem) -> CatalogueUpdate:
        domain = item.key.removeprefix(EVACUATE_PREFIX)
        return EvacuationUpdate(domain, item.value is not None)

    def _decode_endpoint(self, item: StoredItem) -> CatalogueUpdate:
        name = item.key.removeprefix(SERVERS_PREFIX)
        if item.value is None:
            return EndpointUpdate(name, None)
        return EndpointUpdate(name, decode_endpoint(item, self.regions))

    def _decode_crash(self, item: StoredItem) -> CatalogueUpdate:
        stored = None if item.value is None else decode_crash(item)
        return CrashUpdate(item.key, stored)

    def _decode_instance(self, item: StoredItem) -> CatalogueUpdate:
        name = item.key.removeprefix(INSTANCES_PREFIX)
        if item.value is None:
            return InstanceUpdate(name, None)
        return InstanceUpdate(name, parse_address(item.value.decode("ascii")))

    def _decode_capacity(self, item: StoredItem) -> CatalogueUpdate:
        name = item.key.removeprefix(CAPACITIES_PREFIX)
        if item.value is None:
            return CapacityUpdate(name, None)
        return CapacityUpdate(name, decode_capacity(item))


def encode_instance(peers: Address) -> bytes:
    """Encode the record with which an instance registers itself.

    :param peers: address of the instance for peers.
    :returns: the value of the item in the store.
    """
    return str(peers).encode("ascii")


DECODERS: dict[
    str, Callable[[PlatformSource, StoredItem], CatalogueUpdate | None]
] = {
    EVACUATE_PREFIX: PlatformSource._decode_evacuation,
    CONFIGURATION_KEY: PlatformSource._decode_configuration,
    SERVERS_PREFIX: PlatformSource._decode_endpoint,
    INSTANCES_PREFIX: PlatformSource._decode_instance,
    CRASHES_PREFIX: PlatformSource._decode_crash,
    CAPACITIES_PREFIX: PlatformSource._decode_capacity,
}
