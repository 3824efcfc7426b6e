"""Finds the route of a request and its part of a split."""

from collections.abc import Iterable

from carawayvale.catalogue.records import RouteRecord
from carawayvale.catalogue.records import WeightedService
from carawayvale.contracts.hashing import hash_text

HASH_RANGE = float(1 << 64)


class RouteTable:
    """The routes of one configuration, by host.

    :param routes: all routes.

    >>> RouteTable(()).find("example", "/") is None
    True
    """

    def __init__(self, routes: Iterable[RouteRecord]):
        self.hosts: dict[str, list[RouteRecord]] = {}
        for route in routes:
            self.hosts.setdefault(route.host, []).append(route)
        for listed in self.hosts.values():
            listed.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> RouteRecord | None:
        """Find the route with the longest prefix that begins a path.

        :param host: value of the Host header, with or without a port.
        :param path: path without the query.
        :returns: the route, or None.
        """
        name = host.partition(":")[0].lower()
        for route in self.hosts.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_allowed_regions(self, host: str) -> frozenset[str]:
        """Find the regions that may serve all requests of a host.

        :param host: name of the host in lower case.
        :returns: the homes that its routes have in common; empty if any
            of them may be served everywhere, or none is known.
        """
        listed = [route.allowed_regions for route in self.hosts.get(host, ())]
        if not listed or not all(listed):
            return frozenset()
        return frozenset.intersection(*listed)


def choose_weighted_service(
    route: RouteRecord, request_id: str
) -> WeightedService:
    """Choose the service of a request by the weights of a split.

    The choice depends on the request's id only, so all instances and all
    attempts agree, and the shares are exact on average.

    :param route: the route.
    :param request_id: id of the request.
    :returns: the part.
    """
    if len(route.weighted_services) == 1:
        return route.weighted_services[0]
    total = sum(part.weight for part in route.weighted_services)
    point = hash_text(f"split|{request_id}") / HASH_RANGE * total
    for part in route.weighted_services:
        point -= part.weight
        if point < 0:
            return part
    return route.weighted_services[-1]
