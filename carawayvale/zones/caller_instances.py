"""Choose the instances that a look-up names to callers.

A caller picks one of the named addresses at random, so the parts of the
instances follow from how often each is named. The strongest instances are
always named, the others as often as their weights say.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from random import Random

from carawayvale.capacity.weights import FindWeight
from carawayvale.links.messages import MemberRecord

# Instances of the strength of the strongest one that a failure domain needs
# to serve its callers alone.
MIN_STRENGTH = 2.0

# Least number of addresses in a look-up, if there are as many.
MIN_NAMED = 2


def find_strength(
    instances: Sequence[MemberRecord], weights: Mapping[str, float]
) -> float:
    """Find how many of the strongest instances some instances stand for.

    :param instances: the instances.
    :param weights: weights by name, of others for comparison too.
    :returns: their number.
    """
    greatest = max(weights.values(), default=1.0)
    return sum(weights[record.name] for record in instances) / greatest


def choose_near(
    instances: Sequence[MemberRecord],
    domain: str,
    region: str,
    find_weight: FindWeight,
) -> list[MemberRecord]:
    """Choose the instances of a caller's failure domain or of its region.

    :param instances: the serving instances.
    :param domain: failure domain of the caller.
    :param region: region of the caller.
    :param find_weight: finds the weight of an instance by its name.
    :returns: those of the failure domain if they stand for at least
        MIN_STRENGTH of the strongest of the region; else those of the
        region.
    """
    nearby = [r for r in instances if r.domain == domain]
    around = [r for r in instances if r.region == region]
    weights = {r.name: find_weight(r.name) for r in (*nearby, *around)}
    if find_strength(nearby, weights) >= MIN_STRENGTH:
        return nearby
    return around


def sample_by_weight(
    instances: Sequence[MemberRecord],
    find_weight: FindWeight,
    random: Random,
) -> list[MemberRecord]:
    """Choose which of some instances one look-up names.

    Instances of equal weight are all named.

    :param instances: the instances.
    :param find_weight: finds the weight of an instance by its name.
    :param random: source of random numbers.
    :returns: at least MIN_NAMED of them, if there are as many.
    """
    weights = {r.name: find_weight(r.name) for r in instances}
    greatest = max(weights.values(), default=1.0)
    named, others = [], []
    for record in instances:
        is_named = random.random() * greatest < weights[record.name]
        (named if is_named else others).append(record)
    missing = max(0, MIN_NAMED - len(named))
    others.sort(key=lambda record: -weights[record.name] * random.random())
    return named + others[:missing]
