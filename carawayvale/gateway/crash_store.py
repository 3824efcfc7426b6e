"""Keep the records of crashes in the store, for the loss of all instances."""

import curio

from carawayvale.catalogue.crashes import CrashRecord
from carawayvale.catalogue.crashes import StoredCrash
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.crash_reports import CrashReports
from carawayvale.gateway.store_backoff import find_pause
from carawayvale.platform.crashes import encode_crash
from carawayvale.platform.crashes import make_crash_key
from carawayvale.platform.store_client import Lease
from carawayvale.platform.store_client import StoreClient
from carawayvale.platform.store_client import Write
from carawayvale.platform.store_responses import LeaseEnded
from carawayvale.platform.store_responses import StoreFailed
from carawayvale.steering.crash_records import RecordBatch
from carawayvale.telemetry.logs import log_event

# The store removes a record between six and ten minutes after it was
# written. A first quarantine lasts four minutes at most, and a suspect is
# remembered for two minutes more.
RECORD_TTL_S = 600.0
LEASE_USE_S = 240.0

# The pause after a failed call doubles with each failure, up to the second
# value.
INITIAL_RETRY_S = 0.4
MAX_RETRY_S = 5.0


class CrashStore:
    """Writer of one instance's records of crashes.

    It makes no call while nothing crashes.

    :param store: client of the store.
    :param reports: the suspects of the instance, with the changes to make.
    """

    def __init__(self, store: StoreClient, reports: CrashReports):
        self.store = store
        self.reports = reports
        self.lease: Lease | None = None
        self.lease_until_s = 0.0
        self.failures = 0

    async def run(self) -> None:
        """Make the changes that are due until cancelled."""
        while True:
            await self._wait()
            batch = self.reports.records.take(read_boot_clock())
            if batch:
                await self._try_commit(batch)

    async def _wait(self) -> None:
        """Wait until a change may be due."""
        changed = self.reports.records_changed
        due_s = self.reports.records.find_due(read_boot_clock())
        if due_s is None:
            await changed.wait()
        else:
            wait_s = max(0.0, due_s - read_boot_clock())
            async with curio.ignore_after(wait_s):
                await changed.wait()
        changed.clear()

    async def _try_commit(self, batch: RecordBatch) -> None:
        records = self.reports.records
        try:
            await self._commit(batch)
        except (LeaseEnded, StoreFailed) as error:
            self.lease = None
            log_event("crash_records_failed", "WARNING", cause=str(error))
            now_s = read_boot_clock()
            records.put_back(batch, self._find_cleared(batch), now_s)
            wait_s = find_pause(self.failures, INITIAL_RETRY_S, MAX_RETRY_S)
            self.failures += 1
            await curio.sleep(wait_s)
            return
        self.failures = 0
        records.confirm(batch, self._find_cleared(batch), read_boot_clock())
        log_event(
            "crash_records_stored",
            written=len(batch.writes),
            deleted=len(batch.deletes),
        )

    def _find_cleared(self, batch: RecordBatch) -> set[CrashRecord]:
        """Find the written records whose requests were answered meanwhile."""
        quarantine = self.reports.quarantine
        return {r for r in batch.writes if quarantine.is_cleared(r)}

    async def _commit(self, batch: RecordBatch) -> None:
        if not batch.writes:
            await self._change(batch, None)
            return
        lease = self._find_lease()
        if lease is None:
            if batch.is_urgent:
                # All instances may be lost before there is a lease.
                await self._change(RecordBatch(batch.writes), None)
            lease = await self._open_lease()
        await self._change(batch, lease)

    def _find_lease(self) -> Lease | None:
        """Find the open lease, if it lasts long enough for more records."""
        lease = self.lease
        if lease is None or lease.epoch != self.store.epoch:
            return None
        return lease if read_boot_clock() < self.lease_until_s else None

    async def _open_lease(self) -> Lease:
        now_s = read_boot_clock()
        self.reports.records.count_call(now_s)
        self.lease = await self.store.open_lease(RECORD_TTL_S)
        self.lease_until_s = now_s + LEASE_USE_S
        return self.lease

    async def _change(self, batch: RecordBatch, lease: Lease | None) -> None:
        self.reports.records.count_call(read_boot_clock())
        writes = [
            Write(
                make_crash_key(record),
                encode_crash(
                    StoredCrash(
                        record, self.reports.instance, lease is not None
                    )
                ),
                lease,
            )
            for record in batch.writes
        ]
        deletes = [make_crash_key(record) for record in batch.deletes]
        await self.store.change(writes, deletes, lease)
