"""What all owned endpoints of an instance share."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from carawayvale.capacity.link_meter import OWN_LINK
from carawayvale.capacity.loop_lag import LoopLag
from carawayvale.capacity.own_delay import OwnDelay
from carawayvale.catalogue.header_names import HeaderNames
from carawayvale.gateway.crash_reports import CrashReports
from carawayvale.gateway.endpoint_notices import EndpointNotices
from carawayvale.gateway.endpoint_pool import ignore_connect
from carawayvale.gateway.endpoint_pool import RecordConnect
from carawayvale.gateway.observer import RequestObserver


@dataclass(frozen=True)
class EndpointContext:
    """State and callbacks of an instance for the endpoints that it owns.

    :param header_names: names of HTTP headers.
    :param observer: records metrics and logs of the requests.
    :param notices: applies what endpoints say of themselves.
    :param crash_reports: tells which requests may not be sent.
    :param may_repeat: spends a retry of the budget of the named service for
        a repeat, and returns whether there was one.
    :param owns: tells whether the instance owns the named endpoint.
    :param record_connect: records attempts to open a connection.
    :param own_delay: tells whether the instance was behind.
    """

    header_names: HeaderNames
    observer: RequestObserver
    notices: EndpointNotices
    crash_reports: CrashReports
    may_repeat: Callable[[str], bool]
    owns: Callable[[str], bool]
    record_connect: RecordConnect = ignore_connect
    own_delay: OwnDelay = field(
        default_factory=lambda: OwnDelay(OWN_LINK, LoopLag())
    )
