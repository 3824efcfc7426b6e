"""Classification of updates of the change feed, and their items."""

from collections.abc import Iterable
from enum import auto
from enum import Enum

from carawayvale.catalogue.position import find_epoch
from carawayvale.catalogue.replica import StoredItem
from carawayvale.links.feed_messages import FeedItem
from carawayvale.links.feed_messages import FeedUpdate


class UpdateKind(Enum):
    """What an update means to the replica of its receiver.

    OUTDATED: it is of an epoch that has ended. GAP: changes before it are
    missing. SNAPSHOT: it has all items of a later epoch. NEXT: it continues
    what the replica has.
    """

    OUTDATED = auto()
    GAP = auto()
    SNAPSHOT = auto()
    NEXT = auto()


def classify_update(update: FeedUpdate, known: int) -> UpdateKind:
    """Classify an update.

    Changes since a position of an earlier epoch do not lead into a later
    one, as the replica may have items that the sender never had.

    :param update: the update.
    :param known: position of the replica.
    :returns: the kind of the update.
    """
    epoch, known_epoch = find_epoch(update.revision), find_epoch(known)
    if epoch < known_epoch:
        return UpdateKind.OUTDATED
    if epoch > known_epoch and update.since == 0:
        return UpdateKind.SNAPSHOT
    if epoch > known_epoch or update.since > known:
        return UpdateKind.GAP
    return UpdateKind.NEXT


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
