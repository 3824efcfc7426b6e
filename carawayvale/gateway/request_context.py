"""Track the state of one caller's request across all attempts."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from carawayvale.catalogue.position import unpack_position
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import RouteRecord
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.observer import format_ms
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.steering.quota_accounts import QuotaToken
from carawayvale.steering.region_shares import RegionShares
from carawayvale.steering.warm_up import WarmUpChoices


class StopReason(Enum):
    """Reason why a request gets no further attempt."""

    NO_CANDIDATE = "no_candidate"
    DEADLINE = "deadline"
    NOT_IDEMPOTENT = "not_idempotent"
    ATTEMPT_LIMIT = "attempt_limit"
    RETRY_BUDGET = "retry_budget"
    CRASHES = "crashes"
    QUARANTINE = "quarantine"
    STOPPING = "stopping"
    NO_MEMORY = "no_memory"


@dataclass(frozen=True)
class LostOwner:
    """An owner to which the connection broke during an attempt.

    :param name: name of the instance.
    :param state: state of the instance in the member list at that moment.
    """

    name: str
    state: str


@dataclass(eq=False)
class RequestContext:
    """State of one caller's request across all attempts.

    :param request: the request.
    :param request_id: id of the request.
    :param route: route of the request.
    :param service: service that the traffic split chose.
    :param owner_request: the request as it is sent to owners, with its
        deadline.
    :param may_have_run: whether an endpoint may have run the request.
    :param stop_reason: why no further attempt is allowed; None while one
        is.
    :param crashes: number of attempts during which the endpoint crashed.
    :param quarantine_s: seconds for which the request is in quarantine.
    :param attempted: names of the endpoints that got the request.
    :param full: by name of an endpoint without a free slot, the seconds
        until the request would be complete there.
    :param warm_up_choices: the endpoints that may load the object.
    :param allowed_regions: regions that may serve the request; empty for
        all.
    :param skipped: endpoints that fail many requests; they are attempted
        after the healthy ones.
    :param attempts: endpoint and outcome of each attempt, for the log.
    :param current: name of the endpoint that is being attempted.
    :param lost_owners: owners to which the connection broke.
    :param quota_token: token of the organisation's quota, which is returned
        if the request reaches no endpoint; None without a limit.
    :param fallback: a server error response, returned if no later
        attempt succeeds.
    :param region_shares: shares of requests that the regions accept; None
        if the endpoints of the service report no pace.
    :param local_margin_s: seconds before the objective by which the own
        region has to complete the request.
    :param rejected_locally: whether the own region rejected the request.
    :param fails_everywhere: whether most endpoints of the service fail.
    """

    request: Request
    request_id: str
    route: RouteRecord
    service: str
    owner_request: OwnerRequest
    warm_up_choices: WarmUpChoices
    allowed_regions: frozenset[str]
    may_have_run: bool = False
    stop_reason: StopReason | None = None
    crashes: int = 0
    quarantine_s: float = 0.0
    attempted: list[str] = field(default_factory=list)
    full: dict[str, float] = field(default_factory=dict)
    skipped: list[EndpointRecord] = field(default_factory=list)
    attempts: list[tuple[str, str]] = field(default_factory=list)
    current: str = ""
    lost_owners: list[LostOwner] = field(default_factory=list)
    quota_token: QuotaToken | None = None
    fallback: UpstreamResult | None = None
    region_shares: RegionShares | None = None
    local_margin_s: float = 0.0
    rejected_locally: bool = False
    fails_everywhere: bool = False

    @property
    def rank(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        return self.owner_request.rank

    @property
    def no_more_attempts(self) -> bool:
        """Whether no further attempt is allowed."""
        return self.stop_reason is not None

    def format_lost_owners(self) -> str:
        """Format the owners to which the connection broke for the log.

        :returns: ``instance:state`` pairs; a dash without any.
        """
        pairs = [f"{owner.name}:{owner.state}" for owner in self.lost_owners]
        return ",".join(pairs) or "-"

    def format_attempts(self) -> str:
        """Format the attempts and their outcomes for the log.

        :returns: ``endpoint:outcome`` pairs; a dash without attempts. The
            outcome of an attempt in progress is ``waits``.
        """
        pairs = [f"{name}:{outcome}" for name, outcome in self.attempts]
        if self.current:
            pairs.append(f"{self.current}:waits")
        return ",".join(pairs) or "-"

    def _describe_caller(self) -> dict[str, object]:
        organisation = self.owner_request.organisation
        return {"organisation": organisation} if organisation else {}

    def describe_response(
        self, result: UpstreamResult, took_s: float
    ) -> dict[str, object]:
        """Make the log fields of an answered request.

        :param result: the result that is returned to the caller.
        :param took_s: seconds since the head of the request arrived.
        :returns: log fields.
        """
        return {
            "took_ms": format_ms(took_s),
            "route": self.route.name,
            "status": result.status,
            "asked": self.format_attempts(),
        }

    def describe_abandoned(self, now_s: float) -> dict[str, object]:
        """Make the log fields of a request whose caller disconnected.

        :param now_s: the time.
        :returns: log fields.
        """
        return {
            "took_ms": format_ms(now_s - self.request.arrived_s),
            "route": self.route.name,
            "asked": self.format_attempts(),
            "left_ms": format_ms(self.owner_request.deadline_s - now_s),
        }

    def describe_failure(
        self, now_s: float, revision: int
    ) -> dict[str, object]:
        """Make the log fields of a failed or refused request.

        :param now_s: the time.
        :param revision: revision of the catalogue in use.
        :returns: log fields.
        """
        return {
            "route": self.route.name,
            **self._describe_caller(),
            "asked": self.format_attempts(),
            "left_ms": format_ms(self.owner_request.deadline_s - now_s),
            "stopped_by": (self.stop_reason or StopReason.NO_CANDIDATE).value,
            "lost_owners": self.format_lost_owners(),
            "revision": unpack_position(revision),
        }
