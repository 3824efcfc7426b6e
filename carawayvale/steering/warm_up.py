"""Choose the endpoints of a region that keep an object warm.

The first choice of each region keeps an object. If it is so busy that it
has no room for any request, the second choice loads the object as well,
so a region with few endpoints can serve an object with many requests at
two of them. Other endpoints do not load it, since they would drop other
objects for it.
"""

from dataclasses import dataclass
from dataclasses import field


@dataclass
class WarmUpChoices:
    """Endpoints that one request may warm up, by region.

    :param idempotent: whether the request may run more than once. Only
        such a request loads an object at a second choice: at the first
        request for an object its response is often late.
    :param first: name of the first usable choice of each region.
    :param second: name of the second choice, once it is needed.
    :param busy: regions whose first choice has no room.
    """

    idempotent: bool
    first: dict[str, str] = field(default_factory=dict)
    second: dict[str, str] = field(default_factory=dict)
    busy: set[str] = field(default_factory=set)

    def may_warm_up(self, region: str, name: str) -> bool:
        """Tell whether a request may load its object at an endpoint.

        Endpoints are asked about in the order for the object.

        :param region: region of the endpoint.
        :param name: name of the endpoint.
        :returns: whether it may.
        """
        if self.first.setdefault(region, name) == name:
            return True
        if not self.idempotent or region not in self.busy:
            return False
        return self.second.setdefault(region, name) == name

    def record_busy(self, region: str, name: str) -> None:
        """Record that an endpoint has no room for any request.

        :param region: region of the endpoint.
        :param name: name of the endpoint.
        """
        if self.first.get(region) == name:
            self.busy.add(region)

    def record_unavailable(self, region: str, name: str) -> None:
        """Record that an endpoint may not be used.

        The next endpoint in the order takes its place.

        :param region: region of the endpoint.
        :param name: name of the endpoint.
        """
        for choices in (self.first, self.second):
            if choices.get(region) == name:
                del choices[region]

    def is_choice(self, name: str) -> bool:
        """Tell whether an endpoint keeps the object.

        :param name: name of the endpoint.
        :returns: whether it is a first or second choice.
        """
        return name in self.first.values() or name in self.second.values()
