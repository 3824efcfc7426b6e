"""Tests of clients that leave in every turn of the event loop."""

import curio
import pytest

from carawayvale.contracts.address import Address
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.server import RequestServer
from carawayvale.links.http import connect
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.links.sockets import open_socket_pair
from carawayvale.links.sockets import StreamSocket
from carawayvale.links.tests.test_sockets import turn

REQUEST = b"GET /a/ HTTP/1.1\r\nhost: a.example\r\n\r\n"
PIPELINED = 4

# Turns of the event loop within which all requests are answered.
TURNS = 24

# Connections that leave in each turn, each of them another number of turns
# after its requests were sent.
ROUNDS = 4
TIMEOUT_S = 30.0


async def leave_by_close(client):
    """Close the connection, which resets it if responses are unread."""
    await client.close()


async def leave_by_reset(client):
    """Reset the connection."""
    client.abort()
    await client.close()


async def leave_half(client):
    """End the own stream only, and read the responses."""
    client.shut_down(1)
    while await client.recv(65536):
        pass
    await client.close()


LEAVE = {
    "close": leave_by_close,
    "reset": leave_by_reset,
    "half-close": leave_half,
}


async def reuse_numbers():
    """Open sockets and wait on them, as exchanges with endpoints do."""
    while True:
        first, second = open_socket_pair()
        reader = await curio.spawn(first.recv, 1, daemon=True)
        await curio.sleep(0)
        await second.sendall(b"x")
        await reader.join()
        await first.close()
        await second.close()


@pytest.fixture
def closed_in_use(monkeypatch):
    """What tasks still waited for when a socket was closed."""
    waits = []
    close = StreamSocket.close

    async def record_close(self):
        waits.extend(self.waits)
        await close(self)

    monkeypatch.setattr(StreamSocket, "close", record_close)
    return waits


class TestLeavingClients:
    # Guards against a client's connection that is closed while the task that
    # reads it was woken and has not run: its descriptor's number was used
    # again, and the event loop ended with the whole process (review/11).
    @pytest.mark.parametrize("leave", LEAVE.values(), ids=LEAVE)
    @pytest.mark.parametrize("service_turns", [0, 1, 5])
    def test_clients_leave_in_every_turn(
        self, closed_in_use, service_turns, leave
    ):
        async def handle(request):
            await turn(service_turns)
            return Response(200, (), b"x" * 1000)

        async def call(address, number):
            client = await connect(address)
            await client.sendall(REQUEST * PIPELINED)
            await turn(number)
            try:
                await leave(client)
            except OSError:
                await client.close()

        async def run():
            server = RequestServer(handle)
            listener = Listener(
                open_listener(Address("127.0.0.1", 0)), server.serve
            )
            task = await curio.spawn(listener.run, daemon=True)
            others = await curio.spawn(reuse_numbers, daemon=True)
            for _ in range(ROUNDS):
                async with curio.TaskGroup() as group:
                    for number in range(TURNS):
                        await group.spawn(call, listener.address, number)
            async with curio.timeout_after(TIMEOUT_S):
                while server.connections:
                    await curio.sleep(0.01)
            assert not others.terminated
            await others.cancel()
            await task.cancel()

        curio.run(run)
        assert not closed_in_use
