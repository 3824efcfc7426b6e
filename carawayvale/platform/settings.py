"""Decoding of the settings file that the platform writes for a process."""

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
from carawayvale.gateway.process_memory import PROCESS_SHARE
from carawayvale.gateway.request_parser import MAX_HEAD_LINES
from carawayvale.gateway.settings import Bounds
from carawayvale.gateway.settings import GatewaySettings
from carawayvale.platform.values import parse_address
from carawayvale.platform.values import parse_duration
from carawayvale.platform.values import read_field

PATH_VARIABLE = "CARAWAYVALE_NODE_FILE"
METRICS_VARIABLE = "CARAWAYVALE_METRICS_PORT"
KEY_VARIABLE = "CARAWAYVALE_KEY"
DEFAULT_PATH = "/etc/carawayvale/settings.json"

# Offset of the port for forwarded requests from the first of the internal
# ports, which the platform leaves free for the use of the project.
INTERNAL_PORT_OFFSET = 0

# The deploy file sets the port for metrics, so the port is the same every
# day and is not in the settings file. This default applies if the environment
# variable is not set.
DEFAULT_METRICS_PORT = 9464

# Fraction of the memory of the process for messages, and the maximum number
# of lines of the head of a caller's request.
SHARE_VARIABLE = "CARAWAYVALE_MESSAGE_SHARE"
HEAD_LINES_VARIABLE = "CARAWAYVALE_MAX_HEAD_LINES"
SHARE_RANGE = (0.1, 0.9)
HEAD_LINES_RANGE = (32, 8192)

# Smallest memory and number of descriptors with which a process can serve;
# without any load it takes 33 MB and about 20 descriptors.
MIN_MEMORY_MB = 64
MIN_FILES = 64
DEFAULT_MAX_FILES = 1024

# By name of a bound: the field of Bounds and the decoder of its value.
BOUND_DECODERS: dict[str, tuple[str, Callable[[str], float]]] = {
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
    "quota_window": ("quota_window_s", parse_duration),
    "quota_excess": ("quota_excess", float),
    "quota_slack": ("quota_slack", float),
}

# The bound of the revocation of keys, which holds only if the other one of
# these is set.
REVOKE_BOUND = "revoke"
STRICT_REVOKE_BOUND = "strict_revoke"


def find_settings_path() -> str:
    """Determine the path of the settings file from the environment.

    :returns: the path.
    """
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def load_gateway_settings(path: str) -> GatewaySettings:
    """Load the settings of a process from a file.

    :param path: path of the file.
    :returns: the settings.
    :raises InvalidInput: with all findings if the settings are invalid.
    """
    try:
        table = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise InvalidInput([Finding(Place(path), str(error))]) from None
    return decode_settings(table, path)


def decode_settings(table: Any, source: str) -> GatewaySettings:
    """Decode the settings of a process.

    :param table: content of the file, decoded from JSON.
    :param source: path of the file, which findings name as their place.
    :returns: the settings.
    :raises InvalidInput: with all findings if the settings are invalid.
    """
    findings: list[Finding] = []
    values: dict[str, Any] = {}
    for name, decode in FIELD_DECODERS.items():
        try:
            values[name] = decode(table)
        except (ValueError, TypeError, KeyError, IndexError) as error:
            place = Place(source, "", name)
            findings.append(Finding(place, str(error) or repr(error)))
    if findings:
        raise InvalidInput(findings)
    return GatewaySettings(**values)


def _make_address_decoder(name: str) -> Callable[[Any], Address]:
    def decode(table: Any) -> Address:
        listen = read_field(table, "listen", dict)
        return parse_address(read_field(listen, name, str))

    return decode


def _make_internal_address_decoder(offset: int) -> Callable[[Any], Address]:
    """Make the decoder of the address with one of the internal ports.

    The key ``internal_ports`` holds the first and the last of these ports.
    """

    def decode(table: Any) -> Address:
        ports = read_field(table, "internal_ports", list)
        port = ports[0] + offset
        if port > ports[-1]:
            raise ValueError(
                f"internal_ports has fewer than {offset + 1} ports"
            )
        return Address(read_field(table, "ip", str), port)

    return decode


def _read_metrics_address(table: Any) -> Address:
    text = os.environ.get(METRICS_VARIABLE, "")
    if text and not text.isdigit():
        raise ValueError(f"{METRICS_VARIABLE} is not a port: {text!r}")
    port = int(text) if text else DEFAULT_METRICS_PORT
    return Address(read_field(table, "ip", str), port)


def _make_text_decoder(name: str) -> Callable[[Any], str]:
    def decode(table: Any) -> str:
        return read_field(table, name, str)

    return decode


def _make_limit_decoder(name: str, default: float) -> Callable[[Any], Any]:
    def decode(table: Any) -> Any:
        limits = table.get("limits") or {}
        return limits.get(name, default)

    return decode


def _read_memory(table: Any) -> float:
    """Read the memory of the process in MB; 0 if it is not limited."""
    limits = table.get("limits") or {}
    if limits.get("memory_mb") is None:
        return 0.0
    memory_mb = read_field(limits, "memory_mb", (int, float))
    if memory_mb and not memory_mb >= MIN_MEMORY_MB:
        raise ValueError(f"must be 0 or at least {MIN_MEMORY_MB}")
    return memory_mb


def _read_max_files(table: Any) -> int:
    limits = table.get("limits") or {}
    if limits.get("max_fds") is None:
        return DEFAULT_MAX_FILES
    max_files = read_field(limits, "max_fds", int)
    if max_files < MIN_FILES:
        raise ValueError(f"must be at least {MIN_FILES}")
    return max_files


def _make_variable_decoder(
    variable: str, default: float, bounds: tuple[float, float]
) -> Callable[[Any], float]:
    """Make the decoder of a number in an environment variable.

    Its value has the type of the default.
    """

    def decode(table: Any) -> float:
        text = os.environ.get(variable, "")
        value = type(default)(text) if text else default
        if not bounds[0] <= value <= bounds[1]:
            raise ValueError(
                f"{variable} must be from {bounds[0]} to {bounds[1]}"
            )
        return value

    return decode


def _read_regions(table: Any) -> Mapping[str, str]:
    """Read the region of each failure domain, by name of the domain."""
    return dict(read_field(table, "zones", dict))


def _read_store(table: Any) -> Address:
    return parse_address(read_field(table["platform"], "address", str))


def _read_seeds(table: Any) -> tuple[Address, ...]:
    return tuple(parse_address(seed) for seed in table.get("seeds") or ())


def _read_bounds(table: Any) -> Bounds:
    """Read the bounds, which are assignments such as ``drain=2500ms``.

    The assignments are a list or one comma-separated text. Bounds with
    unknown names are ignored.
    """
    assignments = table.get("bounds") or []
    if isinstance(assignments, str):
        assignments = assignments.split(",")
    texts = {}
    for text in assignments:
        name, _, value = text.strip().partition("=")
        texts[name] = value
    values = {}
    for name, (field, parse) in BOUND_DECODERS.items():
        if name in texts:
            values[field] = parse(texts[name])
    if REVOKE_BOUND in texts and texts.get(STRICT_REVOKE_BOUND) == "true":
        values["revoke_s"] = parse_duration(texts[REVOKE_BOUND])
    return Bounds(**values)


# By field of GatewaySettings: the function that reads the field from the
# settings file.
FIELD_DECODERS: dict[str, Callable[[Any], Any]] = {
    "name": _make_text_decoder("node"),
    "region": _make_text_decoder("region"),
    "domain": _make_text_decoder("zone"),
    "regions": _read_regions,
    "callers": _make_address_decoder("front"),
    "lookups": _make_address_decoder("directory"),
    "readiness": _make_address_decoder("ready"),
    "peers": _make_address_decoder("control"),
    "internal": _make_internal_address_decoder(INTERNAL_PORT_OFFSET),
    "metrics": _read_metrics_address,
    "seeds": _read_seeds,
    "store": _read_store,
    "bounds": _read_bounds,
    "cpu_share": _make_limit_decoder("cpu_share", 1.0),
    "link_mbps": _make_limit_decoder("link_mbps", 1000.0),
    "memory_mb": _read_memory,
    "max_files": _read_max_files,
    "message_share": _make_variable_decoder(
        SHARE_VARIABLE, PROCESS_SHARE, SHARE_RANGE
    ),
    "max_head_lines": _make_variable_decoder(
        HEAD_LINES_VARIABLE, MAX_HEAD_LINES, HEAD_LINES_RANGE
    ),
}
