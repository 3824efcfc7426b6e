"""Section kinds of the steering document and references between them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from carawayvale.contracts.address import Address
from carawayvale.contracts.address import parse_address
from carawayvale.contracts.fields import declare_field
from carawayvale.contracts.fields import make_number_parser
from carawayvale.contracts.fields import parse_blocks
from carawayvale.contracts.fields import parse_flag
from carawayvale.contracts.fields import parse_name
from carawayvale.contracts.fields import parse_names
from carawayvale.contracts.fields import parse_text

SECTION_KINDS: dict[str, type] = {}

DEFAULT_SHARD_SIZE = 2
DEFAULT_TIMEOUT_S = 10.0
DEFAULT_RETRY_RATIO = 0.1
DEFAULT_RAMP_S = 3.0
DEFAULT_LOOKUP_TTL_S = 5.0
DEFAULT_TICKET_TTL_S = 30.0
DEFAULT_STEP_RPS = 50.0
DEFAULT_EPOCH_S = 1.0
DEFAULT_HEADROOM_AGE_S = 3.0
DEFAULT_HOLD_DOWN_S = 10.0
DEFAULT_WATCHERS = 2


def register_kind(kind: str) -> Callable[[type], type]:
    """Register the data class of a section kind.

    :param kind: part of the section title before the colon.
    :returns: the class decorator.
    """

    def register(cls: type) -> type:
        SECTION_KINDS[kind] = cls
        return cls

    return register


@register_kind("deployment")
@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Values that apply to the whole deployment.

    :param lookup_ttl_s: seconds for which callers may cache a look-up.
    :param ticket_ttl_s: seconds for which a submission ticket is valid.
    :param epoch_s: length of a credit epoch in seconds.
    :param hold_down_s: seconds for which a departed instance is still
        counted when a cap is divided among instances.
    :param headroom_age_s: age in seconds from which a headroom report
        is ignored.
    :param watchers: number of instances in each region that watch the
        store.
    """

    name: str
    owner: str = declare_field(parse_name)
    lookup_ttl_s: float = declare_field(
        make_number_parser(0.1, 300), DEFAULT_LOOKUP_TTL_S
    )
    ticket_ttl_s: float = declare_field(
        make_number_parser(1, 600), DEFAULT_TICKET_TTL_S
    )
    epoch_s: float = declare_field(
        make_number_parser(0.2, 60), DEFAULT_EPOCH_S
    )
    hold_down_s: float = declare_field(
        make_number_parser(1, 600), DEFAULT_HOLD_DOWN_S
    )
    headroom_age_s: float = declare_field(
        make_number_parser(0.5, 60), DEFAULT_HEADROOM_AGE_S
    )
    watchers: int = declare_field(
        make_number_parser(1, 1024, integer=True), DEFAULT_WATCHERS
    )


@register_kind("region")
@dataclass(frozen=True, kw_only=True)
class Region:
    """A region and its hard limit on requests in flight.

    :param limit: maximum number of requests in flight in the region.
    :param instances: planned number of entry instances in the region;
        caps are divided by at least this number.
    :param blocks: networks of the callers that are closest to the
        region.
    """

    name: str
    owner: str = declare_field(parse_name)
    limit: int = declare_field(make_number_parser(1, 10**6, integer=True))
    instances: int = declare_field(
        make_number_parser(1, 1024, integer=True), 1
    )
    blocks: tuple[str, ...] = declare_field(parse_blocks, ())


@register_kind("domain")
@dataclass(frozen=True, kw_only=True)
class FailureDomain:
    """A failure domain of a region.

    :param region: region of the failure domain.
    """

    name: str
    owner: str = declare_field(parse_name)
    region: str = declare_field(parse_name)


@register_kind("link")
@dataclass(frozen=True, kw_only=True)
class Link:
    """The connection between two regions.

    :param regions: names of the two connected regions.
    :param cap_rps: maximum number of requests per second in each
        direction.
    :param step_rps: maximum increase of the shifted requests per second
        within one second.
    """

    name: str
    owner: str = declare_field(parse_name)
    regions: tuple[str, ...] = declare_field(parse_names)
    cap_rps: float = declare_field(make_number_parser(0, 10**7))
    step_rps: float = declare_field(
        make_number_parser(0.1, 10**7), DEFAULT_STEP_RPS
    )


@register_kind("rank")
@dataclass(frozen=True, kw_only=True)
class Rank:
    """A priority class of requests.

    :param order: priority; 1 is served first.
    :param floor: share of the slots reserved for the rank under
        overload.
    :param max_wait_s: maximum time in a queue in seconds; a request that
        waits longer is rejected.
    """

    name: str
    owner: str = declare_field(parse_name)
    order: int = declare_field(make_number_parser(1, 16, integer=True))
    floor: float = declare_field(make_number_parser(0, 1), 0.0)
    max_wait_s: float = declare_field(make_number_parser(0.001, 600))


@register_kind("service")
@dataclass(frozen=True, kw_only=True)
class Service:
    """A service that backend servers offer.

    :param rank: rank of the requests that match no route.
    :param shard_size: maximum number of endpoints in a shard.
    :param timeout_s: time until the deadline of a request that sets no
        deadline, in seconds.
    :param retry_ratio: retries allowed for each recent success.
    :param hedge_s: delay in seconds after which an idempotent read of
        the first rank is sent a second time; 0 disables hedging.
    :param ramp_s: time in seconds in which a new owner or a cold backend
        server ramps up to its full number of slots.
    """

    name: str
    owner: str = declare_field(parse_name)
    rank: str = declare_field(parse_name)
    shard_size: int = declare_field(
        make_number_parser(1, 64, integer=True), DEFAULT_SHARD_SIZE
    )
    timeout_s: float = declare_field(
        make_number_parser(0.01, 3600), DEFAULT_TIMEOUT_S
    )
    retry_ratio: float = declare_field(
        make_number_parser(0, 1), DEFAULT_RETRY_RATIO
    )
    hedge_s: float = declare_field(make_number_parser(0, 60), 0.0)
    ramp_s: float = declare_field(make_number_parser(0, 600), DEFAULT_RAMP_S)


@register_kind("caller")
@dataclass(frozen=True, kw_only=True)
class CallerClass:
    """A class of callers, identified by their IP addresses.

    :param blocks: networks of the callers.
    """

    name: str
    owner: str = declare_field(parse_name)
    blocks: tuple[str, ...] = declare_field(parse_blocks)


@register_kind("route")
@dataclass(frozen=True, kw_only=True)
class Route:
    """A rule for a set of requests of a service.

    The most specific of the matching routes applies: the one with the
    longest path, then one with methods, then one with a caller class,
    then the first by name. The order in the document has no effect.

    :param service: name of the service.
    :param path: prefix of the request path.
    :param methods: HTTP methods that match; empty matches all.
    :param caller: caller class that matches; empty matches all.
    :param rank: rank of the requests.
    :param idempotent: whether the requests may run more than once; None
        decides by the HTTP method.
    """

    name: str
    owner: str = declare_field(parse_name)
    service: str = declare_field(parse_name)
    rank: str = declare_field(parse_name)
    path: str = declare_field(parse_text, "/")
    methods: tuple[str, ...] = declare_field(parse_names, ())
    caller: str = declare_field(parse_name, "")
    idempotent: bool | None = declare_field(parse_flag, None)


@register_kind("endpoint")
@dataclass(frozen=True, kw_only=True)
class Endpoint:
    """A backend server of one service.

    :param service: service that the server offers.
    :param region: region of the server.
    :param domain: failure domain of the server.
    :param address: address on which the server listens.
    :param slots: number of requests that the server runs concurrently.
    :param draining: whether the server gets no new requests.
    """

    name: str
    owner: str = declare_field(parse_name)
    service: str = declare_field(parse_name)
    region: str = declare_field(parse_name)
    domain: str = declare_field(parse_name)
    address: Address = declare_field(parse_address)
    slots: int = declare_field(make_number_parser(1, 1024, integer=True))
    draining: bool = declare_field(parse_flag, False)


@register_kind("shift")
@dataclass(frozen=True, kw_only=True)
class Shift:
    """A planned shift of requests of a service to another region.

    :param service: name of the service.
    :param source: region from which requests are shifted.
    :param target: region to which requests are shifted.
    :param share: share of the requests to shift.
    """

    name: str
    owner: str = declare_field(parse_name)
    service: str = declare_field(parse_name)
    source: str = declare_field(parse_name)
    target: str = declare_field(parse_name)
    share: float = declare_field(make_number_parser(0, 1))


@dataclass(frozen=True)
class Reference:
    """A key whose values must be names of existing sections.

    :param kind: kind of the section that contains the key.
    :param key: the key.
    :param target: kind of the referenced sections.
    """

    kind: str
    key: str
    target: str


REFERENCES = (
    Reference("domain", "region", "region"),
    Reference("link", "regions", "region"),
    Reference("service", "rank", "rank"),
    Reference("route", "service", "service"),
    Reference("route", "rank", "rank"),
    Reference("route", "caller", "caller"),
    Reference("endpoint", "service", "service"),
    Reference("endpoint", "region", "region"),
    Reference("endpoint", "domain", "domain"),
    Reference("shift", "service", "service"),
    Reference("shift", "source", "region"),
    Reference("shift", "target", "region"),
)


def list_referenced_names(
    section: Any, reference: Reference
) -> tuple[str, ...]:
    """List the names that a section refers to by one of its keys.

    :param section: a typed section.
    :param reference: the key.
    :returns: the names; empty if the key is not set.
    """
    value = getattr(section, reference.key)
    if not value:
        return ()
    return value if isinstance(value, tuple) else (value,)
