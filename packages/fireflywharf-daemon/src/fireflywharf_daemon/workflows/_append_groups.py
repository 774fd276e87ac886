"""Division of records into appends that the log accepts."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

from fireflywharf_core.workflows import JobLimits, record_size_bytes

from ._interfaces import LogRecord

Item = TypeVar("Item")


def find_size_bytes(record: LogRecord) -> int:
    """Return an upper bound of the size of a record in the log."""
    return record_size_bytes(record.key, record.value)


def split_by_size(
    items: Sequence[Item], find_record: Callable[[Item], LogRecord], limits: JobLimits
) -> list[list[Item]]:
    """Divide items into groups, in order, whose records fit in one append each.

    An item whose record alone exceeds the limit is a group of its own.

    Args:
        items: the items.
        find_record: returns the record of an item.
        limits: limits of the log.
    """
    groups: list[list[Item]] = []
    free_bytes = 0
    for item in items:
        size_bytes = find_size_bytes(find_record(item))
        if not groups or size_bytes > free_bytes:
            groups.append([])
            free_bytes = limits.request_max_bytes
        groups[-1].append(item)
        free_bytes -= size_bytes
    return groups
