"""Joins the log lines of several processes into the story of a request."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
import re

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
START = "time="
REQUEST = "request"

# Lines about the same endpoints and owners are shown from this long
# before the request's first line until this long after its last.
CONTEXT_S = 5.0
MAX_CONTEXT_LINES = 40

# Fields whose values tie a line without a request to one with it.
SUBJECTS = ("endpoint", "owner", "name", "domain")

# Events that concern every request, whatever its endpoint.
GLOBAL_EVENTS = frozenset(
    {
        "configuration_in_force",
        "evacuation",
        "gateway_started",
        "lines_left_out",
        "settings_reloaded",
        "stop_requested",
        "store_history_gone",
        "store_lost",
        "store_regained",
    }
)


@dataclass(frozen=True)
class LogLine:
    """One line of a process's log.

    :param time: when it was written.
    :param instance: name of the process, as far as it is known.
    :param fields: its keys and values.
    """

    time: datetime
    instance: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields.get("event", "")


def parse_line(text: str, source: str) -> LogLine | None:
    """Parse a line of a log.

    What stands before the first key is taken for the name of the
    process, as collectors of logs write it; else the file's name is.

    :param text: the line.
    :param source: name of the file.
    :returns: the line, or None if it is no event.

    >>> line = parse_line("e1 time=2026-01-02T03:04:05.678+00:00 event=x", "f")
    >>> line.instance, line.event
    ('e1', 'x')
    """
    prefix, found, rest = text.partition(START)
    if not found:
        return None
    fields = {k: unquote(v) for k, v in PAIR.findall(START + rest)}
    try:
        time = datetime.fromisoformat(fields.pop("time"))
    except ValueError:
        return None
    words = prefix.split()
    return LogLine(time, words[-1] if words else source, fields)


def unquote(value: str) -> str:
    """Undo the quoting of a value.

    :param value: the value as it stands in the line.
    :returns: the value.
    """
    if not value.startswith('"'):
        return value
    plain = value[1:-1].replace("\\n", "\n")
    return plain.replace('\\"', '"').replace("\\\\", "\\")


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Read the events of several logs, in order of time.

    :param paths: the files.
    :returns: their lines.
    :raises OSError: if a file cannot be read.
    """
    lines = []
    for path in paths:
        for text in path.read_text(errors="replace").splitlines():
            line = parse_line(text, path.stem)
            if line is not None:
                lines.append(line)
    return sorted(lines, key=lambda line: line.time)


def select_lines(request_id: str, lines: list[LogLine]) -> list[LogLine]:
    """Choose the lines that explain what became of a request.

    :param request_id: id of the request.
    :param lines: all lines in order of time.
    :returns: its own lines and those about its endpoints and owners at
        that time; empty if there is no line of the request.
    """
    own = [e for e in lines if e.fields.get(REQUEST) == request_id]
    if not own:
        return []
    subjects = set().union(*(find_subjects(line) for line in own))
    context = [
        line
        for line in lines
        if is_near(line, own)
        and REQUEST not in line.fields
        and (line.event in GLOBAL_EVENTS or find_subjects(line) & subjects)
    ]
    chosen = own + context[-MAX_CONTEXT_LINES:]
    return sorted(chosen, key=lambda line: line.time)


def find_subjects(line: LogLine) -> set[str]:
    """Find the endpoints, owners and instances that a line is about.

    :param line: the line.
    :returns: their names.
    """
    names = {line.fields[key] for key in SUBJECTS if key in line.fields}
    for pair in line.fields.get("asked", "").split(","):
        names.add(pair.partition(":")[0])
    return names - {"", "-"}


def is_near(line: LogLine, own: list[LogLine]) -> bool:
    """Tell whether a line was written about the time of a request.

    :param line: the line.
    :param own: the lines of the request in order of time.
    :returns: whether it was.
    """
    before = (own[0].time - line.time).total_seconds()
    after = (line.time - own[-1].time).total_seconds()
    return max(before, after) <= CONTEXT_S


def format_timeline(request_id: str, story: list[LogLine]) -> list[str]:
    """Write a story, times counted from the request's first line.

    :param request_id: id of the request.
    :param story: the lines.
    :returns: one text a line; those of the request are marked with ``*``.
    """
    own = [e for e in story if e.fields.get(REQUEST) == request_id]
    start = own[0].time
    texts = []
    for line in story:
        offset_ms = (line.time - start).total_seconds() * 1000
        mark = "*" if line in own else " "
        skipped = ("event", REQUEST, "level")
        pairs = [
            f"{k}={v}" for k, v in line.fields.items() if k not in skipped
        ]
        texts.append(
            f"{mark} {offset_ms:+9.0f} ms  {line.instance}  {line.event}  "
            + " ".join(pairs)
        )
    return texts
