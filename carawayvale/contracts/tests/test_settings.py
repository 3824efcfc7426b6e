"""Tests of the settings of a process."""

import pytest

from carawayvale.contracts import format_settings
from carawayvale.contracts import InvalidInput
from carawayvale.contracts import load_key
from carawayvale.contracts import load_settings
from carawayvale.contracts import parse_settings

ENTRY = """\
[entry]
name = zurich-1
region = zurich
domain = zurich-a
callers = 127.0.0.1:1
peers = 127.0.0.1:2
operators = 127.0.0.1:3
store = 127.0.0.1:4
"""


class TestParseSettings:
    def test_all_findings_are_reported_with_their_lines(self):
        text = ENTRY.replace("127.0.0.1:2", "localhost:2") + "colour = red\n"
        with pytest.raises(InvalidInput) as caught:
            parse_settings(text, "e.ini", "entry")
        lines = [str(finding) for finding in caught.value.findings]
        assert lines[0].startswith("e.ini: 9: [entry] colour: unknown key")
        assert lines[1].startswith("e.ini: 6: [entry] peers: 'localhost'")

    def test_missing_section_is_reported(self):
        with pytest.raises(InvalidInput, match="section is missing"):
            parse_settings("", "e.ini", "entry")

    def test_unknown_section_is_reported(self):
        with pytest.raises(InvalidInput, match="unknown section"):
            parse_settings(ENTRY + "[entri]\n", "e.ini", "entry")

    def test_syntax_error_is_reported(self):
        with pytest.raises(InvalidInput, match="no section headers"):
            parse_settings("name = x", "e.ini", "entry")

    def test_missing_file_is_reported(self):
        with pytest.raises(InvalidInput, match="cannot read"):
            load_settings("/nonexistent.ini", "entry")

    def test_formatted_settings_parse_to_equal_settings(self):
        parsed = parse_settings(ENTRY, "e.ini", "entry")
        text = format_settings("entry", parsed)
        assert parse_settings(text, "e.ini", "entry") == parsed


class TestLoadKey:
    def test_short_key_is_rejected(self, monkeypatch):
        monkeypatch.setenv("CARAWAYVALE_KEY", "short")
        parsed = parse_settings(ENTRY, "e.ini", "entry")
        with pytest.raises(InvalidInput, match="at least 16 bytes"):
            load_key(parsed)

    def test_key_file_takes_precedence_over_the_variable(self, tmp_path):
        path = tmp_path / "key"
        path.write_text("k" * 20 + "\n")
        text = ENTRY + f"key_file = {path}\n"
        parsed = parse_settings(text, "e.ini", "entry")
        assert load_key(parsed) == b"k" * 20
