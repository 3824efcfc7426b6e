"""Serves callers' requests: route, endpoint, attempts, answer."""

from dataclasses import replace

import curio

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import RouteRecord
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.forwarding import drop_own_headers
from carawayvale.gateway.forwarding import OwnerUnreachable
from carawayvale.gateway.forwarding import serve_at
from carawayvale.gateway.gateway_node import GatewayNode
from carawayvale.gateway.observer import Describe
from carawayvale.gateway.observer import RequestOutcome
from carawayvale.gateway.owned_endpoint import OwnerRequest
from carawayvale.gateway.request_context import RequestContext
from carawayvale.gateway.server import Request
from carawayvale.gateway.server import Response
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.steering.placement import list_first_choices
from carawayvale.steering.placement import order_endpoints
from carawayvale.steering.routing import choose_weighted_service
from carawayvale.telemetry.logs import log_event

MS_PER_S = 1000.0
DEFAULT_LEFT_S = 30.0

# Time that an answer needs on its way to the caller, and the request
# needed on its way here; both count against the objective.
CALLER_WAY_S = 0.02

# Endpoints of the own region, and of other regions, that are asked for
# an answer within the objective.
LOCAL_TRIES = 4
REMOTE_TRIES = 2
LATE_TRIES = 3

# Owners of one endpoint that are asked while the first is silent.
OWNER_TRIES = 2

MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.0
NO_CONFIGURATION_RETRY_S = 0.3

# Stands for the rank of a request whose route is not known.
UNKNOWN_RANK = -1

# Nothing was sent, and the endpoint may be gone.
NOT_THERE = frozenset({UpstreamOutcome.UNUSABLE, UpstreamOutcome.UNSENT})

HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504


class ProxyHandler:
    """Serves the requests of callers.

    :param node: the instance.
    """

    def __init__(self, node: GatewayNode):
        self.node = node
        self.dialect = node.dialect

    async def handle(self, request: Request) -> Response:
        """Serve one request.

        :param request: the request.
        :returns: the answer.
        """
        if self.node.catalogue.configuration is None:
            return self._refuse_at_start(request)
        host = request.find_text(b"host")
        route = self.node.routes.find(host, request.path)
        if route is None:
            return self._make_answer(request, HTTP_NOT_FOUND)
        request_id = request.find_text(self.dialect.request_id)
        if not request_id:
            return self._make_answer(request, HTTP_BAD_REQUEST)
        service = choose_weighted_service(route, request_id).service
        order = self._make_order(request, route)
        flight = RequestContext(request, request_id, route, service, order)
        self.node.find_budget(service).record_request(request.arrived_s)
        try:
            result = await self._run(flight) or flight.spare
        except curio.CancelledError:
            self._note_end(
                flight,
                RequestOutcome.ABANDONED,
                lambda: flight.describe_abandoned(read_boot_clock()),
            )
            raise
        if result is None:
            return self._give_up(flight)
        took_s = read_boot_clock() - request.arrived_s
        self.node.observer.note_answer_time(route.rank, took_s)
        self._note_end(
            flight,
            RequestOutcome.ANSWERED,
            lambda: flight.describe_answer(result, took_s),
        )
        return Response(result.status, result.headers, result.body)

    def _note_end(
        self, flight: RequestContext, end: RequestOutcome, describe: Describe
    ) -> None:
        rank = flight.route.rank
        self.node.observer.note_end(end, rank, flight.request_id, describe)

    def _make_order(
        self, request: Request, route: RouteRecord
    ) -> OwnerRequest:
        left_s = DEFAULT_LEFT_S
        value = request.find_text(self.dialect.deadline_ms)
        if value.isdigit():
            left_s = int(value) / MS_PER_S
        left_s = min(left_s, route.timeout_s)
        arrived_s = request.arrived_s
        kept = replace(request, headers=drop_own_headers(request.headers))
        return OwnerRequest(
            kept,
            route.rank,
            request.find_text(self.dialect.affinity),
            route.idempotent,
            arrived_s + route.objective_s - CALLER_WAY_S,
            arrived_s + left_s,
        )

    async def _run(self, flight: RequestContext) -> UpstreamResult | None:
        local, remote = self._list_candidates(flight)
        remote_first = self.node.shift.requires_remote(read_boot_clock())
        elsewhere = list_first_choices(remote)
        groups = [local[:LOCAL_TRIES], elsewhere[:REMOTE_TRIES]]
        if remote_first:
            groups.reverse()
        for group in groups:
            result = await self._try_all(flight, group, flight.order)
            if result is not None or flight.over:
                return result
        risky = replace(flight.order, may_fail=True)
        result = await self._try_all(flight, flight.spared, risky)
        if result is not None or flight.over:
            return result
        late = replace(risky, may_be_late=True)
        candidates = self._order_late(flight, local, remote)
        return await self._try_all(flight, candidates[:LATE_TRIES], late)

    def _list_candidates(
        self, flight: RequestContext
    ) -> tuple[list[EndpointRecord], list[EndpointRecord]]:
        node = self.node
        homes = flight.route.allowed_regions
        usable = [
            e
            for e in node.by_service.get(flight.service, ())
            if not e.is_draining
            and e.domain not in node.catalogue.evacuated
            and (not homes or e.region in homes)
        ]
        key = flight.order.key or flight.request_id
        region = node.settings.region
        ordered = order_endpoints(usable, f"{flight.service}|{key}", region)
        local = [e for e in ordered if e.region == region]
        return local, [e for e in ordered if e.region != region]

    def _order_late(
        self,
        flight: RequestContext,
        local: list[EndpointRecord],
        remote: list[EndpointRecord],
    ) -> list[EndpointRecord]:
        known = [e for e in local + remote if e.name in flight.full]
        keepers = set(flight.keepers.values())
        known.sort(key=lambda e: (e.name not in keepers, flight.full[e.name]))
        return known or local or remote

    async def _try_all(
        self,
        flight: RequestContext,
        endpoints: list[EndpointRecord],
        order: OwnerRequest,
    ) -> UpstreamResult | None:
        node = self.node
        for endpoint in endpoints:
            now_s = read_boot_clock()
            if now_s >= order.limit_s:
                flight.over = True
                return None
            away = endpoint.region != node.settings.region
            if away and not node.shift.allows_remote(now_s):
                continue
            region, name = endpoint.region, endpoint.name
            if name in flight.tried:
                continue
            keeps = flight.keepers.setdefault(region, name) == name
            finish_s = node.find_full(endpoint, now_s)
            if finish_s is not None and not order.may_be_late:
                flight.full[name] = finish_s
                flight.asked.append((name, "known_full"))
                continue
            order = replace(order, may_learn=keeps)
            flight.asking = name
            result = await self._try_owners(flight, endpoint, order)
            self._note_attempt(flight, name, result)
            if result is None or result.outcome in NOT_THERE:
                if keeps:
                    del flight.keepers[region]
                continue
            if result.outcome is UpstreamOutcome.FULL:
                flight.full[name] = result.finish_s
                if result.busy:
                    node.note_full(endpoint, result.finish_s)
                continue
            if result.outcome is UpstreamOutcome.SPARED:
                flight.spared.append(endpoint)
                continue
            node.shift.record(away, now_s)
            flight.tried.append(name)
            if self._settle(flight, result):
                return result
            if flight.over:
                return flight.spare
        return None

    def _note_attempt(
        self, flight: RequestContext, name: str, result: UpstreamResult | None
    ) -> None:
        outcome = result.outcome.value if result else "no_owner"
        flight.asking = ""
        flight.asked.append((name, outcome))
        self.node.observer.note_attempt(flight.route.rank, outcome)

    async def _try_owners(
        self,
        flight: RequestContext,
        endpoint: EndpointRecord,
        order: OwnerRequest,
    ) -> UpstreamResult | None:
        """Send the request to the owner, or to the next if it is silent."""
        owners = self.node.list_owners(endpoint, flight.route.allowed_regions)
        for owner in owners[:OWNER_TRIES]:
            try:
                return await serve_at(self.node, owner, order, endpoint.name)
            except OwnerUnreachable as error:
                self.node.shun(owner)
                log_event(
                    "owner_unreachable",
                    "WARNING",
                    owner=owner,
                    endpoint=endpoint.name,
                    cause=str(error),
                )
        return None

    def _settle(self, flight: RequestContext, result: UpstreamResult) -> bool:
        """Decide whether a result is final; prepare for another attempt.

        :returns: whether it is the answer.
        """
        idempotent = flight.route.idempotent
        if result.outcome is UpstreamOutcome.ANSWERED:
            # An error of a sound endpoint is its answer to this request;
            # another endpoint would say the same.
            if result.is_sound or not idempotent or not result.failing:
                return True
            flight.spare = result
        elif result.outcome is not UpstreamOutcome.NOT_RUN:
            flight.may_have_run = True
        self._log_failure(flight, result)
        flight.over = not self._may_repeat(flight, result)
        return False

    def _may_repeat(
        self, flight: RequestContext, result: UpstreamResult
    ) -> bool:
        if flight.may_have_run and not flight.route.idempotent:
            return False
        if result.outcome is UpstreamOutcome.LATE:
            return False
        if len(flight.tried) >= flight.route.max_attempts:
            return False
        instances = len(self.node.membership.records)
        budget = self.node.find_budget(flight.service)
        return budget.spend(read_boot_clock(), instances)

    def _log_failure(
        self, flight: RequestContext, result: UpstreamResult
    ) -> None:
        log_event(
            "attempt_failed",
            request=flight.request_id,
            route=flight.route.name,
            endpoint=flight.tried[-1],
            outcome=result.outcome.value,
            status=result.status,
            cause=result.cause,
        )

    def _give_up(self, flight: RequestContext) -> Response:
        request, rank = flight.request, flight.route.rank
        now_s = read_boot_clock()
        revision = self.node.catalogue.revision
        if flight.may_have_run:
            late = now_s >= flight.order.limit_s
            status = HTTP_GATEWAY_TIMEOUT if late else HTTP_BAD_GATEWAY
            self._note_end(
                flight,
                RequestOutcome.FAILED,
                lambda: {
                    "status": status,
                    **flight.describe_loss(now_s, revision),
                },
            )
            return self._make_answer(request, status)
        retry_s = min(flight.full.values(), default=MIN_RETRY_S)
        retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s))
        reason = "full" if flight.full else "no_endpoint"
        loss = flight.describe_loss(now_s, revision)
        fields = {"reason": reason, **loss, "retry_s": retry_s}
        self.node.observer.note_refusal_reason(rank, reason)
        self._note_end(flight, RequestOutcome.REFUSED, lambda: fields)
        return self._refuse(request, retry_s)

    def _refuse_at_start(self, request: Request) -> Response:
        """Refuse a request before there is a configuration."""
        retry_s = NO_CONFIGURATION_RETRY_S
        fields = {"reason": "starting", "retry_s": retry_s}
        observer = self.node.observer
        observer.note_refusal_reason(UNKNOWN_RANK, "starting")
        observer.note_end(
            RequestOutcome.REFUSED,
            UNKNOWN_RANK,
            request.find_text(self.dialect.request_id),
            lambda: fields,
        )
        return self._refuse(request, retry_s)

    def _refuse(self, request: Request, retry_s: float) -> Response:
        """Answer that a request has not run, and when to come back."""
        return self._make_answer(
            request,
            HTTP_UNAVAILABLE,
            ((b"retry-after", f"{retry_s:.3f}".encode()),),
        )

    def _make_answer(
        self,
        request: Request,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> Response:
        name = self.dialect.request_id
        request_id = request.find(name)
        if request_id is not None:
            headers = (*headers, (name, request_id))
        return Response(status, headers)
