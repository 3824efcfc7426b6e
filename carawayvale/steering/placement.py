"""Order the endpoints that may serve a request by affinity.

An endpoint that handled an object lately needs a fraction of the work
for it. Rendezvous hashing sends the requests that concern an object to
the same endpoints, and to the same next ones when those are full.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import math

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.hashing import hash_text

# Number of values of the 64-bit hash.
HASH_RANGE = float(1 << 64)


def score_endpoint(key: str, endpoint: EndpointRecord) -> float:
    """Score an endpoint for an object by weighted rendezvous hashing.

    :param key: the object.
    :param endpoint: the endpoint.
    :returns: the score; the endpoint with the highest score is preferred.
        An endpoint has the highest score for a share of the objects in
        proportion to its slots.
    """
    point = (hash_text(f"{key}|{endpoint.name}") + 1) / (HASH_RANGE + 2)
    return endpoint.slots / -math.log(point)


def order_endpoints(
    endpoints: Iterable[EndpointRecord], key: str, region: str
) -> list[EndpointRecord]:
    """Order endpoints for an object, the best first.

    :param endpoints: the endpoints that may serve it.
    :param key: the object.
    :param region: the region whose endpoints come first.
    :returns: the ordered endpoints.
    """
    return sorted(
        endpoints,
        key=lambda e: (e.region == region, score_endpoint(key, e)),
        reverse=True,
    )


def list_first_choices(
    ordered: Sequence[EndpointRecord],
) -> list[EndpointRecord]:
    """List the first choice of each region for an object.

    The first choice of a region keeps the object warm for the callers of
    that region. Other endpoints there would need a warm-up.

    :param ordered: endpoints in their order for the object.
    :returns: the first of each region, in the same order.
    """
    first: dict[str, EndpointRecord] = {}
    for endpoint in ordered:
        first.setdefault(endpoint.region, endpoint)
    return list(first.values())
