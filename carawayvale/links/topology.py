"""Choose which instances link with each other, and who has a role."""

from collections.abc import Iterable
from collections.abc import Mapping
from heapq import nsmallest
from random import Random

from carawayvale.capacity.weights import find_equal_weight
from carawayvale.capacity.weights import FindWeight
from carawayvale.contracts.address import Address
from carawayvale.contracts.hashing import hash_text
from carawayvale.links.messages import MemberRecord

MAX_MESH_INSTANCES = 9
RING_COUNT = 3
# Bridges are the instances that link with other regions.
BRIDGES_PER_REGION = 2

ROLE_BRIDGE = "bridge"
ROLE_WATCHER = "watcher"

# Instances below this part of the greatest weight are elected last.
MIN_ELECTED_WEIGHT = 0.5

# Number of seeds that are dialled at once. Each sends its whole member
# list, so a few are enough to learn of all others.
REDIAL_FANOUT = 3


def elect(
    members: Iterable[MemberRecord],
    region: str,
    role: str,
    count: int,
    find_weight: FindWeight = find_equal_weight,
) -> tuple[str, ...]:
    """Elect the instances of a region for a role by rendezvous hashing.

    :param members: records of the live instances.
    :param region: name of the region.
    :param role: name of the role.
    :param count: number of instances to elect.
    :param find_weight: finds the weight of an instance by its name.
    :returns: names of the elected instances, in the order of their hashes;
        those of small weight come last.
    """
    weights = {
        m.name: find_weight(m.name) for m in members if m.region == region
    }
    greatest = max(weights.values(), default=0.0)

    def rank(name: str) -> tuple[bool, int]:
        is_small = weights[name] < MIN_ELECTED_WEIGHT * greatest
        return is_small, hash_text(f"{role}|{name}")

    return tuple(nsmallest(count, weights, rank))


def choose_neighbours(
    name: str, region: str, members: Iterable[MemberRecord]
) -> frozenset[str]:
    """Choose the neighbours of an instance in the link topology.

    A region of up to MAX_MESH_INSTANCES is a full mesh. In a larger
    region, each instance links with its two neighbours on each of three
    rings, which are ordered by hashes with different salts. The diameter
    of such a graph grows with the logarithm of the region size. The
    bridges of all regions link with each other.

    :param name: name of the instance.
    :param region: region of the instance.
    :param members: live instances of all regions.
    :returns: names of the neighbours; the relation is symmetric.
    """
    listed = list(members)
    local = [m.name for m in listed if m.region == region]
    if len(local) <= MAX_MESH_INSTANCES or name not in local:
        chosen = set(local)
    else:
        chosen = set()
        for number in range(RING_COUNT):
            chosen.update(find_ring_neighbours(name, local, number))
    if name in elect(listed, region, ROLE_BRIDGE, BRIDGES_PER_REGION):
        for other in {m.region for m in listed} - {region}:
            chosen.update(
                elect(listed, other, ROLE_BRIDGE, BRIDGES_PER_REGION)
            )
    chosen.discard(name)
    return frozenset(chosen)


def find_ring_neighbours(
    name: str, names: Iterable[str], number: int
) -> tuple[str, str]:
    """Find the neighbours of an instance on one ring.

    :param name: name of the instance.
    :param names: names of all instances on the ring.
    :param number: number of the ring, used as the salt of the hash.
    :returns: names of the next and the previous instance.
    """
    ring = sorted(names, key=lambda n: hash_text(f"ring{number}|{n}"))
    index = ring.index(name)
    return ring[(index + 1) % len(ring)], ring[index - 1]


def choose_redials(
    seeds: Iterable[Address],
    records: Mapping[str, MemberRecord],
    random: Random,
) -> list[Address]:
    """Choose addresses to dial in order to find members and heal partitions.

    A region or a fleet that starts lists all its instances as seeds at
    the same time. If all of them were dialled, the number of links and of
    member lists sent would grow with the square of the fleet.

    :param seeds: addresses at which instances may be.
    :param records: the known instances by name.
    :param random: source of random numbers.
    :returns: some seeds without a live member, and a random dead member.
    """
    live = {r.peers for r in records.values() if r.is_member}
    dead = [r.peers for r in records.values() if not r.is_member]
    missing = sorted(seed for seed in seeds if seed not in live)
    chosen = random.sample(missing, min(REDIAL_FANOUT, len(missing)))
    if dead:
        chosen.append(random.choice(dead))
    return chosen
