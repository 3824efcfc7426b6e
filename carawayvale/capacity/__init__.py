"""What an instance can carry, and how much of that is in use."""

from carawayvale.capacity.link_meter import LinkMeter
from carawayvale.capacity.link_meter import OWN_LINK
from carawayvale.capacity.loop_lag import LoopLag

__all__ = ["LinkMeter", "LoopLag", "OWN_LINK"]
