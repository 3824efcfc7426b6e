"""Command that plays soaks; exit status 1 if a promise was broken."""

from dataclasses import replace
from pathlib import Path
import sys

import fire

from carawayvale.soak.endpoints import EndpointBehaviour
from carawayvale.soak.soak import play_soak
from carawayvale.soak.soak import SoakPlan
from carawayvale.soak.troubles import KINDS


def parse_names(names: str | tuple[str, ...]) -> tuple[str, ...]:
    """Parse a list of names, which the command line may have split already.

    :param names: the names, separated by commas or split.
    :returns: the names.
    """
    if isinstance(names, str):
        names = tuple(names.split(","))
    return tuple(name for name in names if name)


def play_seeds(
    seed: int = 1,
    runs: int = 1,
    seconds: float = 30.0,
    gateways: int = 4,
    callers: int = 40,
    troubles: str = "term,term_twice,hup",
    gap: float = 3.0,
    refused: float = 0.4,
    repeated: float = 0.03,
    broken: float = 0.0,
    work: float = 0.3,
    deadline: float = 4.0,
    root: str = "",
    keep: str = "",
) -> None:
    """Play soaks with consecutive seeds.

    :param seed: first seed.
    :param runs: number of soaks.
    :param seconds: length of the traffic of each.
    :param gateways: number of gateways.
    :param callers: number of callers.
    :param troubles: kinds of trouble, separated by commas; empty for none.
    :param gap: mean gap between two troubles in seconds.
    :param refused: share of the requests that endpoints refuse.
    :param repeated: share of the answers that endpoints repeat late.
    :param broken: share of the answers that endpoints break off.
    :param work: longest time that a request takes in seconds.
    :param deadline: time that callers wait for an answer in seconds.
    :param root: folder of the code to run; empty for this one.
    :param keep: folder in which to keep the logs.
    """
    kinds = parse_names(troubles)
    unknown = set(kinds) - set(KINDS)
    if unknown:
        sys.exit(f"unknown kinds: {', '.join(sorted(unknown))}")
    endpoint = EndpointBehaviour(
        work_s=(work / 6, work),
        refused_share=refused,
        repeated_share=repeated,
        broken_share=broken,
    )
    plan = SoakPlan(
        seed, seconds, gateways, callers=callers, kinds=kinds, gap_s=gap
    )
    plan = replace(
        plan,
        endpoint=endpoint,
        caller=replace(plan.caller, deadline_s=float(deadline)),
        root=Path(root).resolve() if root else plan.root,
    )
    failed = 0
    for number in range(seed, seed + runs):
        folder = Path(keep) / str(number) if keep else None
        result = play_soak(replace(plan, seed=number), folder)
        print(result.format_text(), flush=True)
        failed += bool(result.violations)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(play_seeds)
