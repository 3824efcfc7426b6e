"""Troubles of a soak, and their schedule from a seed."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import random
import signal
import time

import curio

from carawayvale.soak.gateways import GatewayProcess
from carawayvale.soak.records import Disturbance
from carawayvale.soak.records import Record

GRACE_S = 6.0
RESTART_S = 0.3
FREEZE_S = 1.5

# No trouble begins in the first and the last seconds.
CALM_S = 2.0


@dataclass(frozen=True)
class Trouble:
    """One trouble of the schedule.

    :param at_s: seconds from the start of the traffic.
    :param kind: name of the kind.
    :param gateway: number of the gateway.
    """

    at_s: float
    kind: str
    gateway: int


Cause = Callable[[GatewayProcess, Record], Awaitable[None]]
KINDS: dict[str, Cause] = {}


def kind(name: str) -> Callable[[Cause], Cause]:
    """Register a kind of trouble.

    :param name: its name.
    :returns: the decorator.
    """

    def register(function: Cause) -> Cause:
        KINDS[name] = function
        return function

    return register


async def _restart(gateway: GatewayProcess) -> None:
    await curio.sleep(RESTART_S)
    gateway.start()
    await gateway.wait_ready()


async def _end_planned(gateway: GatewayProcess, record: Record) -> None:
    """Wait for a planned stop, as the platform does, and restart."""
    if await gateway.wait_end(GRACE_S) is None:
        now_s = time.monotonic()
        record.events.append((now_s, f"SIGKILL {gateway.number}"))
        gateway.end()
    await _restart(gateway)


@kind("term")
async def stop_once(gateway: GatewayProcess, record: Record) -> None:
    """Stop a gateway with one SIGTERM."""
    gateway.signal(signal.SIGTERM)
    await _end_planned(gateway, record)


@kind("term_twice")
async def stop_twice(gateway: GatewayProcess, record: Record) -> None:
    """Stop a gateway, and repeat the signal."""
    gateway.signal(signal.SIGTERM)
    await curio.sleep(RESTART_S)
    gateway.signal(signal.SIGTERM)
    await _end_planned(gateway, record)


@kind("hup")
async def reload_settings(gateway: GatewayProcess, record: Record) -> None:
    """Let a gateway read its settings again."""
    gateway.signal(signal.SIGHUP)


@kind("kill")
async def kill(gateway: GatewayProcess, record: Record) -> None:
    """Kill a gateway."""
    begun_s = time.monotonic()
    gateway.end()
    await _restart(gateway)
    record.disturbances.append(
        Disturbance(gateway.number, begun_s, time.monotonic())
    )


@kind("freeze")
async def freeze(gateway: GatewayProcess, record: Record) -> None:
    """Freeze a gateway for a while."""
    begun_s = time.monotonic()
    gateway.signal(signal.SIGSTOP)
    await curio.sleep(FREEZE_S)
    gateway.signal(signal.SIGCONT)
    record.disturbances.append(
        Disturbance(gateway.number, begun_s, time.monotonic())
    )


def plan_troubles(
    seed: int,
    kinds: tuple[str, ...],
    length_s: float,
    gateways: int,
    gap_s: float,
) -> list[Trouble]:
    """Plan the troubles of a soak.

    :param seed: seed of the choices.
    :param kinds: names of the kinds that may come.
    :param length_s: length of the traffic.
    :param gateways: number of gateways.
    :param gap_s: mean gap between two troubles.
    :returns: the troubles in order of time.
    """
    choices = random.Random(seed)
    troubles = []
    at_s = CALM_S
    while kinds and at_s < length_s - CALM_S:
        gateway = choices.randrange(gateways)
        troubles.append(Trouble(at_s, choices.choice(kinds), gateway))
        at_s += choices.expovariate(1 / gap_s)
    return troubles
