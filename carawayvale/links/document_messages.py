"""Messages about the operators' document and the load of its services."""

from dataclasses import dataclass

from carawayvale.links.messages import NESTED_LIST_TYPES
from carawayvale.links.messages import register_message


@dataclass(frozen=True)
class ServiceHeadroom:
    """Free slots of one service at one owner or in one region.

    :param service: name of the service.
    :param free: number of free slots.
    :param usable: number of slots that may be in use at the same time.
    """

    service: str
    free: int
    usable: int


@dataclass(frozen=True)
class RegionReport:
    """Headroom of a region, summed up by one of its bridges.

    A bridge is an instance that is elected to link with other regions.

    :param region: name of the region.
    :param measured_s: time of the measurement by the clock of the bridge.
    :param services: headroom of each service.
    """

    region: str
    measured_s: float
    services: tuple[ServiceHeadroom, ...]


@register_message(13)
@dataclass(frozen=True)
class Reports:
    """Headroom of the sender and the latest region reports it received.

    :param headroom: headroom of the shards that the sender owns.
    :param regions: reports of regions.
    :param listed_s: time at which the platform's list of instances was
        read.
    :param leaving: names of the entry instances and endpoints that the
        list marks as leaving.
    """

    headroom: tuple[ServiceHeadroom, ...]
    regions: tuple[RegionReport, ...]
    listed_s: float
    leaving: tuple[str, ...]


@register_message(7)
@dataclass(frozen=True)
class SectionsRequest:
    """Request for the changes of the document since a revision.

    :param revision: revision in force at the requesting instance.
    :param digest: hash of the document with that revision.
    """

    revision: int
    digest: bytes


@dataclass(frozen=True)
class SectionText:
    """Title and text of a section."""

    title: str
    body: str


@register_message(8)
@dataclass(frozen=True)
class Sections:
    """Changes from one revision of the document to another.

    :param base: revision to apply the changes to; 0 replaces the whole
        document.
    :param revision: resulting revision.
    :param digest: hash of the resulting document.
    :param changed: new and changed sections.
    :param removed: titles of removed sections.
    """

    base: int
    revision: int
    digest: bytes
    changed: tuple[SectionText, ...]
    removed: tuple[str, ...]


@register_message(11)
@dataclass(frozen=True)
class CreditGrant:
    """Credits for a capped link between regions, granted to the receiver.

    :param cap_name: name of the cap, the same at sender and receiver.
    :param epoch: epoch in which the credits are valid.
    :param credits: number of requests that the credits allow.
    :param serial: sequence number of the grant at the sender.
    """

    cap_name: str
    epoch: int
    credits: int
    serial: int


NESTED_LIST_TYPES.update(
    {
        ("Reports", "headroom"): ServiceHeadroom,
        ("Reports", "regions"): RegionReport,
        ("Reports", "leaving"): None,
        ("RegionReport", "services"): ServiceHeadroom,
        ("Sections", "changed"): SectionText,
        ("Sections", "removed"): None,
    }
)
