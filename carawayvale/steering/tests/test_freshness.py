"""Tests of the age of the configuration, by the kind of failure.

A young age of an old configuration would let removed keys pass.
"""

from hypothesis import given
from hypothesis import strategies

from carawayvale.catalogue.position import StorePosition
from carawayvale.steering.freshness import CLOCK_DRIFT_S
from carawayvale.steering.freshness import Freshness
from carawayvale.steering.freshness import LINK_WINDOW_S
from carawayvale.steering.freshness import LinkDelay
from carawayvale.steering.freshness import MAX_WAITING
from carawayvale.steering.freshness import Reading

REVOKE_S = 5.0


def make_freshness(revision=10, began_s=100.0):
    """Make the state of an instance that has read the store."""
    freshness = Freshness()
    freshness.advance(revision)
    assert freshness.record(Reading(revision, began_s))
    return freshness


def pack(epoch, revision):
    """Pack a position."""
    return StorePosition(epoch, revision).pack()


class TestReadings:
    def test_disconnected_from_the_store_only_it_counts_peers_readings(self):
        freshness = make_freshness()
        for began_s in (101.0, 102.0, 103.0):
            assert freshness.record(Reading(10, began_s))
        assert freshness.find_age(104.0) == 1.0

    def test_disconnected_from_both_its_age_grows(self):
        freshness = make_freshness()
        assert freshness.find_age(105.0) <= REVOKE_S
        assert freshness.find_age(105.001) > REVOKE_S

    def test_a_slow_reading_counts_from_its_beginning(self):
        """A store 60 times slower: the response says nothing of its end."""
        freshness = make_freshness()
        # Sent at 101.0, answered at 102.24.
        freshness.record(Reading(10, 101.0))
        assert freshness.find_age(102.24) == 102.24 - 101.0

    def test_an_earlier_reading_does_not_replace_a_later_one(self):
        freshness = make_freshness()
        assert not freshness.record(Reading(10, 99.0))
        assert freshness.find_age(101.0) == 1.0

    def test_a_reading_counts_only_with_its_changes(self):
        """Removals up to the reading may not have arrived yet."""
        freshness = make_freshness()
        assert not freshness.record(Reading(12, 104.0))
        assert not freshness.advance(11)
        assert freshness.find_age(104.0) == 4.0
        assert freshness.advance(12)
        assert freshness.find_age(104.0) == 0.0

    def test_frequent_changes_do_not_push_out_what_is_waited_for(self):
        freshness = make_freshness()
        for revision in range(11, 11 + 2 * MAX_WAITING):
            freshness.record(Reading(revision, 90.0 + revision))
        assert len(freshness.waiting) == MAX_WAITING
        assert freshness.advance(11)
        assert freshness.find_age(102.0) == 1.0

    def test_after_the_stores_return_only_the_new_epoch_counts(self):
        freshness = make_freshness()
        freshness.advance(pack(1, 4))
        assert freshness.find_age(100.1) == float("inf")
        assert not freshness.record(Reading(10, 103.0))
        assert freshness.record(Reading(pack(1, 4), 102.0))
        assert freshness.find_age(103.0) == 1.0

    def test_a_reading_of_a_later_epoch_waits_for_its_changes(self):
        freshness = make_freshness()
        assert not freshness.record(Reading(pack(1, 4), 104.0))
        assert freshness.find_age(104.0) == 4.0
        assert freshness.advance(pack(1, 4))
        assert freshness.find_age(104.0) == 0.0

    def test_without_a_reading_the_age_is_infinite(self):
        """Started while the store is unavailable: peers sent all items."""
        freshness = Freshness()
        freshness.advance(10)
        assert freshness.find_age(100.0) == float("inf")
        assert freshness.record(Reading(10, 99.0))
        assert freshness.find_age(100.0) == 1.0

    def test_a_suspension_counts(self):
        """The boot clock has continued when the instance resumes."""
        freshness = make_freshness()
        assert freshness.find_age(100.0 + 60.0) == 60.0


class TestLinkDelay:
    OFFSET_S = 5000.0

    def receive(self, delay, sent_s, took_s, round_trip_s=None):
        """Record a message and return the bound of its delay."""
        received_s = sent_s + self.OFFSET_S + took_s
        delay.record(sent_s, received_s, round_trip_s)
        return delay.find_bound(sent_s, received_s)

    def test_a_new_link_has_no_bound_before_it_is_measured(self):
        """The first message may have been delayed for any time."""
        delay = LinkDelay()
        assert self.receive(delay, 1.0, 0.001) is None
        assert self.receive(delay, 2.0, 0.001, 0.002) is not None

    def test_a_delayed_message_has_its_delay_in_the_bound(self):
        delay = LinkDelay()
        self.receive(delay, 1.0, 0.001, 0.002)
        bound_s = self.receive(delay, 2.0, 3.0)
        assert 3.0 <= bound_s <= 3.002 + CLOCK_DRIFT_S

    def test_messages_that_waited_during_a_suspension_are_late(self):
        delay = LinkDelay()
        self.receive(delay, 1.0, 0.001, 0.002)
        assert self.receive(delay, 2.0, 60.0) is None
        assert self.receive(delay, 2.5, 59.5, 60.0) >= 59.5

    def test_a_link_that_becomes_slow_is_not_taken_for_a_fast_one(self):
        """The old minima end, and the round trip rises with the delay."""
        delay = LinkDelay()
        self.receive(delay, 1.0, 0.001, 0.002)
        for second in range(2, int(4 * LINK_WINDOW_S)):
            bound_s = self.receive(delay, float(second), 1.5, 1.501)
            assert bound_s >= 1.5

    def test_measurements_end_with_their_windows(self):
        delay = LinkDelay()
        self.receive(delay, 1.0, 0.001, 0.002)
        bound_s = self.receive(delay, 1.0 + LINK_WINDOW_S, 0.001)
        assert bound_s is not None
        assert self.receive(delay, 2.5 + 2 * LINK_WINDOW_S, 0.001) is None

    @given(
        strategies.floats(-1e6, 1e6),
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 20.0),
                strategies.floats(0.0, 4.0),
                strategies.none() | strategies.floats(0.0, 4.0),
            ),
            min_size=1,
            max_size=40,
        ),
    )
    def test_the_bound_is_never_less_than_the_delay(self, offset_s, messages):
        delay = LinkDelay()
        received_s = 0.0
        for pause_s, took_s, back_s in messages:
            received_s += pause_s
            sent_s = received_s - took_s - offset_s
            trip_s = None if back_s is None else took_s + back_s
            delay.record(sent_s, received_s, trip_s)
            bound_s = delay.find_bound(sent_s, received_s)
            assert bound_s is None or bound_s >= took_s
