"""The settings file that the platform writes for each process."""

from collections.abc import Callable
from collections.abc import Mapping
import json
import os
from pathlib import Path
from typing import Any

from carawayvale.contracts.address import Address
from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import InvalidInput
from carawayvale.contracts.findings import Place
from carawayvale.gateway.settings import Bounds
from carawayvale.gateway.settings import GatewaySettings
from carawayvale.platform.values import parse_address
from carawayvale.platform.values import parse_duration
from carawayvale.platform.values import read_field

PATH_VARIABLE = "CARAWAYVALE_NODE_FILE"
METRICS_VARIABLE = "CARAWAYVALE_METRICS_PORT"
KEY_VARIABLE = "CARAWAYVALE_KEY"
DEFAULT_PATH = "/etc/carawayvale/settings.json"

# Port of the project's own among those that the platform leaves free.
INTERNAL_OFFSET = 0

# The deploy file names the port for metrics, so it is the same on all
# days; this one holds if the variable is not set.
DEFAULT_METRICS_PORT = 9464

BOUND_FIELDS: dict[str, tuple[str, Callable[[str], float]]] = {
    "stable_window": ("stable_s", parse_duration),
    "drain": ("drain_s", parse_duration),
    "grace": ("grace_s", parse_duration),
    "config_apply": ("apply_s", parse_duration),
    "retry_budget_ratio": ("retry_ratio", float),
    "budget_window": ("retry_window_s", parse_duration),
    "budget_extra": ("retry_extra", float),
    "cold_factor": ("cold_factor", float),
    "cold_slack": ("cold_slack", float),
    "ttl_max": ("ttl_s", parse_duration),
    "max_shift": ("max_shift", float),
}


def find_settings() -> str:
    """Find the settings file.

    :returns: its name.
    """
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def load_settings(path: str) -> GatewaySettings:
    """Load the settings of a process.

    :param path: name of the file.
    :returns: the settings.
    :raises InvalidInput: with all findings.
    """
    try:
        table = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise InvalidInput([Finding(Place(path), str(error))]) from None
    return decode_settings(table, path)


def decode_settings(table: Any, source: str) -> GatewaySettings:
    """Decode the settings of a process.

    :param table: the decoded file.
    :param source: name of the file, for findings.
    :returns: the settings.
    :raises InvalidInput: with all findings.
    """
    findings: list[Finding] = []
    values: dict[str, Any] = {}
    for name, decode in FIELDS.items():
        try:
            values[name] = decode(table)
        except (ValueError, TypeError, KeyError, IndexError) as error:
            place = Place(source, "", name)
            findings.append(Finding(place, str(error) or repr(error)))
    if findings:
        raise InvalidInput(findings)
    return GatewaySettings(**values)


def _read_port(name: str) -> Callable[[Any], Address]:
    def decode(table: Any) -> Address:
        listen = read_field(table, "listen", dict)
        return parse_address(read_field(listen, name, str))

    return decode


def _read_inner_port(offset: int) -> Callable[[Any], Address]:
    def decode(table: Any) -> Address:
        ports = read_field(table, "internal_ports", list)
        port = ports[0] + offset
        if port > ports[-1]:
            raise ValueError(f"internal_ports has fewer than {offset + 1}")
        return Address(read_field(table, "ip", str), port)

    return decode


def _read_metrics_port(table: Any) -> Address:
    text = os.environ.get(METRICS_VARIABLE, "")
    if text and not text.isdigit():
        raise ValueError(f"{METRICS_VARIABLE} is no port: {text!r}")
    port = int(text) if text else DEFAULT_METRICS_PORT
    return Address(read_field(table, "ip", str), port)


def _read_text(name: str) -> Callable[[Any], str]:
    def decode(table: Any) -> str:
        return read_field(table, name, str)

    return decode


def _read_limit(name: str, default: float) -> Callable[[Any], Any]:
    def decode(table: Any) -> Any:
        limits = table.get("limits") or {}
        return limits.get(name, default)

    return decode


def _read_zones(table: Any) -> Mapping[str, str]:
    return dict(read_field(table, "zones", dict))


def _read_store(table: Any) -> Address:
    return parse_address(read_field(table["platform"], "address", str))


def _read_seeds(table: Any) -> tuple[Address, ...]:
    return tuple(parse_address(seed) for seed in table.get("seeds") or ())


def _read_bounds(table: Any) -> Bounds:
    listed = table.get("bounds") or []
    if isinstance(listed, str):
        listed = listed.split(",")
    values = {}
    for text in listed:
        name, _, value = text.strip().partition("=")
        if name in BOUND_FIELDS:
            field, parse = BOUND_FIELDS[name]
            values[field] = parse(value)
    return Bounds(**values)


FIELDS: dict[str, Callable[[Any], Any]] = {
    "name": _read_text("node"),
    "region": _read_text("region"),
    "domain": _read_text("zone"),
    "regions": _read_zones,
    "callers": _read_port("front"),
    "lookups": _read_port("directory"),
    "readiness": _read_port("ready"),
    "peers": _read_port("control"),
    "internal": _read_inner_port(INTERNAL_OFFSET),
    "metrics": _read_metrics_port,
    "seeds": _read_seeds,
    "store": _read_store,
    "bounds": _read_bounds,
    "cpu_share": _read_limit("cpu_share", 1.0),
    "link_mbps": _read_limit("link_mbps", 1000.0),
    "max_files": _read_limit("max_fds", 1024),
}
