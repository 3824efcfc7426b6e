"""Tell whether this instance itself is behind.

A timeout says nothing about the other side while the own event loop or link
delays whatever is sent and received. Failure detectors that know their own
health raise fewer false alarms: Dadgar, Phillips and Currey, "Lifeguard:
local health awareness for more accurate failure detection", 2018.
"""

import math

from carawayvale.capacity.link_meter import LinkMeter
from carawayvale.capacity.loop_lag import LoopLag

# Delay of the event loop or of the link's queue from which on timeouts count
# less. The shortest timeouts between instances are 0.3 s.
BEHIND_S = 0.1

# Share of the bandwidth that received bytes take while others wait for the
# link at its other end.
BUSY_RECEIVE_SHARE = 0.7

# What was sent in a jam is answered this much later.
ANSWER_S = 0.1


class OwnDelay:
    """Latest time at which the event loop or the link was behind.

    :param link: link of the process.
    :param loop_lag: delays of its event loop.
    """

    def __init__(self, link: LinkMeter, loop_lag: LoopLag):
        self.link = link
        self.loop_lag = loop_lag
        self.behind_s = -math.inf

    def observe(self, now_s: float) -> None:
        """Note whether the instance is behind.

        :param now_s: the time.
        """
        delay_s = max(self.loop_lag.latest_s, self.link.find_queue(now_s))
        share = self.link.find_receive_share(now_s)
        if delay_s >= BEHIND_S or share >= BUSY_RECEIVE_SHARE:
            self.behind_s = now_s

    def was_behind(self, since_s: float) -> bool:
        """Tell whether the instance was behind at any time since another.

        :param since_s: that time, for example that of a call that has
            timed out.
        :returns: whether it was.
        """
        return self.behind_s + ANSWER_S >= since_s
