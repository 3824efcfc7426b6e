"""Checks of the files that an operator gives to the platform."""

from collections.abc import Callable
from collections.abc import Iterable
from pathlib import Path
import tomllib
from typing import Any

from carawayvale.catalogue.replica import StoredItem
from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import InvalidInput
from carawayvale.contracts.findings import Place
from carawayvale.platform.configuration import CONFIGURATION_KEY
from carawayvale.platform.configuration import decode_configuration
from carawayvale.platform.settings import KEY_VARIABLE
from carawayvale.platform.settings import load_gateway_settings
from carawayvale.platform.settings import METRICS_VARIABLE

# Values of the key ``serves`` in the deploy file. At least one role must
# serve each of them.
CALLERS_ROLE = "front"
LOOKUP_ROLE = "directory"
PEERS_ROLE = "control"
REQUIRED_ROLES = (CALLERS_ROLE, LOOKUP_ROLE, PEERS_ROLE)
MIN_KEY_CHARACTERS = 16


def check_deploy_file(path: str) -> list[Finding]:
    """Check the deploy file.

    :param path: path of the file.
    :returns: all findings.
    """
    try:
        table = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        return [Finding(Place(path), str(error))]
    findings = []
    if not isinstance(table.get("build"), str):
        findings.append(Finding(Place(path, "", "build"), "is missing"))
    roles = table.get("roles")
    if not isinstance(roles, dict) or not roles:
        findings.append(Finding(Place(path, "roles"), "no role is defined"))
        return findings
    for name, role in roles.items():
        findings += _check_role(path, f"roles.{name}", role)
    served = {s for role in roles.values() for s in role.get("serves", ())}
    findings += [
        Finding(Place(path, "roles", "serves"), f"no role serves {role}")
        for role in REQUIRED_ROLES
        if role not in served
    ]
    return findings


def _check_role(
    path: str, section: str, role: dict[str, Any]
) -> Iterable[Finding]:
    for key, is_valid, message in ROLE_CHECKS:
        if not is_valid(role.get(key)):
            yield Finding(Place(path, section, key), message)
    env = role.get("env", {})
    port = str(role.get("metrics", "")).partition("/")[0]
    if port != env.get(METRICS_VARIABLE, ""):
        yield Finding(
            Place(path, section, f"env.{METRICS_VARIABLE}"),
            f"must be the port of metrics, {port or 'not set'}",
        )
    key = env.get(KEY_VARIABLE, "")
    if len(key) < MIN_KEY_CHARACTERS:
        yield Finding(
            Place(path, section, f"env.{KEY_VARIABLE}"),
            f"must have {MIN_KEY_CHARACTERS} characters or more",
        )


def _is_nonempty_text(value: Any) -> bool:
    return isinstance(value, str) and bool(value.split())


def _is_valid_share(value: Any) -> bool:
    return value is None or (isinstance(value, float) and 0 < value <= 1)


def _is_valid_metrics(value: Any) -> bool:
    if value is None:
        return True
    port, _, page = str(value).partition("/")
    return port.isdigit() and bool(page)


ROLE_CHECKS: tuple[tuple[str, Callable[[Any], bool], str], ...] = (
    ("run", _is_nonempty_text, "must be a program and its arguments"),
    ("on", _is_nonempty_text, "must name a class of machines"),
    ("share", _is_valid_share, "must be above 0 and at most 1.0"),
    ("metrics", _is_valid_metrics, "must be PORT/PATH"),
)


def check_settings_file(path: str) -> list[Finding]:
    """Check the settings file of a process.

    :param path: path of the file.
    :returns: all findings.
    """
    try:
        load_gateway_settings(path)
    except InvalidInput as error:
        return list(error.findings)
    return []


def check_configuration_file(path: str) -> list[Finding]:
    """Check a configuration in the format of the platform's store.

    :param path: path of a file with the value of the configuration's item.
    :returns: all findings, with the path in place of the item's key.
    """
    try:
        value = Path(path).read_bytes()
        decode_configuration(StoredItem(CONFIGURATION_KEY, 0, value))
    except OSError as error:
        return [Finding(Place(path), str(error))]
    except InvalidInput as error:
        return [_relocate(finding, path) for finding in error.findings]
    return []


def _relocate(finding: Finding, path: str) -> Finding:
    """Replace the source of a finding by the path of a file."""
    place = finding.place
    return Finding(Place(path, place.section, place.key), finding.message)
