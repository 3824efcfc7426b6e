"""Tests of the reports about crashes between instances."""

import heapq
import random
from types import SimpleNamespace

import curio
import pytest

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.contracts.address import Address
from carawayvale.gateway.crash_reports import CrashReports
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.observer import RequestObserver

INSTANCES = 8
REPORTS = 2
MAX_DELAY_S = 1.0

REQUEST = Request("GET", "/x", ((b"host", b"h.example"),), b"", 0.0)
ENDPOINT = EndpointRecord(
    "i-1", Address("10.0.0.1", 80), "grids", "zurich", "zrh-a", 5
)


class LinkedInstances:
    """Instances that are all linked, with links of random delay.

    :param seed: seed of the delays.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.queue = []
        self.sent = 0
        self.reports = [
            CrashReports(f"e{number}", RequestObserver())
            for number in range(INSTANCES)
        ]
        for number, reports in enumerate(self.reports):
            reports.attach(SimpleNamespace(broadcast=self.make_send(number)))

    def make_send(self, sender):
        """Make the function that sends to all other instances."""

        async def send(report, source):
            for receiver in range(INSTANCES):
                if receiver == sender or f"e{receiver}" == source:
                    continue
                self.sent += 1
                due_s = self.now_s + self.random.uniform(0.0, MAX_DELAY_S)
                item = (due_s, self.sent, sender, receiver, report)
                heapq.heappush(self.queue, item)

        return send

    async def deliver(self, until_s, limit):
        """Deliver the messages that are due, up to a number of messages."""
        while self.queue and self.queue[0][0] <= until_s:
            if self.sent > limit:
                return
            self.now_s, _, sender, receiver, report = heapq.heappop(self.queue)
            link = SimpleNamespace(peer=SimpleNamespace(name=f"e{sender}"))
            await self.reports[receiver].receive(link, report)


class TestDissemination:
    @pytest.mark.parametrize("seed", range(20))
    def test_crash_and_answer_do_not_chase_each_other_for_ever(self, seed):
        """Each instance sends each of the two reports at most once."""
        fleet = LinkedInstances(seed)
        limit = REPORTS * INSTANCES * (INSTANCES - 1)

        async def run():
            await fleet.reports[0].record_crash(ENDPOINT, REQUEST)
            await fleet.deliver(MAX_DELAY_S / 4, limit)
            await fleet.reports[0].record_answer(REQUEST)
            await fleet.deliver(1000 * MAX_DELAY_S, limit)

        curio.run(run)
        assert fleet.sent <= limit
        assert not fleet.queue
