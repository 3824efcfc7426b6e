"""Identify the organisations of requests by their keys.

A key is compared and then dropped: it is not sent on with the request, so it
reaches no endpoint, no log and no metric.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
import re

from carawayvale.catalogue.records import OrganisationRecord

# Credentials that are longer are malformed; keys have some dozen bytes.
MAX_CREDENTIALS_BYTES = 1024

CREDENTIALS = re.compile(rb"([!-~]+) +([!-~]+)")
KEY = re.compile(r"[!-~]{1,1000}")


def is_valid_key(key: str) -> bool:
    """Tell whether callers can send a key.

    :param key: the key.
    :returns: whether it is one word of printable ASCII, and short enough.

    >>> is_valid_key("k1"), is_valid_key("k 1"), is_valid_key("")
    (True, False, False)
    """
    return KEY.fullmatch(key) is not None


class RejectionReason(Enum):
    """Why the credentials of a request identify no organisation."""

    NO_KEY = "no_key"
    MALFORMED_CREDENTIALS = "malformed_credentials"
    UNKNOWN_KEY = "unknown_key"


@dataclass(frozen=True)
class Identified:
    """The organisation of a request.

    :param organisation: the organisation; None for a request that needs
        none.
    """

    organisation: OrganisationRecord | None = None


@dataclass(frozen=True)
class Rejected:
    """Rejection of the credentials of a request.

    :param reason: why they are rejected.
    """

    reason: RejectionReason


class KeyTable:
    """Keys of the organisations of one configuration.

    :param organisations: all organisations.
    :param scheme: name of the authentication scheme, in lower case.

    >>> table = KeyTable([OrganisationRecord("press", ("k1",))], b"token")
    >>> table.identify([b"Token k1"]).organisation.name
    'press'
    >>> table.identify([b"Token k2"]).reason
    <RejectionReason.UNKNOWN_KEY: 'unknown_key'>
    """

    def __init__(
        self, organisations: Iterable[OrganisationRecord], scheme: bytes
    ):
        self.scheme = scheme
        self._organisations = {
            key.encode(): organisation
            for organisation in organisations
            for key in organisation.keys
        }

    def identify(self, credentials: Sequence[bytes]) -> Identified | Rejected:
        """Find the organisation that holds the key of a request.

        :param credentials: the values of the header with the credentials.
        :returns: the organisation, or why there is none.
        """
        if not credentials:
            return Rejected(RejectionReason.NO_KEY)
        key = self._read_key(credentials)
        if key is None:
            return Rejected(RejectionReason.MALFORMED_CREDENTIALS)
        organisation = self._organisations.get(key)
        if organisation is None:
            return Rejected(RejectionReason.UNKNOWN_KEY)
        return Identified(organisation)

    def _read_key(self, credentials: Sequence[bytes]) -> bytes | None:
        """Read the key; repeated credentials are ambiguous, so malformed."""
        if len(credentials) > 1:
            return None
        value = credentials[0].strip()
        if len(value) > MAX_CREDENTIALS_BYTES:
            return None
        match = CREDENTIALS.fullmatch(value)
        if match is None or match.group(1).lower() != self.scheme:
            return None
        return match.group(2)


def intersect_regions(
    first: frozenset[str], second: frozenset[str]
) -> frozenset[str] | None:
    """Find the regions that two restrictions allow; an empty one allows all.

    :param first: regions that one restriction allows.
    :param second: regions that the other one allows.
    :returns: the regions, empty for all; None if no region is allowed.

    >>> intersect_regions(frozenset(), frozenset({"zurich"}))
    frozenset({'zurich'})
    >>> intersect_regions(frozenset({"geneva"}), frozenset({"zurich"}))
    """
    if not first or not second:
        return first or second
    return (first & second) or None
