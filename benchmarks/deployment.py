"""Deployments of real processes for tests and benchmarks."""

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

# The ports of an example, all in a range of PORT_RANGE_SIZE from its first
# port, are mapped to a free range.
EXAMPLE_FIRST_PORT = 7000
PORT_RANGE_SIZE = 1100
MIN_PORT = 12000
MAX_PORT = 30000
WAIT_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.05

# A loopback address on which nothing else listens.
LOCK_ADDRESS = "127.255.255.254"
KEY = "deployment-test-key"
PORT_PATTERN = re.compile(r"127\.0\.0\.1:(\d+)\b")
ADDRESS_PATTERN = re.compile(r"^(\w+) = 127\.0\.0\.1:(\d+)$", re.MULTILINE)


class ProcessEnded(Exception):
    """Raised if a process of a deployment ended at its start."""


@dataclass
class Process:
    """Process of a deployment and its log file.

    :param name: name of the process.
    :param popen: handle of the process.
    :param log: file that receives its standard output and error.
    """

    name: str
    popen: subprocess.Popen
    log: Path

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.popen.poll() is None


@dataclass
class PortRange:
    """A range of ports on the loopback address, held by one deployment.

    :param first_port: the first port of the range.
    :param lock: socket that keeps other deployments from the range, also
        while processes restart and their ports are free.
    """

    first_port: int
    lock: socket.socket

    def release(self) -> None:
        """Let other deployments use the range."""
        self.lock.close()


def reserve_ports() -> PortRange:
    """Reserve a range of free ports on the loopback address.

    The search starts at a range that depends on the process id. Ranges of
    different runs do not overlap.

    :returns: the range.
    :raises OSError: if no range is free.
    """
    first_ports = list(range(MIN_PORT, MAX_PORT, PORT_RANGE_SIZE))
    start = os.getpid() % len(first_ports)
    for first_port in first_ports[start:] + first_ports[:start]:
        lock = lock_range(first_port)
        if lock is None:
            continue
        ports = range(first_port, first_port + PORT_RANGE_SIZE)
        if all(is_port_free(port) for port in ports):
            return PortRange(first_port, lock)
        lock.close()
    raise OSError(
        f"no {PORT_RANGE_SIZE} free ports between {MIN_PORT} and {MAX_PORT}"
    )


def lock_range(first_port: int) -> socket.socket | None:
    """Lock a range of ports against other runs.

    :param first_port: the first port of the range.
    :returns: a socket to keep open, or None if another run has the range.
    """
    sock = socket.socket()
    try:
        sock.bind((LOCK_ADDRESS, first_port))
        sock.listen()
    except OSError:
        sock.close()
        return None
    return sock


def is_port_free(port: int) -> bool:
    """Check whether a port of the loopback address can be bound.

    :param port: the port.
    :returns: whether the port is free.
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
    """Send an HTTP request with a JSON body and decode the response.

    :param port: port on the loopback address.
    :param method: HTTP method.
    :param path: path of the request.
    :param body: value to send as JSON, or None for no body.
    :param timeout_s: timeout in seconds.
    :returns: the decoded response, an empty dictionary if its body is
        empty, or None if the request failed or the response is no JSON.
    """
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=timeout_s
    )
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data)
        content = connection.getresponse().read()
        return json.loads(content) if content else {}
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


class RunningDeployment:
    """Example deployment that runs on free ports.

    Used as a context manager, it starts the store, the backend servers
    and the entry instances, and kills them at the end.

    :param folder: empty folder for settings and logs.
    :param names: names of the entry instances to start; None for all,
        which are 20 in the default example.
    :param transform: function that returns the changed text of the
        document before the start.
    :param service_ms: service time of the backend servers in
        milliseconds.
    :param extra_settings: lines appended to the settings of each entry
        instance.
    :param example: folder with the document and the settings.
    """

    def __init__(
        self,
        folder: Path,
        names: Iterable[str] | None = None,
        transform: Callable[[str], str] = str,
        service_ms: float = 10.0,
        extra_settings: str = "",
        example: Path = EXAMPLE,
    ):
        self.folder = Path(folder)
        self.port_range = reserve_ports()
        self.first_port = self.port_range.first_port
        self.processes: dict[str, Process] = {}
        self.service_ms = service_ms
        self.settings: dict[str, Path] = {}
        self.ports: dict[str, dict[str, int]] = {}
        text = self.map_ports((example / "document.ini").read_text())
        self.document = self.folder / "document.ini"
        self.document.write_text(transform(text))
        for path in sorted((example / "entries").glob("*.ini")):
            name = path.stem
            if names is None or name in set(names):
                self.settings[name] = self.write_settings(
                    f"{name}.ini", path, extra_settings
                )
                self.ports[name] = self.read_ports(self.settings[name])
        self.operator = self.write_operator()

    def write_operator(self) -> Path:
        """Write the settings of an operator of the entry instances.

        :returns: the settings file.
        """
        addresses = [
            f"127.0.0.1:{p['operators']}" for p in self.ports.values()
        ]
        path = self.folder / "operator.ini"
        path.write_text(
            f"[operator]\nstore = 127.0.0.1:{self.store_port}\n"
            f"team = platform\nentries = {' '.join(addresses)}\n"
        )
        return path

    def map_ports(self, text: str) -> str:
        """Replace the ports of the example by ports of the free range."""
        return PORT_PATTERN.sub(
            lambda match: f"127.0.0.1:{self.map_port(int(match[1]))}", text
        )

    def map_port(self, port: int) -> int:
        """Find the port of this deployment for a port of the example.

        :param port: port in the example.
        :returns: the port at the same place of the free range.
        :raises ValueError: if the port is not in the example's range.
        """
        place = port - EXAMPLE_FIRST_PORT
        if not 0 <= place < PORT_RANGE_SIZE:
            raise ValueError(f"port {port} is not in the example's range")
        return self.first_port + place

    def write_settings(
        self, name: str, example: Path, extra_settings: str = ""
    ) -> Path:
        """Write a copy of a settings file with the ports of this deployment.

        :param name: name of the new file.
        :param example: settings file of the example.
        :param extra_settings: lines to append.
        :returns: the new file.
        """
        path = self.folder / name
        path.write_text(self.map_ports(example.read_text()) + extra_settings)
        return path

    @staticmethod
    def read_ports(path: Path) -> dict[str, int]:
        """Read the ports in the settings of an entry instance by key."""
        pairs = ADDRESS_PATTERN.findall(path.read_text())
        return {key: int(port) for key, port in pairs}

    @property
    def store_port(self) -> int:
        """Port of the store on the loopback address."""
        return self.first_port

    def start(self, name: str, *arguments: str) -> Process:
        """Start a command of carawayvale as a process.

        :param name: name of the process and of its log file.
        :param arguments: arguments of the command line.
        :returns: the process.
        """
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
        """Start the store and the backend servers, and wait until they run.

        :raises ProcessEnded: if one of them ends, since a port is in use.
        """
        store_settings = self.folder / "store.ini"
        store_settings.write_text(
            f"[store]\naddress = 127.0.0.1:{self.store_port}\n"
            f"document = {self.document}\n"
        )
        self.start("store", "store", "--settings", str(store_settings))
        self.start(
            "backends",
            "backend",
            "--document",
            str(self.document),
            "--service-ms",
            str(self.service_ms),
        )
        self.wait_until_logged("store", "event=store_started")
        self.wait_until_logged("backends", "event=backend_started")

    def wait_until_logged(self, name: str, text: str) -> None:
        """Wait until the log of a process contains a text.

        :param name: name of the process.
        :param text: the text.
        :raises ProcessEnded: if the process ends.
        :raises TimeoutError: if the log does not contain the text in time.
        """
        process = self.processes[name]

        def is_logged() -> bool:
            is_running = process.is_running
            log = process.log.read_text()
            if not is_running:
                raise ProcessEnded(f"{name} ended: {log}")
            return text in log

        self.wait_until(is_logged, f"{name} has not logged {text!r}")

    def start_entry(self, name: str) -> Process:
        """Start an entry instance."""
        path = str(self.settings[name])
        return self.start(name, "entry", "--settings", path)

    def __enter__(self) -> "RunningDeployment":
        try:
            self.start_platform()
            for name in self.settings:
                self.start_entry(name)
            self.wait_until_converged()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Kill all processes and wait for their end."""
        for process in self.processes.values():
            if process.is_running:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()
        self.port_range.release()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self.processes[name].popen.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.processes[name].popen.kill()
        self.processes[name].popen.wait()

    def read_state(self, name: str) -> Any:
        """Read the state of an entry instance.

        :param name: name of the instance.
        :returns: the state, or None if the instance does not respond.
        """
        return call_json(self.ports[name]["operators"], "GET", "/state")

    def read_states(self, names: Iterable[str] | None = None) -> list[Any]:
        """Read the states of some entry instances, or of all."""
        return [self.read_state(n) for n in names or self.settings]

    def wait_until(
        self,
        condition: Callable[[], bool],
        message: str,
        timeout_s: float = WAIT_TIMEOUT_S,
    ) -> float:
        """Wait until a condition holds.

        :param condition: the condition.
        :param message: error message for the timeout.
        :param timeout_s: timeout in seconds.
        :returns: waiting time in seconds.
        :raises TimeoutError: if the condition does not hold in time.
        """
        start_s = time.monotonic()
        while not condition():
            if time.monotonic() - start_s > timeout_s:
                raise TimeoutError(f"{message}\n{self.read_log_tails()}")
            time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - start_s

    def read_log_tails(self) -> str:
        """Read the last 600 characters of each log."""
        return "\n".join(
            f"{p.name}: {p.log.read_text()[-600:]}"
            for p in self.processes.values()
        )

    def is_converged(self, names: Iterable[str] | None = None) -> bool:
        """Check that entry instances are ready and list each other as alive.

        :param names: names of the instances; None for all.
        :returns: whether the membership has converged.
        """
        expected = sorted(names or self.settings)
        for state in self.read_states(expected):
            if state is None or not state["ready"]:
                return False
            if list_alive(state) != expected:
                return False
        return True

    def wait_until_converged(
        self, names: Iterable[str] | None = None
    ) -> float:
        """Wait until entry instances are ready and list each other as alive.

        :param names: names of the instances; None for all.
        :returns: waiting time in seconds.
        """
        expected = list(names or self.settings)
        return self.wait_until(
            lambda: self.is_converged(expected), "not converged"
        )

    def list_revisions(self, name: str) -> list[int]:
        """List the revisions that an instance put in force, from its log."""
        text = self.processes[name].log.read_text()
        pattern = r"event=revision_in_force .*?revision=(\d+)"
        return [int(number) for number in re.findall(pattern, text)]

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run a command of carawayvale to its end."""
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
        """Edit a section of the document as the platform team."""
        return self.edit_as("platform", section, *values)

    def edit_as(
        self, team: str, section: str, *values: str
    ) -> subprocess.CompletedProcess:
        """Edit a section of the document as the given team."""
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
        """Set the faults that the store simulates."""
        call_json(self.store_port, "PUT", "/faults", faults)

    def find_endpoints(self, pattern: str) -> dict[str, int]:
        """Find endpoints of the document by name.

        :param pattern: regular expression for the whole name.
        :returns: port by name of the endpoint.
        """
        found = {}
        text = self.document.read_text()
        for match in re.finditer(
            r"\[endpoint:([\w-]+)\][^\[]*?address = 127\.0\.0\.1:(\d+)", text
        ):
            if re.fullmatch(pattern, match[1]):
                found[match[1]] = int(match[2])
        return found

    def read_ledgers(self, pattern: str = ".*") -> dict[str, Any]:
        """Read the ledgers of backend servers.

        :param pattern: regular expression for the endpoint name.
        :returns: ledger by name of the endpoint.
        """
        return {
            name: call_json(port, "GET", "/ledger")
            for name, port in self.find_endpoints(pattern).items()
        }

    def set_backend_faults(self, pattern: str, **faults: Any) -> None:
        """Set the faults that backend servers simulate.

        :param pattern: regular expression for the endpoint name.
        :param faults: the faults.
        """
        for port in self.find_endpoints(pattern).values():
            call_json(port, "PUT", "/faults", faults)


def list_alive(state: Any) -> list[str]:
    """List the instances that a state reports as alive.

    :param state: state of an entry instance.
    :returns: names of the instances in alphabetical order.
    """
    return sorted(m["name"] for m in state["members"] if m["state"] == "alive")
