"""The port for callers: look-ups and requests."""

from dataclasses import dataclass
from dataclasses import field
import json
from typing import Any
from urllib.parse import parse_qsl

from curio.io import Socket

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
from carawayvale.machines.entry_node import EntryNode
from carawayvale.machines.exchange import Exchange
from carawayvale.machines.responses import send_refusal
from carawayvale.zones.lookups import list_lookup_targets
from carawayvale.zones.lookups import LookupTarget
from carawayvale.zones.lookups import rotate_targets

HTTP_OK = 200


@dataclass(frozen=True)
class LookupQuestion:
    """What a look-up asks.

    :param service: the service.
    :param region: region whose endpoints are to serve.
    :param method: HTTP method of the request to come.
    :param path: path of the request to come.
    :param caller: IP address of the caller.
    """

    service: str
    region: str
    method: str
    path: str
    caller: str


@dataclass
class CallerHandler:
    """Answers callers.

    :param node: the instance.
    """

    node: EntryNode
    generation: int = -1
    turn: int = 0
    cached: dict[tuple[str, str], tuple[LookupTarget, ...]] = field(
        default_factory=dict
    )

    async def handle(self, sock: Socket) -> None:
        """Serve one connection.

        :param sock: the accepted connection.
        """
        await serve_requests(sock, self.answer)

    async def answer(self, http: HttpServer, head: RequestHead) -> None:
        """Answer a look-up or serve a request.

        :param http: the connection.
        :param head: head of the request.
        """
        if not self.node.is_ready:
            refusal = REFUSALS[Reason.NOT_READY]
            await send_refusal(self.node, http, refusal, b"")
        elif head.path == names.LOOKUP_PATH:
            await self._answer_lookup(http, head)
        else:
            await self._serve(http, head)

    async def _serve(self, http: HttpServer, head: RequestHead) -> None:
        node = self.node
        result = node.reader.read(head, http.peer, node.clock.read())
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
            span.set_attribute("instance", node.me.name)
        try:
            await Exchange(node, http, request, span).run()
        finally:
            span.end()

    async def _answer_lookup(
        self, http: HttpServer, head: RequestHead
    ) -> None:
        self.node.metrics.count("lookups")
        question = self._read_question(http, head)
        body = self.find_answer(question)
        ttl_s = self.node.plan.deployment.lookup_ttl_s
        cache = b"max-age=%d" % int(ttl_s)
        if "ticket" in body:
            cache = b"no-store"
        headers = [JSON_TYPE, (names.CACHE_CONTROL, cache)]
        data = json.dumps(body).encode()
        await http.send_response(HTTP_OK, headers, data)

    def _read_question(
        self, http: HttpServer, head: RequestHead
    ) -> LookupQuestion:
        query = dict(parse_qsl(head.target.partition("?")[2]))
        plan = self.node.plan
        service = query.get("service", "")
        if service not in plan.services:
            raise BadRequest(f"unknown service {service!r}", 404)
        caller = query.get("address", http.peer)
        region = query.get("region", "")
        try:
            region = region or plan.home_regions.find(caller)
        except ValueError as error:
            raise BadRequest(f"address: {error}") from None
        region = region or self.node.me.region
        if region not in plan.document.by_kind["region"]:
            raise BadRequest(f"unknown region {region!r}", 404)
        method = query.get("method", "GET")
        path = query.get("path", "/")
        return LookupQuestion(service, region, method, path, caller)

    def find_answer(self, question: LookupQuestion) -> dict[str, Any]:
        """Find the answer of a look-up.

        :param question: what is asked.
        :returns: the JSON object.
        """
        node = self.node
        self.turn += 1
        targets, region = self._find_targets(question)
        targets = rotate_targets(targets, self.turn)
        body = {
            "service": question.service,
            "region": region,
            "ttl_s": node.plan.deployment.lookup_ttl_s,
            "revision": node.plan.revision,
            "entries": [vars(target) for target in targets],
        }
        service = node.plan.services[question.service]
        treatment = node.plan.classify(
            service, question.method, question.path, question.caller
        )
        if not treatment.idempotent and targets:
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
        self, question: LookupQuestion
    ) -> tuple[tuple[LookupTarget, ...], str]:
        """Find targets in the asked region or, without any, another."""
        service = question.service
        shifted = self._list_shifted(service, question.region)
        if shifted is not None:
            return shifted
        targets = self._list_cached(service, question.region)
        if self._is_usable(targets, question.region):
            return targets, question.region
        for region in self._order_regions(service, question.region):
            others = self._list_cached(service, region)
            if self._is_usable(others, region):
                return others, region
        return targets, question.region

    def _list_shifted(
        self, service: str, source: str
    ) -> tuple[tuple[LookupTarget, ...], str] | None:
        """Follow a planned shift for its share of the look-ups."""
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
        if not any(target.weight for target in targets):
            return False
        if not any(target.region == region for target in targets):
            return False
        if region == self.node.me.region:
            return True
        now_s = self.node.clock.read()
        age_s = self.node.plan.deployment.headroom_age_s
        return self.node.book.is_reachable(region, now_s, age_s)

    def _order_regions(self, service: str, asked: str) -> list[str]:
        node = self.node
        now_s = node.clock.read()
        age_s = node.plan.deployment.headroom_age_s
        names_ = [
            r for r in node.plan.document.by_kind["region"] if r != asked
        ]
        own = node.me.region
        names_.sort(
            key=lambda r: (
                r != own,
                -node.book.find_free_slots(r, service, now_s, age_s),
            )
        )
        return names_

    def _list_cached(
        self, service: str, region: str
    ) -> tuple[LookupTarget, ...]:
        if self.generation != self.node.generation:
            self.generation = self.node.generation
            self.cached.clear()
        key = (service, region)
        if key not in self.cached:
            self.cached[key] = list_lookup_targets(
                self.node.ownership, self.node.serving, service, region
            )
        return self.cached[key]
