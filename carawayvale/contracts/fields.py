"""Parsers and checks of the typed fields of INI sections."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import field
from dataclasses import fields
from dataclasses import MISSING
import ipaddress
import math
import re
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from carawayvale.contracts.address import Address
from carawayvale.contracts.address import parse_address
from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import Place

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z")
TRUE_WORDS = frozenset({"yes", "true", "on", "1"})
FALSE_WORDS = frozenset({"no", "false", "off", "0"})

Parser = Callable[[str], Any]


def parse_text(text: str) -> str:
    """Parse a text that must not be empty.

    :param text: value as written.
    :returns: the value without surrounding white space.
    :raises ValueError: if the result is empty.
    """
    if not text.strip():
        raise ValueError("must not be empty")
    return text.strip()


def parse_name(text: str) -> str:
    """Parse a name of letters, digits, '.', '_' and '-'.

    :param text: value as written.
    :returns: the name.
    :raises ValueError: if the name is empty, too long or has another
        character.
    """
    if not NAME_PATTERN.match(text.strip()):
        raise ValueError(
            "must be a name of at most 63 letters, digits, '.', '_' or '-'"
        )
    return text.strip()


def parse_names(text: str) -> tuple[str, ...]:
    """Parse names separated by white space.

    :param text: value as written.
    :returns: the names, in the order written.
    :raises ValueError: if a name is invalid.
    """
    return tuple(parse_name(word) for word in text.split())


def parse_flag(text: str) -> bool:
    """Parse a Boolean value such as ``yes`` or ``off``.

    :param text: value as written.
    :returns: the Boolean value.
    :raises ValueError: if the text is not a Boolean value.
    """
    word = text.strip().lower()
    if word in TRUE_WORDS:
        return True
    if word in FALSE_WORDS:
        return False
    raise ValueError("must be yes or no")


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse addresses separated by white space.

    :param text: value as written.
    :returns: the addresses, in the order written.
    :raises ValueError: if an address is invalid.
    """
    return tuple(parse_address(word) for word in text.split())


def parse_blocks(text: str) -> tuple[str, ...]:
    """Parse IP networks in CIDR notation, separated by white space.

    :param text: value as written.
    :returns: the networks as text.
    :raises ValueError: if a network is invalid or has host bits set.
    """
    return tuple(str(ipaddress.ip_network(word)) for word in text.split())


def make_number_parser(
    low: float, high: float = math.inf, integer: bool = False
) -> Parser:
    """Make a parser for numbers in a range.

    :param low: minimum.
    :param high: maximum.
    :param integer: whether only whole numbers are allowed.
    :returns: a function that parses a text or raises ValueError.
    """
    number_type = int if integer else float
    expected = "a whole number" if integer else "a number"

    def parse(text: str) -> float:
        try:
            value = number_type(text.strip())
        except ValueError:
            raise ValueError(f"must be {expected}") from None
        if not low <= value <= high:
            raise ValueError(f"must be {expected} from {low} to {high}")
        return value

    return parse


def declare_field(parser: Parser, default: Any = MISSING) -> Any:
    """Declare a data class field with the parser for its text.

    :param parser: function that returns the value of a text or raises
        ValueError.
    :param default: value if the key is missing; a field without default
        is required.
    :returns: the field for :func:`dataclasses.dataclass`.
    """
    metadata = {"parse": parser}
    if default is MISSING:
        return field(metadata=metadata)
    return field(default=default, metadata=metadata)


def parse_fields(
    data_class: type,
    items: Mapping[str, str],
    locate: Callable[[str], Place],
    preset: Mapping[str, Any],
) -> Result[Any, list[Finding]]:
    """Parse the items of a section into a data class.

    :param data_class: data class whose fields are declared with
        :func:`declare_field`.
    :param items: texts by key.
    :param locate: function that returns the place of a key, or of the
        section for ``""``.
    :param preset: values of the fields that are not parsed from items.
    :returns: the instance, or all findings.
    """
    known = {f.name: f for f in fields(data_class) if "parse" in f.metadata}
    findings = [
        Finding(locate(key), f"unknown key; known keys: {', '.join(known)}")
        for key in items
        if key not in known
    ]
    values = dict(preset)
    for name, declared in known.items():
        if name in items:
            try:
                values[name] = declared.metadata["parse"](items[name])
            except ValueError as error:
                findings.append(Finding(locate(name), str(error)))
        elif declared.default is MISSING:
            findings.append(Finding(locate(""), f"key {name} is missing"))
    if findings:
        return Error(findings)
    return Ok(data_class(**values))
