"""Writes documents and settings for deployments of any size."""

from dataclasses import dataclass
from pathlib import Path

BASE_PORT = 7000
CALLERS_PORT = BASE_PORT + 100
PEERS_PORT = BASE_PORT + 200
OPERATORS_PORT = BASE_PORT + 300
BACKEND_PORT = BASE_PORT + 1000
SEEDS = 3
MAX_ENTRIES = 99


@dataclass(frozen=True)
class Fleet:
    """Size of a deployment.

    :param entries: entry instances.
    :param regions: regions, each with two failure domains.
    :param services: services, each with an endpoint in every domain.
    """

    entries: int
    regions: int = 1
    services: int = 2

    def write(self, folder: Path) -> Path:
        """Write the document and the settings of all entries.

        :param folder: an empty folder.
        :returns: the folder.
        """
        (folder / "entries").mkdir(parents=True)
        (folder / "document.ini").write_text(self.format_document())
        for number in range(self.entries):
            path = folder / "entries" / f"n{number:02}.ini"
            path.write_text(self.format_entry(number))
        return folder

    def format_document(self) -> str:
        """Write the document."""
        parts = [
            "[rank:urgent]\nowner = platform\norder = 1\nmax_wait_s = 1",
        ]
        for region in range(self.regions):
            name = f"r{region}"
            parts.append(
                f"[region:{name}]\nowner = platform\nlimit = 100000\n"
                f"instances = {self.entries // self.regions + 1}"
            )
            for domain in "ab":
                parts.append(
                    f"[domain:{name}-{domain}]\nowner = platform\n"
                    f"region = {name}"
                )
        for service in range(self.services):
            parts.append(
                f"[service:s{service}]\nowner = platform\nrank = urgent"
            )
        return "\n\n".join([*parts, *self.list_endpoints()]) + "\n"

    def list_endpoints(self) -> list[str]:
        """Write the sections of the endpoints."""
        listed = []
        for service in range(self.services):
            for region in range(self.regions):
                for domain in "ab":
                    port = BACKEND_PORT + len(listed)
                    listed.append(
                        f"[endpoint:s{service}-r{region}-{domain}]\n"
                        f"owner = platform\nservice = s{service}\n"
                        f"region = r{region}\ndomain = r{region}-{domain}\n"
                        f"address = 127.0.0.1:{port}\nslots = 4"
                    )
        return listed

    def format_entry(self, number: int) -> str:
        """Write the settings of one entry."""
        region = f"r{number % self.regions}"
        domain = "ab"[number // self.regions % 2]
        seeds = " ".join(
            f"127.0.0.1:{PEERS_PORT + n}"
            for n in range(min(SEEDS, self.entries))
            if n != number
        )
        return (
            f"[entry]\nname = n{number:02}\nregion = {region}\n"
            f"domain = {region}-{domain}\n"
            f"callers = 127.0.0.1:{CALLERS_PORT + number}\n"
            f"peers = 127.0.0.1:{PEERS_PORT + number}\n"
            f"operators = 127.0.0.1:{OPERATORS_PORT + number}\n"
            f"store = 127.0.0.1:{BASE_PORT}\nseeds = {seeds}\n"
        )
