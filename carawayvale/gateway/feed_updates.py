"""Conversion of items for updates of the change feed."""

from collections.abc import Iterable

from carawayvale.catalogue.replica import StoredItem
from carawayvale.links.feed_messages import FeedItem


def pack_items(items: Iterable[StoredItem]) -> tuple[FeedItem, ...]:
    """Convert stored items to message items.

    :param items: the stored items.
    :returns: the message items.
    """
    return tuple(
        FeedItem(
            item.key,
            item.revision,
            int(item.value is not None),
            item.value or b"",
        )
        for item in items
    )


def unpack_items(items: Iterable[FeedItem]) -> list[StoredItem]:
    """Convert message items to stored items.

    :param items: the message items.
    :returns: the stored items.
    """
    return [
        StoredItem(i.key, i.revision, i.value if i.present else None)
        for i in items
    ]
