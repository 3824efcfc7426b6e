"""Tests of the reports of a configuration's age, in simulated regions."""

import heapq
import itertools
import random
from types import SimpleNamespace

import pytest

from carawayvale.contracts.address import Address
from carawayvale.gateway import age_reports
from carawayvale.gateway.age_reports import AgeReports
from carawayvale.gateway.age_reports import TICK_INTERVAL_S
from carawayvale.gateway.configuration_age import ConfigurationAge
from carawayvale.gateway.settings import Bounds
from carawayvale.links import choose_neighbours
from carawayvale.links import MemberRecord
from carawayvale.links.messages import decode_message
from carawayvale.links.messages import encode_message
from carawayvale.links.peer_link import pack_message
from carawayvale.links.topology import MAX_MESH_INSTANCES
from carawayvale.steering.freshness import Reading

PORT = Address("127.0.0.1", 1)

# Header of a websocket frame with the mask of the connecting side, and
# headers of TCP with time stamps and of IP.
FRAME_BYTES = 6
PACKET_BYTES = 52

# Greatest delay of a message, and the share of messages that take longer.
DELAY_S = 0.004
SLOW_SHARE = 0.01
SLOW_S = 0.5

# Interval of the watches while nothing changes, and while much does.
CALM_S = 1.0
BUSY_S = 0.28
REVISION = 123_456
STEP_S = 0.05


def run_now(coroutine):
    """Run a coroutine that never waits."""
    with pytest.raises(StopIteration):
        coroutine.send(None)


class SimulatedRegion:
    """Instances of one region whose messages take a random time.

    :param size: number of instances.
    :param seed: seed of the delays and of the clocks.
    """

    def __init__(self, size, seed, monkeypatch):
        self.random = random.Random(seed)
        self.now_s = self.began_s = self.tick_s = 1000.0
        self.events = []
        self.order = itertools.count()
        self.bytes = 0
        self.messages = 0
        self.offset_s = {}
        self.current = ""
        self.reports = {}
        self.links = {}
        self.extra_s = {}
        self.suspended, self.resume_s = "", 0.0
        monkeypatch.setattr(age_reports, "read_boot_clock", self.read_clock)
        names = [f"zurich-{number}" for number in range(size)]
        records = {
            name: MemberRecord(name, "zurich", "zurich-a", PORT, PORT, 1)
            for name in names
        }
        for name in names:
            self.offset_s[name] = self.random.uniform(0.0, 1e6)
            neighbours = choose_neighbours(name, "zurich", records.values())
            self.links[name] = {
                other: SimpleNamespace(
                    peer=records[other], post=self.make_post(name, other)
                )
                for other in sorted(neighbours)
            }
            peers = SimpleNamespace(
                membership=SimpleNamespace(
                    own_record=records[name],
                    is_full_mesh=size <= MAX_MESH_INSTANCES,
                ),
                list_region_links=self.make_list(name),
            )
            age = ConfigurationAge(lambda: Bounds(revoke_s=5.0))
            self.reports[name] = AgeReports(age, peers, lambda: True)
            age.freshness.advance(REVISION)
        for name, links in self.links.items():
            for link in links.values():
                self.call(name, self.reports[name].greet(link))

    def read_clock(self):
        """Read the clock of the instance whose code runs."""
        return self.now_s + self.offset_s[self.current]

    def call(self, name, coroutine):
        """Run code of an instance."""
        self.current = name
        run_now(coroutine)

    def make_list(self, name):
        """Make the function that lists the links of an instance."""
        return lambda source: [
            link for other, link in self.links[name].items() if other != source
        ]

    def make_post(self, sender, receiver):
        """Make the function that sends a message over a link."""

        async def post(message):
            took_s = self.random.uniform(0.0005, DELAY_S)
            if self.random.random() < SLOW_SHARE:
                took_s += SLOW_S
            took_s += self.extra_s.get((sender, receiver), 0.0)
            self.bytes += len(pack_message(message)) + FRAME_BYTES
            self.messages += 1
            data = encode_message(message)
            event = (self.now_s + took_s, next(self.order), sender, receiver)
            heapq.heappush(self.events, (*event, data))

        return post

    def deliver_until(self, end_s):
        """Deliver the messages that arrive up to a time."""
        while self.events and self.events[0][0] <= end_s:
            event = heapq.heappop(self.events)
            if event[3] == self.suspended and event[0] < self.resume_s:
                resumed = (self.resume_s, *event[1:])
                heapq.heappush(self.events, resumed)
                continue
            self.now_s, _, sender, receiver, data = event
            link = self.links[receiver][sender]
            report = self.reports[receiver]
            self.call(receiver, report.receive(link, decode_message(data)))
        self.now_s = end_s

    def run(self, watcher, duration_s, interval_s, suspended=""):
        """Let one instance read the store; return the ages meanwhile.

        Messages to a suspended instance wait until shortly after the end.
        """
        ages = []
        end_s = self.now_s + duration_s
        self.suspended, self.resume_s = suspended, end_s + 2 * STEP_S
        while self.now_s < end_s:
            self.deliver_until(self.now_s + STEP_S)
            if self.now_s >= self.began_s + interval_s:
                began_s = self.began_s + self.offset_s[watcher]
                report = self.reports[watcher]
                reading = Reading(REVISION, began_s)
                self.call(watcher, report.record_reading(reading))
                self.check_bounds()
                self.began_s = self.now_s
            if self.now_s - self.tick_s >= TICK_INTERVAL_S:
                self.tick_s = self.now_s
                for name, report in self.reports.items():
                    if name == self.suspended:
                        continue
                    self.call(name, report._probe_links())
            ages.append(max(self.list_ages()))
        return ages

    def list_ages(self):
        """List the ages at all instances."""
        return [
            report.age.find_age(self.now_s + self.offset_s[name])
            for name, report in self.reports.items()
        ]

    def check_bounds(self):
        """Check that no instance takes the reading for a later one."""
        youngest_s = self.now_s - self.began_s
        assert min(self.list_ages()) >= youngest_s - 1e-6


@pytest.mark.parametrize("size", (5, 41, 170))
@pytest.mark.parametrize("interval_s", (CALM_S, BUSY_S))
class TestSpreading:
    def test_all_ages_stay_low_at_a_bounded_cost(
        self, size, interval_s, monkeypatch
    ):
        """Regions of 121 and of 510 instances, and a full mesh."""
        region = SimulatedRegion(size, 7, monkeypatch)
        region.run("zurich-0", 6.0, interval_s)
        region.bytes = region.messages = 0
        duration_s = 20.0
        ages = region.run("zurich-0", duration_s, interval_s)
        rate = region.bytes / size / duration_s
        packets = region.messages / size / duration_s
        print(
            f"size={size} interval_s={interval_s} max_age_s={max(ages):.2f}"
            f" mean_s={sum(ages) / len(ages):.2f} bytes_per_s={rate:.0f}"
            f" messages_per_s={packets:.1f}"
            f" with_headers={rate + PACKET_BYTES * packets:.0f}"
        )
        assert max(ages) < 3.0
        assert rate < 600.0


class TestDelayedLink:
    def test_a_late_report_does_not_make_the_configuration_young(
        self, monkeypatch
    ):
        region = SimulatedRegion(2, 7, monkeypatch)
        region.run("zurich-0", 6.0, CALM_S)
        region.extra_s["zurich-0", "zurich-1"] = 8.0
        region.run("zurich-0", 12.0, CALM_S)
        age_s = region.list_ages()[1]
        assert 8.0 < age_s < 12.0

    def test_reports_over_an_unmeasured_link_do_not_count(self, monkeypatch):
        region = SimulatedRegion(2, 7, monkeypatch)
        region.extra_s["zurich-1", "zurich-0"] = 1e9
        region.events.clear()
        region.run("zurich-0", 6.0, CALM_S)
        assert region.list_ages()[1] == float("inf")


class TestSuspendedInstance:
    def test_the_wait_of_messages_counts_when_it_resumes(self, monkeypatch):
        region = SimulatedRegion(2, 7, monkeypatch)
        region.run("zurich-0", 6.0, CALM_S)
        region.run("zurich-0", 20.0, CALM_S, suspended="zurich-1")
        assert region.list_ages()[1] > 20.0
        # It resumes: all messages that waited are handled at once.
        region.deliver_until(region.resume_s)
        region.check_bounds()
        region.run("zurich-0", 3.0, CALM_S)
        assert region.list_ages()[1] < 3.0


class TestUnlimitedAge:
    def test_nothing_is_sent_or_recorded(self, monkeypatch):
        """Deployments without revocation have no cost."""
        region = SimulatedRegion(3, 7, monkeypatch)
        region.events.clear()
        region.messages = 0
        for report in region.reports.values():
            report.age.find_bounds = Bounds
        region.run("zurich-0", 3.0, CALM_S)
        assert region.messages == 0
        assert min(region.list_ages()) == float("inf")
