"""A local copy of stored items that is kept up to date by revisions."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True)
class StoredItem:
    """One key of the store at one revision.

    :param key: the key.
    :param revision: revision of its latest change.
    :param value: its bytes; None after it was deleted.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass
class StoreReplica:
    """The latest known state of each key.

    A key never goes back to an earlier revision, whatever order changes
    arrive in. Deleted keys are remembered with their revision.

    :param items: the latest change of each key.
    :param revision: all changes up to here are included.

    >>> mirror = StoreReplica()
    >>> [i.key for i in mirror.apply([StoredItem("a", 3, b"x")], 3)]
    ['a']
    >>> mirror.apply([StoredItem("a", 2, b"older")], 2)
    []
    """

    items: dict[str, StoredItem] = field(default_factory=dict)
    revision: int = 0

    def apply(
        self, changes: Iterable[StoredItem], revision: int
    ) -> list[StoredItem]:
        """Take over changes.

        :param changes: changes in any order.
        :param revision: all changes up to here are among them or known.
        :returns: the changes that were news.
        """
        news = [item for item in changes if self._store(item)]
        self.revision = max(self.revision, revision)
        return news

    def apply_snapshot(
        self, present: Mapping[str, StoredItem], since: int, revision: int
    ) -> list[StoredItem]:
        """Take over a complete reading.

        :param present: all keys that were read.
        :param since: revision at which the reading began; a key that is
            missing and was last changed later may be newer than that.
        :param revision: revision up to which all changes are included.
        :returns: the changes that were news.
        """
        news = [item for item in present.values() if self._store(item)]
        for key, known in list(self.items.items()):
            missing = key not in present and known.value is not None
            if missing and known.revision <= since:
                gone = StoredItem(key, since, None)
                self.items[key] = gone
                news.append(gone)
        self.revision = max(self.revision, revision)
        return news

    def _store(self, item: StoredItem) -> bool:
        known = self.items.get(item.key)
        if known is not None:
            older = item.revision < known.revision
            same = item.revision == known.revision
            if older or (same and known.value is not None):
                return False
            if same and item.value is None:
                return False
        self.items[item.key] = item
        return True

    def collect_since(self, revision: int) -> tuple[StoredItem, ...]:
        """Collect what changed after a revision.

        :param revision: the revision.
        :returns: the latest change of each key that changed.
        """
        return tuple(
            item for item in self.items.values() if item.revision > revision
        )
