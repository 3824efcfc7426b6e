"""Paths and formats of the platform's look-up and readiness calls."""

from collections.abc import Sequence
from dataclasses import dataclass
import json
from urllib.parse import parse_qs

from carawayvale.contracts.address import Address

RESOLVE_PATH = "/resolve"
READY_PATH = "/ready"


@dataclass(frozen=True)
class DirectoryLookup:
    """A caller's look-up of the instances that it may use.

    :param host: host name of the requested service.
    :param region: the caller's region.
    :param domain: the caller's failure domain.
    """

    host: str
    region: str
    domain: str


def decode_lookup(query: str) -> DirectoryLookup:
    """Decode the query string of a look-up.

    :param query: the part of the target after the question mark.
    :returns: the look-up; parameters that are not given are empty.
    """
    parameters = {name: values[-1] for name, values in parse_qs(query).items()}
    return DirectoryLookup(
        parameters.get("name", "").lower(),
        parameters.get("region", ""),
        parameters.get("zone", ""),
    )


def encode_addresses(addresses: Sequence[Address], ttl_s: float) -> bytes:
    """Encode the response to a look-up.

    :param addresses: addresses of the instances for callers' requests.
    :param ttl_s: time to live of the response at the caller, in seconds.
    :returns: the body of the response.
    """
    texts = [str(address) for address in addresses]
    body = {"addresses": texts, "ttl": f"{ttl_s:g}s"}
    return json.dumps(body).encode()
