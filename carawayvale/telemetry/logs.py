"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

from loguru import logger

PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
    "._-:/+@,%<>()[]"
)
LINE_FORMAT = (
    "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level.name} {message}"
)


def start_logs(level: str = "INFO", sink: Any = None) -> None:
    """Send log lines to standard error or another sink.

    :param level: least level to write.
    :param sink: a loguru sink; None for standard error.
    """
    logger.remove()
    logger.add(sink or sys.stderr, level=level, format=LINE_FORMAT)


class LibraryHandler(logging.Handler):
    """Writes what libraries report as events of our own.

    A traceback is told by its exception, so that it stays one line.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record.

        :param record: what a library reports.
        """
        cause = record.exc_info[1] if record.exc_info else None
        log_event(
            "library_report",
            record.levelname,
            library=record.name,
            message=record.getMessage(),
            cause=repr(cause),
        )


def capture_library_logs() -> None:
    """Let errors of libraries be lines of our own log.

    Their warnings are left out: the event loop has one for each timeout
    that a finished operation passed by a little.
    """
    logging.basicConfig(
        level=logging.ERROR, handlers=[LibraryHandler()], force=True
    )


def format_value(value: Any) -> str:
    """Write a value so that it stands after a key.

    :param value: any value.
    :returns: the text, in quotes where it holds other characters.

    >>> format_value("two words")
    '"two words"'
    """
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and PLAIN.issuperset(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n") + '"'


def format_event(event: str, fields: dict[str, Any]) -> str:
    """Write an event as key=value pairs.

    :param event: name of the event.
    :param fields: further values.
    :returns: the line.
    """
    pairs = [f"event={format_value(event)}"]
    pairs += [f"{key}={format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Log one event.

    :param event: name of the event.
    :param level: level of the event.
    :param fields: further values.
    """
    logger.log(level, "{}", format_event(event, fields))
