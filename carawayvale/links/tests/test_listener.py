"""Tests of the limit of a listener's connections."""

import curio

from carawayvale.contracts.address import Address
from carawayvale.links.http import connect
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener

LIMIT = 3
CONNECTIONS = 20


class TestLimit:
    # Guards against a burst of connections that are all accepted before
    # the task of the first one runs and is counted.
    def test_burst_of_connections_stays_within_the_limit(self):
        async def serve(sock):
            served.append(sock)
            await sock.recv(1)

        async def run():
            listener = Listener(
                open_listener(Address("127.0.0.1", 0)), serve, LIMIT
            )
            clients = [
                await connect(listener.address) for _ in range(CONNECTIONS)
            ]
            task = await curio.spawn(listener.run, daemon=True)
            async with curio.timeout_after(20.0):
                for client in clients[LIMIT:]:
                    assert not await client.recv(1)
            assert len(served) == LIMIT
            # An ended connection makes room.
            await clients[0].close()
            async with curio.timeout_after(20.0):
                while len(listener.tasks) == LIMIT:
                    await curio.sleep(0.01)
            client = await connect(listener.address)
            async with curio.timeout_after(20.0):
                while len(served) == LIMIT:
                    await curio.sleep(0.01)
            for open_client in [*clients[1:], client]:
                await open_client.close()
            await task.cancel()

        served = []
        curio.run(run)
