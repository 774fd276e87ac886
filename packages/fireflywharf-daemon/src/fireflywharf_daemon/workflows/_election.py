"""Election of the scheduler through the journal.

The log orders all records and refuses a writer with an epoch below the highest one it has seen. A
daemon becomes scheduler by appending a tenure record with a higher epoch; from then on no record of
the earlier scheduler is accepted, and workers refuse its orders because of the same number.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Mapping

from fireflywharf_core.workflows import (
    JournalRecord,
    TenureRecord,
    VmPresent,
    candidate_rank,
    encode_record,
)

from ._interfaces import (
    Appended,
    AppendFenced,
    AppendRejected,
    AppendUncertain,
    LogRecord,
    SharedLog,
    Topic,
    Writer,
)
from ._journal import AppendTimeouts
from ._metrics import WorkflowMetrics

_LOG = logging.getLogger(__name__)

WRITER_NAME = "scheduler"
RENEWAL_S = 0.25
"""Longest time between two records of the scheduler in office."""
SILENCE_GAPS = 2.0
"""Missed signs of life, as a multiple of the longest recent gap, after which another stands."""
SILENCE_MARGIN_S = 0.5
"""Silence allowed beyond that; covers the pause between two reads of the journal and an append."""
_GAP_MAX_S = 1.2
"""Longest gap that is allowed for; the slowest log answers in 0.3 s."""
_GAP_DECAY = 0.95
"""Factor by which the longest gap shrinks with each sign of life."""
_SAME_READ_S = 0.01
"""Records closer than this came with one read and say nothing about gaps."""
CANDIDATE_DELAY_S = 0.08
"""Time between two candidates; a tenure record is read this long after it was sent."""
FIRST_ELECTION_WAIT_S = 0.5
"""Time in which daemons that start for the first time learn of each other; no job waits then."""
_EPOCH_RANDOM_BITS = 16
"""Low bits of an epoch; two candidates that follow the same tenure get different epochs."""
_EPOCH_RANK_BITS = 8
"""Bits above those; of two candidates at once, the one that should stand first overrules."""
CONFIRMATION_S = 6.0
"""Time without a confirmation by the journal after which a scheduler stops renewing runs.

Successors wait this long, and one lease more, for workers that they cannot reach."""


def _boot_time_s() -> float:
    """Return a steady time that counts while the machine is suspended, unlike the monotonic one."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class JournalWriter:
    """Appends the records of one tenure in order, each of them once.

    Args:
        log: the shared log.
        epoch: fencing token of the tenure.
        on_appended: called with the offset of each record that has become durable.
        metrics: counts results and times.
    """

    def __init__(
        self,
        log: SharedLog,
        epoch: int,
        on_appended: Callable[[int, LogRecord], None],
        metrics: WorkflowMetrics,
    ) -> None:
        self.epoch = epoch
        self._confirmed_s = _boot_time_s()
        self._log = log
        self._on_appended = on_appended
        self._metrics = metrics
        self._sequence = 0
        self._times = AppendTimeouts()

    @property
    def confirmation_age_s(self) -> float:
        """Time since the log confirmed the tenure last."""
        return _boot_time_s() - self._confirmed_s

    async def append(
        self, records: list[JournalRecord | LogRecord], fail_fast: bool = False
    ) -> Appended | AppendFenced | AppendRejected:
        """Append until the outcome is known.

        Args:
            records: records of one append.
            fail_fast: return a rejection instead of trying again, unless an earlier try may have
                taken effect.
        """
        encoded = [
            record if isinstance(record, LogRecord) else LogRecord(*encode_record(record))
            for record in records
        ]
        writer = Writer(WRITER_NAME, self.epoch, self._sequence)
        self._sequence += 1
        pause_s = 0.05
        unanswered = 0
        while True:
            sent_s = time.monotonic()
            result = await self._log.append(
                Topic.JOURNAL,
                encoded,
                timeout_s=self._times.predict(unanswered),
                writer=writer,
            )
            took_s = time.monotonic() - sent_s
            self._metrics.appends.labels(type(result).__name__).inc()
            self._metrics.append_s.observe(took_s)
            match result:
                case Appended(offset):
                    self._times.observe(took_s)
                    self._confirmed_s = _boot_time_s()
                    for index, record in enumerate(encoded if offset >= 0 else ()):
                        self._on_appended(offset + index, record)
                    return result
                case AppendFenced():
                    return result
                case AppendRejected() if fail_fast and not unanswered:
                    return result
                case AppendRejected(reason) | AppendUncertain(reason):
                    unanswered += isinstance(result, AppendUncertain)
                    _LOG.warning(
                        "append of the scheduler is repeated",
                        extra={"reason": reason, "epoch": self.epoch, "sequence": writer.sequence},
                    )
            await asyncio.sleep(pause_s)
            pause_s = min(0.4, pause_s * 2)


class Election:
    """Decides when to stand for scheduler.

    Pattern: kills, freezes and store outages of the scheduler, alone or of all daemons at once.
    Silence counts only while this daemon can read the journal, so nobody stands during an outage.
    While the log is slow, signs of life come further apart, and more silence is allowed.

    Args:
        presence: the VM and the incarnation of this daemon.
        rng: source of randomness.
        vms: returns the VMs of the deployment by name.

    Attributes:
        gap_s_: longest recent time between two signs of life.
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
        """Take up a sign of life of a scheduler."""
        if self.latest is None or record.epoch != self.latest.epoch:
            self._has_gap_start = False
        self.latest = record
        self.record_activity(now_s)

    def record_activity(self, now_s: float) -> None:
        """Take up another record that only the scheduler writes."""
        gap_s = 0.0 if self._last_activity_s is None else now_s - self._last_activity_s
        if self._has_gap_start and gap_s > _SAME_READ_S:
            self.gap_s_ = max(RENEWAL_S, gap_s, _GAP_DECAY * self.gap_s_)
        self._last_activity_s = now_s
        self._has_gap_start = True

    def record_outage(self, now_s: float) -> None:
        """Take up that the journal cannot be read, so that silence means nothing."""
        self._last_activity_s = now_s
        self._has_gap_start = False

    def is_due(self, now_s: float) -> bool:
        """Return whether to stand now."""
        if self._last_activity_s is None:
            self._last_activity_s = now_s
        own = self._presence
        if self._holder_vm() == own.vm and self.latest.holder != own.incarnation:
            # The scheduler was an earlier process of this VM, which has ended.
            return True
        if self.latest is None:
            silence_s = FIRST_ELECTION_WAIT_S
        elif self.latest.resigned:
            silence_s = 0.0
        else:
            silence_s = SILENCE_MARGIN_S + SILENCE_GAPS * min(self.gap_s_, _GAP_MAX_S)
        late_s = now_s - self._last_activity_s - silence_s
        # The rank costs a hash for each VM and is worked out only when it matters.
        return late_s >= 0 and late_s >= CANDIDATE_DELAY_S * self._rank()

    def next_tenure(self) -> TenureRecord:
        """Return the record with which to stand."""
        ordinal = 1 if self.latest is None else self.latest.ordinal + 1
        places = (1 << _EPOCH_RANK_BITS) - 1
        epoch = ordinal << _EPOCH_RANK_BITS | max(0, places - self._rank())
        epoch = epoch << _EPOCH_RANDOM_BITS | self._rng.getrandbits(_EPOCH_RANDOM_BITS)
        return TenureRecord(holder=self._presence.incarnation, epoch=epoch, ordinal=ordinal)

    def _holder_vm(self) -> str:
        return "" if self.latest is None else self.latest.holder.partition("#")[0]

    def _rank(self) -> int:
        epoch = 0 if self.latest is None else self.latest.epoch
        return candidate_rank(self._vms(), self._presence.vm, self._holder_vm(), epoch)
