"""Index of workers by free resources, which a query searches by levels of free processors."""

from collections.abc import Iterator

from sortedcontainers import SortedDict, SortedList

from ..resources import ResourceVector

# Binary logarithm of the number of levels between an amount and its double.
LEVELS_PER_DOUBLING_BITS = 3


def level_of(amount: int) -> int:
    """Return a logarithmic level that rises with `amount`, with eight levels per doubling."""
    if amount <= 0:
        return 0
    bits = amount.bit_length()
    if bits <= LEVELS_PER_DOUBLING_BITS:
        return amount
    shift = bits - 1 - LEVELS_PER_DOUBLING_BITS
    return (shift << LEVELS_PER_DOUBLING_BITS) + (amount >> shift)


class FreeIndex:
    """Workers ordered by free accelerators, then level of free processors, then free memory.

    Workers without accelerators come first, so that tasks that need no accelerators use the others
    last.

    Example:
        >>> index = FreeIndex()
        >>> index.put(7, ResourceVector(4000, 8192), accelerated=False)
        >>> list(index.iter_fitting(ResourceVector(1000, 1024)))
        [(7, 4000, 8192)]
    """

    def __init__(self) -> None:
        self._classes: SortedDict = SortedDict()
        self._positions: dict[int, tuple[tuple[bool, int], int, tuple[int, int, int]]] = {}

    def __len__(self) -> int:
        return len(self._positions)

    def __contains__(self, worker_number: int) -> bool:
        return worker_number in self._positions

    def put(self, worker_number: int, free: ResourceVector, accelerated: bool) -> None:
        """Add a worker, or update its free resources.

        Args:
            worker_number: number of the worker.
            free: free resources of the worker.
            accelerated: whether the worker has accelerators, free or not.
        """
        key = (accelerated, max(0, free.accelerators_count))
        level = level_of(free.processors_millicores)
        entry = (free.memory_mb, free.processors_millicores, worker_number)
        position = (key, level, entry)
        if self._positions.get(worker_number) == position:
            return
        self.remove(worker_number)
        levels = self._classes.get(key)
        if levels is None:
            levels = self._classes[key] = SortedDict()
        entries = levels.get(level)
        if entries is None:
            entries = levels[level] = SortedList()
        entries.add(entry)
        self._positions[worker_number] = position

    def remove(self, worker_number: int) -> None:
        """Remove a worker; a worker that is not in the index is ignored."""
        position = self._positions.pop(worker_number, None)
        if position is None:
            return
        key, level, entry = position
        levels = self._classes[key]
        entries = levels[level]
        entries.remove(entry)
        if not entries:
            del levels[level]
            if not levels:
                del self._classes[key]

    def iter_fitting(
        self, need: ResourceVector, max_per_level: int = 1
    ) -> Iterator[tuple[int, int, int]]:
        """Yield workers with enough free resources, at most `max_per_level` of each level.

        Args:
            need: resources that a task needs.
            max_per_level: most workers yielded from one level of free processors.

        Yields:
            (worker number, free processors in millicores, free memory in MB). Workers without
            accelerators come first, then levels in rising order, then least free memory first.
        """
        cpu, mem = need.processors_millicores, need.memory_mb
        lowest = level_of(cpu)
        first = (False, 0) if need.accelerators_count == 0 else (True, need.accelerators_count)
        for key in self._classes.irange(minimum=first):
            levels = self._classes[key]
            for level in levels.irange(minimum=lowest):
                entries = levels[level]
                if entries[-1][0] < mem:
                    continue
                remaining_count = max_per_level
                for entry in entries.islice(entries.bisect_left((mem, 0, 0))):
                    if entry[1] >= cpu:
                        yield entry[2], entry[1], entry[0]
                        remaining_count -= 1
                        if remaining_count == 0:
                            break

    def iter_by_free_descending(self, accelerated_only: bool) -> Iterator[int]:
        """Yield worker numbers, most free processors first for each number of free accelerators."""
        first = (True, 0) if accelerated_only else (False, 0)
        for key in self._classes.irange(minimum=first):
            levels = self._classes[key]
            for level in reversed(levels):
                for entry in reversed(levels[level]):
                    yield entry[2]
