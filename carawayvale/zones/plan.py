"""What an entry instance derives from one revision of the document."""

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
from carawayvale.zones.ownership import list_shards
from carawayvale.zones.ownership import Shard

DEFAULT_DEPLOYMENT = Deployment(name="default", owner="none")


@dataclass(frozen=True)
class RequestPolicy:
    """How requests of one kind are treated.

    :param rank: their rank.
    :param idempotent: whether a second run does no harm.
    """

    rank: Rank
    idempotent: bool


@dataclass(frozen=True)
class RoutingPlan:
    """A document in the form that decisions need.

    :param document: the document.
    :param deployment: values for the whole deployment.
    :param shards: all shards.
    :param quotas: slots for each endpoint under the regions' limits.
    :param routes: routes by service, the most specific first.
    :param home_regions: regions by network of the caller.
    :param classes: caller classes by network.
    """

    document: Document
    deployment: Deployment
    shards: tuple[Shard, ...]
    quotas: Mapping[str, int]
    routes: Mapping[str, tuple[Route, ...]]
    home_regions: BlockTable
    classes: BlockTable

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
        """Find the planned shift of a service out of a region.

        :param service: name of the service.
        :param source: the region.
        :returns: the shift, or None.
        """
        for shift in self.document.by_kind["shift"].values():
            if (shift.service, shift.source) == (service, source):
                return shift
        return None

    def classify(
        self, service: Service, method: str, path: str, caller: str
    ) -> RequestPolicy:
        """Find how a request is treated.

        :param service: its service.
        :param method: HTTP method.
        :param path: path of its target.
        :param caller: IP address of the caller.
        :returns: the treatment.
        """
        idempotent = method in IDEMPOTENT_METHODS
        for route in self.routes.get(service.name, ()):
            if not path.startswith(route.path):
                continue
            if route.methods and method not in route.methods:
                continue
            if route.caller and self.classes.find(caller) != route.caller:
                continue
            if route.idempotent is not None:
                idempotent = route.idempotent
            return RequestPolicy(self.ranks[route.rank], idempotent)
        return RequestPolicy(self.ranks[service.rank], idempotent)


def make_plan(
    document: Document, known: RoutingPlan | None = None
) -> RoutingPlan:
    """Derive a plan from a document.

    :param document: a valid document.
    :param known: an earlier plan, whose tables are kept where their
        networks did not change.
    :returns: the plan.
    """
    groups = document.by_kind
    routes: dict[str, list[Route]] = {}
    for route in sorted(groups["route"].values(), key=rank_route):
        routes.setdefault(route.service, []).append(route)
    deployments = groups["deployment"].values()
    return RoutingPlan(
        document,
        next(iter(deployments), DEFAULT_DEPLOYMENT),
        list_shards(document),
        allot_all_quotas(document),
        {name: tuple(listed) for name, listed in routes.items()},
        make_table(groups["region"], known.home_regions if known else None),
        make_table(groups["caller"], known.classes if known else None),
    )


def make_table(sections: Mapping, known: BlockTable | None) -> BlockTable:
    """Make the table of sections' networks, or keep the known one.

    :param sections: sections with ``blocks``, by name.
    :param known: the table made last, or None.
    :returns: the table.
    """
    blocks = list_blocks(sections)
    if known is not None and known.blocks == blocks:
        return known
    return BlockTable(blocks)


def rank_route(route: Route) -> tuple[int, bool, bool, str]:
    """Give the place of a route among others, the most specific first.

    :param route: the route.
    :returns: a key to sort by.
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
    :returns: the networks with the sections' names.
    """
    return tuple(
        NamedBlock(network, name)
        for name, section in sections.items()
        for network in section.blocks
    )
