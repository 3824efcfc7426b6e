"""Keeps the revision in force and what led to it."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

from expression import Error
from expression import Ok
from expression import Result

from carawayvale.contracts.document import Document
from carawayvale.contracts.document import EMPTY_DOCUMENT
from carawayvale.contracts.document import merge_sections
from carawayvale.contracts.document import RawSection
from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import Place
from carawayvale.links.messages import Sections
from carawayvale.links.messages import SectionText

KEPT_CHANGES = 256


@dataclass(frozen=True)
class Change:
    """The step from one revision in force to the next.

    :param base: revision before.
    :param base_digest: hash of the document before.
    :param titles: sections that were added, changed or removed.
    """

    base: int
    base_digest: bytes
    titles: frozenset[str]


def find_changed(old: Document, new: Document) -> frozenset[str]:
    """Find the sections that differ between two documents.

    :param old: a document.
    :param new: another document.
    :returns: titles of added, changed and removed sections.
    """
    titles = old.sections.keys() ^ new.sections.keys()
    return frozenset(titles).union(
        title
        for title, section in new.sections.items()
        if title in old.sections
        and section is not old.sections[title]
        and section.digest != old.sections[title].digest
    )


def describe_change(
    old: Document, new: Document, titles: frozenset[str]
) -> Sections:
    """Describe the step between two documents.

    :param old: the document before.
    :param new: the document after.
    :param titles: sections that may differ.
    :returns: the message that carries the step.
    """
    changed = tuple(
        SectionText(title, new.sections[title].body.strip())
        for title in new.sections
        if title in titles
    )
    removed = tuple(sorted(titles - new.sections.keys()))
    return Sections(old.revision, new.revision, new.digest, changed, removed)


@dataclass
class DocumentKeeper:
    """Holds the document in force; its revision only grows.

    :param document: the document in force.
    :param changes: the newest steps, oldest first.

    >>> keeper = DocumentKeeper()
    >>> keeper.accept(EMPTY_DOCUMENT.with_revision(1)), keeper.revision
    (True, 1)
    """

    document: Document = EMPTY_DOCUMENT
    changes: deque[Change] = field(
        default_factory=lambda: deque(maxlen=KEPT_CHANGES)
    )

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first document."""
        return self.document.revision

    def accept(self, document: Document) -> bool:
        """Put a document in force if its revision is higher.

        :param document: a valid document.
        :returns: whether it is in force now.
        """
        old = self.document
        if document.revision <= old.revision:
            return False
        titles = find_changed(old, document)
        self.changes.append(Change(old.revision, old.digest, titles))
        self.document = document
        return True

    def collect_since(self, revision: int, digest: bytes) -> Sections:
        """Collect what changed since a revision.

        :param revision: revision that the peer holds.
        :param digest: hash of the document that it holds.
        :returns: the changed sections; all of them with base 0 if the
            step is not known.
        """
        titles: set[str] = set()
        for change in reversed(self.changes):
            titles |= change.titles
            if change.base == revision and change.base_digest == digest:
                base = EMPTY_DOCUMENT.with_revision(revision)
                listed = frozenset(titles)
                return describe_change(base, self.document, listed)
        listed = frozenset(self.document.sections)
        return describe_change(EMPTY_DOCUMENT, self.document, listed)


def apply_change(
    document: Document, change: Sections, source: str
) -> Result[Document, list[Finding]]:
    """Apply changed sections to a document and check the result.

    :param document: the document in force.
    :param change: the changed sections.
    :param source: who sent them.
    :returns: the resulting document, or findings.
    """
    if change.base not in (0, document.revision):
        message = f"change is based on revision {change.base}"
        return Error([Finding(Place(source), message)])
    known = document if change.base else EMPTY_DOCUMENT
    changed = [
        RawSection(section.title, f"\n{section.body}", 1)
        for section in change.changed
    ]
    result = merge_sections(known, changed, change.removed)
    if result.is_error():
        return result
    parsed = result.ok.with_revision(change.revision)
    if parsed.digest != change.digest:
        message = "document does not match its hash"
        return Error([Finding(Place(source), message)])
    return Ok(parsed)
