"""Runs a daemon until it ends or gets a signal."""

from collections.abc import Awaitable
from collections.abc import Callable
import gc
import resource
import signal
import socket as plain_socket
import sys

import curio
from curio.io import Socket

SWITCH_INTERVAL_S = 0.001
GC_THRESHOLD = 50_000

Stop = Callable[[], Awaitable[None]]
Reload = Callable[[], Awaitable[None]]
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SignalReader:
    """Turns signals into calls in the event loop.

    :param numbers: the signals.
    """

    def __init__(self, numbers: tuple[int, ...]):
        reader, self.writer = plain_socket.socketpair()
        self.writer.setblocking(False)
        self.reader = Socket(reader)
        signal.set_wakeup_fd(self.writer.fileno())
        for number in numbers:
            signal.signal(number, lambda *_: None)

    async def wait(self) -> int:
        """Wait for a signal.

        :returns: number of the signal.
        """
        data = await self.reader.recv(1)
        return data[0]


async def run_with_signals(
    run: Callable, stop: Stop, reload: Reload | None = None
) -> None:
    """Run a daemon; the first signal asks it to stop, the second ends it.

    :param run: runs the daemon until it is done.
    :param stop: asks it to stop.
    :param reload: called at SIGHUP; without it SIGHUP ends the process.
    """
    numbers = STOP_SIGNALS
    if reload is not None:
        numbers = (*STOP_SIGNALS, signal.SIGHUP)
    signals = SignalReader(numbers)
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(run)
        await group.spawn(_follow_signals, signals, stop, reload)
    if group.completed.exception:
        raise group.completed.exception


async def _follow_signals(
    signals: SignalReader, stop: Stop, reload: Reload | None
) -> None:
    stops = 0
    while stops < 2:
        number = await signals.wait()
        if number == signal.SIGHUP:
            await reload()
            continue
        stops += 1
        if stops == 1:
            await stop()


def raise_file_limit() -> None:
    """Allow as many open files as the system lets this process have."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def run_daemon(
    run: Callable, stop: Stop, reload: Reload | None = None
) -> None:
    """Run a daemon in a new event loop.

    :param run: runs the daemon until it is done.
    :param stop: asks it to stop.
    :param reload: called at SIGHUP, if the daemon can reload.
    """
    raise_file_limit()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    gc.set_threshold(GC_THRESHOLD)
    curio.run(run_with_signals, run, stop, reload)
