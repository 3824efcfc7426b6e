"""Starts a deployment as real processes for tests and measurements."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import http.client
import json
import os
from pathlib import Path
import re
import signal
import socket
import subprocess
import sys
import time
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = ROOT / "examples" / "gitterwerk"
EXAMPLE_BASE = 7000
PORTS = 1100
FIRST_PORT = 12000
LAST_PORT = 30000
WAIT_S = 40.0
POLL_S = 0.05
KEY = "deployment-test-key"
PORT_PATTERN = re.compile(r"127\.0\.0\.1:(7\d{3})\b")
ADDRESS_PATTERN = re.compile(r"^(\w+) = 127\.0\.0\.1:(\d+)$", re.MULTILINE)


@dataclass
class Process:
    """A started process and its log."""

    name: str
    popen: subprocess.Popen
    log: Path

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.popen.poll() is None


def find_base() -> int:
    """Find a range of free ports.

    :returns: its first port.
    """
    start = FIRST_PORT + (os.getpid() * PORTS) % (LAST_PORT - FIRST_PORT)
    for base in (
        *range(start, LAST_PORT, PORTS),
        *range(FIRST_PORT, start, PORTS),
    ):
        if all(is_free(base + n) for n in range(0, PORTS, 7)):
            return base
    raise OSError("no free range of ports")


def is_free(port: int) -> bool:
    """Tell whether a port can be bound.

    :param port: the port.
    :returns: whether it is free.
    """
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def call_json(
    port: int, method: str, path: str, body: Any = None, timeout_s: float = 5
) -> Any:
    """Make a control call.

    :param port: port on the loopback address.
    :param method: HTTP method.
    :param path: path.
    :param body: JSON body, or None.
    :param timeout_s: longest wait in seconds.
    :returns: the decoded answer, or None without one.
    """
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=timeout_s
    )
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data)
        answer = connection.getresponse().read()
        return json.loads(answer) if answer else {}
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


class Deployment:
    """The example deployment on free ports.

    :param folder: empty folder for settings and logs.
    :param names: entry instances to start; None for all 20.
    :param change: changes the document's text before the start.
    :param service_ms: time that a backend server takes.
    :param extra_settings: further lines of each entry's settings.
    :param example: folder with the document and the settings.
    """

    def __init__(
        self,
        folder: Path,
        names: Iterable[str] | None = None,
        change: Callable[[str], str] = str,
        service_ms: float = 10.0,
        extra_settings: str = "",
        example: Path = EXAMPLE,
    ):
        self.folder = Path(folder)
        self.base = find_base()
        self.processes: dict[str, Process] = {}
        self.service_ms = service_ms
        self.settings: dict[str, Path] = {}
        self.ports: dict[str, dict[str, int]] = {}
        text = self.shift((example / "document.ini").read_text())
        self.document = self.folder / "document.ini"
        self.document.write_text(change(text))
        for path in sorted((example / "entries").glob("*.ini")):
            name = path.stem
            if names is None or name in set(names):
                self.settings[name] = self.write(
                    f"{name}.ini", path, extra_settings
                )
                self.ports[name] = self.read_ports(self.settings[name])
        self.operator = self.write_operator()

    def write_operator(self) -> Path:
        """Write the settings of an operator for the started entries."""
        listed = [f"127.0.0.1:{p['operators']}" for p in self.ports.values()]
        path = self.folder / "operator.ini"
        path.write_text(
            f"[operator]\nstore = 127.0.0.1:{self.store_port}\n"
            f"team = platform\nentries = {' '.join(listed)}\n"
        )
        return path

    def shift(self, text: str) -> str:
        """Move the example's ports to the free range."""
        offset = self.base - EXAMPLE_BASE
        return PORT_PATTERN.sub(
            lambda m: f"127.0.0.1:{int(m[1]) + offset}", text
        )

    def write(
        self, name: str, example: Path, extra_settings: str = ""
    ) -> Path:
        """Write a settings file after the example."""
        path = self.folder / name
        path.write_text(self.shift(example.read_text()) + extra_settings)
        return path

    @staticmethod
    def read_ports(path: Path) -> dict[str, int]:
        """Read the ports of an entry's settings by key."""
        pairs = ADDRESS_PATTERN.findall(path.read_text())
        return {key: int(port) for key, port in pairs}

    @property
    def store_port(self) -> int:
        """Port of the store."""
        return self.base

    def start(self, name: str, *arguments: str) -> Process:
        """Start a process of the command line."""
        log = self.folder / f"{name}.log"
        command = [sys.executable, "-m", "carawayvale", *arguments]
        environment = {**os.environ, "CARAWAYVALE_KEY": KEY}
        with log.open("ab") as sink:
            popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=sink,
                stderr=sink,
                stdin=subprocess.DEVNULL,
            )
        self.processes[name] = Process(name, popen, log)
        return self.processes[name]

    def start_platform(self) -> None:
        """Start the store and the backend servers."""
        store = self.folder / "store.ini"
        store.write_text(
            f"[store]\naddress = 127.0.0.1:{self.store_port}\n"
            f"document = {self.document}\n"
        )
        self.start("store", "store", "--settings", str(store))
        self.start(
            "backends",
            "backend",
            "--document",
            str(self.document),
            "--service-ms",
            str(self.service_ms),
        )

    def start_entry(self, name: str) -> Process:
        """Start an entry instance."""
        path = str(self.settings[name])
        return self.start(name, "entry", "--settings", path)

    def __enter__(self) -> "Deployment":
        try:
            self.start_platform()
            for name in self.settings:
                self.start_entry(name)
            self.wait_until_converged()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *caught: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.processes.values():
            if process.is_running:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self.processes[name].popen.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.processes[name].popen.kill()
        self.processes[name].popen.wait()

    def read_state(self, name: str) -> Any:
        """Read an entry's state; None if it does not answer."""
        return call_json(self.ports[name]["operators"], "GET", "/state")

    def read_states(self, names: Iterable[str] | None = None) -> list[Any]:
        """Read the states of entries."""
        return [self.read_state(n) for n in names or self.settings]

    def wait_until(
        self, check: Callable[[], bool], what: str, limit_s: float = WAIT_S
    ) -> float:
        """Wait on a condition.

        :returns: how long it took in seconds.
        :raises TimeoutError: if it does not come about.
        """
        began_s = time.monotonic()
        while not check():
            if time.monotonic() - began_s > limit_s:
                raise TimeoutError(f"{what}\n{self.read_tails()}")
            time.sleep(POLL_S)
        return time.monotonic() - began_s

    def read_tails(self) -> str:
        """Read the ends of all logs."""
        return "\n".join(
            f"{p.name}: {p.log.read_text()[-600:]}"
            for p in self.processes.values()
        )

    def is_converged(self, names: Iterable[str] | None = None) -> bool:
        """Tell whether the entries see each other and are ready."""
        wanted = sorted(names or self.settings)
        for state in self.read_states(wanted):
            if state is None or not state["ready"]:
                return False
            if list_alive(state) != wanted:
                return False
        return True

    def wait_until_converged(
        self, names: Iterable[str] | None = None
    ) -> float:
        """Wait until the entries see each other."""
        listed = list(names or self.settings)
        return self.wait_until(lambda: self.is_converged(listed), "not whole")

    def list_revisions(self, name: str) -> list[int]:
        """List the revisions that came into force, by an entry's log."""
        text = self.processes[name].log.read_text()
        pattern = r"event=revision_in_force .*?revision=(\d+)"
        return [int(number) for number in re.findall(pattern, text)]

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run a command of an operator."""
        command = [sys.executable, "-m", "carawayvale", *arguments]
        environment = {**os.environ, "CARAWAYVALE_KEY": KEY}
        return subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )

    def edit(self, section: str, *values: str) -> subprocess.CompletedProcess:
        """Edit a section of the platform team."""
        return self.edit_as("platform", section, *values)

    def edit_as(
        self, team: str, section: str, *values: str
    ) -> subprocess.CompletedProcess:
        """Edit a section of a team."""
        return self.run_command(
            "document",
            "edit",
            section,
            *values,
            "--settings",
            str(self.operator),
            "--team",
            team,
        )

    def set_store_faults(self, **faults: Any) -> None:
        """Switch faults of the store on and off."""
        call_json(self.store_port, "PUT", "/faults", faults)

    def find_endpoints(self, pattern: str) -> dict[str, int]:
        """Find the ports of endpoints whose names match."""
        found = {}
        text = self.document.read_text()
        for match in re.finditer(
            r"\[endpoint:([\w-]+)\][^\[]*?address = 127\.0\.0\.1:(\d+)", text
        ):
            if re.fullmatch(pattern, match[1]):
                found[match[1]] = int(match[2])
        return found

    def read_ledgers(self, pattern: str = ".*") -> dict[str, Any]:
        """Read the ledgers of backend servers by endpoint."""
        return {
            name: call_json(port, "GET", "/ledger")
            for name, port in self.find_endpoints(pattern).items()
        }

    def set_backend_faults(self, pattern: str, **faults: Any) -> None:
        """Switch faults of backend servers on and off."""
        for port in self.find_endpoints(pattern).values():
            call_json(port, "PUT", "/faults", faults)


def list_alive(state: Any) -> list[str]:
    """List the instances that a state shows as live.

    :param state: an entry's state.
    :returns: their names.
    """
    return sorted(m["name"] for m in state["members"] if m["state"] == "alive")
