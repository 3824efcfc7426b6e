"""Election of the instances of a region that watch the store."""

from carawayvale.links.membership import Membership
from carawayvale.links.topology import elect

ROLE_STORE_WATCHER = "feeder"

# Number of instances of a region with a position of their own among the
# possible watchers.
MAX_WATCHERS = 5


class WatcherElection:
    """Position of this instance among the possible watchers.

    :param membership: the member list.
    """

    def __init__(self, membership: Membership):
        self.membership = membership
        self.generation = -1
        self.position = MAX_WATCHERS

    def find_position(self) -> int:
        """Find this instance's position among the possible watchers.

        The watchers are elected again only after a change of the member
        list.

        :returns: 0 for the instance that watches by default, a larger
            number for one that watches only if the state is stale.
        """
        if self.membership.generation != self.generation:
            self.generation = self.membership.generation
            self.position = self._elect()
        return self.position

    def _elect(self) -> int:
        own_record = self.membership.own_record
        elected = elect(
            self.membership.list_serving(),
            own_record.region,
            ROLE_STORE_WATCHER,
            MAX_WATCHERS,
            self.membership.weights.find,
        )
        if own_record.name not in elected:
            return MAX_WATCHERS
        return elected.index(own_record.name)
