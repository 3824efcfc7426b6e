"""Rows of the table of targets, and statistics of runs."""

from collections.abc import Sequence
from dataclasses import dataclass
import statistics

LESS = "<="
MORE = ">="


@dataclass(frozen=True)
class Row:
    """A measured figure beside its target.

    :param measure: what was measured.
    :param figure: median of the runs.
    :param relation: ``<=`` or ``>=``.
    :param target: the bound.
    :param unit: unit of both.
    :param spread: least and greatest run.
    """

    measure: str
    figure: float
    relation: str
    target: float
    unit: str = ""
    spread: tuple[float, float] | None = None

    @property
    def passed(self) -> bool:
        """Whether the figure keeps its bound."""
        if self.relation == LESS:
            return self.figure <= self.target
        return self.figure >= self.target

    def format_line(self) -> str:
        """Write the row of the table."""
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
    """Make a row from several runs.

    :param measure: what was measured.
    :param figures: one figure a run.
    :param relation: ``<=`` or ``>=``.
    :param target: the bound.
    :param unit: unit of all.
    :returns: the row with the median and the spread.
    """
    spread = (min(figures), max(figures))
    median = statistics.median(figures)
    return Row(measure, median, relation, target, unit, spread)


def find_quantile(values: Sequence[float], share: float) -> float:
    """Find a quantile.

    :param values: the values.
    :param share: from 0 to 1.
    :returns: the value; not a number without values.
    """
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
