"""Stand-in of an endpoint that is full now and then, and misbehaves."""

from dataclasses import dataclass
import random
import time
from typing import Any

import curio

from carawayvale.catalogue.records import RequestLimits
from carawayvale.contracts.address import Address
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.request_parser import encode_response
from carawayvale.gateway.request_parser import RequestParser
from carawayvale.links.http import READ_BYTES
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.links.sockets import StreamSocket
from carawayvale.platform.headers import HEADER_NAMES
from carawayvale.platform.standin_formats import HEALTH_PATH
from carawayvale.platform.standin_formats import make_endpoint_entry
from carawayvale.soak.records import make_body
from carawayvale.soak.records import Record
from carawayvale.soak.records import Run

HEARTBEAT_S = 1.5


@dataclass(frozen=True)
class EndpointBehaviour:
    """How an endpoint behaves.

    :param slots: number of requests that it runs at once.
    :param work_s: shortest and longest time that a request takes.
    :param refused_share: share of the requests that it refuses.
    :param repeated_share: share of its answers that it sends a second time,
        before the next answer on the connection.
    :param broken_share: share of its answers that it breaks off.
    """

    slots: int = 4
    work_s: tuple[float, float] = (0.05, 0.3)
    refused_share: float = 0.0
    repeated_share: float = 0.0
    broken_share: float = 0.0


class SoakEndpoint:
    """One endpoint.

    :param name: its id.
    :param service: its service.
    :param behaviour: how it behaves.
    :param record: what the soak has seen.
    :param seed: seed of its choices.
    """

    def __init__(
        self,
        name: str,
        service: str,
        behaviour: EndpointBehaviour,
        record: Record,
        seed: int,
    ):
        self.name = name
        self.service = service
        self.behaviour = behaviour
        self.record = record
        self.random = random.Random(f"{seed}/{name}")
        self.running = 0
        self.sequence = 0
        self.started_ms = int(time.time() * 1000)
        self.address: Address | None = None

    def open(self, host: str) -> Listener:
        """Open its port.

        :param host: the loopback address.
        :returns: the listener.
        """
        listener = Listener(open_listener(Address(host, 0)), self.serve)
        self.address = listener.address
        return listener

    def make_entry(self, domain: str) -> dict[str, Any]:
        """Make its next entry in the store.

        :param domain: its failure domain.
        :returns: the entry.
        """
        self.sequence += 1
        return make_endpoint_entry(
            self.address,
            self.started_ms,
            self.service,
            domain,
            self.behaviour.slots,
            self.sequence,
        )

    async def serve(self, sock: StreamSocket) -> None:
        """Serve one connection, one request at a time.

        :param sock: the connection.
        """
        parser = RequestParser(RequestLimits())
        late_copy = b""
        while (request := await self._read_request(sock, parser)) is not None:
            if late_copy:
                await sock.sendall(late_copy)
            response = await self._handle(sock, request)
            if response is None:
                return
            data = encode_response(response, request.method)
            if self._happens(self.behaviour.broken_share):
                self.record.broken_off.add(find_id(request))
                await sock.sendall(data[: len(data) // 2])
                return
            await sock.sendall(data)
            repeated = self._happens(self.behaviour.repeated_share)
            late_copy = data if repeated else b""

    async def _read_request(
        self, sock: StreamSocket, parser: RequestParser
    ) -> Request | None:
        while (request := parser.parse_next()) is None:
            data = await sock.recv(READ_BYTES)
            if not data:
                return None
            parser.receive(data)
        return request

    async def _handle(
        self, sock: StreamSocket, request: Request
    ) -> Response | None:
        """Run or refuse a request; None if its connection was closed."""
        if request.path == HEALTH_PATH:
            return Response(
                200, ((HEADER_NAMES.endpoint, self.name.encode()),)
            )
        echoed = (HEADER_NAMES.request_id, find_id(request).encode())
        expected = request.find_text(HEADER_NAMES.expected_endpoint)
        if expected not in ("", self.name):
            return Response(421, (echoed,))
        full = self.running >= self.behaviour.slots
        if full or self._happens(self.behaviour.refused_share):
            return Response(503, (echoed, (HEADER_NAMES.not_run, b"1")))
        self.running += 1
        try:
            if not await self._work(sock, request):
                return None
        finally:
            self.running -= 1
        stamp = (HEADER_NAMES.stamp, self.name.encode())
        return Response(200, (echoed, stamp), make_body(find_id(request)))

    async def _work(self, sock: StreamSocket, request: Request) -> bool:
        """Work on a request until it is done or its connection is closed."""
        run = Run(self.name, time.monotonic())
        self.record.runs.setdefault(find_id(request), []).append(run)
        work_s = self.random.uniform(*self.behaviour.work_s)
        closed = await curio.ignore_after(work_s, sock.recv, READ_BYTES)
        return closed is None

    def _happens(self, share: float) -> bool:
        return self.random.random() < share


def find_id(request: Request) -> str:
    """Find the id of a request.

    :param request: the request.
    :returns: the id.
    """
    return request.find_text(HEADER_NAMES.request_id)
