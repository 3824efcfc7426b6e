"""Divide the limit of each region among its endpoints."""

from collections.abc import Iterable
from collections.abc import Mapping

from carawayvale.contracts.document import Document
from carawayvale.contracts.sections import Endpoint


def allot_quotas(limit: int, endpoints: Iterable[Endpoint]) -> dict[str, int]:
    """Divide a region's limit among endpoints in proportion to slots.

    The quotas depend on the document only, so the owners of a region
    keep its limit without exchanging messages. The sum of the quotas
    never exceeds the limit. An endpoint's quota is all its slots if the
    limit suffices for all endpoints.

    :param limit: maximum number of requests in flight in the region.
    :param endpoints: the endpoints of the region.
    :returns: quota of each endpoint in slots, by name.

    >>> allot_quotas(3, ())
    {}
    """
    ordered = sorted(endpoints, key=lambda endpoint: endpoint.name)
    total = sum(endpoint.slots for endpoint in ordered)
    if total <= limit:
        return {endpoint.name: endpoint.slots for endpoint in ordered}
    quotas = {}
    allotted = 0
    cumulative_slots = 0
    for endpoint in ordered:
        cumulative_slots += endpoint.slots
        quota = cumulative_slots * limit // total - allotted
        quotas[endpoint.name] = quota
        allotted += quota
    return quotas


def allot_all_quotas(document: Document) -> Mapping[str, int]:
    """Divide the limits of all regions among their endpoints.

    :param document: the document in force.
    :returns: quota of each endpoint in slots, by name.
    """
    regions: dict[str, list[Endpoint]] = {}
    for endpoint in document.by_kind["endpoint"].values():
        regions.setdefault(endpoint.region, []).append(endpoint)
    quotas = {}
    for name, endpoints in regions.items():
        limit = document.by_kind["region"][name].limit
        quotas.update(allot_quotas(limit, endpoints))
    return quotas
