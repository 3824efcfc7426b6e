"""Settings of a process in INI files, checked like the document."""

from collections.abc import Callable
import configparser
from dataclasses import dataclass
from dataclasses import fields
import os
from pathlib import Path
from typing import Any

from carawayvale.contracts.address import Address
from carawayvale.contracts.address import parse_address
from carawayvale.contracts.fields import declare_field
from carawayvale.contracts.fields import make_number_parser
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
    """Register the data class of a section of settings files.

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
    :param region: region of the instance.
    :param domain: failure domain of the instance.
    :param callers: listening address for callers.
    :param peers: listening address for peers.
    :param operators: listening address for operators.
    :param store: address of the store of the platform.
    :param store_kind: name of the store adapter.
    :param seeds: peer addresses of some other instances.
    :param key_variable: environment variable with the deployment key.
    :param key_file: file with the deployment key; takes precedence over
        the variable.
    :param trace_ratio: share of the requests that are traced.
    :param drain_limit_s: maximum duration of a planned stop in seconds.
    :param store_read_s: mean interval in seconds at which an instance
        that does not watch the store reads it.
    :param tls_certificate: file with the certificate chain; if set, the
        ports for callers and peers use TLS.
    :param tls_key: file with the private key.
    :param tls_authority: file with the certificate of the authority that
        signed the certificates of all instances.
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
    """Settings of the stand-in for the store of the platform.

    :param address: address on which the store listens.
    :param document: file with the first revision of the document.
    """

    address: Address = declare_field(parse_address)
    document: str = declare_field(parse_text, "")


@register_settings("backend")
@dataclass(frozen=True, kw_only=True)
class BackendSettings:
    """Settings of the stand-in for a backend server.

    :param name: name of the endpoint of the server.
    :param address: address on which the server listens.
    :param slots: number of requests that the server runs concurrently.
    :param service_ms: duration of a request in milliseconds.
    :param cold: whether the first requests take longer.
    """

    name: str = declare_field(parse_name)
    address: Address = declare_field(parse_address)
    slots: int = declare_field(make_number_parser(1, 1024, integer=True), 4)
    service_ms: float = declare_field(make_number_parser(0, 60000), 10.0)
    cold: bool = declare_field(parse_flag, False)


@register_settings("operator")
@dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """Settings of the command line of an operator.

    :param store: address of the store of the platform.
    :param store_kind: name of the store adapter.
    :param team: team of the operator.
    :param entries: operator addresses of the entry instances.
    :param key_variable: environment variable with the deployment key.
    :param key_file: file with the deployment key; takes precedence over
        the variable.
    """

    store: Address = declare_field(parse_address)
    store_kind: str = declare_field(parse_name, DEFAULT_STORE_KIND)
    team: str = declare_field(parse_name, "")
    entries: tuple[Address, ...] = declare_field(parse_addresses, ())
    key_variable: str = declare_field(parse_name, DEFAULT_KEY_VARIABLE)
    key_file: str = declare_field(parse_text, "")


def load_settings(path: str, kind: str) -> Any:
    """Load a section of a settings file.

    :param path: path of the file.
    :param kind: title of the section.
    :returns: the settings.
    :raises InvalidInput: if the settings are invalid; carries all
        findings.
    """
    try:
        text = Path(path).read_text()
    except OSError as error:
        message = f"cannot read: {error.strerror}"
        raise InvalidInput([Finding(Place(path), message)]) from None
    return parse_settings(text, path, kind)


def parse_settings(text: str, source: str, kind: str) -> Any:
    """Parse a section of settings and check its fields.

    :param text: INI text.
    :param source: name of the text in findings.
    :param kind: title of the section.
    :returns: the settings.
    :raises InvalidInput: if the settings are invalid; carries all
        findings.

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
    """Find the line of a key, or of the section title if the key is empty."""
    in_section = False
    for line_number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if stripped.startswith("["):
            in_section = stripped == f"[{section}]"
            if in_section and not key:
                return line_number
        elif (
            in_section
            and stripped.replace(":", "=").split("=")[0].strip() == key
        ):
            return line_number
    return 0


def load_key(settings: EntrySettings | OperatorSettings) -> bytes:
    """Load the deployment key from a file or an environment variable.

    :param settings: settings with the name of the file or variable.
    :returns: the key.
    :raises InvalidInput: if the key cannot be read or is too short.
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
        message = f"key must have at least {MIN_KEY_BYTES} bytes"
        raise InvalidInput([Finding(place, message)])
    return key


def format_settings(kind: str, settings: Any) -> str:
    """Format settings as INI text.

    :param kind: title of the section.
    :param settings: instance of a settings class.
    :returns: the text, without keys that have the default value.
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
