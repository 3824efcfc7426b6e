"""Edits of document sections in the store by compare-and-swap."""

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
from carawayvale.documents.envelope import MAX_EDIT_RECORDS
from carawayvale.documents.store import NO_REVISION
from carawayvale.documents.store import Store
from carawayvale.documents.store import StoreUnavailable
from carawayvale.links.document_replica import describe_change
from carawayvale.links.document_replica import find_changed_sections

MAX_WRITE_ATTEMPTS = 20
READ_BACK_ATTEMPTS = 5
READ_BACK_PAUSE_S = 0.1
EDIT_ID_BYTES = 8


class EditStatus(Enum):
    """Outcome of an edit.

    ``NOT_ACCEPTED`` means that the edit has not taken effect, ``UNKNOWN``
    that it may take effect.
    """

    ACCEPTED = "accepted"
    INVALID = "invalid"
    CONFLICT = "conflict"
    FORBIDDEN = "forbidden"
    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Edit:
    """An edit of one section.

    :param section: title of the section.
    :param team: team of the editor.
    :param values: new texts by key; None removes the key.
    :param body: new body that replaces the section's body, or None to
        change single keys.
    :param remove: whether to remove the section.
    """

    section: str
    team: str
    values: Mapping[str, str | None] = field(default_factory=dict)
    body: str | None = None
    remove: bool = False


@dataclass(frozen=True)
class EditResult:
    """Outcome of an edit and the reasons of a rejection.

    :param status: outcome of the edit.
    :param revision: document revision that the edit produced, or the
        current revision after a conflict; else 0.
    :param findings: reasons for which the edit was not accepted.
    :param current_body: current body of the section after a conflict.
    :param envelope: value of the document's key after acceptance.
    """

    status: EditStatus
    revision: int = 0
    findings: tuple[Finding, ...] = ()
    current_body: str = ""
    envelope: Envelope | None = None


@dataclass(frozen=True)
class Snapshot:
    """The document as read from the store.

    :param envelope: decoded value of the document's key.
    :param key_revision: revision of the document's key.
    :param document: parsed document.
    """

    envelope: Envelope
    key_revision: int
    document: Document


def change_body(body: str, values: Mapping[str, str | None]) -> str:
    """Set or remove keys in the body of a section.

    :param body: lines below the title.
    :param values: new texts by key; None removes the key.
    :returns: new body; the other lines are unchanged.

    >>> change_body("a = 1\\nb = 2", {"a": "3", "b": None})
    'a = 3'
    """
    lines = body.strip().splitlines()
    for key, value in values.items():
        pattern = re.compile(rf"{re.escape(key)}\s*[=:]", re.IGNORECASE)
        matches = [i for i, line in enumerate(lines) if pattern.match(line)]
        if value is None:
            lines = [x for i, x in enumerate(lines) if i not in matches]
        elif matches:
            lines[matches[0]] = f"{key} = {value}"
        else:
            lines.append(f"{key} = {value}")
    return "\n".join(lines)


def apply_edit(
    document: Document, edit: Edit
) -> Result[Document, list[Finding]]:
    """Apply an edit to a document and validate the whole document.

    :param document: document to edit.
    :param edit: edit of one section.
    :returns: edited document, or findings.
    """
    section = document.sections.get(edit.section)
    if edit.remove:
        if section is None:
            place = Place(DOCUMENT_KEY, edit.section)
            return Error([Finding(place, "section does not exist")])
        return merge_sections(document, (), (edit.section,))
    old_body = section.body if section else ""
    new_body = old_body if edit.body is None else edit.body
    body = change_body(new_body, edit.values)
    raw = RawSection(edit.section, f"\n{body}\n", 1)
    return merge_sections(document, (raw,), ())


def find_owner(document: Document, title: str) -> str | None:
    """Find the team that owns a section.

    :param document: document with the section.
    :param title: title of the section.
    :returns: name of the team, or None if the section does not exist.
    """
    section = document.sections.get(title)
    return section.value.owner if section else None


class Editor:
    """Editor of the document in the store, with optimistic concurrency.

    :param store: adapter to the store.
    """

    def __init__(self, store: Store):
        self.store = store

    async def read(self) -> Snapshot:
        """Read the document.

        :returns: document and its revisions.
        :raises StoreUnavailable: if the store does not respond.
        :raises ValueError: if the stored value is not a valid document.
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
        """Apply an edit to the current document in the store.

        The edit is merged with concurrent edits of other sections.

        :param edit: edit of one section.
        :returns: outcome of the edit; ``UNKNOWN`` if it cannot be
            determined.
        """
        try:
            base = await self.read()
        except StoreUnavailable as error:
            return self._make_failure(EditStatus.NOT_ACCEPTED, str(error))
        return await self.edit_from(base, edit)

    async def edit_from(self, base: Snapshot, edit: Edit) -> EditResult:
        """Apply an edit that is based on a document read before.

        The edit conflicts if its section has changed since the base.

        :param base: document that the edit is based on.
        :param edit: edit of one section.
        :returns: outcome of the edit; ``UNKNOWN`` if it cannot be
            determined.
        """
        edit_id = secrets.token_hex(EDIT_ID_BYTES)
        base_section = base.document.sections.get(edit.section)
        snapshot = base
        has_unconfirmed_write = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            prepared = self._prepare(snapshot, edit, edit_id)
            if prepared.is_error():
                return prepared.error
            try:
                accepted = await self._write(snapshot, prepared.ok)
            except StoreUnavailable:
                has_unconfirmed_write = True
                accepted = None
            if accepted is not None:
                return accepted
            current = await self._read_back()
            if current is None:
                return self._report_unavailable(has_unconfirmed_write)
            record = current.envelope.find_edit(edit_id)
            if record is not None:
                return _make_accepted(record.revision, current.envelope)
            current_section = current.document.sections.get(edit.section)
            if _differ(base_section, current_section):
                return self._report_conflict(current, edit)
            snapshot = current
        return self._report_unavailable(has_unconfirmed_write)

    def _report_unavailable(self, has_unconfirmed_write: bool) -> EditResult:
        if has_unconfirmed_write:
            message = "the store does not respond; the edit may take effect"
            return self._make_failure(EditStatus.UNKNOWN, message)
        message = "the store does not respond, or too many concurrent edits"
        return self._make_failure(EditStatus.NOT_ACCEPTED, message)

    async def _read_back(self) -> Snapshot | None:
        """Read the document after a failed or unconfirmed write.

        A write in flight cannot take effect unnoticed. The next attempt
        either finds the edit in the document, or writes first with the
        same expected revision, which makes the pending write fail.

        :returns: current document, or None if the store does not respond.
        """
        for attempt in range(READ_BACK_ATTEMPTS):
            try:
                return await self.read()
            except StoreUnavailable:
                await curio.sleep(READ_BACK_PAUSE_S * (attempt + 1))
        return None

    def _make_failure(self, status: EditStatus, message: str) -> EditResult:
        finding = Finding(Place(DOCUMENT_KEY), message)
        return EditResult(status, findings=(finding,))

    def _report_conflict(self, current: Snapshot, edit: Edit) -> EditResult:
        section = current.document.sections.get(edit.section)
        place = Place(DOCUMENT_KEY, edit.section)
        message = "another editor changed this section meanwhile"
        return EditResult(
            EditStatus.CONFLICT,
            current.envelope.revision,
            (Finding(place, message),),
            section.body.strip() if section else "",
        )

    def _prepare(
        self, snapshot: Snapshot, edit: Edit, edit_id: str
    ) -> Result["PreparedEdit", EditResult]:
        """Apply an edit and check that the team may edit the section."""
        place = Place(DOCUMENT_KEY, edit.section, "owner")
        owner = find_owner(snapshot.document, edit.section)
        if owner is not None and owner != edit.team:
            finding = Finding(place, f"the section belongs to team {owner}")
            return Error(EditResult(EditStatus.FORBIDDEN, 0, (finding,)))
        edited = apply_edit(snapshot.document, edit)
        if edited.is_error():
            findings = tuple(edited.error)
            return Error(EditResult(EditStatus.INVALID, 0, findings))
        new_owner = find_owner(edited.ok, edit.section)
        if owner is None and new_owner != edit.team:
            finding = Finding(place, f"must be {edit.team}")
            return Error(EditResult(EditStatus.FORBIDDEN, 0, (finding,)))
        revision = snapshot.envelope.find_next_revision(snapshot.key_revision)
        record = EditRecord(
            edit_id, revision, edit.team, edit.section, time.time()
        )
        return Ok(PreparedEdit(edited.ok.with_revision(revision), record))

    async def _write(
        self, snapshot: Snapshot, prepared: "PreparedEdit"
    ) -> EditResult | None:
        """Write the edited document and its change.

        :returns: accepted result, or None if the key's revision has
            changed since the snapshot.
        :raises StoreUnavailable: if the store does not respond.
        """
        document = prepared.document
        edits = (*snapshot.envelope.edits, prepared.record)[-MAX_EDIT_RECORDS:]
        envelope = Envelope(document.revision, document.text, edits)
        result = await self.store.write(
            DOCUMENT_KEY, envelope.encode(), snapshot.key_revision
        )
        if not result.written:
            return None
        titles = find_changed_sections(snapshot.document, document)
        change = describe_change(snapshot.document, document, titles)
        await self._write_change(encode_change(change), document.revision)
        return _make_accepted(document.revision, envelope)

    async def _write_change(self, value: str, revision: int) -> None:
        """Write the change between two document revisions.

        A failure is ignored: without the change, instances read the whole
        document.
        """
        key = f"{CHANGE_KEY_PREFIX}{revision}"
        try:
            await self.store.write(key, value, NO_REVISION)
        except StoreUnavailable:
            return


@dataclass(frozen=True)
class PreparedEdit:
    """A valid edited document and the record of its edit.

    :param document: edited document with its new revision.
    :param record: record of the edit.
    """

    document: Document
    record: EditRecord


def _make_accepted(revision: int, envelope: Envelope) -> EditResult:
    return EditResult(EditStatus.ACCEPTED, revision, envelope=envelope)


def _differ(base: object, current: object) -> bool:
    if base is None or current is None:
        return base is not current
    return base.digest != current.digest
