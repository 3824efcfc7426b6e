"""Handling of callers' connections: look-ups and requests."""

from dataclasses import dataclass
from dataclasses import field
import json
from typing import Any
from urllib.parse import parse_qsl

from carawayvale.contracts import headers as names
from carawayvale.contracts.reasons import Reason
from carawayvale.contracts.reasons import REFUSALS
from carawayvale.contracts.tickets import encode_ticket
from carawayvale.contracts.tickets import issue_ticket
from carawayvale.links.http import BadRequest
from carawayvale.links.http import RequestHead
from carawayvale.links.http_server import HttpServer
from carawayvale.links.json_calls import JSON_TYPE
from carawayvale.links.json_calls import serve_requests
from carawayvale.links.sockets import StreamSocket
from carawayvale.machines.entry_node import EntryNode
from carawayvale.machines.exchange import Exchange
from carawayvale.machines.responses import send_refusal
from carawayvale.zones.lookups import list_lookup_targets
from carawayvale.zones.lookups import LookupTarget
from carawayvale.zones.lookups import rotate_targets

HTTP_OK = 200


@dataclass(frozen=True)
class LookupQuery:
    """Parameters of a look-up, with defaults for those not given.

    :param service: name of the service.
    :param region: region whose endpoints should serve the request.
    :param method: HTTP method of the request that the caller will send.
    :param path: path of the request that the caller will send.
    :param caller: IP address of the caller.
    """

    service: str
    region: str
    method: str
    path: str
    caller: str


@dataclass
class CallerHandler:
    """HTTP handler for callers: look-ups and requests.

    :param node: state of the instance.
    :param plan_generation: plan generation of the cached targets.
    :param lookup_count: number of look-ups; rotates the order of targets.
    :param cached_targets: look-up targets by service and region.
    """

    node: EntryNode
    plan_generation: int = -1
    lookup_count: int = 0
    cached_targets: dict[tuple[str, str], tuple[LookupTarget, ...]] = field(
        default_factory=dict
    )

    async def handle(self, sock: StreamSocket) -> None:
        """Serve the requests of one connection.

        :param sock: the accepted connection.
        """
        await serve_requests(sock, self.handle_request)

    async def handle_request(
        self, http: HttpServer, head: RequestHead
    ) -> None:
        """Respond to a look-up or serve a request.

        :param http: the connection.
        :param head: head of the request.
        """
        if not self.node.is_ready:
            refusal = REFUSALS[Reason.NOT_READY]
            await send_refusal(self.node, http, refusal, b"")
        elif head.path == names.LOOKUP_PATH:
            await self._send_lookup_response(http, head)
        else:
            await self._serve(http, head)

    async def _serve(self, http: HttpServer, head: RequestHead) -> None:
        node = self.node
        result = node.request_parser.parse(head, http.peer, node.clock.read())
        if result.is_error():
            node.metrics.count("refusals", f"none/{result.error.value}")
            request_id = head.find(names.REQUEST_ID) or b""
            refusal = REFUSALS[result.error]
            await send_refusal(node, http, refusal, request_id)
            return
        request = result.ok
        parent = node.tracing.read_parent(head.find(names.TRACEPARENT))
        span = node.tracing.start_span("entry", parent)
        if span.is_recording():
            span.set_attribute("request", request.request_id.decode("latin-1"))
            span.set_attribute("service", request.service.name)
            span.set_attribute("rank", request.rank.name)
            span.set_attribute("instance", node.own_record.name)
        try:
            await Exchange(node, http, request, span).run()
        finally:
            span.end()

    async def _send_lookup_response(
        self, http: HttpServer, head: RequestHead
    ) -> None:
        self.node.metrics.count("lookups")
        query = self._parse_lookup_query(http, head)
        body = self.make_lookup_response(query)
        ttl_s = self.node.plan.deployment.lookup_ttl_s
        cache_control = b"max-age=%d" % int(ttl_s)
        if "ticket" in body:
            cache_control = b"no-store"
        headers = [JSON_TYPE, (names.CACHE_CONTROL, cache_control)]
        data = json.dumps(body).encode()
        await http.send_response(HTTP_OK, headers, data)

    def _parse_lookup_query(
        self, http: HttpServer, head: RequestHead
    ) -> LookupQuery:
        parameters = dict(parse_qsl(head.target.partition("?")[2]))
        plan = self.node.plan
        service = parameters.get("service", "")
        if service not in plan.services:
            raise BadRequest(f"unknown service {service!r}", 404)
        caller = parameters.get("address", http.peer)
        region = parameters.get("region", "")
        try:
            region = region or plan.home_regions.find(caller)
        except ValueError as error:
            raise BadRequest(f"address: {error}") from None
        region = region or self.node.own_record.region
        if region not in plan.document.by_kind["region"]:
            raise BadRequest(f"unknown region {region!r}", 404)
        method = parameters.get("method", "GET")
        path = parameters.get("path", "/")
        return LookupQuery(service, region, method, path, caller)

    def make_lookup_response(self, query: LookupQuery) -> dict[str, Any]:
        """Make the body of the response to a look-up.

        :param query: query of the look-up.
        :returns: the body as a JSON object.
        """
        node = self.node
        self.lookup_count += 1
        targets, region = self._find_targets(query)
        targets = rotate_targets(targets, self.lookup_count)
        body = {
            "service": query.service,
            "region": region,
            "ttl_s": node.plan.deployment.lookup_ttl_s,
            "revision": node.plan.revision,
            "entries": [vars(target) for target in targets],
        }
        service = node.plan.services[query.service]
        policy = node.plan.classify(
            service, query.method, query.path, query.caller
        )
        if not policy.idempotent and targets:
            body["ticket"] = self._make_ticket(targets[0].name)
            body["ticket_ttl_s"] = node.plan.deployment.ticket_ttl_s
        return body

    def _make_ticket(self, name: str) -> str:
        node = self.node
        record = node.serving[name]
        ttl_s = node.plan.deployment.ticket_ttl_s
        expiry_s = node.clock.read() + ttl_s
        ticket = issue_ticket(name, record.incarnation, expiry_s)
        return encode_ticket(ticket, node.key)

    def _find_targets(
        self, query: LookupQuery
    ) -> tuple[tuple[LookupTarget, ...], str]:
        """Find usable targets in the queried region, else in another one."""
        service = query.service
        shift_targets = self._find_shift_targets(service, query.region)
        if shift_targets is not None:
            return shift_targets
        targets = self._list_cached(service, query.region)
        if self._is_usable(targets, query.region):
            return targets, query.region
        for region in self._sort_regions(service, query.region):
            other_targets = self._list_cached(service, region)
            if self._is_usable(other_targets, region):
                return other_targets, region
        return targets, query.region

    def _find_shift_targets(
        self, service: str, source: str
    ) -> tuple[tuple[LookupTarget, ...], str] | None:
        """Find the targets of a planned shift, for its share of look-ups."""
        shift = self.node.plan.find_shift(service, source)
        if shift is None or self.node.random.random() >= shift.share:
            return None
        targets = self._list_cached(service, shift.target)
        if not self._is_usable(targets, shift.target):
            return None
        return targets, shift.target

    def _is_usable(
        self, targets: tuple[LookupTarget, ...], region: str
    ) -> bool:
        """Check that some target has weight and the region is reachable."""
        if not any(target.weight for target in targets):
            return False
        if not any(target.region == region for target in targets):
            return False
        if region == self.node.own_record.region:
            return True
        now_s = self.node.clock.read()
        max_age_s = self.node.plan.deployment.headroom_age_s
        return self.node.headroom_table.is_reachable(region, now_s, max_age_s)

    def _sort_regions(self, service: str, queried: str) -> list[str]:
        """List the other regions, best first.

        The region of this instance comes first, then the region with the
        most free slots.
        """
        node = self.node
        now_s = node.clock.read()
        max_age_s = node.plan.deployment.headroom_age_s
        regions = [
            r for r in node.plan.document.by_kind["region"] if r != queried
        ]
        own_region = node.own_record.region
        regions.sort(
            key=lambda r: (
                r != own_region,
                -node.headroom_table.find_free_slots(
                    r, service, now_s, max_age_s
                ),
            )
        )
        return regions

    def _list_cached(
        self, service: str, region: str
    ) -> tuple[LookupTarget, ...]:
        if self.plan_generation != self.node.plan_generation:
            self.plan_generation = self.node.plan_generation
            self.cached_targets.clear()
        key = (service, region)
        if key not in self.cached_targets:
            self.cached_targets[key] = list_lookup_targets(
                self.node.ownership, self.node.serving, service, region
            )
        return self.cached_targets[key]
