"""Tests of concurrent edits, failed edits and lost responses."""

import curio
import pytest

from carawayvale.contracts import Address
from carawayvale.documents import decode_change
from carawayvale.documents import Edit
from carawayvale.documents import Editor
from carawayvale.documents import EditStatus
from carawayvale.documents import Envelope
from carawayvale.documents.envelope import DOCUMENT_KEY
from carawayvale.documents import MemoryStore
from carawayvale.links import apply_change

DOCUMENT_TEXT = """\
[rank:urgent]
owner = priorities
order = 1
max_wait_s = 1

[service:grids]
owner = grids
rank = urgent

[service:clues]
owner = clues
rank = urgent
"""
GRIDS_EDIT = Edit("service:grids", "grids", {"timeout_s": "4"})
CLUES_EDIT = Edit("service:clues", "clues", {"timeout_s": "5"})


def make_editor():
    """Make an editor of a store that holds a document."""
    store = MemoryStore(Address("127.0.0.1", 0))
    store.state.write(DOCUMENT_KEY, Envelope(1, DOCUMENT_TEXT).encode(), 0)
    return Editor(store)


def read_service(editor, name):
    """Read a service section from the stored document."""
    document = curio.run(editor.read).document
    return document.by_kind["service"][name]


class TestEdit:
    def test_accepted_edit_changes_one_section(self):
        editor = make_editor()
        result = curio.run(editor.edit, GRIDS_EDIT)
        assert (result.status, result.revision) == (EditStatus.ACCEPTED, 2)
        assert read_service(editor, "grids").timeout_s == 4
        assert read_service(editor, "clues").timeout_s == 10

    def test_stored_change_produces_the_new_revision(self):
        editor = make_editor()
        before = curio.run(editor.read).document
        curio.run(editor.edit, GRIDS_EDIT)
        change = decode_change(editor.store.state.read("change/2").value)
        after = apply_change(before, change, "store").ok
        assert after.digest == curio.run(editor.read).document.digest

    def test_edit_by_another_team_is_forbidden(self):
        editor = make_editor()
        edit = Edit("service:grids", "clues", {"timeout_s": "4"})
        result = curio.run(editor.edit, edit)
        assert result.status is EditStatus.FORBIDDEN
        assert "belongs to team grids" in str(result.findings[0])

    def test_new_section_must_be_owned_by_the_team_of_the_edit(self):
        editor = make_editor()
        body = "owner = other\nrank = urgent"
        edit = Edit("service:new", "grids", body=body)
        assert curio.run(editor.edit, edit).status is EditStatus.FORBIDDEN

    def test_invalid_edit_lists_all_findings_and_writes_nothing(self):
        editor = make_editor()
        values = {"timeout_s": "soon", "colour": "red"}
        edit = Edit("service:grids", "grids", values)
        result = curio.run(editor.edit, edit)
        assert result.status is EditStatus.INVALID
        assert len(result.findings) == 2
        assert curio.run(editor.read).envelope.revision == 1

    def test_section_in_use_cannot_be_removed(self):
        editor = make_editor()
        edit = Edit("rank:urgent", "priorities", remove=True)
        result = curio.run(editor.edit, edit)
        assert result.status is EditStatus.INVALID
        assert len(result.findings) == 2


class TestConcurrentEdits:
    def test_concurrent_edits_of_different_sections_are_both_accepted(self):
        editor = make_editor()
        base = curio.run(editor.read)
        first = curio.run(editor.edit_from, base, GRIDS_EDIT)
        second = curio.run(editor.edit_from, base, CLUES_EDIT)
        assert first.status is second.status is EditStatus.ACCEPTED
        assert read_service(editor, "grids").timeout_s == 4
        assert read_service(editor, "clues").timeout_s == 5

    def test_second_edit_of_a_section_conflicts_and_keeps_the_first(self):
        editor = make_editor()
        base = curio.run(editor.read)
        first = curio.run(editor.edit_from, base, GRIDS_EDIT)
        other_edit = Edit("service:grids", "grids", {"timeout_s": "9"})
        second = curio.run(editor.edit_from, base, other_edit)
        assert first.status is EditStatus.ACCEPTED
        assert second.status is EditStatus.CONFLICT
        assert "timeout_s = 4" in second.current_body
        assert read_service(editor, "grids").timeout_s == 4


class TestStoreFailures:
    def test_edit_with_a_lost_response_is_found_by_reading_back(self):
        editor = make_editor()
        editor.store.loses_responses = True
        result = curio.run(editor.edit, GRIDS_EDIT)
        assert (result.status, result.revision) == (EditStatus.ACCEPTED, 2)
        assert curio.run(editor.read).envelope.revision == 2

    def test_edit_is_not_accepted_if_the_store_is_down_at_its_start(self):
        editor = make_editor()
        editor.store.is_down = True
        result = curio.run(editor.edit, GRIDS_EDIT)
        assert result.status is EditStatus.NOT_ACCEPTED

    @pytest.mark.parametrize("written", [True, False])
    def test_outcome_is_unknown_if_the_store_fails_during_the_write(
        self, written
    ):
        editor = make_editor()
        base = curio.run(editor.read)
        write = editor.store.state.write

        def fail(*args):
            editor.store.is_down = True
            if written:
                write(*args)
            return editor.store._check_available()

        editor.store.state.write = fail
        result = curio.run(editor.edit_from, base, GRIDS_EDIT)
        assert result.status is EditStatus.UNKNOWN

    def test_write_that_did_not_take_effect_is_retried(self):
        editor = make_editor()
        write = editor.store.state.write
        calls = []

        def fail_once(*args):
            calls.append(args)
            if len(calls) == 1:
                editor.store.is_down = True
                try:
                    editor.store._check_available()
                finally:
                    editor.store.is_down = False
            return write(*args)

        editor.store.state.write = fail_once
        result = curio.run(editor.edit, GRIDS_EDIT)
        assert result.status is EditStatus.ACCEPTED
        assert read_service(editor, "grids").timeout_s == 4
