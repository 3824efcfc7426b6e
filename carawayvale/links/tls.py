"""TLS contexts loaded from the files named in the settings."""

from dataclasses import dataclass
import ssl

from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import InvalidInput
from carawayvale.contracts.findings import Place
from carawayvale.contracts.settings import EntrySettings

TLS_KEYS = ("tls_certificate", "tls_key", "tls_authority")


@dataclass(frozen=True)
class TlsContexts:
    """TLS contexts for both sides; None without TLS.

    :param server: context for accepted connections.
    :param client: context for connections to other instances.
    """

    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


def load_tls(settings: EntrySettings) -> TlsContexts:
    """Load the TLS contexts of an entry instance.

    :param settings: settings of the instance.
    :returns: the contexts; both None if no TLS file is set.
    :raises InvalidInput: if only some files are set or one is invalid.
    """
    given = [key for key in TLS_KEYS if getattr(settings, key)]
    if not given:
        return TlsContexts()
    missing = [key for key in TLS_KEYS if key not in given]
    if missing:
        message = "must be set if another TLS file is set"
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
    """Load a client context that trusts one certificate authority.

    Host names are not checked, because instances are addressed by IP
    addresses that their certificates need not contain. The authority
    must therefore sign certificates of this deployment only.

    :param path: file with the certificate of the authority.
    :returns: the client context.
    :raises OSError: if the file cannot be read.
    """
    client = ssl.create_default_context(cafile=path)
    client.check_hostname = False
    return client
