"""Find the route of a request and choose its service in a split."""

from collections.abc import Iterable

from carawayvale.catalogue.records import RouteRecord
from carawayvale.catalogue.records import WeightedService
from carawayvale.contracts.hashing import HASH_RANGE
from carawayvale.contracts.hashing import hash_text


class RouteTable:
    """Routes of one configuration, by host and path prefix.

    :param routes: all routes.

    >>> RouteTable(()).find("example", "/") is None
    True
    """

    def __init__(self, routes: Iterable[RouteRecord]):
        self.hosts: dict[str, list[RouteRecord]] = {}
        for route in routes:
            self.hosts.setdefault(route.host, []).append(route)
        for host_routes in self.hosts.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> RouteRecord | None:
        """Find the route with the longest matching path prefix.

        :param host: value of the Host header, with or without a port.
        :param path: path without the query.
        :returns: the route, or None if no route matches.
        """
        name = host.partition(":")[0].lower()
        for route in self.hosts.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_allowed_regions(self, host: str) -> frozenset[str]:
        """Find the regions that may serve all requests of a host.

        :param host: name of the host in lower case.
        :returns: the regions that all its routes allow; empty if any
            route may be served in all regions, or the host is unknown.
        """
        regions = [route.allowed_regions for route in self.hosts.get(host, ())]
        if not regions or not all(regions):
            return frozenset()
        return frozenset.intersection(*regions)


def choose_weighted_service(
    route: RouteRecord, request_id: str
) -> WeightedService:
    """Choose the service of a request by the weights of a split.

    The choice depends only on the request id, so all instances and all
    attempts choose the same service. The shares follow the weights on
    average.

    :param route: the route.
    :param request_id: id of the request.
    :returns: the service and its weight.
    """
    if len(route.weighted_services) == 1:
        return route.weighted_services[0]
    total = sum(service.weight for service in route.weighted_services)
    point = hash_text(f"split|{request_id}") / HASH_RANGE * total
    for service in route.weighted_services:
        point -= service.weight
        if point < 0:
            return service
    return route.weighted_services[-1]
