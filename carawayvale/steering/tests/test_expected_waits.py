"""Tests of the choice of endpoints by the waits that owners expect."""

import pytest

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.address import Address
from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.expected_waits import choose_candidates
from carawayvale.steering.expected_waits import ExpectedWait
from carawayvale.steering.expected_waits import ExpectedWaits
from carawayvale.steering.expected_waits import MAX_AGE_S
from carawayvale.steering.expected_waits import parse_wait
from carawayvale.steering.queued_request import QueuedRequest

REPORT = ExpectedWait(5, 1, 6, 0.4, 0.3, 0.9)
ENDPOINTS = [
    EndpointRecord(name, Address("10.0.0.1", 80), "grids", "z", "z-a", 5)
    for name in ("i-1", "i-2", "i-3", "i-4", "i-5", "i-6")
]


class TestText:
    def test_a_report_survives_the_header(self):
        assert parse_wait(REPORT.format()) == REPORT

    def test_later_versions_may_add_fields(self):
        assert parse_wait(REPORT.format() + b",x;y") == REPORT

    def test_an_endless_wait_can_be_sent(self):
        """The times of a rate limit have no bound."""
        report = ExpectedWait(0, 0, 1, 1e12)
        assert parse_wait(report.format()).wait_s == 600.0

    @pytest.mark.parametrize(
        "value", (None, b"", b"1,2,3,4,5", b"1,2,3,-4,5,6", b"1,2,3,4,5,6x")
    )
    def test_malformed_reports_are_ignored(self, value):
        assert parse_wait(value) is None


class TestExpectedWaits:
    def test_an_endpoint_without_a_report_may_be_in_time(self):
        assert ExpectedWaits().find_finish("i-1", 0, 0.0, 5.0) is None

    def test_a_wait_passes(self):
        waits = ExpectedWaits()
        waits.record("i-1", 0, REPORT, 10.0)
        assert waits.find_finish("i-1", 0, 10.6, 10.0) == pytest.approx(0.7)
        assert waits.find_finish("i-1", 0, 10.8, 10.0) is None
        assert waits.find_finish("i-1", 0, 10.6, 10.25) == pytest.approx(0.45)
        assert waits.find_finish("i-1", 0, 10.9, 10.5) is None

    def test_a_report_expires(self):
        waits = ExpectedWaits()
        waits.record("i-1", 0, ExpectedWait(5, 9, 6, 30.0), 10.0)
        now_s = 10.0 + MAX_AGE_S
        assert waits.find_finish("i-1", 0, now_s, now_s - 0.01) is not None
        assert waits.find_finish("i-1", 0, now_s, now_s) is None

    def test_a_wait_of_less_urgent_work_says_nothing(self):
        """More urgent requests overtake less urgent ones."""
        waits = ExpectedWaits()
        waits.record("i-1", 2, REPORT, 10.0)
        assert waits.find_finish("i-1", 1, 10.1, 10.0) is None
        assert waits.find_finish("i-1", 2, 10.1, 10.0) is not None
        assert waits.find_finish("i-1", 50, 10.1, 10.0) is not None

    def test_room_for_a_new_object_has_to_be_known(self):
        waits = ExpectedWaits()
        assert not waits.has_room("i-1", 0, 99.0, 10.0)
        waits.record("i-1", 0, REPORT, 10.0)
        assert waits.has_room("i-1", 0, 11.4, 10.0)
        assert not waits.has_room("i-1", 0, 11.2, 10.0)
        waits.forget("i-1")
        assert not waits.has_room("i-1", 0, 11.4, 10.0)


class TestCandidates:
    def choose(self, late, room):
        chosen = choose_candidates(
            ENDPOINTS, 4, late.__contains__, room.__contains__
        )
        return [endpoint.name for endpoint in chosen]

    def test_the_order_is_kept_while_everything_fits(self):
        names = ["i-1", "i-2", "i-3", "i-4"]
        assert self.choose((), ("i-5", "i-6")) == names

    def test_an_endpoint_with_room_replaces_a_late_one(self):
        names = ["i-1", "i-2", "i-3", "i-4", "i-6"]
        assert self.choose(("i-2", "i-3"), ("i-6",)) == names
        assert self.choose(("i-1",), ("i-5", "i-6")) == [*names[:4], "i-5"]

    def test_endpoints_without_a_report_are_no_replacement(self):
        assert len(self.choose(("i-1",), ())) == 4


class TestQueue:
    def test_the_queue_expects_the_wait_of_a_rank(self):
        queue = EndpointQueue(1)
        queue.service_times.warm_s = queue.service_times.new_s = 0.4
        for rank in (0, 2):
            queue.offer(QueuedRequest(rank, "k", 5.0, 9.0), 0.0)
            queue.take(0.0)
        assert queue.expect_wait(0, 0.0).wait_s == pytest.approx(0.4)
        report = queue.expect_wait(2, 0.0)
        assert report == ExpectedWait(
            1, 1, 1, pytest.approx(0.8), pytest.approx(0.4), 0.4
        )
