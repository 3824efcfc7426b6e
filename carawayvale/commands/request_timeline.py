"""Merges log lines of several processes into the timeline of a request."""

from collections.abc import Iterable
from collections import defaultdict
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
import re

FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
TIME_PREFIX = "time="
REQUEST_FIELD = "request"

# Lines about related events are included if they were written at most this
# long before the first line of the request or after its last line.
CONTEXT_WINDOW_S = 5.0
MAX_CONTEXT_LINES = 40

# Fields whose values relate lines without a request ID to lines of a request.
SUBJECT_FIELDS = ("endpoint", "owner", "name", "domain")

# Events that can affect any request, independent of its endpoint.
GLOBAL_EVENTS = frozenset(
    {
        "configuration_in_force",
        "evacuation",
        "gateway_started",
        "keyed_requests_accepted",
        "keyed_requests_refused",
        "lines_left_out",
        "settings_reloaded",
        "stop_requested",
        "store_history_gone",
        "store_lost",
        "store_regained",
    }
)

REFUSED_EVENT = "request_refused"

# Causes of refusals for the organisation of a caller, by reason. Fields of
# the line are inserted; a line of another version may lack them.
REFUSAL_CAUSES = {
    "no_key": (
        "Status 401: the request states no key, and its route {route} is "
        "not anonymous."
    ),
    "malformed_credentials": (
        "Status 401: the credentials are repeated, too long, or not a "
        "scheme and a key separated by a space; the key was not looked up."
    ),
    "unknown_key": (
        "Status 401: the key belongs to no organisation in the configuration "
        "that was in force at {instance}; it is mistyped, or revoked."
    ),
    "quota": (
        "Status 429: organisation {organisation} has used up its quota over "
        "all instances; the caller may retry after {retry_s} s."
    ),
    "quota_unknown": (
        "Status 503: no owner of the quota of organisation {organisation} "
        "answered; look for quota_call_failed at {instance}."
    ),
    "old_configuration": (
        "Status 503: {instance} could not tell whether the key is valid, "
        "because its configuration was too old; look for "
        "keyed_requests_refused and store_lost there."
    ),
    "no_region": (
        "Status 503: no region is allowed both for route {route} and for "
        "organisation {organisation}."
    ),
}


@dataclass(frozen=True)
class LogLine:
    """Parsed line of the log of a process.

    :param time: time at which the line was written.
    :param instance: name of the process, or name of the log file if the
        line does not name the process.
    :param fields: values by key, without the time.
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

    Log collectors write the name of the process before the first key. The
    last word before the first key is therefore the name of the process. If
    there is none, the name of the file is used.

    :param text: the line.
    :param source: name of the file.
    :returns: the parsed line, or None if the line is not an event.

    >>> line = parse_line("e1 time=2026-01-02T03:04:05.678+00:00 event=x", "f")
    >>> line.instance, line.event
    ('e1', 'x')
    """
    name_prefix, found, rest = text.partition(TIME_PREFIX)
    if not found:
        return None
    fields = {
        k: unquote(v) for k, v in FIELD_PATTERN.findall(TIME_PREFIX + rest)
    }
    try:
        time = datetime.fromisoformat(fields.pop("time"))
    except ValueError:
        return None
    words = name_prefix.split()
    return LogLine(time, words[-1] if words else source, fields)


def unquote(value: str) -> str:
    """Remove the quotes and escape sequences of a value.

    :param value: the value as written in the line.
    :returns: the original value.
    """
    if not value.startswith('"'):
        return value
    unquoted = value[1:-1].replace("\\n", "\n")
    return unquoted.replace('\\"', '"').replace("\\\\", "\\")


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Read the events of several log files in chronological order.

    :param paths: paths of the log files.
    :returns: the parsed lines of all files, without lines of other kinds.
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
    """Select the lines of a request and the lines about related events.

    Related events concern the endpoints, owners and instances of the
    request, or all requests, and happened at about the same time.

    :param request_id: ID of the request.
    :param lines: all lines in chronological order.
    :returns: the selected lines in chronological order; empty if no line
        has the ID of the request.
    """
    request_lines = [
        e for e in lines if e.fields.get(REQUEST_FIELD) == request_id
    ]
    if not request_lines:
        return []
    subjects = set().union(*(find_subjects(line) for line in request_lines))
    context = [
        line
        for line in lines
        if is_near_request(line, request_lines)
        and REQUEST_FIELD not in line.fields
        and (line.event in GLOBAL_EVENTS or find_subjects(line) & subjects)
    ]
    selected = request_lines + context[-MAX_CONTEXT_LINES:]
    return sorted(selected, key=lambda line: line.time)


def find_subjects(line: LogLine) -> set[str]:
    """Find the endpoints, owners and instances that a line is about.

    :param line: the line.
    :returns: names of the endpoints, owners and instances.
    """
    names = {line.fields[key] for key in SUBJECT_FIELDS if key in line.fields}
    for pair in line.fields.get("asked", "").split(","):
        names.add(pair.partition(":")[0])
    return names - {"", "-"}


def is_near_request(line: LogLine, request_lines: list[LogLine]) -> bool:
    """Check whether a line was written at about the time of a request.

    :param line: the line.
    :param request_lines: the lines of the request in chronological order.
    :returns: whether the line was written at most ``CONTEXT_WINDOW_S``
        before the first or after the last line of the request.
    """
    before_s = (request_lines[0].time - line.time).total_seconds()
    after_s = (line.time - request_lines[-1].time).total_seconds()
    return max(before_s, after_s) <= CONTEXT_WINDOW_S


def format_timeline(request_id: str, lines: list[LogLine]) -> list[str]:
    """Format the timeline of a request, relative to its first line.

    :param request_id: ID of the request.
    :param lines: the lines that ``select_lines`` selected.
    :returns: one text per line with its time in milliseconds after the
        first line of the request; lines of the request are marked with
        ``*``.
    """
    request_lines = [
        e for e in lines if e.fields.get(REQUEST_FIELD) == request_id
    ]
    start = request_lines[0].time
    texts = []
    for line in lines:
        offset_ms = (line.time - start).total_seconds() * 1000
        mark = "*" if line in request_lines else " "
        omitted = ("event", REQUEST_FIELD, "level")
        pairs = [
            f"{k}={v}" for k, v in line.fields.items() if k not in omitted
        ]
        texts.append(
            f"{mark} {offset_ms:+9.0f} ms  {line.instance}  {line.event}  "
            + " ".join(pairs)
        )
    return texts


def explain_refusals(request_id: str, lines: list[LogLine]) -> list[str]:
    """Tell why a request was refused for the organisation of its caller.

    :param request_id: ID of the request.
    :param lines: the lines that ``select_lines`` selected.
    :returns: one sentence for each cause, in the order of the lines; empty
        if the request was not refused, or for another reason.
    """
    sentences = []
    for line in lines:
        is_refusal = line.event == REFUSED_EVENT
        if not is_refusal or line.fields.get(REQUEST_FIELD) != request_id:
            continue
        cause = REFUSAL_CAUSES.get(line.fields.get("reason", ""))
        if cause is not None:
            fields = defaultdict(lambda: "(not logged)", line.fields)
            fields["instance"] = line.instance
            sentences.append(cause.format_map(fields))
    return list(dict.fromkeys(sentences))
