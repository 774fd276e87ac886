"""Jobs, tasks and attempts."""

from ._job import AttemptEnd, AttemptId, JobKind, JobSpec, JobState, TaskId
from ._parse import KEY_PATTERN, derive_job_id, parse_job

__all__ = [
    "KEY_PATTERN",
    "AttemptEnd",
    "AttemptId",
    "JobKind",
    "JobSpec",
    "JobState",
    "TaskId",
    "derive_job_id",
    "parse_job",
]
