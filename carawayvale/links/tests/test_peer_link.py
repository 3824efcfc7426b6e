"""Tests of the handshake and the closing of links over real sockets."""

import curio
import pytest
from websockets.protocol import State

from carawayvale.links import accept_link
from carawayvale.links import Heartbeat
from carawayvale.links import LinkRefused
from carawayvale.links import open_link
from carawayvale.links.sockets import open_socket_pair
from carawayvale.links.tests.test_membership import make_record

KEY = b"k" * 16


async def perform_handshake(server_key, client_key):
    """Open a link between two instances that use the given keys.

    :returns: names of the peers at both sides and the first message
        that the server receives.
    """
    first, second = open_socket_pair()
    async with first, second:
        server = await curio.spawn(
            accept_link, first, server_key, make_record("server")
        )
        try:
            client = await open_link(second, client_key, make_record("client"))
        except BaseException:
            await server.cancel()
            raise
        link = await server.join()
        await client.send_now(Heartbeat(1, b"v", 2))
        return link.peer.name, client.peer.name, await link.receive()


class TestHandshake:
    def test_both_sides_learn_the_name_of_the_peer(self):
        names = curio.run(perform_handshake, KEY, KEY)
        assert names == ("client", "server", Heartbeat(1, b"v", 2))

    def test_client_without_the_key_is_refused(self):
        async def run():
            first, second = open_socket_pair()
            async with first, second:
                client = await curio.spawn(
                    open_link, second, b"x" * 16, make_record("client")
                )
                with pytest.raises(LinkRefused, match="hello"):
                    await accept_link(first, KEY, make_record("server"))
                await client.cancel()

        curio.run(run)

    def test_server_without_the_key_is_refused(self):
        async def run():
            first, second = open_socket_pair()
            async with first, second:
                server = await curio.spawn(
                    run_server_with_wrong_key, first, make_record("server")
                )
                with pytest.raises(LinkRefused, match="welcome"):
                    await open_link(second, KEY, make_record("client"))
                await server.cancel()

        curio.run(run)


async def open_pair(first, second):
    """Open a link between two sockets."""
    server = await curio.spawn(accept_link, first, KEY, make_record("server"))
    client = await open_link(second, KEY, make_record("client"))
    return await server.join(), client


async def handle_slowly(link, message):
    """Handle a message for longer than the test runs."""
    await curio.sleep(60)


class TestClosing:
    @pytest.mark.parametrize("last", ["post", "close"])
    def test_both_sides_can_close_simultaneously(self, last):
        """The writer must reply to a close while the reader is busy."""

        async def run():
            first, second = open_socket_pair()
            async with first, second:
                server, client = await open_pair(first, second)
                reader = await curio.spawn(server.run, handle_slowly)
                await client.send_now(Heartbeat(1, b"v", 2))
                await curio.sleep(0.05)
                client.protocol.send_close()
                server.protocol.receive_data(
                    b"".join(client.protocol.data_to_send())
                )
                if last == "post":
                    await server.post(Heartbeat(1, b"v", 2))
                else:
                    await server.close()
                async with curio.timeout_after(2.0):
                    # The writer replies with a close frame, then disconnects.
                    while client.protocol.state is not State.CLOSED:
                        data = await second.recv(4096)
                        if not data:
                            break
                        client.protocol.receive_data(data)
                assert client.protocol.close_rcvd is not None
                await reader.cancel()

        curio.run(run)


async def run_server_with_wrong_key(sock, record):
    """Accept any hello and sign the welcome with the wrong key."""
    from carawayvale.links import peer_link

    protocol = peer_link.ServerProtocol()
    link = peer_link.PeerLink(sock, protocol)
    await link.open_as_server()
    await link.send_now(peer_link.Challenge(b"n"))
    hello = await link.receive()
    tag = peer_link.sign_handshake(
        b"x" * 16, b"welcome", b"n", hello.nonce, record.name
    )
    await link.send_now(peer_link.Welcome(record, tag))
    await curio.sleep(5)
