"""Client for all calls to the platform's key-value store."""

import base64
from dataclasses import dataclass
import json
from typing import Any
from urllib.parse import quote

import curio

from carawayvale.catalogue.replica import StoredItem
from carawayvale.contracts.address import Address
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import ResponseHead
from carawayvale.links.json_calls import JSON_TYPE
from carawayvale.platform.values import parse_duration
from carawayvale.platform.values import read_field
from carawayvale.telemetry.logs import log_event

EPOCH_HEADER = b"store-era"

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
MAX_RESPONSE_BYTES = 32_000_000
MS_PER_S = 1000

# Time by which the response to a watch may exceed the requested wait.
WATCH_TIMEOUT_MARGIN_S = 1.5


class StoreFailed(ConnectionError):
    """The store sent no usable response; a write may have been applied."""


class HistoryGone(Exception):
    """The store no longer keeps all changes after a revision."""


class LeaseEnded(Exception):
    """The store has no such lease, for example after its expiry."""


@dataclass(frozen=True)
class PrefixItems:
    """All items whose keys start with a prefix.

    :param items: items by key.
    :param since: revision of the first page that was read.
    :param revision: revision after which to watch for changes.
    """

    items: dict[str, StoredItem]
    since: int
    revision: int


@dataclass(frozen=True)
class Changes:
    """Changes after a revision.

    :param items: the changes in the order in which they were made.
    :param revision: revision after which to watch for further changes.
    """

    items: tuple[StoredItem, ...]
    revision: int


@dataclass(frozen=True)
class Write:
    """A value to write.

    :param key: key of the item.
    :param value: the value.
    :param lease: number of the lease with which the item expires; 0 if the
        item does not expire.
    """

    key: str
    value: bytes
    lease: int = 0


class StoreClient:
    """Client that calls the platform's store over pooled connections.

    :param address: address of the store.
    :param timeout_s: longest wait for a response in seconds.

    The attribute ``epoch`` is the latest known epoch of the store. An epoch
    ends when the store returns from a copy.
    """

    def __init__(self, address: Address, timeout_s: float):
        self.address = address
        self.epoch = 0
        self.timeout_s = timeout_s
        self.pool = ConnectionPool(address)
        self.host = (b"host", str(address).encode())

    async def read_all(self, prefix: str) -> PrefixItems:
        """Read all items with a prefix, page by page.

        :param prefix: prefix of the keys; empty for all items.
        :returns: the items.
        :raises StoreFailed: if the store sends no usable response.
        """
        items: dict[str, StoredItem] = {}
        since = None
        after = ""
        while True:
            target = f"/kv-range?prefix={quote(prefix, safe='')}"
            if after:
                target += f"&after={quote(after, safe='')}"
            page = await self._expect_ok("GET", target)
            revision = read_response_field(page, "store_revision", int)
            since = revision if since is None else since
            for row in read_response_field(page, "items", list):
                item = decode_item(row)
                items[item.key] = item
                after = item.key
            if not read_response_field(page, "has_more", bool):
                # A change made between two pages may be missing, so the
                # watch has to start at the revision of the first page.
                return PrefixItems(items, since, since)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes of the items with a prefix.

        :param prefix: prefix of the keys; empty for all items.
        :param after: revision after which changes are returned.
        :param wait_s: longest wait in seconds.
        :returns: the changes; no changes if none came during the wait.
        :raises HistoryGone: if the store no longer keeps the changes.
        :raises StoreFailed: if the store sends no usable response.
        """
        target = (
            f"/kv-watch?prefix={quote(prefix, safe='')}&after={after}"
            f"&wait_ms={int(wait_s * MS_PER_S)}"
        )
        status, content = await self._call(
            "GET", target, None, wait_s + WATCH_TIMEOUT_MARGIN_S
        )
        if status == HTTP_GONE:
            raise HistoryGone(f"changes after {after} are gone")
        if status != HTTP_OK:
            raise StoreFailed(f"{self.address}: watch: status {status}")
        events = read_response_field(content, "events", list)
        items = tuple(decode_item(row) for row in events)
        return Changes(
            items, read_response_field(content, "store_revision", int)
        )

    async def open_lease(self, ttl_s: float) -> int:
        """Open a lease.

        :param ttl_s: time to live in seconds, unless the lease is renewed.
        :returns: number of the lease.
        :raises StoreFailed: if the store sends no usable response.
        """
        body = {"ttl_time": f"{int(ttl_s * MS_PER_S)}ms"}
        content = await self._expect_ok("POST", "/kv-lease", body)
        return read_response_field(content, "lease", int)

    async def renew_lease(self, lease: int) -> float:
        """Renew a lease.

        :param lease: number of the lease.
        :returns: seconds until the lease expires.
        :raises LeaseEnded: if the lease has expired.
        :raises StoreFailed: if the store sends no usable response.
        """
        status, content = await self._call("POST", f"/kv-keep/{lease}")
        if status == HTTP_NOT_FOUND:
            raise LeaseEnded(str(lease))
        if status != HTTP_OK:
            raise StoreFailed(f"{self.address}: renewal: status {status}")
        return parse_duration(read_response_field(content, "ttl_time", str))

    async def write(self, write: Write, expected: int | None = None) -> bool:
        """Write a value.

        :param write: the key, the value and the lease.
        :param expected: revision that the key must have; None for any.
        :returns: whether the value was written. It was not if the key has
            another revision than expected.
        :raises LeaseEnded: if the lease has expired.
        :raises StoreFailed: if the store sends no usable response.
        """
        row = {
            "key": write.key,
            "value": base64.b64encode(write.value).decode("ascii"),
            "lease": write.lease,
        }
        conditions = []
        if expected is not None:
            conditions = [{"key": write.key, "rev": expected}]
        body = {"expected": conditions, "writes": [row], "deletes": []}
        status, _ = await self._call("POST", "/kv-txn", body)
        if status == HTTP_PRECONDITION_FAILED:
            return False
        if status == HTTP_NOT_FOUND:
            raise LeaseEnded(str(write.lease))
        if status != HTTP_OK:
            raise StoreFailed(f"{self.address}: write: status {status}")
        return True

    async def _expect_ok(
        self, method: str, target: str, body: Any = None
    ) -> Any:
        status, content = await self._call(method, target, body)
        if status != HTTP_OK:
            raise StoreFailed(f"{self.address}: {target}: status {status}")
        return content

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout_s: float | None = None,
    ) -> tuple[int, Any]:
        headers = [self.host]
        data = b""
        if body is not None:
            data = json.dumps(body).encode()
            headers.append(JSON_TYPE)
        call = OutgoingCall(method, target, headers, data)
        wait_s = self.timeout_s if timeout_s is None else timeout_s
        try:
            response = await self.pool.exchange(
                call, wait_s, MAX_RESPONSE_BYTES
            )
        except (ConnectionBroken, curio.TaskTimeout) as error:
            # Other pooled connections to an unreachable store may hang too.
            await self.pool.close()
            raise StoreFailed(f"{self.address}: {error!r}") from None
        self._record_epoch(read_epoch(response.head))
        if response.head.status != HTTP_OK:
            return response.head.status, None
        try:
            return HTTP_OK, json.loads(response.body)
        except ValueError as error:
            raise StoreFailed(f"{self.address}: {error}") from None

    def _record_epoch(self, epoch: int) -> None:
        if epoch > self.epoch:
            log_event(
                "store_epoch",
                epoch=epoch,
                known=self.epoch,
                source="store",
            )
            self.epoch = epoch
        elif epoch < self.epoch:
            log_event(
                "store_response_outdated",
                "WARNING",
                epoch=epoch,
                known=self.epoch,
            )


def read_epoch(head: ResponseHead) -> int:
    """Read the epoch of the store in which a response was sent.

    :param head: head of the response.
    :returns: the epoch; 0 for a response that states none.
    :raises StoreFailed: if the header is not a number.
    """
    text = head.find(EPOCH_HEADER)
    if text is None:
        return 0
    if not text.isdigit():
        raise StoreFailed(f"malformed epoch {text!r}")
    return int(text)


def read_response_field(content: Any, name: str, value_type: type) -> Any:
    """Return the value of a field of a response from the store.

    :param content: body of the response, decoded from JSON.
    :param name: name of the field.
    :param value_type: type of the field.
    :returns: the value.
    :raises StoreFailed: if the field is missing or of another type.
    """
    try:
        return read_field(content, name, value_type)
    except ValueError as error:
        raise StoreFailed(f"malformed response: {error}") from None


def decode_item(row: Any) -> StoredItem:
    """Decode an item or the deletion of an item.

    :param row: the table that the store sent for the item.
    :returns: the item. A value that is not base64 becomes empty, which the
        decoders of configurations, endpoints and instances reject.
    :raises StoreFailed: if the key or the revision is missing.
    """
    key = read_response_field(row, "key", str)
    revision = read_response_field(row, "rev", int)
    if row.get("tombstone"):
        return StoredItem(key, revision, None)
    try:
        value = base64.b64decode(row["value"], validate=True)
    except (KeyError, TypeError, ValueError):
        value = b""
    return StoredItem(key, revision, value)
