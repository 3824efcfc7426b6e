"""Values as the platform writes them: durations, addresses, tables."""

from collections.abc import Mapping
import re
from typing import Any

from carawayvale.contracts.address import Address
from carawayvale.contracts import fields

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)\Z")
MS_PER_S = 1000.0
DIVISORS = {"ms": MS_PER_S, "s": 1.0}


def parse_duration(value: Any) -> float:
    """Read a duration such as ``1500ms`` or ``2.5s``.

    :param value: the text.
    :returns: seconds.
    :raises ValueError: if it is anything else.

    >>> parse_duration("1500ms")
    1.5
    """
    found = DURATION.match(value) if isinstance(value, str) else None
    if found is None:
        raise ValueError(f"{value!r} is not a duration like 1500ms or 2.5s")
    return float(found.group(1)) / DIVISORS[found.group(2)]


def parse_address(value: Any) -> Address:
    """Read an IP address and a port.

    :param value: the text.
    :returns: the address.
    :raises ValueError: if it is anything else.
    """
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not an address")
    try:
        return fields.parse_address(value)
    except ValueError as error:
        raise ValueError(f"{value!r} is not an address: {error}") from None


def read_field(table: Any, name: str, kind: type | tuple[type, ...]) -> Any:
    """Read a field of a table and check its type.

    :param table: the table.
    :param name: name of the field.
    :param kind: the type or types that it may have.
    :returns: the value.
    :raises ValueError: if it is missing or of another type.
    """
    if not isinstance(table, Mapping):
        raise ValueError("is not a table")
    if name not in table:
        raise ValueError(f"{name} is missing")
    value = table[name]
    # bool is a subclass of int; no number of the platform is a truth value.
    if not isinstance(value, kind) or (
        isinstance(value, bool) and kind is not bool
    ):
        raise ValueError(f"{name} has the wrong type: {value!r}")
    return value


def read_rows(table: Any) -> list[dict[str, Any]]:
    """Read a table that is written as column names and rows.

    :param table: the table.
    :returns: a table for each row, without the omitted fields.
    :raises ValueError: if names and values do not match.
    """
    columns = read_field(table, "columns", list)
    rows = read_field(table, "rows", list)
    tables = []
    for number, row in enumerate(rows):
        if not isinstance(row, list) or len(row) != len(columns):
            raise ValueError(f"row {number} does not fit the columns")
        pairs = zip(columns, row)
        tables.append({k: v for k, v in pairs if v is not None})
    return tables
