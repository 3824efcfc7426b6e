"""INI settings of one process, checked like the document."""

from collections.abc import Callable
import configparser
from dataclasses import dataclass
from dataclasses import fields
import os
from pathlib import Path
from typing import Any

from carawayvale.contracts.address import Address
from carawayvale.contracts.fields import declare_field
from carawayvale.contracts.fields import make_number_parser
from carawayvale.contracts.fields import parse_address
from carawayvale.contracts.fields import parse_addresses
from carawayvale.contracts.fields import parse_fields
from carawayvale.contracts.fields import parse_flag
from carawayvale.contracts.fields import parse_name
from carawayvale.contracts.fields import parse_text
from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import InvalidInput
from carawayvale.contracts.findings import Place

SETTINGS_KINDS: dict[str, type] = {}
DEFAULT_STORE_KIND = "http"
DEFAULT_KEY_VARIABLE = "CARAWAYVALE_KEY"
MIN_KEY_BYTES = 16
DEFAULT_DRAIN_LIMIT_S = 60.0
DEFAULT_STORE_READ_S = 30.0


def register_settings(section: str) -> Callable[[type], type]:
    """Register the data class of one section of a settings file.

    :param section: title of the section.
    :returns: the class decorator.
    """

    def register(cls: type) -> type:
        SETTINGS_KINDS[section] = cls
        return cls

    return register


@register_settings("entry")
@dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """Settings of an entry instance.

    :param name: name of the instance, unique in the deployment.
    :param region: its region.
    :param domain: its failure domain.
    :param callers: address of the port for callers.
    :param peers: address of the port for peers.
    :param operators: address of the port for operators.
    :param store: address of the platform's store.
    :param store_kind: adapter for the store.
    :param seeds: peer ports of some other instances.
    :param key_variable: environment variable with the deployment's key.
    :param key_file: file with the key; it precedes the variable.
    :param trace_ratio: share of requests that are traced.
    :param drain_limit_s: longest planned stop in seconds.
    :param store_read_s: mean interval of reads of the store by an
        instance that does not watch it.
    :param tls_certificate: file with the certificate chain; with it,
        the ports for callers and peers speak TLS.
    :param tls_key: file with the private key.
    :param tls_authority: file with the authority that signed the
        certificates of all instances.
    """

    name: str = declare_field(parse_name)
    region: str = declare_field(parse_name)
    domain: str = declare_field(parse_name)
    callers: Address = declare_field(parse_address)
    peers: Address = declare_field(parse_address)
    operators: Address = declare_field(parse_address)
    store: Address = declare_field(parse_address)
    store_kind: str = declare_field(parse_name, DEFAULT_STORE_KIND)
    seeds: tuple[Address, ...] = declare_field(parse_addresses, ())
    key_variable: str = declare_field(parse_name, DEFAULT_KEY_VARIABLE)
    key_file: str = declare_field(parse_text, "")
    trace_ratio: float = declare_field(make_number_parser(0, 1), 0.01)
    drain_limit_s: float = declare_field(
        make_number_parser(0, 3600), DEFAULT_DRAIN_LIMIT_S
    )
    store_read_s: float = declare_field(
        make_number_parser(0.1, 3600), DEFAULT_STORE_READ_S
    )
    tls_certificate: str = declare_field(parse_text, "")
    tls_key: str = declare_field(parse_text, "")
    tls_authority: str = declare_field(parse_text, "")


@register_settings("store")
@dataclass(frozen=True, kw_only=True)
class StoreSettings:
    """Settings of the stand-in for the platform's store.

    :param address: where it listens.
    :param document: file with the first revision of the document.
    """

    address: Address = declare_field(parse_address)
    document: str = declare_field(parse_text, "")


@register_settings("backend")
@dataclass(frozen=True, kw_only=True)
class BackendSettings:
    """Settings of the stand-in for a backend server.

    :param name: its endpoint's name.
    :param address: where it listens.
    :param slots: requests that it runs at once.
    :param service_ms: time that a request takes, in milliseconds.
    :param cold: whether its first requests take longer.
    """

    name: str = declare_field(parse_name)
    address: Address = declare_field(parse_address)
    slots: int = declare_field(make_number_parser(1, 1024, whole=True), 4)
    service_ms: float = declare_field(make_number_parser(0, 60000), 10.0)
    cold: bool = declare_field(parse_flag, False)


@register_settings("operator")
@dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """Settings of an operator's command line.

    :param store: address of the platform's store.
    :param store_kind: adapter for the store.
    :param team: the operator's team.
    :param entries: operators' ports of the entry instances.
    :param key_variable: environment variable with the deployment's key.
    :param key_file: file with the key; it precedes the variable.
    """

    store: Address = declare_field(parse_address)
    store_kind: str = declare_field(parse_name, DEFAULT_STORE_KIND)
    team: str = declare_field(parse_name, "")
    entries: tuple[Address, ...] = declare_field(parse_addresses, ())
    key_variable: str = declare_field(parse_name, DEFAULT_KEY_VARIABLE)
    key_file: str = declare_field(parse_text, "")


def load_settings(path: str, kind: str) -> Any:
    """Load one section of a settings file.

    :param path: name of the file.
    :param kind: title of the section.
    :returns: the settings.
    :raises InvalidInput: with every finding.
    """
    try:
        text = Path(path).read_text()
    except OSError as error:
        message = f"cannot read: {error.strerror}"
        raise InvalidInput([Finding(Place(path), message)]) from None
    return parse_settings(text, path, kind)


def parse_settings(text: str, source: str, kind: str) -> Any:
    """Parse one section of settings.

    :param text: INI text.
    :param source: name of the text for findings.
    :param kind: title of the section.
    :returns: the settings.
    :raises InvalidInput: with every finding.

    >>> text = "[store]\\naddress = 127.0.0.1:7000"
    >>> parse_settings(text, "demo", "store").address.port
    7000
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        message = str(error).replace("\n", " ")
        raise InvalidInput([Finding(Place(source), message)]) from None
    findings = [
        Finding(Place(source, name), "unknown section")
        for name in parser.sections()
        if name not in SETTINGS_KINDS
    ]
    if kind not in parser:
        findings.append(Finding(Place(source, kind), "section is missing"))
        raise InvalidInput(findings)

    def locate(key: str) -> Place:
        return Place(source, kind, key, _find_line(text, kind, key))

    items = dict(parser[kind])
    result = parse_fields(SETTINGS_KINDS[kind], items, locate, {})
    if result.is_error():
        findings.extend(result.error)
    if findings:
        raise InvalidInput(findings)
    return result.ok


def _find_line(text: str, section: str, key: str) -> int:
    inside = False
    for number_, line in enumerate(text.splitlines(), 1):
        word = line.strip()
        if word.startswith("["):
            inside = word == f"[{section}]"
            if inside and not key:
                return number_
        elif inside and word.replace(":", "=").split("=")[0].strip() == key:
            return number_
    return 0


def load_key(settings: EntrySettings | OperatorSettings) -> bytes:
    """Load the deployment's key that the settings name.

    :param settings: settings that name the key.
    :returns: the key.
    :raises InvalidInput: if it cannot be read or is too short.
    """
    if settings.key_file:
        place = Place(settings.key_file)
        try:
            key = Path(settings.key_file).read_bytes().strip()
        except OSError as error:
            message = f"cannot read: {error.strerror}"
            raise InvalidInput([Finding(place, message)]) from None
    else:
        place = Place(f"environment variable {settings.key_variable}")
        key = os.environ.get(settings.key_variable, "").encode()
    if len(key) < MIN_KEY_BYTES:
        message = f"the key needs at least {MIN_KEY_BYTES} bytes"
        raise InvalidInput([Finding(place, message)])
    return key


def format_settings(kind: str, settings: Any) -> str:
    """Write settings as INI text.

    :param kind: title of the section.
    :param settings: a settings object.
    :returns: the text, without keys that have their default.
    """
    lines = [f"[{kind}]"]
    for declared in fields(settings):
        value = getattr(settings, declared.name)
        if value == declared.default:
            continue
        if isinstance(value, tuple):
            value = " ".join(str(item) for item in value)
        lines.append(f"{declared.name} = {value}")
    return "\n".join(lines) + "\n"
