"""Keys and values of the capacities of instances in the platform's store."""

import json

from carawayvale.capacity.weights import Capacity
from carawayvale.catalogue.replica import StoredItem
from carawayvale.platform.values import read_field

CAPACITIES_PREFIX = "carawayvale/capacities/"


def encode_capacity(capacity: Capacity) -> bytes:
    """Encode the capacity with which an instance registers itself.

    :param capacity: the capacity.
    :returns: the value of its item.
    """
    return json.dumps(
        {"cpu_share": capacity.cpu_share, "link_mbps": capacity.link_mbps}
    ).encode()


def decode_capacity(item: StoredItem) -> Capacity:
    """Decode the capacity of an instance.

    Fields that only later versions know are ignored.

    :param item: its item, which is present.
    :returns: the capacity.
    :raises ValueError: if it cannot be decoded or is not above 0.

    >>> item = StoredItem("k", 1, b'{"cpu_share": 0.5, "link_mbps": 10}')
    >>> decode_capacity(item)
    Capacity(cpu_share=0.5, link_mbps=10)
    """
    try:
        table = json.loads(item.value)
    except (TypeError, RecursionError) as error:
        raise ValueError(f"cannot be decoded: {error!r}") from None
    capacity = Capacity(
        read_field(table, "cpu_share", (int, float)),
        read_field(table, "link_mbps", (int, float)),
    )
    if not capacity.cpu_share > 0 or not capacity.link_mbps > 0:
        raise ValueError("a capacity is not above 0")
    return capacity
