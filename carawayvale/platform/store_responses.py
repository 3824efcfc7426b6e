"""Responses of the platform's key-value store and their errors."""

import base64
from dataclasses import dataclass
from typing import Any

from carawayvale.catalogue.position import StorePosition
from carawayvale.catalogue.replica import StoredItem
from carawayvale.links.http import ResponseHead
from carawayvale.platform.values import read_field

# The header counts epochs from this number. The first epoch here is 0, in
# which packed positions equal revisions, as in messages of gateways that
# know no epochs.
EPOCH_HEADER = b"store-era"
FIRST_EPOCH = 1

# More digits are no epoch, and Python refuses to convert thousands.
MAX_EPOCH_DIGITS = 18


class StoreFailed(ConnectionError):
    """The store sent no usable response; a write may have been applied."""


class HistoryGone(Exception):
    """The store no longer keeps all changes after a revision."""


class LeaseEnded(Exception):
    """The store has no such lease, for example after its expiry."""


@dataclass(frozen=True)
class StoreResponse:
    """A response from the store.

    :param status: HTTP status.
    :param content: body, decoded from JSON; None without success.
    :param epoch: epoch of the store in which it was sent.
    """

    status: int
    content: Any
    epoch: int

    def read_position(self) -> StorePosition:
        """Read the position of the store at the response.

        :returns: the position.
        :raises StoreFailed: if the revision is missing.
        """
        revision = read_response_field(self.content, "store_revision", int)
        return StorePosition(self.epoch, revision)


@dataclass(frozen=True)
class ItemPage:
    """One page of a reading.

    :param items: the items.
    :param position: position of the store at the response.
    :param has_more: whether further items follow.
    """

    items: tuple[StoredItem, ...]
    position: StorePosition
    has_more: bool


def read_epoch(head: ResponseHead) -> int:
    """Read the epoch of the store in which a response was sent.

    :param head: head of the response.
    :returns: the epoch; the first one for a response that states none.
    :raises StoreFailed: if the header is not a number.
    """
    text = head.find(EPOCH_HEADER)
    if text is None:
        return 0
    if not text.isdigit() or len(text) > MAX_EPOCH_DIGITS:
        raise StoreFailed(f"malformed epoch {text[:MAX_EPOCH_DIGITS]!r}")
    return max(0, int(text) - FIRST_EPOCH)


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


def decode_item(row: Any, epoch: int = 0) -> StoredItem:
    """Decode an item or the deletion of an item.

    :param row: the table that the store sent for the item.
    :param epoch: epoch of the store in which it was sent.
    :returns: the item. A value that is not base64 becomes empty, which the
        decoders of configurations, endpoints and instances reject.
    :raises StoreFailed: if the key or the revision is missing.
    """
    key = read_response_field(row, "key", str)
    number = read_response_field(row, "rev", int)
    revision = StorePosition(epoch, number).pack()
    if row.get("tombstone"):
        return StoredItem(key, revision, None)
    try:
        value = base64.b64decode(row["value"], validate=True)
    except (KeyError, TypeError, ValueError):
        value = b""
    return StoredItem(key, revision, value)
