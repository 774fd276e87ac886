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

from fireflywharf_core.workflows import JournalRecord, TenureRecord, encode_record

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

_LOG = logging.getLogger(__name__)

WRITER_NAME = "scheduler"
RENEWAL_S = 0.5
"""Longest time between two records of the scheduler in office."""
SILENCE_S = 1.6
"""Silence of the scheduler after which another daemon takes over: three renewals and an append."""
STAGGER_S = 0.5
"""Spread of the candidates, so that one of them usually succeeds alone."""
_EPOCH_RANDOM_BITS = 16
"""Low bits of an epoch; two candidates that follow the same tenure get different epochs."""
_APPEND_S = 1.0
CONFIRMATION_S = 6.0
"""Time without a confirmation by the journal after which a scheduler stops renewing runs.

Successors wait this long, and one lease more, for workers that they cannot reach."""


class JournalWriter:
    """Appends the records of one tenure in order, each of them once.

    Args:
        log: the shared log.
        epoch: fencing token of the tenure.
    """

    def __init__(self, log: SharedLog, epoch: int) -> None:
        self.epoch = epoch
        self.confirmed_s = time.monotonic()
        self._log = log
        self._sequence = 0

    async def append(self, records: list[JournalRecord | LogRecord]) -> Appended | AppendFenced:
        """Append until the outcome is known."""
        encoded = [
            record if isinstance(record, LogRecord) else LogRecord(*encode_record(record))
            for record in records
        ]
        writer = Writer(WRITER_NAME, self.epoch, self._sequence)
        self._sequence += 1
        pause_s = 0.05
        while True:
            result = await self._log.append(
                Topic.JOURNAL, encoded, timeout_s=_APPEND_S, writer=writer
            )
            match result:
                case Appended():
                    self.confirmed_s = time.monotonic()
                    return result
                case AppendFenced():
                    return result
                case AppendRejected(reason) | AppendUncertain(reason):
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

    Args:
        name: incarnation of this daemon.
        rng: source of randomness.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        self.name = name
        self._rng = rng
        self._heard_s: float | None = None
        self._stagger_s = rng.random() * STAGGER_S
        self.latest: TenureRecord | None = None

    def observe(self, record: TenureRecord, now_s: float) -> None:
        """Take up a sign of life of a scheduler."""
        self.latest = record
        self._heard_s = now_s
        self._stagger_s = self._rng.random() * STAGGER_S

    def heard(self, now_s: float) -> None:
        """Take up another record that only the scheduler writes."""
        self._heard_s = now_s

    def unavailable(self, now_s: float) -> None:
        """Take up that the journal cannot be read, so that silence means nothing."""
        self._heard_s = now_s

    def due(self, now_s: float) -> bool:
        """Return whether to stand now."""
        if self._heard_s is None:
            self._heard_s = now_s
        if self.latest is None or self.latest.resigned:
            return now_s >= self._heard_s + self._stagger_s
        return now_s >= self._heard_s + SILENCE_S + self._stagger_s

    def next_tenure(self) -> TenureRecord:
        """Return the record with which to stand."""
        ordinal = 1 if self.latest is None else self.latest.ordinal + 1
        epoch = ordinal << _EPOCH_RANDOM_BITS | self._rng.getrandbits(_EPOCH_RANDOM_BITS)
        return TenureRecord(holder=self.name, epoch=epoch, ordinal=ordinal)
