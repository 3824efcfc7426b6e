"""Runs a daemon until it ends or a signal stops it."""

from collections.abc import Awaitable
from collections.abc import Callable
import gc
import resource
import signal
import socket as stdlib_socket
import sys

import curio

from carawayvale.early_signals import take_held_signals
from carawayvale.links.sockets import StreamSocket
from carawayvale.telemetry.logs import format_place
from carawayvale.telemetry.logs import log_event

# Longest time that a thread runs before another waiting thread gets its turn.
SWITCH_INTERVAL_S = 0.001

# Number of allocated and not yet freed objects that starts a collection of
# garbage.
GC_THRESHOLD = 50_000

StopCallback = Callable[[], Awaitable[None]]
ReloadCallback = Callable[[], Awaitable[None]]
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SignalReader:
    """Reader that lets a task of the event loop wait for signals.

    :param numbers: numbers of the signals to wait for.
    """

    def __init__(self, numbers: tuple[int, ...]):
        reader, self.writer = stdlib_socket.socketpair()
        self.writer.setblocking(False)
        self.reader = StreamSocket(reader)
        signal.set_wakeup_fd(self.writer.fileno())
        for number in numbers:
            signal.signal(number, lambda *_: None)
        held = [n for n in take_held_signals() if n in numbers]
        if held:
            self.writer.send(bytes(held))

    async def wait(self) -> int:
        """Wait for a signal.

        :returns: number of the signal.
        """
        data = await self.reader.recv(1)
        return data[0]


async def run_with_signals(
    run: Callable, stop: StopCallback, reload: ReloadCallback | None = None
) -> None:
    """Run a daemon and handle the signals that are sent to its process.

    The first stop signal asks the daemon to stop. A supervisor may repeat
    SIGTERM; that changes nothing, as SIGKILL is there to end a process at
    once. A second SIGINT, from the keyboard, cancels the daemon.

    :param run: coroutine function that runs the daemon until it ends.
    :param stop: coroutine function that asks the daemon to stop.
    :param reload: called on SIGHUP; if None, SIGHUP ends the process.
    """
    numbers = STOP_SIGNALS
    if reload is not None:
        numbers = (*STOP_SIGNALS, signal.SIGHUP)
    signals = SignalReader(numbers)
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(run)
        await group.spawn(_handle_signals, signals, stop, reload)
    if group.completed.exception:
        raise group.completed.exception


async def _handle_signals(
    signals: SignalReader, stop: StopCallback, reload: ReloadCallback | None
) -> None:
    received = set()
    while True:
        number = await signals.wait()
        if number == signal.SIGHUP:
            await reload()
            continue
        if number == signal.SIGINT and number in received:
            return
        if not received:
            await stop()
        received.add(number)


def raise_file_limit() -> None:
    """Raise this process's limit of open files to its hard limit."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))


def run_daemon(
    run: Callable, stop: StopCallback, reload: ReloadCallback | None = None
) -> None:
    """Run a daemon in a new event loop.

    :param run: coroutine function that runs the daemon until it ends.
    :param stop: coroutine function that asks the daemon to stop.
    :param reload: called on SIGHUP; None if the daemon cannot reload.
    """
    raise_file_limit()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    gc.set_threshold(GC_THRESHOLD)
    try:
        curio.run(run_with_signals, run, stop, reload)
    except Exception as error:
        # Tasks that are destroyed with the loop write reports of their own.
        log_event(
            "event_loop_failed",
            "ERROR",
            cause=repr(error),
            place=format_place(error),
        )
        raise
