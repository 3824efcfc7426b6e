"""Network addresses."""

from dataclasses import dataclass
import ipaddress

MAX_PORT = 65535


@dataclass(frozen=True, order=True)
class Address:
    """An IP address and a TCP or UDP port.

    :param host: IP address as text.
    :param port: port number.
    """

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse an address of the form ``IP:port``.

    :param text: value as written.
    :returns: the address.
    :raises ValueError: if the host is not an IP address or the port is
        invalid.
    """
    host, separator, port = text.strip().rpartition(":")
    if not separator or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError("must be IP:port with a port of at most 65535")
    return Address(str(ipaddress.ip_address(host.strip("[]"))), int(port))
