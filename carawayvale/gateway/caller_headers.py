"""Headers of callers' requests as they are passed on."""

from carawayvale.catalogue.header_names import HeaderNames
from carawayvale.contracts.headers import HOST
from carawayvale.contracts.headers import strip_hop_by_hop
from carawayvale.gateway.owner_messages import strip_internal_headers

HeaderFields = tuple[tuple[bytes, bytes], ...]


def prepare_headers(headers: HeaderFields, names: HeaderNames) -> HeaderFields:
    """Drop what a caller's headers say to this instance only.

    This comes before the system adds headers of its own, so that a caller
    cannot declare these to concern one connection only.

    :param headers: headers of the request as it was received.
    :param names: names of the HTTP headers.
    :returns: the headers to pass on.
    """
    kept = frozenset({HOST, names.request_id, names.affinity})
    return strip_internal_headers(tuple(strip_hop_by_hop(headers, kept)))


def replace_credentials(
    headers: HeaderFields, names: HeaderNames, organisation: str
) -> HeaderFields:
    """Replace the key of a caller by the name of its organisation.

    :param headers: headers of the request, prepared by
        :func:`prepare_headers`.
    :param names: names of the HTTP headers.
    :param organisation: name of the organisation; empty if it has none.
    :returns: the headers with the name once, or without it.
    """
    dropped = (names.credentials, names.organisation)
    passed_on = tuple((n, v) for n, v in headers if n not in dropped)
    if not organisation:
        return passed_on
    return (*passed_on, (names.organisation, organisation.encode()))
