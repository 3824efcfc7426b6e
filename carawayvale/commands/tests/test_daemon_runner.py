"""Tests of how a daemon handles signals."""

import os
import signal

import curio

from carawayvale.commands.daemon_runner import run_with_signals


class TestSignals:
    def test_sighup_reloads_and_first_sigterm_stops(self):
        calls = []
        stopped = curio.Event()

        async def run():
            for number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM):
                os.kill(os.getpid(), number)
                await curio.sleep(0.05)
            await stopped.wait()

        async def stop():
            calls.append("stop")
            await stopped.set()

        async def reload():
            calls.append("reload")

        previous_handlers = {
            n: signal.getsignal(n)
            for n in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
        }
        try:
            curio.run(run_with_signals, run, stop, reload)
        finally:
            signal.set_wakeup_fd(-1)
            for number, handler in previous_handlers.items():
                signal.signal(number, handler)
        assert calls == ["reload", "reload", "stop"]
