"""Encoding of the operators' document and its changes in the store."""

from dataclasses import asdict
from dataclasses import dataclass
import json

from expression import Error
from expression import Ok
from expression import Result

from carawayvale.catalogue.position import find_epoch
from carawayvale.catalogue.position import StorePosition
from carawayvale.catalogue.position import unpack_position
from carawayvale.contracts.document import Document
from carawayvale.contracts.document import EMPTY_DOCUMENT
from carawayvale.contracts.document import parse_document
from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import Place
from carawayvale.links.document_messages import Sections
from carawayvale.links.document_messages import SectionText

DOCUMENT_KEY = "document"
CHANGE_KEY_PREFIX = "change/"
MAX_EDIT_RECORDS = 64


@dataclass(frozen=True)
class EditRecord:
    """Record of an accepted edit.

    :param edit_id: random id of the edit.
    :param revision: document revision that the edit produced.
    :param team: team that made the edit.
    :param section: title of the edited section.
    :param time_s: Unix time of the edit by the editor's clock.
    """

    edit_id: str
    revision: int
    team: str
    section: str
    time_s: float


@dataclass(frozen=True)
class Envelope:
    """Value of the document's key in the store.

    :param revision: document revision: the number of accepted changes and
        the epoch of the store, as a packed position.
    :param text: document as INI text.
    :param edits: records of the newest edits, oldest first.
    """

    revision: int
    text: str
    edits: tuple[EditRecord, ...] = ()

    def encode(self) -> str:
        """Encode the envelope as JSON.

        :returns: JSON text.
        """
        return json.dumps(asdict(self))

    def find_next_revision(self, key_revision: int) -> int:
        """Find the document revision of the next accepted change.

        It is higher than that of a change which the store has lost with a
        return from a copy.

        :param key_revision: revision of the document's key.
        :returns: the document revision.
        """
        count = unpack_position(self.revision).revision + 1
        return StorePosition(find_epoch(key_revision), count).pack()

    def find_edit(self, edit_id: str) -> EditRecord | None:
        """Find the record of a recent edit.

        :param edit_id: id of the edit.
        :returns: record of the edit, or None if it is not among the
            newest edits.
        """
        for edit in self.edits:
            if edit.edit_id == edit_id:
                return edit
        return None

    def parse(
        self, source: str, previous: Document = EMPTY_DOCUMENT
    ) -> Result[Document, list[Finding]]:
        """Parse the document and give it the envelope's revision.

        :param source: name of the text in findings.
        :param previous: document parsed before; its unchanged sections
            are reused.
        :returns: document with the envelope's revision, or findings.
        """
        parsed = parse_document(self.text, source, previous)
        return parsed.map(
            lambda document: document.with_revision(self.revision)
        )


def decode_envelope(text: str) -> Result[Envelope, list[Finding]]:
    """Decode an envelope from JSON.

    :param text: JSON text.
    :returns: envelope, or findings if the text is malformed.
    """
    try:
        fields = json.loads(text)
        edits = tuple(EditRecord(**item) for item in fields["edits"])
        return Ok(Envelope(int(fields["revision"]), fields["text"], edits))
    except (ValueError, KeyError, TypeError) as error:
        message = f"value is no document: {error}"
        return Error([Finding(Place(DOCUMENT_KEY), message)])


def encode_change(change: Sections) -> str:
    """Encode the change between two document revisions as JSON.

    :param change: changed and removed sections.
    :returns: JSON text.
    """
    return json.dumps(
        {
            "base": change.base,
            "revision": change.revision,
            "digest": change.digest.hex(),
            "changed": {
                section.title: section.body for section in change.changed
            },
            "removed": list(change.removed),
        }
    )


def decode_change(text: str) -> Sections | None:
    """Decode the change between two document revisions from JSON.

    :param text: JSON text.
    :returns: changed and removed sections, or None if the text is
        malformed.
    """
    try:
        fields = json.loads(text)
        changed = tuple(
            SectionText(title, body)
            for title, body in fields["changed"].items()
        )
        return Sections(
            fields["base"],
            fields["revision"],
            bytes.fromhex(fields["digest"]),
            changed,
            tuple(fields["removed"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
