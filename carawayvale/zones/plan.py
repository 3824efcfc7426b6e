"""Routing plan of an entry instance for one revision of the document."""

from collections.abc import Mapping
from dataclasses import dataclass

from carawayvale.contracts.document import Document
from carawayvale.contracts.retries import IDEMPOTENT_METHODS
from carawayvale.contracts.sections import Deployment
from carawayvale.contracts.sections import Rank
from carawayvale.contracts.sections import Route
from carawayvale.contracts.sections import Service
from carawayvale.contracts.sections import Shift
from carawayvale.zones.blocks import BlockTable
from carawayvale.zones.blocks import NamedBlock
from carawayvale.zones.limits import allot_all_quotas
from carawayvale.zones.shards import list_shards
from carawayvale.zones.shards import Shard

# Settings for a document without a deployment section.
DEFAULT_DEPLOYMENT = Deployment(name="default", owner="none")


@dataclass(frozen=True)
class RequestPolicy:
    """Rank of a request and whether the request is idempotent.

    :param rank: rank of the request.
    :param idempotent: whether the request may safely run twice.
    """

    rank: Rank
    idempotent: bool


@dataclass(frozen=True)
class RoutingPlan:
    """Tables for routing decisions, derived from a document.

    :param document: the document.
    :param deployment: settings of the whole deployment.
    :param shards: all shards.
    :param quotas: quota of each endpoint in slots under the limit of its
        region, by name of the endpoint.
    :param routes: routes by service, the most specific first.
    :param home_regions: home regions by network of the caller.
    :param caller_classes: caller classes by network of the caller.
    """

    document: Document
    deployment: Deployment
    shards: tuple[Shard, ...]
    quotas: Mapping[str, int]
    routes: Mapping[str, tuple[Route, ...]]
    home_regions: BlockTable
    caller_classes: BlockTable

    @property
    def revision(self) -> int:
        """Revision of the document."""
        return self.document.revision

    @property
    def ranks(self) -> Mapping[str, Rank]:
        """Ranks by name."""
        return self.document.by_kind["rank"]

    @property
    def services(self) -> Mapping[str, Service]:
        """Services by name."""
        return self.document.by_kind["service"]

    def find_shift(self, service: str, source: str) -> Shift | None:
        """Find the planned shift of a service away from a region.

        :param service: name of the service.
        :param source: name of the region.
        :returns: the shift, or None.
        """
        for shift in self.document.by_kind["shift"].values():
            if (shift.service, shift.source) == (service, source):
                return shift
        return None

    def classify(
        self, service: Service, method: str, path: str, caller: str
    ) -> RequestPolicy:
        """Determine the rank of a request and whether it is idempotent.

        The most specific route that matches the request decides. Without
        a matching route, the service gives the rank. The method tells
        whether the request is idempotent unless the route does.

        :param service: service that is requested.
        :param method: HTTP method.
        :param path: path of the request target.
        :param caller: IP address of the caller.
        :returns: rank and idempotence of the request.
        """
        idempotent = method in IDEMPOTENT_METHODS
        for route in self.routes.get(service.name, ()):
            if not path.startswith(route.path):
                continue
            if route.methods and method not in route.methods:
                continue
            if (
                route.caller
                and self.caller_classes.find(caller) != route.caller
            ):
                continue
            if route.idempotent is not None:
                idempotent = route.idempotent
            return RequestPolicy(self.ranks[route.rank], idempotent)
        return RequestPolicy(self.ranks[service.rank], idempotent)


def make_plan(
    document: Document, previous: RoutingPlan | None = None
) -> RoutingPlan:
    """Derive the routing plan from a document.

    :param document: a valid document.
    :param previous: an earlier plan, or None. Its tables of networks are
        reused if their networks did not change.
    :returns: the plan.
    """
    by_kind = document.by_kind
    routes: dict[str, list[Route]] = {}
    for route in sorted(by_kind["route"].values(), key=make_route_sort_key):
        routes.setdefault(route.service, []).append(route)
    deployments = by_kind["deployment"].values()
    return RoutingPlan(
        document,
        next(iter(deployments), DEFAULT_DEPLOYMENT),
        list_shards(document),
        allot_all_quotas(document),
        {name: tuple(ordered) for name, ordered in routes.items()},
        make_block_table(
            by_kind["region"], previous.home_regions if previous else None
        ),
        make_block_table(
            by_kind["caller"], previous.caller_classes if previous else None
        ),
    )


def make_block_table(
    sections: Mapping, previous: BlockTable | None
) -> BlockTable:
    """Make the table of the networks of regions or caller classes.

    :param sections: sections with ``blocks``, by name.
    :param previous: an earlier table, or None. It is reused if the
        networks did not change.
    :returns: the table.
    """
    blocks = list_blocks(sections)
    if previous is not None and previous.blocks == blocks:
        return previous
    return BlockTable(blocks)


def make_route_sort_key(route: Route) -> tuple[int, bool, bool, str]:
    """Make the key that sorts routes, the most specific first.

    A longer path is more specific. Among paths of equal length, routes
    with methods come first, then routes with a caller class; routes that
    are still equal are ordered by name.

    :param route: the route.
    :returns: the sort key.
    """
    return (
        -len(route.path),
        not route.methods,
        not route.caller,
        route.name,
    )


def list_blocks(sections: Mapping) -> tuple[NamedBlock, ...]:
    """List the networks of regions or caller classes.

    :param sections: sections with ``blocks``, by name.
    :returns: the networks, each with the name of its section.
    """
    return tuple(
        NamedBlock(network, name)
        for name, section in sections.items()
        for network in section.blocks
    )
