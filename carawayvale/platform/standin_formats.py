"""What the platform, its operators and endpoints write, for stand-ins."""

from collections.abc import Mapping
from typing import Any

from carawayvale.contracts.address import Address

STORE_FORM = "kv"
CONFIGURATION_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"
READY_PATH = "/ready"
HEALTH_PATH = "/health"

# A port for each of these interfaces of an instance, in this order, then one
# for metrics and the range of internal ports.
INTERFACES = ("front", "ready", "control", "directory")
METRICS_OFFSET = len(INTERFACES)
INTERNAL_OFFSETS = (METRICS_OFFSET + 1, METRICS_OFFSET + 3)

BOUNDS = (
    "stable_window=3000ms",
    "drain=2500ms",
    "grace=6s",
    "config_apply=2500ms",
)
LIMITS = {
    "cpu_share": 0.602,
    "memory_mb": 222,
    "max_fds": 2870,
    "link_mbps": 700.0,
}


def make_settings(
    name: str,
    host: str,
    first_port: int,
    domain: str,
    regions: Mapping[str, str],
    seed_hosts: list[str],
    store: Address,
) -> dict[str, Any]:
    """Make the settings file of an instance.

    :param name: name of the instance.
    :param host: its IP address.
    :param first_port: first of its ports.
    :param domain: its failure domain.
    :param regions: by failure domain, its region.
    :param seed_hosts: IP addresses of other instances.
    :param store: address of the store.
    :returns: the contents of the file.
    """
    control = first_port + INTERFACES.index("control")
    return {
        "node": name,
        "ip": host,
        "zone": domain,
        "region": regions[domain],
        "zones": dict(regions),
        "listen": {
            interface: f"{host}:{first_port + offset}"
            for offset, interface in enumerate(INTERFACES)
        },
        "internal_ports": [first_port + n for n in INTERNAL_OFFSETS],
        "seeds": [f"{seed}:{control}" for seed in seed_hosts],
        "limits": LIMITS,
        "bounds": list(BOUNDS),
        "platform": {"address": str(store), "form": STORE_FORM},
    }


def make_endpoint_entry(
    address: Address,
    started_ms: int,
    service: str,
    domain: str,
    slots: int,
    sequence: int,
) -> dict[str, Any]:
    """Make the entry that an endpoint writes to the store.

    :param address: its address.
    :param started_ms: time of its start in milliseconds.
    :param service: its service.
    :param domain: its failure domain.
    :param slots: number of requests that it runs at once.
    :param sequence: number of the entry.
    :returns: the entry.
    """
    return {
        "address": str(address),
        "born": started_ms,
        "info": {
            "service": service,
            "version": "v1",
            "zone": domain,
            "slots": slots,
        },
        "status": {"state": "ready", "seq": sequence, "cold_left": "0ms"},
    }


def make_configuration(
    host: str, service: str, timeout_s: float, kinds: Mapping[str, str]
) -> dict[str, Any]:
    """Make a configuration of the operators with one service.

    :param host: host of all routes.
    :param service: name of the service.
    :param timeout_s: timeout of the routes; half of it is their objective.
    :param kinds: by prefix of a route, its kind.
    :returns: the configuration in its stored form.
    """
    columns = (
        "name",
        "prefix",
        "kind",
        "host",
        "service",
        "timeout",
        "target_latency",
        "priority",
        "max_attempts",
        "session_affinity",
        "allowed_regions",
    )
    times = (f"{timeout_s}s", f"{timeout_s / 2}s")
    rows = [
        [prefix.strip("/"), prefix, kind, host, service, *times]
        + [0, 2, False, []]
        for prefix, kind in kinds.items()
    ]
    return {
        "version": 1,
        "routes": {"columns": list(columns), "rows": rows},
        "services": {
            "columns": ["name", "health_path", "max_conns", "cold"],
            "rows": [[service, HEALTH_PATH, 720, "3s"]],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }
