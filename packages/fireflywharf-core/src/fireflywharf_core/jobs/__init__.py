"""Jobs, tasks and attempts."""

from ._job import AttemptEnd, AttemptId, JobKind, JobSpec, JobState, TaskId
from ._parse import job_id_of, parse_job

__all__ = [
    "AttemptEnd",
    "AttemptId",
    "JobKind",
    "JobSpec",
    "JobState",
    "TaskId",
    "job_id_of",
    "parse_job",
]
