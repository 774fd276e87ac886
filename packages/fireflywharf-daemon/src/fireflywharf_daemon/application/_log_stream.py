"""One stream of the platform log: group commit, reads and waits for durability."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from fireflywharf_core.log import (
    AppendBatch,
    AppendTicket,
    GroupCommitWriter,
    ReadBack,
    ReadRecord,
    RecordDurable,
    StreamReader,
)
from fireflywharf_core.platform import AppendAnswer, ReadAnswer
from fireflywharf_core.records import RECORD_CODEC
from fireflywharf_core.results import NotRun, OutcomeUnknown, ResultCode

from ..metrics import AppendResult, Metrics
from ..platform import LogClient, PlatformOutcome, RefusedBeforeRun, Success
from ._pools import IoPools
from ._tasks import BackgroundTasks

_LOG = logging.getLogger(__name__)
READ_LIMIT_RECORDS = 1000
IDLE_WAIT_S = 0.5
# Wait for an append while the log is known to be unavailable.
OUTAGE_TIMEOUT_S = 0.5


class StreamListener:
    """Base class of components that fold the records of one stream."""

    def before_read(self, reader: StreamReader) -> None:
        """Prepare for the records of one read.

        Args:
            reader: reader of the stream; its `truncation` is set if the log has deleted records.
        """

    def fold_record(self, row: ReadRecord) -> None:
        """Fold one record into the state of the component."""

    def after_read(self, reader: StreamReader) -> None:
        """Complete a read: all records below `reader.next_offset` are folded."""


class LogHealth:
    """Availability of the log, from the last results of all streams of the process."""

    def __init__(self) -> None:
        self._failing: set[str] = set()

    @property
    def available(self) -> bool:
        """Whether no stream has failing reads or appends."""
        return not self._failing

    def report(self, stream: str, working: bool) -> None:
        """Record whether the last reads and appends of a stream succeeded."""
        if working:
            self._failing.discard(stream)
        else:
            self._failing.add(stream)


class LogStream:
    """Runs the writer and the reader of one stream against the log service.

    Args:
        client: client of the log service.
        pools: thread pools for the blocking client.
        writer: group writer of this process.
        reader: reader of the stream.
        listener: receives the records that are read.
        metrics: counts appends.
        health: availability of the log, shared by the streams of the process.
        poll_interval_s: time between reads without a request, in seconds.

    Attributes:
        read_failures_count: consecutive failed reads.
        apply_failures_count: records that the listener failed to fold.
        last_end_read_s: monotonic start time of the last read that reached the end of the stream.
    """

    def __init__(
        self,
        client: LogClient,
        pools: IoPools,
        writer: GroupCommitWriter,
        reader: StreamReader,
        listener: StreamListener,
        metrics: Metrics,
        health: LogHealth,
        poll_interval_s: float,
    ) -> None:
        self.client = client
        self.pools = pools
        self.writer = writer
        self.reader = reader
        self.listener = listener
        self.metrics = metrics
        self.health = health
        self.poll_interval_s = poll_interval_s
        self.read_failures_count = 0
        self.apply_failures_count = 0
        self.last_end_read_s = float("-inf")
        self._futures: dict[int, asyncio.Future[int]] = {}
        self._write_requested = asyncio.Event()
        self._read_requested = asyncio.Event()
        self._read_done = asyncio.Condition()
        self._tasks = BackgroundTasks()

    @property
    def name(self) -> str:
        """Name of the stream."""
        return self.writer.stream

    @property
    def available(self) -> bool:
        """Whether the log answered the last reads and appends of all streams of this process."""
        return self.health.available

    def start(self) -> None:
        """Start the write loop and the read loop; must be called in the event loop."""
        self._tasks.spawn(self._write_loop())
        self._tasks.spawn(self._read_loop())

    async def stop(self) -> None:
        """Cancel the write loop and the read loop."""
        await self._tasks.close()

    def submit(self, record: Any) -> "asyncio.Future[int] | NotRun":
        """Queue a record without waiting for durability.

        Args:
            record: record to append.

        Returns:
            A future of the offset, or `NotRun` if the record is refused and not written.
        """
        ticket = self._enqueue(record)
        return ticket if isinstance(ticket, NotRun) else self._futures[ticket.number]

    async def append(self, record: Any, timeout_s: float) -> int | NotRun | OutcomeUnknown:
        """Queue a record and wait until it is durable.

        Args:
            record: record to append.
            timeout_s: longest wait in seconds; shorter while the log is unavailable.

        Returns:
            The offset; `NotRun` if the record is not written and will not be; or `OutcomeUnknown`
            if it may be in the log.
        """
        ticket = self._enqueue(record)
        if isinstance(ticket, NotRun):
            return ticket
        future = self._futures[ticket.number]
        if not self.available:
            timeout_s = min(timeout_s, OUTAGE_TIMEOUT_S)
        try:
            return await asyncio.wait_for(asyncio.shield(future), timeout_s)
        except TimeoutError:
            if self.writer.withdraw(ticket):
                self._futures.pop(ticket.number, None)
                detail = f"the platform log did not accept the record within {timeout_s:.1f} s"
                return NotRun(ResultCode.STORE_UNAVAILABLE, detail, timeout_s)
            detail = "the record was sent to the platform log, but no answer arrived"
            return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail)

    def _enqueue(self, record: Any) -> AppendTicket | NotRun:
        ticket = self.writer.submit(RECORD_CODEC.encode(record), time.monotonic())
        if isinstance(ticket, AppendTicket):
            self._futures[ticket.number] = asyncio.get_running_loop().create_future()
            self._write_requested.set()
        return ticket

    def request_read(self) -> None:
        """Start a read without waiting for the poll interval."""
        self._read_requested.set()

    async def wait_until_read_past(self, offset: int, timeout_s: float) -> bool:
        """Wait until the record at `offset` is read and folded.

        Args:
            offset: offset of the record.
            timeout_s: longest wait in seconds.

        Returns:
            Whether the record was read in time.
        """
        return await self._wait_for(lambda: self.reader.next_offset > offset, timeout_s)

    async def wait_until_read_to_end(self, since_s: float, timeout_s: float) -> bool:
        """Wait until a read that starts at `since_s` or later reaches the end of the stream.

        Args:
            since_s: earliest start of the read, on the monotonic clock.
            timeout_s: longest wait in seconds.

        Returns:
            Whether such a read completed in time.
        """
        return await self._wait_for(lambda: self.last_end_read_s >= since_s, timeout_s)

    async def _wait_for(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        self.request_read()
        try:
            async with asyncio.timeout(timeout_s), self._read_done:
                while not condition():
                    await self._read_done.wait()
                    self.request_read()
        except TimeoutError:
            return condition()
        return True

    async def _write_loop(self) -> None:
        while True:
            action = self.writer.next_action(time.monotonic())
            if action is not None:
                await self._perform_action(action)
                continue
            busy = self.writer.backlog_count > 0
            try:
                timeout_s = self.writer.append_interval_s / 4 if busy else IDLE_WAIT_S
                await asyncio.wait_for(self._write_requested.wait(), timeout_s)
            except TimeoutError:
                continue
            if busy:
                await asyncio.sleep(self.writer.append_interval_s / 4)
            self._write_requested.clear()

    async def _perform_action(self, action: AppendBatch | ReadBack) -> None:
        match action:
            case AppendBatch(sequence, records):
                answer = await self.pools.run(
                    "log", self.client.append, self.name, self.writer.writer, sequence, records
                )
            case ReadBack(from_offset):
                answer = await self.pools.run(
                    "log", self.client.read, self.name, from_offset, READ_LIMIT_RECORDS
                )
        if isinstance(action, AppendBatch):
            self._count_append(answer, len(action.records))
        now_s = time.monotonic()
        self._apply_action_answer(answer, now_s)
        self._report_health()

    def _report_health(self) -> None:
        # A writer with an empty backlog sends no appends and cannot detect a recovery of the log,
        # so only the reads count then.
        writing = self.writer.available or self.writer.backlog_count == 0
        working = writing and self.read_failures_count < 2
        self.health.report(self.name, working)

    def _apply_action_answer(self, answer: PlatformOutcome[Any], now_s: float) -> None:
        match answer:
            case Success(AppendAnswer(first_offset)):
                self._resolve_durable(self.writer.on_appended(first_offset, now_s))
            case Success(ReadAnswer(entries, next_offset, first_available)):
                self._resolve_durable(
                    self.writer.on_read_back(entries, next_offset, first_available, now_s)
                )
            case RefusedBeforeRun():
                self.writer.on_refused(now_s)
            case _:
                self.writer.on_uncertain(now_s)

    def _count_append(self, answer: PlatformOutcome[AppendAnswer], records_count: int) -> None:
        match answer:
            case Success():
                result = AppendResult.DONE
            case RefusedBeforeRun():
                result = AppendResult.REFUSED
            case _:
                result = AppendResult.UNCERTAIN
        self.metrics.count_append(self.name, result, records_count)

    def _resolve_durable(self, durable: list[RecordDurable]) -> None:
        for row in durable:
            future = self._futures.pop(row.ticket.number, None)
            if future is not None and not future.done():
                future.set_result(row.offset)
        if durable:
            self.request_read()

    async def _read_loop(self) -> None:
        while True:
            self._read_requested.clear()
            started_s = time.monotonic()
            answer = await self.pools.run(
                "log", self.client.read, self.name, self.reader.next_offset, READ_LIMIT_RECORDS
            )
            match answer:
                case Success(read):
                    self.read_failures_count = 0
                    self._apply_read(read)
                    if self.reader.at_end:
                        self.last_end_read_s = started_s
                case _:
                    self.read_failures_count += 1
                    self.reader.at_end = False
            self._report_health()
            async with self._read_done:
                self._read_done.notify_all()
            if isinstance(answer, Success) and not self.reader.at_end:
                continue
            try:
                await asyncio.wait_for(self._read_requested.wait(), self.poll_interval_s)
            except TimeoutError:
                continue
            if self.read_failures_count:
                await asyncio.sleep(self.poll_interval_s)

    def _apply_read(self, read: ReadAnswer) -> None:
        records = self.reader.on_read(read)
        self.listener.before_read(self.reader)
        for row in records:
            try:
                self.listener.fold_record(row)
            except Exception:
                # A record that cannot be folded must not block the records after it.
                self.apply_failures_count += 1
                _LOG.exception("record %d of stream %s not applied", row.offset, self.name)
        self.listener.after_read(self.reader)
        self.writer.advance_known_end(self.reader.next_offset)
