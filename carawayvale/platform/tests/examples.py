"""Example data in the platform's formats, for tests."""

import json
from typing import Any

from carawayvale.catalogue.replica import StoredItem

REGIONS = {"zrh-a": "zurich", "gva-a": "geneva"}

ENDPOINT: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "born": 1700000000000,
    "info": {
        "service": "grids",
        "version": "v1",
        "zone": "zrh-a",
        "slots": 5,
    },
    "status": {"state": "ready", "seq": 4, "cold_left": "1500ms"},
}

CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": {
        "columns": [
            "name",
            "host",
            "prefix",
            "kind",
            "timeout",
            "target_latency",
            "priority",
            "service",
            "max_attempts",
            "session_affinity",
            "allowed_regions",
            "traffic_split",
        ],
        "rows": [
            [
                "submit",
                "Jepu9.example",
                "/puka/",
                "unsafe",
                "1500ms",
                "250ms",
                1,
                "desk",
                2,
                True,
                ["zurich"],
                None,
            ],
            [
                "fetch",
                "hulo.example",
                "/",
                "safe",
                "1.2s",
                "200ms",
                0,
                None,
                2,
                True,
                [],
                [
                    {"service": "grids", "weight": 90},
                    {"service": "desk", "weight": 10},
                ],
            ],
        ],
    },
    "services": {
        "columns": ["name", "health_path", "max_conns", "cold", "cold_per_s"],
        "rows": [
            ["grids", "/health", 720, "3s", 12.0],
            ["desk", "/health", 720, "3s", 12.0],
        ],
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
}

SETTINGS: dict[str, Any] = {
    "node": "front-zrh-a-1",
    "ip": "10.1.0.15",
    "zone": "zrh-a",
    "region": "zurich",
    "zones": REGIONS,
    "listen": {
        "front": "10.1.0.15:8641",
        "ready": "10.1.0.15:8640",
        "control": "10.1.0.15:8649",
        "directory": "10.1.0.15:8644",
    },
    "internal_ports": [7620, 7635],
    "seeds": ["10.1.0.15:8649", "10.2.0.42:8649"],
    "limits": {"cpu_share": 0.602, "max_fds": 2870, "link_mbps": 700.0},
    "bounds": ["drain=2500ms", "budget_extra=120", "unheard_of=1"],
    "platform": {"address": "10.200.1.7:8642", "form": "kv"},
}


def make_item(key: str, table: Any, revision: int = 9) -> StoredItem:
    """Make an item of the store with a JSON value.

    :param key: key of the item.
    :param table: value to encode as JSON; bytes are used unchanged.
    :param revision: revision of the item.
    :returns: the item.
    """
    if not isinstance(table, bytes):
        table = json.dumps(table).encode()
    return StoredItem(key, revision, table)
