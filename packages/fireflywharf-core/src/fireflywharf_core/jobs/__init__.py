"""Jobs, tasks and attempts."""

from ._job import AttemptEnd, AttemptId, JobKind, JobSpec, JobState, TaskId
from ._parse import KEY_PATTERN, job_id_of, parse_job

__all__ = [
    "KEY_PATTERN",
    "AttemptEnd",
    "AttemptId",
    "JobKind",
    "JobSpec",
    "JobState",
    "TaskId",
    "job_id_of",
    "parse_job",
]
