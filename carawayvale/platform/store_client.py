"""Client for all calls to the platform's key-value store."""

import base64
from collections.abc import Sequence
from dataclasses import dataclass
import json
from typing import Any
from urllib.parse import quote

import curio

from carawayvale.catalogue.position import unpack_position
from carawayvale.catalogue.replica import StoredItem
from carawayvale.contracts.address import Address
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.json_calls import JSON_TYPE
from carawayvale.platform.store_responses import decode_item
from carawayvale.platform.store_responses import HistoryGone
from carawayvale.platform.store_responses import ItemPage
from carawayvale.platform.store_responses import LeaseEnded
from carawayvale.platform.store_responses import read_epoch
from carawayvale.platform.store_responses import read_response_field
from carawayvale.platform.store_responses import StoreFailed
from carawayvale.platform.store_responses import StoreResponse
from carawayvale.platform.values import parse_duration
from carawayvale.telemetry.logs import log_event

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
MAX_RESPONSE_BYTES = 32_000_000
MS_PER_S = 1000

# Time by which the response to a watch may exceed the requested wait.
WATCH_TIMEOUT_MARGIN_S = 1.5


@dataclass(frozen=True)
class PrefixItems:
    """All items whose keys start with a prefix.

    :param items: items by key.
    :param revision: position of the first page that was read, after which
        to watch for changes.
    """

    items: dict[str, StoredItem]
    revision: int


@dataclass(frozen=True)
class Changes:
    """Changes after a revision.

    :param items: the changes in the order in which they were made.
    :param revision: position after which to watch for further changes.
    """

    items: tuple[StoredItem, ...]
    revision: int


@dataclass(frozen=True)
class Lease:
    """A lease of the store.

    :param number: number of the lease. After the store returned from a
        copy, another lease may have it.
    :param epoch: epoch of the store in which the lease was opened.
    """

    number: int
    epoch: int


@dataclass(frozen=True)
class Write:
    """A value to write.

    :param key: key of the item.
    :param value: the value.
    :param lease: lease with which the item expires; None if it does not.
    """

    key: str
    value: bytes
    lease: Lease | None = None

    def make_row(self) -> dict[str, Any]:
        """Make the row of a call that writes the value.

        :returns: the fields of the row.
        """
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode("ascii"),
            "lease": self.lease.number if self.lease else 0,
        }


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
        first = page = await self._read_page(prefix, "")
        items = {item.key: item for item in page.items}
        while page.has_more:
            page = await self._read_page(prefix, page.items[-1].key)
            if page.position.epoch != first.position.epoch:
                # The store returned from a copy, so the reading starts anew.
                first, items = await self._read_page(prefix, ""), {}
                page = first
            items.update((item.key, item) for item in page.items)
        # A change made between two pages may be missing, so the watch has
        # to start at the position of the first page.
        return PrefixItems(items, first.position.pack())

    async def _read_page(self, prefix: str, after: str) -> ItemPage:
        target = f"/kv-range?prefix={quote(prefix, safe='')}"
        if after:
            target += f"&after={quote(after, safe='')}"
        response = await self._expect_ok("GET", target)
        rows = read_response_field(response.content, "items", list)
        items = tuple(decode_item(row, response.epoch) for row in rows)
        more = read_response_field(response.content, "has_more", bool)
        return ItemPage(items, response.read_position(), bool(items) and more)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> Changes:
        """Wait for changes of the items with a prefix.

        :param prefix: prefix of the keys; empty for all items.
        :param after: packed position after which changes are returned.
        :param wait_s: longest wait in seconds.
        :param timeout_s: longest wait for a response, if it does not follow
            from ``wait_s``.
        :returns: the changes; no changes if none came during the wait.
        :raises HistoryGone: if the store no longer keeps the changes, or
            the position belongs to an earlier epoch. The store would
            respond without the changes up to the same revision.
        :raises StoreFailed: if the store sends no usable response.
        """
        position = unpack_position(after)
        if position.epoch < self.epoch:
            raise HistoryGone(f"{position} is in an earlier epoch")
        target = (
            f"/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={position.revision}&wait_ms={int(wait_s * MS_PER_S)}"
        )
        if timeout_s is None:
            timeout_s = wait_s + WATCH_TIMEOUT_MARGIN_S
        response = await self._call("GET", target, None, timeout_s)
        if response.status == HTTP_GONE or response.epoch > position.epoch:
            raise HistoryGone(f"changes after {position} are gone")
        if response.status != HTTP_OK:
            raise StoreFailed(
                f"{self.address}: watch: status {response.status}"
            )
        events = read_response_field(response.content, "events", list)
        items = tuple(decode_item(row, response.epoch) for row in events)
        return Changes(items, response.read_position().pack())

    async def open_lease(self, ttl_s: float) -> Lease:
        """Open a lease.

        :param ttl_s: time to live in seconds, unless the lease is renewed.
        :returns: the lease.
        :raises StoreFailed: if the store sends no usable response.
        """
        body = {"ttl_time": f"{int(ttl_s * MS_PER_S)}ms"}
        response = await self._expect_ok("POST", "/kv-lease", body)
        number = read_response_field(response.content, "lease", int)
        return Lease(number, response.epoch)

    async def renew_lease(self, lease: Lease) -> float:
        """Renew a lease.

        :param lease: the lease.
        :returns: seconds until the lease expires.
        :raises LeaseEnded: if the lease has expired, or the store returned
            from a copy since it was opened.
        :raises StoreFailed: if the store sends no usable response.
        """
        self._check_lease(lease, self.epoch)
        response = await self._call("POST", f"/kv-keep/{lease.number}")
        self._check_lease(lease, response.epoch)
        if response.status == HTTP_NOT_FOUND:
            raise LeaseEnded(str(lease))
        if response.status != HTTP_OK:
            raise StoreFailed(
                f"{self.address}: renewal: status {response.status}"
            )
        return parse_duration(
            read_response_field(response.content, "ttl_time", str)
        )

    def _check_lease(self, lease: Lease | None, epoch: int) -> None:
        if lease is not None and lease.epoch != epoch:
            raise LeaseEnded(f"{lease} ended with its epoch")

    async def write(self, write: Write, expected: int | None = None) -> bool:
        """Write a value.

        :param write: the key, the value and the lease.
        :param expected: packed position that the key must have; 0 if it
            must not exist, None for any.
        :returns: whether the value was written. It was not if the key has
            another position than expected.
        :raises LeaseEnded: if the lease has expired, or the store returned
            from a copy since it was opened. The value may have been written
            with the lease of another client.
        :raises StoreFailed: if the store sends no usable response, or
            returned from a copy since the expected position.
        """
        self._check_lease(write.lease, self.epoch)
        conditions = []
        position = unpack_position(expected or 0)
        if position.revision and position.epoch != self.epoch:
            return False
        if expected is not None:
            conditions = [{"key": write.key, "rev": position.revision}]
        body = {
            "expected": conditions,
            "writes": [write.make_row()],
            "deletes": [],
        }
        response = await self._call("POST", "/kv-txn", body)
        self._check_lease(write.lease, response.epoch)
        if response.status == HTTP_PRECONDITION_FAILED:
            return False
        self._check_written(response, write.lease)
        if position.revision and response.epoch != position.epoch:
            raise StoreFailed(f"{self.address}: returned during a write")
        return True

    async def change(
        self,
        writes: Sequence[Write],
        deletes: Sequence[str],
        lease: Lease | None,
    ) -> None:
        """Write and delete some keys in one call, all or none of them.

        :param writes: the values to write, all of them with the lease.
        :param deletes: the keys to delete, which need not exist.
        :param lease: the lease; None for values that do not expire.
        :raises LeaseEnded: as :meth:`write` does.
        :raises StoreFailed: if the store sends no usable response.
        """
        self._check_lease(lease, self.epoch)
        body = {
            "expected": [],
            "writes": [write.make_row() for write in writes],
            "deletes": list(deletes),
        }
        response = await self._call("POST", "/kv-txn", body)
        self._check_lease(lease, response.epoch)
        self._check_written(response, lease)

    def _check_written(
        self, response: StoreResponse, lease: Lease | None
    ) -> None:
        if response.status == HTTP_NOT_FOUND and lease is not None:
            raise LeaseEnded(str(lease))
        if response.status != HTTP_OK:
            raise StoreFailed(
                f"{self.address}: write: status {response.status}"
            )

    async def _expect_ok(
        self, method: str, target: str, body: Any = None
    ) -> StoreResponse:
        response = await self._call(method, target, body)
        if response.status != HTTP_OK:
            raise StoreFailed(
                f"{self.address}: {target}: status {response.status}"
            )
        return response

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout_s: float | None = None,
    ) -> StoreResponse:
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
        epoch = read_epoch(response.head)
        if epoch < self.epoch:
            log_event(
                "store_response_outdated",
                "WARNING",
                epoch=epoch,
                known=self.epoch,
            )
            raise StoreFailed(f"{self.address}: response of an earlier epoch")
        self.record_epoch(epoch, "store")
        status = response.head.status
        if status != HTTP_OK:
            return StoreResponse(status, None, epoch)
        try:
            return StoreResponse(status, json.loads(response.body), epoch)
        except (ValueError, RecursionError) as error:
            # The decoder of JSON is recursive, so nesting has a limit.
            raise StoreFailed(f"{self.address}: {error}") from None

    def record_epoch(self, epoch: int, source: str) -> None:
        """Record an epoch of the store; the latest known one never falls.

        :param epoch: the epoch.
        :param source: who stated it: the store, or the name of a peer.
        """
        if epoch > self.epoch:
            log_event(
                "store_epoch", epoch=epoch, known=self.epoch, source=source
            )
            self.epoch = epoch
