"""Compact set of the occurrences of a job that are done."""

from __future__ import annotations

from collections.abc import Iterable


class OccurrenceSet:
    """Set of occurrence numbers, stored as ranges.

    Occurrences end almost in the order in which they become due. The number of ranges is therefore
    at most the number of those that are open, plus one, however many are done.

    Args:
        done_before: number below which all occurrences are in the set.
        ranges: further ranges, each with its first number and the one after its last.

    Example:
        >>> done = OccurrenceSet(2)
        >>> done.add(3)
        >>> done.done_before, done.later_ranges, len(done)
        (2, ((3, 4),), 3)
        >>> done.add(2)
        >>> done.done_before, done.later_ranges
        (4, ())
    """

    def __init__(self, done_before: int = 0, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._ranges: list[tuple[int, int]] = []
        self._count = 0
        for first, end in [(0, done_before), *ranges]:
            self._add_range(first, end)

    def __contains__(self, occurrence: int) -> bool:
        return any(first <= occurrence < end for first, end in self._ranges)

    def __len__(self) -> int:
        return self._count

    @property
    def done_before(self) -> int:
        """Number below which all occurrences are in the set."""
        return self._ranges[0][1] if self._ranges and self._ranges[0][0] == 0 else 0

    @property
    def later_ranges(self) -> tuple[tuple[int, int], ...]:
        """Ranges above `done_before`, each with its first number and the one after its last."""
        return tuple(self._ranges[1:] if self.done_before else self._ranges)

    def add(self, occurrence: int) -> None:
        """Add an occurrence."""
        self._add_range(occurrence, occurrence + 1)

    def _add_range(self, first: int, end: int) -> None:
        if first >= end:
            return
        kept = []
        for other_first, other_end in self._ranges:
            if other_end < first or end < other_first:
                kept.append((other_first, other_end))
            else:
                first, end = min(first, other_first), max(end, other_end)
        self._ranges = sorted([*kept, (first, end)])
        self._count = sum(stop - start for start, stop in self._ranges)
