"""Decode and apply what an endpoint says of itself in its responses."""

from collections.abc import Callable
from dataclasses import dataclass
import re

from carawayvale.catalogue.header_names import HeaderNames
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.observer import RequestObserver
from carawayvale.gateway.upstream import HTTP_MISDIRECTED
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.links.http import ResponseHead
from carawayvale.steering.departures import Departures
from carawayvale.steering.load_reports import LoadReport
from carawayvale.steering.load_reports import parse_load
from carawayvale.steering.stated_limits import StatedLimits

HTTP_UNAVAILABLE = 503

# Longest pause that a single response can bring about.
MAX_PAUSE_S = 600.0

# Outcomes of attempts to which the endpoint responded.
RESPONSE_OUTCOMES = frozenset(
    {UpstreamOutcome.ANSWERED, UpstreamOutcome.NOT_RUN}
)

# A service whose endpoints reported no pace for this long reports none.
PACE_REPORTED_S = 30.0

# Value of the header that marks the responses of a leaving endpoint.
LEAVING = b"1"

DECIMAL_NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")


@dataclass(frozen=True)
class EndpointNotice:
    """What an endpoint says of itself in one response.

    :param rate_limit: requests per second that it takes from all instances
        together; None if it names none.
    :param is_complete: whether the endpoint would have named a limit if it
        had one. A response to a request that was not run may lack it.
    :param leaving: whether the endpoint is leaving.
    :param pause_s: seconds for which the endpoint wants nothing from the
        instance that it refused; 0 for no such wish.
    :param load: its report of its load; None without a valid one.
    :param has_bad_load: whether its report of its load is malformed.
    """

    rate_limit: float | None = None
    is_complete: bool = False
    leaving: bool = False
    pause_s: float = 0.0
    load: LoadReport | None = None
    has_bad_load: bool = False


def parse_decimal(value: bytes | None) -> float | None:
    """Parse a decimal number without sign and exponent.

    :param value: the text, or None.
    :returns: the number; None if the text is missing or malformed.

    >>> parse_decimal(b"10.5"), parse_decimal(b"-1"), parse_decimal(b"nan")
    (10.5, None, None)
    """
    if value is None or not DECIMAL_NUMBER.fullmatch(value.strip()):
        return None
    return float(value)


def decode_notice(
    result: UpstreamResult, header_names: HeaderNames
) -> EndpointNotice:
    """Decode what an endpoint says of itself in the result of an attempt.

    :param result: the result.
    :param header_names: names of HTTP headers.
    :returns: the notice; an empty one if the result has no response of the
        endpoint that the request was sent to.
    """
    if result.outcome not in RESPONSE_OUTCOMES:
        return EndpointNotice()
    head = ResponseHead(result.status, result.headers)
    answered = result.outcome is UpstreamOutcome.ANSWERED
    return read_notice(head, header_names, answered)


def read_notice(
    head: ResponseHead, header_names: HeaderNames, answered: bool
) -> EndpointNotice:
    """Read what an endpoint says of itself in the head of a response.

    :param head: status and headers of the response.
    :param header_names: names of HTTP headers.
    :param answered: whether the endpoint ran a request for the response.
    :returns: the notice; an empty one if another endpoint responded.
    """
    if head.status == HTTP_MISDIRECTED:
        return EndpointNotice()
    value = head.find(header_names.rate_limit)
    rate_limit = parse_decimal(value)
    is_complete = answered and (value is None or rate_limit is not None)
    leaving = head.find(header_names.leaving) == LEAVING
    pause_s = 0.0
    if head.status == HTTP_UNAVAILABLE:
        pause_s = parse_decimal(head.find(header_names.pause)) or 0.0
    load_value = head.find(header_names.load)
    load = None if load_value is None else parse_load(load_value)
    return EndpointNotice(
        rate_limit,
        is_complete,
        leaving,
        min(MAX_PAUSE_S, pause_s),
        load,
        load_value is not None and load is None,
    )


class EndpointNotices:
    """Apply the notices of all endpoints that one instance hears of.

    :param header_names: names of HTTP headers.
    :param observer: records metrics and logs.
    :param handle_departure: called after an endpoint said that it leaves.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        observer: RequestObserver,
        handle_departure: Callable[[], None],
    ):
        self.header_names = header_names
        self.observer = observer
        self.handle_departure = handle_departure
        self.limits = StatedLimits()
        self.departures = Departures()
        self.paced_s: dict[str, float] = {}

    def reports_pace(self, service: str, now_s: float) -> bool:
        """Tell whether endpoints of a service report their machines' pace.

        :param service: name of the service.
        :param now_s: the time.
        :returns: whether one of them did lately, to this instance or in a
            response that an owner passed on.
        """
        paced_s = self.paced_s.get(service)
        return paced_s is not None and now_s - paced_s < PACE_REPORTED_S

    def record(
        self, endpoint: EndpointRecord, result: UpstreamResult, owner: str = ""
    ) -> EndpointNotice:
        """Apply the notice in the result of an attempt, if there is one.

        :param endpoint: the endpoint.
        :param result: the result.
        :param owner: name of the instance that passed the result on; empty
            if this instance sent the request to the endpoint.
        :returns: the notice; an empty one if there is none.
        """
        notice = decode_notice(result, self.header_names)
        return self._apply(endpoint, notice, owner)

    def record_check(
        self, endpoint: EndpointRecord, head: ResponseHead
    ) -> EndpointNotice:
        """Apply the notice in the response to a health check.

        :param endpoint: the endpoint, which responded itself.
        :param head: status and headers of the response.
        :returns: the notice; an empty one if there is none.
        """
        notice = read_notice(head, self.header_names, answered=False)
        return self._apply(endpoint, notice, "")

    def _apply(
        self, endpoint: EndpointRecord, notice: EndpointNotice, owner: str
    ) -> EndpointNotice:
        """Apply a notice, but for the pause and the load.

        A pause concerns only the instance that was refused, and the load
        only the owner, so they are left to the caller.

        :returns: the notice.
        """
        self._record_limit(endpoint, notice, owner)
        if notice.load is not None and notice.load.pace is not None:
            self.paced_s[endpoint.service] = read_boot_clock()
        if not owner:
            self.observer.count_load_report(
                notice.load is not None, notice.has_bad_load
            )
        if notice.leaving and self.departures.record(endpoint):
            self.observer.record_departure(endpoint.name, owner)
            self.handle_departure()
        return notice

    def _record_limit(
        self, endpoint: EndpointRecord, notice: EndpointNotice, owner: str
    ) -> None:
        now_s = read_boot_clock()
        limit = self.limits.find(endpoint)
        old_rate = limit.rate
        if notice.rate_limit is not None:
            limit.record_named(notice.rate_limit, now_s)
        elif notice.is_complete:
            limit.record_unnamed(now_s)
        if limit.needs_log(old_rate, now_s):
            self.observer.record_limit(
                endpoint.name, limit.rate, limit.count_sent(now_s), owner
            )

    def forget_limit(self, name: str) -> None:
        """Forget the limit of an endpoint that is gone.

        :param name: name of the endpoint.
        """
        self.limits.forget(name)
