"""Typed fields of INI sections and the one place that checks them."""

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
from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import Place

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z")
MAX_PORT = 65535
TRUE_WORDS = frozenset({"yes", "true", "on", "1"})
FALSE_WORDS = frozenset({"no", "false", "off", "0"})

Parser = Callable[[str], Any]


def parse_text(text: str) -> str:
    """Accept any text that is not empty.

    :param text: the value as written.
    :returns: the value without surrounding white space.
    :raises ValueError: if nothing is left.
    """
    if not text.strip():
        raise ValueError("must not be empty")
    return text.strip()


def parse_name(text: str) -> str:
    """Accept a name of letters, digits, '.', '_' and '-'.

    :param text: the value as written.
    :returns: the name.
    :raises ValueError: if another character occurs.
    """
    if not NAME_PATTERN.match(text.strip()):
        raise ValueError(
            "must be a name of at most 63 letters, digits, '.', '_' or '-'"
        )
    return text.strip()


def parse_names(text: str) -> tuple[str, ...]:
    """Accept names separated by white space.

    :param text: the value as written.
    :returns: the names, in the order written.
    :raises ValueError: if one of them is not a name.
    """
    return tuple(parse_name(word) for word in text.split())


def parse_flag(text: str) -> bool:
    """Accept a yes or no value.

    :param text: the value as written.
    :returns: the truth value.
    :raises ValueError: if it is neither.
    """
    word = text.strip().lower()
    if word in TRUE_WORDS:
        return True
    if word in FALSE_WORDS:
        return False
    raise ValueError("must be yes or no")


def parse_address(text: str) -> Address:
    """Accept ``IP:port``.

    :param text: the value as written.
    :returns: the address.
    :raises ValueError: if the host is no IP number or the port is wrong.
    """
    host, separator, port = text.strip().rpartition(":")
    if not separator or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError("must be IP:port with a port of at most 65535")
    return Address(str(ipaddress.ip_address(host.strip("[]"))), int(port))


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Accept addresses separated by white space.

    :param text: the value as written.
    :returns: the addresses.
    :raises ValueError: if one of them is wrong.
    """
    return tuple(parse_address(word) for word in text.split())


def parse_blocks(text: str) -> tuple[str, ...]:
    """Accept IP networks in CIDR form, separated by white space.

    :param text: the value as written.
    :returns: the networks in text form.
    :raises ValueError: if one is no network or has host bits set.
    """
    return tuple(str(ipaddress.ip_network(w)) for w in text.split())


def make_number_parser(
    low: float, high: float = math.inf, whole: bool = False
) -> Parser:
    """Make a parser for a number between two bounds.

    :param low: least allowed value.
    :param high: greatest allowed value.
    :param whole: whether only whole numbers are allowed.
    :returns: the parser.
    """
    kind = int if whole else float
    word = "a whole number" if whole else "a number"

    def parse(text: str) -> float:
        try:
            value = kind(text.strip())
        except ValueError:
            raise ValueError(f"must be {word}") from None
        if not low <= value <= high:
            raise ValueError(f"must be {word} from {low} to {high}")
        return value

    return parse


def declare_field(parser: Parser, default: Any = MISSING) -> Any:
    """Declare a data class field with the parser that checks it.

    :param parser: turns the text into the value or raises ValueError.
    :param default: value when the key is absent; none means required.
    :returns: the field for :func:`dataclasses.dataclass`.
    """
    metadata = {"parse": parser}
    if default is MISSING:
        return field(metadata=metadata)
    return field(default=default, metadata=metadata)


def parse_fields(
    kind: type,
    items: Mapping[str, str],
    place: Callable[[str], Place],
    given: Mapping[str, Any],
) -> Result[Any, list[Finding]]:
    """Build a declared data class from text items, collecting findings.

    :param kind: a data class whose fields come from :func:`declare_field`.
    :param items: keys and their texts.
    :param place: gives the place of a key, or of the section for ``""``.
    :param given: fields that do not come from the items.
    :returns: the instance, or every finding.
    """
    known = {f.name: f for f in fields(kind) if "parse" in f.metadata}
    findings = [
        Finding(place(key), f"unknown key; known are {', '.join(known)}")
        for key in items
        if key not in known
    ]
    values = dict(given)
    for name, declared in known.items():
        if name in items:
            try:
                values[name] = declared.metadata["parse"](items[name])
            except ValueError as error:
                findings.append(Finding(place(name), str(error)))
        elif declared.default is MISSING:
            findings.append(Finding(place(""), f"key {name} is missing"))
    if findings:
        return Error(findings)
    return Ok(kind(**values))
