"""Decide which peers get changes of the store at once, and which a notice.

If every instance sent each change on to all its peers, a change would
cross every link of the region, most of them twice. Links on which both
sides sent the same change are therefore used for notices only; the other
links form a tree that reaches every instance. A peer that learns from a
notice that it lacks changes requests them and gets changes at once again.
"""

from dataclasses import dataclass
from dataclasses import field


@dataclass
class FeedPeer:
    """What is known about one peer's replica.

    :param revision: revision up to which it has all changes.
    :param notices_only: whether it gets changes from others.
    """

    revision: int = 0
    notices_only: bool = False


@dataclass
class FeedPeers:
    """Peers of the region, by name.

    :param peers: the peers.
    """

    peers: dict[str, FeedPeer] = field(default_factory=dict)

    def find(self, name: str) -> FeedPeer:
        """Find the state of a peer.

        :param name: name of the peer.
        :returns: the state; a new peer gets changes at once.
        """
        return self.peers.setdefault(name, FeedPeer())

    def forget(self, name: str) -> None:
        """Forget a peer whose link ended.

        :param name: name of the peer.
        """
        self.peers.pop(name, None)

    def record_update(
        self, name: str, revision: int, own_revision: int, has_items: bool
    ) -> None:
        """Record an update that a peer sent.

        :param name: name of the peer.
        :param revision: revision of the update.
        :param own_revision: revision of this instance before the update.
        :param has_items: whether the update has changes.
        """
        peer = self.find(name)
        peer.revision = max(peer.revision, revision)
        if has_items and revision <= own_revision:
            peer.notices_only = True

    def record_request(self, name: str) -> None:
        """Record that a peer requested changes.

        :param name: name of the peer.
        """
        self.find(name).notices_only = False

    def wants_update(self, name: str, revision: int, has_items: bool) -> bool:
        """Tell whether a peer gets an update at once.

        :param name: name of the peer.
        :param revision: revision of the update.
        :param has_items: whether the update has changes. One without
            only tells that the store confirmed the revision again.
        :returns: whether it is sent to the peer.
        """
        peer = self.find(name)
        if peer.notices_only:
            return False
        return peer.revision < revision or not has_items

    def list_notices(self, names: list[str]) -> list[str]:
        """List the peers that get notices.

        :param names: names of the linked peers of the region.
        :returns: names of those that get changes from others.
        """
        return [name for name in names if self.find(name).notices_only]
