"""Decide when an instance watches the store in place of a silent one.

The possible watchers of a region take their turns in the order of their
positions, and the instances without a position after them. An instance that
has taken over goes on for a while, which is longer the earlier it is in the
order, so that of several that have taken over one goes on alone.
"""

import random

from carawayvale.gateway.watcher_election import MAX_WATCHERS

# Age of the last confirmation after which the next instance watches the
# store, and the additional time for each position. The last one has to read
# the store, and to tell its peers, before an endpoint that was removed when
# all others were lost may get no more requests.
STALE_S = 1.4
STALE_STEP_S = 0.1

# Least time for which an instance that has taken over goes on, for each
# position that it is ahead of the last one. It is longer than the time for
# which the confirmations of an instance that has stopped count.
TAKEOVER_STEP_S = 3.0


def find_turn(position: int) -> float:
    """Find the age of the last confirmation at which an instance takes over.

    :param position: its position among the possible watchers.
    :returns: seconds.
    """
    return STALE_S + STALE_STEP_S * position


def choose_hold(position: int) -> float:
    """Choose for how long a takeover that begins now lasts at least.

    Instances without a position of their own differ by chance.

    :param position: position among the possible watchers.
    :returns: seconds.
    """
    ahead = MAX_WATCHERS - position
    if ahead == 0:
        return TAKEOVER_STEP_S * random.random()
    return TAKEOVER_STEP_S * (1 + ahead)
