"""TCP listener that limits the number of open connections."""

from collections.abc import Awaitable
from collections.abc import Callable
import socket as plain_socket
from ssl import SSLContext

import curio

from carawayvale.contracts.address import Address
from carawayvale.links.http import tune_socket
from carawayvale.links.sockets import open_socket
from carawayvale.links.sockets import StreamSocket
from carawayvale.telemetry.logs import log_event

BACKLOG = 1024
MAX_CONNECTIONS = 4000
ACCEPT_RETRY_S = 0.01

ConnectionHandler = Callable[[StreamSocket], Awaitable[None]]


def open_listener(address: Address) -> StreamSocket:
    """Open a listening TCP socket.

    :param address: IP address and port; port 0 selects a free port.
    :returns: the listening socket.
    :raises OSError: if the address cannot be bound.
    """
    sock = open_socket(address)
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.listen(BACKLOG)
    return sock


class Listener:
    """Accept loop that runs one task for each connection.

    :param sock: the listening socket.
    :param handle: called with each connection; the connection is
        closed when the call returns.
    :param limit: maximum number of open connections; further ones are
        closed immediately.
    :param ssl: TLS context, or None for plain TCP.
    """

    def __init__(
        self,
        sock: StreamSocket,
        handle: ConnectionHandler,
        limit: int = MAX_CONNECTIONS,
        ssl: SSLContext | None = None,
    ):
        self.sock = sock
        self.handle = handle
        self.limit = limit
        self.ssl = ssl
        self.tasks: set[curio.Task] = set()
        self.acceptor: curio.Task | None = None

    @property
    def address(self) -> Address:
        """IP address and port that the socket is bound to."""
        host, port = self.sock.getsockname()[:2]
        return Address(host, port)

    async def run(self) -> None:
        """Accept connections until cancelled, then cancel all tasks."""
        try:
            self.acceptor = await curio.spawn(self._accept_all, daemon=True)
            await self.acceptor.wait()
            await self.sock.close()
            # After stop, accepted connections are served until cancellation.
            await curio.Event().wait()
        finally:
            await self.acceptor.cancel()
            await self.sock.close()
            for task in list(self.tasks):
                await task.cancel(blocking=False)

    async def stop(self) -> None:
        """Stop accepting connections; open connections stay open."""
        if self.acceptor is not None:
            await self.acceptor.cancel()

    async def _accept_all(self) -> None:
        while True:
            try:
                client, _ = await self.sock.accept()
            except OSError as error:
                log_event("accept_failed", "DEBUG", cause=str(error))
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            if len(self.tasks) >= self.limit:
                await client.close()
                continue
            task = await curio.spawn(self._serve, client, daemon=True)
            # Many connections may be accepted before their tasks run.
            if not task.terminated:
                self.tasks.add(task)

    async def _serve(self, client: StreamSocket) -> None:
        task = await curio.current_task()
        self.tasks.add(task)
        try:
            tune_socket(client)
            async with await self._wrap_tls(client) as connection:
                await self.handle(connection)
        except OSError:
            return
        except Exception as error:
            log_event("connection_failed", "ERROR", cause=repr(error))
        finally:
            self.tasks.discard(task)
            await client.close()

    async def _wrap_tls(self, client: StreamSocket) -> StreamSocket:
        if self.ssl is None:
            return client
        wrapped = self.ssl.wrap_socket(
            client._socket, server_side=True, do_handshake_on_connect=False
        )
        tls_client = StreamSocket(wrapped)
        await tls_client.do_handshake()
        return tls_client
