"""Report the age of the configuration to the peers of the region.

A report follows the messages of the change feed on the same link, so that
its receiver has the changes up to the reported reading. Each report also
measures the link: it returns the clock of the latest report from the
other side.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import math

import curio

from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.configuration_age import ConfigurationAge
from carawayvale.links.age_messages import AgeReport
from carawayvale.links.age_messages import NO_AGE
from carawayvale.links.peer_link import PeerLink
from carawayvale.links.peers import PeerTable
from carawayvale.links.peers import register_message_handler
from carawayvale.steering.freshness import LinkDelay
from carawayvale.steering.freshness import NO_READING
from carawayvale.steering.freshness import Reading

MS_PER_S = 1000.0
TICK_INTERVAL_S = 0.25

# Peers are told of a reading if it began this much later than the one that
# they know. While the store changes often, it is read four times a second.
MIN_GAIN_S = 0.5

# A link on which no report was sent for this time gets one, so that it is
# measured in both directions in each window of LinkDelay.
PROBE_INTERVAL_S = 5.0


@dataclass(eq=False)
class LinkState:
    """What is known about the link with one peer.

    :param link: the link.
    :param delay: measurements of the reports that the peer sent.
    :param known: latest reading that the peer knows.
    :param sent_s: time at which the latest report was sent.
    :param heard_ms: clock in the peer's latest report; 0 without one.
    :param heard_s: time at which that report was received.
    :param has_echoed: whether a report with an echo was sent.
    """

    link: PeerLink
    delay: LinkDelay = field(default_factory=LinkDelay)
    known: Reading = NO_READING
    sent_s: float = -math.inf
    heard_ms: int = 0
    heard_s: float = 0.0
    has_echoed: bool = False


class AgeReports:
    """Exchange of ages with the linked peers of the region.

    Nothing is sent or received where the age is not limited.

    :param age: age of the configuration of this instance.
    :param peers: links with other instances.
    :param has_keys: tells whether there are requests that need a key.
    """

    def __init__(
        self,
        age: ConfigurationAge,
        peers: PeerTable,
        has_keys: Callable[[], bool],
    ):
        self.age = age
        self.peers = peers
        self.has_keys = has_keys
        self.links: dict[str, LinkState] = {}
        peers.age_reports = self

    async def run(self) -> None:
        """Keep the links measured and the log up to date until cancelled."""
        while True:
            self.age.log_refusal(read_boot_clock(), self.has_keys())
            if self.age.is_limited:
                await self._probe_links()
            await curio.sleep(TICK_INTERVAL_S)

    async def _probe_links(self) -> None:
        links = {
            link.peer.name: link for link in self.peers.list_region_links("")
        }
        for name in self.links.keys() - links.keys():
            del self.links[name]
        now_s = read_boot_clock()
        for link in links.values():
            state = self._find_state(link)
            if now_s - state.sent_s >= PROBE_INTERVAL_S:
                await self._send(state)

    def _find_state(self, link: PeerLink) -> LinkState:
        """Find the state of a link; a new link has to be measured anew."""
        name = link.peer.name
        state = self.links.get(name)
        if state is None or state.link is not link:
            state = self.links[name] = LinkState(link)
        return state

    async def record_reading(self, reading: Reading) -> None:
        """Record a reading of this instance and report it to peers.

        :param reading: the reading, whose changes have been applied.
        """
        if not self.age.is_limited:
            return
        self.age.freshness.advance(reading.revision)
        if self.age.freshness.record(reading):
            await self._report_to_peers("")

    async def advance(self, revision: int) -> None:
        """Record that changes of a peer have been applied.

        :param revision: position up to which this instance has all
            changes.
        """
        if self.age.is_limited and self.age.freshness.advance(revision):
            await self._relay("")

    async def greet(self, link: PeerLink) -> None:
        """Begin to measure a new link.

        :param link: link with a peer.
        """
        own_region = self.peers.membership.own_record.region
        if self.age.is_limited and link.peer.region == own_region:
            await self._send(self._find_state(link))

    async def receive(self, link: PeerLink, report: AgeReport) -> None:
        """Apply the report of a peer.

        :param link: link with the peer.
        :param report: the report.
        """
        if not self.age.is_limited:
            return
        now_s = read_boot_clock()
        state = self._find_state(link)
        sent_s = report.sent_ms / MS_PER_S
        round_trip_s = None
        if report.echo_ms:
            sum_s = (report.echo_ms + report.held_ms) / MS_PER_S
            round_trip_s = now_s - sum_s
        state.delay.record(sent_s, now_s, round_trip_s)
        state.heard_ms, state.heard_s = report.sent_ms, now_s
        delay_s = state.delay.find_bound(sent_s, now_s)
        if delay_s is not None and report.age_ms >= 0:
            began_s = now_s - delay_s - report.age_ms / MS_PER_S
            reading = Reading(report.revision, began_s)
            if reading.is_later(state.known, 0.0):
                state.known = reading
            if self.age.freshness.record(reading):
                await self._relay(link.peer.name)
        if not (report.echo_ms and state.has_echoed):
            await self._send(state)

    async def _relay(self, source: str) -> None:
        """Report what a peer reported, except to those that hear the same."""
        if not self.peers.membership.is_full_mesh:
            await self._report_to_peers(source)

    async def _report_to_peers(self, source: str) -> None:
        """Report the age to the peers that know only earlier readings."""
        for link in self.peers.list_region_links(source):
            state = self._find_state(link)
            if self.age.freshness.latest.is_later(state.known, MIN_GAIN_S):
                await self._send(state)

    async def _send(self, state: LinkState) -> None:
        latest = self.age.freshness.latest
        now_s = read_boot_clock()
        sent_ms = int(now_s * MS_PER_S)
        age_ms = NO_AGE
        if latest is not NO_READING:
            age_ms = math.ceil((now_s - latest.began_s) * MS_PER_S)
        held_ms = 0
        if state.heard_ms:
            held_ms = int((now_s - state.heard_s) * MS_PER_S)
            state.has_echoed = True
        state.sent_s = now_s
        if latest.is_later(state.known, 0.0):
            state.known = latest
        await state.link.post(
            AgeReport(
                latest.revision, age_ms, sent_ms, state.heard_ms, held_ms
            )
        )


@register_message_handler(AgeReport)
async def handle_age_report(
    table: PeerTable, link: PeerLink, message: AgeReport
) -> None:
    """Apply the report of a peer to the age known to this instance."""
    if table.age_reports is not None:
        await table.age_reports.receive(link, message)
