"""Adapter to a store that speaks JSON over HTTP."""

import json
from typing import Any
from urllib.parse import quote

import curio

from carawayvale.contracts.address import Address
from carawayvale.documents.store import ListedInstance
from carawayvale.documents.store import register_store
from carawayvale.documents.store import Store
from carawayvale.documents.store import StoredValue
from carawayvale.documents.store import StoreUnavailable
from carawayvale.documents.store import WriteResult
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import ConnectionBroken

ANSWER_TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 2_500_000
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_SERVER_ERROR = 500
JSON_HEADERS = [(b"host", b"store"), (b"content-type", b"application/json")]


@register_store("http")
class HttpStore(Store):
    """Keeps one connection for calls and one for each waiting watch.

    :param address: where the store listens.
    """

    def __init__(self, address: Address):
        super().__init__(address)
        self.pool = ConnectionPool(address)

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> tuple[int, Any]:
        data = b"" if body is None else json.dumps(body).encode()
        call = OutgoingCall(method, target, JSON_HEADERS, data)
        try:
            reply = await self.pool.exchange(call, timeout_s, MAX_ANSWER_BYTES)
        except (ConnectionBroken, curio.TaskTimeout) as error:
            raise StoreUnavailable(f"{self.address}: {error}") from None
        status = reply.head.status
        if status >= HTTP_SERVER_ERROR:
            raise StoreUnavailable(f"{self.address}: status {status}")
        return status, json.loads(reply.body) if reply.body else None

    async def read(self, key: str) -> StoredValue | None:
        """Read a value; see :class:`Store`."""
        status, answer = await self._call("GET", f"/v1/keys/{quote(key)}")
        if status == HTTP_NOT_FOUND:
            return None
        return StoredValue(answer["value"], answer["revision"])

    async def write(self, key: str, value: str, revision: int) -> WriteResult:
        """Write a value; see :class:`Store`."""
        target = f"/v1/keys/{quote(key)}?revision={revision}"
        status, answer = await self._call("PUT", target, {"value": value})
        if status not in (HTTP_OK, HTTP_CONFLICT):
            raise ValueError(f"store refused the value: {answer}")
        return WriteResult(status == HTTP_OK, answer["revision"])

    async def watch(
        self, key: str, revision: int, wait_s: float
    ) -> int | None:
        """Wait for a newer revision; see :class:`Store`."""
        target = f"/v1/watch/{quote(key)}?after={revision}&wait={wait_s}"
        timeout_s = wait_s + ANSWER_TIMEOUT_S
        status, answer = await self._call("GET", target, None, timeout_s)
        return answer["revision"] if status == HTTP_OK else None

    async def claim_lease(self, name: str, holder: str, ttl_s: float) -> bool:
        """Take or renew a lease; see :class:`Store`."""
        body = {"holder": holder, "ttl_s": ttl_s}
        status, _ = await self._call("PUT", f"/v1/leases/{quote(name)}", body)
        return status == HTTP_OK

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Read the instance list; see :class:`Store`."""
        _, answer = await self._call("GET", "/v1/instances")
        return tuple(
            ListedInstance(item["name"], item["leaving"])
            for item in answer["instances"]
        )

    async def close(self) -> None:
        """Close the idle connections."""
        await self.pool.close()
