"""Group writer of one stream: batches, uncertain answers, outages."""

import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import attrs

from ..platform import LogEntry
from ..results import NotRun, ResultCode
from ._backoff import backoff_s
from ._pacer import AppendPacer


@dataclass(frozen=True, slots=True)
class AppendTicket:
    """Names one submitted record until it is durable."""

    number: int


@dataclass(frozen=True, slots=True)
class RecordDurable:
    """The record of a ticket is in the log at `offset`."""

    ticket: AppendTicket
    offset: int


@dataclass(frozen=True, slots=True)
class AppendBatch:
    """Append these records with this sequence; a repeat has the same content."""

    sequence: int
    records: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ReadBack:
    """Read the stream from this offset to learn whether an uncertain append took effect."""

    from_offset: int


@attrs.define(slots=True)
class _Batch:
    """The records of one sequence; once one attempt may be in the log, they stay together."""

    sequence: int
    numbers: tuple[int, ...]
    records: tuple[bytes, ...]
    size_bytes: int
    read_from: int
    uncertain: bool = False
    maybe_sent: bool = False


class GroupCommitWriter:
    """Groups the records of one process into few appends to one stream.

    Once an attempt may have reached the log, a batch keeps its sequence and content until it is
    known to be in the log, and only then the next sequence is used. A delayed copy of an append can
    therefore only repeat records that the log or the reader recognises by (writer, sequence).

    Args:
        writer: incarnation of this process.
        stream: name of the stream.
        append_interval_s: least time between two appends.
        backlog_max_records: records that wait at most, those in flight included.
        backlog_max_bytes: bytes that wait at most.
        max_batch_records: records of one append.
        max_batch_bytes: bytes of one append.
        retry_max_s: longest delay between two attempts.
        unavailable_after_failures: consecutive failures after which `available` is false.
        pacer: pace shared with the other writers of the process; without one only this writer's
            interval counts.
        rng: source of jitter; by default seeded from the names.
    """

    def __init__(
        self,
        writer: str,
        stream: str,
        *,
        append_interval_s: float = 0.1,
        backlog_max_records: int = 10_000,
        backlog_max_bytes: int = 16 * 1024 * 1024,
        max_batch_records: int = 500,
        max_batch_bytes: int = 256 * 1024,
        retry_max_s: float = 5.0,
        unavailable_after_failures: int = 2,
        pacer: AppendPacer | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.writer = writer
        self.stream = stream
        self.append_interval_s = append_interval_s
        self.backlog_max_records = backlog_max_records
        self.backlog_max_bytes = backlog_max_bytes
        self.max_batch_records = max_batch_records
        self.max_batch_bytes = max_batch_bytes
        self.retry_max_s = retry_max_s
        self.unavailable_after_failures = unavailable_after_failures
        self.pacer = pacer
        self.rng = rng or random.Random(f"{writer}/{stream}")
        self.appends_count_ = 0
        self.read_backs_count_ = 0
        # A plain dict scans over its removed items to reach the first one, which is slow after a
        # large backlog.
        self._waiting: OrderedDict[int, bytes] = OrderedDict()
        self._waiting_bytes = 0
        self._next_number = 0
        self._next_sequence = 0
        self._batch: _Batch | None = None
        self._in_flight: AppendBatch | ReadBack | None = None
        self._known_end = 0
        self._read_from = 0
        self._next_action_s = float("-inf")
        self._last_append_s = float("-inf")
        self._failures_count = 0
        self._outage_since_s: float | None = None

    @property
    def available(self) -> bool:
        """Whether the log answered lately; false after several failures in a row."""
        return self._failures_count < self.unavailable_after_failures

    @property
    def backlog_count(self) -> int:
        """Number of records that are not yet known to be durable."""
        return len(self._waiting) + (len(self._batch.records) if self._batch else 0)

    @property
    def backlog_bytes(self) -> int:
        """Bytes of the records that are not yet known to be durable."""
        return self._waiting_bytes + (self._batch.size_bytes if self._batch else 0)

    def outage_s(self, now_s: float) -> float:
        """Return the time since the first of the present failures; 0 without one."""
        return 0.0 if self._outage_since_s is None else now_s - self._outage_since_s

    def submit(self, record_bytes: bytes, now_s: float) -> AppendTicket | NotRun:
        """Queue one record.

        Args:
            record_bytes: encoded record.
            now_s: present time.

        Returns:
            A ticket, or a refusal after which the record is certainly not written.
        """
        if len(record_bytes) > self.max_batch_bytes:
            detail = f"a record of {len(record_bytes)} bytes exceeds {self.max_batch_bytes} bytes"
            return NotRun(ResultCode.BODY_TOO_LARGE, detail)
        if self.backlog_count >= self.backlog_max_records:
            return self._refuse(f"{self.backlog_max_records} records", now_s)
        if self.backlog_bytes + len(record_bytes) > self.backlog_max_bytes:
            return self._refuse(f"{self.backlog_max_bytes} bytes", now_s)
        ticket = AppendTicket(self._next_number)
        self._next_number += 1
        self._waiting[ticket.number] = record_bytes
        self._waiting_bytes += len(record_bytes)
        return ticket

    def withdraw(self, ticket: AppendTicket) -> bool:
        """Take a record back.

        Returns:
            True if the record was never sent and will not be; False if it may be in the log.
        """
        record = self._waiting.pop(ticket.number, None)
        if record is None:
            return False
        self._waiting_bytes -= len(record)
        return True

    def advance_known_end(self, next_offset: int) -> None:
        """Note that a reader of the stream has read all records below `next_offset`.

        It shortens later read-backs. The start of a read-back of an append that was already sent
        does not move.
        """
        self._known_end = max(self._known_end, next_offset)

    def next_action(self, now_s: float) -> AppendBatch | ReadBack | None:
        """Return what to do now; the caller reports the answer before it asks again."""
        if self._in_flight is not None or now_s < self._next_action_s:
            return None
        if self._batch is not None and self._batch.uncertain:
            self._in_flight = ReadBack(self._read_from)
            self.read_backs_count_ += 1
            return self._in_flight
        if now_s < self._last_append_s + self.append_interval_s:
            return None
        if self._batch is None and not self._waiting:
            return None
        if self.pacer is not None and not self.pacer.take_turn(self.stream, now_s):
            return None
        if self._batch is None:
            self._batch = self._form_batch()
        self._in_flight = AppendBatch(self._batch.sequence, self._batch.records)
        self._last_append_s = now_s
        self.appends_count_ += 1
        return self._in_flight

    def on_appended(self, first_offset: int, now_s: float) -> list[RecordDurable]:
        """Take the answer of an append.

        Args:
            first_offset: offset of the first record of the batch.
            now_s: present time.

        Returns:
            The tickets that are durable now.

        Raises:
            RuntimeError: no append is in flight.
        """
        self._expect(AppendBatch)
        return self._resolve(first_offset, now_s)

    def on_refused(self, now_s: float) -> None:
        """Take a failure after which the batch was certainly not taken by this attempt."""
        self._expect(AppendBatch, ReadBack)
        if not self._batch.maybe_sent:
            self._dissolve_batch()
        self._fail(now_s)

    def on_uncertain(self, now_s: float) -> None:
        """Take a failure after which the batch may be in the log."""
        self._expect(AppendBatch, ReadBack)
        if isinstance(self._in_flight, AppendBatch) and not self._batch.uncertain:
            self._batch.uncertain = True
            self._batch.maybe_sent = True
            self._read_from = self._batch.read_from
        self._fail(now_s)

    def on_read_back(
        self, entries: Sequence[LogEntry], next_offset: int, first_available: int, now_s: float
    ) -> list[RecordDurable]:
        """Take the answer of a read-back.

        If the batch is not found up to the end of the stream, or if a part of the range was
        truncated, the same sequence is appended again. That is safe in both cases.

        Args:
            entries: records from the asked offset on.
            next_offset: offset to ask for next.
            first_available: lowest offset that the log still keeps.
            now_s: present time.

        Returns:
            The tickets that are durable now.

        Raises:
            RuntimeError: no read-back is in flight.
        """
        self._expect(ReadBack)
        for entry in entries:
            if entry.writer == self.writer and entry.sequence == self._batch.sequence:
                return self._resolve(entry.offset - entry.index, now_s)
        self._in_flight = None
        if entries and next_offset > self._read_from:
            self._read_from = next_offset
        else:
            self._batch.uncertain = False
            self._batch.read_from = max(self._read_from, next_offset, first_available)
        return []

    def _form_batch(self) -> _Batch:
        numbers: list[int] = []
        size_bytes = 0
        for number, record in self._waiting.items():
            size_bytes += len(record)
            if len(numbers) >= self.max_batch_records or size_bytes > self.max_batch_bytes:
                break
            numbers.append(number)
        records = tuple(self._waiting.pop(number) for number in numbers)
        size_bytes = sum(map(len, records))
        self._waiting_bytes -= size_bytes
        self._next_sequence += 1
        return _Batch(self._next_sequence - 1, tuple(numbers), records, size_bytes, self._known_end)

    def _dissolve_batch(self) -> None:
        """Put back a batch that no attempt brought to the log, so that it can be withdrawn."""
        batch, self._batch = self._batch, None
        for number, record in zip(reversed(batch.numbers), reversed(batch.records), strict=True):
            self._waiting[number] = record
            self._waiting.move_to_end(number, last=False)
        self._waiting_bytes += batch.size_bytes
        self._next_sequence = batch.sequence

    def _resolve(self, first_offset: int, now_s: float) -> list[RecordDurable]:
        batch, self._batch, self._in_flight = self._batch, None, None
        self._known_end = max(self._known_end, first_offset + len(batch.records))
        self._failures_count = 0
        self._outage_since_s = None
        self._next_action_s = now_s
        return [
            RecordDurable(AppendTicket(number), first_offset + index)
            for index, number in enumerate(batch.numbers)
        ]

    def _fail(self, now_s: float) -> None:
        self._in_flight = None
        self._failures_count += 1
        if self._outage_since_s is None:
            self._outage_since_s = now_s
        delay_s = backoff_s(
            self._failures_count, self.append_interval_s, self.retry_max_s, self.rng
        )
        self._next_action_s = now_s + delay_s

    def _refuse(self, limit: str, now_s: float) -> NotRun:
        detail = (
            f"stream {self.stream}: the backlog holds its limit of {limit};"
            f" the log has failed for {self.outage_s(now_s):.1f} s"
        )
        return NotRun(ResultCode.STORE_UNAVAILABLE, detail, self.retry_max_s)

    def _expect(self, *kinds: type) -> None:
        if not isinstance(self._in_flight, kinds):
            names = " or ".join(kind.__name__ for kind in kinds)
            raise RuntimeError(f"no {names} is in flight on stream {self.stream}")
