"""Messages that pass changes in the store on between instances."""

from dataclasses import dataclass

from carawayvale.links.messages import NESTED_LISTS
from carawayvale.links.messages import register_message


@dataclass(frozen=True)
class FeedItem:
    """One key of the store at one revision.

    :param key: the key.
    :param revision: revision of its latest change.
    :param present: 1 if the key exists, 0 if it was deleted.
    :param value: its bytes.
    """

    key: str
    revision: int
    present: int
    value: bytes


@register_message(14)
@dataclass(frozen=True)
class FeedUpdate:
    """Changes after one revision up to another.

    :param since: the revision that the changes follow.
    :param revision: the revision up to which they are complete.
    :param age_s: time since the store confirmed this.
    :param items: the changes.
    """

    since: int
    revision: int
    age_s: float
    items: tuple[FeedItem, ...]


@register_message(15)
@dataclass(frozen=True)
class FeedRequest:
    """Asks a peer for all changes after a revision."""

    after: int


NESTED_LISTS["FeedUpdate", "items"] = FeedItem
