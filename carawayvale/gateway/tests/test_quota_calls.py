"""Tests of the quotas of organisations over several instances."""

import copy
from dataclasses import replace

import curio
import pytest

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.quota_messages import CallKind
from carawayvale.gateway.tests.fleet import GatewayFleet
from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.gateway.tests.test_organisations import authorize
from carawayvale.gateway.tests.test_organisations import DESK_KEY
from carawayvale.gateway.tests.test_organisations import list_runs
from carawayvale.gateway.tests.test_organisations import make_configuration
from carawayvale.gateway.tests.test_organisations import PRESS_KEY
from carawayvale.gateway.tests.test_organisations import put_configuration
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall

RATE_COLUMN = 3
PRESS = "press"
# A rate at which nothing is added to the bucket during a test.
SLOW_RATE = 0.01
WINDOW_S = 0.4


class QuotaFleet(GatewayFleet):
    """A fleet whose owners grant the whole rate after a short window."""

    configuration: dict

    async def add_instance(self, name, domain="zrh-a"):
        """Start an instance that has no bucket yet."""
        daemon = await super().add_instance(name, domain)
        quotas = daemon.node.quotas
        rules = replace(quotas.rules, window_s=WINDOW_S, slack=0.0, excess=2.0)
        quotas.rules = quotas.owner.rules = rules
        return daemon


def make_limits(rate, burst):
    """Make a configuration that limits the first organisation."""
    table = make_configuration()
    row = table["tenants"]["rows"][0]
    row[RATE_COLUMN : RATE_COLUMN + 2] = [rate, burst]
    return table


def run_with_limit(scenario, rate, burst, instances=3, **options):
    """Run a scenario with a limit, once the owners grant all of it."""

    async def run():
        async with open_fleet(
            instances=instances, fleet_class=QuotaFleet, **options
        ) as fleet:
            configuration = make_limits(rate, burst)
            fleet.configuration = configuration
            await put_configuration(fleet, configuration)
            await fleet.wait_until(lambda: agree(fleet))
            await curio.sleep(WINDOW_S)
            fill_bucket(fleet)
            await scenario(fleet)

    curio.run(run)


def agree(fleet):
    """Tell whether all instances see the same members for the quotas."""
    return all(
        len(d.node.quotas.ownership.members) == len(fleet.daemons)
        for d in fleet.daemons
    )


def find_owner(fleet):
    """Find the owner of the quota, and the other instances."""
    name = fleet.daemons[0].node.quotas.find_owner(PRESS)
    others = [d for d in fleet.daemons if d.settings.name != name]
    return next(d for d in fleet.daemons if d not in others), others


def fill_bucket(fleet):
    """Fill the bucket of the owner, as it is after some time."""
    owner = find_owner(fleet)[0].node.quotas.owner
    bucket = owner.find_bucket(PRESS, owner.limits[PRESS], read_boot_clock())
    bucket.level = bucket.capacity


def find_capacity(fleet):
    """Find how many requests may be sent at once."""
    bucket = find_owner(fleet)[0].node.quotas.owner.buckets[PRESS]
    return int(bucket.capacity)


def count_tokens(daemon):
    """Count the requests of an instance that got a token."""
    kinds = ("own", "granted")
    return sum(count(daemon, "quota_requests", kind) for kind in kinds)


def replace_quota_handler(daemon, handle_call):
    """Replace the handler of an instance's calls about quotas."""
    server = daemon.internal_server
    handle = server.handle

    async def handle_any(request):
        if request.find(b"caraway-quota") is None:
            return await handle(request)
        return await handle_call(request)

    server.handle = handle_any


def count(daemon, name, kind):
    """Read a counter of an instance."""
    return daemon.node.observer.metrics.counters[name, kind]


async def call_press(fleet, daemon, number=1, key=PRESS_KEY):
    """Send requests of an organisation at once; list their responses."""
    async with curio.TaskGroup() as group:
        for _ in range(number):
            await group.spawn(
                lambda: fleet.call(daemon, headers=authorize(key))
            )
    return [result for result in group.results]


async def call_slowly(fleet, daemon, number):
    """Send requests one by one; list the statuses in ascending order."""
    responses = []
    for _ in range(number):
        responses += await call_press(fleet, daemon)
    return list_statuses(responses)


def list_statuses(responses):
    """List the statuses of responses in ascending order."""
    return sorted(response.head.status for response in responses)


class TestLimit:
    def test_it_holds_over_all_instances_together(self):
        async def scenario(fleet):
            responses = []
            for daemon in fleet.daemons:
                responses += await call_press(fleet, daemon, 10)
            served = find_capacity(fleet)
            assert 1 < served < 20
            statuses = [200] * served + [429] * (30 - served)
            assert list_statuses(responses) == statuses
            assert len(list_runs(fleet)) == served

        run_with_limit(scenario, SLOW_RATE, 4)

    def test_one_instance_may_use_it_all(self):
        async def scenario(fleet):
            owner, others = find_owner(fleet)
            statuses = await call_slowly(fleet, others[0], 40)
            capacity = find_capacity(fleet)
            assert statuses.count(200) <= capacity
            # Tokens for expected requests come from the fuller half only.
            assert statuses.count(200) >= capacity / 2
            bucket = owner.node.quotas.owner.buckets[PRESS]
            assert bucket.granted == capacity

        run_with_limit(scenario, SLOW_RATE, 10)

    def test_other_organisations_are_not_limited_and_cause_no_calls(self):
        async def scenario(fleet):
            for daemon in fleet.daemons:
                responses = await call_press(fleet, daemon, 5, DESK_KEY)
                assert list_statuses(responses) == [200] * 5
                assert not count(daemon, "quota_calls", "ask")

        run_with_limit(scenario, SLOW_RATE, 1)

    def test_callers_cannot_call_the_quota_themselves(self):
        async def scenario(fleet):
            header = (b"caraway-quota", b"ask;9;9;9.0;9.0")
            response = await fleet.call(
                fleet.daemons[0], headers=authorize(DESK_KEY, header)
            )
            assert response.head.status == 200
            assert response.head.find(b"caraway-quota") is None
            (run,) = list_runs(fleet)
            assert run.find(b"caraway-quota") is None

        run_with_limit(scenario, SLOW_RATE, 1)

    def test_a_lower_limit_applies_to_tokens_in_the_bucket(self):
        async def scenario(fleet):
            lower = copy.deepcopy(fleet.configuration)
            lower["version"] += 1
            lower["tenants"]["rows"][0][RATE_COLUMN + 1] = 0
            await call_press(fleet, fleet.daemons[0])
            await put_configuration(fleet, lower)
            responses = await call_press(fleet, fleet.daemons[1], 20)
            assert list_statuses(responses).count(200) <= 1

        run_with_limit(scenario, SLOW_RATE, 50)


class TestRefusals:
    def test_the_caller_gets_a_token_after_the_stated_time(self):
        async def scenario(fleet):
            for daemon in find_owner(fleet)[1][:1]:
                statuses = []
                for _ in range(20):
                    (response,) = await call_press(fleet, daemon)
                    statuses.append(response.head.status)
                    if response.head.status == 429:
                        break
                assert statuses[-1] == 429
                retry_s = float(response.head.find(b"retry-after"))
                assert 0.0 < retry_s <= 0.5
                await curio.sleep(retry_s)
                (response,) = await call_press(fleet, daemon)
                assert response.head.status == 200

        run_with_limit(scenario, 2.0, 1)

    def test_they_are_counted_by_reason_and_not_by_organisation(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            await call_press(fleet, daemon, 30)
            capacity = find_capacity(fleet)
            assert count(daemon, "refusals", "3/quota") == 30 - capacity
            labels = " ".join(
                kind for _, kind in daemon.node.observer.metrics.counters
            )
            assert PRESS not in labels

        run_with_limit(scenario, SLOW_RATE, 2)

    def test_a_token_of_a_request_that_reached_no_endpoint_returns(self):
        async def scenario(fleet):
            for name in ("i-1", "desk-i-1"):
                fleet.put_report(name, state="draining")
            await fleet.wait_until(
                lambda: not any(d.node.usable_endpoints for d in fleet.daemons)
            )
            owner, others = find_owner(fleet)
            await call_press(fleet, owner)
            level = owner.node.quotas.owner.buckets[PRESS].level
            for daemon in (owner, *others):
                (response,) = await call_press(fleet, daemon)
                assert response.head.status == 503
            await fleet.wait_until(
                lambda: owner.node.quotas.owner.buckets[PRESS].level >= level
            )

        run_with_limit(scenario, SLOW_RATE, 5)


class TestCalls:
    def test_the_owner_needs_none(self):
        async def scenario(fleet):
            owner, _ = find_owner(fleet)
            await call_press(fleet, owner, 5)
            assert not count(owner, "quota_calls", "ask")
            assert count(owner, "quota_requests", "own") == 5

        run_with_limit(scenario, SLOW_RATE, 50)

    def test_requests_that_wait_at_once_share_them(self):
        async def scenario(fleet):
            daemon = find_owner(fleet)[1][0]
            await call_press(fleet, daemon, 30)
            assert count_tokens(daemon) == 30
            assert count(daemon, "quota_calls", "ask") <= 10

        run_with_limit(scenario, 100.0, 200)

    def test_refused_requests_need_none_until_there_are_tokens(self):
        async def scenario(fleet):
            daemon = find_owner(fleet)[1][0]
            await call_press(fleet, daemon, 30)
            calls = count(daemon, "quota_calls", "ask")
            responses = await call_press(fleet, daemon, 30)
            assert list_statuses(responses) == [429] * 30
            assert count(daemon, "quota_calls", "ask") == calls

        run_with_limit(scenario, SLOW_RATE, 1)

    def test_a_malformed_call_is_rejected(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            pool = ConnectionPool(daemon.settings.internal)
            for value in (b"", b"ask", b"ask;x;1;1;1", b"adopt;x", b"other"):
                headers = [(b"host", b"x"), (b"caraway-quota", value)]
                call = OutgoingCall("POST", "/", headers, b"\xff" + b"press")
                response = await pool.exchange(call, 5.0, 1 << 10)
                assert response.head.status == 400
            await pool.close()

        run_with_limit(scenario, SLOW_RATE, 1, instances=1)

    def test_an_instance_of_an_earlier_version_is_passed_over(self):
        """It answers status 400 to a call that it does not know."""

        async def scenario(fleet):
            owner, others = find_owner(fleet)

            async def reject(request):
                return Response(400)

            replace_quota_handler(owner, reject)
            statuses = []
            for _ in range(30):
                (response,) = await call_press(fleet, others[0])
                statuses.append(response.head.status)
                await curio.sleep(0.05)
            assert set(statuses) == {200, 429}

        run_with_limit(scenario, 50.0, 5)


class TestChangeOfOwner:
    async def check_handover(self, fleet, level):
        """Check that one instance continues the bucket at the whole rate."""
        await fleet.wait_until(
            lambda: any(
                count(d, "quota_calls", "adopted") for d in fleet.daemons
            )
        )
        (new,) = [
            d for d in fleet.daemons if count(d, "quota_calls", "adopted")
        ]
        bucket = new.node.quotas.owner.buckets[PRESS]
        assert bucket.level == pytest.approx(level, abs=0.1)
        assert bucket.full_rate_s <= read_boot_clock()
        return new

    def test_a_leaving_owner_hands_its_bucket_over(self):
        async def scenario(fleet):
            owner, others = find_owner(fleet)
            (response,) = await call_press(fleet, others[0])
            assert response.head.status == 200
            level = owner.node.quotas.owner.buckets[PRESS].level
            await owner.stop()
            new = await self.check_handover(fleet, level)
            assert new in others
            for daemon in others:
                statuses = await call_slowly(fleet, daemon, 3)
                assert statuses == [200] * 3

        run_with_limit(scenario, SLOW_RATE, 20)

    def test_an_owner_hands_its_bucket_over_to_a_new_member(self):
        async def scenario(fleet):
            owner, _ = find_owner(fleet)
            await call_press(fleet, owner)
            level = owner.node.quotas.owner.buckets[PRESS].level
            await curio.sleep(1.6)
            while find_owner(fleet)[0] is owner:
                await fleet.add_instance(f"e{len(fleet.daemons) + 1}")
                await fleet.wait_ready()
                await fleet.wait_until(lambda: agree(fleet))
            new = await self.check_handover(fleet, level)
            assert new is find_owner(fleet)[0]
            for daemon in fleet.daemons:
                statuses = await call_slowly(fleet, daemon, 3)
                assert statuses == [200] * 3

        run_with_limit(scenario, SLOW_RATE, 20, instances=2)

    @pytest.mark.parametrize("kind", ["silent", "broken"])
    def test_the_next_instance_grants_while_the_owner_is_unreachable(
        self, kind
    ):
        async def scenario(fleet):
            owner, others = find_owner(fleet)

            async def fail(request):
                if kind == "broken":
                    raise OSError("broken")
                await curio.sleep(60)

            replace_quota_handler(owner, fail)
            statuses = []
            started_s = read_boot_clock()
            while read_boot_clock() - started_s < 2.0:
                (response,) = await call_press(fleet, others[0])
                statuses.append(response.head.status)
                await curio.sleep(0.05)
            assert set(statuses) <= {200, 429}
            assert statuses.count(200) >= 2

        run_with_limit(scenario, 200.0, 20)

    def test_without_any_answer_the_request_is_refused_as_unknown(self):
        async def scenario(fleet):
            _, others = find_owner(fleet)
            quotas = others[0].node.quotas

            async def fail(*arguments):
                return None

            quotas._call = fail
            quotas._list_owners = lambda name: iter(["x", "y"])
            (response,) = await call_press(fleet, others[0])
            assert response.head.status == 503
            assert float(response.head.find(b"retry-after")) > 0
            assert not list_runs(fleet)

        run_with_limit(scenario, 50.0, 5)

    def test_a_caller_with_an_old_member_list_is_served_by_the_owner(self):
        """Otherwise it would get a tenth of the rate for a while."""

        async def scenario(fleet):
            owner, others = find_owner(fleet)
            asked, asking = others
            name = asked.settings.name
            quotas = asking.node.quotas
            quotas.ownership.entries[PRESS] = replace(
                quotas.ownership.find(PRESS), name=name
            )
            responses = await call_press(fleet, asking, 5)
            assert list_statuses(responses) == [200] * 5
            kind = CallKind.FORWARDED.value
            assert count(asked, "quota_calls", kind)
            assert PRESS in owner.node.quotas.owner.buckets

        run_with_limit(scenario, SLOW_RATE, 20)
