"""Index of workers by free resources; a query visits levels of free processors, not workers."""

from collections.abc import Iterator

from sortedcontainers import SortedDict, SortedList

from ..resources import ResourceVector

STEPS_PER_OCTAVE_BITS = 3


def level_of(amount: int) -> int:
    """Return a level that rises with `amount`, eight levels to a doubling."""
    if amount <= 0:
        return 0
    bits = amount.bit_length()
    if bits <= STEPS_PER_OCTAVE_BITS:
        return amount
    shift = bits - 1 - STEPS_PER_OCTAVE_BITS
    return (shift << STEPS_PER_OCTAVE_BITS) + (amount >> shift)


class FreeIndex:
    """Workers ordered by free accelerators, then processors (in levels), then memory.

    Workers without accelerators come first, so that those with accelerators are used last for work
    that needs none.

    Example:
        >>> index = FreeIndex()
        >>> index.put(7, ResourceVector(4000, 8192), accelerated=False)
        >>> list(index.fitting(ResourceVector(1000, 1024)))
        [(7, 4000, 8192)]
    """

    def __init__(self) -> None:
        self._classes: SortedDict = SortedDict()
        self._places: dict[int, tuple[tuple[bool, int], int, tuple[int, int, int]]] = {}

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, order: int) -> bool:
        return order in self._places

    def put(self, order: int, free: ResourceVector, accelerated: bool) -> None:
        """Enter a worker, or move it to its new place.

        Args:
            order: number of the worker.
            free: its free resources.
            accelerated: whether it has accelerators at all.
        """
        key = (accelerated, max(0, free.accelerators_count))
        level = level_of(free.processors_millicores)
        entry = (free.memory_mb, free.processors_millicores, order)
        place = (key, level, entry)
        if self._places.get(order) == place:
            return
        self.remove(order)
        rows = self._classes.get(key)
        if rows is None:
            rows = self._classes[key] = SortedDict()
        row = rows.get(level)
        if row is None:
            row = rows[level] = SortedList()
        row.add(entry)
        self._places[order] = place

    def remove(self, order: int) -> None:
        """Take a worker out; one that is not in the index is ignored."""
        place = self._places.pop(order, None)
        if place is None:
            return
        key, level, entry = place
        rows = self._classes[key]
        row = rows[level]
        row.remove(entry)
        if not row:
            del rows[level]
            if not rows:
                del self._classes[key]

    def fitting(self, need: ResourceVector, per_level: int = 1) -> Iterator[tuple[int, int, int]]:
        """Yield fitting workers, at most a few of each level of free processors.

        Args:
            need: size to place.
            per_level: most workers of one level.

        Returns:
            Iterator of (worker number, free processors, free memory); the tightest memory of each
            level, levels upwards, classes without accelerators first.
        """
        cpu, mem = need.processors_millicores, need.memory_mb
        lowest = level_of(cpu)
        first = (False, 0) if need.accelerators_count == 0 else (True, need.accelerators_count)
        for key in self._classes.irange(minimum=first):
            rows = self._classes[key]
            for level in rows.irange(minimum=lowest):
                row = rows[level]
                if row[-1][0] < mem:
                    continue
                left = per_level
                for entry in row.islice(row.bisect_left((mem, 0, 0))):
                    if entry[1] >= cpu:
                        yield entry[2], entry[1], entry[0]
                        left -= 1
                        if left == 0:
                            break

    def all_by_room(self, accelerated_only: bool) -> Iterator[int]:
        """Yield worker numbers with most free processors first in each class of accelerators."""
        first = (True, 0) if accelerated_only else (False, 0)
        for key in self._classes.irange(minimum=first):
            rows = self._classes[key]
            for level in reversed(rows):
                for entry in reversed(rows[level]):
                    yield entry[2]
