"""Identifiers of steps and tasks, composed of job, occurrence, step and task index."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True, order=True)
class StepName:
    """Identifies a step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}"


@attrs.frozen(slots=True, order=True)
class TaskName:
    """Identifies a task of a step."""

    step_name: StepName
    index: int

    def __str__(self) -> str:
        return f"{self.step_name}.{self.index}"
