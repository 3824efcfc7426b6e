"""Hold the state that the tasks and handlers of an instance share."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import replace
from random import Random

from carawayvale.capacity.link_meter import OWN_LINK
from carawayvale.capacity.loop_lag import LoopLag
from carawayvale.capacity.own_delay import OwnDelay
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
from carawayvale.gateway.configuration_age import ConfigurationAge
from carawayvale.gateway.crash_reports import CrashReports
from carawayvale.gateway.endpoint_context import EndpointContext
from carawayvale.gateway.endpoint_notices import EndpointNotices
from carawayvale.gateway.endpoint_owners import EndpointOwners
from carawayvale.gateway.forward_table import ForwardTable
from carawayvale.gateway.observer import RequestObserver
from carawayvale.gateway.owned_endpoint import OwnedEndpoint
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.process_memory import ProcessMemory
from carawayvale.gateway.quota_calls import QuotaCalls
from carawayvale.gateway.settings import GatewaySettings
from carawayvale.gateway.upstream import CONNECT_TIMEOUT_S
from carawayvale.links.connections import ConnectionPools
from carawayvale.links.membership import Membership
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import MemberState
from carawayvale.steering.common_failures import CommonFailures
from carawayvale.steering.expected_waits import ExpectedWaits
from carawayvale.steering.fair_shares import find_weights
from carawayvale.steering.full_endpoints import FullEndpoints
from carawayvale.steering.organisations import KeyTable
from carawayvale.steering.placement import group_by_region
from carawayvale.steering.placement import ObjectPlacement
from carawayvale.steering.planned_stops import PlannedStop
from carawayvale.steering.rates import FleetRetryBudget
from carawayvale.steering.rates import ShiftLimit
from carawayvale.steering.reachability import Reachability
from carawayvale.steering.region_shares import RegionShares
from carawayvale.steering.routing import RouteTable
from carawayvale.steering.spill import SpillPolicy
from carawayvale.telemetry.logs import log_event
from carawayvale.zones.caller_instances import choose_near
from carawayvale.zones.caller_instances import sample_by_weight

# Number of objects whose endpoints are kept in order.
MAX_PLACEMENTS = 2048

# Fraction of the retry budget that repeats for new objects leave for
# requests that failed.
REPEAT_RESERVE = 0.25


class GatewayNode:
    """State that all tasks and handlers of one instance share.

    :param settings: settings of the process.
    :param header_names: names of HTTP headers.
    :param source: decodes the items of the store.
    :param membership: the member list.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        header_names: HeaderNames,
        source: Source,
        membership: Membership,
    ):
        self.settings = settings
        self.header_names = header_names
        self.membership = membership
        self.memory = ProcessMemory(settings.memory_mb, settings.message_share)
        self.builder = CatalogueBuilder(source)
        self.catalogue: Catalogue = EMPTY_CATALOGUE
        self.routes = RouteTable(())
        self.key_table = KeyTable((), header_names.credentials_scheme)
        self.weights: Mapping[str, float] = {}
        self.usable_endpoints: dict[str, dict[str, list[EndpointRecord]]] = {}
        self._placements: dict[
            tuple[str, str, frozenset[str]], ObjectPlacement
        ] = {}
        self.owners = EndpointOwners(membership)
        self.owned: dict[str, OwnedEndpoint] = {}
        self.released: list[OwnedEndpoint] = []
        self.has_read_all = False
        self.peer_pools = ConnectionPools()
        self.retry_budgets: dict[str, FleetRetryBudget] = {}
        self.spills: dict[tuple[str, bool], SpillPolicy] = {}
        self.shift_limit = ShiftLimit(settings.bounds.max_shift)
        self.region_shares: dict[str, RegionShares] = {}
        self.full_endpoints = FullEndpoints()
        self.expected_waits = ExpectedWaits()
        self.common_failures: dict[str, CommonFailures] = {}
        self.forwards = ForwardTable()
        self.stop: PlannedStop | None = None
        self.reachability = Reachability()
        self.configured_s = read_boot_clock()
        self.configuration_age = ConfigurationAge(lambda: self.settings.bounds)
        self.members_changed_s = self.configured_s
        self.observer = RequestObserver()
        self.own_delay = OwnDelay(OWN_LINK, LoopLag())
        self.random = Random(membership.own_record.incarnation)
        self.notices = EndpointNotices(
            header_names, self.observer, self._group_usable_endpoints
        )
        self.crash_reports = CrashReports(settings.name, self.observer)
        self.quotas = QuotaCalls(
            membership,
            settings.bounds,
            self.peer_pools,
            self.find_internal_address,
            self.observer,
            self.own_delay,
        )
        self.endpoint_context = EndpointContext(
            header_names,
            self.observer,
            self.notices,
            self.crash_reports,
            self._may_repeat,
            self.owners.is_owner,
            self._record_connect,
            self.own_delay,
        )

    @property
    def leaving(self) -> bool:
        """Whether a planned stop was requested."""
        return self.stop is not None

    @property
    def is_ready(self) -> bool:
        """Whether the instance can serve requests."""
        return self.is_configured and not self.leaving

    @property
    def is_configured(self) -> bool:
        """Whether a configuration is in force.

        Changes from a peer may bring one before all items were read, and
        with them the requests that crash endpoints.
        """
        configuration = self.catalogue.configuration
        return configuration is not None and self.has_read_all

    @property
    def has_organisations(self) -> bool:
        """Whether callers have to identify their organisations by keys."""
        configuration = self.catalogue.configuration
        return configuration is not None and bool(configuration.organisations)

    def apply_items(
        self, items: list[StoredItem], confirmed_s: float
    ) -> list[StoredItem]:
        """Apply changed items of the store to the catalogue.

        :param items: the items.
        :param confirmed_s: time at which the store confirmed them.
        :returns: the items to disseminate to other instances.
        """
        now_s = read_boot_clock()
        self.builder.record_confirmation(confirmed_s)
        to_publish = self.builder.apply(items, now_s)
        self.refresh()
        return to_publish

    def refresh(self) -> None:
        """Update derived state if the catalogue has changed."""
        now_s = read_boot_clock()
        self.builder.outages.observe(now_s)
        self.builder.drop_expired(now_s)
        catalogue = self.builder.take_catalogue()
        if catalogue is None:
            return
        old, self.catalogue = self.catalogue, catalogue
        configuration = catalogue.configuration
        if configuration is not old.configuration and configuration:
            self.routes = RouteTable(configuration.routes)
            self.key_table = KeyTable(
                configuration.organisations.values(),
                self.header_names.credentials_scheme,
            )
            self.quotas.set_organisations(configuration.organisations)
            self.weights = find_weights(configuration.organisations)
            self.configured_s = now_s
        self._group_usable_endpoints()
        if old.evacuated != catalogue.evacuated:
            self.shift_limit.suspend(now_s + self.settings.bounds.stable_s)
        self.owners.set_endpoints(catalogue.endpoints)
        for name in old.endpoints.keys() - catalogue.endpoints.keys():
            self.notices.forget_limit(name)
            self.expected_waits.forget(name)
        self._update_owned(now_s)

    def _group_usable_endpoints(self) -> None:
        """Group the endpoints that may get requests by service and region."""
        self._placements.clear()
        by_service: dict[str, list[EndpointRecord]] = {}
        for endpoint in self.catalogue.endpoints.values():
            if self._accepts_requests(endpoint):
                by_service.setdefault(endpoint.service, []).append(endpoint)
        self.usable_endpoints = {
            service: group_by_region(endpoints)
            for service, endpoints in by_service.items()
        }

    def place_object(
        self, service: str, key: str, allowed_regions: frozenset[str]
    ) -> ObjectPlacement:
        """Order the usable endpoints of a service for an object.

        The order is kept until the endpoints change.

        :param service: name of the service.
        :param key: the object.
        :param allowed_regions: regions of the endpoints; empty for all.
        :returns: the endpoints in order.
        """
        place = (service, key, allowed_regions)
        placement = self._placements.get(place)
        if placement is None:
            placement = self.make_placement(*place)
            if len(self._placements) >= MAX_PLACEMENTS:
                del self._placements[next(iter(self._placements))]
            self._placements[place] = placement
        return placement

    def make_placement(
        self, service: str, key: str, allowed_regions: frozenset[str]
    ) -> ObjectPlacement:
        """Order the usable endpoints for a key that does not come again.

        :param service: name of the service.
        :param key: the key, for example the id of a request.
        :param allowed_regions: regions of the endpoints; empty for all.
        :returns: the endpoints in order.
        """
        by_region = self.usable_endpoints.get(service, {})
        if allowed_regions:
            by_region = {
                region: endpoints
                for region, endpoints in by_region.items()
                if region in allowed_regions
            }
        return ObjectPlacement(
            by_region, f"{service}|{key}", self.settings.region
        )

    def _accepts_requests(self, endpoint: EndpointRecord) -> bool:
        """Tell whether neither endpoint nor operators end its service."""
        evacuated = endpoint.domain in self.catalogue.evacuated
        leaving = self.notices.departures.includes(endpoint)
        return not (endpoint.is_draining or evacuated or leaving)

    def record_member_change(self, now_s: float) -> None:
        """Apply a change of the member list.

        :param now_s: the time.
        """
        self.members_changed_s = now_s
        self.owners.invalidate()
        region = self.settings.region
        serving = self.membership.list_serving()
        names = [r.name for r in serving if r.region == region]
        self.shift_limit.set_instances(self._count_equivalents(names))

    def _update_owned(self, now_s: float) -> None:
        for name, owned in list(self.owned.items()):
            endpoint = self.catalogue.endpoints.get(name)
            service = self._find_service(endpoint)
            if endpoint is None or service is None:
                owned.set_blocked(True, now_s)
                self.released.append(self.owned.pop(name))
                continue
            owned.update(endpoint, service, now_s)
            owned.queue.set_weights(self.weights)
            evacuated = endpoint.domain in self.catalogue.evacuated
            owned.set_blocked(evacuated, now_s)

    async def reconcile_owned(self) -> None:
        """Make the queues of owned endpoints agree with the catalogue.

        Waiting requests leave endpoints that may not be used any more.
        """
        released, self.released = self.released, []
        for owned in released:
            await owned.notify_waiters()
            await owned.close()
        for owned in list(self.owned.values()):
            await owned.dispatch()
            if not owned.is_usable:
                await owned.notify_waiters()

    def _find_service(
        self, endpoint: EndpointRecord | None
    ) -> ServiceRecord | None:
        configuration = self.catalogue.configuration
        if endpoint is None or configuration is None:
            return None
        return configuration.services.get(endpoint.service)

    def accepts_arrival(self, arrived_s: float) -> bool:
        """Tell whether a request may be sent to an endpoint.

        :param arrived_s: time at which it arrived.
        :returns: False if it arrived late in the planned stop.
        """
        return self.stop is None or self.stop.accepts(arrived_s)

    def limit_to_stop(self, owner_request: OwnerRequest) -> OwnerRequest:
        """Limit the times of a request to the end of the planned stop.

        :param owner_request: the request.
        :returns: the request, with earlier times while the instance stops.
        """
        if self.stop is None:
            return owner_request
        return replace(
            owner_request,
            objective_s=self.stop.limit(owner_request.objective_s),
            deadline_s=self.stop.limit(owner_request.deadline_s),
        )

    async def limit_waiting(
        self, until_s: float, request_ids: frozenset[bytes] | None = None
    ) -> None:
        """Limit the times of requests that wait for a slot at this instance.

        :param until_s: time by which they have to be complete.
        :param request_ids: ids of the requests; None for all.
        """
        for owned in list(self.owned.values()):
            await owned.limit_waiting(until_s, request_ids)

    def find_owned(self, name: str) -> OwnedEndpoint | None:
        """Find or create the queue and connections of an endpoint.

        :param name: name of the endpoint.
        :returns: the owned endpoint; None if the catalogue does not list
            it.
        """
        owned = self.owned.get(name)
        if owned is not None:
            return owned
        endpoint = self.catalogue.endpoints.get(name)
        service = self._find_service(endpoint)
        if service is None:
            return None
        owned = OwnedEndpoint(self.endpoint_context, endpoint, service)
        owned.blocked = endpoint.domain in self.catalogue.evacuated
        owned.queue.set_weights(self.weights)
        self.owned[name] = owned
        log_event("endpoint_owned", endpoint=name, service=service.name)
        return owned

    def _record_connect(self, name: str, reached: bool, now_s: float) -> None:
        """Record a connection attempt, unless its timeout proves nothing."""
        started_s = now_s - CONNECT_TIMEOUT_S
        if reached or not self.own_delay.was_behind(started_s):
            self.reachability.record_connect(name, reached, now_s)

    def _may_repeat(self, service: str) -> bool:
        """Spend one retry of the budget for a repeat, if one is left."""
        return self.spend_retry(service, REPEAT_RESERVE)

    def spend_retry(self, service: str, reserve: float = 0.0) -> bool:
        """Spend one retry of the budget of a service if one is left.

        :param service: name of the service.
        :param reserve: fraction of the budget that is left for others.
        :returns: whether the retry may be sent.
        """
        instances = self._count_equivalents(self.membership.records)
        return self.find_retry_budget(service).spend(
            read_boot_clock(), instances, reserve
        )

    def _count_equivalents(self, names: Iterable[str]) -> float:
        """Count some instances, each by its weight relative to this one."""
        weights = self.membership.weights
        return weights.count_equivalents(self.settings.name, names)

    def describe_state(self, name: str) -> str:
        """Name the state of an instance for logs and metrics.

        :param name: name of the instance.
        :returns: the state in lower case; ``unknown`` if the instance is
            not in the member list.
        """
        record = self.membership.records.get(name)
        return "unknown" if record is None else record.state.name.lower()

    def abort_forwards(self) -> None:
        """Abort idempotent requests at owners that cannot finish them."""
        for owner in self.forwards.list_owners():
            if self.membership.may_finish(owner.name, owner.incarnation):
                continue
            number = self.forwards.abort(owner)
            record = self.membership.records.get(owner.name)
            if record is not None:
                self.observer.record_aborted_forwards(record, number)

    def find_internal_address(self, name: str) -> Address | None:
        """Find the address for requests forwarded to an instance.

        :param name: name of the instance.
        :returns: the address, or None if the instance is not known.
        """
        record = self.membership.records.get(name)
        if record is None:
            return None
        # All instances of a deployment use the same ports.
        return Address(record.callers.host, self.settings.internal.port)

    def find_retry_budget(self, service: str) -> FleetRetryBudget:
        """Find or create this instance's retry budget of a service.

        :param service: name of the service.
        :returns: the retry budget.
        """
        budget = self.retry_budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = FleetRetryBudget(
                bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
            )
            self.retry_budgets[service] = budget
        return budget

    def find_region_shares(
        self, service: str, now_s: float
    ) -> RegionShares | None:
        """Find or create the shares that regions accept of a service.

        :param service: name of the service.
        :param now_s: the time.
        :returns: the shares; None if its endpoints report no pace.
        """
        if not self.notices.reports_pace(service, now_s):
            return None
        shares = self.region_shares.get(service)
        if shares is None:
            shares = RegionShares(self.settings.region)
            self.region_shares[service] = shares
        return shares

    def find_common_failures(self, service: str) -> CommonFailures:
        """Find or create the reports about the failures of a service.

        :param service: name of the service.
        :returns: the reports.
        """
        return self.common_failures.setdefault(service, CommonFailures())

    def find_spill(self, service: str, late: bool) -> SpillPolicy:
        """Find or create the policy for tries after a full endpoint.

        :param service: name of the service.
        :param late: whether the tries are for late responses.
        :returns: the policy.
        """
        return self.spills.setdefault((service, late), SpillPolicy())

    def list_instances_for_caller(
        self, domain: str, region: str, host: str = ""
    ) -> list[MemberRecord]:
        """List the instances that a caller should use.

        :param domain: failure domain of the caller.
        :param region: region of the caller.
        :param host: host name that the caller requests.
        :returns: the instances of the failure domain if these are strong
            enough; else those of the region; else those of the regions
            that may serve the host; else all. Each is chosen as often as
            its weight says. Instances that are leaving count only if there
            are no others.
        """
        alive = [
            r
            for r in self.membership.list_serving()
            if r.state is MemberState.ALIVE
            and (r.name != self.settings.name or not self.leaving)
        ]
        # If all instances leave at once, some of them still take requests.
        alive = alive or self.membership.list_recently_left()
        find_weight = self.membership.weights.find
        nearby = choose_near(alive, domain, region, find_weight)
        allowed_regions = self.routes.find_allowed_regions(host)
        usable = (
            nearby
            or [r for r in alive if r.region in allowed_regions]
            or alive
        )
        return sample_by_weight(usable, find_weight, self.random)
