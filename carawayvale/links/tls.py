"""TLS contexts from the files that the settings name."""

from dataclasses import dataclass
import ssl

from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import InvalidInput
from carawayvale.contracts.findings import Place
from carawayvale.contracts.settings import EntrySettings

TLS_KEYS = ("tls_certificate", "tls_key", "tls_authority")


@dataclass(frozen=True)
class TlsContexts:
    """Contexts of both sides; None without TLS.

    :param server: for accepted connections.
    :param client: for connections to other instances.
    """

    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


def load_tls(settings: EntrySettings) -> TlsContexts:
    """Load the contexts that an entry's settings name.

    :param settings: the settings.
    :returns: the contexts; without files, contexts of None.
    :raises InvalidInput: if only some files are named, or one is wrong.
    """
    given = [key for key in TLS_KEYS if getattr(settings, key)]
    if not given:
        return TlsContexts()
    missing = [key for key in TLS_KEYS if key not in given]
    if missing:
        message = "must be set, since other TLS files are"
        raise InvalidInput(
            Finding(Place(settings.name, "entry", key), message)
            for key in missing
        )
    try:
        server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        server.load_cert_chain(settings.tls_certificate, settings.tls_key)
        return TlsContexts(server, load_authority(settings.tls_authority))
    except (OSError, ssl.SSLError) as error:
        place = Place(settings.name, "entry", "tls_certificate")
        raise InvalidInput([Finding(place, str(error))]) from None


def load_authority(path: str) -> ssl.SSLContext:
    """Load the context that checks servers against an authority.

    Instances are known by IP numbers that certificates need not name,
    so names are not checked; the authority must sign for the deployment
    alone.

    :param path: file with the authority's certificate.
    :returns: the context.
    :raises OSError: if the file cannot be read.
    """
    client = ssl.create_default_context(cafile=path)
    client.check_hostname = False
    return client
