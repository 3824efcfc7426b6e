"""Headroom of owners and regions as they last reported it.

The headroom of a service is its number of free slots and its number of
usable slots.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from carawayvale.links.document_messages import RegionReport
from carawayvale.links.document_messages import ServiceHeadroom

# An owner's report is ignored once it is older than this.
MAX_OWNER_REPORT_AGE_S = 2.0

# A region's report is rejected if its time is more than this ahead of
# the clock of this process.
MAX_CLOCK_LEAD_S = 5.0


@dataclass(frozen=True)
class OwnerReport:
    """Headroom of one instance by service.

    :param received_s: when this process recorded the report.
    :param services: headroom of the instance's shards, by service.
    """

    received_s: float
    services: Mapping[str, ServiceHeadroom]


@dataclass
class HeadroomTable:
    """Latest reports of the own region's owners and of other regions.

    :param process_start_s: start of the process. A region that has not
        reported yet counts as reported at that time.
    :param owners: latest report of each instance of the own region.
    :param regions: latest report of each other region.
    :param region_received_s: when this process recorded the latest
        report of each region.

    >>> table = HeadroomTable()
    >>> table.find_free_slots("geneva", "grids", 0.0, 3.0)
    0
    """

    process_start_s: float = 0.0
    owners: dict[str, OwnerReport] = field(default_factory=dict)
    regions: dict[str, RegionReport] = field(default_factory=dict)
    region_received_s: dict[str, float] = field(default_factory=dict)

    def record_owner(
        self, name: str, headroom: Iterable[ServiceHeadroom], now_s: float
    ) -> None:
        """Record the headroom that an owner reports.

        :param name: name of the instance.
        :param headroom: headroom of the instance's shards by service.
        :param now_s: time by the clock of the process.
        """
        by_service = {item.service: item for item in headroom}
        self.owners[name] = OwnerReport(now_s, by_service)

    def record_region(self, report: RegionReport, now_s: float) -> bool:
        """Record a region's report if it is newer than the last one.

        A report whose time is more than ``MAX_CLOCK_LEAD_S`` ahead of
        this instance's clock is rejected.

        :param report: the report.
        :param now_s: time by the clock of the process.
        :returns: whether the report was recorded.
        """
        last = self.regions.get(report.region)
        if last is not None and report.measured_s <= last.measured_s:
            return False
        if report.measured_s > now_s + MAX_CLOCK_LEAD_S:
            return False
        self.regions[report.region] = report
        self.region_received_s[report.region] = now_s
        return True

    def make_region_report(
        self, region: str, names: Iterable[str], now_s: float
    ) -> RegionReport:
        """Sum the headroom that the owners of a region reported.

        Reports that are older than ``MAX_OWNER_REPORT_AGE_S`` are left
        out.

        :param region: name of the region.
        :param names: names of the region's instances.
        :param now_s: time by the clock of the process.
        :returns: the report of the region.
        """
        free: dict[str, int] = {}
        usable: dict[str, int] = {}
        for name in names:
            report = self.owners.get(name)
            if (
                report is None
                or now_s - report.received_s > MAX_OWNER_REPORT_AGE_S
            ):
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
        self, region: str, service: str, now_s: float, max_age_s: float
    ) -> int:
        """Return the number of free slots of a service in a region.

        :param region: name of the region.
        :param service: name of the service.
        :param now_s: time by the clock of the process.
        :param max_age_s: age above which a report is ignored.
        :returns: number of free slots; 0 if there is no fresh report.
        """
        report = self.regions.get(region)
        if (
            report is None
            or now_s - self.region_received_s[region] > max_age_s
        ):
            return 0
        for item in report.services:
            if item.service == service:
                return item.free
        return 0

    def is_reachable(
        self, region: str, now_s: float, max_age_s: float
    ) -> bool:
        """Tell whether a region's latest report is fresh.

        :param region: name of the region.
        :param now_s: time by the clock of the process.
        :param max_age_s: age above which a report is ignored.
        :returns: whether the latest report is at most that old.
        """
        return (
            now_s - self.region_received_s.get(region, self.process_start_s)
            <= max_age_s
        )

    def find_owner_free_slots(
        self, name: str, service: str, now_s: float
    ) -> int:
        """Return the number of free slots of a service at one owner.

        :param name: name of the instance.
        :param service: name of the service.
        :param now_s: time by the clock of the process.
        :returns: number of free slots; 0 if there is no fresh report.
        """
        report = self.owners.get(name)
        if (
            report is None
            or now_s - report.received_s > MAX_OWNER_REPORT_AGE_S
        ):
            return 0
        item = report.services.get(service)
        return item.free if item else 0
