"""Findings: errors in an input and their places."""

from collections.abc import Iterable
from dataclasses import dataclass

NO_LINE = 0


@dataclass(frozen=True, order=True)
class Place:
    """The place in an input that a finding refers to.

    :param source: name of the input, such as a file name or a key in
        the store.
    :param section: section of the input, or an empty string.
    :param key: key in the section, or an empty string.
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
    """One error in an input.

    :param place: place of the error.
    :param message: what is wrong and what is allowed.

    >>> str(Finding(Place("a.ini", "rank:urgent", "order", 3), "too low"))
    'a.ini: 3: [rank:urgent] order: too low'
    """

    place: Place
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class InvalidInput(ValueError):
    """Raised for an invalid input, with all its findings.

    :param findings: the findings, in any order.
    """

    def __init__(self, findings: Iterable[Finding]):
        self.findings = tuple(sorted(findings))
        super().__init__("\n".join(str(f) for f in self.findings))
