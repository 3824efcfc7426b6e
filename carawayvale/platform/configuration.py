"""Decoding of the operators' configuration in the platform's store."""

from collections.abc import Callable
import json
from typing import Any

from carawayvale.catalogue.records import Configuration
from carawayvale.catalogue.records import OrganisationRecord
from carawayvale.catalogue.records import RequestLimits
from carawayvale.catalogue.records import RouteRecord
from carawayvale.catalogue.records import ServiceRecord
from carawayvale.catalogue.records import WeightedService
from carawayvale.catalogue.replica import StoredItem
from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import InvalidInput
from carawayvale.contracts.findings import Place
from carawayvale.platform.values import parse_duration
from carawayvale.platform.values import read_field
from carawayvale.platform.values import read_rows
from carawayvale.steering.organisations import is_valid_key

CONFIGURATION_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"
NUMBER = (int, float)

# Exceptions that are raised when a malformed value is decoded.
DECODING_ERRORS = (ValueError, TypeError, AttributeError, KeyError)

# A request may run more than once only if its route is of one of these
# kinds. Any other kind, also an unknown one, may run only once.
IDEMPOTENT_KINDS = frozenset({"safe", "download"})


def decode_configuration(item: StoredItem) -> Configuration:
    """Decode a configuration.

    :param item: the item of the configuration in the store.
    :returns: the configuration.
    :raises InvalidInput: with all findings if the configuration is invalid.
    """
    try:
        table = json.loads(item.value)
        version = read_field(table, "version", int)
        routes = read_rows(read_field(table, "routes", dict))
        services = read_rows(read_field(table, "services", dict))
    except (ValueError, RecursionError) as error:
        raise InvalidInput([_make_finding(item.key, "", str(error))]) from None
    findings: list[Finding] = []
    decoded = _decode_rows(item.key, "services", services, _decode_service)
    findings += decoded[1]
    services_by_name = {service.name: service for service in decoded[0]}
    decoded = _decode_rows(item.key, "routes", routes, _decode_route)
    findings += decoded[1]
    for route in decoded[0]:
        findings += _check_services_exist(item.key, route, services_by_name)
    organisations, organisation_findings = _decode_organisations(
        item.key, table
    )
    findings += organisation_findings
    limits = RequestLimits()
    try:
        limits = _decode_limits(table.get("limits", {}))
    except DECODING_ERRORS as error:
        findings.append(_make_finding(item.key, "limits", str(error)))
    if findings:
        raise InvalidInput(findings)
    return Configuration(
        version,
        item.revision,
        tuple(decoded[0]),
        services_by_name,
        limits,
        organisations,
    )


def _make_finding(source: str, section: str, message: str) -> Finding:
    return Finding(Place(source, section), message)


def _decode_rows(
    source: str,
    section: str,
    rows: list[dict[str, Any]],
    decode: Callable[[dict[str, Any]], Any],
) -> tuple[list[Any], list[Finding]]:
    """Decode the rows of a section, with a finding for each invalid row."""
    decoded = []
    findings = []
    for number, row in enumerate(rows):
        try:
            decoded.append(decode(row))
        except DECODING_ERRORS as error:
            row_name = f"{section}:{row.get('name', number)}"
            findings.append(_make_finding(source, row_name, str(error)))
    return decoded, findings


def _decode_organisations(
    source: str, table: dict[str, Any]
) -> tuple[dict[str, OrganisationRecord], list[Finding]]:
    """Decode the organisations, if the configuration has any."""
    if table.get("tenants") is None:
        return {}, []
    try:
        rows = read_rows(table["tenants"])
    except ValueError as error:
        return {}, [_make_finding(source, "tenants", str(error))]
    decoded: list[OrganisationRecord] = []
    findings = []
    for number, row in enumerate(rows):
        try:
            decoded.append(_decode_organisation(row))
        except DECODING_ERRORS:
            # A key may stand in any column of a malformed row, so neither
            # its values nor the message are shown.
            message = "a value is missing, malformed or of the wrong type"
            section = f"tenants:{number}"
            findings.append(_make_finding(source, section, message))
    findings += _check_unique(source, decoded)
    return {record.name: record for record in decoded}, findings


def _check_unique(
    source: str, organisations: list[OrganisationRecord]
) -> list[Finding]:
    """Find names that are used twice, and keys of two organisations."""
    findings = []
    names: set[str] = set()
    holders: dict[str, str] = {}
    for organisation in organisations:
        if organisation.name in names:
            section = f"tenants:{organisation.name}"
            findings.append(
                _make_finding(source, section, "the name is used twice")
            )
        names.add(organisation.name)
        for key in organisation.keys:
            holder = holders.setdefault(key, organisation.name)
            if holder != organisation.name:
                section = f"tenants:{organisation.name}"
                message = f"a key is that of {holder!r} too"
                findings.append(_make_finding(source, section, message))
    return findings


def _decode_organisation(row: dict[str, Any]) -> OrganisationRecord:
    keys = _read_optional(row, "api_keys", list, [])
    if not all(isinstance(key, str) and is_valid_key(key) for key in keys):
        raise ValueError("a key cannot be sent in a header")
    name = read_field(row, "name", str)
    if not name or not name.isprintable() or name != name.strip():
        raise ValueError("the name cannot be sent in a header")
    record = OrganisationRecord(
        name=name,
        keys=tuple(keys),
        rank=_read_optional(row, "priority", int, None),
        rate_per_s=float(_read_optional(row, "rate_per_s", NUMBER, 0.0)),
        burst=float(_read_optional(row, "burst", NUMBER, 0.0)),
        allowed_regions=_read_allowed_regions(row),
    )
    if min(record.rate_per_s, record.burst, record.rank or 0) < 0:
        raise ValueError("priority, rate_per_s or burst is negative")
    return record


def _check_services_exist(
    source: str, route: RouteRecord, services: dict[str, ServiceRecord]
) -> list[Finding]:
    return [
        _make_finding(
            source, f"routes:{route.name}", f"unknown service {p.service!r}"
        )
        for p in route.weighted_services
        if p.service not in services
    ]


def _read_optional(
    row: dict[str, Any], name: str, value_type: type, default: Any
) -> Any:
    return read_field(row, name, value_type) if name in row else default


def _decode_service(row: dict[str, Any]) -> ServiceRecord:
    return ServiceRecord(
        name=read_field(row, "name", str),
        health_path=_read_optional(row, "health_path", str, "/health"),
        max_connections=_read_optional(row, "max_conns", int, 0),
        cold_s=parse_duration(row.get("cold", "0s")),
        cold_rate=float(row.get("cold_per_s", 0)),
    )


def _decode_route(row: dict[str, Any]) -> RouteRecord:
    attempts = _read_optional(row, "max_attempts", int, 1)
    if attempts < 1:
        raise ValueError(f"max_attempts must be at least 1, not {attempts}")
    prefix = read_field(row, "prefix", str)
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"prefix {prefix!r} must start and end with a slash")
    timeout_s = parse_duration(row.get("timeout", "60s"))
    return RouteRecord(
        name=read_field(row, "name", str),
        host=read_field(row, "host", str).lower(),
        prefix=prefix,
        idempotent=read_field(row, "kind", str) in IDEMPOTENT_KINDS,
        timeout_s=timeout_s,
        objective_s=parse_duration(row["target_latency"])
        if "target_latency" in row
        else timeout_s,
        rank=_read_optional(row, "priority", int, 0),
        max_attempts=attempts,
        weighted_services=_decode_traffic_split(row),
        allowed_regions=_read_allowed_regions(row),
        sticky=_read_optional(row, "session_affinity", bool, False),
        anonymous=_read_optional(row, "anonymous", bool, False),
    )


def _read_allowed_regions(row: dict[str, Any]) -> frozenset[str]:
    regions = _read_optional(row, "allowed_regions", list, [])
    if not all(isinstance(region, str) for region in regions):
        raise ValueError(f"allowed_regions has the wrong type: {regions!r}")
    return frozenset(regions)


def _decode_traffic_split(row: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = row.get("traffic_split")
    if not split:
        return (WeightedService(read_field(row, "service", str), 1.0),)
    parts = tuple(
        WeightedService(
            read_field(part, "service", str),
            float(read_field(part, "weight", NUMBER)),
        )
        for part in split
    )
    if min(part.weight for part in parts) < 0:
        raise ValueError("a weight is negative")
    if not sum(part.weight for part in parts):
        raise ValueError("all weights are 0")
    return parts


def _decode_limits(table: dict[str, Any]) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        header_bytes=_read_optional(
            table, "max_header_bytes", int, defaults.header_bytes
        ),
        body_bytes=_read_optional(
            table, "max_body_bytes", int, defaults.body_bytes
        ),
        header_timeout_s=parse_duration(table.get("header_timeout", "3s")),
        idle_timeout_s=parse_duration(table.get("idle_timeout", "15s")),
    )
