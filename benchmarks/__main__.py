"""Command that runs the benchmarks and writes a report.

The exit status is 1 if a figure misses its target.
"""

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
from benchmarks.decisions import run_strategy
from benchmarks.decisions import SEEDS
from benchmarks.decisions import STRATEGIES
from benchmarks.drains import measure_drains
from benchmarks.drains import measure_large_deployment
from benchmarks.floods import measure_floods
from benchmarks.logs import measure_logs
from benchmarks.reports import AT_MOST
from benchmarks.reports import make_row
from benchmarks.reports import Row
from benchmarks.retries import measure_retries
from benchmarks.slopes import measure_slopes
from benchmarks.slopes import measure_stall
from benchmarks.slopes import Slope
from benchmarks.slopes import STALL_TARGET_MS
from benchmarks.speed import measure_speed

REPORT_FOLDER = Path("build/bench")
STALL_RUNS = 3


def measure_stalls() -> list[Row]:
    """Measure the longest stall of the event loop during a document change.

    :returns: row of the report.
    """
    figures = [measure_stall() for _ in range(STALL_RUNS)]
    measure = "longest stall, change of a 1 MB document"
    return [make_row(measure, figures, AT_MOST, STALL_TARGET_MS, "ms")]


BENCHMARKS: dict[str, Callable[[], list[Row]]] = {
    "speed": measure_speed,
    "decisions": measure_decisions,
    "floods": measure_floods,
    "retries": measure_retries,
    "drains": measure_drains,
    "whole": measure_large_deployment,
    "stalls": measure_stalls,
    "logs": measure_logs,
}


def plot_strategies(path: Path) -> None:
    """Plot the attempts for each request of all strategies against the load.

    :param path: image file to write.
    """
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name in STRATEGIES:
        attempts = [
            run_strategy(name, load, False, SEEDS[0]).attempts_per_request
            for load in LOADS
        ]
        axes.plot(LOADS, attempts, marker="o", label=name)
    axes.set(xlabel="offered load", ylabel="attempts a request")
    axes.set_yscale("log")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)


def plot_slopes(slopes: Sequence[Slope], path: Path) -> None:
    """Plot the points and the linear fits of all slopes.

    :param slopes: the slopes.
    :param path: image file to write.
    """
    columns = 3
    rows = -(-len(slopes) // columns)
    figure, grid = pyplot.subplots(rows, columns, figsize=(14, 3 * rows))
    for axes, slope in zip(grid.flat, slopes):
        sizes = [size for size, _ in slope.points]
        gradient, intercept, _ = slope.fit
        axes.plot(sizes, [value for _, value in slope.points], "o")
        axes.plot(sizes, [gradient * size + intercept for size in sizes], "-")
        axes.set(xlabel=slope.against, ylabel=slope.measure)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def write_report(rows: Sequence[Row], slopes: Sequence[Slope]) -> None:
    """Write the report as Markdown and JSON, and its plots.

    :param rows: rows of the report.
    :param slopes: the slopes.
    """
    REPORT_FOLDER.mkdir(parents=True, exist_ok=True)
    plot_strategies(REPORT_FOLDER / "ways.png")
    plot_slopes(slopes, REPORT_FOLDER / "slopes.png")
    table = "\n".join(row.format_line() for row in rows)
    fits = "\n".join(slope.format_line() for slope in slopes)
    comparison = "\n".join(format_comparison())
    (REPORT_FOLDER / "report.md").write_text(
        f"# Measurements\n\n```\n{table}\n```\n\n## Ways to choose an "
        f"endpoint\n\n```\n{comparison}\n```\n\n![ways](ways.png)\n\n"
        f"## Slopes\n\n```\n{fits}\n```\n\n![slopes](slopes.png)\n"
    )
    report = {
        "rows": [{**asdict(row), "passed": row.passed} for row in rows],
        "slopes": [asdict(slope) for slope in slopes],
    }
    (REPORT_FOLDER / "report.json").write_text(json.dumps(report, indent=2))


def run_benchmarks(names: Sequence[str]) -> int:
    """Run benchmarks and write the report.

    :param names: names of the benchmarks; all if empty.
    :returns: exit status; 1 if a figure misses its target.
    """
    matplotlib.use("Agg")
    rows: list[Row] = []
    for name in names or BENCHMARKS:
        for row in BENCHMARKS[name]():
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
    raise SystemExit(run_benchmarks(sys.argv[1:]))
