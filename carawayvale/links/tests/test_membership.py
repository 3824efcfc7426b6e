"""Tests of the member list, over fake links in virtual time."""

import random

from carawayvale.contracts import Address
from carawayvale.links import choose_neighbours
from carawayvale.links import elect
from carawayvale.links import MemberRecord
from carawayvale.links import Membership
from carawayvale.links.membership import HEARTBEAT_S
from carawayvale.links import MemberState

PORT = Address("127.0.0.1", 1)
TICK_S = HEARTBEAT_S / 2
TAKE_OVER_S = 3.0


def make_record(name, region="zurich", incarnation=1):
    """Make the record of an instance."""
    return MemberRecord(name, region, f"{region}-a", PORT, PORT, incarnation)


class FakeNetwork:
    """Carries heartbeats, updates and probes between member lists.

    :param regions: number of instances in each region.
    """

    def __init__(self, regions, seed=1):
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.records = [
            make_record(f"{region}-{number}", region)
            for region, count in regions.items()
            for number in range(count)
        ]
        self.members = {r.name: Membership(r) for r in self.records}
        for membership in self.members.values():
            for record in self.records:
                membership.receive(record, 0.0)
        self.stopped = set()
        self.cut = set()

    def carries(self, first, second):
        """Tell whether a link works."""
        if {first, second} & self.stopped:
            return False
        return frozenset((first, second)) not in self.cut

    def cut_regions(self, first, second):
        """Cut all links between two regions."""
        for a in self.records:
            for b in self.records:
                if {a.region, b.region} == {first, second}:
                    self.cut.add(frozenset((a.name, b.name)))

    def run(self, seconds):
        """Let time pass."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += TICK_S
            names = [n for n in self.members if n not in self.stopped]
            self.random.shuffle(names)
            for name in names:
                self.step(name)

    def open_link(self, first, second):
        """Let both ends of a new link send their whole lists."""
        for giver, taker in ((first, second), (second, first)):
            for record in list(self.members[giver].records.values()):
                self.members[taker].receive(record, self.now_s)

    def step(self, name):
        """Do what one instance does in a tick."""
        membership = self.members[name]
        silent = membership.advance(self.now_s)
        live = [
            r
            for r in membership.records.values()
            if r.state is not MemberState.DEAD
        ]
        me = membership.me
        neighbours = choose_neighbours(name, me.region, live)
        membership.watch(neighbours, self.now_s)
        reached = [n for n in sorted(neighbours) if self.carries(name, n)]
        for target in silent:
            for other in reached[:3]:
                if other != target and self.members[other].meets(
                    target, self.now_s
                ):
                    membership.hear(target, 1, self.now_s)
        updates = membership.take_updates(16)
        for other in reached:
            peer = self.members[other]
            peer.meet(name, me.incarnation, self.now_s)
            for record in updates:
                peer.receive(record, self.now_s)

    def list_views(self, name):
        """List the state of an instance in all live views."""
        return {
            viewer: membership.records[name].state
            for viewer, membership in self.members.items()
            if viewer not in self.stopped and viewer != name
        }


class TestDetection:
    def test_dead_instance_is_known_everywhere_in_time(self):
        network = FakeNetwork({"zurich": 7, "geneva": 7, "lugano": 6})
        network.run(5)
        network.stopped.add("zurich-3")
        network.run(TAKE_OVER_S)
        views = network.list_views("zurich-3")
        assert set(views.values()) == {MemberState.DEAD}

    def test_dead_instance_of_a_large_region_is_known_in_time(self):
        network = FakeNetwork({"zurich": 60})
        network.run(5)
        network.stopped.add("zurich-3")
        network.run(TAKE_OVER_S)
        views = network.list_views("zurich-3")
        assert set(views.values()) == {MemberState.DEAD}

    def test_peers_do_not_keep_a_dead_instance_alive(self):
        """Its last heartbeats arrived at one peer later than at others."""
        network = FakeNetwork({"zurich": 3, "geneva": 2})
        network.run(5)
        network.stopped.add("zurich-2")
        network.members["zurich-1"].meet("zurich-2", 1, network.now_s + 0.6)
        network.run(TAKE_OVER_S + 1.0)
        views = network.list_views("zurich-2")
        assert set(views.values()) == {MemberState.DEAD}

    def test_one_cut_link_makes_nobody_leave(self):
        network = FakeNetwork({"zurich": 7})
        network.run(5)
        network.cut.add(frozenset(("zurich-1", "zurich-2")))
        for _ in range(40):
            network.run(0.5)
            for record in network.records:
                views = network.list_views(record.name).values()
                assert MemberState.DEAD not in views

    def test_paused_instance_blames_nobody_and_comes_back(self):
        network = FakeNetwork({"zurich": 7, "geneva": 7})
        network.run(5)
        network.stopped.add("zurich-1")
        network.run(10)
        network.stopped.clear()
        network.open_link("zurich-1", "zurich-0")
        network.run(5)
        for record in network.records:
            views = network.list_views(record.name).values()
            assert set(views) == {MemberState.ALIVE}

    def test_regions_that_lose_each_other_keep_their_members(self):
        network = FakeNetwork({"zurich": 7, "geneva": 7})
        network.run(5)
        network.cut_regions("zurich", "geneva")
        network.run(120)
        for record in network.records:
            views = network.list_views(record.name).values()
            assert set(views) == {MemberState.ALIVE}

    def test_a_third_dying_at_once_is_known_in_time(self):
        network = FakeNetwork({"zurich": 7, "geneva": 7, "lugano": 6})
        network.run(5)
        network.stopped.update(["zurich-0", "zurich-4", "geneva-1"])
        network.stopped.update(["geneva-5", "lugano-2", "lugano-3"])
        network.run(5)
        for name in network.stopped:
            views = set(network.list_views(name).values())
            assert views == {MemberState.DEAD}


class TestMembership:
    def test_restart_overrules_death(self):
        membership = Membership(make_record("e1"))
        membership.receive(make_record("e2"), 0.0)
        membership.suspect("e2", 0.0)
        membership.advance(1.0)
        assert membership.records["e2"].state is MemberState.DEAD
        membership.receive(make_record("e2", incarnation=2), 1.0)
        assert membership.records["e2"].state is MemberState.ALIVE

    def test_old_process_cannot_come_back(self):
        membership = Membership(make_record("e1"))
        membership.receive(make_record("e2", incarnation=2), 0.0)
        assert not membership.receive(make_record("e2"), 1.0)

    def test_leaving_instance_owns_nothing(self):
        membership = Membership(make_record("e1"))
        membership.leave()
        assert membership.list_serving() == ()

    def test_view_hash_agrees_with_equal_lists(self):
        first, second = (
            Membership(make_record("e1")),
            Membership(make_record("e2")),
        )
        assert first.view_hash != second.view_hash
        first.receive(second.me, 0.0)
        second.receive(first.me, 0.0)
        assert first.view_hash == second.view_hash


class TestNeighbours:
    def test_relation_is_symmetric_and_bounded(self):
        members = [make_record(f"z{n}") for n in range(60)]
        members += [make_record(f"g{n}", "geneva") for n in range(60)]
        chosen = {
            m.name: choose_neighbours(m.name, m.region, members)
            for m in members
        }
        for name, neighbours in chosen.items():
            assert all(name in chosen[other] for other in neighbours)
            assert len(neighbours) <= 6 + 2

    def test_roles_are_carried_by_two_live_instances(self):
        members = [make_record(f"z{n}") for n in range(5)]
        first = elect(members, "zurich", "watcher", 2)
        rest = [m for m in members if m.name != first[0]]
        assert elect(rest, "zurich", "watcher", 2)[0] == first[1]
