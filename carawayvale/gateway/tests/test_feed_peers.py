"""Tests of which peers get changes at once, on a simulated region."""

from collections import deque
import random

from carawayvale.contracts.address import Address
from carawayvale.gateway.feed_peers import FeedPeers
from carawayvale.links import choose_neighbours
from carawayvale.links import MemberRecord

PORT = Address("127.0.0.1", 1)
INSTANCES = 65


class Region:
    """Instances of one region that send changes on to each other.

    :param seed: seed of the order in which messages arrive.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        names = [f"zurich-{n}" for n in range(INSTANCES)]
        records = [
            MemberRecord(n, "zurich", "zurich-a", PORT, PORT, 1) for n in names
        ]
        self.links = {
            name: set(choose_neighbours(name, "zurich", records))
            for name in names
        }
        self.states = {name: FeedPeers() for name in names}
        self.revisions = dict.fromkeys(names, 0)
        self.messages = deque()
        self.sent = 0

    def send(self, name, source, revision):
        """Send an update on to the peers that get it at once."""
        for peer in sorted(self.links[name] - {source}):
            if self.states[name].wants_update(peer, revision, True):
                self.messages.append((name, peer, revision))
                self.sent += 1

    def publish(self, name, revision):
        """Publish a change and deliver all messages that follow.

        :returns: number of messages with the change.
        """
        self.sent = 0
        self.revisions[name] = revision
        self.send(name, "", revision)
        while self.messages:
            self.messages.rotate(-self.random.randrange(3))
            sender, name, update = self.messages.popleft()
            own_revision = self.revisions[name]
            self.states[name].record_update(sender, update, own_revision, True)
            if update > own_revision:
                self.revisions[name] = update
                self.send(name, sender, update)
        return self.sent

    def exchange_notices(self):
        """Deliver notices, and the changes that are requested for them."""
        for name, links in self.links.items():
            for peer in self.states[name].list_notices(sorted(links)):
                if self.revisions[peer] < self.revisions[name]:
                    self.states[name].record_request(peer)
                    self.revisions[peer] = self.revisions[name]
                    self.send(peer, name, self.revisions[peer])

    def break_link(self, first, second):
        """End the link of two instances."""
        self.links[first].discard(second)
        self.links[second].discard(first)
        self.states[first].forget(second)
        self.states[second].forget(first)


class TestSpreading:
    def test_a_change_reaches_all_with_few_messages(self):
        for seed in range(5):
            region = Region(seed)
            counts = [
                region.publish("zurich-0", revision)
                for revision in range(1, 31)
            ]
            assert set(region.revisions.values()) == {30}
            # At first on nearly every link, later on a tree.
            assert counts[0] > 3 * INSTANCES
            assert max(counts[10:]) <= 1.5 * INSTANCES

    def test_notices_repair_the_tree_after_links_broke(self):
        for seed in range(5):
            region = Region(seed)
            for revision in range(1, 21):
                region.publish("zurich-0", revision)
            for number in range(0, 30, 3):
                name = f"zurich-{number}"
                region.break_link(name, min(region.links[name]))
            region.publish("zurich-0", 21)
            for _ in range(3):
                region.exchange_notices()
                while region.messages:
                    sender, name, update = region.messages.popleft()
                    if update > region.revisions[name]:
                        region.revisions[name] = update
            assert set(region.revisions.values()) == {21}

    def test_a_peer_that_requests_gets_changes_at_once_again(self):
        peers = FeedPeers()
        peers.record_update("e2", 5, 5, has_items=True)
        assert not peers.wants_update("e2", 6, True)
        peers.record_request("e2")
        assert peers.wants_update("e2", 6, True)

    def test_a_confirmation_does_not_end_updates(self):
        peers = FeedPeers()
        peers.record_update("e2", 5, 5, has_items=False)
        assert peers.wants_update("e2", 6, True)
        assert peers.wants_update("e2", 5, False)
        assert not peers.wants_update("e2", 5, True)
