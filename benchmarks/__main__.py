"""Runs all measurements and writes a report; fails on a passed bound."""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import asdict
import json
from pathlib import Path
import sys

import matplotlib
from matplotlib import pyplot

from benchmarks.decisions import format_comparison
from benchmarks.decisions import LOADS
from benchmarks.decisions import measure_decisions
from benchmarks.decisions import run_way
from benchmarks.decisions import SEEDS
from benchmarks.decisions import WAYS
from benchmarks.drains import measure_drains
from benchmarks.drains import measure_whole
from benchmarks.floods import measure_floods
from benchmarks.logs import measure_logs
from benchmarks.reports import LESS
from benchmarks.reports import make_row
from benchmarks.reports import Row
from benchmarks.retries import measure_retries
from benchmarks.slopes import measure_slopes
from benchmarks.slopes import measure_stall
from benchmarks.slopes import Slope
from benchmarks.slopes import STALL_TARGET_MS
from benchmarks.speed import measure_speed

FOLDER = Path("build/bench")
STALL_RUNS = 3


def measure_stalls() -> list[Row]:
    """Measure the longest stall of the event loop."""
    figures = [measure_stall() for _ in range(STALL_RUNS)]
    name = "longest stall, change of a 1 MB document"
    return [make_row(name, figures, LESS, STALL_TARGET_MS, "ms")]


PARTS: dict[str, Callable[[], list[Row]]] = {
    "speed": measure_speed,
    "decisions": measure_decisions,
    "floods": measure_floods,
    "retries": measure_retries,
    "drains": measure_drains,
    "whole": measure_whole,
    "stalls": measure_stalls,
    "logs": measure_logs,
}


def plot_ways(path: Path) -> None:
    """Plot attempts for each request of all ways of choosing."""
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name in WAYS:
        attempts = [
            run_way(name, load, False, SEEDS[0]).attempts_each
            for load in LOADS
        ]
        axes.plot(LOADS, attempts, marker="o", label=name)
    axes.set(xlabel="offered load", ylabel="attempts a request")
    axes.set_yscale("log")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)


def plot_slopes(slopes: Sequence[Slope], path: Path) -> None:
    """Plot all slopes with their fits."""
    columns = 3
    lines = -(-len(slopes) // columns)
    figure, grid = pyplot.subplots(lines, columns, figsize=(14, 3 * lines))
    for axes, slope in zip(grid.flat, slopes):
        sizes = [size for size, _ in slope.points]
        rise, start, _ = slope.fit
        axes.plot(sizes, [value for _, value in slope.points], "o")
        axes.plot(sizes, [rise * size + start for size in sizes], "-")
        axes.set(xlabel=slope.against, ylabel=slope.measure)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def write_report(rows: Sequence[Row], slopes: Sequence[Slope]) -> None:
    """Write the report, its plots and the figures as JSON."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    plot_ways(FOLDER / "ways.png")
    plot_slopes(slopes, FOLDER / "slopes.png")
    table = "\n".join(row.format_line() for row in rows)
    fits = "\n".join(slope.format_line() for slope in slopes)
    ways = "\n".join(format_comparison())
    (FOLDER / "report.md").write_text(
        f"# Measurements\n\n```\n{table}\n```\n\n## Ways to choose an "
        f"endpoint\n\n```\n{ways}\n```\n\n![ways](ways.png)\n\n## Slopes\n\n"
        f"```\n{fits}\n```\n\n![slopes](slopes.png)\n"
    )
    body = {
        "rows": [{**asdict(row), "passed": row.passed} for row in rows],
        "slopes": [asdict(slope) for slope in slopes],
    }
    (FOLDER / "report.json").write_text(json.dumps(body, indent=2))


def run_all(names: Sequence[str]) -> int:
    """Run the named parts, or all.

    :param names: names of parts.
    :returns: exit status; 1 if a bound is passed.
    """
    matplotlib.use("Agg")
    rows: list[Row] = []
    for name in names or PARTS:
        for row in PARTS[name]():
            print(row.format_line(), flush=True)
            rows.append(row)
    slopes = measure_slopes()
    for slope in slopes:
        print(slope.format_line(), flush=True)
    write_report(rows, slopes)
    failed = [row.measure for row in rows if not row.passed]
    print(f"{len(rows) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(run_all(sys.argv[1:]))
