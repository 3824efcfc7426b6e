"""Rows of the benchmark report and statistics of repeated runs."""

from collections.abc import Sequence
from dataclasses import dataclass
import statistics

AT_MOST = "<="
AT_LEAST = ">="


@dataclass(frozen=True)
class Row:
    """Measured figure with its target.

    :param measure: name of the measure.
    :param figure: median of the runs.
    :param relation: required relation of the figure to the target,
        ``<=`` or ``>=``.
    :param target: the target.
    :param unit: unit of the figure and the target.
    :param spread: least and greatest figure of the runs.
    """

    measure: str
    figure: float
    relation: str
    target: float
    unit: str = ""
    spread: tuple[float, float] | None = None

    @property
    def passed(self) -> bool:
        """Whether the figure meets its target."""
        if self.relation == AT_MOST:
            return self.figure <= self.target
        return self.figure >= self.target

    def format_line(self) -> str:
        """Format the row as a line of a text table."""
        low, high = self.spread or (self.figure, self.figure)
        verdict = "pass" if self.passed else "FAIL"
        return (
            f"{self.measure:<58} {self.figure:>10.4g} "
            f"[{low:.4g} .. {high:.4g}] {self.relation} "
            f"{self.target:<8.4g} {self.unit:<12} {verdict}"
        )


def make_row(
    measure: str,
    figures: Sequence[float],
    relation: str,
    target: float,
    unit: str = "",
) -> Row:
    """Create a row from the figures of several runs.

    :param measure: name of the measure.
    :param figures: one figure for each run.
    :param relation: required relation of the figure to the target,
        ``<=`` or ``>=``.
    :param target: the target.
    :param unit: unit of the figures and the target.
    :returns: the row with the median and the spread of the runs.
    """
    spread = (min(figures), max(figures))
    median = statistics.median(figures)
    return Row(measure, median, relation, target, unit, spread)


def compute_quantile(values: Sequence[float], fraction: float) -> float:
    """Compute a quantile without interpolation.

    :param values: the values.
    :param fraction: fraction of the values below the quantile, from 0
        to 1.
    :returns: the quantile; NaN if there are no values.
    """
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
