"""Positions in the sequence of changes of a store.

A store that returns from a copy gives revisions out again, so a revision
is unique only within an epoch, which ends with each return. Items and
messages carry the position as one integer, so that positions compare as
integers, and those of the first epoch equal the revision.
"""

from dataclasses import dataclass

# Number of bits of a packed position that hold the revision.
REVISION_BITS = 40


@dataclass(frozen=True, order=True)
class StorePosition:
    """An epoch of the store and a revision within it.

    :param epoch: number of times that the store has returned from a copy.
    :param revision: revision of the store.

    >>> StorePosition(0, 90).pack() < StorePosition(1, 3).pack()
    True
    >>> str(StorePosition(1, 3))
    '1:3'
    """

    epoch: int
    revision: int

    def __str__(self):
        return f"{self.epoch}:{self.revision}"

    def pack(self) -> int:
        """Pack the position into one integer.

        :returns: the integer; in the first epoch, the revision itself.
        """
        return self.epoch << REVISION_BITS | self.revision


def unpack_position(packed: int) -> StorePosition:
    """Unpack a position.

    :param packed: the integer from :meth:`StorePosition.pack`.
    :returns: the position.
    """
    epoch = packed >> REVISION_BITS
    return StorePosition(epoch, packed - (epoch << REVISION_BITS))


def format_position(packed: int) -> str:
    """Format a packed position for people.

    :param packed: the packed position.
    :returns: the revision, with its epoch unless that is the first one.

    >>> format_position(9), format_position(StorePosition(1, 9).pack())
    ('9', '1:9')
    """
    position = unpack_position(packed)
    return str(position) if position.epoch else str(position.revision)


def find_epoch(packed: int) -> int:
    """Find the epoch of a packed position.

    :param packed: the packed position.
    :returns: the epoch.
    """
    return packed >> REVISION_BITS
