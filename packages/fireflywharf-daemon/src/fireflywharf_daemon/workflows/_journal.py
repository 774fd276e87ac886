"""Reader of the journal."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Sequence

from fireflywharf_core.workflows import (
    MAIN_PARTITION,
    JournalRecord,
    JournalState,
)

from ._append_timeouts import AppendTimeouts
from ._clocks import boot_time_s
from ._interfaces import (
    LogRecord,
    Partition,
    ReadExpired,
    ReadFailed,
    ReadRecords,
    SharedLog,
    Topic,
)

_LOG = logging.getLogger(__name__)

LONG_READ_S = 1.0
"""Duration of a long poll; below `STALE_S`, so that a silent connection is detected in time."""
STALE_S = 2.5
"""Age of the state above which it must not be used to deny that a job exists.

A job may be reported as unknown for up to three seconds after its acceptance."""
_RETRY_S = 0.15
"""Pause after a failed read."""
_PROBE_INTERVAL_S = 0.5
"""Time after which a read that follows a failed one is repeated; the slowest log answers in 0.3 s.

A read that was sent to a silent log gets no answer when the log returns."""
_PROBE_TIMEOUT_S = 2.0
"""Timeout of such reads, whose answers may need longer than the interval on a slow link."""
_DOWN_READS_COUNT = 2
"""Failed reads in a row from which the log counts as down: one failure may be the connection's."""
FOLLOWER_PAUSE_S = 0.2
"""Pause between reads of an inactive daemon; requests of callers interrupt it."""
SCHEDULER_PAUSE_S = 0.08
"""Pause between reads of the active scheduler, which peers also notify of new records."""


def journal_partition(number: int) -> Partition:
    """Return a partition of the journal."""
    return Partition(Topic.JOURNAL, number)


class JournalReader:
    """Reads a partition and notifies a listener of each record that changes the journal state.

    Args:
        log: the shared log.
        listener: called with each record that changed the state, and its offset.
        partition: number of the partition.
        journal_state: state to maintain; by default a new one.
        times: learns the duration of reads; None if it is not of interest.

    Attributes:
        journal_state: state derived from the records read so far.
        offset: offset of the next record to read.
        loaded: whether the newest record of every key has been read.
        read_s: boot time up to which the state is known to be complete, in seconds. The monotonic
            clock would hide the records that were written while the VM was suspended.
        pause_s: pause between two reads, in seconds.
        poll_s: duration of a long poll, in seconds; 0 if reads do not wait for records.
        on_return: called when the log answers again after a failed read.
    """

    def __init__(
        self,
        log: SharedLog,
        listener: Callable[[JournalRecord, int], None],
        partition: int = MAIN_PARTITION,
        journal_state: JournalState | None = None,
        times: AppendTimeouts | None = None,
    ) -> None:
        self.journal_state = JournalState() if journal_state is None else journal_state
        self._partition = journal_partition(partition)
        self.offset = 0
        self.loaded = False
        self.read_s = float("-inf")
        self.pause_s = FOLLOWER_PAUSE_S
        self.poll_s = LONG_READ_S
        self._early_records: dict[int, LogRecord] = {}
        self._log = log
        self._listener = listener
        self._read_requested = asyncio.Event()
        self._waiting = False
        self._next_read: asyncio.Future | None = None
        self._available = True
        self._failures_count = 0
        self._doubted = asyncio.Event()
        self._answered_s = boot_time_s()
        self._times = times
        self.on_return: Callable[[], None] = lambda: None

    @property
    def age_s(self) -> float:
        """Age of the state in seconds."""
        return boot_time_s() - self.read_s

    @property
    def is_following(self) -> bool:
        """Whether reads succeed, so that the absence of records means that none were written."""
        return self.loaded and self._available and self.age_s < LONG_READ_S + FOLLOWER_PAUSE_S + 0.3

    @property
    def is_current(self) -> bool:
        """Whether the state is recent enough to deny that a job exists."""
        return self.loaded and self.age_s < STALE_S

    @property
    def is_answering(self) -> bool:
        """Whether the latest read succeeded and neither a read nor an append is overdue."""
        return self.loaded and self._available and self._failures_count == 0

    @property
    def is_down(self) -> bool:
        """Whether several reads in a row have failed, so that appends would fail as well."""
        return self._failures_count >= _DOWN_READS_COUNT

    @property
    def outage_s(self) -> float:
        """Time since the log last answered a read, in seconds; 0 if no read has failed since."""
        return 0.0 if self._available else boot_time_s() - self._answered_s

    def has_read(self, offset: int) -> bool:
        """Return whether the state includes all records up to an offset.

        The pages of the newest records are not a snapshot: they may include a record, but not those
        that were stored shortly before it.
        """
        return self.loaded and self.offset > offset

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self.loaded:
                done = await self._load()
            else:
                was_requested = self._read_requested.is_set()
                self._read_requested.clear()
                done = await self._read_or_probe(0.0 if was_requested else self.poll_s)
            if not done:
                await asyncio.sleep(_RETRY_S)
                continue
            if self.pause_s > 0 and not self._read_requested.is_set():
                try:
                    async with asyncio.timeout(self.pause_s):
                        await self._read_requested.wait()
                except TimeoutError:
                    continue

    async def refresh(self, timeout_s: float) -> bool:
        """Wait for a read that starts after this call, and return whether it ended in time.

        A long poll that is in progress and recently confirmed counts as well.
        """
        if self._waiting and self.age_s < LONG_READ_S + 0.5:
            return True
        if self._next_read is None:
            self._next_read = asyncio.get_running_loop().create_future()
        next_read = self._next_read
        self._read_requested.set()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(next_read)
        except TimeoutError:
            return False
        return True

    async def read_now(self, timeout_s: float) -> bool:
        """Read in parallel to a long poll, and return whether the log answered.

        A long poll shows only at its timeout that the log has stopped answering.
        """
        try:
            async with asyncio.timeout(timeout_s):
                result = await self._log.read(self._partition, self.offset, wait_s=0.0)
        except TimeoutError:
            return False
        if not isinstance(result, ReadRecords):
            return False
        for offset, record in result.rows:
            self.add_early_record(offset, record)
        return True

    async def catch_up(self) -> bool:
        """Read to the present end of the partition; return whether that succeeded."""
        started_s = boot_time_s()
        while self.read_s < started_s:
            done = await (self._read(0.0) if self.loaded else self._load())
            if not done:
                return False
        return True

    def apply_record(self, offset: int, record: LogRecord) -> None:
        """Apply a durable record that was received before it was read, regardless of the order."""
        self._apply([(offset, record)])
        if self.loaded and offset == self.offset:
            self.offset += 1

    def add_early_record(self, offset: int, record: LogRecord) -> None:
        """Add a durable record that was received before it was read.

        It is applied once all records before it are known. Otherwise, a scheduler could see a job
        that follows the tenure record of its successor without having seen that record.
        """
        if offset < self.offset or not self.loaded:
            return
        self._early_records[offset] = record
        self._apply_early_records()
        if self._early_records and self.pause_s == SCHEDULER_PAUSE_S:
            self._read_requested.set()

    def _apply_early_records(self) -> None:
        while (record := self._early_records.pop(self.offset, None)) is not None:
            self._apply([(self.offset, record)])
            self.offset += 1
        for offset in [offset for offset in self._early_records if offset < self.offset]:
            del self._early_records[offset]

    async def _load(self) -> bool:
        started_s = boot_time_s()
        match await self._log.newest(self._partition):
            case ReadRecords(end, rows):
                self._apply(rows)
                self.offset = max(end, self.offset)
                self.loaded = True
                self._record_answer()
                self._record_success(started_s)
                return True
            case ReadFailed(reason):
                self._record_failure(reason)
        return False

    def doubt(self) -> None:
        """Check at once whether the log answers, because it has not answered an append."""
        self._doubted.set()

    async def _read_or_probe(self, wait_s: float) -> bool:
        """Read, or find out whether a log that did not answer has returned.

        Further reads are sent when the first one is overdue, or an append got no answer, until one
        of them is answered. A log that falls silent or returns is noticed within about a second.
        """
        if self._available and self._times is None:
            return await self._read(wait_s)
        interval_s = _PROBE_INTERVAL_S if self._times is None else self._times.predict(0)
        reads = {asyncio.create_task(self._read(wait_s if self._available else 0.0))}
        try:
            if self._available and await self._wait_undoubted(reads, wait_s + interval_s):
                return any(read.result() for read in reads)
            return await self._probe(reads, interval_s)
        finally:
            for read in reads:
                read.cancel()
            await asyncio.gather(*reads, return_exceptions=True)

    async def _wait_undoubted(self, reads: set[asyncio.Task], limit_s: float) -> bool:
        """Wait for a read, and return whether it ended in time and no append went unanswered."""
        doubt = asyncio.create_task(self._doubted.wait())
        try:
            done, _ = await asyncio.wait(
                {*reads, doubt}, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            doubt.cancel()
        if reads <= done:
            return True
        self._doubted.clear()
        self._failures_count += 1
        reads.add(asyncio.create_task(self._read(0.0)))
        return False

    async def _probe(self, reads: set[asyncio.Task], interval_s: float) -> bool:
        limit_s = time.monotonic() + _PROBE_TIMEOUT_S
        while time.monotonic() < limit_s:
            done, _ = await asyncio.wait(
                reads, timeout=interval_s, return_when=asyncio.FIRST_COMPLETED
            )
            reads -= done
            if any(read.result() for read in done):
                return True
            if done and not reads:
                return False
            if done:
                await asyncio.sleep(_RETRY_S)
            else:
                self._record_failure("no answer in time")
            reads.add(asyncio.create_task(self._read(0.0)))
        return False

    async def _read(self, wait_s: float) -> bool:
        """Read and apply records, and let the callers of `refresh` continue also after an error."""
        next_read, self._next_read = self._next_read, None
        try:
            return await self._read_records(wait_s)
        finally:
            if next_read is not None and not next_read.done():
                next_read.set_result(None)

    async def _read_records(self, wait_s: float) -> bool:
        started_s = boot_time_s()
        self._waiting = wait_s > 0
        sent_s = time.monotonic()
        try:
            result = await self._log.read(self._partition, self.offset, wait_s=wait_s)
        finally:
            self._waiting = False
        if self._times is not None and wait_s == 0 and isinstance(result, ReadRecords):
            self._times.observe(time.monotonic() - sent_s)
        if not isinstance(result, ReadFailed):
            self._record_answer()
        match result:
            case ReadRecords(end, rows):
                self._apply(rows)
                if rows:
                    self.offset = max(self.offset, rows[-1][0] + 1)
                    self._apply_early_records()
                if self.offset >= end:
                    # The log answers a long poll without records only at the end of its wait. Any
                    # other answer may have waited for this process, so only its start is certain.
                    self._record_success(started_s if rows else started_s + wait_s)
                else:
                    # The size of an answer is limited. Until the rest is read, the state must not
                    # be used to deny that a job exists.
                    self._read_requested.set()
            case ReadExpired(first):
                _LOG.warning("journal offset expired", extra={"first": first})
                self.loaded = False
                await self._load()
            case ReadFailed(reason):
                self._record_failure(reason)
        return not isinstance(result, ReadFailed)

    def _apply(self, rows: Sequence[tuple[int, LogRecord]]) -> None:
        now_s = time.monotonic()
        utc_s = None if self.loaded else time.time()
        for offset, record in sorted(rows, key=lambda row: row[0]):
            try:
                changed = self.journal_state.apply(offset, record.key, record.value, now_s, utc_s)
                if changed is not None:
                    self._listener(changed, offset)
            except Exception:
                # A record that cannot be applied must not block the records after it.
                _LOG.exception(
                    "journal record cannot be applied; skipped",
                    extra={"partition": self._partition.number, "offset": offset},
                )

    def _record_success(self, complete_s: float) -> None:
        self.read_s = max(self.read_s, min(boot_time_s(), complete_s))

    def _record_answer(self) -> None:
        self._answered_s = boot_time_s()
        self._failures_count = 0
        if not self._available:
            self._available = True
            _LOG.info(
                "journal can be read again",
                extra={"partition": self._partition.number, "offset": self.offset},
            )
            self.on_return()

    def _record_failure(self, reason: str) -> None:
        self._failures_count += 1
        if self._available:
            self._available = False
            _LOG.warning(
                "journal cannot be read",
                extra={"partition": self._partition.number, "reason": reason},
            )
