"""What an instance can carry, and how much of that is in use."""

from carawayvale.capacity.link_meter import LinkMeter
from carawayvale.capacity.link_meter import OWN_LINK
from carawayvale.capacity.loop_lag import LoopLag
from carawayvale.capacity.own_delay import OwnDelay
from carawayvale.capacity.weights import Capacity
from carawayvale.capacity.weights import InstanceWeights

__all__ = [
    "Capacity",
    "InstanceWeights",
    "LinkMeter",
    "LoopLag",
    "OWN_LINK",
    "OwnDelay",
]
