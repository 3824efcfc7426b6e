"""Attempt a request at the owners of one endpoint until one is reached."""

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.forwarding import OwnerRefused
from carawayvale.gateway.forwarding import OwnerUnreachable
from carawayvale.gateway.forwarding import serve_at_owner
from carawayvale.gateway.gateway_node import GatewayNode
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.request_context import LostOwner
from carawayvale.gateway.request_context import RequestContext
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.telemetry.logs import log_event

# Maximum number of instances that are attempted as owner of one endpoint
# while the ones before are unreachable.
MAX_OWNERS = 2


async def attempt_owners(
    node: GatewayNode,
    context: RequestContext,
    endpoint: EndpointRecord,
    owner_request: OwnerRequest,
) -> UpstreamResult | None:
    """Send a request to the first reachable owner of an endpoint.

    :param node: state of this instance.
    :param context: state of the request.
    :param endpoint: the endpoint.
    :param owner_request: the request and the parameters of the attempt.
    :returns: the result; None if no owner could be reached.
    """
    owners = node.owners.list_owners(endpoint, context.allowed_regions)
    for owner in owners[:MAX_OWNERS]:
        started_s = read_boot_clock()
        try:
            result = await serve_at_owner(node, owner, owner_request, endpoint)
        except OwnerUnreachable as error:
            _record_unreachable(node, owner, endpoint, error, started_s)
            continue
        if result.outcome is UpstreamOutcome.OWNER_LOST:
            state = node.describe_state(owner)
            context.lost_owners.append(LostOwner(owner, state))
        return result
    return None


def _record_unreachable(
    node: GatewayNode,
    owner: str,
    endpoint: EndpointRecord,
    error: OwnerUnreachable,
    started_s: float,
) -> None:
    """Back off from an owner, unless this instance itself was behind."""
    refused = isinstance(error, OwnerRefused)
    own_delay = not refused and node.own_delay.was_behind(started_s)
    if not own_delay:
        node.owners.back_off(owner)
    log_event(
        "owner_unreachable",
        "WARNING",
        owner=owner,
        endpoint=endpoint.name,
        own_delay=own_delay,
        cause=str(error),
    )
