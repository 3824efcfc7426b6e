"""Keep the owners of shards up to date while members come and go.

The result depends on the current shards and instances only, and not on
the order of the changes, so instances with the same view agree.
"""

from bisect import insort
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import math

from carawayvale.contracts.hashing import score_text
from carawayvale.zones.shards import Candidate
from carawayvale.zones.shards import Shard

# An instance owns at most this multiple of its part of the shards of its
# region, rounded up.
MAX_LOAD_FACTOR = 1.25

# Least excess over a whole number that is rounded up.
ROUNDING = 1e-9

# Maximum number of successors that are listed for each shard.
MAX_SUCCESSORS = 3

# If more than this share of the instances is new, sorting all of them
# needs fewer comparisons than inserting the new ones.
MAX_INSERTED_SHARE = 0.125


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


def score_candidate(shard: Shard, candidate: Candidate) -> float:
    """Compute the weighted rendezvous hash of a shard and a candidate.

    :param shard: the shard.
    :param candidate: the instance that may own the shard.
    :returns: the score; a candidate with a greater score is preferred.
    """
    return score_text(f"{shard.name}|{candidate.name}", candidate.weight)


def _rank_candidate(
    shard: Shard, candidate: Candidate
) -> tuple[bool, float, str]:
    """Make the sort key of a candidate; the least is preferred."""
    is_elsewhere = candidate.domain != shard.domain
    return is_elsewhere, -score_candidate(shard, candidate), candidate.name


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
    return sorted(candidates, key=lambda c: _rank_candidate(shard, c))


def _insert_candidate(
    shard: Shard, preferred: list[Candidate], candidate: Candidate
) -> None:
    """Insert a candidate in its place in an order of preference."""
    insort(preferred, candidate, key=lambda c: _rank_candidate(shard, c))


@dataclass
class RegionOwners:
    """Shards and instances of one region, and the resulting owners.

    :param shards: the shards by name.
    :param candidates: the live instances by name.
    :param preferences: for each shard, the instances in order of
        preference.
    :param owner_lists: the owner and its successors, by shard.
    :param changed: whether ``owner_lists`` is out of date.
    """

    shards: dict[str, Shard] = field(default_factory=dict)
    candidates: dict[str, Candidate] = field(default_factory=dict)
    preferences: dict[str, list[Candidate]] = field(default_factory=dict)
    owner_lists: dict[str, tuple[str, ...]] = field(default_factory=dict)
    changed: bool = False

    def set_shards(self, shards: Mapping[str, Shard]) -> None:
        """Replace the shards; only new ones are compared with instances.

        :param shards: all shards of the region by name, in the order in
            which they choose their owners.
        """
        if shards == self.shards:
            return
        for name in self.shards.keys() - shards.keys():
            del self.preferences[name]
        for name, shard in shards.items():
            known = self.shards.get(name)
            if known is None or known.domain != shard.domain:
                self.preferences[name] = order_candidates(
                    shard, self.candidates.values()
                )
        self.shards = dict(shards)
        self.changed = True

    def set_candidates(self, candidates: Mapping[str, Candidate]) -> None:
        """Replace the live instances; only changed ones are compared.

        :param candidates: all live instances of the region by name.
        """
        old = self.candidates
        left = {n for n, c in old.items() if candidates.get(n) != c}
        joined = [c for n, c in candidates.items() if old.get(n) != c]
        if not left and not joined:
            return
        self.candidates = dict(candidates)
        self.changed = True
        if len(joined) > len(candidates) * MAX_INSERTED_SHARE:
            for name, shard in self.shards.items():
                ordered = order_candidates(shard, candidates.values())
                self.preferences[name] = ordered
            return
        for name, preferred in self.preferences.items():
            if left:
                preferred[:] = [c for c in preferred if c.name not in left]
            for candidate in joined:
                _insert_candidate(self.shards[name], preferred, candidate)

    def assign(self) -> None:
        """Assign the shards, with a bound on the load of an instance."""
        if not self.changed:
            return
        self.changed = False
        max_loads = _limit_loads(len(self.shards), self.candidates.values())
        loads = dict.fromkeys(self.candidates, 0)
        self.owner_lists = {}
        for name in self.shards:
            preferred = self.preferences[name]
            position = _find_owner(preferred, loads, max_loads)
            if position is None:
                self.owner_lists[name] = ()
                continue
            owner = preferred[position].name
            loads[owner] += 1
            others = preferred[: MAX_SUCCESSORS + 1]
            names = [c.name for c in others if c.name != owner]
            self.owner_lists[name] = (owner, *names[:MAX_SUCCESSORS])


class OwnerTable:
    """Owners of all shards by rendezvous hashing with bounded loads.

    Each shard is assigned to a live instance of its region. Shards of a
    region without a live instance have no owner: requests for them go
    to other regions and count towards the limits of those regions. A
    change of one instance costs one comparison for each shard of its
    region, and other regions keep their result.
    """

    def __init__(self):
        self.regions: dict[str, RegionOwners] = {}
        self.shards: dict[str, Shard] = {}

    def set_shards(self, shards: Sequence[Shard]) -> None:
        """Replace the shards.

        :param shards: all shards, in the order in which the shards of a
            region choose their owners.
        """
        self.shards = {shard.name: shard for shard in shards}
        by_region: dict[str, dict[str, Shard]] = {}
        for shard in shards:
            by_region.setdefault(shard.region, {})[shard.name] = shard
        for region in by_region.keys() | self.regions.keys():
            self._find_region(region).set_shards(by_region.get(region, {}))

    def set_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Replace the instances that may own shards.

        :param candidates: the live instances of all regions.
        """
        by_region: dict[str, dict[str, Candidate]] = {}
        for candidate in candidates:
            names = by_region.setdefault(candidate.region, {})
            names[candidate.name] = candidate
        for region in by_region.keys() | self.regions.keys():
            owners = self._find_region(region)
            owners.set_candidates(by_region.get(region, {}))

    def _find_region(self, region: str) -> RegionOwners:
        return self.regions.setdefault(region, RegionOwners())

    def assign(self) -> Ownership:
        """Assign the shards of the regions that changed.

        :returns: owners and successors of all shards.
        """
        owner_lists: dict[str, tuple[str, ...]] = {}
        for owners in self.regions.values():
            owners.assign()
            owner_lists.update(owners.owner_lists)
        return Ownership(self.shards, owner_lists)


def assign_owners(
    shards: Sequence[Shard], candidates: Iterable[Candidate]
) -> Ownership:
    """Assign shards to instances in a single pass.

    :param shards: all shards.
    :param candidates: the live instances of all regions.
    :returns: owners and successors of all shards.

    >>> assign_owners((), ()).owner_lists
    {}
    """
    table = OwnerTable()
    table.set_candidates(candidates)
    table.set_shards(shards)
    return table.assign()


def _limit_loads(
    shards: int, candidates: Iterable[Candidate]
) -> dict[str, int]:
    """Compute the maximum number of shards that each instance may own."""
    weights = {c.name: c.weight for c in candidates}
    total = sum(weights.values())
    return {
        name: math.ceil(shards * MAX_LOAD_FACTOR * weight / total - ROUNDING)
        for name, weight in weights.items()
    }


def _find_owner(
    preferred: Sequence[Candidate],
    loads: Mapping[str, int],
    max_loads: Mapping[str, int],
) -> int | None:
    """Find the position of the first instance with a load below its bound.

    If there is no such instance, the most preferred one is chosen.
    """
    for position, candidate in enumerate(preferred):
        if loads[candidate.name] < max_loads[candidate.name]:
            return position
    return 0 if preferred else None
