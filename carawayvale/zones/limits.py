"""Divides a region's limit between its endpoints."""

from collections.abc import Iterable
from collections.abc import Mapping

from carawayvale.contracts.document import Document
from carawayvale.contracts.sections import Endpoint


def allot_quotas(limit: int, endpoints: Iterable[Endpoint]) -> dict[str, int]:
    """Allot a region's limit to endpoints in proportion to their slots.

    The quotas depend on the document only, so owners keep the limit
    together without a message. Their sum never passes the limit.

    :param limit: greatest number of requests in flight in the region.
    :param endpoints: the region's endpoints.
    :returns: slots for each endpoint, by name.

    >>> allot_quotas(3, ())
    {}
    """
    listed = sorted(endpoints, key=lambda endpoint: endpoint.name)
    total = sum(endpoint.slots for endpoint in listed)
    if total <= limit:
        return {endpoint.name: endpoint.slots for endpoint in listed}
    quotas = {}
    used = 0
    seen = 0
    for endpoint in listed:
        seen += endpoint.slots
        quota = seen * limit // total - used
        quotas[endpoint.name] = quota
        used += quota
    return quotas


def allot_document(document: Document) -> Mapping[str, int]:
    """Allot the limits of all regions.

    :param document: the document in force.
    :returns: slots for each endpoint, by name.
    """
    regions: dict[str, list[Endpoint]] = {}
    for endpoint in document.by_kind["endpoint"].values():
        regions.setdefault(endpoint.region, []).append(endpoint)
    quotas = {}
    for name, endpoints in regions.items():
        limit = document.by_kind["region"][name].limit
        quotas.update(allot_quotas(limit, endpoints))
    return quotas
