"""Simulated tasks: their behaviour, their progress over time and their checkpoints."""

import json
import math
import threading
from typing import Any

import attrs

from fireflywharf_core.jobs import AttemptId, TaskId
from fireflywharf_core.resources import ResourceVector


@attrs.frozen(slots=True)
class TaskBehaviour:
    """Behaviour of one attempt.

    Args:
        run_s: run time in seconds at full speed; infinite for a service.
        fail: whether the attempt ends as failed.
        use: resources that the attempt is reported to use; None for its reserved size.
    """

    run_s: float
    fail: bool = False
    use: ResourceVector | None = None


def parse_behaviour(command: str, run_time_s: float, default_run_s: float) -> TaskBehaviour:
    """Parse the behaviour that the command of a start asks for.

    Args:
        command: JSON object with optional `run_s` (null for a service that never ends), `fail` and
            `use`; any other text means a task that runs for its declared time and succeeds.
        run_time_s: declared run time in seconds; zero when unknown.
        default_run_s: run time in seconds when neither `command` nor `run_time_s` gives one.

    Returns:
        The behaviour.

    Example:
        >>> parse_behaviour('{"run_s": 1.5, "fail": true}', 0.0, 1.0)
        TaskBehaviour(run_s=1.5, fail=True, use=None)
    """
    run_s = run_time_s if run_time_s > 0 else default_run_s
    try:
        data: Any = json.loads(command) if command else {}
    except ValueError:
        data = {}
    if not isinstance(data, dict):
        return TaskBehaviour(run_s)
    if "run_s" in data:
        requested = data["run_s"]
        if requested is None:
            run_s = math.inf
        elif isinstance(requested, int | float) and requested >= 0:
            run_s = float(requested)
    use = None
    if isinstance(data.get("use"), dict):
        names = [field.name for field in attrs.fields(ResourceVector)]
        use = ResourceVector(*(int(data["use"].get(name, 0)) for name in names))
    return TaskBehaviour(run_s, data.get("fail") is True, use)


@attrs.define
class TaskRun:
    """A running attempt; all times are on the worker's clock.

    Args:
        attempt: identifier.
        declared: resources that the start command asked for.
        size: resources reserved now; fewer processors than declared while throttled.
        behaviour: behaviour with `run_s` already multiplied by the time scale.
        started_s: time of the start in seconds.
        progress_s: run time in seconds completed at `progress_at_s`, counted at full speed.
        progress_at_s: time in seconds at which `progress_s` was computed.
    """

    attempt: AttemptId
    declared: ResourceVector
    size: ResourceVector
    behaviour: TaskBehaviour
    started_s: float
    progress_s: float
    progress_at_s: float

    @property
    def speed(self) -> float:
        """Progress per second: 1 at full speed, less while throttled."""
        if self.declared.processors_millicores <= 0:
            return 1.0
        return self.size.processors_millicores / self.declared.processors_millicores

    @property
    def due_s(self) -> float:
        """Time in seconds at which the task completes at its present speed."""
        remaining_s = max(0.0, self.behaviour.run_s - self.progress_s)
        return self.progress_at_s + remaining_s / self.speed if self.speed > 0 else math.inf

    def advance_progress(self, now_s: float) -> float:
        """Bring the progress up to `now_s` and return it in seconds of run time."""
        self.progress_s += max(0.0, now_s - self.progress_at_s) * self.speed
        self.progress_at_s = max(self.progress_at_s, now_s)
        return self.progress_s

    def throttle(self, processors_millicores: int, now_s: float) -> None:
        """Change the reserved processors; a limit above the declared ones has no effect."""
        self.advance_progress(now_s)
        self.size = self.throttled_size(processors_millicores)

    def throttled_size(self, processors_millicores: int) -> ResourceVector:
        """Return the declared size with its processors limited to `processors_millicores`."""
        limit = min(max(0, processors_millicores), self.declared.processors_millicores)
        return attrs.evolve(self.declared, processors_millicores=limit)


class CheckpointStore:
    """Stores the progress of checkpointed tasks for all workers of a platform."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._progress_s: dict[TaskId, float] = {}

    def save(self, task: TaskId, progress_s: float) -> None:
        """Store the progress of a task in seconds of run time."""
        with self._lock:
            self._progress_s[task] = progress_s

    def load(self, task: TaskId) -> float:
        """Return the stored progress of a task in seconds; zero when there is no checkpoint."""
        with self._lock:
            return self._progress_s.get(task, 0.0)
