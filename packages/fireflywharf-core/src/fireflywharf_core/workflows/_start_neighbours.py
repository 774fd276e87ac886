"""Comparison of whole runs by the neighbours that were present at their start."""

from __future__ import annotations

import math
from collections import OrderedDict
from weakref import WeakKeyDictionary

import attrs

from ._interference_evidence import Group, find_group
from ._state import Run, RunPhase, Worker

RUN_PAIR_WEIGHT = 0.4
"""Weight of two compared runs. Their sizes differ, so they tell less than one run that was observed
with and without the neighbour."""
_AGE_MAX_S = 30.0
"""Maximum time between the ends of two runs that are compared."""
_RUNS_MAX = 32
"""Maximum number of runs that are kept for a worker."""


@attrs.frozen(slots=True)
class RunComparison:
    """Slowdown of one run relative to another one of its group on the same worker.

    Args:
        group: group of both runs.
        neighbour: the only group that was present at the start of one and not of the other.
        ratio: logarithm of the slowdown.
    """

    group: Group
    neighbour: Group
    ratio: float


class StartNeighbours:
    """Compares run times of single tasks that are too short for several progress reports.

    Runs of one group on one worker are compared in disjoint pairs. The neighbours at the start are
    known before the run time is, so long runs are not assigned to other neighbours than short ones.
    Steps of several tasks are left out: their tasks start together and have a common size, which
    would look like an effect on each other. So is, for the same reason, the effect of a group on
    itself.
    """

    def __init__(self) -> None:
        self._at_start: WeakKeyDictionary[Run, frozenset[Group]] = WeakKeyDictionary()
        self._unmatched: WeakKeyDictionary[Worker, OrderedDict] = WeakKeyDictionary()

    def observe_start(self, run: Run) -> None:
        """Keep the neighbours of a run that is about to start."""
        step = run.step
        if step is None or step.spec.tasks_count != 1 or step.spec.gang or step.spec.checkpointing:
            return
        if step.spec.long_running or step.spec.fills or run.phase is not RunPhase.STARTING:
            return
        self._at_start[run] = frozenset(
            find_group(other.step)
            for other in run.worker.runs.values()
            if other.step is not None and other is not run
        )

    def observe_end(self, run: Run, now_s: float) -> RunComparison | None:
        """Compare a run that is done with an earlier one; return None if there is none.

        Args:
            run: the run; its capacity is still occupied.
            now_s: current local time, in seconds.
        """
        present = self._at_start.pop(run, None)
        if present is None or run.phase is not RunPhase.RUNNING:
            return None
        group = find_group(run.step)
        # Tasks of one image have similar run times; an estimate may be wrong by a factor of two.
        has_size = run.step.spec.image or run.step.spec.estimate_ms <= 0
        expected_s = 1.0 if has_size else run.step.spec.estimate_ms / 1000.0
        size = math.log(max(0.01, now_s - run.started_s) / expected_s)
        unmatched = self._unmatched.setdefault(run.worker, OrderedDict())
        for (other_group, other_present), (other_size, ended_s) in unmatched.items():
            difference = present ^ other_present
            if other_group != group or len(difference) != 1 or group in difference:
                continue
            if now_s - ended_s > _AGE_MAX_S:
                continue
            del unmatched[other_group, other_present]
            (neighbour,) = difference
            sign = 1 if neighbour in present else -1
            return RunComparison(group, neighbour, sign * (size - other_size))
        unmatched[group, present] = (size, now_s)
        unmatched.move_to_end((group, present))
        if len(unmatched) > _RUNS_MAX:
            unmatched.popitem(last=False)
        return None

    def forget(self, worker: Worker) -> None:
        """Drop the runs of a worker that has become slow or faulty."""
        self._unmatched.pop(worker, None)
