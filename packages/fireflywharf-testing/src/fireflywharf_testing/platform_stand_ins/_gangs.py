"""Members of gangs across executors: they work only together and end together."""

from __future__ import annotations

import attrs


@attrs.define(slots=True, eq=False)
class Gang:
    """One run of a gang.

    Args:
        present: tasks that have started.
        broken: whether a member ended before all were done.
        ends_s: time in seconds at which the members complete; set once all are present.
    """

    present: set[str] = attrs.field(factory=set)
    broken: bool = False
    ends_s: float | None = None


class GangBoard:
    """All gangs of the executors of one world, by step and number of the run."""

    def __init__(self) -> None:
        self._gangs: dict[tuple[str, int], Gang] = {}

    def find(self, task: str, number: int) -> Gang:
        """Return the gang of a run; create it on first use."""
        return self._gangs.setdefault((task.rpartition(".")[0], number), Gang())
