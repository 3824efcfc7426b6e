"""Tests of how a daemon handles signals."""

import os
import signal

import curio
import pytest

from carawayvale.commands.daemon_runner import run_with_signals
from carawayvale.early_signals import hold_signal

SIGNAL_GAP_S = 0.05


@pytest.fixture(autouse=True)
def kept_handlers():
    """Restore the process's handlers of signals after a test."""
    numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    handlers = {number: signal.getsignal(number) for number in numbers}
    yield
    signal.set_wakeup_fd(-1)
    for number, handler in handlers.items():
        signal.signal(number, handler)


class RecordingDaemon:
    """Daemon that sends signals to its own process and records the calls.

    :param numbers: the signals.
    :param ends: whether it ends after the last one, if it was to stop.
    """

    def __init__(self, numbers, ends=True):
        self.numbers = numbers
        self.ends = ends
        self.calls = []
        self.stopped = curio.Event()

    async def run(self):
        """Send the signals, then end after the planned stop."""
        for number in self.numbers:
            os.kill(os.getpid(), number)
            await curio.sleep(SIGNAL_GAP_S)
        await self.stopped.wait()
        if not self.ends:
            await curio.Event().wait()
        self.calls.append("end")

    async def stop(self):
        """Record the request to stop."""
        self.calls.append("stop")
        await self.stopped.set()

    async def reload(self):
        """Record the request to reload."""
        self.calls.append("reload")

    def play(self):
        """Run the daemon; return the calls."""
        curio.run(run_with_signals, self.run, self.stop, self.reload)
        return self.calls


class TestSignals:
    def test_sighup_reloads_and_first_sigterm_stops(self):
        daemon = RecordingDaemon(
            (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM)
        )
        assert daemon.play() == ["reload", "reload", "stop", "end"]

    # Guards against requests that a repeated SIGTERM cuts.
    @pytest.mark.parametrize(
        "numbers",
        [
            (signal.SIGTERM, signal.SIGTERM, signal.SIGTERM),
            (signal.SIGINT, signal.SIGTERM),
            (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
        ],
    )
    def test_planned_stop_completes_after_a_repeated_sigterm(self, numbers):
        reloads = ["reload"] * numbers.count(signal.SIGHUP)
        daemon = RecordingDaemon(numbers)
        assert daemon.play() == ["stop", *reloads, "end"]

    # Guards against a reload that ends a process which is starting.
    def test_sighup_during_the_start_reloads(self):
        hold_signal(signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGHUP)
        daemon = RecordingDaemon((signal.SIGTERM,))
        assert daemon.play() == ["reload", "stop", "end"]

    def test_second_sigint_ends_the_daemon_at_once(self):
        daemon = RecordingDaemon((signal.SIGINT, signal.SIGINT), ends=False)
        assert daemon.play() == ["stop"]
