"""Tests of the quarantine of requests that crash endpoints."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from carawayvale.steering.quarantine import EndpointCrash
from carawayvale.steering.quarantine import INITIAL_QUARANTINE_S
from carawayvale.steering.quarantine import MAX_CRASHES
from carawayvale.steering.quarantine import MAX_QUARANTINE_S
from carawayvale.steering.quarantine import MAX_SUSPECTS
from carawayvale.steering.quarantine import MEMORY_S
from carawayvale.steering.quarantine import Quarantine

REQUEST = b"r" * 16
OTHER = b"o" * 16


def make_crash(number):
    return EndpointCrash(f"i-{number}", 1)


def record_crashes(quarantine, number, now_s=0.0, fingerprint=REQUEST):
    for index in range(number):
        quarantine.record_crash(fingerprint, make_crash(index), now_s)


class TestQuarantine:
    def test_three_crashes_in_a_row_lead_to_quarantine(self):
        quarantine = Quarantine("e1")
        record_crashes(quarantine, MAX_CRASHES - 1)
        assert quarantine.find_wait(REQUEST, 0.0) == 0.0
        record_crashes(quarantine, MAX_CRASHES)
        assert quarantine.find_wait(REQUEST, 0.0) >= INITIAL_QUARANTINE_S
        assert quarantine.find_wait(OTHER, 0.0) == 0.0

    def test_one_crash_reported_twice_counts_once(self):
        quarantine = Quarantine("e1")
        for _ in range(MAX_CRASHES):
            quarantine.record_crash(REQUEST, make_crash(1), 0.0)
        assert quarantine.find_wait(REQUEST, 0.0) == 0.0

    def test_restarted_endpoint_may_crash_again(self):
        quarantine = Quarantine("e1")
        for started_ms in range(MAX_CRASHES):
            crash = EndpointCrash("i-1", started_ms)
            assert quarantine.record_crash(REQUEST, crash, 0.0)
        assert quarantine.find_wait(REQUEST, 0.0) > 0.0

    def test_an_answer_clears_a_request(self):
        quarantine = Quarantine("e1")
        record_crashes(quarantine, MAX_CRASHES - 1)
        assert quarantine.record_answer(REQUEST)
        assert not quarantine.record_answer(REQUEST)
        for number in range(10, 10 + MAX_CRASHES - 1):
            quarantine.record_crash(REQUEST, make_crash(number), 0.0)
        assert quarantine.find_wait(REQUEST, 0.0) == 0.0
        quarantine.record_crash(REQUEST, make_crash(20), 0.0)
        assert quarantine.find_wait(REQUEST, 0.0) > 0.0

    def test_late_report_of_a_cleared_crash_is_not_new(self):
        quarantine = Quarantine("e1")
        record_crashes(quarantine, 1)
        quarantine.record_answer(REQUEST)
        assert not quarantine.record_crash(REQUEST, make_crash(0), 0.0)
        assert quarantine.count_suspects() == 0

    def test_each_crash_after_a_quarantine_doubles_it(self):
        quarantine = Quarantine("e1")
        record_crashes(quarantine, MAX_CRASHES)
        now_s, last_s = 0.0, 0.0
        for number in range(10, 20):
            wait_s = quarantine.find_wait(REQUEST, now_s)
            assert last_s < wait_s <= 2 * MAX_QUARANTINE_S
            last_s = min(wait_s, MAX_QUARANTINE_S)
            now_s += wait_s
            assert quarantine.find_wait(REQUEST, now_s) == 0.0
            quarantine.record_crash(REQUEST, make_crash(number), now_s)

    def test_late_report_does_not_lengthen_a_quarantine(self):
        quarantine = Quarantine("e1")
        record_crashes(quarantine, MAX_CRASHES)
        wait_s = quarantine.find_wait(REQUEST, 0.0)
        quarantine.record_crash(REQUEST, make_crash(9), 1.0)
        assert quarantine.find_wait(REQUEST, 1.0) == pytest.approx(wait_s - 1)

    def test_instances_try_again_one_after_the_other(self):
        ends_s = []
        for number in range(20):
            quarantine = Quarantine(f"e{number}")
            record_crashes(quarantine, MAX_CRASHES)
            ends_s.append(quarantine.find_wait(REQUEST, 0.0))
        assert max(ends_s) - min(ends_s) > INITIAL_QUARANTINE_S / 2
        assert len(set(ends_s)) == len(ends_s)


class TestMemory:
    def test_suspects_are_forgotten(self):
        quarantine = Quarantine("e1")
        record_crashes(quarantine, 1)
        quarantine.record_crash(OTHER, make_crash(9), MEMORY_S + 1.0)
        assert list(quarantine.suspects) == [OTHER]

    def test_the_number_of_suspects_is_bounded(self):
        quarantine = Quarantine("e1")
        for number in range(MAX_SUSPECTS + 10):
            fingerprint = number.to_bytes(16, "big")
            quarantine.record_crash(fingerprint, make_crash(number), 0.0)
        assert len(quarantine.suspects) == MAX_SUSPECTS

    @given(
        st.lists(
            st.tuples(
                st.sampled_from([REQUEST, OTHER]),
                st.integers(0, 5),
                st.booleans(),
            )
        )
    )
    def test_only_crashes_without_an_answer_between_count(self, events):
        quarantine = Quarantine("e1")
        crashes = {REQUEST: set(), OTHER: set()}
        cleared = {REQUEST: set(), OTHER: set()}
        quarantined = set()
        for fingerprint, number, answered in events:
            if answered:
                quarantine.record_answer(fingerprint)
                cleared[fingerprint] |= crashes[fingerprint]
                crashes[fingerprint].clear()
                quarantined.discard(fingerprint)
                continue
            quarantine.record_crash(fingerprint, make_crash(number), 0.0)
            crashes[fingerprint] |= {number} - cleared[fingerprint]
            if len(crashes[fingerprint]) >= MAX_CRASHES:
                quarantined.add(fingerprint)
        for fingerprint in crashes:
            is_waiting = quarantine.find_wait(fingerprint, 0.0) > 0.0
            assert is_waiting == (fingerprint in quarantined)
