"""Documents and settings of generated deployments of any size."""

from dataclasses import dataclass
from pathlib import Path

STORE_PORT = 7000
FIRST_CALLERS_PORT = STORE_PORT + 100
FIRST_PEERS_PORT = STORE_PORT + 200
FIRST_OPERATORS_PORT = STORE_PORT + 300
FIRST_BACKEND_PORT = STORE_PORT + 1000
MAX_SEEDS = 3
MAX_ENTRIES = 99


@dataclass(frozen=True)
class Fleet:
    """Generated deployment of a given size.

    :param entries: number of entry instances.
    :param regions: number of regions, each with two failure domains.
    :param services: number of services, each with one endpoint in every
        failure domain.
    """

    entries: int
    regions: int = 1
    services: int = 2

    def write(self, folder: Path) -> Path:
        """Write the document and the settings of all entry instances.

        :param folder: folder that does not exist yet or is empty.
        :returns: the folder.
        """
        (folder / "entries").mkdir(parents=True)
        (folder / "document.ini").write_text(self.format_document())
        for number in range(self.entries):
            path = folder / "entries" / f"n{number:02}.ini"
            path.write_text(self.format_entry(number))
        return folder

    def format_document(self) -> str:
        """Format the document.

        :returns: text of the document.
        """
        sections = [
            "[rank:urgent]\nowner = platform\norder = 1\nmax_wait_s = 1",
        ]
        for region in range(self.regions):
            name = f"r{region}"
            sections.append(
                f"[region:{name}]\nowner = platform\nlimit = 100000\n"
                f"instances = {self.entries // self.regions + 1}"
            )
            for domain in "ab":
                sections.append(
                    f"[domain:{name}-{domain}]\nowner = platform\n"
                    f"region = {name}"
                )
        for service in range(self.services):
            sections.append(
                f"[service:s{service}]\nowner = platform\nrank = urgent"
            )
        return "\n\n".join([*sections, *self.list_endpoints()]) + "\n"

    def list_endpoints(self) -> list[str]:
        """List the sections of the endpoints.

        :returns: texts of the sections.
        """
        sections = []
        for service in range(self.services):
            for region in range(self.regions):
                for domain in "ab":
                    port = FIRST_BACKEND_PORT + len(sections)
                    sections.append(
                        f"[endpoint:s{service}-r{region}-{domain}]\n"
                        f"owner = platform\nservice = s{service}\n"
                        f"region = r{region}\ndomain = r{region}-{domain}\n"
                        f"address = 127.0.0.1:{port}\nslots = 4"
                    )
        return sections

    def format_entry(self, number: int) -> str:
        """Format the settings of one entry instance.

        :param number: number of the instance.
        :returns: text of the settings.
        """
        region = f"r{number % self.regions}"
        domain = "ab"[number // self.regions % 2]
        seeds = " ".join(
            f"127.0.0.1:{FIRST_PEERS_PORT + n}"
            for n in range(min(MAX_SEEDS, self.entries))
            if n != number
        )
        return (
            f"[entry]\nname = n{number:02}\nregion = {region}\n"
            f"domain = {region}-{domain}\n"
            f"callers = 127.0.0.1:{FIRST_CALLERS_PORT + number}\n"
            f"peers = 127.0.0.1:{FIRST_PEERS_PORT + number}\n"
            f"operators = 127.0.0.1:{FIRST_OPERATORS_PORT + number}\n"
            f"store = 127.0.0.1:{STORE_PORT}\nseeds = {seeds}\n"
        )
