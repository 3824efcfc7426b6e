"""Network addresses."""

from dataclasses import dataclass


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
