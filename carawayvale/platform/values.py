"""Decoding of values in the platform's formats.

The values are durations, addresses, and fields and rows of tables.
"""

from collections.abc import Mapping
import re
from typing import Any

from carawayvale.contracts import address
from carawayvale.contracts.address import Address

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)\Z")
MS_PER_S = 1000.0
UNITS_PER_S = {"ms": MS_PER_S, "s": 1.0}


def parse_duration(value: Any) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s``.

    :param value: the text.
    :returns: the duration in seconds.
    :raises ValueError: if the value is not a duration.

    >>> parse_duration("1500ms")
    1.5
    """
    match = DURATION.match(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"{value!r} is not a duration like 1500ms or 2.5s")
    return float(match.group(1)) / UNITS_PER_S[match.group(2)]


def parse_address(value: Any) -> Address:
    """Parse an IP address and a port.

    :param value: the text.
    :returns: the address.
    :raises ValueError: if the value is not an address with a port.
    """
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not an address")
    try:
        return address.parse_address(value)
    except ValueError as error:
        raise ValueError(f"{value!r} is not an address: {error}") from None


def read_field(table: Any, name: str, types: type | tuple[type, ...]) -> Any:
    """Return the value of a field of a table after checking its type.

    :param table: the table.
    :param name: name of the field.
    :param types: the accepted type or types.
    :returns: the value.
    :raises ValueError: if the field is missing or of another type.
    """
    if not isinstance(table, Mapping):
        raise ValueError("is not a table")
    if name not in table:
        raise ValueError(f"{name} is missing")
    value = table[name]
    # bool is a subclass of int, but a Boolean is never valid as a number.
    if not isinstance(value, types) or (
        isinstance(value, bool) and types is not bool
    ):
        raise ValueError(f"{name} has the wrong type: {value!r}")
    return value


def read_rows(table: Any) -> list[dict[str, Any]]:
    """Decode a table that consists of column names and rows of values.

    :param table: the table.
    :returns: a dictionary for each row, without fields that are null.
    :raises ValueError: if a row does not have one value for each column.
    """
    columns = read_field(table, "columns", list)
    rows = read_field(table, "rows", list)
    dictionaries = []
    for number, row in enumerate(rows):
        if not isinstance(row, list) or len(row) != len(columns):
            raise ValueError(f"row {number} does not match the columns")
        pairs = zip(columns, row)
        dictionaries.append({k: v for k, v in pairs if v is not None})
    return dictionaries
