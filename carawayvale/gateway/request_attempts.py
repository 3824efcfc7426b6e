"""Attempt a request at endpoints in order until one responds."""

from collections.abc import Callable
from dataclasses import replace

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.gateway_node import GatewayNode
from carawayvale.gateway.owner_attempts import attempt_owners
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.request_context import RequestContext
from carawayvale.gateway.request_context import StopReason
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.steering.expected_waits import choose_candidates
from carawayvale.steering.placement import ObjectPlacement
from carawayvale.steering.region_shares import LOCAL_MARGIN_S
from carawayvale.telemetry.logs import log_event

# Maximum numbers of endpoints of the own region, and of other regions,
# that are attempted for a response within the objective, and of
# endpoints that are attempted for a late response.
MAX_LOCAL_ENDPOINTS = 4
MAX_REMOTE_ENDPOINTS = 2
MAX_LATE_ENDPOINTS = 3

# Maximum number of endpoints that crash during the attempts of one request
# before it gets no further attempt. The quarantine of the same request in
# later attempts of its caller has a limit of its own.
MAX_CRASHES_PER_REQUEST = 2

# Outcomes for which nothing was sent and the endpoint may be gone.
UNAVAILABLE_OUTCOMES = frozenset(
    {UpstreamOutcome.UNUSABLE, UpstreamOutcome.UNSENT}
)

# Outcomes with which an owner does not take a request.
REJECTING_OUTCOMES = UNAVAILABLE_OUTCOMES | {
    UpstreamOutcome.FULL,
    UpstreamOutcome.SKIPPED,
}


def _is_accepted(result: UpstreamResult | None) -> bool:
    """Tell whether an owner took a request."""
    return result is not None and result.outcome not in REJECTING_OUTCOMES


class RequestAttempts:
    """Attempts of callers' requests at endpoints.

    :param node: state of the instance.
    """

    def __init__(self, node: GatewayNode):
        self.node = node

    async def run(self, context: RequestContext) -> UpstreamResult | None:
        """Attempt groups of endpoints in order until one responds.

        Endpoints that may respond within the objective come first, of
        the own region and then of other regions, or in reverse order
        while the share of requests served in other regions would drop
        too fast. Failing endpoints come next, and responses after the
        objective last.

        :param context: state of the request.
        :returns: the result for the caller, or None.
        """
        failures = self.node.find_common_failures(context.service)
        if failures.are_common(read_boot_clock()):
            context.fails_everywhere = True
            context.owner_request = replace(
                context.owner_request, may_use_failing=True
            )
        placement = self._place_object(context)
        for is_local, list_group in self._order_groups(context, placement):
            attempt = self._attempt_local if is_local else self._attempt_remote
            result = await attempt(context, list_group())
            if result is not None or context.no_more_attempts:
                return result
        with_failing = replace(context.owner_request, may_use_failing=True)
        result = await self._attempt_endpoints(
            context, context.skipped, with_failing
        )
        if result is not None or context.no_more_attempts:
            return result
        late = replace(with_failing, may_be_late=True)
        candidates = self._order_late_candidates(context, placement)
        return await self._attempt_endpoints(
            context, candidates[:MAX_LATE_ENDPOINTS], late
        )

    def _place_object(self, context: RequestContext) -> ObjectPlacement:
        """Order the usable endpoints for the object of a request."""
        service, regions = context.service, context.allowed_regions
        if context.owner_request.key:
            key = context.owner_request.key
            return self.node.place_object(service, key, regions)
        return self.node.make_placement(service, context.request_id, regions)

    def _order_groups(
        self, context: RequestContext, placement: ObjectPlacement
    ) -> list[tuple[bool, Callable[[], list[EndpointRecord]]]]:
        """Order the groups of endpoints that may respond in time.

        A request that the own region is likely to reject goes to another
        region first.

        :returns: for each group whether it is that of the own region, and
            a function that lists its endpoints.
        """
        now_s = read_boot_clock()
        local = (True, lambda: self._choose_local(context, placement))
        groups = [
            local,
            (False, lambda: placement.first_remote[:MAX_REMOTE_ENDPOINTS]),
        ]
        shares = self.node.find_region_shares(context.service, now_s)
        context.region_shares = shares
        if shares is not None and len(placement.by_region) > 1:
            context.local_margin_s = LOCAL_MARGIN_S
        if self.node.shift_limit.requires_remote(now_s):
            groups.reverse()
        elif shares is not None:
            regions = [r for r in placement.by_region if r != shares.region]
            if shares.starts_remote(placement.key, regions, now_s):
                self.node.observer.count_remote_start(context.service)
                preferred = shares.list_preferred(regions, now_s)
                remote = sorted(
                    placement.first_remote,
                    key=lambda endpoint: endpoint.region not in preferred,
                )[:MAX_REMOTE_ENDPOINTS]
                return [
                    (False, lambda: remote[:1]),
                    local,
                    (False, lambda: remote[1:]),
                ]
        return groups

    async def _attempt_local(
        self, context: RequestContext, endpoints: list[EndpointRecord]
    ) -> UpstreamResult | None:
        """Attempt endpoints of the own region within the objective.

        :returns: the result for the caller, or None.
        """
        owner_request, shares = context.owner_request, context.region_shares
        if shares is None:
            return await self._attempt_endpoints(
                context, endpoints, owner_request
            )
        objective_s = owner_request.objective_s - context.local_margin_s
        before = len(context.attempted)
        shares.record_asked(shares.region, read_boot_clock())
        result = await self._attempt_endpoints(
            context, endpoints, replace(owner_request, objective_s=objective_s)
        )
        if len(context.attempted) == before and not context.no_more_attempts:
            context.rejected_locally = True
            shares.record_rejected(shares.region, read_boot_clock())
        return result

    async def _attempt_remote(
        self, context: RequestContext, endpoints: list[EndpointRecord]
    ) -> UpstreamResult | None:
        """Attempt endpoints of other regions within the objective.

        A region that accepts less than the own one does not get what that
        one rejected.

        :returns: the result for the caller, or None.
        """
        shares = context.region_shares
        if shares is not None and context.rejected_locally:
            now_s = read_boot_clock()
            endpoints = [
                e for e in endpoints if shares.may_accept(e.region, now_s)
            ]
        return await self._attempt_endpoints(
            context, endpoints, context.owner_request
        )

    def _record_remote(
        self, context: RequestContext, region: str, accepted: bool
    ) -> None:
        """Record whether an endpoint of another region took a request."""
        shares, now_s = context.region_shares, read_boot_clock()
        if shares is None or region == shares.region:
            return
        shares.record_asked(region, now_s)
        if not accepted:
            shares.record_rejected(region, now_s)

    def _choose_local(
        self, context: RequestContext, placement: ObjectPlacement
    ) -> list[EndpointRecord]:
        """Choose the endpoints of the own region that are considered.

        Those at which the request is expected to miss its objective are
        skipped when it is their turn, unless the expectation has ended.
        """
        now_s = read_boot_clock()
        waits, rank = self.node.expected_waits, context.rank
        objective_s = context.owner_request.objective_s
        return choose_candidates(
            placement.local,
            MAX_LOCAL_ENDPOINTS,
            lambda name: (
                waits.find_finish(name, rank, objective_s, now_s) is not None
            ),
            lambda name: waits.has_room(name, rank, objective_s, now_s),
        )

    def _find_late_finish(
        self, name: str, owner_request: OwnerRequest, now_s: float
    ) -> tuple[str, float] | None:
        """Find whether an endpoint is known to serve a request late.

        :returns: what is known, for the log, and the seconds until the
            request would be complete; None if it may be in time.
        """
        if owner_request.may_be_late:
            return None
        finish_s = self.node.full_endpoints.find(name, now_s)
        if finish_s is not None:
            return "known_full", finish_s
        rank, objective_s = owner_request.rank, owner_request.objective_s
        finish_s = self.node.expected_waits.find_finish(
            name, rank, objective_s, now_s
        )
        if finish_s is None:
            return None
        self.node.observer.count_skipped(rank)
        return "expected_late", finish_s

    def _order_late_candidates(
        self, context: RequestContext, placement: ObjectPlacement
    ) -> list[EndpointRecord]:
        """Order the endpoints that may respond after the objective.

        These are the full ones: first those that keep the object warm,
        then by the time until the request would be complete. Without
        full endpoints, the order for the object applies.
        """
        attempted = placement.local + placement.first_remote
        full = [e for e in attempted if e.name in context.full]
        choices = context.warm_up_choices
        full.sort(
            key=lambda e: (
                not choices.is_choice(e.name),
                context.full[e.name],
            )
        )
        return full or placement.local or placement.remote

    async def _attempt_endpoints(
        self,
        context: RequestContext,
        endpoints: list[EndpointRecord],
        owner_request: OwnerRequest,
    ) -> UpstreamResult | None:
        """Attempt a request at endpoints in order until one responds.

        :returns: the result for the caller, or None.
        """
        node = self.node
        spill = node.find_spill(context.service, owner_request.may_be_late)
        choices = context.warm_up_choices
        was_full = bool(context.full) and not owner_request.may_be_late
        for endpoint in endpoints:
            now_s = read_boot_clock()
            if not node.accepts_arrival(context.request.arrived_s):
                context.stop_reason = StopReason.STOPPING
                return None
            if now_s >= owner_request.deadline_s:
                context.stop_reason = StopReason.DEADLINE
                return None
            is_remote = endpoint.region != node.settings.region
            region, name = endpoint.region, endpoint.name
            if is_remote and not node.shift_limit.allows_remote(now_s, region):
                continue
            if name in context.attempted:
                continue
            may_warm_up = choices.may_warm_up(region, name)
            late = self._find_late_finish(name, owner_request, now_s)
            if late is not None:
                knowledge, context.full[name] = late
                context.attempts.append((name, knowledge))
                choices.record_busy(region, name)
                self._record_remote(context, region, False)
                was_full = True
                continue
            if was_full and not spill.allows_try(now_s):
                continue
            owner_request = replace(owner_request, may_warm_up=may_warm_up)
            context.current = name
            result = await attempt_owners(
                node, context, endpoint, owner_request
            )
            self._record_attempt(context, name, result)
            if was_full:
                spill.record(_is_accepted(result))
            if not owner_request.may_be_late:
                self._record_remote(context, region, _is_accepted(result))
            if result is None or result.outcome in UNAVAILABLE_OUTCOMES:
                choices.record_unavailable(region, name)
                continue
            if result.outcome is UpstreamOutcome.FULL:
                was_full = True
                context.full[name] = result.finish_s
                if result.busy:
                    choices.record_busy(region, name)
                    node.full_endpoints.record(
                        name, not is_remote, result.finish_s, read_boot_clock()
                    )
                continue
            if result.outcome is UpstreamOutcome.QUARANTINED:
                self._stop_for_quarantine(context, result)
                return context.fallback
            self._record_failing(context, name, result)
            if result.outcome is UpstreamOutcome.SKIPPED:
                context.skipped.append(endpoint)
                continue
            node.shift_limit.record(is_remote, now_s, region)
            node.observer.count_region(region)
            context.attempted.append(name)
            if self._evaluate_result(context, result):
                return result
            if context.no_more_attempts:
                return context.fallback
            if not self._is_shed_by_chance(context, result):
                continue
            result = await self._attempt_again(
                context, endpoint, owner_request
            )
            if result is not None or context.no_more_attempts:
                return result or context.fallback
        return None

    @staticmethod
    def _stop_for_quarantine(
        context: RequestContext, result: UpstreamResult
    ) -> None:
        context.quarantine_s = result.finish_s
        context.stop_reason = StopReason.QUARANTINE

    def _record_failing(
        self, context: RequestContext, name: str, result: UpstreamResult
    ) -> None:
        """Record whether an endpoint fails many requests."""
        skipped = result.outcome is UpstreamOutcome.SKIPPED
        failures = self.node.find_common_failures(context.service)
        failures.record(name, skipped or result.failing, read_boot_clock())

    @staticmethod
    def _is_shed_by_chance(
        context: RequestContext, result: UpstreamResult
    ) -> bool:
        """Tell whether an endpoint may take the request the next time.

        Where all endpoints refuse requests that they have room for, the one
        that keeps the object is the best for another attempt. A late copy of
        its refusal would pass for the response to that attempt, so a request
        that runs at most once is sent to each endpoint only once.
        """
        not_run = result.outcome is UpstreamOutcome.NOT_RUN
        may_repeat = context.route.idempotent
        return context.fails_everywhere and may_repeat and not_run

    async def _attempt_again(
        self,
        context: RequestContext,
        endpoint: EndpointRecord,
        owner_request: OwnerRequest,
    ) -> UpstreamResult | None:
        """Attempt a request at the same endpoint once more.

        :returns: the result for the caller, or None.
        """
        context.current = endpoint.name
        result = await attempt_owners(
            self.node, context, endpoint, owner_request
        )
        self._record_attempt(context, endpoint.name, result)
        if result is None or result.outcome in REJECTING_OUTCOMES:
            return None
        if result.outcome is UpstreamOutcome.QUARANTINED:
            self._stop_for_quarantine(context, result)
            return None
        return result if self._evaluate_result(context, result) else None

    def _record_attempt(
        self, context: RequestContext, name: str, result: UpstreamResult | None
    ) -> None:
        outcome = result.outcome.value if result else "no_owner"
        context.current = ""
        context.attempts.append((name, outcome))
        self.node.observer.count_attempt(context.rank, outcome)

    def _evaluate_result(
        self, context: RequestContext, result: UpstreamResult
    ) -> bool:
        """Decide whether a result is final or the request may be retried.

        :returns: whether the result is returned to the caller.
        """
        idempotent = context.route.idempotent
        if result.outcome is UpstreamOutcome.ANSWERED:
            # The error response of a healthy endpoint is final: another
            # endpoint would return the same error.
            if result.is_success or not idempotent or not result.failing:
                return True
            context.fallback = result
        elif result.outcome is not UpstreamOutcome.NOT_RUN:
            context.may_have_run = True
        self._log_failed_attempt(context, result)
        context.stop_reason = self._find_stop_reason(context, result)
        return False

    def _find_stop_reason(
        self, context: RequestContext, result: UpstreamResult
    ) -> StopReason | None:
        """Decide whether a request may be retried.

        A retry is deducted from the retry budget of the service.

        :returns: why it may not be retried; None if it may.
        """
        if context.may_have_run and not context.route.idempotent:
            return StopReason.NOT_IDEMPOTENT
        if result.no_memory:
            return StopReason.NO_MEMORY
        if result.outcome is UpstreamOutcome.LATE:
            return StopReason.DEADLINE
        if result.outcome is UpstreamOutcome.CRASHED:
            context.crashes += 1
        if context.crashes >= MAX_CRASHES_PER_REQUEST:
            return StopReason.CRASHES
        if len(context.attempted) >= context.route.max_attempts:
            return StopReason.ATTEMPT_LIMIT
        if not self.node.spend_retry(context.service):
            return StopReason.RETRY_BUDGET
        return None

    def _log_failed_attempt(
        self, context: RequestContext, result: UpstreamResult
    ) -> None:
        log_event(
            "attempt_failed",
            request=context.request_id,
            route=context.route.name,
            endpoint=context.attempted[-1],
            outcome=result.outcome.value,
            status=result.status,
            lost_owners=context.format_lost_owners(),
            cause=result.cause,
        )
