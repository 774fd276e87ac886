"""Submissions of callers, in partitions of the journal apart from the scheduler's records."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable

from fireflywharf_core.workflows import (
    JournalRecord,
    JournalState,
    find_partition,
)

from ._interfaces import Appended, LogRecord, SharedLog
from ._journal import JournalReader, journal_partition

_LOG = logging.getLogger(__name__)

_READ_INTERVAL_S = 0.4
"""Time between two reads of a partition; VMs also notify the scheduler of each submission."""
_RETRY_S = 0.1
"""Pause before partitions that could not be read are read again."""
_RELEASE_INTERVAL_S = 5.0
"""Time in which the ends of jobs are collected; they only shorten later reads."""
_RELEASE_TIMEOUT_S = 1.0
_RELEASED_MAX = 5000
"""Maximum number of records that wait while the log takes none; further ones are left out."""


class Submissions:
    """Reads the partitions with the submissions and cancellations of jobs.

    In a large deployment, submissions make up most of the journal, and only the active scheduler
    needs their content. It follows all partitions. Another daemon learns of a job from the records
    of the scheduler, and reads the partition of a job only to find out whether the job exists.

    Args:
        log: the shared log.
        journal_state: state of the journal that the records are applied to.
        listener: called with each record that changed the state, and its offset.
    """

    def __init__(
        self,
        log: SharedLog,
        journal_state: JournalState,
        listener: Callable[[JournalRecord, int], None],
    ) -> None:
        self._log = log
        self._count = log.partitions_count
        self.readers: dict[int, JournalReader] = {}
        for number in range(1, self._count):
            reader = JournalReader(log, listener, number, journal_state)
            reader.pause_s, reader.poll_s = _READ_INTERVAL_S, 0.0
            self.readers[number] = reader
        self._released: list[LogRecord] = []

    def find_reader(self, key: str) -> JournalReader | None:
        """Return the reader of the partition of a key; None for the main partition."""
        return self.readers.get(find_partition(key, self._count))

    async def catch_up(self, key: str, timeout_s: float) -> bool:
        """Read the partition of a key to its end, and return whether that succeeded in time."""
        reader = self.find_reader(key)
        if reader is None:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                return await reader.catch_up()
        except TimeoutError:
            return False

    async def load(self) -> None:
        """Read all partitions to their ends; repeat until all of them have been read."""
        started_s = time.monotonic()
        missing = list(self.readers.values())
        while missing:
            results = await asyncio.gather(*(reader.catch_up() for reader in missing))
            missing = [reader for reader, done in zip(missing, results, strict=True) if not done]
            if missing:
                await asyncio.sleep(_RETRY_S)
        _LOG.info(
            "submissions were read",
            extra={"ms": round((time.monotonic() - started_s) * 1000)},
        )

    def release(self, records: Iterable[LogRecord]) -> None:
        """Queue records that replace or delete the submissions of ended jobs."""
        self._released += records
        if len(self._released) > _RELEASED_MAX:
            _LOG.warning("records of ended jobs are left out", extra={"waiting": _RELEASED_MAX})
            del self._released[_RELEASED_MAX:]

    async def run_releases(self) -> None:
        """Append the queued records in groups until cancelled.

        These records are not fenced: they are true for good, also if a later scheduler is active.
        """
        while True:
            await asyncio.sleep(_RELEASE_INTERVAL_S)
            groups: dict[int, list[LogRecord]] = {}
            for record in self._released:
                groups.setdefault(find_partition(record.key, self._count), []).append(record)
            self._released.clear()
            for number, records in groups.items():
                result = await self._log.append(
                    journal_partition(number), records, timeout_s=_RELEASE_TIMEOUT_S
                )
                if not isinstance(result, Appended):
                    self.release(records)
