"""Answers of look-ups: which entry instances serve a service."""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

from carawayvale.links.messages import MemberRecord
from carawayvale.zones.ownership import Ownership
from carawayvale.zones.ownership import Shard

MAX_ALTERNATES = 3


@dataclass(frozen=True)
class LookupTarget:
    """One entry instance of a look-up's answer.

    :param name: name of the instance.
    :param address: ``IP:port`` for callers.
    :param region: its region.
    :param weight: share of the requests; 0 for an alternate.
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
    """List owners by weight, then successors as alternates.

    :param ownership: owners and successors of all shards.
    :param members: the serving instances by name.
    :param service: the service.
    :param region: region whose endpoints are to serve.
    :returns: the targets; none if nobody owns a shard there.
    """
    shards = ownership.list_region_shards(service, region)
    weights: dict[str, int] = {}
    for shard in shards:
        owner = ownership.find_owner(shard)
        if owner in members and has_capacity(shard):
            weights[owner] = weights.get(owner, 0) + shard.slots
    alternates: dict[str, int] = {}
    for shard in shards:
        for name in ownership.owner_lists[shard.name][1:]:
            if name in members and name not in weights:
                alternates.setdefault(name, 0)
    chosen = {
        **weights,
        **dict(list(alternates.items())[:MAX_ALTERNATES]),
    }
    return tuple(
        LookupTarget(
            name, str(members[name].callers), members[name].region, weight
        )
        for name, weight in chosen.items()
    )


def has_capacity(shard: Shard) -> bool:
    """Tell whether any endpoint of a shard takes new work.

    :param shard: the shard.
    :returns: whether one is not draining.
    """
    return any(not endpoint.draining for endpoint in shard.endpoints)


def rotate_targets(
    targets: Sequence[LookupTarget], turn: int
) -> tuple[LookupTarget, ...]:
    """Put one owner first, each as often as its weight says.

    :param targets: owners by weight, then alternates.
    :param turn: number of the look-up.
    :returns: the targets with the chosen owner first.
    """
    total = sum(target.weight for target in targets)
    if not total:
        return tuple(targets)
    place = turn % total
    for index, target in enumerate(targets):
        place -= target.weight
        if place < 0:
            rest = targets[:index], targets[index + 1 :]
            return (target, *rest[0], *rest[1])
    return tuple(targets)
