"""Tell all instances which requests were in progress at crashes.

A report goes to all linked peers, and each that has not seen it sends it on.
The records of the crashes in the store tell instances that start after the
loss of all others.
"""

from typing import Any

import curio

from carawayvale.catalogue.crashes import EndpointCrash
from carawayvale.catalogue.crashes import StoredCrash
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.source import CrashUpdate
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.observer import RequestObserver
from carawayvale.links.crash_messages import AnswerReport
from carawayvale.links.crash_messages import CrashReport
from carawayvale.links.peer_link import PeerLink
from carawayvale.links.peers import PeerTable
from carawayvale.links.peers import register_message_handler
from carawayvale.platform.crashes import make_crash_key
from carawayvale.steering.crash_records import CrashRecordQueue
from carawayvale.steering.quarantine import Quarantine

# Source of the reports that come from the store.
STORE_SOURCE = "store"


class CrashReports:
    """The suspects of this instance, and the reports about them.

    :param instance: name of the instance.
    :param observer: records metrics and logs.

    The event ``records_changed`` tells that records are to be written or
    deleted.
    """

    def __init__(self, instance: str, observer: RequestObserver):
        self.instance = instance
        self.records = CrashRecordQueue(instance)
        self.records_changed = curio.Event()
        self.quarantine = Quarantine(instance)
        self.observer = observer
        self.peers: PeerTable | None = None

    def attach(self, peers: PeerTable) -> None:
        """Exchange reports with the peers of the instance.

        :param peers: links with other instances.
        """
        self.peers = peers
        peers.crash_reports = self

    def find_wait(self, request: Request) -> float:
        """Find how much longer a request is in quarantine.

        :param request: the request.
        :returns: seconds; 0 if the request may be sent.
        """
        if not self.quarantine.suspects:
            return 0.0
        return self.quarantine.find_wait(
            request.fingerprint, read_boot_clock()
        )

    async def record_crash(
        self, endpoint: EndpointRecord, request: Request
    ) -> None:
        """Record and report a crash at which a request was in progress.

        :param endpoint: the endpoint.
        :param request: the request.
        """
        report = CrashReport(
            request.fingerprint, endpoint.name, endpoint.started_ms
        )
        await self._apply_crash(report, "")

    async def record_answer(self, request: Request) -> None:
        """Record and report that an endpoint answered a request.

        :param request: the request.
        """
        if self.quarantine.suspects:
            await self._apply_answer(AnswerReport(request.fingerprint), "")

    async def apply_stored(self, updates: list[CrashUpdate]) -> None:
        """Apply changed records of the store, and report new crashes.

        All are applied before another task runs.

        :param updates: the changes.
        """
        now_s = read_boot_clock()
        stored = [u.stored for u in updates if u.stored is not None]
        removed = {u.key for u in updates if u.stored is None}
        self._apply_removals(removed, now_s)
        reports = [self._apply_record(record, now_s) for record in stored]
        if self.records.find_due(now_s) is not None:
            await self.records_changed.set()
        for report in reports:
            if report is not None:
                await self._send(report, "")

    def _apply_removals(self, keys: set[str], now_s: float) -> None:
        """Apply the removal of records, of which the keys are known."""
        if not keys:
            return
        for record in list(self.records.written):
            if make_crash_key(record) in keys:
                self.records.observe_removed(record, now_s)

    def _apply_record(
        self, stored: StoredCrash, now_s: float
    ) -> CrashReport | None:
        """Apply a record of the store.

        :returns: the report of its crash if that is new.
        """
        record = stored.record
        is_new = self.quarantine.record_crash(
            record.fingerprint, record.crash, now_s
        )
        is_cleared = self.quarantine.is_cleared(record)
        self.records.observe_present(stored, is_cleared, now_s)
        if not is_new:
            return None
        crash = record.crash
        report = CrashReport(
            record.fingerprint, crash.endpoint, crash.started_ms
        )
        self._observe_crash(report, STORE_SOURCE, now_s)
        return report

    async def greet(self, link: PeerLink) -> None:
        """Tell a newly linked peer which requests are in quarantine.

        :param link: link with the peer, which may have just started.
        """
        for fingerprint, crash in self.quarantine.list_quarantined(
            read_boot_clock()
        ):
            await link.post(
                CrashReport(fingerprint, crash.endpoint, crash.started_ms)
            )

    async def receive(
        self, link: PeerLink, report: CrashReport | AnswerReport
    ) -> None:
        """Apply the report of a peer.

        :param link: link with the peer.
        :param report: the report.
        """
        await APPLY[type(report)](self, report, link.peer.name)

    async def _apply_crash(self, report: CrashReport, source: str) -> None:
        crash = EndpointCrash(report.endpoint, report.started_ms)
        now_s = read_boot_clock()
        fingerprint = report.fingerprint
        if not self.quarantine.record_crash(fingerprint, crash, now_s):
            return
        self._observe_crash(report, source, now_s)
        if not source:
            crashes = self.quarantine.list_crashes(fingerprint)
            earlier = [known for known in crashes if known != crash]
            self.records.add(fingerprint, [*earlier, crash], now_s)
            await self.records_changed.set()
        await self._send(report, source)

    def _observe_crash(
        self, report: CrashReport, source: str, now_s: float
    ) -> None:
        fingerprint = report.fingerprint
        self.observer.record_crash(
            report.endpoint,
            fingerprint.hex(),
            len(self.quarantine.list_crashes(fingerprint)),
            self.quarantine.find_wait(fingerprint, now_s),
            source,
        )

    async def _apply_answer(self, report: AnswerReport, source: str) -> None:
        fingerprint = report.fingerprint
        crashes = self.quarantine.list_crashes(fingerprint)
        if not self.quarantine.record_answer(fingerprint):
            return
        self.records.clear(fingerprint, crashes, not source, read_boot_clock())
        await self.records_changed.set()
        await self._send(report, source)

    async def _send(self, report: Any, source: str) -> None:
        if self.peers is not None:
            await self.peers.broadcast(report, source)


APPLY = {
    CrashReport: CrashReports._apply_crash,
    AnswerReport: CrashReports._apply_answer,
}


@register_message_handler(CrashReport)
@register_message_handler(AnswerReport)
async def handle_crash_report(
    table: PeerTable, link: PeerLink, message: CrashReport | AnswerReport
) -> None:
    """Apply the report of a peer to the suspects of this instance."""
    if table.crash_reports is not None:
        await table.crash_reports.receive(link, message)
