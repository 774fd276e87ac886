"""Recorder of history records, in memory and as JSON lines."""

import pathlib
import threading
from typing import TypeVar

from fireflywharf_core.history import HistoryRecord, record_to_json

RecordType = TypeVar("RecordType")


class HistoryRecorder:
    """Collects the history records of all stand-ins of a platform; safe for use by many threads.

    Args:
        path: file to which each record is appended as a JSON line at once; None keeps the records
            in memory only.

    Example:
        >>> from fireflywharf_core.history import VmAdded
        >>> recorder = HistoryRecorder()
        >>> recorder.add(VmAdded(time_s=1.0, vm="w1"))
        >>> recorder.of(VmAdded)
        [VmAdded(time_s=1.0, vm='w1')]
    """

    def __init__(self, path: pathlib.Path | None = None) -> None:
        self.path = path
        self._lock = threading.Lock()
        self._records: list[HistoryRecord] = []
        # Stays open until `close`.
        self._file = path.open("a", encoding="utf-8", buffering=1) if path else None

    def add(self, record: HistoryRecord) -> None:
        """Store one record."""
        with self._lock:
            self._records.append(record)
            if self._file is not None:
                self._file.write(record_to_json(record) + "\n")

    def all(self) -> list[HistoryRecord]:
        """Return all records, sorted by time."""
        with self._lock:
            return sorted(self._records, key=lambda record: record.time_s)

    def of(self, kind: type[RecordType]) -> list[RecordType]:
        """Return the records of one class, sorted by time."""
        return [record for record in self.all() if isinstance(record, kind)]

    def close(self) -> None:
        """Close the file, if there is one; later records are kept in memory only."""
        with self._lock:
            if self._file is not None:
                self._file.close()
                self._file = None
