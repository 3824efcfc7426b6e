"""Tests of headers that a caller or an endpoint declares hop-by-hop."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from carawayvale.contracts.headers import HOP_BY_HOP
from carawayvale.gateway.caller_headers import prepare_headers
from carawayvale.gateway.caller_headers import replace_credentials
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.owner_messages import decode_owner_request
from carawayvale.gateway.owner_messages import encode_owner_request
from carawayvale.gateway.owner_messages import INTERNAL_HEADERS
from carawayvale.gateway.owner_request import OwnerRequest
from carawayvale.gateway.tests.test_organisations import authorize
from carawayvale.gateway.tests.test_organisations import list_runs
from carawayvale.gateway.tests.test_organisations import make_configuration
from carawayvale.gateway.tests.test_organisations import PRESS_KEY
from carawayvale.gateway.tests.test_organisations import run_scenario
from carawayvale.gateway.tests.test_owned_endpoint import ENDPOINT
from carawayvale.gateway.upstream import Upstream
from carawayvale.platform.headers import HEADER_NAMES

ORGANISATION = "press"
NAMES = sorted(
    {
        b"accept",
        b"x-request-id",
        b"x-deadline-ms",
        b"x-affinity-key",
        b"x-expect-instance",
        b"x-tenant",
        b"authorization",
        *INTERNAL_HEADERS,
        *(HOP_BY_HOP - {b"content-length", b"transfer-encoding"}),
    }
)
CONNECTION_VALUES = st.lists(
    st.sampled_from([*NAMES, b"host", b"content-length", b"X-Tenant", b""]),
    max_size=6,
).map(b" , ".join)
HEADERS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(NAMES), st.sampled_from([b"1", b"x"])),
        st.tuples(st.just(b"connection"), CONNECTION_VALUES),
    ),
    max_size=12,
).map(lambda rows: ((b"host", b"h.example"), *rows))


def pass_on(headers, hops):
    """Pass the headers of a request on to an endpoint.

    :param headers: headers of the caller.
    :param hops: number of instances behind the first one.
    :returns: the headers that the endpoint gets.
    """
    headers = prepare_headers(headers, HEADER_NAMES)
    headers = replace_credentials(headers, HEADER_NAMES, ORGANISATION)
    request = Request("GET", "/", headers, b"", 0.0, ORGANISATION)
    for _ in range(hops):
        owner_request = OwnerRequest(request, 0, "", True, 1.0, 2.0)
        sent = encode_owner_request(owner_request, "i-1", 0.0)
        received = Request("GET", "/", tuple(sent), b"", 0.0)
        request = decode_owner_request(
            received, HEADER_NAMES.affinity, ORGANISATION
        ).owner_request.request
    return Upstream(HEADER_NAMES, ENDPOINT)._make_headers(request, 2.0)


class TestCallers:
    # Guards against a caller whose Connection header names what the gateway
    # adds: the organisation of its requests was removed (review/6).
    @given(HEADERS, st.integers(0, 1))
    def test_what_the_system_sets_is_there_once(self, headers, hops):
        sent = pass_on(headers, hops)
        values = {name: [v for n, v in sent if n == name] for name, _ in sent}
        assert values[HEADER_NAMES.organisation] == [ORGANISATION.encode()]
        assert values[HEADER_NAMES.deadline_ms] == [b"2000"]
        name = ENDPOINT.name.encode()
        assert values[HEADER_NAMES.expected_endpoint] == [name]
        assert values[b"host"] == [b"h.example"]
        assert HEADER_NAMES.credentials not in values
        assert not HOP_BY_HOP & values.keys()
        assert not INTERNAL_HEADERS & values.keys()

    @given(HEADERS)
    def test_id_and_object_are_passed_on_as_they_came(self, headers):
        sent = pass_on(headers, 1)
        for name in (HEADER_NAMES.request_id, HEADER_NAMES.affinity):
            came = [value for n, value in headers if n == name]
            assert [value for n, value in sent if n == name] == came

    @given(HEADERS)
    def test_other_declared_headers_are_dropped(self, headers):
        declared = b",".join(v for n, v in headers if n == b"connection")
        is_declared = b"accept" in [
            name.strip() for name in declared.split(b",")
        ]
        came = [value for name, value in headers if name == b"accept"]
        passed_on = [v for n, v in pass_on(headers, 0) if n == b"accept"]
        assert passed_on == ([] if is_declared else came)

    @pytest.mark.parametrize(
        "declared",
        [b"keep-alive, X-Tenant", b"x-tenant,x-request-id,host", b"X-TENANT"],
    )
    def test_endpoints_get_the_organisation(self, declared):
        async def scenario(fleet):
            headers = authorize(PRESS_KEY, (b"connection", declared))
            for daemon in fleet.daemons:
                response = await fleet.call(daemon, headers=headers)
                assert response.head.status == 200
            assert len(list_runs(fleet)) == 3
            for run in list_runs(fleet):
                assert run.find_all(b"x-tenant") == [b"press"]

        run_scenario(scenario, make_configuration(), instances=3)
