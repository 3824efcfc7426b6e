"""Edits one section of the operators' document in the store."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
import re
import secrets
import time

import curio
from expression import Error
from expression import Ok
from expression import Result

from carawayvale.contracts.document import Document
from carawayvale.contracts.document import EMPTY_DOCUMENT
from carawayvale.contracts.document import merge_sections
from carawayvale.contracts.document import RawSection
from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import Place
from carawayvale.documents.envelope import CHANGE_KEY_PREFIX
from carawayvale.documents.envelope import decode_envelope
from carawayvale.documents.envelope import DOCUMENT_KEY
from carawayvale.documents.envelope import EditRecord
from carawayvale.documents.envelope import encode_change
from carawayvale.documents.envelope import Envelope
from carawayvale.documents.envelope import KEPT_EDITS
from carawayvale.documents.store import NO_REVISION
from carawayvale.documents.store import Store
from carawayvale.documents.store import StoreUnavailable
from carawayvale.links.keeper import describe_change
from carawayvale.links.keeper import find_changed

MAX_TRIES = 20
READ_BACK_TRIES = 5
READ_BACK_PAUSE_S = 0.1
EDIT_ID_BYTES = 8


class EditStatus(Enum):
    """What became of an edit."""

    ACCEPTED = "accepted"
    INVALID = "invalid"
    CONFLICT = "conflict"
    FORBIDDEN = "forbidden"
    UNREACHABLE = "not_accepted"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Edit:
    """A change of one section.

    :param section: title of the section.
    :param team: team of the editor.
    :param values: keys and their new texts; None removes a key.
    :param body: the whole new body, or None to change single keys.
    :param remove: whether the section is removed.
    """

    section: str
    team: str
    values: Mapping[str, str | None] = field(default_factory=dict)
    body: str | None = None
    remove: bool = False


@dataclass(frozen=True)
class EditResult:
    """What became of an edit, and why.

    :param status: what became of it.
    :param revision: revision that it led to, or the one found.
    :param findings: why it was not accepted.
    :param theirs: body of the section as another editor left it.
    :param envelope: value of the document's key after acceptance.
    """

    status: EditStatus
    revision: int = 0
    findings: tuple[Finding, ...] = ()
    theirs: str = ""
    envelope: Envelope | None = None


@dataclass(frozen=True)
class Snapshot:
    """The document as read from the store."""

    envelope: Envelope
    stored_revision: int
    document: Document


def change_body(body: str, values: Mapping[str, str | None]) -> str:
    """Set or remove keys of a section's body.

    :param body: the lines below the title.
    :param values: keys and their new texts; None removes a key.
    :returns: the new body; other lines stay as they are.

    >>> change_body("a = 1\\nb = 2", {"a": "3", "b": None})
    'a = 3'
    """
    lines = body.strip().splitlines()
    for key, value in values.items():
        pattern = re.compile(rf"{re.escape(key)}\s*[=:]", re.IGNORECASE)
        places = [i for i, line in enumerate(lines) if pattern.match(line)]
        if value is None:
            lines = [x for i, x in enumerate(lines) if i not in places]
        elif places:
            lines[places[0]] = f"{key} = {value}"
        else:
            lines.append(f"{key} = {value}")
    return "\n".join(lines)


def apply_edit(
    document: Document, edit: Edit
) -> Result[Document, list[Finding]]:
    """Apply an edit to a document and check the whole.

    :param document: the document to change.
    :param edit: the change.
    :returns: the changed document, or findings.
    """
    present = document.sections.get(edit.section)
    if edit.remove:
        if present is None:
            place = Place(DOCUMENT_KEY, edit.section)
            return Error([Finding(place, "there is no such section")])
        return merge_sections(document, (), (edit.section,))
    old = present.body if present else ""
    new = old if edit.body is None else edit.body
    body = change_body(new, edit.values)
    raw = RawSection(edit.section, f"\n{body}\n", 1)
    return merge_sections(document, (raw,), ())


def find_owner(document: Document, title: str) -> str | None:
    """Find the team that owns a section.

    :param document: the document.
    :param title: title of the section.
    :returns: the team, or None if there is no such section.
    """
    section = document.sections.get(title)
    return section.value.owner if section else None


class Editor:
    """Reads, changes, checks and writes the document.

    :param store: adapter to the store.
    """

    def __init__(self, store: Store):
        self.store = store

    async def read(self) -> Snapshot:
        """Read the document.

        :returns: the document and its revisions.
        :raises StoreUnavailable: if the store does not answer.
        :raises ValueError: if the stored value is no valid document.
        """
        stored = await self.store.read(DOCUMENT_KEY)
        if stored is None:
            return Snapshot(Envelope(0, ""), NO_REVISION, EMPTY_DOCUMENT)
        envelope = decode_envelope(stored.value)
        if envelope.is_error():
            raise ValueError(str(envelope.error[0]))
        document = envelope.ok.parse(DOCUMENT_KEY)
        if document.is_error():
            raise ValueError(str(document.error[0]))
        return Snapshot(envelope.ok, stored.revision, document.ok)

    async def edit(self, edit: Edit) -> EditResult:
        """Make an edit, merging with edits of other sections.

        :param edit: the change.
        :returns: what became of it, as far as it can be known.
        """
        try:
            base = await self.read()
        except StoreUnavailable as error:
            return self._fail(EditStatus.UNREACHABLE, str(error))
        return await self.edit_from(base, edit)

    async def edit_from(self, base: Snapshot, edit: Edit) -> EditResult:
        """Make an edit of a document that was read before.

        :param base: the document that the editor saw.
        :param edit: the change.
        :returns: what became of it, as far as it can be known.
        """
        edit_id = secrets.token_hex(EDIT_ID_BYTES)
        seen = base.document.sections.get(edit.section)
        snapshot = base
        in_doubt = False
        for _ in range(MAX_TRIES):
            prepared = self._prepare(snapshot, edit, edit_id)
            if prepared.is_error():
                return prepared.error
            try:
                written = await self._write(snapshot, prepared.ok)
            except StoreUnavailable:
                in_doubt = True
                written = None
            if written is not None:
                return written
            found = await self._read_back()
            if found is None:
                return self._fail_unreachable(in_doubt)
            record = found.envelope.find_edit(edit_id)
            if record is not None:
                return _accept(record.revision, found.envelope)
            present = found.document.sections.get(edit.section)
            if _differ(seen, present):
                return self._report_conflict(found, edit)
            snapshot = found
        return self._fail_unreachable(in_doubt)

    def _fail_unreachable(self, in_doubt: bool) -> EditResult:
        if in_doubt:
            message = "the store does not answer; the edit may take effect"
            return self._fail(EditStatus.UNKNOWN, message)
        message = "the store does not answer, or too many editors write"
        return self._fail(EditStatus.UNREACHABLE, message)

    async def _read_back(self) -> Snapshot | None:
        """Read the document after a write without a clear result.

        A write that is still under way cannot take effect later without
        being seen: the next try either finds it or overtakes it with
        the same expected revision.
        """
        for number in range(READ_BACK_TRIES):
            try:
                return await self.read()
            except StoreUnavailable:
                await curio.sleep(READ_BACK_PAUSE_S * (number + 1))
        return None

    def _fail(self, status: EditStatus, message: str) -> EditResult:
        finding = Finding(Place(DOCUMENT_KEY), message)
        return EditResult(status, findings=(finding,))

    def _report_conflict(self, found: Snapshot, edit: Edit) -> EditResult:
        section = found.document.sections.get(edit.section)
        place = Place(DOCUMENT_KEY, edit.section)
        message = "another editor changed this section meanwhile"
        return EditResult(
            EditStatus.CONFLICT,
            found.envelope.revision,
            (Finding(place, message),),
            section.body.strip() if section else "",
        )

    def _prepare(
        self, snapshot: Snapshot, edit: Edit, edit_id: str
    ) -> Result["PreparedEdit", EditResult]:
        place = Place(DOCUMENT_KEY, edit.section, "owner")
        owner = find_owner(snapshot.document, edit.section)
        if owner is not None and owner != edit.team:
            finding = Finding(place, f"the section belongs to team {owner}")
            return Error(EditResult(EditStatus.FORBIDDEN, 0, (finding,)))
        changed = apply_edit(snapshot.document, edit)
        if changed.is_error():
            findings = tuple(changed.error)
            return Error(EditResult(EditStatus.INVALID, 0, findings))
        new_owner = find_owner(changed.ok, edit.section)
        if owner is None and new_owner != edit.team:
            finding = Finding(place, f"must be {edit.team}")
            return Error(EditResult(EditStatus.FORBIDDEN, 0, (finding,)))
        revision = snapshot.envelope.revision + 1
        record = EditRecord(
            edit_id, revision, edit.team, edit.section, time.time()
        )
        return Ok(PreparedEdit(changed.ok.with_revision(revision), record))

    async def _write(
        self, snapshot: Snapshot, prepared: "PreparedEdit"
    ) -> EditResult | None:
        """Write once; None means that another editor was faster."""
        document = prepared.document
        edits = (*snapshot.envelope.edits, prepared.record)[-KEPT_EDITS:]
        envelope = Envelope(document.revision, document.text, edits)
        written = await self.store.write(
            DOCUMENT_KEY, envelope.encode(), snapshot.stored_revision
        )
        if not written.written:
            return None
        titles = find_changed(snapshot.document, document)
        change = describe_change(snapshot.document, document, titles)
        await self._write_change(encode_change(change), document.revision)
        return _accept(document.revision, envelope)

    async def _write_change(self, value: str, revision: int) -> None:
        """Write the step; watchers read the whole without it."""
        key = f"{CHANGE_KEY_PREFIX}{revision}"
        try:
            await self.store.write(key, value, NO_REVISION)
        except StoreUnavailable:
            return


@dataclass(frozen=True)
class PreparedEdit:
    """A checked document and the record of the edit that made it."""

    document: Document
    record: EditRecord


def _accept(revision: int, envelope: Envelope) -> EditResult:
    return EditResult(EditStatus.ACCEPTED, revision, envelope=envelope)


def _differ(seen: object, present: object) -> bool:
    if seen is None or present is None:
        return seen is not present
    return seen.digest != present.digest
