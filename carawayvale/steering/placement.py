"""Order the endpoints that may serve a request by affinity.

An endpoint that handled an object lately needs a fraction of the work
for it. Rendezvous hashing sends the requests that concern an object to
the same endpoints, and to the same next ones when those are full.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from functools import cached_property

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.hashing import score_text


def score_endpoint(key: str, endpoint: EndpointRecord) -> float:
    """Score an endpoint for an object by weighted rendezvous hashing.

    :param key: the object.
    :param endpoint: the endpoint.
    :returns: the score; the endpoint with the highest score is preferred.
        An endpoint has the highest score for a share of the objects in
        proportion to its slots.
    """
    return score_text(f"{key}|{endpoint.name}", endpoint.slots)


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


def group_by_region(
    endpoints: Iterable[EndpointRecord],
) -> dict[str, list[EndpointRecord]]:
    """Group endpoints by region.

    :param endpoints: the endpoints.
    :returns: the endpoints of each region, in the given order.
    """
    by_region: dict[str, list[EndpointRecord]] = {}
    for endpoint in endpoints:
        by_region.setdefault(endpoint.region, []).append(endpoint)
    return by_region


class ObjectPlacement:
    """Endpoints for one object, ordered region by region when needed.

    Most requests are served by the first choices of the own region, so
    the endpoints of other regions are not compared before they are used.

    :param by_region: the endpoints that may serve the object, by region.
    :param key: the object.
    :param region: the own region.
    """

    def __init__(
        self,
        by_region: Mapping[str, Sequence[EndpointRecord]],
        key: str,
        region: str,
    ):
        self.by_region = by_region
        self.key = key
        self.region = region

    @cached_property
    def local(self) -> list[EndpointRecord]:
        """Endpoints of the own region, the best first."""
        endpoints = self.by_region.get(self.region, ())
        return order_endpoints(endpoints, self.key, self.region)

    @cached_property
    def first_remote(self) -> list[EndpointRecord]:
        """First choice of each other region, the best first.

        It keeps the object warm for the callers of its region. Other
        endpoints there would need a warm-up.
        """
        first = [
            max(endpoints, key=lambda e: score_endpoint(self.key, e))
            for region, endpoints in self.by_region.items()
            if region != self.region
        ]
        return order_endpoints(first, self.key, self.region)

    @cached_property
    def remote(self) -> list[EndpointRecord]:
        """Endpoints of all other regions, the best first."""
        endpoints = [
            endpoint
            for region, members in self.by_region.items()
            if region != self.region
            for endpoint in members
        ]
        return order_endpoints(endpoints, self.key, self.region)
