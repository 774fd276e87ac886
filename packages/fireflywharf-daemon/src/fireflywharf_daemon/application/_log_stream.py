"""One stream of the platform log: grouped appends, reads and waiting for durability."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from fireflywharf_core.log import (
    AppendNow,
    Durable,
    GroupWriter,
    ReadBack,
    ReadRecord,
    StreamReader,
    Ticket,
)
from fireflywharf_core.platform import AppendAnswer, ReadAnswer
from fireflywharf_core.records import RECORD_CODEC
from fireflywharf_core.results import NotRun, OutcomeUnknown, ResultCode

from ..metrics import AppendResult, Metrics
from ..platform import LogClient, PlatformOutcome, RefusedBeforeRun, Success
from ._pools import IoPools
from ._tasks import TaskGroup

_LOG = logging.getLogger(__name__)
READ_LIMIT_RECORDS = 1000
IDLE_WAIT_S = 0.5
# A caller need not wait long for a log that is known to be down.
OUTAGE_TIMEOUT_S = 0.5


class StreamListener:
    """Folds the records of one stream; a component overrides what it needs."""

    def before_records(self, reader: StreamReader) -> None:
        """Prepare for the records of one read."""

    def fold_record(self, row: ReadRecord) -> None:
        """Fold one record."""

    def after_records(self, reader: StreamReader) -> None:
        """Note that all records below `reader.next_offset` were folded."""


class LogHealth:
    """Whether the log answers, as all streams of the process see it together."""

    def __init__(self) -> None:
        self._failing: set[str] = set()

    @property
    def available(self) -> bool:
        """Whether no stream fails."""
        return not self._failing

    def report(self, stream: str, working: bool) -> None:
        """Take what one stream saw last."""
        if working:
            self._failing.discard(stream)
        else:
            self._failing.add(stream)


class LogStream:
    """Connects the writer and the reader of one stream with the log service.

    Args:
        client: client of the log service.
        pools: thread pools.
        writer: group writer of this process.
        reader: reader of the stream.
        listener: folds the records.
        metrics: counts appends.
        health: shared by the streams of the process.
        poll_interval_s: time between reads while nothing is waiting.
    """

    def __init__(
        self,
        client: LogClient,
        pools: IoPools,
        writer: GroupWriter,
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
        self.end_read_s = float("-inf")
        self._waiting: dict[int, asyncio.Future[int]] = {}
        self._write_wanted = asyncio.Event()
        self._read_wanted = asyncio.Event()
        self._read_done = asyncio.Condition()
        self._tasks = TaskGroup()

    @property
    def name(self) -> str:
        """Name of the stream."""
        return self.writer.stream

    @property
    def available(self) -> bool:
        """Whether the log answered the last reads and appends of this process."""
        return self.health.available

    def start(self) -> None:
        """Start the loops; to be called inside the event loop."""
        self._tasks.spawn(self._write_loop())
        self._tasks.spawn(self._read_loop())

    async def stop(self) -> None:
        """Stop the loops."""
        await self._tasks.close()

    def submit(self, record: Any) -> "asyncio.Future[int] | NotRun":
        """Queue a record.

        Returns:
            A future of its offset, or a refusal after which it is certainly not written.
        """
        ticket = self._enqueue(record)
        return ticket if isinstance(ticket, NotRun) else self._waiting[ticket.number]

    async def append(self, record: Any, timeout_s: float) -> int | NotRun | OutcomeUnknown:
        """Queue a record and wait until it is durable.

        Args:
            record: record to write.
            timeout_s: time to wait.

        Returns:
            Its offset; `NotRun` when it was not written and will not be; `OutcomeUnknown` when it
            may be in the log.
        """
        ticket = self._enqueue(record)
        if isinstance(ticket, NotRun):
            return ticket
        future = self._waiting[ticket.number]
        if not self.available:
            timeout_s = min(timeout_s, OUTAGE_TIMEOUT_S)
        try:
            return await asyncio.wait_for(asyncio.shield(future), timeout_s)
        except TimeoutError:
            if self.writer.withdraw(ticket):
                self._waiting.pop(ticket.number, None)
                detail = f"the platform log did not take the record within {timeout_s:.1f} s"
                return NotRun(ResultCode.STORE_UNAVAILABLE, detail, timeout_s)
            detail = "the record was sent to the platform log and its answer did not arrive"
            return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail)

    def _enqueue(self, record: Any) -> Ticket | NotRun:
        ticket = self.writer.submit(RECORD_CODEC.encode(record), time.monotonic())
        if isinstance(ticket, Ticket):
            self._waiting[ticket.number] = asyncio.get_running_loop().create_future()
            self._write_wanted.set()
        return ticket

    def kick(self) -> None:
        """Ask for a read now."""
        self._read_wanted.set()

    async def read_past(self, offset: int, timeout_s: float) -> bool:
        """Wait until the record at `offset` was read; returns whether it was."""
        return await self._wait_for(lambda: self.reader.next_offset > offset, timeout_s)

    async def read_to_end(self, since_s: float, timeout_s: float) -> bool:
        """Wait until a read that began after `since_s` reached the end of the stream."""
        return await self._wait_for(lambda: self.end_read_s >= since_s, timeout_s)

    async def _wait_for(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        self.kick()
        try:
            async with asyncio.timeout(timeout_s), self._read_done:
                while not condition():
                    await self._read_done.wait()
                    self.kick()
        except TimeoutError:
            return condition()
        return True

    async def _write_loop(self) -> None:
        while True:
            action = self.writer.next_action(time.monotonic())
            if action is not None:
                await self._perform(action)
                continue
            busy = self.writer.backlog_count > 0
            try:
                timeout_s = self.writer.append_interval_s / 4 if busy else IDLE_WAIT_S
                await asyncio.wait_for(self._write_wanted.wait(), timeout_s)
            except TimeoutError:
                continue
            if busy:
                await asyncio.sleep(self.writer.append_interval_s / 4)
            self._write_wanted.clear()

    async def _perform(self, action: AppendNow | ReadBack) -> None:
        match action:
            case AppendNow(sequence, records):
                answer = await self.pools.run(
                    "log", self.client.append, self.name, self.writer.writer, sequence, records
                )
            case ReadBack(from_offset):
                answer = await self.pools.run(
                    "log", self.client.read, self.name, from_offset, READ_LIMIT_RECORDS
                )
        if isinstance(action, AppendNow):
            self._count_append(answer, len(action.records))
        now_s = time.monotonic()
        self._settle_action(answer, now_s)
        self._report_health()

    def _report_health(self) -> None:
        # A writer whose last record was withdrawn learns nothing more about the log; reads do.
        writing = self.writer.available or self.writer.backlog_count == 0
        working = writing and self.read_failures_count < 2
        self.health.report(self.name, working)

    def _settle_action(self, answer: PlatformOutcome[Any], now_s: float) -> None:
        match answer:
            case Success(AppendAnswer(first_offset)):
                self._settle(self.writer.on_appended(first_offset, now_s))
            case Success(ReadAnswer(entries, next_offset, first_available)):
                self._settle(self.writer.on_read_back(entries, next_offset, first_available, now_s))
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

    def _settle(self, durable: list[Durable]) -> None:
        for row in durable:
            future = self._waiting.pop(row.ticket.number, None)
            if future is not None and not future.done():
                future.set_result(row.offset)
        if durable:
            self.kick()

    async def _read_loop(self) -> None:
        while True:
            self._read_wanted.clear()
            started_s = time.monotonic()
            answer = await self.pools.run(
                "log", self.client.read, self.name, self.reader.next_offset, READ_LIMIT_RECORDS
            )
            match answer:
                case Success(read):
                    self.read_failures_count = 0
                    self._deliver(read)
                    if self.reader.at_end:
                        self.end_read_s = started_s
                case _:
                    self.read_failures_count += 1
                    self.reader.at_end = False
            self._report_health()
            async with self._read_done:
                self._read_done.notify_all()
            if isinstance(answer, Success) and not self.reader.at_end:
                continue
            try:
                await asyncio.wait_for(self._read_wanted.wait(), self.poll_interval_s)
            except TimeoutError:
                continue
            if self.read_failures_count:
                await asyncio.sleep(self.poll_interval_s)

    def _deliver(self, read: ReadAnswer) -> None:
        records = self.reader.on_read(read)
        self.listener.before_records(self.reader)
        for row in records:
            try:
                self.listener.fold_record(row)
            except Exception:
                # One record that cannot be applied must not hide the later ones.
                self.apply_failures_count += 1
                _LOG.exception("record %d of stream %s not applied", row.offset, self.name)
        self.listener.after_records(self.reader)
        self.writer.note_end(self.reader.next_offset)
