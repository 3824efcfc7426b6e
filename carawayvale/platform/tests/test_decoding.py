"""Tests of the decoding of the platform's formats."""

import copy
import math

import curio
import pytest

from carawayvale.catalogue.records import EndpointState
from carawayvale.contracts.address import Address
from carawayvale.contracts.findings import InvalidInput
from carawayvale.gateway.http_messages import Response
from carawayvale.platform.configuration import decode_configuration
from carawayvale.platform.endpoints import decode_endpoint
from carawayvale.platform.lookups import decode_lookup
from carawayvale.platform.lookups import encode_addresses
from carawayvale.platform.settings import decode_settings
from carawayvale.platform.settings import HEAD_LINES_VARIABLE
from carawayvale.platform.settings import load_gateway_settings
from carawayvale.platform.settings import SHARE_VARIABLE
from carawayvale.platform.source import encode_instance
from carawayvale.platform.source import PlatformSource
from carawayvale.platform.store_client import Lease
from carawayvale.platform.store_client import StoreClient
from carawayvale.platform.store_responses import decode_item
from carawayvale.platform.store_responses import StoreFailed
from carawayvale.platform.tests.examples import CONFIGURATION
from carawayvale.platform.tests.examples import ENDPOINT
from carawayvale.platform.tests.examples import make_item
from carawayvale.platform.tests.examples import REGIONS
from carawayvale.platform.tests.examples import SETTINGS
from carawayvale.platform.tests.fakes import open_port
from carawayvale.platform.values import parse_duration


class TestDurations:
    @pytest.mark.parametrize(
        "text,seconds", [("0ms", 0.0), ("1500ms", 1.5), ("2.5s", 2.5)]
    )
    def test_accepts_milliseconds_and_seconds(self, text, seconds):
        assert parse_duration(text) == seconds

    @pytest.mark.parametrize("value", ["", "5", "5m", "-1s", 5, None, "1 s"])
    def test_raises_for_anything_else(self, value):
        with pytest.raises(ValueError):
            parse_duration(value)


class TestEndpointRecords:
    def test_decodes_every_field(self):
        endpoint = decode_endpoint(make_item("servers/i-1", ENDPOINT), REGIONS)
        assert endpoint.name == "i-1"
        assert endpoint.address == Address("10.128.0.9", 8080)
        assert (endpoint.domain, endpoint.region) == ("zrh-a", "zurich")
        assert endpoint.state is EndpointState.READY
        assert endpoint.cold_s == 1.5
        assert (endpoint.started_ms, endpoint.sequence) == (1700000000000, 4)

    @pytest.mark.parametrize(
        "path,value",
        [
            (("address",), None),
            (("address",), "10.0.0.1"),
            (("address",), "10.0.0.1:99999"),
            (("address",), "somewhere:80"),
            (("born",), "yesterday"),
            (("born",), 1.5),
            (("info", "zone"), "elsewhere"),
            (("info", "slots"), 0),
            (("info", "slots"), "5"),
            (("info", "slots"), True),
            (("info", "service"), 7),
            (("status", "state"), "leaving"),
            (("status", "seq"), None),
            (("status", "cold_left"), 3),
            (("status",), []),
        ],
    )
    def test_raises_for_a_missing_or_malformed_field(self, path, value):
        table = copy.deepcopy(ENDPOINT)
        section = table
        for name in path[:-1]:
            section = section[name]
        section[path[-1]] = value
        with pytest.raises(ValueError):
            decode_endpoint(make_item("servers/i-1", table), REGIONS)

    @pytest.mark.parametrize("value", [b"", b"{", b"[]", b"\xff", b"null"])
    def test_raises_for_bytes_that_are_not_a_record(self, value):
        with pytest.raises(ValueError):
            decode_endpoint(make_item("servers/i-1", value), REGIONS)


class TestConfigurations:
    def test_decodes_routes_services_and_limits(self):
        configuration = decode_configuration(
            make_item("op/config", CONFIGURATION)
        )
        submit, fetch = configuration.routes
        assert (submit.host, submit.prefix) == ("jepu9.example", "/puka/")
        assert not submit.idempotent and fetch.idempotent
        assert (
            submit.allowed_regions == {"zurich"} and not fetch.allowed_regions
        )
        assert [p.service for p in submit.weighted_services] == ["desk"]
        assert [p.weight for p in fetch.weighted_services] == [90, 10]
        assert fetch.timeout_s == 1.2 and fetch.objective_s == 0.2
        assert configuration.services["grids"].cold_rate == 12.0
        assert configuration.limits.idle_timeout_s == 15.0

    def test_reports_all_findings_with_their_sections(self):
        table = copy.deepcopy(CONFIGURATION)
        table["routes"]["rows"][0][4] = "soon"
        table["routes"]["rows"][1][2] = "no-slash"
        table["services"]["rows"][1][3] = 3
        with pytest.raises(InvalidInput) as caught:
            decode_configuration(make_item("op/config", table))
        sections = {f.place.section for f in caught.value.findings}
        assert {"routes:submit", "routes:fetch", "services:desk"} <= sections

    def test_raises_for_a_route_to_an_unknown_service(self):
        table = copy.deepcopy(CONFIGURATION)
        table["routes"]["rows"][0][7] = "nowhere"
        with pytest.raises(InvalidInput, match="nowhere"):
            decode_configuration(make_item("op/config", table))

    def test_a_download_is_idempotent(self):
        table = copy.deepcopy(CONFIGURATION)
        table["routes"]["rows"][0][3] = "download"
        configuration = decode_configuration(make_item("op/config", table))
        assert configuration.routes[0].idempotent

    def test_a_route_of_an_unknown_kind_is_not_idempotent(self):
        table = copy.deepcopy(CONFIGURATION)
        table["routes"]["rows"][1][3] = "sometimes"
        configuration = decode_configuration(make_item("op/config", table))
        assert not configuration.routes[1].idempotent

    @pytest.mark.parametrize("column", range(12))
    @pytest.mark.parametrize("value", [7.5, [1], {"a": 1}, True])
    def test_a_field_of_a_wrong_type_is_a_finding(self, column, value):
        table = copy.deepcopy(CONFIGURATION)
        table["routes"]["rows"][0][column] = value
        if column == 9 and value is True:
            decode_configuration(make_item("op/config", table))
            return
        with pytest.raises(InvalidInput, match="routes:"):
            decode_configuration(make_item("op/config", table))

    @pytest.mark.parametrize("value", [b"", b"[1]", b'{"version": 1}'])
    def test_raises_for_bytes_that_are_not_a_configuration(self, value):
        with pytest.raises(InvalidInput):
            decode_configuration(make_item("op/config", value))


def decode_organisations(*rows):
    table = copy.deepcopy(CONFIGURATION)
    table["tenants"] = {
        "columns": [
            "name",
            "api_keys",
            "priority",
            "rate_per_s",
            "burst",
            "allowed_regions",
        ],
        "rows": list(rows),
    }
    return decode_configuration(make_item("op/config", table))


class TestOrganisations:
    def test_decodes_every_field(self):
        configuration = decode_organisations(
            ["press", ["k1", "k2"], 0, 40, 60, ["zurich"]],
            ["desk", ["k3"], None, None, None, None],
        )
        press = configuration.organisations["press"]
        assert press.keys == ("k1", "k2")
        assert (press.rank, press.rate_per_s, press.burst) == (0, 40.0, 60.0)
        assert press.allowed_regions == {"zurich"}
        desk = configuration.organisations["desk"]
        assert desk.rank is None
        assert (desk.rate_per_s, desk.allowed_regions) == (0.0, frozenset())

    def test_a_configuration_without_them_needs_no_keys(self):
        item = make_item("op/config", CONFIGURATION)
        assert decode_configuration(item).organisations == {}

    @pytest.mark.parametrize(
        "keys", ["secret", ["secret", 5], [""], ["sec ret"], ["s\xe9cret"]]
    )
    def test_a_finding_on_keys_does_not_show_them(self, keys):
        with pytest.raises(InvalidInput) as raised:
            decode_organisations(["press", keys, 0, 0, 0, []])
        assert "cret" not in str(raised.value.findings)

    # Guards against a key in a finding, which is logged.
    @pytest.mark.parametrize("column", range(6))
    def test_a_finding_shows_no_key_in_another_column(self, column):
        row = ["press", ["k1"], 0, 0, 0, []]
        row[column] = {"secret": "secret"}
        with pytest.raises(InvalidInput) as raised:
            decode_organisations(row)
        assert "secret" not in str(raised.value.findings)
        assert "tenants:0" in str(raised.value.findings)

    def test_a_name_that_is_used_twice_is_a_finding(self):
        with pytest.raises(InvalidInput, match="used twice"):
            decode_organisations(
                ["press", ["k1"], 0, 0, 0, []], ["press", ["k2"], 0, 0, 0, []]
            )

    def test_a_key_of_two_organisations_is_a_finding_that_hides_it(self):
        with pytest.raises(InvalidInput) as raised:
            decode_organisations(
                ["press", ["secret"], 0, 0, 0, []],
                ["desk", ["secret"], 0, 0, 0, []],
            )
        assert "secret" not in str(raised.value.findings)

    def test_a_negative_rate_is_a_finding(self):
        with pytest.raises(InvalidInput):
            decode_organisations(["press", ["k"], 0, -1, 0, []])


class TestSettings:
    def test_revocation_is_bounded_only_if_it_is_strict(self):
        for strict, expected in (("true", 5.0), ("false", math.inf)):
            table = copy.deepcopy(SETTINGS)
            table["bounds"] = [f"strict_revoke={strict}", "revoke=5000ms"]
            bounds = decode_settings(table, "settings.json").bounds
            assert bounds.revoke_s == expected

    def test_decodes_every_field(self):
        settings = decode_settings(SETTINGS, "settings.json")
        assert settings.name == "front-zrh-a-1"
        assert settings.domain == "zrh-a"
        assert settings.internal == Address("10.1.0.15", 7620)
        assert settings.store == Address("10.200.1.7", 8642)
        assert settings.bounds.drain_s == 2.5
        assert settings.bounds.retry_extra == 120
        assert len(settings.seeds) == 2

    # Guards against limits with which a process could serve nothing.
    @pytest.mark.parametrize(
        ("name", "value", "key"),
        [
            ("memory_mb", -1, "memory_mb"),
            ("memory_mb", 5, "memory_mb"),
            ("memory_mb", math.nan, "memory_mb"),
            ("memory_mb", "152", "memory_mb"),
            ("max_fds", 0, "max_files"),
            ("max_fds", True, "max_files"),
        ],
    )
    def test_an_absurd_limit_is_a_finding(self, name, value, key):
        limits = {**SETTINGS["limits"], name: value}
        with pytest.raises(InvalidInput) as caught:
            decode_settings({**SETTINGS, "limits": limits}, "settings.json")
        assert {f.place.key for f in caught.value.findings} == {key}

    @pytest.mark.parametrize(
        ("variable", "valid", "invalid", "key"),
        [
            (SHARE_VARIABLE, "0.5", ("0", "1.5", "x"), "message_share"),
            (HEAD_LINES_VARIABLE, "64", ("1", "1e9"), "max_head_lines"),
        ],
    )
    def test_variables_of_limits(
        self, monkeypatch, variable, valid, invalid, key
    ):
        monkeypatch.setenv(variable, valid)
        settings = decode_settings(SETTINGS, "settings.json")
        assert getattr(settings, key) == float(valid)
        for text in invalid:
            monkeypatch.setenv(variable, text)
            with pytest.raises(InvalidInput) as caught:
                decode_settings(SETTINGS, "settings.json")
            assert {f.place.key for f in caught.value.findings} == {key}

    def test_accepts_bounds_as_one_text(self):
        table = {**SETTINGS, "bounds": "drain=1s, grace=9s"}
        bounds = decode_settings(table, "settings.json").bounds
        assert (bounds.drain_s, bounds.grace_s) == (1.0, 9.0)

    def test_reports_all_findings(self):
        table = {**SETTINGS, "zone": None, "listen": {}, "internal_ports": []}
        with pytest.raises(InvalidInput) as caught:
            decode_settings(table, "settings.json")
        keys = {f.place.key for f in caught.value.findings}
        assert {"domain", "callers", "lookups", "internal"} <= keys

    def test_the_finding_names_a_file_that_cannot_be_decoded(self, tmp_path):
        path = tmp_path / "settings.json"
        path.write_text("{")
        with pytest.raises(InvalidInput, match="settings.json"):
            load_gateway_settings(str(path))


class TestItems:
    def test_invalid_base64_becomes_an_empty_value(self):
        item = decode_item({"key": "servers/i-1", "rev": 3, "value": "%%"})
        assert item.value == b""

    def test_a_deletion_has_no_value(self):
        row = {"key": "a", "rev": 4, "tombstone": True}
        assert decode_item(row).value is None

    def test_raises_for_an_item_without_a_key(self):
        with pytest.raises(StoreFailed):
            decode_item({"rev": 3, "value": ""})

    def test_source_selects_the_decoder_by_the_key(self):
        source = PlatformSource(REGIONS)
        assert source.decode(make_item("elsewhere", b"")) is None
        update = source.decode(make_item("op/evacuate/zrh-a", {}))
        assert (update.domain, update.wanted) == ("zrh-a", True)
        peers = Address("10.0.0.1", 5)
        item = make_item("carawayvale/instances/e1", encode_instance(peers))
        assert source.decode(item).peers == peers


class TestStoreResponses:
    """A malformed response raises StoreFailed and no other exception."""

    @pytest.mark.parametrize(
        "body",
        [b"", b"[]", b"{}", b'{"items": 1, "store_revision": 1}', b"\xff"],
    )
    def test_malformed_responses_raise_store_failed(self, body):
        async def handle(request):
            return Response(200, body=body)

        async def run():
            listener = open_port(handle)
            task = await curio.spawn(listener.run, daemon=True)
            store = StoreClient(listener.address, 5.0)
            for call in (
                store.read_all("a"),
                store.watch("a", 1, 0.1),
                store.open_lease(5.0),
                store.renew_lease(Lease(1, 0)),
            ):
                with pytest.raises(StoreFailed):
                    await call
            await task.cancel()

        curio.run(run)


class TestLookups:
    def test_decodes_the_query_and_encodes_the_response(self):
        lookup = decode_lookup("name=Hulo.example&region=zurich&zone=zrh-a")
        assert lookup.host == "hulo.example"
        assert (lookup.region, lookup.domain) == ("zurich", "zrh-a")
        body = encode_addresses([Address("10.0.0.1", 5)], 2.0)
        assert body == b'{"addresses": ["10.0.0.1:5"], "ttl": "2s"}'
