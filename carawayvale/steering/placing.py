"""Orders the endpoints that may serve a request.

Answers the load of repeated objects: an endpoint that has handled an
object lately needs a fraction of the work, so the requests for an object
keep to the same endpoints, and to the same next ones when those are full.
"""

from collections.abc import Iterable
import math

from carawayvale.catalogue.records import Endpoint
from carawayvale.contracts.hashing import hash_text

HASH_RANGE = float(1 << 64)


def score_endpoint(key: str, endpoint: Endpoint) -> float:
    """Score an endpoint for an object by weighted rendezvous hashing.

    :param key: the object.
    :param endpoint: the endpoint.
    :returns: a score; endpoints win objects in proportion to their
        slots.
    """
    point = (hash_text(f"{key}|{endpoint.name}") + 1) / (HASH_RANGE + 2)
    return endpoint.slots / -math.log(point)


def order_endpoints(
    endpoints: Iterable[Endpoint], key: str, region: str
) -> list[Endpoint]:
    """Order endpoints for an object, the best first.

    :param endpoints: the endpoints that may serve it.
    :param key: the object.
    :param region: the region whose endpoints come first.
    :returns: the endpoints.
    """
    return sorted(
        endpoints,
        key=lambda e: (e.region == region, score_endpoint(key, e)),
        reverse=True,
    )
