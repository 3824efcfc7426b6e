"""Requests that are in progress at the owners of endpoints."""

from collections.abc import Iterator
from dataclasses import dataclass

from carawayvale.links.http_client import HttpClient


@dataclass(frozen=True)
class OwnerProcess:
    """One process of an instance that owns endpoints.

    :param name: name of the instance.
    :param incarnation: incarnation of the process.
    """

    name: str
    incarnation: int


class ForwardTable:
    """Forwarded requests, and the connections that may be aborted.

    Both are listed by the owner's process.
    """

    def __init__(self):
        self._clients: dict[OwnerProcess, set[HttpClient]] = {}
        self._request_ids: dict[OwnerProcess, set[bytes]] = {}

    def add_request(self, owner: OwnerProcess, request_id: bytes) -> None:
        """Add a request that is being forwarded.

        :param owner: process that gets the request.
        :param request_id: id of the request.
        """
        self._request_ids.setdefault(owner, set()).add(request_id)

    def discard_request(self, owner: OwnerProcess, request_id: bytes) -> None:
        """Remove a request whose exchange has ended, if it is listed.

        :param owner: process that got the request.
        :param request_id: id of the request.
        """
        request_ids = self._request_ids.get(owner, set())
        request_ids.discard(request_id)
        if not request_ids:
            self._request_ids.pop(owner, None)

    def list_requests(self) -> dict[OwnerProcess, frozenset[bytes]]:
        """List the requests that are being forwarded.

        :returns: their ids by owner.
        """
        return {
            owner: frozenset(request_ids)
            for owner, request_ids in self._request_ids.items()
        }

    def add(self, owner: OwnerProcess, client: HttpClient) -> None:
        """Add a connection on which a request is sent.

        :param owner: process that gets the request.
        :param client: the connection.
        """
        self._clients.setdefault(owner, set()).add(client)

    def discard(self, owner: OwnerProcess, client: HttpClient) -> None:
        """Remove a connection whose exchange has ended, if it is listed.

        :param owner: process that got the request.
        :param client: the connection.
        """
        clients = self._clients.get(owner, set())
        clients.discard(client)
        if not clients:
            self._clients.pop(owner, None)

    def list_owners(self) -> Iterator[OwnerProcess]:
        """List the processes with requests in progress.

        :returns: the processes.
        """
        yield from list(self._clients)

    def abort(self, owner: OwnerProcess) -> int:
        """Abort the requests at a process.

        :param owner: the process.
        :returns: number of the requests.
        """
        clients = self._clients.pop(owner, set())
        for client in clients:
            client.abort()
        return len(clients)
