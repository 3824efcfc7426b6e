"""Messages of the change feed between instances.

All revisions are packed positions of the store, see
:mod:`carawayvale.catalogue.position`.
"""

from dataclasses import dataclass

from carawayvale.links.messages import NESTED_LIST_TYPES
from carawayvale.links.messages import register_message


@dataclass(frozen=True)
class FeedItem:
    """State of one key in the store.

    :param key: the key.
    :param revision: revision of the latest change of the key.
    :param present: 1 if the key exists, 0 if it was deleted.
    :param value: value of the key.
    """

    key: str
    revision: int
    present: int
    value: bytes


@register_message(14)
@dataclass(frozen=True)
class FeedUpdate:
    """All changes in the store between two revisions.

    :param since: revision after which the changes begin; 0 if the update
        has all items.
    :param revision: revision up to which the changes are complete.
    :param age_s: seconds since the store confirmed the revision.
    :param items: the changed keys.
    """

    since: int
    revision: int
    age_s: float
    items: tuple[FeedItem, ...]


@register_message(15)
@dataclass(frozen=True)
class FeedRequest:
    """Request to a peer for all changes after a revision.

    :param after: the revision; the peer sends all items if it is of an
        earlier epoch than the peer's.
    """

    after: int


NESTED_LIST_TYPES["FeedUpdate", "items"] = FeedItem
