"""Election of the scheduler through the journal.

The log orders all records and rejects a writer whose epoch is below the highest one that it has
seen. A daemon becomes scheduler by appending a tenure record with a higher epoch. From then on, the
log rejects the records of the previous scheduler, and the workers refuse its orders, because both
carry the lower epoch.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Mapping

from fireflywharf_core.workflows import (
    MAIN_PARTITION,
    JobLimits,
    JournalRecord,
    TenureRecord,
    VmPresent,
    candidate_rank,
    encode_record,
    progress_job_id,
)

from ._append_groups import find_size_bytes, split_by_size
from ._append_timeouts import AppendTimeouts
from ._clocks import boot_time_s
from ._interfaces import (
    Appended,
    AppendFenced,
    AppendRejected,
    AppendResult,
    AppendUncertain,
    LogRecord,
    SharedLog,
    Writer,
)
from ._journal import journal_partition
from ._metrics import WorkflowMetrics

_LOG = logging.getLogger(__name__)

WRITER_NAME = "scheduler"
_APPEND_TIMEOUT_MAX_S = 1.0
"""Maximum timeout of an attempt of the scheduler to append.

An attempt that was sent to a silent log gets no answer when the log returns, and all starts wait
for it. The scheduler has a partition of its own, so its repetitions delay no other appends."""
RENEWAL_S = 0.25
"""Maximum time between two tenure records of the active scheduler."""
SILENCE_GAPS = 2.0
"""Silence after which a daemon stands for election, as a multiple of the longest recent gap."""
SILENCE_MARGIN_S = 0.5
"""Additional tolerated silence; covers the pause between two reads and an append."""
_GAP_MAX_S = 1.2
"""Upper limit of the gap in that calculation; the slowest log answers in 0.3 s."""
_GAP_DECAY = 0.95
"""Factor by which the longest gap shrinks with each record of the scheduler."""
_SAME_READ_S = 0.01
"""Gaps up to this length are ignored, because the records came with one read."""
CANDIDATE_DELAY_S = 0.08
"""Delay between two candidates; a tenure record is read by the others within this time."""
FIRST_ELECTION_WAIT_S = 0.5
"""Wait before the first election, in which the daemons learn of each other; no job waits then."""
_EPOCH_RANDOM_BITS = 16
"""Low bits of an epoch; they give two candidates for the same tenure different epochs."""
_EPOCH_RANK_BITS = 8
"""Bits above the random ones; of two simultaneous candidates, the better-ranked one wins."""


class JournalWriter:
    """Appends the records of one tenure, in order and exactly once.

    Args:
        log: the shared log.
        epoch: fencing token of the tenure.
        on_appended: called with the offset of each record that has become durable, and the record.
        metrics: counts results and durations.
        limits: limits on the size of records and appends.

    Attributes:
        confirmed_s: local time at which the latest confirmed append was sent, in seconds.
    """

    def __init__(
        self,
        log: SharedLog,
        epoch: int,
        on_appended: Callable[[int, LogRecord], None],
        metrics: WorkflowMetrics,
        limits: JobLimits | None = None,
    ) -> None:
        self.epoch = epoch
        self.limits = JobLimits() if limits is None else limits
        self.confirmed_s = time.monotonic()
        self._confirmed_boot_s = boot_time_s()
        self._log = log
        self._on_appended = on_appended
        self._metrics = metrics
        self._sequence = 0
        self._too_large: list[LogRecord] = []
        self._times = AppendTimeouts(_APPEND_TIMEOUT_MAX_S)

    @property
    def confirmation_age_s(self) -> float:
        """Seconds since the latest confirmed append of the tenure was sent."""
        return boot_time_s() - self._confirmed_boot_s

    async def append(
        self, records: list[JournalRecord | LogRecord], fail_fast: bool = False
    ) -> Appended | AppendFenced | AppendRejected:
        """Append records in order and retry until the outcome is known.

        Progress that the log does not accept for its size is left out; see `pop_too_large`. It
        would otherwise block the tenure and the records of all other jobs.

        Args:
            records: records of one append, or of several if they exceed the limit of one.
            fail_fast: return a rejection instead of retrying, unless an earlier attempt may have
                taken effect.
        """
        encoded = [
            record if isinstance(record, LogRecord) else LogRecord(*encode_record(record))
            for record in records
        ]
        accepted = [record for record in encoded if not self._leave_out(record)]
        result: Appended | AppendFenced | AppendRejected = Appended(-1)
        for group in split_by_size(accepted, lambda record: record, self.limits):
            result = await self._append_group(group, fail_fast)
            if not isinstance(result, Appended):
                break
        return result

    def pop_too_large(self) -> list[LogRecord]:
        """Return the records that were left out since the last call."""
        too_large, self._too_large = self._too_large, []
        return too_large

    def _leave_out(self, record: LogRecord, rejected: bool = False) -> bool:
        """Leave out the progress of a job if it is too large or was rejected on its own."""
        is_too_large = rejected or find_size_bytes(record) > self.limits.value_max_bytes
        if not is_too_large or progress_job_id(record.key) is None:
            return False
        self._too_large.append(record)
        return True

    async def _append_parts(
        self, encoded: list[LogRecord], fail_fast: bool
    ) -> Appended | AppendFenced | AppendRejected:
        """Append the two halves of a group that the log has rejected as a whole."""
        half = len(encoded) // 2
        result = await self._append_group(encoded[:half], fail_fast)
        if not isinstance(result, Appended):
            return result
        return await self._append_group(encoded[half:], fail_fast)

    async def _append_group(
        self, encoded: list[LogRecord], fail_fast: bool
    ) -> Appended | AppendFenced | AppendRejected:
        writer = Writer(WRITER_NAME, self.epoch, self._sequence)
        self._sequence += 1
        pause_s = 0.05
        unanswered = 0
        earliest_sent_s: tuple[float, float] | None = None
        while True:
            sent_s = time.monotonic(), boot_time_s()
            result = await self._try_append(encoded, writer, self._times.predict(unanswered))
            match result:
                case Appended(offset):
                    # A successor may have begun while the process was paused, or before the log
                    # repeated the answer of an attempt that took effect earlier, so only the start
                    # of the first such attempt is certain.
                    self.confirmed_s, self._confirmed_boot_s = earliest_sent_s or sent_s
                    for index, record in enumerate(encoded if offset >= 0 else ()):
                        self._on_appended(offset + index, record)
                    return result
                case AppendFenced():
                    return result
                case AppendRejected() if fail_fast and not unanswered:
                    return result
                case AppendRejected(is_permanent=True) if len(encoded) > 1:
                    # The log counts only appends that it accepts.
                    self._sequence = writer.sequence
                    return await self._append_parts(encoded, fail_fast)
                case AppendRejected(is_permanent=True) if self._leave_out(encoded[0], True):
                    self._sequence = writer.sequence
                    return Appended(-1)
                case AppendRejected(reason) | AppendUncertain(reason):
                    if isinstance(result, AppendUncertain):
                        unanswered += 1
                        earliest_sent_s = earliest_sent_s or sent_s
                    _LOG.warning(
                        "append of the scheduler is repeated",
                        extra={
                            "reason": reason,
                            "epoch": self.epoch,
                            "sequence": writer.sequence,
                            "confirmation_age_s": round(self.confirmation_age_s, 3),
                        },
                    )
            await asyncio.sleep(pause_s)
            pause_s = min(0.4, pause_s * 2)

    async def _try_append(
        self, records: list[LogRecord], writer: Writer, timeout_s: float
    ) -> AppendResult:
        sent_s = time.monotonic()
        result = await self._log.append(
            journal_partition(MAIN_PARTITION), records, timeout_s=timeout_s, writer=writer
        )
        took_s = time.monotonic() - sent_s
        self._metrics.appends.labels(type(result).__name__).inc()
        self._metrics.append_s.observe(took_s)
        if isinstance(result, Appended):
            self._times.observe(took_s)
        return result


class Election:
    """Decides when this daemon stands for election.

    The scheduler may be killed or frozen, or lose the store, alone or together with all daemons.
    Silence counts only while this daemon can read the journal, so no daemon stands for election
    during an outage. While the log is slow, records of the scheduler arrive further apart, and a
    longer silence is tolerated.

    Args:
        presence: VM and incarnation of this daemon.
        rng: source of randomness.
        vms: returns the VMs of the deployment by name.

    Attributes:
        latest: newest tenure record that was read; None before the first.
        gap_s_: decaying maximum of the time between two records of the scheduler, in seconds.
    """

    def __init__(
        self,
        presence: VmPresent,
        rng: random.Random,
        vms: Callable[[], Mapping[str, VmPresent]],
    ) -> None:
        self._presence = presence
        self._vms = vms
        self.latest: TenureRecord | None = None
        self.gap_s_ = RENEWAL_S
        self._rng = rng
        self._last_activity_s: float | None = None
        self._has_gap_start = False

    def observe(self, record: TenureRecord, now_s: float) -> None:
        """Process a tenure record."""
        if self.latest is None or record.epoch != self.latest.epoch:
            self._has_gap_start = False
        self.latest = record
        self.record_activity(now_s)

    def record_activity(self, now_s: float) -> None:
        """Record that the scheduler was active, as shown by a record that only it writes."""
        gap_s = 0.0 if self._last_activity_s is None else now_s - self._last_activity_s
        if self._has_gap_start and gap_s > _SAME_READ_S:
            self.gap_s_ = max(RENEWAL_S, gap_s, _GAP_DECAY * self.gap_s_)
        self._last_activity_s = now_s
        self._has_gap_start = True

    def record_outage(self, now_s: float) -> None:
        """Record that the journal cannot be read, so that the silence until now does not count."""
        self._last_activity_s = now_s
        self._has_gap_start = False

    def is_due(self, now_s: float) -> bool:
        """Return whether this daemon should stand for election now."""
        if self._last_activity_s is None:
            self._last_activity_s = now_s
        own = self._presence
        if self._holder_vm() == own.vm and self.latest.holder != own.incarnation:
            # The scheduler was an earlier process on this VM, which has certainly exited.
            return True
        if self.latest is None:
            silence_s = FIRST_ELECTION_WAIT_S
        elif self.latest.resigned:
            silence_s = 0.0
        else:
            silence_s = SILENCE_MARGIN_S + SILENCE_GAPS * min(self.gap_s_, _GAP_MAX_S)
        late_s = now_s - self._last_activity_s - silence_s
        # The rank takes one hash per VM, so it is computed only if it affects the result.
        return late_s >= 0 and late_s >= CANDIDATE_DELAY_S * self._rank()

    def next_tenure(self) -> TenureRecord:
        """Return the tenure record to append as a candidate."""
        ordinal = 1 if self.latest is None else self.latest.ordinal + 1
        places = (1 << _EPOCH_RANK_BITS) - 1
        epoch = ordinal << _EPOCH_RANK_BITS | max(0, places - self._rank())
        epoch = epoch << _EPOCH_RANDOM_BITS | self._rng.getrandbits(_EPOCH_RANDOM_BITS)
        return TenureRecord(
            holder=self._presence.incarnation, epoch=epoch, ordinal=ordinal, active_s=0
        )

    def _holder_vm(self) -> str:
        return "" if self.latest is None else self.latest.holder.partition("#")[0]

    def _rank(self) -> int:
        epoch = 0 if self.latest is None else self.latest.epoch
        return candidate_rank(self._vms(), self._presence.vm, self._holder_vm(), epoch)
