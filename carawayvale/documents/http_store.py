"""Adapter to a store with a JSON API over HTTP."""

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

RESPONSE_TIMEOUT_S = 3.0
MAX_RESPONSE_BYTES = 2_500_000
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_SERVER_ERROR = 500
JSON_HEADERS = [(b"host", b"store"), (b"content-type", b"application/json")]


@register_store("http")
class HttpStore(Store):
    """Client with one connection for calls and one per pending watch.

    :param address: address of the store.
    """

    def __init__(self, address: Address):
        super().__init__(address)
        self.pool = ConnectionPool(address)

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> tuple[int, Any]:
        payload = b"" if body is None else json.dumps(body).encode()
        call = OutgoingCall(method, target, JSON_HEADERS, payload)
        try:
            response = await self.pool.exchange(
                call, timeout_s, MAX_RESPONSE_BYTES
            )
        except (ConnectionBroken, curio.TaskTimeout) as error:
            raise StoreUnavailable(f"{self.address}: {error}") from None
        status = response.head.status
        if status >= HTTP_SERVER_ERROR:
            raise StoreUnavailable(f"{self.address}: status {status}")
        return status, json.loads(response.body) if response.body else None

    async def read(self, key: str) -> StoredValue | None:
        """Read a value; see :class:`Store`."""
        status, content = await self._call("GET", f"/v1/keys/{quote(key)}")
        if status == HTTP_NOT_FOUND:
            return None
        return StoredValue(content["value"], content["revision"])

    async def write(self, key: str, value: str, revision: int) -> WriteResult:
        """Write a value; see :class:`Store`."""
        target = f"/v1/keys/{quote(key)}?revision={revision}"
        status, content = await self._call("PUT", target, {"value": value})
        if status not in (HTTP_OK, HTTP_CONFLICT):
            raise ValueError(f"store rejected the value: {content}")
        return WriteResult(status == HTTP_OK, content["revision"])

    async def watch(
        self, key: str, revision: int, wait_s: float
    ) -> int | None:
        """Wait for a newer revision; see :class:`Store`."""
        target = f"/v1/watch/{quote(key)}?after={revision}&wait={wait_s}"
        timeout_s = wait_s + RESPONSE_TIMEOUT_S
        status, content = await self._call("GET", target, None, timeout_s)
        return content["revision"] if status == HTTP_OK else None

    async def claim_lease(self, name: str, holder: str, ttl_s: float) -> bool:
        """Acquire or renew a lease; see :class:`Store`."""
        body = {"holder": holder, "ttl_s": ttl_s}
        status, _ = await self._call("PUT", f"/v1/leases/{quote(name)}", body)
        return status == HTTP_OK

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Read the instance list; see :class:`Store`."""
        _, content = await self._call("GET", "/v1/instances")
        return tuple(
            ListedInstance(item["name"], item["leaving"])
            for item in content["instances"]
        )

    async def close(self) -> None:
        """Close the idle connections."""
        await self.pool.close()
