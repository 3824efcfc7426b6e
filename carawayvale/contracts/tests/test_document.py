"""Tests of parsing and checking the steering document."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from carawayvale.contracts import InvalidInput
from carawayvale.contracts import load_document
from carawayvale.contracts import parse_document

VALID = """\
[region:zurich]
owner = platform
limit = 10

[domain:zurich-a]
owner = platform
region = zurich

[rank:urgent]
owner = priorities
order = 1
max_wait_s = 1

[service:grids]
owner = grids
rank = urgent

[endpoint:g1]
owner = grids
service = grids
region = zurich
domain = zurich-a
address = 127.0.0.1:80
slots = 4
"""


def list_findings(text):
    """Parse an invalid text and list its findings as strings."""
    return [str(f) for f in parse_document(text, "doc").error]


class TestParseDocument:
    def test_valid_document_keeps_all_sections(self):
        document = load_document(VALID, "doc")
        assert list(document.by_kind["endpoint"]) == ["g1"]
        assert document.by_kind["endpoint"]["g1"].address.port == 80

    def test_every_finding_has_section_key_and_line(self):
        text = VALID.replace("order = 1", "order = 0").replace(
            "slots = 4", "slots = many\ncolour = red"
        )
        assert list_findings(text) == [
            "doc: 11: [rank:urgent] order: "
            "must be a whole number from 1 to 16",
            "doc: 25: [endpoint:g1] colour: unknown key; known keys: owner, "
            "service, region, domain, address, slots, draining",
            "doc: 24: [endpoint:g1] slots: must be a whole number",
        ]

    def test_reference_to_a_missing_section_is_reported(self):
        text = VALID.replace("rank = urgent", "rank = gone")
        assert list_findings(text) == [
            "doc: 14: [service:grids] rank: section rank:gone does not exist"
        ]

    def test_duplicate_section_is_reported(self):
        found = list_findings(VALID + "\n[rank:urgent]\nowner = x\n")
        assert any(
            "duplicate section; first defined on line 9" in f for f in found
        )

    def test_text_before_the_first_section_is_reported(self):
        found = list_findings("hello\n" + VALID)
        assert len(found) == 1
        assert "section title must be one of" in found[0]

    def test_cap_too_small_to_divide_is_reported(self):
        text = VALID + (
            "[region:geneva]\nowner = platform\nlimit = 1\ninstances = 7\n"
            "[link:a]\nowner = platform\nregions = zurich geneva\n"
            "cap_rps = 3\nstep_rps = 20\n"
        )
        found = list_findings(text)
        assert found == [
            "doc: 29: [link:a] cap_rps: must be 0 or at least 7, "
            "which is one request per instance and epoch"
        ]

    def test_oversized_document_is_rejected_before_parsing(self):
        found = list_findings("#" * 1_000_001)
        assert found == ["doc: document exceeds 1000000 bytes"]

    def test_load_raises_one_exception_with_all_findings(self):
        text = VALID.replace("limit = 10", "limit = 0").replace(
            "rank = urgent", ""
        )
        try:
            load_document(text, "doc")
        except InvalidInput as error:
            assert len(error.findings) == 2
        else:
            raise AssertionError("accepted")

    def test_unchanged_sections_are_not_parsed_again(self):
        previous = load_document(VALID, "doc")
        text = VALID.replace("slots = 4", "slots = 5")
        new = parse_document(text, "doc", previous).ok
        assert new.sections["rank:urgent"] is previous.sections["rank:urgent"]
        assert new.sections["endpoint:g1"].value.slots == 5

    def test_digest_ignores_order_but_not_content(self):
        first, rest = VALID.split("\n\n", 1)
        reordered = load_document(rest + "\n" + first + "\n", "doc")
        assert reordered.digest == load_document(VALID, "doc").digest
        changed = load_document(VALID.replace("= 4", "= 5"), "doc")
        assert changed.digest != reordered.digest

    def test_text_round_trip_keeps_the_digest(self):
        document = load_document(VALID, "doc")
        reparsed = load_document(document.text, "doc")
        assert reparsed.digest == document.digest

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(strategies.text(max_size=200))
    def test_any_text_gives_a_document_or_findings(self, text):
        result = parse_document(VALID + text, "doc")
        assert result.is_ok() or result.error
