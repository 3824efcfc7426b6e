"""Chooses the owner of each shard as a pure function of the members."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
import math

from carawayvale.contracts.document import Document
from carawayvale.contracts.hashing import hash_text
from carawayvale.contracts.sections import Endpoint

BOUND_SLACK = 1.25


@dataclass(frozen=True, order=True)
class Candidate:
    """An entry instance that may own shards.

    :param name: name of the instance.
    :param region: region that it runs in.
    :param domain: failure domain that it runs in.
    """

    name: str
    region: str
    domain: str


@dataclass(frozen=True)
class Shard:
    """Endpoints of one service in one failure domain with one owner.

    :param name: ``service/domain/index``.
    :param endpoints: the endpoints, at most the service's shard size.
    """

    name: str
    service: str
    region: str
    domain: str
    endpoints: tuple[Endpoint, ...]

    @property
    def slots(self) -> int:
        """Sum of the declared slots."""
        return sum(endpoint.slots for endpoint in self.endpoints)


def list_shards(document: Document) -> tuple[Shard, ...]:
    """Split the endpoints of each pool into shards of bounded size.

    :param document: the document in force.
    :returns: the shards in the order of their names.
    """
    pools: dict[tuple[str, str], list[Endpoint]] = {}
    for endpoint in document.by_kind["endpoint"].values():
        key = (endpoint.service, endpoint.domain)
        pools.setdefault(key, []).append(endpoint)
    shards = []
    for (service, domain), pool in sorted(pools.items()):
        pool.sort(key=lambda endpoint: endpoint.name)
        size = document.by_kind["service"][service].shard_size
        for start in range(0, len(pool), size):
            shards.append(
                Shard(
                    f"{service}/{domain}/{start // size}",
                    service,
                    pool[0].region,
                    domain,
                    tuple(pool[start : start + size]),
                )
            )
    return tuple(shards)


def score_candidate(shard: Shard, candidate: Candidate) -> int:
    """Score a candidate by rendezvous hashing.

    :param shard: the shard to own.
    :param candidate: an instance.
    :returns: a score that differs between shards and candidates.
    """
    return hash_text(f"{shard.name}|{candidate.name}")


def order_candidates(
    shard: Shard, candidates: Iterable[Candidate]
) -> list[Candidate]:
    """Order candidates for a shard, best first.

    Candidates of the shard's failure domain precede the others.

    :param shard: the shard to own.
    :param candidates: the live instances.
    :returns: the candidates, best first.
    """

    def rank(candidate: Candidate) -> tuple[bool, int]:
        return (
            candidate.domain == shard.domain,
            score_candidate(shard, candidate),
        )

    return sorted(candidates, key=rank, reverse=True)


@dataclass(frozen=True)
class Ownership:
    """The owner and the successors of every shard.

    :param shards: all shards by name.
    :param owner_lists: names of instances for each shard, the owner first.
    """

    shards: Mapping[str, Shard]
    owner_lists: Mapping[str, tuple[str, ...]]

    def find_owner(self, shard: Shard) -> str | None:
        """Find the owner of a shard.

        :param shard: the shard.
        :returns: name of the instance, or None without live instances.
        """
        order = self.owner_lists[shard.name]
        return order[0] if order else None

    def list_region_shards(
        self, service: str, region: str
    ) -> tuple[Shard, ...]:
        """List the shards of a service in a region.

        :param service: name of the service.
        :param region: name of the region.
        :returns: the shards; none where the service has no endpoint.
        """
        return tuple(
            shard
            for shard in self.shards.values()
            if shard.service == service and shard.region == region
        )


EMPTY_OWNERSHIP = Ownership({}, {})
SUCCESSORS = 3


def assign_owners(
    shards: Sequence[Shard], candidates: Iterable[Candidate]
) -> Ownership:
    """Assign each shard to one live instance, with a bound on each.

    The result depends on the arguments only, so instances with the same
    view agree without a message. Endpoints of a region without a live
    instance have no owner: its requests go to other regions, whose
    limits then count them.

    :param shards: all shards.
    :param candidates: the live instances of all regions.
    :returns: owners and successors.

    >>> assign_owners((), ()).owner_lists
    {}
    """
    members = sorted(candidates)
    loads = {member.name: 0 for member in members}
    owner_lists = {}
    for region in sorted({shard.region for shard in shards}):
        local = [m for m in members if m.region == region]
        mine = [shard for shard in shards if shard.region == region]
        bound = _bound_shards(len(mine), len(local))
        for shard in mine:
            order = [c.name for c in order_candidates(shard, local)]
            owner = _pick_owner(order, loads, bound)
            if owner is None:
                owner_lists[shard.name] = ()
                continue
            loads[owner] += 1
            order.remove(owner)
            owner_lists[shard.name] = (owner, *order[:SUCCESSORS])
    return Ownership({shard.name: shard for shard in shards}, owner_lists)


def _bound_shards(shards: int, members: int) -> int:
    if not members:
        return 0
    return math.ceil(shards * BOUND_SLACK / members)


def _pick_owner(
    order: Sequence[str], loads: Mapping[str, int], bound: int
) -> str | None:
    for name in order:
        if loads[name] < bound:
            return name
    return order[0] if order else None
