"""Tests of the measurements of a link and of the event loop."""

import math

from carawayvale.capacity.link_meter import LinkMeter
from carawayvale.capacity.loop_lag import LoopLag


class TestSentBytes:
    def test_queue_grows_with_what_is_sent_and_drains_with_time(self):
        meter = LinkMeter(8.0)
        meter.record_sent(200_000, 1.0)
        meter.record_sent(100_000, 1.1)
        assert meter.find_queue(1.1) == 0.2
        assert meter.find_queue(1.2) == 0.1
        assert meter.find_queue(2.0) == 0.0
        assert meter.sent_bytes == 300_000

    def test_idle_time_is_not_saved(self):
        meter = LinkMeter(8.0)
        meter.record_sent(1, 1.0)
        meter.record_sent(500_000, 100.0)
        assert meter.find_queue(100.0) == 0.5

    def test_unknown_bandwidth_has_no_queue(self):
        meter = LinkMeter()
        meter.record_sent(1 << 30, 1.0)
        assert meter.find_queue(1.0) == 0.0


class TestReceivedBytes:
    def test_steady_receipt_is_a_share_of_the_bandwidth(self):
        meter = LinkMeter(8.0)
        for step in range(200):
            meter.record_received(5_000, step / 100)
        assert math.isclose(meter.find_receive_share(2.0), 0.5, rel_tol=0.05)
        assert meter.find_receive_share(4.0) < 0.01
        assert meter.received_bytes == 1_000_000


class TestLoopLag:
    def test_worst_delay_is_taken_once(self):
        lag = LoopLag()
        lag.record(0.2)
        lag.record(0.01)
        assert lag.latest_s == 0.01
        assert lag.take_worst() == 0.2
        assert lag.take_worst() == 0.0
