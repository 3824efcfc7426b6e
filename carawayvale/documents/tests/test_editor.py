"""Tests of edits that race, fail and lose their answers."""

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

TEXT = """\
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
GRIDS = Edit("service:grids", "grids", {"timeout_s": "4"})
CLUES = Edit("service:clues", "clues", {"timeout_s": "5"})


def make_editor():
    """Make an editor of a store with a document."""
    store = MemoryStore(Address("127.0.0.1", 0))
    store.state.write(DOCUMENT_KEY, Envelope(1, TEXT).encode(), 0)
    return Editor(store)


def read_service(editor, name):
    """Read a service from the stored document."""
    document = curio.run(editor.read).document
    return document.by_kind["service"][name]


class TestEdit:
    def test_accepted_edit_changes_one_section(self):
        editor = make_editor()
        result = curio.run(editor.edit, GRIDS)
        assert (result.status, result.revision) == (EditStatus.ACCEPTED, 2)
        assert read_service(editor, "grids").timeout_s == 4
        assert read_service(editor, "clues").timeout_s == 10

    def test_step_in_the_store_leads_to_the_new_revision(self):
        editor = make_editor()
        before = curio.run(editor.read).document
        curio.run(editor.edit, GRIDS)
        step = decode_change(editor.store.state.read("change/2").value)
        after = apply_change(before, step, "store").ok
        assert after.digest == curio.run(editor.read).document.digest

    def test_other_team_is_refused(self):
        editor = make_editor()
        edit = Edit("service:grids", "clues", {"timeout_s": "4"})
        result = curio.run(editor.edit, edit)
        assert result.status is EditStatus.FORBIDDEN
        assert "belongs to team grids" in str(result.findings[0])

    def test_new_section_must_belong_to_its_editor(self):
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


class TestRaces:
    def test_edits_of_different_sections_are_both_kept(self):
        editor = make_editor()
        base = curio.run(editor.read)
        first = curio.run(editor.edit_from, base, GRIDS)
        second = curio.run(editor.edit_from, base, CLUES)
        assert first.status is second.status is EditStatus.ACCEPTED
        assert read_service(editor, "grids").timeout_s == 4
        assert read_service(editor, "clues").timeout_s == 5

    def test_edits_of_one_section_conflict_and_nothing_is_lost(self):
        editor = make_editor()
        base = curio.run(editor.read)
        first = curio.run(editor.edit_from, base, GRIDS)
        other = Edit("service:grids", "grids", {"timeout_s": "9"})
        second = curio.run(editor.edit_from, base, other)
        assert first.status is EditStatus.ACCEPTED
        assert second.status is EditStatus.CONFLICT
        assert "timeout_s = 4" in second.current_body
        assert read_service(editor, "grids").timeout_s == 4


class TestFailures:
    def test_lost_answer_is_found_by_reading_back(self):
        editor = make_editor()
        editor.store.loses_responses = True
        result = curio.run(editor.edit, GRIDS)
        assert (result.status, result.revision) == (EditStatus.ACCEPTED, 2)
        assert curio.run(editor.read).envelope.revision == 2

    def test_store_down_before_the_edit_means_not_accepted(self):
        editor = make_editor()
        editor.store.is_down = True
        result = curio.run(editor.edit, GRIDS)
        assert result.status is EditStatus.NOT_ACCEPTED

    @pytest.mark.parametrize("written", [True, False])
    def test_store_that_stays_away_means_unknown(self, written):
        editor = make_editor()
        base = curio.run(editor.read)
        cells_write = editor.store.state.write

        def fail(*args):
            editor.store.is_down = True
            if written:
                cells_write(*args)
            return editor.store._check_available()

        editor.store.state.write = fail
        result = curio.run(editor.edit_from, base, GRIDS)
        assert result.status is EditStatus.UNKNOWN

    def test_write_that_did_not_take_effect_is_made_again(self):
        editor = make_editor()
        cells_write = editor.store.state.write
        calls = []

        def fail_once(*args):
            calls.append(args)
            if len(calls) == 1:
                editor.store.is_down = True
                try:
                    editor.store._check_available()
                finally:
                    editor.store.is_down = False
            return cells_write(*args)

        editor.store.state.write = fail_once
        result = curio.run(editor.edit, GRIDS)
        assert result.status is EditStatus.ACCEPTED
        assert read_service(editor, "grids").timeout_s == 4
