"""Chooses the instances to which a request may be forwarded."""

from collections.abc import Iterator

from carawayvale.contracts.reasons import Reason
from carawayvale.links.messages import MemberRecord
from carawayvale.machines.entry_node import EntryNode


def list_forward_targets(
    node: EntryNode, service: str, reason: Reason, home: str
) -> Iterator[MemberRecord]:
    """List other instances that can serve a request, best first.

    A request that may not be shifted goes back to its home region.
    Otherwise owners of the own region come first, those with free slots
    before the others; then owners in regions with a fresh report of
    free slots, the region with the most free ones first.

    :param node: the instance.
    :param service: the service.
    :param reason: why this instance does not serve it. If it owns a
        part of the pool, only owners that report free slots are listed,
        since others would refuse as well.
    :param home: home region of the request, or empty.
    :returns: records of the instances.
    """
    if reason is Reason.NO_CREDIT:
        yield from list_owners(node, service, home)
        return
    now_s = node.clock.read()
    for record in list_owners(node, service, node.me.region):
        free = node.book.find_owner_free_slots(record.name, service, now_s)
        if free or reason is Reason.NOT_OWNER:
            yield record
    for region in list_regions(node, service):
        yield from list_owners(node, service, region)


def list_owners(
    node: EntryNode, service: str, region: str
) -> list[MemberRecord]:
    """List the owners of a service's shards in a region.

    :param node: the instance.
    :param service: the service.
    :param region: the region.
    :returns: records of other instances, in a random order among those
        with equal free slots.
    """
    owners = set()
    for shard in node.ownership.list_region_shards(service, region):
        owner = node.ownership.find_owner(shard)
        if owner in node.serving and owner != node.me.name:
            owners.add(owner)
    now_s = node.clock.read()
    ordered = sorted(owners)
    node.random.shuffle(ordered)
    ordered.sort(
        key=lambda name: -node.book.find_owner_free_slots(name, service, now_s)
    )
    return [node.serving[name] for name in ordered]


def list_regions(node: EntryNode, service: str) -> list[str]:
    """List other regions with a fresh report of free slots.

    :param node: the instance.
    :param service: the service.
    :returns: names of regions, the one with the most free slots first.
    """
    now_s = node.clock.read()
    age_s = node.plan.deployment.headroom_age_s
    free = {
        region: node.book.find_free_slots(region, service, now_s, age_s)
        for region in node.plan.document.by_kind["region"]
        if region != node.me.region
    }
    found = [region for region, slots in free.items() if slots > 0]
    found.sort(key=lambda region: -free[region])
    return found
