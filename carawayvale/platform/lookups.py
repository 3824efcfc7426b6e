"""The look-up and readiness calls of the platform."""

from collections.abc import Sequence
from dataclasses import dataclass
import json
from urllib.parse import parse_qs

from carawayvale.contracts.address import Address

RESOLVE_PATH = "/resolve"
READY_PATH = "/ready"


@dataclass(frozen=True)
class Lookup:
    """A caller's question which instances to use.

    :param host: host name of the service that it wants.
    :param region: the caller's region.
    :param domain: the caller's failure domain.
    """

    host: str
    region: str
    domain: str


def decode_lookup(query: str) -> Lookup:
    """Decode the query of a look-up.

    :param query: the part of the target after the question mark.
    :returns: the question; unknown parts are empty.
    """
    found = {name: values[-1] for name, values in parse_qs(query).items()}
    return Lookup(
        found.get("name", "").lower(),
        found.get("region", ""),
        found.get("zone", ""),
    )


def encode_addresses(addresses: Sequence[Address], ttl_s: float) -> bytes:
    """Encode the answer to a look-up.

    :param addresses: the instances' ports for callers.
    :param ttl_s: time for which a caller may keep the answer.
    :returns: the body.
    """
    listed = [str(address) for address in addresses]
    body = {"addresses": listed, "ttl": f"{ttl_s:g}s"}
    return json.dumps(body).encode()
