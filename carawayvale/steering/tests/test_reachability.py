"""Tests of the decision whether an instance is partitioned."""

import pytest

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import EndpointState
from carawayvale.contracts.address import Address
from carawayvale.steering.reachability import choose_probes
from carawayvale.steering.reachability import MAX_ALONE_S
from carawayvale.steering.reachability import MAX_PROBES
from carawayvale.steering.reachability import MIN_ALONE_S
from carawayvale.steering.reachability import PARTITIONED_INTERVAL_S
from carawayvale.steering.reachability import PROBE_TIMEOUT_S
from carawayvale.steering.reachability import ProbeRound
from carawayvale.steering.reachability import Reachability
from carawayvale.steering.reachability import ReachabilityChange
from carawayvale.steering.reachability import ROUND_INTERVAL_S

NOW_S = 100.0


def make_round(reached, took_s=PROBE_TIMEOUT_S):
    """Make the result of a round of four probes that ends now."""
    names = ("i-1", "i-2", "i-3", "i-4")
    return ProbeRound(names, reached, NOW_S - took_s, NOW_S)


def make_partitioned():
    """Make the state of an instance that is partitioned."""
    reachability = Reachability()
    reachability.record_connect("i-1", False, NOW_S)
    change = reachability.record_round(make_round(0), True, NOW_S)
    assert change is ReachabilityChange.PARTITIONED
    return reachability


def make_endpoint(name, service="grids", domain="zrh-a", **fields):
    """Make an endpoint of a failure domain."""
    address = Address("127.0.0.1", 1)
    return EndpointRecord(
        name, address, service, "zurich", domain, 5, **fields
    )


class TestEvidence:
    def test_a_failed_connect_leads_to_a_round(self):
        reachability = Reachability()
        assert not reachability.needs_round(NOW_S)
        reachability.record_connect("i-1", False, NOW_S)
        assert reachability.needs_round(NOW_S)

    def test_a_later_success_ends_the_doubt(self):
        reachability = Reachability()
        reachability.record_connect("i-1", False, NOW_S)
        reachability.record_connect("i-2", True, NOW_S)
        assert not reachability.needs_round(NOW_S)

    def test_rounds_that_reach_an_endpoint_are_rare(self):
        reachability = Reachability()
        reachability.record_connect("i-1", False, NOW_S)
        assert reachability.record_round(make_round(1), True, NOW_S) is None
        reachability.record_connect("i-1", False, NOW_S)
        assert not reachability.needs_round(NOW_S)
        assert reachability.needs_round(NOW_S + ROUND_INTERVAL_S)

    def test_one_reached_endpoint_is_enough(self):
        reachability = Reachability()
        reachability.record_connect("i-1", False, NOW_S)
        reachability.record_round(make_round(1), True, NOW_S)
        assert not reachability.is_partitioned


class TestPartition:
    def test_no_endpoint_reached_while_others_serve(self):
        assert make_partitioned().is_partitioned

    def test_the_last_serving_instance_keeps_its_endpoints(self):
        reachability = Reachability()
        reachability.record_connect("i-1", False, NOW_S)
        assert reachability.record_round(make_round(0), False, NOW_S) is None
        assert not reachability.is_partitioned

    @pytest.mark.parametrize(
        "probe_round",
        [
            make_round(0, took_s=2 * PROBE_TIMEOUT_S),
            ProbeRound((), 0, NOW_S, NOW_S),
        ],
    )
    def test_a_delayed_or_empty_round_proves_nothing(self, probe_round):
        reachability = Reachability()
        reachability.record_connect("i-1", False, NOW_S)
        assert reachability.record_round(probe_round, True, NOW_S) is None
        assert not reachability.is_partitioned
        assert not reachability.needs_round(NOW_S)
        assert reachability.needs_round(NOW_S + PARTITIONED_INTERVAL_S)

    def test_a_delayed_round_that_reaches_an_endpoint_counts(self):
        reachability = make_partitioned()
        probe_round = make_round(1, took_s=2 * PROBE_TIMEOUT_S)
        change = reachability.record_round(probe_round, True, NOW_S)
        assert change is ReachabilityChange.REACHED


class TestRecovery:
    def test_probes_continue_while_partitioned(self):
        reachability = make_partitioned()
        later_s = NOW_S + PARTITIONED_INTERVAL_S
        assert not reachability.needs_round(NOW_S)
        assert reachability.needs_round(later_s)
        assert reachability.record_round(make_round(0), True, later_s) is None
        assert reachability.is_partitioned

    def test_a_reached_endpoint_ends_the_partition(self):
        reachability = make_partitioned()
        change = reachability.record_round(make_round(1), True, NOW_S)
        assert change is ReachabilityChange.REACHED
        assert not reachability.is_partitioned
        assert not reachability.needs_round(NOW_S + ROUND_INTERVAL_S)

    def test_without_other_instances_it_serves_again_for_a_while(self):
        reachability = make_partitioned()
        change = reachability.record_round(make_round(0), False, NOW_S)
        assert change is ReachabilityChange.ALONE
        assert not reachability.is_partitioned
        reachability.record_connect("i-1", False, NOW_S)
        assert not reachability.needs_round(NOW_S + MIN_ALONE_S - 0.1)
        assert reachability.needs_round(NOW_S + MAX_ALONE_S)


class TestChoiceOfProbes:
    def test_failure_domains_and_services_differ(self):
        endpoints = [
            make_endpoint(f"{domain}-{service}-{number}", service, domain)
            for domain in ("zrh-a", "gva-a")
            for service in ("grids", "desk")
            for number in range(5)
        ]
        chosen = choose_probes(endpoints, (), "zrh-a")
        assert len({(e.domain, e.service) for e in chosen}) == MAX_PROBES

    def test_the_own_failure_domain_is_always_probed(self):
        """It may be partitioned from all other failure domains."""
        domains = ("zrh-a", "zrh-b", "gva-a", "gva-b", "lug-a", "lug-b")
        endpoints = [
            make_endpoint(f"{domain}-{number}", domain=domain)
            for domain in domains
            for number in range(3)
        ]
        for domain in domains:
            chosen = choose_probes(endpoints, (), domain)
            assert len(chosen) == MAX_PROBES
            assert [e.domain for e in chosen].count(domain) == 2

    def test_failed_and_draining_endpoints_come_last(self):
        draining = make_endpoint("i-5", state=EndpointState.DRAINING)
        sound = [make_endpoint(f"i-{n}") for n in range(MAX_PROBES)]
        failed = make_endpoint("i-9", domain="gva-a")
        chosen = choose_probes([failed, draining, *sound], {"i-9"}, "zrh-a")
        assert {e.name for e in chosen} == {e.name for e in sound}

    def test_failed_endpoints_are_chosen_if_there_are_no_others(self):
        failed = make_endpoint("i-9")
        assert choose_probes([failed], {"i-9"}, "zrh-a") == [failed]
