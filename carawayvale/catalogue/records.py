"""Immutable records of routes, services, endpoints and their catalogue."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from carawayvale.contracts.address import Address


class EndpointState(Enum):
    """State that an endpoint reports about itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class EndpointRecord:
    """One endpoint of a backend server.

    :param name: name of the process; a new process may reuse it.
    :param address: address on which it listens.
    :param service: name of its service.
    :param region: its region.
    :param domain: its failure domain.
    :param slots: number of requests that it runs at once.
    :param state: whether it accepts new requests.
    :param cold_s: seconds for which it stays cold after this report.
    :param started_ms: start of its process in Unix milliseconds; 0 if
        unknown.
    :param sequence: number of its latest report, counted from the start
        of the process.
    :param revision: revision of the store that contains the report.
    :param received_s: time at which this instance received the report, by
        its boot clock.
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
    received_s: float = 0.0

    @property
    def cold_until_s(self) -> float:
        """Time until which the endpoint is cold; 0 if it is not."""
        return self.received_s + self.cold_s if self.cold_s > 0 else 0.0

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint accepts no new requests."""
        return self.state is EndpointState.DRAINING


@dataclass(frozen=True)
class ServiceRecord:
    """Properties that all endpoints of a service share.

    :param name: name of the service.
    :param health_path: path of the health check.
    :param max_connections: number of connections that an endpoint
        accepts.
    :param cold_s: seconds for which a new endpoint is cold.
    :param cold_rate: requests per second that a cold endpoint can serve.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    cold_s: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True)
class WeightedService:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@dataclass(frozen=True)
class RouteRecord:
    """Route of the requests for one host and path prefix.

    :param name: name of the route.
    :param host: host name in lower case.
    :param prefix: start of the path, with a slash at both ends.
    :param idempotent: whether a request may run more than once.
    :param timeout_s: longest time for which a request is handled.
    :param objective_s: latency objective: time within which a response
        is worth most.
    :param rank: priority; 0 is the most urgent.
    :param max_attempts: number of endpoints that one request may be sent
        to.
    :param weighted_services: services and their weights.
    :param allowed_regions: regions that may serve it; empty for all.
    :param sticky: whether an endpoint where the object is warm responds
        faster.
    :param anonymous: whether its requests need no key of an organisation.
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
    anonymous: bool = False


@dataclass(frozen=True)
class OrganisationRecord:
    """An organisation whose callers identify themselves by a key.

    :param name: name of the organisation.
    :param keys: its keys.
    :param rank: priority that replaces that of the route; None if the
        route's applies.
    :param rate_per_s: requests per second that it may send to all
        instances together; 0 for no limit.
    :param burst: additional requests that it may send at once.
    :param allowed_regions: regions that may serve it; empty for all.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True)
class RequestLimits:
    """Limits on the size and the timing of callers' requests.

    :param header_bytes: maximum size of the head of a request.
    :param body_bytes: maximum size of the body of a request.
    :param header_timeout_s: longest time for the head to arrive.
    :param idle_timeout_s: longest time of a connection without a request.
    """

    header_bytes: int = 16384
    body_bytes: int = 1 << 26
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """Configuration that the operators write; it is replaced as a whole.

    :param version: version number that the operators gave it.
    :param revision: revision of the store that contains it.
    :param routes: all routes.
    :param services: services by name.
    :param limits: limits on the requests of callers.
    :param organisations: organisations by name; empty if callers need no
        keys.
    """

    version: int
    revision: int
    routes: tuple[RouteRecord, ...]
    services: Mapping[str, ServiceRecord]
    limits: RequestLimits = RequestLimits()
    organisations: Mapping[str, OrganisationRecord] = field(
        default_factory=dict
    )


@dataclass(frozen=True)
class Catalogue:
    """Configuration, endpoints and evacuations that decisions depend on.

    :param configuration: the operators' configuration; None before it
        was read.
    :param endpoints: endpoints by name.
    :param evacuated: failure domains whose endpoints get no requests.
    :param revision: latest revision of the store that is included.
    """

    configuration: Configuration | None = None
    endpoints: Mapping[str, EndpointRecord] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    revision: int = 0


EMPTY_CATALOGUE = Catalogue()
