"""Find the instances that own endpoints, as one instance sees them."""

from collections.abc import Iterable
from collections.abc import Mapping

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.contracts.hashing import hash_text
from carawayvale.links.membership import Membership
from carawayvale.zones.owner_table import Ownership
from carawayvale.zones.owner_table import OwnerTable
from carawayvale.zones.shards import Candidate
from carawayvale.zones.shards import Shard

# An instance that could not be reached gets no requests for this long.
UNREACHABLE_BACKOFF_S = 1.0


class EndpointOwners:
    """Owners of all endpoints, each of which is a shard of its own.

    The owners are computed when they are next read, once for all changes of
    members and endpoints until then.

    :param membership: the member list.
    """

    def __init__(self, membership: Membership):
        self.membership = membership
        self.endpoints: Mapping[str, EndpointRecord] = {}
        self.owner_table = OwnerTable()
        self.backoff_until_s: dict[str, float] = {}
        self._ownership: Ownership | None = None

    def set_endpoints(self, endpoints: Mapping[str, EndpointRecord]) -> None:
        """Set the endpoints of the catalogue.

        :param endpoints: the endpoints by name.
        """
        if self.endpoints.keys() != endpoints.keys():
            self.invalidate()
        self.endpoints = endpoints

    def invalidate(self) -> None:
        """Note that the members or the endpoints changed."""
        self._ownership = None

    @property
    def ownership(self) -> Ownership:
        """The owners of all endpoints."""
        if self._ownership is None:
            self._ownership = self._assign()
        return self._ownership

    def _assign(self) -> Ownership:
        self.owner_table.set_shards(
            [
                Shard(e.name, e.service, e.region, e.domain, ())
                for _, e in sorted(self.endpoints.items())
            ]
        )
        self.owner_table.set_candidates(
            Candidate(
                record.name,
                record.region,
                record.domain,
                self.membership.weights.find(record.name),
            )
            for record in self.membership.list_serving()
        )
        return self.owner_table.assign()

    def is_owner(self, endpoint: str) -> bool:
        """Tell whether this instance is the owner of an endpoint.

        :param endpoint: name of the endpoint.
        :returns: whether it is the first of the candidates.
        """
        owners = self.ownership.owner_lists.get(endpoint)
        return bool(owners) and owners[0] == self.membership.own_record.name

    def list_owners(
        self,
        endpoint: EndpointRecord,
        allowed_regions: frozenset[str] = frozenset(),
    ) -> list[str]:
        """List the reachable owner candidates of an endpoint in order.

        If no instance serves in the endpoint's region, the instances of
        all regions are candidates. If none of these may handle the request,
        the leaving ones are, since they serve on for a while.

        :param endpoint: the endpoint.
        :param allowed_regions: regions whose instances may handle the request;
            empty for all. This instance is listed in any case, since it
            has the request already.
        :returns: names of the instances, the owner first.
        """
        order: Iterable[str] = self.ownership.owner_lists.get(
            endpoint.name, ()
        )
        if not order:
            names = [r.name for r in self.membership.list_serving()]
            names.sort(key=lambda n: hash_text(f"{endpoint.name}|{n}"))
            order = names
        owners = [
            name
            for name in order
            if self.membership.accepts_requests(name)
            and self._may_handle(name, allowed_regions)
        ]
        if not owners:
            owners = [
                name
                for name in self._list_leaving(endpoint)
                if self._may_handle(name, allowed_regions)
            ]
        now_s = read_boot_clock()
        return [
            name
            for name in owners
            if now_s >= self.backoff_until_s.get(name, 0.0)
        ]

    def _list_leaving(self, endpoint: EndpointRecord) -> list[str]:
        """List the leaving instances in the order in which they may own.

        Those that left lately come first, since the others end before they
        finish what they are sent; then this instance, which has the request
        already. Within each group, those near the endpoint come first.
        """
        membership = self.membership
        recent = {record.name for record in membership.list_recently_left()}
        groups = {name: 0 for name in recent}
        groups.setdefault(membership.own_record.name, 1)
        leaving = membership.list_leaving()
        leaving.sort(
            key=lambda record: (
                groups.get(record.name, 2),
                record.region != endpoint.region,
                hash_text(f"{endpoint.name}|{record.name}"),
            )
        )
        return [record.name for record in leaving]

    def _may_handle(self, name: str, allowed_regions: frozenset[str]) -> bool:
        if not allowed_regions or name == self.membership.own_record.name:
            return True
        return self.membership.records[name].region in allowed_regions

    def back_off(self, name: str) -> None:
        """Send no requests to an unreachable instance for a while.

        :param name: name of the instance.
        """
        self.backoff_until_s[name] = read_boot_clock() + UNREACHABLE_BACKOFF_S
