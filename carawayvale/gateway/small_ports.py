"""The ports for look-ups, readiness and metrics."""

from carawayvale.gateway.http_port import Answer
from carawayvale.gateway.http_port import Request
from carawayvale.gateway.node import GatewayNode
from carawayvale.platform.lookups import decode_lookup
from carawayvale.platform.lookups import encode_addresses
from carawayvale.platform.lookups import READY_PATH
from carawayvale.platform.lookups import RESOLVE_PATH

MAX_ADDRESSES = 64
TTL_S = 2.0
JSON_TYPE = (b"content-type", b"application/json")
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


class LookupPort:
    """Tells callers which instances to use.

    :param node: the instance.
    """

    def __init__(self, node: GatewayNode):
        self.node = node

    async def handle(self, request: Request) -> Answer:
        """Answer a look-up.

        :param request: the request.
        :returns: the answer.
        """
        if request.path != RESOLVE_PATH:
            return Answer(HTTP_NOT_FOUND)
        lookup = decode_lookup(request.query)
        records = self.node.list_callers_instances(
            lookup.domain, lookup.region
        )
        addresses = [record.callers for record in records][:MAX_ADDRESSES]
        if not addresses:
            return Answer(HTTP_UNAVAILABLE)
        ttl_s = min(TTL_S, self.node.settings.bounds.ttl_s)
        body = encode_addresses(addresses, ttl_s)
        return Answer(HTTP_OK, (JSON_TYPE,), body)


class ReadyPort:
    """Tells whether the instance takes requests.

    :param node: the instance.
    """

    def __init__(self, node: GatewayNode):
        self.node = node

    async def handle(self, request: Request) -> Answer:
        """Answer a readiness check.

        :param request: the request.
        :returns: the answer.
        """
        if request.path != READY_PATH:
            return Answer(HTTP_NOT_FOUND)
        ready = self.node.is_ready
        return Answer(HTTP_OK if ready else HTTP_UNAVAILABLE)
