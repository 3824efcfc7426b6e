"""Tests of requests of organisations that identify themselves by keys."""

import copy

import curio
import pytest

from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.platform.tests.examples import CONFIGURATION

COLUMNS = [
    "name",
    "api_keys",
    "priority",
    "rate_per_s",
    "burst",
    "allowed_regions",
]
PRESS_KEY = b"k-press"
DESK_KEY = b"k-desk"
FETCH_ROUTE = 1


def make_configuration(press_regions=(), desk_regions=(), **fields):
    """Make a configuration with two organisations.

    :param press_regions: regions that may serve the first one.
    :param desk_regions: regions that may serve the second one.
    :param fields: fields of the route of the requests.
    """
    table = copy.deepcopy(CONFIGURATION)
    table["version"] += 1
    routes = table["routes"]
    for name, value in fields.items():
        if name not in routes["columns"]:
            routes["columns"].append(name)
            for row in routes["rows"]:
                row.append(None)
        position = routes["columns"].index(name)
        routes["rows"][FETCH_ROUTE][position] = value
    table["tenants"] = {
        "columns": COLUMNS,
        "rows": [
            ["press", [PRESS_KEY.decode()], 3, 0, 0, list(press_regions)],
            ["desk", [DESK_KEY.decode()], None, 0, 0, list(desk_regions)],
        ],
    }
    return table


def run_scenario(scenario, configuration, **options):
    """Run a scenario with instances that know a configuration."""

    async def run():
        async with open_fleet(**options) as fleet:
            await put_configuration(fleet, configuration)
            await scenario(fleet)

    curio.run(run)


async def put_configuration(fleet, configuration):
    """Write a configuration and wait until all instances have it."""
    fleet.store.put("op/config", configuration)
    await fleet.wait_until(
        lambda: all(
            d.node.catalogue.configuration.version == configuration["version"]
            for d in fleet.daemons
        )
    )


def authorize(key, *others):
    """Make the headers of a caller that states a key."""
    return [(b"authorization", b"Token " + key), *others]


def list_runs(fleet):
    """List the requests that all endpoints have run."""
    return [run for e in fleet.endpoints.values() for run in e.runs]


class TestIdentification:
    def test_endpoints_get_the_organisation_and_no_key(self):
        async def scenario(fleet):
            forged = (b"x-tenant", b"desk")
            for daemon in fleet.daemons:
                response = await fleet.call(
                    daemon, headers=authorize(PRESS_KEY, forged)
                )
                assert response.head.status == 200
            assert len(list_runs(fleet)) == 3
            for run in list_runs(fleet):
                assert run.find_all(b"x-tenant") == [b"press"]
                assert PRESS_KEY not in b"".join(v for _, v in run.headers)

        # With three instances and one endpoint, two requests are forwarded.
        run_scenario(scenario, make_configuration(), instances=3)

    def test_a_retry_carries_the_organisation_and_no_key(self):
        async def scenario(fleet):
            for endpoint in fleet.endpoints.values():
                endpoint.wrong_ids = 1
            await fleet.call(fleet.daemons[0], headers=authorize(DESK_KEY))
            runs = list_runs(fleet)
            assert len(runs) == 2
            for run in runs:
                assert run.find_all(b"x-tenant") == [b"desk"]
                assert run.find(b"authorization") is None

        run_scenario(
            scenario, make_configuration(), endpoints=("i-1", "i-2", "i-3")
        )

    @pytest.mark.parametrize(
        "headers",
        [
            [],
            [(b"x-tenant", b"press")],
            authorize(b"nobody"),
            [(b"authorization", b"Basic " + PRESS_KEY)],
            authorize(PRESS_KEY, *authorize(DESK_KEY)),
        ],
    )
    def test_request_without_a_valid_key_gets_401_and_does_not_run(
        self, headers
    ):
        async def scenario(fleet):
            response = await fleet.call(fleet.daemons[0], headers=headers)
            assert response.head.status == 401
            assert not list_runs(fleet)

        run_scenario(scenario, make_configuration())

    def test_an_anonymous_route_needs_no_key_and_passes_none_on(self):
        async def scenario(fleet):
            headers = authorize(PRESS_KEY, (b"x-tenant", b"press"))
            for sent in ([], headers, authorize(b"nobody")):
                response = await fleet.call(fleet.daemons[0], headers=sent)
                assert response.head.status == 200
            for run in list_runs(fleet):
                assert run.find(b"x-tenant") is None
                assert run.find(b"authorization") is None

        run_scenario(scenario, make_configuration(anonymous=True))

    def test_a_removed_key_counts_no_more(self):
        async def scenario(fleet):
            changed = make_configuration()
            changed["version"] += 1
            changed["tenants"]["rows"].pop()
            await put_configuration(fleet, changed)
            headers = authorize(DESK_KEY)
            response = await fleet.call(fleet.daemons[0], headers=headers)
            assert response.head.status == 401

        run_scenario(scenario, make_configuration())

    def test_without_organisations_headers_pass_unchanged(self):
        async def scenario(fleet):
            headers = authorize(b"own", (b"x-tenant", b"any"))
            await fleet.call(fleet.daemons[0], headers=headers)
            (run,) = list_runs(fleet)
            assert run.find(b"authorization") == b"Token own"
            assert run.find(b"x-tenant") == b"any"

        run_scenario(scenario, CONFIGURATION)


class TestOrganisationRank:
    def test_it_replaces_the_rank_of_the_route(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            await fleet.call(daemon, headers=authorize(PRESS_KEY))
            await fleet.call(daemon, headers=authorize(DESK_KEY))
            counters = daemon.node.observer.metrics.counters
            assert counters["requests", "3/answered"] == 1
            assert counters["requests", "0/answered"] == 1

        run_scenario(scenario, make_configuration())


class TestOrganisationRegions:
    DOMAINS = ("zrh-a", "gva-a")

    def run_in_regions(self, scenario, **options):
        """Run a scenario with an instance and an endpoint in each region."""

        async def place(fleet):
            for name in ("i-1", "desk-i-1"):
                fleet.endpoints[name].entry["info"]["zone"] = "gva-a"
                fleet.put_report(name)
            await fleet.wait_until(
                lambda: all(
                    d.node.catalogue.endpoints["i-1"].region == "geneva"
                    for d in fleet.daemons
                )
            )
            await scenario(fleet)

        run_scenario(
            place,
            make_configuration(**options),
            instances=2,
            domains=self.DOMAINS,
        )

    def test_endpoints_of_other_regions_are_not_used(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            response = await fleet.call(daemon, headers=authorize(PRESS_KEY))
            assert response.head.status == 503
            response = await fleet.call(daemon, headers=authorize(DESK_KEY))
            assert response.head.status == 200

        self.run_in_regions(scenario, press_regions=("zurich",))

    def test_regions_of_route_and_organisation_both_bind(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            response = await fleet.call(daemon, headers=authorize(PRESS_KEY))
            assert response.head.status == 503
            assert not list_runs(fleet)
            response = await fleet.call(daemon, headers=authorize(DESK_KEY))
            assert response.head.status == 200

        self.run_in_regions(
            scenario,
            press_regions=("zurich",),
            desk_regions=("geneva",),
            allowed_regions=["geneva"],
        )


class TestFingerprints:
    def test_entry_and_owner_agree_on_them(self):
        """The owner never sees the key that the entry instance got."""

        async def scenario(fleet):
            seen = set()
            for daemon in fleet.daemons:
                reports = daemon.node.crash_reports
                find_wait = reports.find_wait

                def record(request, find_wait=find_wait):
                    seen.add(request.fingerprint)
                    return find_wait(request)

                reports.find_wait = record
            for daemon in fleet.daemons:
                await fleet.call(daemon, headers=authorize(PRESS_KEY))
            assert len(seen) == 1
            await fleet.call(fleet.daemons[0], headers=authorize(DESK_KEY))
            assert len(seen) == 2

        run_scenario(scenario, make_configuration(), instances=2)
