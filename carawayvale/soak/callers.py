"""Stand-ins of callers, which keep their connections while they can."""

from dataclasses import dataclass
import random
import time

import curio

from carawayvale.contracts.address import Address
from carawayvale.links.http import connect
from carawayvale.links.http import ConnectFailed
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http_client import HttpClient
from carawayvale.platform.headers import HEADER_NAMES
from carawayvale.soak.records import Record
from carawayvale.soak.records import SentRequest

HOST = b"wells.example"
UNSAFE_PATH = "/book/1"
SAFE_PATH = "/slot/1"
MAX_BODY_BYTES = 1 << 16
RETRY_S = 0.05
MS_PER_S = 1000


@dataclass(frozen=True)
class CallerBehaviour:
    """How callers behave.

    :param deadline_s: time that they wait for an answer.
    :param pause_s: longest pause between two requests.
    :param unsafe_share: share of the requests that are not idempotent.
    :param objects: number of different objects.
    """

    deadline_s: float = 4.0
    pause_s: float = 0.05
    unsafe_share: float = 0.7
    objects: int = 40


class SoakCaller:
    """One caller; it sends its requests one after the other.

    :param number: its number, part of the ids of its requests.
    :param addresses: the gateways' addresses for callers.
    :param behaviour: how it behaves.
    :param record: what the soak has seen.
    :param seed: seed of its choices.
    """

    def __init__(
        self,
        number: int,
        addresses: list[Address],
        behaviour: CallerBehaviour,
        record: Record,
        seed: int,
    ):
        self.number = number
        self.addresses = addresses
        self.behaviour = behaviour
        self.record = record
        self.random = random.Random(f"{seed}/{number}")
        self.count = 0
        self.client: HttpClient | None = None
        self.gateway = 0

    async def run(self, until_s: float) -> None:
        """Send requests.

        :param until_s: end of the traffic.
        """
        while time.monotonic() < until_s:
            if self.client is None and not await self._connect():
                await curio.sleep(RETRY_S)
                continue
            if not await self._call():
                await self.client.close()
                self.client = None
            await curio.sleep(self.random.uniform(0, self.behaviour.pause_s))
        if self.client is not None:
            await self.client.close()

    async def _connect(self) -> bool:
        """Open a connection to a gateway chosen at random."""
        self.gateway = self.random.randrange(len(self.addresses))
        try:
            sock = await connect(self.addresses[self.gateway])
        except ConnectFailed:
            return False
        self.client = HttpClient(sock)
        return True

    async def _call(self) -> bool:
        """Send one request; return whether the connection stays open."""
        behaviour = self.behaviour
        self.count += 1
        request_id = f"{self.number}-{self.count}"
        unsafe = self.random.random() < behaviour.unsafe_share
        deadline_ms = behaviour.deadline_s * MS_PER_S
        key = self.random.randrange(behaviour.objects)
        headers = [
            (b"host", HOST),
            (HEADER_NAMES.request_id, request_id.encode()),
            (HEADER_NAMES.deadline_ms, b"%d" % deadline_ms),
            (HEADER_NAMES.affinity, b"%d" % key),
        ]
        method, path = ("POST", UNSAFE_PATH) if unsafe else ("GET", SAFE_PATH)
        client = self.client
        try:
            await client.send_request(method, path, headers)
        except ConnectionBroken:
            return False
        request = SentRequest(
            request_id, not unsafe, self.gateway, time.monotonic()
        )
        try:
            async with curio.timeout_after(behaviour.deadline_s + 1.0):
                await self._read_answer(request)
        except ConnectionBroken:
            request.status = 0
        except curio.TaskTimeout:
            request.gave_up = True
        request.ended_s = time.monotonic()
        self.record.requests.append(request)
        return bool(request.status) and client.reset()

    async def _read_answer(self, request: SentRequest) -> None:
        head = await self.client.read_head()
        request.body = await self.client.read_body(MAX_BODY_BYTES)
        request.status = head.status
        echoed_id = head.find(HEADER_NAMES.request_id)
        request.echoed_id = (echoed_id or b"").decode()
        request.stamp = (head.find(HEADER_NAMES.stamp) or b"").decode()
