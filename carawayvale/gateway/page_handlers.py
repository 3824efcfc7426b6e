"""Handlers for look-ups, readiness checks, metrics and state."""

from collections.abc import Callable
from collections.abc import Mapping
import json

from carawayvale.catalogue.position import unpack_position
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.change_feed import ChangeFeed
from carawayvale.gateway.gateway_node import GatewayNode
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response
from carawayvale.links.json_calls import JSON_TYPE
from carawayvale.links.messages import MemberState
from carawayvale.platform.lookups import decode_lookup
from carawayvale.platform.lookups import encode_addresses
from carawayvale.platform.lookups import READY_PATH
from carawayvale.platform.lookups import RESOLVE_PATH

# Bounds of the response to a look-up: number of addresses, time to live.
MAX_ADDRESSES = 64
MAX_LOOKUP_TTL_S = 2.0

# Time to live of a response that lists leaving instances.
LEAVING_LOOKUP_TTL_S = 0.5
TEXT_TYPE = (b"content-type", b"text/plain; version=0.0.4")
METRICS_PATH = "/metrics"
STATE_PATH = "/state"
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


MakeResponse = Callable[[Request], Response]


class PageHandler:
    """Handler that selects a function by the path of a request.

    The response to an unknown path has status 404.

    :param pages: by path, the function that makes the response.
    """

    def __init__(self, pages: Mapping[str, MakeResponse]):
        self.pages = pages

    async def handle(self, request: Request) -> Response:
        """Handle one request.

        :param request: the request.
        :returns: the response.
        """
        make_response = self.pages.get(request.path)
        return (
            make_response(request)
            if make_response
            else Response(HTTP_NOT_FOUND)
        )


class LookupHandler(PageHandler):
    """Handler of look-ups of the instances that a caller should use.

    :param node: state of the instance.
    """

    def __init__(self, node: GatewayNode):
        super().__init__({RESOLVE_PATH: self._make_lookup_response})
        self.node = node

    def _make_lookup_response(self, request: Request) -> Response:
        lookup = decode_lookup(request.query)
        records = self.node.list_instances_for_caller(
            lookup.domain, lookup.region, lookup.host
        )
        addresses = [record.callers for record in records][:MAX_ADDRESSES]
        if not addresses:
            return Response(HTTP_UNAVAILABLE)
        ttl_s = min(MAX_LOOKUP_TTL_S, self.node.settings.bounds.ttl_s)
        if any(r.state is not MemberState.ALIVE for r in records):
            ttl_s = min(ttl_s, LEAVING_LOOKUP_TTL_S)
        body = encode_addresses(addresses, ttl_s)
        return Response(HTTP_OK, (JSON_TYPE,), body)


class ReadinessHandler(PageHandler):
    """Handler of checks whether the instance is ready to serve requests.

    :param node: state of the instance.
    """

    def __init__(self, node: GatewayNode):
        super().__init__({READY_PATH: self._make_ready_response})
        self.node = node

    def _make_ready_response(self, request: Request) -> Response:
        ready = self.node.is_ready
        return Response(HTTP_OK if ready else HTTP_UNAVAILABLE)


class MetricsHandler(PageHandler):
    """Handler of requests for the metrics and the state of the instance.

    :param node: state of the instance.
    :param change_feed: change feed of the instance.
    """

    def __init__(self, node: GatewayNode, change_feed: ChangeFeed):
        super().__init__(
            {
                METRICS_PATH: self._make_metrics_response,
                STATE_PATH: self._make_state_response,
            }
        )
        self.node = node
        self.change_feed = change_feed

    def _make_metrics_response(self, request: Request) -> Response:
        metrics = self.node.observer.metrics
        for name, value in self._collect_gauges().items():
            metrics.set_gauge(name, "", value)
        age = self.node.configuration_age
        if age.is_limited:
            age_s = age.find_age(read_boot_clock())
            metrics.set_gauge("configuration_read_age_s", "", age_s)
        for service, shares in self.node.region_shares.items():
            metrics.set_gauge("remote_part", service, shares.remote_part)
        return Response(HTTP_OK, (TEXT_TYPE,), metrics.format_text())

    def _collect_gauges(self) -> dict[str, float]:
        node, now_s = self.node, read_boot_clock()
        owned = node.owned.values()
        quarantine = node.crash_reports.quarantine
        configuration = node.catalogue.configuration
        traffic = self.change_feed.peers.measure_traffic()
        return {
            "configuration_version": configuration.version
            if configuration
            else 0,
            "configuration_age_s": now_s - node.configured_s,
            "store_epoch": self.change_feed.store.epoch,
            "store_age_s": now_s - self.change_feed.confirmed_s,
            "revision": unpack_position(node.catalogue.revision).revision,
            "endpoints": len(node.catalogue.endpoints),
            "endpoints_owned": len(owned),
            "endpoints_ejected": sum(o.health.ejected for o in owned),
            "endpoints_limited": len(node.notices.limits.list_limited()),
            "requests_suspected": quarantine.count_suspects(),
            "crash_records_waiting": len(node.crash_reports.records.writes),
            "quota_buckets": len(node.quotas.owner.buckets),
            "endpoints_partitioned": int(node.reachability.is_partitioned),
            "members": len(node.membership.list_serving()),
            "members_age_s": now_s - node.members_changed_s,
            "messages_skipped": traffic.skipped_messages,
            "waiting_organisations": len(
                {
                    queued.organisation
                    for o in owned
                    for queued in o.queue.waiting
                    if queued.organisation
                }
            ),
            "waiting": sum(len(o.queue.waiting) for o in owned),
            "memory_used_bytes": node.memory.used_bytes,
            "clients_closed": node.memory.counts.get("client_closed", 0),
            "responses_dropped": node.memory.counts.get("response_dropped", 0),
            "running": sum(len(o.queue.running) for o in owned),
        }

    def _make_state_response(self, request: Request) -> Response:
        node = self.node
        members = [
            {"name": record.name, "state": record.state.name.lower()}
            for _, record in sorted(node.membership.records.items())
        ]
        state = {
            "name": node.settings.name,
            "region": node.settings.region,
            "revision": str(unpack_position(node.catalogue.revision)),
            "ready": node.is_ready,
            "draining": node.leaving,
            "in_flight": sum(
                len(o.queue.running) for o in node.owned.values()
            ),
            "watcher": self.change_feed.watching,
            "store_down": not self.change_feed.reachable,
            "shards": sorted(node.owned),
            "members": members,
        }
        return Response(HTTP_OK, (JSON_TYPE,), json.dumps(state).encode())
