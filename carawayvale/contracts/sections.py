"""The kinds of section that a steering document may hold."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from carawayvale.contracts.address import Address
from carawayvale.contracts.fields import declare_field
from carawayvale.contracts.fields import make_number_parser
from carawayvale.contracts.fields import parse_address
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
    """Register the data class of one kind of section.

    :param kind: the word before the colon of the section's name.
    :returns: the class decorator.
    """

    def register(cls: type) -> type:
        SECTION_KINDS[kind] = cls
        return cls

    return register


@register_kind("deployment")
@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Values that hold for the whole deployment.

    :param lookup_ttl_s: seconds for which callers may cache a look-up.
    :param ticket_ttl_s: seconds for which a submission ticket is valid.
    :param epoch_s: length of a credit epoch in seconds.
    :param hold_down_s: seconds for which a departed instance still
        counts in the division of a cap.
    :param headroom_age_s: age at which a headroom report is ignored.
    :param watchers: instances of a region that watch the store.
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
        make_number_parser(1, 1024, whole=True), DEFAULT_WATCHERS
    )


@register_kind("region")
@dataclass(frozen=True, kw_only=True)
class Region:
    """A region and the limit that no decision may pass.

    :param limit: greatest number of requests in flight in the region.
    :param instances: entry instances that the region is planned for;
        caps are divided by at least this number.
    :param blocks: networks of the callers that are nearest to it.
    """

    name: str
    owner: str = declare_field(parse_name)
    limit: int = declare_field(make_number_parser(1, 10**6, whole=True))
    instances: int = declare_field(make_number_parser(1, 1024, whole=True), 1)
    blocks: tuple[str, ...] = declare_field(parse_blocks, ())


@register_kind("domain")
@dataclass(frozen=True, kw_only=True)
class FailureDomain:
    """A failure domain of a region."""

    name: str
    owner: str = declare_field(parse_name)
    region: str = declare_field(parse_name)


@register_kind("link")
@dataclass(frozen=True, kw_only=True)
class Link:
    """The connection between two regions.

    :param regions: the two regions that it joins.
    :param cap_rps: greatest number of requests a second, each way.
    :param step_rps: greatest growth of the shift in one second.
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
    """A class of priority.

    :param order: 1 is served first.
    :param floor: share of the slots that the rank keeps in a flood.
    :param max_wait_s: longest time in a queue before refusal.
    """

    name: str
    owner: str = declare_field(parse_name)
    order: int = declare_field(make_number_parser(1, 16, whole=True))
    floor: float = declare_field(make_number_parser(0, 1), 0.0)
    max_wait_s: float = declare_field(make_number_parser(0.001, 600))


@register_kind("service")
@dataclass(frozen=True, kw_only=True)
class Service:
    """A service that backend servers offer.

    :param rank: rank of requests that no route names.
    :param shard_size: most endpoints in one shard.
    :param timeout_s: deadline of a request that brings none.
    :param retry_ratio: retries allowed for each recent success.
    :param hedge_s: delay before an idempotent read of the first rank
        is sent a second time; 0 sends none.
    :param ramp_s: time in which a new owner or a cold backend server
        comes to its full slots.
    """

    name: str
    owner: str = declare_field(parse_name)
    rank: str = declare_field(parse_name)
    shard_size: int = declare_field(
        make_number_parser(1, 64, whole=True), DEFAULT_SHARD_SIZE
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
    """A class of callers, told by their addresses.

    :param blocks: networks of the callers.
    """

    name: str
    owner: str = declare_field(parse_name)
    blocks: tuple[str, ...] = declare_field(parse_blocks)


@register_kind("route")
@dataclass(frozen=True, kw_only=True)
class Route:
    """Requests of a service that are treated alike.

    Of the routes that match, the most specific one decides: the longer
    path first, then one with methods, then one with a caller class, then
    the first name. The order of the document means nothing.

    :param service: the service.
    :param path: prefix of the request's path.
    :param methods: HTTP methods; none means all.
    :param caller: class of the caller; none means all.
    :param rank: rank of the requests.
    :param idempotent: whether a second run does no harm.
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

    :param service: the service that it offers.
    :param region: the region that it runs in.
    :param domain: the failure domain that it runs in.
    :param address: where it listens.
    :param slots: requests that it runs at once.
    :param draining: whether it gets no new work.
    """

    name: str
    owner: str = declare_field(parse_name)
    service: str = declare_field(parse_name)
    region: str = declare_field(parse_name)
    domain: str = declare_field(parse_name)
    address: Address = declare_field(parse_address)
    slots: int = declare_field(make_number_parser(1, 1024, whole=True))
    draining: bool = declare_field(parse_flag, False)


@register_kind("shift")
@dataclass(frozen=True, kw_only=True)
class Shift:
    """A planned move of a service's requests to another region.

    :param service: the service to move.
    :param source: region that gives requests up.
    :param target: region that takes them.
    :param share: share of the requests to move.
    """

    name: str
    owner: str = declare_field(parse_name)
    service: str = declare_field(parse_name)
    source: str = declare_field(parse_name)
    target: str = declare_field(parse_name)
    share: float = declare_field(make_number_parser(0, 1))


@dataclass(frozen=True)
class Reference:
    """A key whose value must name a section of another kind."""

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
    """List the names that a section's key refers to.

    :param section: a typed section.
    :param reference: the key to follow.
    :returns: the names; none if the key is unset.
    """
    value = getattr(section, reference.key)
    if not value:
        return ()
    return value if isinstance(value, tuple) else (value,)
