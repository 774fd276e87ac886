"""Group commit writer of one stream: batches, uncertain appends, outages."""

import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import attrs

from ..platform import LogEntry
from ..results import NotRun, ResultCode
from ._backoff import compute_backoff_s
from ._pacer import AppendPacer


@dataclass(frozen=True, slots=True)
class AppendTicket:
    """Identifies a submitted record until it is durable."""

    number: int


@dataclass(frozen=True, slots=True)
class RecordDurable:
    """The record of a ticket is in the log at `offset`."""

    ticket: AppendTicket
    offset: int


@dataclass(frozen=True, slots=True)
class AppendBatch:
    """Append a batch of records under a sequence; a retry has the same content."""

    sequence: int
    records: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ReadBack:
    """Read the stream from `from_offset`, to find out whether an uncertain append took effect."""

    from_offset: int


@attrs.define(slots=True)
class _Batch:
    """Records that are appended under one sequence.

    Attributes:
        sequence: sequence of the batch.
        ticket_numbers: ticket numbers of the records.
        records: encoded records.
        size_bytes: total size of the records.
        read_back_from: lowest offset at which the batch can be in the log.
        uncertain: whether a read-back must show if the last append took effect.
        may_be_in_log: whether any append may have taken effect; the batch is then never changed.
    """

    sequence: int
    ticket_numbers: tuple[int, ...]
    records: tuple[bytes, ...]
    size_bytes: int
    read_back_from: int
    uncertain: bool = False
    may_be_in_log: bool = False


class GroupCommitWriter:
    """Combines the records of one process into few appends to one stream (group commit).

    Once an append may have reached the log, the batch keeps its sequence and content until it is
    known to be in the log; only then the next sequence is used. A delayed copy of an append can
    therefore only repeat records that the log or the reader recognises by (writer, sequence).

    Args:
        writer: incarnation of this process.
        stream: name of the stream.
        append_interval_s: minimum time between two appends.
        backlog_max_records: maximum number of records that are not durable, in flight or waiting.
        backlog_max_bytes: maximum size of these records in bytes.
        max_batch_records: maximum number of records in one append.
        max_batch_bytes: maximum size of one append in bytes.
        retry_max_s: longest delay between two attempts.
        unavailable_after_failures: consecutive failures after which `available` is false.
        pacer: rate limit shared with the other writers of the process; if None, only this writer's
            interval applies.
        rng: random source of the jitter; by default seeded with the writer and stream.

    Attributes:
        appends_count_: appends started, retries included.
        read_backs_count_: read-backs started.
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
        # Not a dict: finding its first item means skipping the removed ones, which is slow after a
        # large backlog.
        self._waiting: OrderedDict[int, bytes] = OrderedDict()
        self._waiting_bytes = 0
        self._next_number = 0
        self._next_sequence = 0
        self._batch: _Batch | None = None
        self._in_flight: AppendBatch | ReadBack | None = None
        self._known_end_offset = 0
        self._read_back_from = 0
        self._next_action_s = float("-inf")
        self._last_append_s = float("-inf")
        self._failures_count = 0
        self._outage_since_s: float | None = None

    @property
    def available(self) -> bool:
        """Whether the log is available; false after several consecutive failures."""
        return self._failures_count < self.unavailable_after_failures

    @property
    def backlog_count(self) -> int:
        """Number of records that are not yet known to be durable."""
        return len(self._waiting) + (len(self._batch.records) if self._batch else 0)

    @property
    def backlog_bytes(self) -> int:
        """Size in bytes of the records that are not yet known to be durable."""
        return self._waiting_bytes + (self._batch.size_bytes if self._batch else 0)

    def outage_s(self, now_s: float) -> float:
        """Return the time since the first of the current consecutive failures; 0 if none."""
        return 0.0 if self._outage_since_s is None else now_s - self._outage_since_s

    def submit(self, record_bytes: bytes, now_s: float) -> AppendTicket | NotRun:
        """Queue one record.

        Args:
            record_bytes: encoded record.
            now_s: present time.

        Returns:
            A ticket, or a refusal; a refused record is never written.
        """
        if len(record_bytes) > self.max_batch_bytes:
            detail = (
                f"record of {len(record_bytes)} bytes exceeds limit of {self.max_batch_bytes} bytes"
            )
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
        """Withdraw a record that was not sent.

        Returns:
            True if the record was not sent and will not be; False if it may be in the log.
        """
        record = self._waiting.pop(ticket.number, None)
        if record is None:
            return False
        self._waiting_bytes -= len(record)
        return True

    def advance_known_end(self, next_offset: int) -> None:
        """Record that a reader of the stream has read all records below `next_offset`.

        This shortens the read-backs of later batches. The offset from which a batch that was
        already sent is read back does not change.
        """
        self._known_end_offset = max(self._known_end_offset, next_offset)

    def next_action(self, now_s: float) -> AppendBatch | ReadBack | None:
        """Return the action that is due, or None.

        The caller reports the result of an action before it calls this again.
        """
        if self._in_flight is not None or now_s < self._next_action_s:
            return None
        if self._batch is not None and self._batch.uncertain:
            self._in_flight = ReadBack(self._read_back_from)
            self.read_backs_count_ += 1
            return self._in_flight
        if now_s < self._last_append_s + self.append_interval_s:
            return None
        if self._batch is None and not self._waiting:
            return None
        if self.pacer is not None and not self.pacer.try_acquire(self.stream, now_s):
            return None
        if self._batch is None:
            self._batch = self._form_batch()
        self._in_flight = AppendBatch(self._batch.sequence, self._batch.records)
        self._last_append_s = now_s
        self.appends_count_ += 1
        return self._in_flight

    def on_appended(self, first_offset: int, now_s: float) -> list[RecordDurable]:
        """Handle a confirmed append.

        Args:
            first_offset: offset of the first record of the batch.
            now_s: present time.

        Returns:
            The tickets of the batch with their offsets.

        Raises:
            RuntimeError: no append is in flight.
        """
        self._require_in_flight(AppendBatch)
        return self._complete_batch(first_offset, now_s)

    def on_refused(self, now_s: float) -> None:
        """Handle a failure of an append or read-back that certainly did not append the batch."""
        self._require_in_flight(AppendBatch, ReadBack)
        if not self._batch.may_be_in_log:
            self._requeue_batch()
        self._record_failure(now_s)

    def on_uncertain(self, now_s: float) -> None:
        """Handle a failure of an append or read-back after which the batch may be in the log."""
        self._require_in_flight(AppendBatch, ReadBack)
        if isinstance(self._in_flight, AppendBatch) and not self._batch.uncertain:
            self._batch.uncertain = True
            self._batch.may_be_in_log = True
            self._read_back_from = self._batch.read_back_from
        self._record_failure(now_s)

    def on_read_back(
        self, entries: Sequence[LogEntry], next_offset: int, first_available: int, now_s: float
    ) -> list[RecordDurable]:
        """Handle the answer of a read-back.

        If the batch is not found up to the end of the stream, or if a part of the range was
        truncated, the same sequence is appended again, which is safe in both cases.

        Args:
            entries: records from the requested offset on.
            next_offset: offset to read from next.
            first_available: lowest offset that the log still keeps.
            now_s: present time.

        Returns:
            The tickets of the batch with their offsets if it was found, otherwise nothing.

        Raises:
            RuntimeError: no read-back is in flight.
        """
        self._require_in_flight(ReadBack)
        for entry in entries:
            if entry.writer == self.writer and entry.sequence == self._batch.sequence:
                return self._complete_batch(entry.offset - entry.index, now_s)
        self._in_flight = None
        if entries and next_offset > self._read_back_from:
            self._read_back_from = next_offset
        else:
            self._batch.uncertain = False
            self._batch.read_back_from = max(self._read_back_from, next_offset, first_available)
        return []

    def _form_batch(self) -> _Batch:
        ticket_numbers: list[int] = []
        size_bytes = 0
        for number, record in self._waiting.items():
            size_bytes += len(record)
            if len(ticket_numbers) >= self.max_batch_records or size_bytes > self.max_batch_bytes:
                break
            ticket_numbers.append(number)
        records = tuple(self._waiting.pop(number) for number in ticket_numbers)
        size_bytes = sum(map(len, records))
        self._waiting_bytes -= size_bytes
        self._next_sequence += 1
        return _Batch(
            self._next_sequence - 1,
            tuple(ticket_numbers),
            records,
            size_bytes,
            self._known_end_offset,
        )

    def _requeue_batch(self) -> None:
        """Return a batch that is not in the log to the backlog, so that it can be withdrawn."""
        batch, self._batch = self._batch, None
        for number, record in zip(
            reversed(batch.ticket_numbers), reversed(batch.records), strict=True
        ):
            self._waiting[number] = record
            self._waiting.move_to_end(number, last=False)
        self._waiting_bytes += batch.size_bytes
        self._next_sequence = batch.sequence

    def _complete_batch(self, first_offset: int, now_s: float) -> list[RecordDurable]:
        batch, self._batch, self._in_flight = self._batch, None, None
        self._known_end_offset = max(self._known_end_offset, first_offset + len(batch.records))
        self._failures_count = 0
        self._outage_since_s = None
        self._next_action_s = now_s
        return [
            RecordDurable(AppendTicket(number), first_offset + index)
            for index, number in enumerate(batch.ticket_numbers)
        ]

    def _record_failure(self, now_s: float) -> None:
        self._in_flight = None
        self._failures_count += 1
        if self._outage_since_s is None:
            self._outage_since_s = now_s
        delay_s = compute_backoff_s(
            self._failures_count, self.append_interval_s, self.retry_max_s, self.rng
        )
        self._next_action_s = now_s + delay_s

    def _refuse(self, limit: str, now_s: float) -> NotRun:
        detail = (
            f"stream {self.stream}: the backlog has reached its limit of {limit};"
            f" appends have failed for {self.outage_s(now_s):.1f} s"
        )
        return NotRun(ResultCode.STORE_UNAVAILABLE, detail, self.retry_max_s)

    def _require_in_flight(self, *kinds: type) -> None:
        if not isinstance(self._in_flight, kinds):
            names = " or ".join(kind.__name__ for kind in kinds)
            raise RuntimeError(f"no {names} is in flight on stream {self.stream}")
