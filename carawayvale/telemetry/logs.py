"""Structured logging with one line of key=value pairs per event."""

import logging
import sys
from typing import Any

from loguru import logger

UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
    "._-:/+@,%<>()[]"
)
LINE_FORMAT = (
    "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level.name} {message}"
)


def start_logs(level: str = "INFO", sink: Any = None) -> None:
    """Write log lines to standard error or another sink.

    :param level: lowest level that is written.
    :param sink: a loguru sink; None for standard error.
    """
    logger.remove()
    logger.add(sink or sys.stderr, level=level, format=LINE_FORMAT)


class LibraryHandler(logging.Handler):
    """Log handler that writes the log records of libraries as events.

    The event is ``library_report``. Of a traceback only the exception is
    written, so that the event fits on one line.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write one log record.

        :param record: the record of a library.
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
    """Write errors that libraries log to the log of this process.

    Warnings of libraries are dropped, because curio logs a warning for
    each operation that finishes slightly after its timeout.
    """
    logging.basicConfig(
        level=logging.ERROR, handlers=[LibraryHandler()], force=True
    )


def format_value(value: Any) -> str:
    """Format a value for a key=value pair.

    Bytes are written as hexadecimal digits and floats with six significant
    digits.

    :param value: any value.
    :returns: the text; quoted if it is empty or has a character that is
        not in ``UNQUOTED_CHARACTERS``.

    >>> format_value("two words")
    '"two words"'
    """
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and UNQUOTED_CHARACTERS.issuperset(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n") + '"'


def format_event(event: str, fields: dict[str, Any]) -> str:
    """Format an event as key=value pairs.

    :param event: name of the event.
    :param fields: values of the event's other fields by key.
    :returns: the line without a line end.
    """
    pairs = [f"event={format_value(event)}"]
    pairs += [f"{key}={format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def format_place(error: BaseException) -> str:
    """Format the place at which an error was raised.

    :param error: the error.
    :returns: file, line and function; a dash if it was not raised.
    """
    frame = error.__traceback__
    if frame is None:
        return "-"
    while frame.tb_next is not None:
        frame = frame.tb_next
    code = frame.tb_frame.f_code
    return f"{code.co_filename}:{frame.tb_lineno}:{code.co_name}"


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Log one event.

    :param event: name of the event.
    :param level: log level of the event.
    :param fields: values of the event's other fields by key.
    """
    logger.log(level, "{}", format_event(event, fields))
