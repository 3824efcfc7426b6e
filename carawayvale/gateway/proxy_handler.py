"""Route callers' requests and make the responses to them."""

from dataclasses import replace

import curio

from carawayvale.catalogue.records import OrganisationRecord
from carawayvale.catalogue.records import RouteRecord
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.caller_headers import prepare_headers
from carawayvale.gateway.caller_headers import replace_credentials
from carawayvale.gateway.gateway_node import GatewayNode
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.observer import MakeFields
from carawayvale.gateway.observer import RequestOutcome
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.quota_calls import find_limit
from carawayvale.gateway.quota_calls import QuotaRefusal
from carawayvale.gateway.request_attempts import RequestAttempts
from carawayvale.gateway.request_context import RequestContext
from carawayvale.gateway.request_context import StopReason
from carawayvale.links.http import find_header
from carawayvale.links.http import Headers
from carawayvale.steering.organisations import Identified
from carawayvale.steering.organisations import intersect_regions
from carawayvale.steering.organisations import Rejected
from carawayvale.steering.organisations import RejectionReason
from carawayvale.steering.routing import choose_weighted_service
from carawayvale.steering.warm_up import WarmUpChoices

MS_PER_S = 1000.0
DEFAULT_TIMEOUT_S = 30.0

# A longer number is no time that a caller waits.
MAX_DEADLINE_DIGITS = 15

# Network time between the caller and this instance, for the request and
# the response together; it counts against the objective.
CALLER_ROUND_TRIP_S = 0.02

# Bounds of the Retry-After header, and its value while there is no
# configuration.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
NO_CONFIGURATION_RETRY_AFTER_S = 0.3

# Retry-After while the configuration is too old for keys. The store is read
# about once a second.
OLD_CONFIGURATION_RETRY_AFTER_S = 1.0

# Rank in metrics and logs of a request whose route is not known.
UNKNOWN_RANK = -1

HTTP_BAD_REQUEST = 400
HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_TOO_MANY_REQUESTS = 429
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504

STATUS_BY_QUOTA_REASON = {
    "quota": HTTP_TOO_MANY_REQUESTS,
    "quota_unknown": HTTP_UNAVAILABLE,
}


def find_rank(
    route: RouteRecord, organisation: OrganisationRecord | None
) -> int:
    """Find the priority of a request.

    :param route: its route.
    :param organisation: its organisation, if it has one.
    :returns: the rank of the organisation, or else that of the route.
    """
    if organisation is None or organisation.rank is None:
        return route.rank
    return organisation.rank


def find_regions(
    route: RouteRecord, organisation: OrganisationRecord | None
) -> frozenset[str] | None:
    """Find the regions that may serve a request.

    :param route: its route.
    :param organisation: its organisation, if it has one.
    :returns: the regions, empty for all; None if no region may.
    """
    if organisation is None:
        return route.allowed_regions
    return intersect_regions(
        route.allowed_regions, organisation.allowed_regions
    )


class ProxyHandler:
    """Handler of callers' requests.

    :param node: state of the instance.
    """

    def __init__(self, node: GatewayNode):
        self.node = node
        self.attempts = RequestAttempts(node)
        self.header_names = node.header_names

    async def handle(self, request: Request) -> Response:
        """Handle one request.

        :param request: the request.
        :returns: the response.
        """
        if not self.node.is_configured:
            return self._refuse_unconfigured(request)
        host = request.find_text(b"host")
        route = self.node.routes.find(host, request.path)
        if route is None:
            return self._make_response(request, HTTP_NOT_FOUND)
        request_id = request.find_text(self.header_names.request_id)
        if not request_id:
            return self._make_response(request, HTTP_BAD_REQUEST)
        caller = self._identify_caller(request, route)
        if self._is_configuration_too_old(request, caller):
            return self._refuse_old_configuration(request, route, caller)
        if isinstance(caller, Rejected):
            return self._reject_caller(request, route, caller)
        organisation = caller.organisation
        allowed_regions = find_regions(route, organisation)
        if allowed_regions is None:
            return self._refuse_without_region(request, route, organisation)
        service = choose_weighted_service(route, request_id).service
        owner_request = self._make_owner_request(request, route, organisation)
        context = RequestContext(
            request,
            request_id,
            route,
            service,
            owner_request,
            WarmUpChoices(route.idempotent),
            allowed_regions,
        )
        self.node.find_retry_budget(service).record_request(request.arrived_s)
        context.quarantine_s = self.node.crash_reports.find_wait(
            owner_request.request
        )
        if context.quarantine_s:
            return self._make_failure_response(context)
        if find_limit(organisation) is not None:
            admitted = await self.node.quotas.acquire(organisation)
            if isinstance(admitted, QuotaRefusal):
                return self._refuse_quota(context, admitted)
            context.quota_token = admitted
        try:
            result = await self.attempts.run(context) or context.fallback
        except curio.CancelledError:
            self._return_token(context)
            self._count_unserved(context, RequestOutcome.ABANDONED.value)
            self._record_outcome(
                context,
                RequestOutcome.ABANDONED,
                lambda: context.describe_abandoned(read_boot_clock()),
            )
            raise
        if result is None:
            self._return_token(context)
            return self._make_failure_response(context)
        took_s = read_boot_clock() - request.arrived_s
        self.node.observer.record_response_time(context.rank, took_s)
        self._record_outcome(
            context,
            RequestOutcome.ANSWERED,
            lambda: context.describe_response(result, took_s),
        )
        return Response(result.status, result.headers, result.body)

    def _return_token(self, context: RequestContext) -> None:
        """Return the token of a request that was sent to no endpoint."""
        was_sent = context.attempted or context.current
        if context.quota_token is not None and not was_sent:
            self.node.quotas.put_back(context.quota_token)

    def find_timeout(self, headers: Headers) -> float:
        """Find how long a caller waits for a response.

        :param headers: headers of its request.
        :returns: seconds since the head of the request arrived.
        """
        value = find_header(headers, self.header_names.deadline_ms) or b""
        if not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
            return DEFAULT_TIMEOUT_S
        return int(value) / MS_PER_S

    def _record_outcome(
        self,
        context: RequestContext,
        outcome: RequestOutcome,
        make_fields: MakeFields,
    ) -> None:
        rank = context.rank
        self.node.observer.record_outcome(
            outcome, rank, context.request_id, make_fields
        )
        for owner in context.lost_owners:
            self.node.observer.count_lost_owner(owner.state, outcome)

    def _make_owner_request(
        self,
        request: Request,
        route: RouteRecord,
        organisation: OrganisationRecord | None,
    ) -> OwnerRequest:
        """Make the request for owners, with its objective and deadline."""
        timeout_s = min(self.find_timeout(request.headers), route.timeout_s)
        arrived_s = request.arrived_s
        headers = prepare_headers(request.headers, self.header_names)
        name = organisation.name if organisation else ""
        if self.node.has_organisations:
            headers = replace_credentials(headers, self.header_names, name)
        return OwnerRequest(
            replace(request, headers=headers, organisation=name),
            find_rank(route, organisation),
            request.find_text(self.header_names.affinity),
            route.idempotent,
            arrived_s + route.objective_s - CALLER_ROUND_TRIP_S,
            arrived_s + timeout_s,
        )

    def _identify_caller(
        self, request: Request, route: RouteRecord
    ) -> Identified | Rejected:
        """Identify the organisation of a request, if it needs one."""
        if not self.node.has_organisations or route.anonymous:
            return Identified()
        credentials = request.find_all(self.header_names.credentials)
        return self.node.key_table.identify(credentials)

    def _is_configuration_too_old(
        self, request: Request, caller: Identified | Rejected
    ) -> bool:
        """Tell whether the configuration is too old to judge a key.

        A known key may have been removed, an unknown one may be new. The
        age at the arrival counts, as the caller sent the request earlier.
        """
        age = self.node.configuration_age
        if isinstance(caller, Rejected):
            is_unknown = caller.reason is RejectionReason.UNKNOWN_KEY
            return is_unknown and age.may_lack_key(request.arrived_s)
        if caller.organisation is None:
            return False
        return age.may_have_removed_key(request.arrived_s)

    def _refuse_old_configuration(
        self,
        request: Request,
        route: RouteRecord,
        caller: Identified | Rejected,
    ) -> Response:
        """Refuse a request whose key the configuration cannot judge."""
        age = self.node.configuration_age
        age.log_refusal(read_boot_clock(), True)
        organisation = None
        if isinstance(caller, Identified):
            organisation = caller.organisation
        fields = {
            "reason": "old_configuration",
            "route": route.name,
            "organisation": organisation.name if organisation else "-",
            "age_s": f"{age.find_age(request.arrived_s):.3f}",
            "retry_s": OLD_CONFIGURATION_RETRY_AFTER_S,
        }
        rank = find_rank(route, organisation)
        self._record_refusal(request, rank, fields)
        return self._refuse(request, OLD_CONFIGURATION_RETRY_AFTER_S)

    def _reject_caller(
        self, request: Request, route: RouteRecord, rejected: Rejected
    ) -> Response:
        """Make the response to a request without a valid key."""
        fields = {"reason": rejected.reason.value, "route": route.name}
        self._record_refusal(request, route.rank, fields)
        scheme = self.header_names.credentials_scheme.title()
        challenge = (b"www-authenticate", scheme)
        return self._make_response(request, HTTP_UNAUTHORIZED, (challenge,))

    def _refuse_without_region(
        self,
        request: Request,
        route: RouteRecord,
        organisation: OrganisationRecord | None,
    ) -> Response:
        """Refuse a request that no region may serve."""
        fields = {
            "reason": "no_region",
            "route": route.name,
            "organisation": organisation.name if organisation else "-",
            "retry_s": MAX_RETRY_AFTER_S,
        }
        rank = find_rank(route, organisation)
        self._record_refusal(request, rank, fields)
        return self._refuse(request, MAX_RETRY_AFTER_S)

    def _refuse_quota(
        self, context: RequestContext, refusal: QuotaRefusal
    ) -> Response:
        """Refuse a request beyond the quota of its organisation.

        Without an answer from the owner of the quota, it is not known
        whether the organisation exceeds its limit.
        """
        status = STATUS_BY_QUOTA_REASON[refusal.reason]
        fields = {
            "reason": refusal.reason,
            "status": status,
            "route": context.route.name,
            "organisation": context.owner_request.organisation,
            "quota_owner": self.node.quotas.find_owner(
                context.owner_request.organisation
            ),
            "retry_s": round(refusal.retry_s, 3),
        }
        self._record_refusal(context.request, context.rank, fields)
        self._count_unserved(context, refusal.reason)
        return self._refuse(context.request, refusal.retry_s, status)

    def _record_refusal(
        self, request: Request, rank: int, fields: dict[str, object]
    ) -> None:
        """Count and log a refusal before the first attempt."""
        observer = self.node.observer
        observer.count_refusal(rank, str(fields["reason"]))
        observer.record_outcome(
            RequestOutcome.REFUSED,
            rank,
            request.find_text(self.header_names.request_id),
            lambda: fields,
        )

    def _make_failure_response(self, context: RequestContext) -> Response:
        """Make the response to a request without a result.

        A request that may have run failed; any other is refused.
        """
        request, rank = context.request, context.rank
        now_s = read_boot_clock()
        revision = self.node.catalogue.revision
        if context.may_have_run:
            late = now_s >= context.owner_request.deadline_s
            stop_reason = context.stop_reason or StopReason.NO_CANDIDATE
            self._count_unserved(context, stop_reason.value)
            status = HTTP_GATEWAY_TIMEOUT if late else HTTP_BAD_GATEWAY
            self._record_outcome(
                context,
                RequestOutcome.FAILED,
                lambda: {
                    "status": status,
                    **context.describe_failure(now_s, revision),
                },
            )
            return self._make_response(request, status)
        reason = self._find_refusal_reason(context)
        retry_s = context.quarantine_s or self._find_retry_after(context)
        failure = context.describe_failure(now_s, revision)
        fields = {"reason": reason, **failure, "retry_s": retry_s}
        self.node.observer.count_refusal(rank, reason)
        self._count_unserved(context, reason)
        self._record_outcome(context, RequestOutcome.REFUSED, lambda: fields)
        return self._refuse(request, retry_s)

    def _count_unserved(self, context: RequestContext, reason: str) -> None:
        self.node.observer.count_unserved(
            context.service, context.rank, reason
        )

    @staticmethod
    def _find_refusal_reason(context: RequestContext) -> str:
        if context.quarantine_s:
            return "quarantine"
        if context.stop_reason is StopReason.STOPPING:
            return "stopping"
        return "full" if context.full else "no_endpoint"

    @staticmethod
    def _find_retry_after(context: RequestContext) -> float:
        """Find when an endpoint will have room, within the bounds.

        An endpoint that refuses at random may take the next attempt.
        """
        if context.fails_everywhere and context.attempted:
            return MIN_RETRY_AFTER_S
        retry_s = min(context.full.values(), default=MIN_RETRY_AFTER_S)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_s))

    def _refuse_unconfigured(self, request: Request) -> Response:
        """Refuse a request because no configuration has been read."""
        retry_s = NO_CONFIGURATION_RETRY_AFTER_S
        fields = {"reason": "starting", "retry_s": retry_s}
        self._record_refusal(request, UNKNOWN_RANK, fields)
        return self._refuse(request, retry_s)

    def _refuse(
        self,
        request: Request,
        retry_s: float,
        status: int = HTTP_UNAVAILABLE,
    ) -> Response:
        """Make the response to a request that has not run.

        :param request: the request.
        :param retry_s: seconds after which the caller may retry.
        :param status: HTTP status.
        :returns: the response.
        """
        return self._make_response(
            request,
            status,
            ((b"retry-after", f"{retry_s:.3f}".encode()),),
        )

    def _make_response(
        self,
        request: Request,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> Response:
        name = self.header_names.request_id
        request_id = request.find(name)
        if request_id is not None:
            headers = (*headers, (name, request_id))
        return Response(status, headers)
