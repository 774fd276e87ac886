"""Resource vector; its components are integers, so that sums are exact."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class ResourceVector:
    """Processors, memory and accelerators that a task needs or a worker has.

    Args:
        processors_millicores: thousandths of a core.
        memory_mb: megabytes.
        accelerators_count: number of accelerators.

    Example:
        >>> ResourceVector(500, 256).fits_in(ResourceVector(1000, 512, 1))
        True
    """

    processors_millicores: int = 0
    memory_mb: int = 0
    accelerators_count: int = 0

    def __add__(self, other: ResourceVector) -> ResourceVector:
        return ResourceVector(
            self.processors_millicores + other.processors_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators_count + other.accelerators_count,
        )

    def __sub__(self, other: ResourceVector) -> ResourceVector:
        return ResourceVector(
            self.processors_millicores - other.processors_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators_count - other.accelerators_count,
        )

    def scaled(self, factor: int) -> ResourceVector:
        """Return the vector multiplied by an integer."""
        return ResourceVector(
            self.processors_millicores * factor,
            self.memory_mb * factor,
            self.accelerators_count * factor,
        )

    def fits_in(self, capacity: ResourceVector) -> bool:
        """Return whether every component is at most that of `capacity`."""
        return (
            self.processors_millicores <= capacity.processors_millicores
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators_count <= capacity.accelerators_count
        )

    def dominant_share(self, total: ResourceVector) -> float:
        """Return the dominant share: the largest fraction of a nonzero component of `total`."""
        share = 0.0
        if total.processors_millicores > 0:
            share = self.processors_millicores / total.processors_millicores
        if total.memory_mb > 0:
            share = max(share, self.memory_mb / total.memory_mb)
        if total.accelerators_count > 0:
            share = max(share, self.accelerators_count / total.accelerators_count)
        return share
