"""Selection of the instances to which a request may be forwarded."""

from collections.abc import Iterator

from carawayvale.contracts.reasons import Reason
from carawayvale.links.messages import MemberRecord
from carawayvale.machines.entry_node import EntryNode


def list_forward_targets(
    node: EntryNode, service: str, reason: Reason, home: str
) -> Iterator[MemberRecord]:
    """List other instances that can serve a request, best first.

    A request without shift credit goes back to its home region. Any other
    request goes to owners in the region of this instance first, sorted by
    free slots, then to owners in regions with a recent report of free
    slots, starting with the region that has the most.

    :param node: state of the instance.
    :param service: name of the service.
    :param reason: why this instance does not serve the request. Unless it
        is NOT_OWNER, owners in the region of this instance are listed only
        if they report free slots, since the others would refuse as well.
    :param home: home region of the request, or empty if it is unknown.
    :returns: member records of the instances.
    """
    if reason is Reason.NO_CREDIT:
        yield from list_owners(node, service, home)
        return
    now_s = node.clock.read()
    for record in list_owners(node, service, node.own_record.region):
        free = node.headroom_table.find_owner_free_slots(
            record.name, service, now_s
        )
        if free or reason is Reason.NOT_OWNER:
            yield record
    for region in list_regions(node, service):
        yield from list_owners(node, service, region)


def list_owners(
    node: EntryNode, service: str, region: str
) -> list[MemberRecord]:
    """List the other instances that own shards of a service in a region.

    :param node: state of the instance.
    :param service: name of the service.
    :param region: name of the region.
    :returns: member records of the owners, those with the most free slots
        first; owners with equally many are in random order.
    """
    owners = set()
    for shard in node.ownership.list_region_shards(service, region):
        owner = node.ownership.find_owner(shard)
        if owner in node.serving and owner != node.own_record.name:
            owners.add(owner)
    now_s = node.clock.read()
    names = sorted(owners)
    node.random.shuffle(names)
    names.sort(
        key=lambda name: (
            -node.headroom_table.find_owner_free_slots(name, service, now_s)
        )
    )
    return [node.serving[name] for name in names]


def list_regions(node: EntryNode, service: str) -> list[str]:
    """List other regions with a recent report of free slots.

    :param node: state of the instance.
    :param service: name of the service.
    :returns: names of the regions, the one with the most free slots first.
    """
    now_s = node.clock.read()
    max_age_s = node.plan.deployment.headroom_age_s
    free = {
        region: node.headroom_table.find_free_slots(
            region, service, now_s, max_age_s
        )
        for region in node.plan.document.by_kind["region"]
        if region != node.own_record.region
    }
    regions = [region for region, slots in free.items() if slots > 0]
    regions.sort(key=lambda region: -free[region])
    return regions
