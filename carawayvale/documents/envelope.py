"""How the operators' document is kept in the platform's store."""

from dataclasses import asdict
from dataclasses import dataclass
import json

from expression import Error
from expression import Ok
from expression import Result

from carawayvale.contracts.document import Document
from carawayvale.contracts.document import EMPTY_DOCUMENT
from carawayvale.contracts.document import parse_document
from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import Place
from carawayvale.links.messages import Sections
from carawayvale.links.messages import SectionText

DOCUMENT_KEY = "document"
CHANGE_KEY_PREFIX = "change/"
KEPT_EDITS = 64


@dataclass(frozen=True)
class EditRecord:
    """An accepted edit.

    :param edit_id: random id of the edit.
    :param revision: revision that it led to.
    :param team: who made it.
    :param section: title of the section.
    :param time_s: wall clock of the editor.
    """

    edit_id: str
    revision: int
    team: str
    section: str
    time_s: float


@dataclass(frozen=True)
class Envelope:
    """The value under the document's key.

    :param revision: number of accepted changes.
    :param text: the document as INI text.
    :param edits: the newest edits, oldest first.
    """

    revision: int
    text: str
    edits: tuple[EditRecord, ...] = ()

    def encode(self) -> str:
        """Encode the envelope.

        :returns: JSON text.
        """
        return json.dumps(asdict(self))

    def find_edit(self, edit_id: str) -> EditRecord | None:
        """Find an edit that was accepted lately.

        :param edit_id: its id.
        :returns: its record, or None.
        """
        for edit in self.edits:
            if edit.edit_id == edit_id:
                return edit
        return None

    def parse(
        self, source: str, known: Document = EMPTY_DOCUMENT
    ) -> Result[Document, list[Finding]]:
        """Parse the document.

        :param source: name of the text for findings.
        :param known: a document parsed earlier.
        :returns: the document with its revision, or findings.
        """
        parsed = parse_document(self.text, source, known)
        return parsed.map(lambda found: found.with_revision(self.revision))


def decode_envelope(text: str) -> Result[Envelope, list[Finding]]:
    """Decode a value from the store.

    :param text: JSON text.
    :returns: the envelope, or findings.
    """
    try:
        parts = json.loads(text)
        edits = tuple(EditRecord(**item) for item in parts["edits"])
        return Ok(Envelope(int(parts["revision"]), parts["text"], edits))
    except (ValueError, KeyError, TypeError) as error:
        message = f"value is no document: {error}"
        return Error([Finding(Place(DOCUMENT_KEY), message)])


def encode_change(change: Sections) -> str:
    """Encode the step between two revisions for the store.

    :param change: the step.
    :returns: JSON text.
    """
    return json.dumps(
        {
            "base": change.base,
            "revision": change.revision,
            "digest": change.digest.hex(),
            "changed": {s.title: s.body for s in change.changed},
            "removed": list(change.removed),
        }
    )


def decode_change(text: str) -> Sections | None:
    """Decode the step between two revisions.

    :param text: JSON text.
    :returns: the step, or None if the value is malformed.
    """
    try:
        parts = json.loads(text)
        changed = tuple(
            SectionText(title, body)
            for title, body in parts["changed"].items()
        )
        return Sections(
            parts["base"],
            parts["revision"],
            bytes.fromhex(parts["digest"]),
            changed,
            tuple(parts["removed"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
