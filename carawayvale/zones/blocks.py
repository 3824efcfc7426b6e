"""Finds the name that the longest matching network has for an address."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import ipaddress

NO_NAME = ""


@dataclass(frozen=True)
class NamedBlock:
    """A network and the name of what it belongs to.

    :param network: the network in CIDR form.
    :param name: the name.
    """

    network: str
    name: str


@dataclass(frozen=True)
class Segment:
    """Addresses from a first to a last one that share a name."""

    first: int
    last: int
    name: str


@dataclass
class SegmentList:
    """Disjoint ranges in ascending order, in compact arrays."""

    starts: list[int] | array
    indexes: array = field(default_factory=lambda: array("H"))
    names: list[str] = field(default_factory=lambda: [NO_NAME])

    def append(self, start: int, name: str) -> None:
        """Append a range that lasts to the next one's start.

        :param start: first address.
        :param name: name of the range.
        """
        if name not in self.names:
            self.names.append(name)
        index = self.names.index(name)
        if self.starts and self.starts[-1] == start:
            self.indexes[-1] = index
        else:
            self.starts.append(start)
            self.indexes.append(index)

    def find(self, address: int) -> str:
        """Find the name of an address.

        :param address: the address as a number.
        :returns: the name, or an empty string.
        """
        place = bisect_right(self.starts, address) - 1
        return self.names[self.indexes[place]] if place >= 0 else NO_NAME


def _flatten(segments: list[Segment], target: SegmentList) -> None:
    stack: list[Segment] = []
    for segment in sorted(segments, key=lambda s: (s.first, -s.last)):
        while stack and stack[-1].last < segment.first:
            _close(stack, target)
        target.append(segment.first, segment.name)
        stack.append(segment)
    while stack:
        _close(stack, target)


def _close(stack: list[Segment], target: SegmentList) -> None:
    ended = stack.pop()
    outer = stack[-1].name if stack else NO_NAME
    if not stack or stack[-1].last > ended.last:
        target.append(ended.last + 1, outer)


class BlockTable:
    """Longest-prefix match over networks of both IP versions.

    :param blocks: the networks; the more specific one wins.

    >>> table = BlockTable([NamedBlock("10.0.0.0/8", "zurich")])
    >>> table.find("10.1.2.3"), table.find("11.0.0.1")
    ('zurich', '')
    """

    def __init__(self, blocks: Iterable[NamedBlock]):
        self.blocks = tuple(blocks)
        split: dict[int, list[Segment]] = {4: [], 6: []}
        for block in self.blocks:
            network = ipaddress.ip_network(block.network)
            first = int(network.network_address)
            last = first + network.num_addresses - 1
            split[network.version].append(Segment(first, last, block.name))
        self.segments = {4: SegmentList(array("Q")), 6: SegmentList([])}
        for version, segments in split.items():
            _flatten(segments, self.segments[version])

    def find(self, address: str) -> str:
        """Find the name of an address.

        :param address: IP address in text form.
        :returns: the name, or an empty string.
        :raises ValueError: if it is no IP address.
        """
        parsed = ipaddress.ip_address(address)
        return self.segments[parsed.version].find(int(parsed))
