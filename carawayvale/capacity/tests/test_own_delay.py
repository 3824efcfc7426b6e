"""Tests of the evidence that an instance itself is behind."""

from carawayvale.capacity.link_meter import LinkMeter
from carawayvale.capacity.loop_lag import LoopLag
from carawayvale.capacity.own_delay import OwnDelay


def make_delay():
    """Make the delay of an instance with a link of 1 MB/s."""
    return OwnDelay(LinkMeter(8.0), LoopLag())


class TestOwnDelay:
    def test_idle_instance_is_never_behind(self):
        delay = make_delay()
        delay.observe(1.0)
        assert not delay.was_behind(0.0)

    def test_queue_of_the_link_counts_until_it_has_gone(self):
        delay = make_delay()
        delay.link.record_sent(500_000, 1.0)
        for step in range(20):
            delay.observe(1.0 + step / 20)
        assert delay.was_behind(1.4)
        assert not delay.was_behind(1.6)

    def test_link_that_only_receives_counts(self):
        delay = make_delay()
        for step in range(40):
            delay.link.record_received(25_000, 1.0 + step / 40)
        delay.observe(2.0)
        assert delay.was_behind(1.9)

    def test_busy_event_loop_counts(self):
        delay = make_delay()
        delay.loop_lag.record(0.3)
        delay.observe(1.0)
        assert delay.was_behind(0.8)
        delay.loop_lag.record(0.0)
        delay.observe(2.0)
        assert not delay.was_behind(1.5)
