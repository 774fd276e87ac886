"""Names of tasks: job, occurrence, step and index."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True, order=True)
class StepName:
    """A step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


@attrs.frozen(slots=True, order=True)
class TaskName:
    """A task of a step."""

    step_name: StepName
    index: int
