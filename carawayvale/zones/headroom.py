"""Headroom of owners and regions, with the age of each report."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from carawayvale.links.messages import RegionReport
from carawayvale.links.messages import ServiceHeadroom

OWNER_AGE_S = 2.0
MAX_LEAD_S = 5.0


@dataclass(frozen=True)
class OwnerReport:
    """Headroom of one instance and when it was heard."""

    heard_s: float
    services: Mapping[str, ServiceHeadroom]


@dataclass
class HeadroomTable:
    """Newest reports of the owners of a region and of other regions.

    :param began_s: start of the process; a region that has not reported
        yet counts as heard then.

    >>> book = HeadroomTable()
    >>> book.find_free_slots("geneva", "grids", 0.0, 3.0)
    0
    """

    began_s: float = 0.0
    owners: dict[str, OwnerReport] = field(default_factory=dict)
    regions: dict[str, RegionReport] = field(default_factory=dict)
    arrived_s: dict[str, float] = field(default_factory=dict)

    def record_owner(
        self, name: str, headroom: Iterable[ServiceHeadroom], now_s: float
    ) -> None:
        """Record an owner's own count.

        :param name: the instance.
        :param headroom: headroom of its shards by service.
        :param now_s: the time.
        """
        by_service = {item.service: item for item in headroom}
        self.owners[name] = OwnerReport(now_s, by_service)

    def record_region(self, report: RegionReport, now_s: float) -> bool:
        """Record a region's report if it is newer than the known one.

        :param report: the report.
        :param now_s: the time.
        :returns: whether it was newer.
        """
        known = self.regions.get(report.region)
        if known is not None and report.measured_s <= known.measured_s:
            return False
        if report.measured_s > now_s + MAX_LEAD_S:
            return False
        self.regions[report.region] = report
        self.arrived_s[report.region] = now_s
        return True

    def make_region_report(
        self, region: str, names: Iterable[str], now_s: float
    ) -> RegionReport:
        """Add up the fresh reports of a region's owners.

        :param region: the region.
        :param names: its instances.
        :param now_s: the time.
        :returns: the region's report.
        """
        free: dict[str, int] = {}
        usable: dict[str, int] = {}
        for name in names:
            report = self.owners.get(name)
            if report is None or now_s - report.heard_s > OWNER_AGE_S:
                continue
            for service, item in report.services.items():
                free[service] = free.get(service, 0) + item.free
                usable[service] = usable.get(service, 0) + item.usable
        services = tuple(
            ServiceHeadroom(service, free[service], usable[service])
            for service in sorted(free)
        )
        return RegionReport(region, now_s, services)

    def find_free_slots(
        self, region: str, service: str, now_s: float, age_s: float
    ) -> int:
        """Find the free slots of a service in a region.

        :param region: the region.
        :param service: the service.
        :param now_s: the time.
        :param age_s: age from which on a report is ignored.
        :returns: free slots; 0 if there is no fresh report.
        """
        report = self.regions.get(region)
        if report is None or now_s - self.arrived_s[region] > age_s:
            return 0
        for item in report.services:
            if item.service == service:
                return item.free
        return 0

    def is_reachable(self, region: str, now_s: float, age_s: float) -> bool:
        """Tell whether a region reported lately.

        :param region: the region.
        :param now_s: the time.
        :param age_s: age from which on a report is ignored.
        :returns: whether its report is fresh.
        """
        return now_s - self.arrived_s.get(region, self.began_s) <= age_s

    def find_owner_free_slots(
        self, name: str, service: str, now_s: float
    ) -> int:
        """Find the free slots of a service at one owner.

        :param name: the instance.
        :param service: the service.
        :param now_s: the time.
        :returns: free slots; 0 if there is no fresh report.
        """
        report = self.owners.get(name)
        if report is None or now_s - report.heard_s > OWNER_AGE_S:
            return 0
        item = report.services.get(service)
        return item.free if item else 0
