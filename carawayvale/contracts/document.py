"""Steering document of the operators: parsing and checking of INI text."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import configparser
from dataclasses import dataclass
from dataclasses import replace
from functools import cached_property
import re
from types import MappingProxyType
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import xxhash

from carawayvale.contracts.fields import parse_fields
from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import InvalidInput
from carawayvale.contracts.findings import Place
from carawayvale.contracts.sections import DEFAULT_EPOCH_S
from carawayvale.contracts.sections import list_referenced_names
from carawayvale.contracts.sections import REFERENCES
from carawayvale.contracts.sections import SECTION_KINDS

SECTION_LINE = re.compile(r"^\[([^\]\n]*)\][ \t]*$", re.MULTILINE)
KEY_LINE = re.compile(r"^([A-Za-z0-9_.-]+)[ \t]*[=:]", re.MULTILINE)
KIND_SEPARATOR = ":"
MAX_DOCUMENT_BYTES = 1_000_000
MAX_FLOOR_SUM = 0.9


@dataclass(frozen=True)
class Section:
    """A parsed section of the document.

    :param title: title of the form ``kind:name``.
    :param body: lines below the title, as written.
    :param value: instance of the data class of the section kind.
    """

    title: str
    body: str
    value: Any

    @property
    def kind(self) -> str:
        """Section kind, which is the title up to the colon."""
        return self.title.partition(KIND_SEPARATOR)[0]

    @cached_property
    def digest(self) -> bytes:
        """Hash of the title and the body."""
        text = f"{self.title}\n{self.body.strip()}"
        return xxhash.xxh3_64_digest(text.encode())


@dataclass(frozen=True)
class RawSection:
    """A section of a text before parsing.

    :param title: text between the brackets.
    :param body: lines below the title, as written.
    :param line: line number of the title, from 1.
    """

    title: str
    body: str
    line: int


@dataclass(frozen=True)
class Document:
    """A valid revision of the document.

    :param revision: number of changes accepted so far.
    :param sections: sections by title, in the order of the text.

    >>> text = "[rank:urgent]\\nowner = ops\\norder = 1\\nmax_wait_s = 1"
    >>> parse_document(text, "demo").ok.revision
    0
    """

    revision: int
    sections: Mapping[str, Section]

    @cached_property
    def by_kind(self) -> Mapping[str, Mapping[str, Any]]:
        """Typed sections by kind and name."""
        groups: dict[str, dict[str, Any]] = {k: {} for k in SECTION_KINDS}
        for section in self.sections.values():
            groups[section.kind][section.value.name] = section.value
        return MappingProxyType(groups)

    @cached_property
    def digest(self) -> bytes:
        """Hash of all sections, independent of their order."""
        state = xxhash.xxh3_64()
        for title in sorted(self.sections):
            state.update(self.sections[title].digest)
        return state.digest()

    @property
    def text(self) -> str:
        """The document as INI text."""
        return "\n\n".join(
            f"[{s.title}]\n{s.body.strip()}" for s in self.sections.values()
        )

    def with_revision(self, revision: int) -> "Document":
        """Copy the document with another revision number.

        :param revision: revision number of the copy.
        :returns: the copy, which shares the sections.
        """
        return replace(self, revision=revision)


EMPTY_DOCUMENT = Document(0, MappingProxyType({}))


def split_sections(text: str) -> Iterator[RawSection]:
    """Split a text at its section titles.

    :param text: INI text.
    :returns: the raw sections; text before the first title becomes a
        section with the title ``""``.
    """
    title, start, line = "", 0, 1
    # Iterating over the matches lets other threads run between them.
    for match in SECTION_LINE.finditer(text):
        body = text[start : match.start()]
        if title or body.strip():
            yield RawSection(title, body, line)
        line += text.count("\n", start, match.start())
        title, start = match[1], match.end()
    body = text[start:]
    if title or body.strip():
        yield RawSection(title, body, line)


def parse_document(
    text: str, source: str, previous: Document = EMPTY_DOCUMENT
) -> Result[Document, list[Finding]]:
    """Parse and check a document.

    Sections that are unchanged from the previous document are not parsed
    again, so the parsing time follows the size of the change.

    :param text: INI text.
    :param source: name of the text in findings.
    :param previous: a document parsed before.
    :returns: the document with the revision of the previous one, or all
        findings.
    """
    findings: list[Finding] = []
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        message = f"document exceeds {MAX_DOCUMENT_BYTES} bytes"
        return Error([Finding(Place(source), message)])
    sections: dict[str, Section] = {}
    lines: dict[str, int] = {}
    for raw in split_sections(text):
        if raw.title in lines:
            place = Place(source, raw.title, "", raw.line)
            first = lines[raw.title]
            message = f"duplicate section; first defined on line {first}"
            findings.append(Finding(place, message))
            continue
        lines[raw.title] = raw.line
        parsed = previous.sections.get(raw.title)
        if parsed is not None and parsed.body.strip() == raw.body.strip():
            sections[raw.title] = parsed
            continue
        match parse_section(raw, source):
            case Result(tag="ok", ok=section):
                sections[raw.title] = section
            case Result(error=section_findings):
                findings.extend(section_findings)
    document = Document(previous.revision, MappingProxyType(sections))
    if not findings:
        findings.extend(check_document(document, source, lines))
    return Error(findings) if findings else Ok(document)


def merge_sections(
    base: Document, changed: Iterable[RawSection], removed: Iterable[str]
) -> Result[Document, list[Finding]]:
    """Apply changes of sections to a document and check the result.

    Only the changed sections are parsed. Changed sections keep their
    position; new sections are appended.

    :param base: document to change.
    :param changed: new and changed sections.
    :param removed: titles of the sections to remove.
    :returns: the changed document with the revision of the base, or all
        findings.
    """
    findings: list[Finding] = []
    sections = dict(base.sections)
    for title in removed:
        sections.pop(title, None)
    for raw in changed:
        parsed = parse_section(raw, raw.title)
        if parsed.is_ok():
            sections[raw.title] = parsed.ok
        else:
            findings.extend(parsed.error)
    document = Document(base.revision, MappingProxyType(sections))
    if not findings:
        findings.extend(check_document(document, "document", {}))
    return Error(findings) if findings else Ok(document)


def load_document(text: str, source: str) -> Document:
    """Parse and check a document, raising an exception if it is invalid.

    :param text: INI text.
    :param source: name of the text in findings.
    :returns: the document, with revision 0.
    :raises InvalidInput: if the document is invalid; carries all
        findings.
    """
    result = parse_document(text, source)
    if result.is_error():
        raise InvalidInput(result.error)
    return result.ok


def parse_section(
    raw: RawSection, source: str
) -> Result[Section, list[Finding]]:
    """Parse a section and check its fields.

    :param raw: section as written.
    :param source: name of the text in findings.
    :returns: the parsed section, or all findings.
    """
    kind, _, name = raw.title.partition(KIND_SEPARATOR)
    place = Place(source, raw.title, "", raw.line)
    if kind not in SECTION_KINDS or not name:
        titles = ", ".join(f"{k}:NAME" for k in SECTION_KINDS)
        return Error(
            [Finding(place, f"section title must be one of {titles}")]
        )
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(f"[{raw.title}]{raw.body}")
    except configparser.Error as error:
        return Error([_locate_syntax_error(error, raw, place)])
    key_lines = _find_key_lines(raw)

    def locate(key: str) -> Place:
        return Place(source, raw.title, key, key_lines.get(key, raw.line))

    items = dict(parser[raw.title])
    result = parse_fields(SECTION_KINDS[kind], items, locate, {"name": name})
    return result.map(lambda value: Section(raw.title, raw.body, value))


def _locate_syntax_error(
    error: configparser.Error, raw: RawSection, place: Place
) -> Finding:
    lines = [line for line, _ in getattr(error, "errors", ())]
    line_number = getattr(error, "lineno", None) or (lines[0] if lines else 1)
    message = "line is not of the form 'key = value', or the key is duplicate"
    return Finding(replace(place, line=raw.line + line_number - 1), message)


def _find_key_lines(raw: RawSection) -> dict[str, int]:
    return {
        match[1].lower(): raw.line + raw.body.count("\n", 0, match.start())
        for match in KEY_LINE.finditer(raw.body)
    }


def check_document(
    document: Document, source: str, lines: Mapping[str, int]
) -> list[Finding]:
    """Check references and limits that involve several sections.

    :param document: document whose sections are valid individually.
    :param source: name of the text in findings.
    :param lines: line numbers of the section titles, by title.
    :returns: all findings.
    """
    findings: list[Finding] = []

    def report(title: str, key: str, message: str) -> None:
        place = Place(source, title, key, lines.get(title, 0))
        findings.append(Finding(place, message))

    groups = document.by_kind
    for reference in REFERENCES:
        targets = groups[reference.target]
        for name, section in groups[reference.kind].items():
            for target in list_referenced_names(section, reference):
                if target not in targets:
                    report(
                        f"{reference.kind}:{name}",
                        reference.key,
                        f"section {reference.target}:{target} does not exist",
                    )
    for title, key, message in _check_relations(groups):
        report(title, key, message)
    return findings


def _check_relations(
    groups: Mapping[str, Mapping[str, Any]],
) -> Iterable[tuple[str, str, str]]:
    """Yield title, key and message for each conflict between sections."""
    for name, link in groups["link"].items():
        if len(set(link.regions)) != 2:
            yield f"link:{name}", "regions", "must name two different regions"
    yield from _check_links(groups)
    for name, endpoint in groups["endpoint"].items():
        domain = groups["domain"].get(endpoint.domain)
        if domain is not None and domain.region != endpoint.region:
            message = f"domain {domain.name} is in region {domain.region}"
            yield f"endpoint:{name}", "domain", message
    floor_sum = sum(rank.floor for rank in groups["rank"].values())
    rank_by_order: dict[int, str] = {}
    for name, rank in groups["rank"].items():
        if floor_sum > MAX_FLOOR_SUM:
            message = f"sum of all floors exceeds {MAX_FLOOR_SUM}"
            yield f"rank:{name}", "floor", message
        if rank.order in rank_by_order:
            message = f"rank {rank_by_order[rank.order]} has the same order"
            yield f"rank:{name}", "order", message
        rank_by_order[rank.order] = name


def _check_links(
    groups: Mapping[str, Mapping[str, Any]],
) -> Iterable[tuple[str, str, str]]:
    """Yield title, key and message for each rate of a link that is too low.

    A rate is too low if it cannot be divided among the instances of a
    region.
    """
    deployments = groups["deployment"].values()
    epoch_s = next((d.epoch_s for d in deployments), DEFAULT_EPOCH_S)
    for name, link in groups["link"].items():
        regions = [groups["region"].get(region) for region in link.regions]
        min_rps = max((r.instances for r in regions if r), default=0)
        min_rps /= epoch_s
        if 0 < link.cap_rps < min_rps:
            message = (
                f"must be 0 or at least {min_rps:g}, which is one request per "
                "instance and epoch"
            )
            yield f"link:{name}", "cap_rps", message
        if link.step_rps < min_rps and link.cap_rps:
            message = (
                f"must be at least {min_rps:g}, which is one request per "
                "instance and epoch"
            )
            yield f"link:{name}", "step_rps", message
