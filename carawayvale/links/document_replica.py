"""Replica of the document in force, with a history of its changes."""

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
from carawayvale.links.document_messages import Sections
from carawayvale.links.document_messages import SectionText

# A peer whose revision is older than the kept changes gets all sections.
MAX_KEPT_CHANGES = 256


@dataclass(frozen=True)
class DocumentChange:
    """The difference between two consecutive revisions in force.

    :param base: revision before the change.
    :param base_digest: hash of the document before the change.
    :param titles: titles of added, changed and removed sections.
    """

    base: int
    base_digest: bytes
    titles: frozenset[str]


def find_changed_sections(old: Document, new: Document) -> frozenset[str]:
    """Find the sections that differ between two documents.

    :param old: the document before the change.
    :param new: the document after the change.
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
    """Build the message with the changes between two documents.

    :param old: the document before the change; only its revision is used.
    :param new: the document after the change.
    :param titles: titles of all sections that may differ.
    :returns: the message with the changed and removed sections.
    """
    changed = tuple(
        SectionText(title, new.sections[title].body.strip())
        for title in new.sections
        if title in titles
    )
    removed = tuple(sorted(titles - new.sections.keys()))
    return Sections(old.revision, new.revision, new.digest, changed, removed)


@dataclass
class DocumentReplica:
    """Document in force at this instance; its revision never decreases.

    :param document: the document in force.
    :param changes: the latest changes, oldest first.

    >>> replica = DocumentReplica()
    >>> replica.accept(EMPTY_DOCUMENT.with_revision(1)), replica.revision
    (True, 1)
    """

    document: Document = EMPTY_DOCUMENT
    changes: deque[DocumentChange] = field(
        default_factory=lambda: deque(maxlen=MAX_KEPT_CHANGES)
    )

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first document."""
        return self.document.revision

    def accept(self, document: Document) -> bool:
        """Put a document in force if its revision is higher.

        :param document: a validated document.
        :returns: whether the document was put in force.
        """
        old = self.document
        if document.revision <= old.revision:
            return False
        titles = find_changed_sections(old, document)
        self.changes.append(DocumentChange(old.revision, old.digest, titles))
        self.document = document
        return True

    def collect_since(self, revision: int, digest: bytes) -> Sections:
        """Collect the sections that changed since a revision.

        :param revision: revision in force at the peer.
        :param digest: hash of the document in force at the peer.
        :returns: the changed sections; all sections with base 0 if the
            history does not contain the revision.
        """
        titles: set[str] = set()
        for change in reversed(self.changes):
            titles |= change.titles
            if change.base == revision and change.base_digest == digest:
                base = EMPTY_DOCUMENT.with_revision(revision)
                changed = frozenset(titles)
                return describe_change(base, self.document, changed)
        all_titles = frozenset(self.document.sections)
        return describe_change(EMPTY_DOCUMENT, self.document, all_titles)


def apply_change(
    document: Document, change: Sections, source: str
) -> Result[Document, list[Finding]]:
    """Apply changed sections to a document and validate the result.

    :param document: the document in force.
    :param change: the changed sections.
    :param source: sender of the change, named in findings.
    :returns: the resulting document, or the findings that reject it.
    """
    if change.base not in (0, document.revision):
        message = f"change is based on revision {change.base}"
        return Error([Finding(Place(source), message)])
    base = document if change.base else EMPTY_DOCUMENT
    changed = [
        RawSection(section.title, f"\n{section.body}", 1)
        for section in change.changed
    ]
    result = merge_sections(base, changed, change.removed)
    if result.is_error():
        return result
    parsed = result.ok.with_revision(change.revision)
    if parsed.digest != change.digest:
        message = "document does not match its hash"
        return Error([Finding(Place(source), message)])
    return Ok(parsed)
