"""Decoding of the records that endpoints keep in the platform's store."""

from collections.abc import Mapping
import json
from typing import Any

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import EndpointState
from carawayvale.catalogue.replica import StoredItem
from carawayvale.platform.values import parse_address
from carawayvale.platform.values import parse_duration
from carawayvale.platform.values import read_field

SERVERS_PREFIX = "servers/"

STATES_BY_NAME = {
    "ready": EndpointState.READY,
    "draining": EndpointState.DRAINING,
}


def decode_endpoint(
    item: StoredItem, regions: Mapping[str, str]
) -> EndpointRecord:
    """Decode the record that an endpoint writes about itself.

    :param item: the endpoint's item in the store.
    :param regions: region of each failure domain.
    :returns: the endpoint.
    :raises ValueError: if a field is missing or malformed.
    """
    try:
        table = json.loads(item.value)
        return _decode_table(item, table, regions)
    except (KeyError, TypeError, RecursionError, OverflowError) as error:
        raise ValueError(f"cannot be decoded: {error!r}") from None


def _decode_table(
    item: StoredItem, table: Any, regions: Mapping[str, str]
) -> EndpointRecord:
    info = read_field(table, "info", dict)
    status = read_field(table, "status", dict)
    domain = read_field(info, "zone", str)
    state = read_field(status, "state", str)
    if domain not in regions:
        raise ValueError(f"unknown zone {domain!r}")
    if state not in STATES_BY_NAME:
        raise ValueError(f"unknown state {state!r}")
    slots = read_field(info, "slots", int)
    if slots < 1:
        raise ValueError(f"slots must be at least 1, not {slots}")
    started_ms = 0
    if "born" in table:
        started_ms = read_field(table, "born", int)
    return EndpointRecord(
        name=item.key.removeprefix(SERVERS_PREFIX),
        address=parse_address(read_field(table, "address", str)),
        service=read_field(info, "service", str),
        region=regions[domain],
        domain=domain,
        slots=slots,
        state=STATES_BY_NAME[state],
        cold_s=parse_duration(status.get("cold_left", "0ms")),
        started_ms=started_ms,
        sequence=read_field(status, "seq", int),
        revision=item.revision,
    )
