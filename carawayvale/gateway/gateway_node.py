"""The state of one gateway instance and what it derives from it."""

from collections.abc import Iterable
from dataclasses import dataclass

from carawayvale.catalogue.builder import CatalogueBuilder
from carawayvale.catalogue.header_names import HeaderNames
from carawayvale.catalogue.records import Catalogue
from carawayvale.catalogue.records import EMPTY_CATALOGUE
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import ServiceRecord
from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.source import Source
from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.contracts.hashing import hash_text
from carawayvale.gateway.observer import RequestObserver
from carawayvale.gateway.owned_endpoint import OwnedEndpoint
from carawayvale.gateway.settings import GatewaySettings
from carawayvale.links.connections import ConnectionPools
from carawayvale.links.http_client import HttpClient
from carawayvale.links.membership import Membership
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import MemberState
from carawayvale.steering.rates import FleetRetryBudget
from carawayvale.steering.rates import ShiftLimit
from carawayvale.steering.routing import RouteTable
from carawayvale.telemetry.logs import log_event
from carawayvale.zones.ownership import assign_owners
from carawayvale.zones.ownership import Candidate
from carawayvale.zones.ownership import EMPTY_OWNERSHIP
from carawayvale.zones.ownership import Ownership
from carawayvale.zones.ownership import Shard

# An instance that could not be reached is passed by for this long.
SHUN_S = 1.0

# An owner that had no room for a request within its objective is not
# asked again for this long, in the own region and in another one.
FULL_S = 0.05
REMOTE_FULL_S = 0.15


@dataclass(frozen=True)
class FullEndpoint:
    """What an owner said when it had no room.

    :param until_s: time until which it is not asked again.
    :param finish_s: seconds until it would have answered.
    """

    until_s: float
    finish_s: float


class GatewayNode:
    """Everything that the tasks of one instance share.

    :param settings: the process's settings.
    :param dialect: names of headers.
    :param source: decodes the items of the store.
    :param membership: the member list.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: HeaderNames,
        source: Source,
        membership: Membership,
    ):
        self.settings = settings
        self.dialect = dialect
        self.membership = membership
        self.keeper = CatalogueBuilder(source)
        self.catalogue: Catalogue = EMPTY_CATALOGUE
        self.routes = RouteTable(())
        self.by_service: dict[str, list[EndpointRecord]] = {}
        self.ownership: Ownership = EMPTY_OWNERSHIP
        self.owned: dict[str, OwnedEndpoint] = {}
        self.released: list[OwnedEndpoint] = []
        self.peer_pools = ConnectionPools()
        self.budgets: dict[str, FleetRetryBudget] = {}
        self.shift = ShiftLimit(settings.bounds.max_shift)
        self.shunned_s: dict[str, float] = {}
        self.full: dict[str, FullEndpoint] = {}
        self.forwards: dict[str, set[HttpClient]] = {}
        self.leaving = False
        self.configured_s = read_boot_clock()
        self.members_changed_s = self.configured_s
        self.observer = RequestObserver()

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served."""
        return self.catalogue.configuration is not None and not self.leaving

    def take_items(
        self, items: list[StoredItem], fresh_s: float
    ) -> list[StoredItem]:
        """Take over changed items of the store.

        :param items: the items.
        :param fresh_s: when the store confirmed them.
        :returns: the items that others have to know.
        """
        now_s = read_boot_clock()
        self.keeper.record_confirmation(fresh_s)
        told = self.keeper.apply(items, now_s)
        self.refresh()
        return told

    def refresh(self) -> None:
        """Follow a change of the catalogue, if there was one."""
        now_s = read_boot_clock()
        self.keeper.drop_expired(now_s)
        catalogue = self.keeper.take_catalogue()
        if catalogue is None:
            return
        old, self.catalogue = self.catalogue, catalogue
        configuration = catalogue.configuration
        if configuration is not old.configuration and configuration:
            self.routes = RouteTable(configuration.routes)
            self.configured_s = now_s
        by_service: dict[str, list[EndpointRecord]] = {}
        for endpoint in catalogue.endpoints.values():
            by_service.setdefault(endpoint.service, []).append(endpoint)
        self.by_service = by_service
        if old.evacuated != catalogue.evacuated:
            self.shift.suspend(now_s + self.settings.bounds.stable_s)
        if old.endpoints.keys() != catalogue.endpoints.keys():
            self.assign()
        self._update_owned(now_s)

    def assign(self) -> None:
        """Assign every endpoint to an instance."""
        shards = [
            Shard(e.name, e.service, e.region, e.domain, ())
            for e in sorted(
                self.catalogue.endpoints.values(), key=lambda e: e.name
            )
        ]
        candidates = [
            Candidate(record.name, record.region, record.domain)
            for record in self.membership.list_serving()
        ]
        self.ownership = assign_owners(shards, candidates)

    def _update_owned(self, now_s: float) -> None:
        for name, owned in list(self.owned.items()):
            endpoint = self.catalogue.endpoints.get(name)
            service = self._find_service(endpoint)
            if endpoint is None or service is None:
                owned.block(True, now_s)
                self.released.append(self.owned.pop(name))
                continue
            owned.update(endpoint, service, now_s)
            evacuated = endpoint.domain in self.catalogue.evacuated
            owned.block(evacuated, now_s)

    async def settle_owned(self) -> None:
        """Let the requests at owned endpoints follow the catalogue."""
        released, self.released = self.released, []
        for owned in released:
            await owned.wake_all()
            await owned.close()
        for owned in list(self.owned.values()):
            await owned.pump()
            if not owned.is_usable:
                await owned.wake_all()

    def _find_service(
        self, endpoint: EndpointRecord | None
    ) -> ServiceRecord | None:
        configuration = self.catalogue.configuration
        if endpoint is None or configuration is None:
            return None
        return configuration.services.get(endpoint.service)

    def find_owned(self, name: str) -> OwnedEndpoint | None:
        """Find an endpoint that requests may be sent to from here.

        :param name: name of the endpoint.
        :returns: its queue and connections; None if it is not listed.
        """
        owned = self.owned.get(name)
        if owned is not None:
            return owned
        endpoint = self.catalogue.endpoints.get(name)
        service = self._find_service(endpoint)
        if service is None:
            return None
        owned = OwnedEndpoint(self.dialect, endpoint, service, self.observer)
        owned.blocked = endpoint.domain in self.catalogue.evacuated
        self.owned[name] = owned
        log_event("endpoint_owned", endpoint=name, service=service.name)
        return owned

    def list_owners(
        self, endpoint: EndpointRecord, homes: frozenset[str] = frozenset()
    ) -> list[str]:
        """List the instances that may send to an endpoint, owner first.

        :param endpoint: the endpoint.
        :param homes: regions that may see the request; empty for all.
            This instance has it already.
        :returns: names of instances that were not found silent.
        """
        order: Iterable[str] = self.ownership.orders.get(endpoint.name, ())
        if not order:
            names = [r.name for r in self.membership.list_serving()]
            names.sort(key=lambda n: hash_text(f"{endpoint.name}|{n}"))
            order = names
        now_s = read_boot_clock()
        return [
            name
            for name in order
            if now_s >= self.shunned_s.get(name, 0.0)
            and self.is_heard(name)
            and self._may_see(name, homes)
        ]

    def _may_see(self, name: str, homes: frozenset[str]) -> bool:
        if not homes or name == self.settings.name:
            return True
        return self.membership.records[name].region in homes

    def is_heard(self, name: str) -> bool:
        """Tell whether an instance is not suspected to be silent.

        :param name: name of the instance.
        :returns: whether it may be used.
        """
        record = self.membership.records.get(name)
        return record is not None and record.state is MemberState.ALIVE

    def shun(self, name: str) -> None:
        """Pass an instance by for a while.

        :param name: name of the instance.
        """
        self.shunned_s[name] = read_boot_clock() + SHUN_S

    def note_full(self, endpoint: EndpointRecord, finish_s: float) -> None:
        """Remember that an endpoint had no room in time.

        :param endpoint: the endpoint.
        :param finish_s: seconds until it would have answered.
        """
        near = endpoint.region == self.settings.region
        wait_s = FULL_S if near else REMOTE_FULL_S
        until_s = read_boot_clock() + wait_s
        self.full[endpoint.name] = FullEndpoint(until_s, finish_s)

    def find_full(
        self, endpoint: EndpointRecord, now_s: float
    ) -> float | None:
        """Find whether an endpoint had no room in time just now.

        :param endpoint: the endpoint.
        :param now_s: the time.
        :returns: seconds until it would have answered; None if it
            should be asked.
        """
        known = self.full.get(endpoint.name)
        if known is None or now_s >= known.until_s:
            return None
        return known.finish_s

    def abort_forwards(self) -> None:
        """End idempotent requests at owners that have fallen silent."""
        for name, clients in self.forwards.items():
            if clients and not self.is_heard(name):
                for client in list(clients):
                    client.abort()

    def find_internal(self, name: str) -> Address | None:
        """Find the port for forwarded requests of an instance.

        :param name: name of the instance.
        :returns: its address, or None if it is not known.
        """
        record = self.membership.records.get(name)
        if record is None:
            return None
        # Ports are the same on all instances of a deployment.
        return Address(record.callers.host, self.settings.internal.port)

    def find_budget(self, service: str) -> FleetRetryBudget:
        """Find the part of a service's retry budget that is spent here.

        :param service: name of the service.
        :returns: the budget.
        """
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = FleetRetryBudget(
                bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
            )
            self.budgets[service] = budget
        return budget

    def list_callers_instances(
        self, domain: str, region: str, host: str = ""
    ) -> list[MemberRecord]:
        """List the instances that a caller should use.

        :param domain: the caller's failure domain.
        :param region: the caller's region.
        :param host: the host that it wants.
        :returns: those of its failure domain; else those of its region;
            else those of the host's homes; else all.
        """
        live = [
            r
            for r in self.membership.list_serving()
            if r.state is MemberState.ALIVE
            and (r.name != self.settings.name or not self.leaving)
        ]
        near = [r for r in live if r.domain == domain]
        if len(near) < 2:
            near = [r for r in live if r.region == region]
        homes = self.routes.find_allowed_regions(host)
        return near or [r for r in live if r.region in homes] or live
