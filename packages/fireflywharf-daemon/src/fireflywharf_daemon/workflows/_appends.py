"""Group commit of journal records."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import attrs

from fireflywharf_core.workflows import JobLimits, JournalRecord, encode_record, find_partition

from ._append_groups import split_by_size
from ._append_timeouts import AppendTimeouts
from ._background import result_or_default
from ._interfaces import (
    Appended,
    AppendFenced,
    AppendRejected,
    AppendResult,
    AppendUncertain,
    LogRecord,
    Partition,
    SharedLog,
)
from ._journal import journal_partition

_TIMEOUT_MIN_S = 0.1
"""Timeout of an attempt that is sent just before the deadline of its last caller."""
_OVERDUE_S = 0.4
"""Age from which an unanswered attempt is abandoned when the log answers again.

The slowest log answers in 0.3 s. An attempt that was sent to a silent log gets no answer."""


@attrs.define(slots=True, eq=False)
class _PendingRecord:
    """A record that waits to be appended, or for the answer of the log.

    Args:
        record: the record.
        future: resolves to an `AppendResult`.
        deadline_s: local time at which the caller stops waiting, in seconds.
        may_be_stored: whether the log may have stored the record, or may do so later.
    """

    record: LogRecord
    future: asyncio.Future
    deadline_s: float
    may_be_stored: bool = False

    def expire(self) -> None:
        """Resolve the future at the deadline of its caller."""
        if self.future.done():
            return
        if self.may_be_stored:
            self.future.set_result(AppendUncertain("the log did not answer in time"))
        else:
            self.future.set_result(AppendRejected("the log took no record in time"))

    @property
    def is_dropped(self) -> bool:
        """Whether the caller was told that the record is not stored."""
        return isinstance(self.future.result() if self.future.done() else None, AppendRejected)


class GroupAppender:
    """Appends the records of concurrent callers in groups (group commit).

    Records that arrive during an append are sent together with the next one. Appending a record
    twice is harmless, because the journal retains one record per key.

    A caller whose deadline passes is told that its record is not stored if it was in no attempt, or
    only in attempts that the log has rejected. The record then leaves its group. Otherwise it
    stays there, and the outcome is uncertain.

    Args:
        log: the shared log.
        partition: partition to append to.
        times: learned duration of appends; by default that of this partition.
        on_silence: called after an attempt without an answer.
        limits: limits on the size of records and appends.
    """

    _PAUSE_S = 0.05
    _REJECTIONS_MAX = 4
    """Rejected attempts, 50 ms apart, after which callers are refused; they may try another VM."""

    def __init__(
        self,
        log: SharedLog,
        partition: Partition,
        times: AppendTimeouts | None = None,
        on_silence: Callable[[], None] = lambda: None,
        limits: JobLimits | None = None,
    ) -> None:
        self._limits = JobLimits() if limits is None else limits
        self._log = log
        self._on_silence = on_silence
        self._partition = partition
        self._queue: list[_PendingRecord] = []
        self._wake = asyncio.Event()
        self._attempt: asyncio.Future | None = None
        self._sent_s = 0.0
        self.appends_count = 0
        self._times = AppendTimeouts() if times is None else times

    def put(self, record: LogRecord, deadline_s: float) -> asyncio.Future:
        """Queue a record; the returned future resolves to an `AppendResult`.

        Args:
            record: the record.
            deadline_s: local time at which the caller stops waiting, in seconds.
        """
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        pending = _PendingRecord(record, future, deadline_s)
        timer = loop.call_later(deadline_s - time.monotonic(), pending.expire)
        future.add_done_callback(lambda _: timer.cancel())
        self._queue.append(pending)
        self._wake.set()
        return future

    def put_record(self, record: JournalRecord, deadline_s: float) -> asyncio.Future:
        """Encode and queue a journal record; see `put`."""
        return self.put(LogRecord(*encode_record(record)), deadline_s)

    def abandon_overdue(self) -> None:
        """Repeat an unanswered attempt at once, because the log answers again."""
        if self._attempt is not None and time.monotonic() - self._sent_s > _OVERDUE_S:
            self._attempt.cancel()

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            waiting, self._queue = self._queue, []
            for group in split_by_size(waiting, lambda pending: pending.record, self._limits):
                await self._append_group(group)

    async def _append_group(self, group: list[_PendingRecord]) -> None:
        """Append a group and resolve its futures."""
        result = await result_or_default(
            self._append(group), AppendUncertain("unexpected error"), "log"
        )
        if isinstance(result, AppendRejected) and result.is_permanent and len(group) > 1:
            # Only one of the records may be the reason.
            for pending in group:
                await self._append_group([pending])
            return
        for index, pending in enumerate(group):
            own = result
            if isinstance(result, Appended) and result.offset >= 0:
                own = Appended(result.offset + index)
            if not pending.future.done():
                pending.future.set_result(own)

    async def _append(self, group: list[_PendingRecord]) -> AppendResult | None:
        """Append a group, of which the records leave that are not to be stored any more."""
        uncertain: AppendUncertain | None = None
        unanswered = rejections = 0
        while True:
            group[:] = [pending for pending in group if not pending.is_dropped]
            if all(pending.future.done() for pending in group):
                return uncertain
            result = await self._send(group, self._times.predict(unanswered))
            match result:
                case Appended() | AppendFenced():
                    self._times.observe(time.monotonic() - self._sent_s)
                    return result
                case AppendUncertain():
                    uncertain = result
                    unanswered += 1
                    self._on_silence()
                case AppendRejected(is_permanent=is_permanent):
                    rejections += 1
                    if uncertain is None:
                        for pending in group:
                            pending.may_be_stored = False
                        if is_permanent or rejections >= self._REJECTIONS_MAX:
                            return result
            await asyncio.sleep(self._PAUSE_S)

    async def _send(self, group: list[_PendingRecord], timeout_s: float) -> AppendResult:
        """Send one attempt; it is uncertain if it is abandoned or its processing fails."""
        for pending in group:
            pending.may_be_stored = True
        self.appends_count += 1
        self._sent_s = time.monotonic()
        deadline_s = max(pending.deadline_s for pending in group)
        timeout_s = max(_TIMEOUT_MIN_S, min(timeout_s, deadline_s - self._sent_s))
        records = [pending.record for pending in group]
        attempt = asyncio.ensure_future(
            self._log.append(self._partition, records, timeout_s=timeout_s)
        )
        self._attempt = attempt
        try:
            await asyncio.wait({attempt})
            if attempt.cancelled():
                return AppendUncertain("the log was silent and has returned")
            return attempt.result()
        finally:
            self._attempt = None
            attempt.cancel()


class JournalAppender:
    """Appends the records of callers and of this VM to the partitions of the journal.

    Load pattern: while the log is slow, a partition takes a few appends per second, and the VMs of
    a large deployment would wait for each other for seconds. Jobs are therefore spread over many
    partitions by their ids, and none of them delays the records of the scheduler.

    Args:
        log: the shared log.
        times: learned duration of calls; by default that of appends only.
        on_silence: called after an attempt without an answer.
        limits: limits on the size of records and appends.
    """

    def __init__(
        self,
        log: SharedLog,
        times: AppendTimeouts | None = None,
        on_silence: Callable[[], None] = lambda: None,
        limits: JobLimits | None = None,
    ) -> None:
        times = AppendTimeouts() if times is None else times
        self.appenders = [
            GroupAppender(log, journal_partition(number), times, on_silence, limits)
            for number in range(log.partitions_count)
        ]

    def put_record(self, record: JournalRecord, deadline_s: float) -> asyncio.Future:
        """Encode and queue a record; see `GroupAppender.put`."""
        encoded = LogRecord(*encode_record(record))
        appender = self.appenders[find_partition(encoded.key, len(self.appenders))]
        return appender.put(encoded, deadline_s)

    def abandon_overdue(self) -> None:
        """Repeat unanswered attempts at once, because the log answers again."""
        for appender in self.appenders:
            appender.abandon_overdue()
