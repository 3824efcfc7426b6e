"""The frozen picture of what is served: routes, services, endpoints."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from carawayvale.contracts.address import Address


class EndpointState(Enum):
    """What an endpoint says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class EndpointRecord:
    """One endpoint of a backend server.

    :param name: identity of the process; a new process may reuse it.
    :param address: where it listens.
    :param service: name of its service.
    :param region: its region.
    :param domain: its failure domain.
    :param slots: requests that it runs at once.
    :param state: whether it takes new work.
    :param cold_s: how long it stayed cold when this was written.
    :param started_ms: start of its process, in Unix milliseconds; 0 if
        it is not known.
    :param sequence: number of its latest report; counts from the start
        of the process.
    :param revision: revision of the store that this comes from.
    :param heard_s: when this instance learned of it, by its boot clock.
    """

    name: str
    address: Address
    service: str
    region: str
    domain: str
    slots: int
    state: EndpointState = EndpointState.READY
    cold_s: float = 0.0
    started_ms: int = 0
    sequence: int = 0
    revision: int = 0
    heard_s: float = 0.0

    @property
    def cold_until_s(self) -> float:
        """Time until which the endpoint is cold; 0 if it is not."""
        return self.heard_s + self.cold_s if self.cold_s > 0 else 0.0

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint takes no new work."""
        return self.state is EndpointState.DRAINING


@dataclass(frozen=True)
class ServiceRecord:
    """What all endpoints of a service have in common.

    :param name: name of the service.
    :param health_path: path of the health check.
    :param max_connections: connections that an endpoint accepts.
    :param cold_s: time for which a new endpoint is cold.
    :param cold_rate: requests a second that a cold endpoint bears.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    cold_s: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True)
class WeightedService:
    """A service's part of the requests of a route."""

    service: str
    weight: float


@dataclass(frozen=True)
class RouteRecord:
    """How requests of one host and prefix are served.

    :param name: name of the route.
    :param host: host name in lower case.
    :param prefix: start of the path, with a slash at both ends.
    :param idempotent: whether a request may run more than once.
    :param timeout_s: longest time that a request is kept.
    :param objective_s: time within which an answer is worth most.
    :param rank: priority; 0 is the most urgent.
    :param max_attempts: endpoints that one request may be sent to.
    :param weighted_services: services and their weights.
    :param allowed_regions: regions that may serve it; empty for all.
    :param sticky: whether an endpoint that knows the object is faster.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    rank: int
    max_attempts: int
    weighted_services: tuple[WeightedService, ...]
    allowed_regions: frozenset[str] = frozenset()
    sticky: bool = False


@dataclass(frozen=True)
class RequestLimits:
    """What a caller may send, and how long it may take.

    :param header_bytes: longest head of a request.
    :param body_bytes: longest body of a request.
    :param header_timeout_s: longest time for the head to arrive.
    :param idle_timeout_s: longest time without a request.
    """

    header_bytes: int = 16384
    body_bytes: int = 1 << 26
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """What operators decide; it changes as a whole.

    :param version: the operators' number of it.
    :param revision: revision of the store that it comes from.
    """

    version: int
    revision: int
    routes: tuple[RouteRecord, ...]
    services: Mapping[str, ServiceRecord]
    limits: RequestLimits = RequestLimits()


@dataclass(frozen=True)
class Catalogue:
    """Everything that the fleet decides by.

    :param configuration: what operators decide; None before it was
        read.
    :param endpoints: endpoints by name.
    :param evacuated: failure domains whose endpoints get nothing.
    :param revision: latest revision of the store that is included.
    """

    configuration: Configuration | None = None
    endpoints: Mapping[str, EndpointRecord] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    revision: int = 0


EMPTY_CATALOGUE = Catalogue()
