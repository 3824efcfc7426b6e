"""Tests of requests that are forwarded to owners that misbehave."""

import curio
import pytest

from carawayvale.gateway.forward_table import ForwardTable
from carawayvale.gateway.forward_table import OwnerProcess
from carawayvale.gateway.forwarding import forward_request
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.owner_messages import encode_result
from carawayvale.gateway.tests.test_endpoint_checks import make_request
from carawayvale.gateway.upstream import UpstreamOutcome
from carawayvale.gateway.upstream import UpstreamResult
from carawayvale.links.connections import ConnectionPool
from carawayvale.platform.headers import HEADER_NAMES
from carawayvale.platform.tests.fakes import open_port

ID_HEADER = HEADER_NAMES.request_id


async def forward(handle):
    """Forward a request to a fake owner; return the result and its pool."""
    listener = open_port(handle)
    task = await curio.spawn(listener.run, daemon=True)
    pool = ConnectionPool(listener.address)
    result = await forward_request(
        pool,
        make_request(),
        "i-1",
        ID_HEADER,
        ForwardTable(),
        OwnerProcess("e2", 1),
    )
    await task.cancel()
    return result, pool


class TestResponsesOfOwners:
    # Guards against work that ran being reported as not run (review/1).
    @pytest.mark.parametrize(
        "outcome", [UpstreamOutcome.FULL, UpstreamOutcome.NOT_RUN]
    )
    def test_result_for_another_request_does_not_count(self, outcome):
        async def handle(request):
            headers = ((ID_HEADER, b"id-other"),)
            return encode_result(UpstreamResult(outcome, headers=headers))

        async def run():
            result, pool = await forward(handle)
            assert result.outcome is UpstreamOutcome.FAILED
            assert "another request" in result.cause
            assert not pool.idle

        curio.run(run)

    def test_result_without_an_id_counts(self):
        async def handle(request) -> Response:
            return encode_result(UpstreamResult(UpstreamOutcome.FULL))

        async def run():
            result, pool = await forward(handle)
            assert result.outcome is UpstreamOutcome.FULL
            assert pool.idle

        curio.run(run)
