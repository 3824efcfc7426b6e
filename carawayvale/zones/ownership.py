"""Assign shards of endpoints to entry instances by rendezvous hashing."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
import math
from typing import TYPE_CHECKING

from carawayvale.contracts.hashing import hash_text

if TYPE_CHECKING:
    from carawayvale.contracts.document import Document
    from carawayvale.contracts.sections import Endpoint

# An instance owns at most this multiple of the mean number of shards
# per instance in its region, rounded up.
MAX_LOAD_FACTOR = 1.25


@dataclass(frozen=True, order=True)
class Candidate:
    """An entry instance that may own shards.

    :param name: name of the instance.
    :param region: region of the instance.
    :param domain: failure domain of the instance.
    """

    name: str
    region: str
    domain: str


@dataclass(frozen=True)
class Shard:
    """Endpoints of one service in one failure domain with one owner.

    :param name: ``service/domain/index``.
    :param service: name of the service.
    :param region: region of the endpoints.
    :param domain: failure domain of the endpoints.
    :param endpoints: the endpoints, at most the service's shard size.
    """

    name: str
    service: str
    region: str
    domain: str
    endpoints: "tuple[Endpoint, ...]"

    @property
    def slots(self) -> int:
        """Number of slots that the endpoints declare."""
        return sum(endpoint.slots for endpoint in self.endpoints)


def list_shards(document: "Document") -> tuple[Shard, ...]:
    """Split the endpoints of the document into shards of bounded size.

    A shard has endpoints of one service in one failure domain only, at
    most as many as the service's shard size.

    :param document: the document in force.
    :returns: the shards, ordered by service, failure domain and index.
    """
    groups: "dict[tuple[str, str], list[Endpoint]]" = {}
    for endpoint in document.by_kind["endpoint"].values():
        key = (endpoint.service, endpoint.domain)
        groups.setdefault(key, []).append(endpoint)
    shards = []
    for (service, domain), endpoints in sorted(groups.items()):
        endpoints.sort(key=lambda endpoint: endpoint.name)
        size = document.by_kind["service"][service].shard_size
        for start in range(0, len(endpoints), size):
            shards.append(
                Shard(
                    f"{service}/{domain}/{start // size}",
                    service,
                    endpoints[0].region,
                    domain,
                    tuple(endpoints[start : start + size]),
                )
            )
    return tuple(shards)


def score_candidate(shard: Shard, candidate: Candidate) -> int:
    """Compute the rendezvous hash of a shard and a candidate.

    :param shard: the shard.
    :param candidate: the instance that may own the shard.
    :returns: the score; a candidate with a greater score is preferred.
    """
    return hash_text(f"{shard.name}|{candidate.name}")


def order_candidates(
    shard: Shard, candidates: Iterable[Candidate]
) -> list[Candidate]:
    """Sort the candidates for a shard by preference.

    Candidates in the shard's failure domain precede all others, and a
    greater score precedes a smaller one.

    :param shard: the shard.
    :param candidates: the live instances.
    :returns: the candidates, the most preferred first.
    """

    def make_key(candidate: Candidate) -> tuple[bool, int]:
        return (
            candidate.domain == shard.domain,
            score_candidate(shard, candidate),
        )

    return sorted(candidates, key=make_key, reverse=True)


@dataclass(frozen=True)
class Ownership:
    """The owner and the successors of every shard.

    :param shards: all shards by name.
    :param owner_lists: names of the owner and then of its successors,
        by name of the shard; empty for a shard without an owner.
    """

    shards: Mapping[str, Shard]
    owner_lists: Mapping[str, tuple[str, ...]]

    def find_owner(self, shard: Shard) -> str | None:
        """Find the owner of a shard.

        :param shard: the shard.
        :returns: name of the instance, or None if the shard has no
            owner.
        """
        names = self.owner_lists[shard.name]
        return names[0] if names else None

    def list_region_shards(
        self, service: str, region: str
    ) -> tuple[Shard, ...]:
        """List the shards of a service in a region.

        :param service: name of the service.
        :param region: name of the region.
        :returns: the shards; empty if the service has no endpoint there.
        """
        return tuple(
            shard
            for shard in self.shards.values()
            if shard.service == service and shard.region == region
        )


EMPTY_OWNERSHIP = Ownership({}, {})

# Maximum number of successors that are listed for each shard.
MAX_SUCCESSORS = 3


def assign_owners(
    shards: Sequence[Shard], candidates: Iterable[Candidate]
) -> Ownership:
    """Assign shards by rendezvous hashing with bounded loads.

    Each shard is assigned to a live instance of its region. The result
    depends on the arguments only, so instances with the same view of
    the members agree without exchanging messages. Shards of a region
    without a live instance have no owner: requests for them go to other
    regions and count towards the limits of those regions.

    :param shards: all shards.
    :param candidates: the live instances of all regions.
    :returns: owners and successors of all shards.

    >>> assign_owners((), ()).owner_lists
    {}
    """
    instances = sorted(candidates)
    loads = {instance.name: 0 for instance in instances}
    owner_lists = {}
    for region in sorted({shard.region for shard in shards}):
        local_instances = [i for i in instances if i.region == region]
        local_shards = [shard for shard in shards if shard.region == region]
        max_load = _limit_load(len(local_shards), len(local_instances))
        for shard in local_shards:
            names = [c.name for c in order_candidates(shard, local_instances)]
            owner = _pick_owner(names, loads, max_load)
            if owner is None:
                owner_lists[shard.name] = ()
                continue
            loads[owner] += 1
            names.remove(owner)
            owner_lists[shard.name] = (owner, *names[:MAX_SUCCESSORS])
    return Ownership({shard.name: shard for shard in shards}, owner_lists)


def _limit_load(shards: int, instances: int) -> int:
    """Compute the maximum number of shards that an instance may own."""
    if not instances:
        return 0
    return math.ceil(shards * MAX_LOAD_FACTOR / instances)


def _pick_owner(
    names: Sequence[str], loads: Mapping[str, int], max_load: int
) -> str | None:
    """Pick the most preferred instance whose load is below the maximum.

    If there is no such instance, the most preferred one is picked.
    """
    for name in names:
        if loads[name] < max_load:
            return name
    return names[0] if names else None
