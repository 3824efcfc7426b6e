"""Tests of the detector of the store's outages."""

from carawayvale.catalogue.outages import MIN_OUTAGE_S
from carawayvale.catalogue.outages import OutageDetector

# Endpoints report this often; three missing reports expire an entry.
REPORT_INTERVAL_S = 1.5
TICK_S = 0.1


def make_detector():
    """Make a detector of an instance that knows the state of 10.0 s."""
    detector = OutageDetector()
    detector.record_confirmation(10.0)
    return detector


def run(detector, start_s, end_s):
    """Let the process run for some time."""
    now_s = start_s
    while now_s < end_s:
        detector.observe(now_s)
        now_s += TICK_S


class TestSilence:
    """No store had an outage."""

    def test_silence_of_the_watcher_is_no_outage(self):
        # Guards against keeping removed entries after a watcher is lost.
        detector = make_detector()
        run(detector, 10.0, 14.0)
        assert not detector.record_confirmation(14.0)

    def test_wait_for_changes_of_a_quiet_store_is_no_outage(self):
        # Guards against keeping removed entries after a quiet second.
        detector = make_detector()
        for now_s in (10.0, 11.1, 12.2, 13.3):
            detector.record_call(now_s + 1.0)
            run(detector, now_s, now_s + 1.1)
            assert not detector.record_confirmation(now_s + 1.1)
            detector.record_answer()

    def test_pause_of_the_own_process_is_no_outage(self):
        # Guards against keeping removed entries after a suspension.
        detector = make_detector()
        detector.record_call(11.0)
        run(detector, 10.0, 10.3)
        detector.observe(16.0)
        assert not detector.record_confirmation(16.0)

    def test_own_failures_are_no_outage_if_peers_reach_the_store(self):
        # Guards against taking the cut of one instance for an outage.
        detector = make_detector()
        for now_s in (10.0, 11.1, 12.2, 13.3):
            detector.record_failure(now_s)
            run(detector, now_s, now_s + 1.1)
            assert not detector.record_confirmation(now_s + 1.1)

    def test_takeover_refutes_what_a_watcher_that_is_cut_off_has_seen(self):
        detector = make_detector()
        detector.record_failure(10.0)
        run(detector, 10.0, 10.0 + MIN_OUTAGE_S)
        assert not detector.record_confirmation(10.0 + MIN_OUTAGE_S)

    def test_failures_before_the_watch_ended_do_not_count(self):
        detector = make_detector()
        detector.record_failure(10.0)
        detector.record_answer()
        run(detector, 10.0, 14.0)
        assert not detector.record_confirmation(14.0)

    def test_old_confirmation_of_a_peer_changes_nothing(self):
        detector = make_detector()
        detector.record_failure(10.0)
        run(detector, 10.0, 13.0)
        assert not detector.record_confirmation(9.5)
        assert detector.record_confirmation(13.0)

    def test_start_of_the_process_is_no_outage(self):
        detector = OutageDetector()
        detector.record_failure(10.0)
        run(detector, 10.0, 14.0)
        assert not detector.record_confirmation(14.0)


class TestOutage:
    """The store had an outage that may have made entries expire."""

    def test_failed_calls_show_an_outage(self):
        detector = make_detector()
        detector.record_failure(10.0)
        run(detector, 10.0, 13.0)
        assert detector.record_confirmation(13.0)

    def test_overdue_answer_shows_an_outage(self):
        detector = make_detector()
        detector.record_call(11.0)
        run(detector, 10.0, 13.0)
        assert detector.record_confirmation(13.0)

    def test_outage_beside_the_loss_of_the_watcher_is_shown(self):
        """The last of the instances that take over calls the store."""
        detector = make_detector()
        run(detector, 10.0, 12.0)
        detector.record_call(12.1)
        run(detector, 12.0, 10.0 + 2 * REPORT_INTERVAL_S)
        assert detector.record_confirmation(10.0 + 2 * REPORT_INTERVAL_S)

    def test_second_outage_is_shown(self):
        detector = make_detector()
        for start_s in (10.0, 14.0):
            detector.record_failure(start_s)
            run(detector, start_s, start_s + 3.0)
            assert detector.record_confirmation(start_s + 3.0)
            detector.record_answer()
