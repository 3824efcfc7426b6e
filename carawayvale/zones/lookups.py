"""Look up the entry instances that serve a service in a region."""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

from carawayvale.links.messages import MemberRecord
from carawayvale.zones.owner_table import Ownership
from carawayvale.zones.shards import Shard

# Maximum number of alternates in the response to one look-up.
MAX_ALTERNATES = 3


@dataclass(frozen=True)
class LookupTarget:
    """One entry instance in the response to a look-up.

    :param name: name of the instance.
    :param address: ``IP:port`` for callers.
    :param region: region of the instance.
    :param weight: relative share of the requests that callers send to
        the instance; 0 for an alternate.
    """

    name: str
    address: str
    region: str
    weight: int


def list_lookup_targets(
    ownership: Ownership,
    members: Mapping[str, MemberRecord],
    service: str,
    region: str,
) -> tuple[LookupTarget, ...]:
    """List the owners of a service's shards in a region, then alternates.

    The weight of an owner is the number of slots of its shards. A shard
    whose endpoints are all draining adds no weight. Successors of the
    owners follow as alternates with weight 0.

    :param ownership: owners and successors of all shards.
    :param members: the serving instances by name.
    :param service: name of the service.
    :param region: region of the endpoints.
    :returns: the targets; empty if no shard there has a serving owner
        or successor.
    """
    shards = ownership.list_region_shards(service, region)
    weights: dict[str, int] = {}
    for shard in shards:
        owner = ownership.find_owner(shard)
        if owner in members and has_available_endpoint(shard):
            weights[owner] = weights.get(owner, 0) + shard.slots
    alternates: dict[str, int] = {}
    for shard in shards:
        for name in ownership.owner_lists[shard.name][1:]:
            if name in members and name not in weights:
                alternates.setdefault(name, 0)
    weight_by_name = {
        **weights,
        **dict(list(alternates.items())[:MAX_ALTERNATES]),
    }
    return tuple(
        LookupTarget(
            name, str(members[name].callers), members[name].region, weight
        )
        for name, weight in weight_by_name.items()
    )


def has_available_endpoint(shard: Shard) -> bool:
    """Tell whether any endpoint of a shard accepts new requests.

    :param shard: the shard.
    :returns: whether at least one endpoint is not draining.
    """
    return any(not endpoint.draining for endpoint in shard.endpoints)


def rotate_targets(
    targets: Sequence[LookupTarget], number: int
) -> tuple[LookupTarget, ...]:
    """Move one owner to the front by weighted round robin.

    In as many consecutive look-ups as the sum of the weights, each
    owner comes first as often as its weight.

    :param targets: owners with their weights, then alternates.
    :param number: consecutive number of the look-up.
    :returns: the targets with the chosen owner first.
    """
    total = sum(target.weight for target in targets)
    if not total:
        return tuple(targets)
    offset = number % total
    for index, target in enumerate(targets):
        offset -= target.weight
        if offset < 0:
            others = targets[:index], targets[index + 1 :]
            return (target, *others[0], *others[1])
    return tuple(targets)
