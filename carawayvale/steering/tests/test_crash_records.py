"""Tests of which records of crashes are written and deleted, and when."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from carawayvale.catalogue.crashes import CrashRecord
from carawayvale.catalogue.crashes import EndpointCrash
from carawayvale.catalogue.crashes import StoredCrash
from carawayvale.steering.crash_records import BURST_CALLS
from carawayvale.steering.crash_records import CALLS_PER_S
from carawayvale.steering.crash_records import CrashRecordQueue
from carawayvale.steering.crash_records import DELETE_DELAY_S
from carawayvale.steering.crash_records import MAX_ADOPTION_S
from carawayvale.steering.crash_records import MAX_CHANGES
from carawayvale.steering.crash_records import MAX_CRASHES_WRITTEN
from carawayvale.steering.crash_records import MAX_RECORDS
from carawayvale.steering.crash_records import MIN_ADOPTION_S
from carawayvale.steering.crash_records import RESTORE_DELAY_S

REQUEST = b"r" * 16
CRASH = EndpointCrash("i-1", 1)
RECORD = CrashRecord(REQUEST, CRASH)
LATER_S = DELETE_DELAY_S + RESTORE_DELAY_S + MAX_ADOPTION_S


def make_crashes(number):
    return [EndpointCrash(f"i-{index}", 1) for index in range(number)]


def write(queue, now_s=0.0):
    """Have a record written, with success."""
    queue.add(REQUEST, [CRASH], now_s)
    queue.confirm(queue.take(now_s), set(), now_s)


def store(writer="e1", expires=True):
    return StoredCrash(RECORD, writer, expires)


class TestWrites:
    def test_new_crash_is_written_at_once(self):
        queue = CrashRecordQueue("e1")
        assert queue.find_due(0.0) is None
        queue.add(REQUEST, [CRASH], 5.0)
        batch = queue.take(5.0)
        assert batch.writes == (RECORD,) and batch.is_urgent
        assert queue.find_due(5.0) is None

    def test_earlier_crashes_are_written_again_with_a_new_one(self):
        """The record of the first one may have no long time left."""
        queue = CrashRecordQueue("e1")
        write(queue)
        first, second = CRASH, EndpointCrash("i-2", 1)
        queue.add(REQUEST, [first, second], 9.0)
        assert [r.crash for r in queue.take(9.0).writes] == [first, second]

    def test_crashes_of_one_request_are_bounded(self):
        queue = CrashRecordQueue("e1")
        crashes = make_crashes(50)
        queue.add(REQUEST, crashes, 0.0)
        written = [record.crash for record in queue.take(0.0).writes]
        assert written == crashes[-MAX_CRASHES_WRITTEN:]

    def test_failed_write_is_repeated(self):
        queue = CrashRecordQueue("e1")
        queue.add(REQUEST, [CRASH], 0.0)
        queue.put_back(queue.take(0.0), set(), 0.0)
        batch = queue.take(0.0)
        assert batch.writes == (RECORD,) and batch.is_urgent

    def test_removed_record_is_written_again_after_a_while(self):
        queue = CrashRecordQueue("e1")
        write(queue)
        queue.observe_removed(RECORD, 10.0)
        assert not queue.take(10.0)
        batch = queue.take(10.0 + RESTORE_DELAY_S)
        assert batch.writes == (RECORD,) and not batch.is_urgent

    def test_removed_record_of_another_instance_is_left(self):
        queue = CrashRecordQueue("e1")
        queue.observe_removed(RECORD, 10.0)
        assert queue.find_due(10.0) is None


class TestAnswers:
    def test_answer_deletes_the_records_of_all_instances(self):
        queue = CrashRecordQueue("e1")
        queue.clear(REQUEST, [CRASH], True, 0.0)
        assert not queue.take(0.0)
        assert queue.take(DELETE_DELAY_S).deletes == (RECORD,)

    def test_answer_that_another_instance_reports_deletes_own_records(self):
        queue = CrashRecordQueue("e1")
        queue.clear(REQUEST, [CRASH], False, 0.0)
        assert queue.find_due(0.0) is None
        write(queue)
        queue.clear(REQUEST, [CRASH], False, 0.0)
        assert queue.take(DELETE_DELAY_S).deletes == (RECORD,)

    def test_answer_before_the_write_ends_it(self):
        queue = CrashRecordQueue("e1")
        queue.add(REQUEST, [CRASH], 0.0)
        queue.clear(REQUEST, [CRASH], False, 0.0)
        assert queue.find_due(0.0) is None

    # Guards against a record without a lease that nobody deletes: it is in
    # the store while its adoption is queued.
    def test_answer_before_the_adoption_deletes_the_record(self):
        queue = CrashRecordQueue("e2")
        queue.observe_present(store(expires=False), False, 0.0)
        queue.clear(REQUEST, [CRASH], True, 0.0)
        batch = queue.take(LATER_S)
        assert batch.deletes == (RECORD,) and not batch.writes

    # Guards against an answer during a write, which is confirmed or fails
    # afterwards: the record would stay.
    @pytest.mark.parametrize("is_confirmed", [False, True])
    def test_answer_during_the_write_deletes_the_record(self, is_confirmed):
        queue = CrashRecordQueue("e1")
        queue.add(REQUEST, [CRASH], 0.0)
        batch = queue.take(0.0)
        queue.clear(REQUEST, [CRASH], False, 0.0)
        finish = queue.confirm if is_confirmed else queue.put_back
        finish(batch, {RECORD}, 0.0)
        batch = queue.take(DELETE_DELAY_S)
        assert batch.deletes == (RECORD,) and not batch.writes

    def test_crash_after_the_answer_keeps_its_record(self):
        queue = CrashRecordQueue("e1")
        write(queue)
        queue.clear(REQUEST, [CRASH], True, 0.0)
        later = EndpointCrash("i-2", 1)
        queue.add(REQUEST, [later], 0.0)
        batch = queue.take(LATER_S)
        assert batch.deletes == (RECORD,)
        assert [record.crash for record in batch.writes] == [later]

    def test_late_write_of_an_answered_request_is_deleted(self):
        """Also what a copy still has from which the store returned."""
        queue = CrashRecordQueue("e1")
        queue.observe_present(store(), True, 0.0)
        assert queue.take(DELETE_DELAY_S).deletes == (RECORD,)
        queue.observe_present(store("e2"), True, 9.0)
        assert queue.find_due(9.0) is None

    def test_own_deletion_does_not_write_the_record_again(self):
        queue = CrashRecordQueue("e1")
        write(queue)
        queue.clear(REQUEST, [CRASH], True, 0.0)
        queue.confirm(queue.take(DELETE_DELAY_S), set(), DELETE_DELAY_S)
        queue.observe_removed(RECORD, 2.0)
        assert queue.find_due(2.0) is None

    def test_answer_that_is_heard_after_the_deletion(self):
        queue = CrashRecordQueue("e1")
        write(queue)
        queue.observe_removed(RECORD, 1.0)
        queue.clear(REQUEST, [CRASH], False, 1.5)
        assert not queue.take(LATER_S).writes


class TestAdoption:
    def test_record_without_a_lease_is_written_again(self):
        queue = CrashRecordQueue("e2")
        queue.observe_present(store(expires=False), False, 0.0)
        due_s = queue.find_due(0.0)
        assert MIN_ADOPTION_S <= due_s <= MAX_ADOPTION_S
        batch = queue.take(due_s)
        assert batch.writes == (RECORD,) and not batch.is_urgent

    def test_record_that_another_instance_adopted_is_left(self):
        queue = CrashRecordQueue("e2")
        queue.observe_present(store(expires=False), False, 0.0)
        queue.observe_present(store("e3"), False, 0.5)
        assert queue.find_due(0.5) is None

    def test_instances_adopt_at_different_times(self):
        due_s = set()
        for number in range(20):
            queue = CrashRecordQueue(f"e{number}")
            queue.observe_present(store(expires=False), False, 0.0)
            due_s.add(queue.find_due(0.0))
        assert len(due_s) == 20


class TestRates:
    # The load is a caller that sends requests that crash endpoints as fast
    # as it can, each of them another one.
    @given(
        st.lists(
            st.tuples(st.floats(0.0, 0.5), st.integers(1, 80)),
            min_size=1,
            max_size=80,
        )
    )
    def test_calls_stay_within_the_rate(self, arrivals):
        queue = CrashRecordQueue("e1")
        now_s, number, calls_s = 0.0, 0, []
        for pause_s, count in arrivals:
            now_s += pause_s
            for _ in range(count):
                number += 1
                fingerprint = number.to_bytes(16, "big")
                queue.add(fingerprint, [CRASH], now_s)
            batch = queue.take(now_s)
            if batch:
                assert len(batch.writes) <= MAX_CHANGES
                queue.count_call(now_s)
                calls_s.append(now_s)
                queue.confirm(batch, set(), now_s)
        for first, start_s in enumerate(calls_s):
            for last in range(first, len(calls_s)):
                length_s = calls_s[last] - start_s
                allowed = BURST_CALLS + 1e-6 + length_s * CALLS_PER_S
                assert last - first + 1 <= allowed

    def test_memory_is_bounded(self):
        queue = CrashRecordQueue("e1")
        for number in range(3 * MAX_RECORDS):
            fingerprint = number.to_bytes(16, "big")
            queue.add(fingerprint, [CRASH], 0.0)
            queue.observe_present(
                StoredCrash(
                    CrashRecord(fingerprint, EndpointCrash("i-9", 1)),
                    "e2",
                    False,
                ),
                False,
                0.0,
            )
            queue.clear(fingerprint[::-1], [CRASH], True, 0.0)
        assert len(queue.writes) <= MAX_RECORDS
        assert len(queue.deletes) <= MAX_RECORDS
