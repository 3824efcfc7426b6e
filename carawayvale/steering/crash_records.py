"""Decide which records of crashes are written to the store, and when.

A record outlives all instances, so that a request that crashes endpoints is
still known after the loss of all of them. It is written at once when the
crash is seen, with all other crashes of the same request, and deleted once
the request was answered.

The first records of an instance are written before there is a lease for
them, since opening one takes a call more; they are written again with it.
What stays without one, as its writer ended in between, is written again with
a lease of their own by the instances that find it.

This answers the load of a request that comes again after each loss of all
instances, also at a high rate.
"""

from collections.abc import Iterable
from dataclasses import dataclass
import random

from carawayvale.catalogue.crashes import CrashRecord
from carawayvale.catalogue.crashes import EndpointCrash
from carawayvale.catalogue.crashes import StoredCrash

# Calls that one instance makes per second, and in one burst. All instances
# together stay far below the rates of the store.
CALLS_PER_S = 1.0
BURST_CALLS = 8

# Changes in one call.
MAX_CHANGES = 32

# Records that wait for a call, and records whose removal by others this
# instance notices. The oldest ones are given up first.
MAX_RECORDS = 512

# Crashes of one request that are written; more change nothing.
MAX_CRASHES_WRITTEN = 8

# Deletions wait for others that go with the same call.
DELETE_DELAY_S = 1.0

# A removed record is written again after this time, unless a report comes
# meanwhile that its request was answered.
RESTORE_DELAY_S = 1.0

# Records without a lease are written again within this time after they were
# found, at a random moment so that one instance is the first.
MIN_ADOPTION_S = 1.0
MAX_ADOPTION_S = 8.0


@dataclass(frozen=True)
class RecordBatch:
    """Changes of the store that go with one call.

    :param writes: records to write.
    :param deletes: records to delete.
    :param is_urgent: whether a write cannot wait until there is a lease.
    """

    writes: tuple[CrashRecord, ...] = ()
    deletes: tuple[CrashRecord, ...] = ()
    is_urgent: bool = False

    def __bool__(self) -> bool:
        return bool(self.writes or self.deletes)


@dataclass(frozen=True)
class QueuedWrite:
    """When a record is to be written.

    :param due_s: the time.
    :param is_urgent: whether the store may not have the record yet.
    """

    due_s: float
    is_urgent: bool = False


class CrashRecordQueue:
    """Changes of records that one instance has yet to make.

    :param instance: name of the instance.
    """

    def __init__(self, instance: str):
        self.instance = instance
        self.writes: dict[CrashRecord, QueuedWrite] = {}
        self.deletes: dict[CrashRecord, float] = {}
        # The latest one last, and without values.
        self.written: dict[CrashRecord, None] = {}
        self.random = random.Random(instance)
        # Time from which on a call is allowed after a burst.
        self.calls_until_s = 0.0

    def add(
        self,
        fingerprint: bytes,
        crashes: Iterable[EndpointCrash],
        now_s: float,
    ) -> None:
        """Have the crashes of a request written.

        :param fingerprint: fingerprint of the request.
        :param crashes: its crashes since it was last answered, the one that
            is new last.
        :param now_s: the time.
        """
        for crash in list(crashes)[-MAX_CRASHES_WRITTEN:]:
            record = CrashRecord(fingerprint, crash)
            self.deletes.pop(record, None)
            is_known = record in self.written
            self.writes[record] = QueuedWrite(now_s, not is_known)
        self._limit()

    def clear(
        self,
        fingerprint: bytes,
        crashes: Iterable[EndpointCrash],
        is_own_report: bool,
        now_s: float,
    ) -> None:
        """Have the crashes of a request deleted that was answered.

        :param fingerprint: fingerprint of the request.
        :param crashes: the crashes before the answer.
        :param is_own_report: whether this instance got the answer, and so
            deletes the records of all instances.
        :param now_s: the time.
        """
        for crash in crashes:
            record = CrashRecord(fingerprint, crash)
            self.writes.pop(record, None)
            if self._forget_written(record) or is_own_report:
                self.deletes[record] = now_s + DELETE_DELAY_S
        self._limit()

    def _forget_written(self, record: CrashRecord) -> bool:
        """Forget that this instance has written a record, if it has."""
        is_written = record in self.written
        self.written.pop(record, None)
        return is_written

    def observe_present(
        self, stored: StoredCrash, is_cleared: bool, now_s: float
    ) -> None:
        """Take note of a record that is in the store.

        :param stored: the record.
        :param is_cleared: whether its request was answered since. A write
            may be executed late, and a copy of the store may have it still.
        :param now_s: the time.
        """
        record = stored.record
        if is_cleared:
            if stored.writer == self.instance:
                self.deletes.setdefault(record, now_s + DELETE_DELAY_S)
        elif stored.expires:
            queued = self.writes.get(record)
            if queued is not None and not queued.is_urgent:
                del self.writes[record]
        elif record not in self.writes:
            delay_s = self.random.uniform(MIN_ADOPTION_S, MAX_ADOPTION_S)
            self.writes[record] = QueuedWrite(now_s + delay_s)
        self._limit()

    def observe_removed(self, record: CrashRecord, now_s: float) -> None:
        """Take note of a record of this instance that was removed.

        Its lease ended during an outage of the store, the store returned
        from a copy, or another instance deleted it after an answer.

        :param record: the record.
        :param now_s: the time.
        """
        if self._forget_written(record):
            due_s = now_s + RESTORE_DELAY_S
            self.writes.setdefault(record, QueuedWrite(due_s))
            self._limit()

    def find_due(self, now_s: float) -> float | None:
        """Find when the next call is due.

        :param now_s: the time.
        :returns: the time; None if there is nothing to do.
        """
        times_s = [queued.due_s for queued in self.writes.values()]
        times_s += self.deletes.values()
        if not times_s:
            return None
        burst_s = (BURST_CALLS - 1) / CALLS_PER_S
        return max(min(times_s), self.calls_until_s - burst_s)

    def count_call(self, now_s: float) -> None:
        """Count a call to the store.

        :param now_s: the time.
        """
        self.calls_until_s = max(self.calls_until_s, now_s) + 1 / CALLS_PER_S

    def take(self, now_s: float) -> RecordBatch:
        """Take the changes that are due.

        :param now_s: the time.
        :returns: the changes, none if no call is due.
        """
        due_s = self.find_due(now_s)
        if due_s is None or now_s < due_s:
            return RecordBatch()
        writes = [r for r, q in self.writes.items() if q.due_s <= now_s]
        writes = writes[:MAX_CHANGES]
        taken = [self.writes.pop(record) for record in writes]
        is_urgent = any(queued.is_urgent for queued in taken)
        deletes = [r for r, at_s in self.deletes.items() if at_s <= now_s]
        deletes = deletes[: MAX_CHANGES - len(writes)]
        for record in deletes:
            del self.deletes[record]
        return RecordBatch(tuple(writes), tuple(deletes), is_urgent)

    def confirm(
        self, batch: RecordBatch, cleared: set[CrashRecord], now_s: float
    ) -> None:
        """Take note that the store has made changes.

        :param batch: the changes.
        :param cleared: records of it whose requests were answered meanwhile.
        :param now_s: the time.
        """
        for record in batch.writes:
            self._forget_written(record)
            if record in cleared:
                self.deletes[record] = now_s + DELETE_DELAY_S
            else:
                self.written[record] = None
        self._limit()

    def put_back(
        self, batch: RecordBatch, cleared: set[CrashRecord], now_s: float
    ) -> None:
        """Queue changes again that the store may not have made.

        :param batch: the changes.
        :param cleared: records of it whose requests were answered meanwhile;
            as the store may have them, they are deleted.
        :param now_s: the time.
        """
        for record in batch.writes:
            if record in cleared:
                self.deletes[record] = now_s + DELETE_DELAY_S
            else:
                queued = QueuedWrite(now_s, batch.is_urgent)
                self.writes.setdefault(record, queued)
        for record in batch.deletes:
            if record not in self.writes:
                self.deletes.setdefault(record, now_s)
        self._limit()

    def _limit(self) -> None:
        for records in (self.writes, self.deletes, self.written):
            while len(records) > MAX_RECORDS:
                del records[next(iter(records))]
