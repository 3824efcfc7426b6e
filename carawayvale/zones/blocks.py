"""Find the named network of an IP address by longest-prefix match."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import ipaddress

# Returned for addresses that are in no network.
NO_NAME = ""


@dataclass(frozen=True)
class NamedBlock:
    """A network and its name.

    :param network: the network in CIDR notation.
    :param name: name of the region or caller class that has the network.
    """

    network: str
    name: str


@dataclass(frozen=True)
class AddressRange:
    """A range of addresses with one name.

    :param first: first address as a number.
    :param last: last address as a number, inclusive.
    :param name: name of the addresses.
    """

    first: int
    last: int
    name: str


@dataclass
class RangeList:
    """Disjoint address ranges in ascending order, in compact arrays.

    Each range extends to the start of the next one.

    :param starts: first address of each range.
    :param name_indexes: index of the name of each range.
    :param names: all names, each once.
    """

    starts: list[int] | array
    name_indexes: array = field(default_factory=lambda: array("H"))
    names: list[str] = field(default_factory=lambda: [NO_NAME])

    def append(self, start: int, name: str) -> None:
        """Append a range that extends to the start of the next one.

        A range with the same start replaces the last one.

        :param start: first address of the range as a number.
        :param name: name of the range.
        """
        if name not in self.names:
            self.names.append(name)
        index = self.names.index(name)
        if self.starts and self.starts[-1] == start:
            self.name_indexes[-1] = index
        else:
            self.starts.append(start)
            self.name_indexes.append(index)

    def find(self, address: int) -> str:
        """Find the name of an address.

        :param address: the address as a number.
        :returns: the name, or an empty string if no network contains
            the address.
        """
        index = bisect_right(self.starts, address) - 1
        return self.names[self.name_indexes[index]] if index >= 0 else NO_NAME


def _flatten(ranges: list[AddressRange], target: RangeList) -> None:
    """Append nested ranges as disjoint ones; the innermost name wins."""
    stack: list[AddressRange] = []
    for range_ in sorted(ranges, key=lambda r: (r.first, -r.last)):
        while stack and stack[-1].last < range_.first:
            _close_innermost(stack, target)
        target.append(range_.first, range_.name)
        stack.append(range_)
    while stack:
        _close_innermost(stack, target)


def _close_innermost(stack: list[AddressRange], target: RangeList) -> None:
    """End the innermost open range and continue the one around it."""
    ended = stack.pop()
    outer_name = stack[-1].name if stack else NO_NAME
    if not stack or stack[-1].last > ended.last:
        target.append(ended.last + 1, outer_name)


class BlockTable:
    """Longest-prefix match over IPv4 and IPv6 networks.

    :param blocks: the networks with their names.

    >>> table = BlockTable([NamedBlock("10.0.0.0/8", "zurich")])
    >>> table.find("10.1.2.3"), table.find("11.0.0.1")
    ('zurich', '')
    """

    def __init__(self, blocks: Iterable[NamedBlock]):
        self.blocks = tuple(blocks)
        by_version: dict[int, list[AddressRange]] = {4: [], 6: []}
        for block in self.blocks:
            network = ipaddress.ip_network(block.network)
            first = int(network.network_address)
            last = first + network.num_addresses - 1
            by_version[network.version].append(
                AddressRange(first, last, block.name)
            )
        # IPv6 addresses are too large for the elements of an array.
        self.ranges = {4: RangeList(array("Q")), 6: RangeList([])}
        for version, ranges in by_version.items():
            _flatten(ranges, self.ranges[version])

    def find(self, address: str) -> str:
        """Find the name of the most specific network of an address.

        :param address: IP address in text form.
        :returns: the name, or an empty string if no network contains
            the address.
        :raises ValueError: if ``address`` is not an IP address.
        """
        parsed = ipaddress.ip_address(address)
        return self.ranges[parsed.version].find(int(parsed))
