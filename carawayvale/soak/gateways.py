"""Processes of gateways, started with the command of the deploy file."""

import json
import os
from pathlib import Path
import signal
import subprocess
import sys
import sysconfig
import time
import tomllib

import curio

from carawayvale.contracts.address import Address
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import ConnectionBroken
from carawayvale.platform.settings import METRICS_VARIABLE
from carawayvale.platform.settings import PATH_VARIABLE
from carawayvale.platform.standin_formats import make_settings
from carawayvale.platform.standin_formats import METRICS_OFFSET
from carawayvale.platform.standin_formats import READY_PATH

# Below the range of ephemeral ports; each gateway has its own address.
FIRST_PORT = 7101
CALLERS, READINESS = range(2)

REGIONS = {"ekm-a": "ernakulam", "kzd-a": "kozhikode"}
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
KILL_WAIT_S = 5.0
MAX_BYTES = 1 << 16


def find_libraries(root: Path) -> Path:
    """Find the folder with the libraries that gateways need.

    :param root: folder of the code to run.
    :returns: the folder that the deploy file's build fills; without it, the
        libraries of this interpreter.
    """
    built = root / "target/deps"
    return built if built.is_dir() else Path(sysconfig.get_path("purelib"))


class GatewayProcess:
    """One gateway, which may be stopped and started again.

    :param root: folder of the code to run.
    :param folder: folder for its settings file and its log.
    :param number: its number.
    :param network: the first three parts of the loopback addresses.
    :param store: address of the store.
    """

    def __init__(
        self,
        root: Path,
        folder: Path,
        number: int,
        network: str,
        store: Address,
    ):
        self.root = root
        self.folder = folder
        self.number = number
        self.network = network
        self.store = store
        self.domain = list(REGIONS)[number % len(REGIONS)]
        self.process: subprocess.Popen | None = None

    def find_address(self, port: int, number: int | None = None) -> Address:
        """Find an address of a gateway.

        :param port: which of its ports.
        :param number: number of the gateway; None for this one.
        :returns: the address.
        """
        number = self.number if number is None else number
        return Address(f"{self.network}.{10 + number}", FIRST_PORT + port)

    @property
    def log_path(self) -> Path:
        """File with its output."""
        return self.folder / f"gateway-{self.number}.log"

    def _write_settings(self) -> Path:
        settings = make_settings(
            f"gateway-{self.number}",
            self.find_address(CALLERS).host,
            FIRST_PORT,
            self.domain,
            REGIONS,
            [self.find_address(CALLERS, n).host for n in range(3)],
            self.store,
        )
        path = self.folder / f"settings-{self.number}.json"
        path.write_text(json.dumps(settings))
        return path

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((self.root / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        environment = {
            **os.environ,
            "PYTHONPATH": str(find_libraries(self.root)),
            **role["env"],
            PATH_VARIABLE: str(self._write_settings()),
            METRICS_VARIABLE: str(FIRST_PORT + METRICS_OFFSET),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *role["run"].split()[1:]],
                cwd=self.root,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process is running.

        :param number: the signal.
        """
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_end(self, timeout_s: float) -> int | None:
        """Wait for the end of the process.

        :param timeout_s: longest wait in seconds.
        :returns: its exit status; None if it is still running.
        """
        until_s = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < until_s:
            await curio.sleep(POLL_S)
        return self.process.poll()

    async def wait_ready(self) -> None:
        """Wait until the gateway says that it is ready.

        :raises TimeoutError: if it does not in time.
        """
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            if await self.is_ready():
                return
            await curio.sleep(POLL_S)
        raise TimeoutError(f"gateway {self.number} is not ready")

    async def is_ready(self) -> bool:
        """Ask the gateway whether it is ready.

        :returns: whether it answered with status 200 within a second.
        """
        pool = ConnectionPool(self.find_address(READINESS))
        call = OutgoingCall("GET", READY_PATH, [(b"host", b"gateway")])
        try:
            response = await pool.exchange(call, 1.0, MAX_BYTES)
        except (ConnectionBroken, curio.TaskTimeout):
            return False
        finally:
            await pool.close()
        return response.head.status == 200

    def end(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(KILL_WAIT_S)
