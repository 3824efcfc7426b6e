"""Findings: what is wrong with an input, and where."""

from collections.abc import Iterable
from dataclasses import dataclass

NO_LINE = 0


@dataclass(frozen=True, order=True)
class Place:
    """Where in an input a finding lies.

    :param source: file name, key or other name of the whole input.
    :param section: section of the input, or an empty string.
    :param key: key within the section, or an empty string.
    :param line: line number from 1, or ``NO_LINE``.
    """

    source: str
    section: str = ""
    key: str = ""
    line: int = NO_LINE

    def __str__(self) -> str:
        parts = [self.source]
        if self.line != NO_LINE:
            parts.append(str(self.line))
        name = f"[{self.section}]" if self.section else ""
        name += f" {self.key}" if self.key else ""
        if name:
            parts.append(name)
        return ": ".join(parts)


@dataclass(frozen=True, order=True)
class Finding:
    """One fault of an input.

    :param place: where the fault lies.
    :param message: what is wrong and what is allowed.

    >>> str(Finding(Place("a.ini", "rank:urgent", "order", 3), "too low"))
    'a.ini: 3: [rank:urgent] order: too low'
    """

    place: Place
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class InvalidInput(ValueError):
    """Carries every finding of one input.

    :param findings: the findings, in any order.
    """

    def __init__(self, findings: Iterable[Finding]):
        self.findings = tuple(sorted(findings))
        super().__init__("\n".join(str(f) for f in self.findings))
