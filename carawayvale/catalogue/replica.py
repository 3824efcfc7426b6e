"""Local replica of the items of a store, updated by revision.

All revisions are packed positions, see :mod:`carawayvale.catalogue.position`.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from carawayvale.catalogue.position import find_epoch


@dataclass(frozen=True)
class StoredItem:
    """Value of one key of the store at one revision.

    :param key: the key.
    :param revision: revision of the latest change of the key.
    :param value: the bytes; None if the key was deleted.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass
class StoreReplica:
    """Replica of a store: the latest known change of each key.

    Changes may arrive in any order; a key never goes back to an earlier
    revision. Deleted keys are kept with the revision of the deletion. A
    snapshot of a later epoch replaces all items of earlier ones, of which
    no further changes are accepted.

    :param items: the latest change of each key.
    :param revision: revision up to which all changes are included.

    >>> replica = StoreReplica()
    >>> [i.key for i in replica.apply([StoredItem("a", 3, b"x")], 3)]
    ['a']
    >>> replica.apply([StoredItem("a", 2, b"older")], 2)
    []
    """

    items: dict[str, StoredItem] = field(default_factory=dict)
    revision: int = 0

    def apply(
        self, changes: Iterable[StoredItem], revision: int
    ) -> list[StoredItem]:
        """Apply changes.

        :param changes: changes in any order.
        :param revision: revision up to which all changes are among these
            or were applied before.
        :returns: the changes that were not known.
        """
        applied = [item for item in changes if self._store(item)]
        self.revision = max(self.revision, revision)
        return applied

    def apply_snapshot(
        self, present: Mapping[str, StoredItem], since: int, revision: int
    ) -> list[StoredItem]:
        """Apply a snapshot of all keys; keys that it lacks are deleted.

        :param present: all keys that were read.
        :param since: revision at which the snapshot began. A missing key
            that was last changed after it is kept, as the key may be
            newer than the snapshot.
        :param revision: revision up to which all changes are included.
        :returns: the changes that were not known.
        """
        if self._is_outdated(revision):
            return []
        applied = [item for item in present.values() if self._store(item)]
        self.revision = max(self.revision, revision)
        for key, known in list(self.items.items()):
            if key in present or known.revision > since:
                continue
            if known.value is not None:
                deleted = StoredItem(key, since, None)
                self.items[key] = deleted
                applied.append(deleted)
            elif self._is_outdated(known.revision):
                del self.items[key]
        return applied

    def _is_outdated(self, revision: int) -> bool:
        return find_epoch(revision) < find_epoch(self.revision)

    def _store(self, item: StoredItem) -> bool:
        """Store a change unless it is known or outdated.

        At equal revisions, a value replaces a deletion.

        :returns: whether the change was stored.
        """
        if self._is_outdated(item.revision):
            return False
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
        """Collect the changes after a revision, deletions included.

        :param revision: the revision.
        :returns: the latest change of each key that changed.
        """
        return tuple(
            item for item in self.items.values() if item.revision > revision
        )
