"""Data and events of the fold of stream `jobs`."""

from dataclasses import dataclass

import attrs

from ..jobs import JobKind, JobSpec, JobState


@attrs.define(slots=True)
class LiveJob:
    """An accepted job that has not finished.

    Args:
        spec: the job as submitted.
        home_domain: domain whose scheduler decides for it.
        accepted_utc_s: time of acceptance.
        submission_digest: digest of the submission, to tell a repeat from a conflict.
        expected_late: whether the submitter was told that it will be late.
        cancel_requested: whether it was cancelled.
        late: whether it is recorded as late.
        last_offset: offset of the newest record that names its specification.
        home_lost_s: time at which the loss of its home domain was read; None while it has a home.
    """

    spec: JobSpec
    home_domain: str
    accepted_utc_s: float
    submission_digest: str
    expected_late: bool = False
    cancel_requested: bool = False
    late: bool = False
    last_offset: int = -1
    home_lost_s: float | None = None


@attrs.define(slots=True)
class FinishedJob:
    """Outcome of a job, kept until the log deletes its record; `kind` is None if not known."""

    state: JobState
    late: bool
    detail: str
    offset: int
    customer: str = ""
    home_domain: str = ""
    submission_digest: str = ""
    kind: JobKind | None = None
    tasks_count: int = 0


@dataclass(frozen=True, slots=True)
class JobBecameLive:
    """The first record of a job; it is accepted."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobRepeated:
    """The same submission was recorded before."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobConflict:
    """Another submission with the same customer and key was recorded before."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """The cancellation of a live job was recorded for the first time."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobBecameLate:
    """A live job was recorded as late for the first time."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobEnded:
    """The outcome of a job was recorded for the first time."""

    job_id: str
    state: JobState


@dataclass(frozen=True, slots=True)
class JobRehomed:
    """A job of a lost domain has a new home."""

    job_id: str
    home_domain: str


@dataclass(frozen=True, slots=True)
class DomainDeclaredLost:
    """The live jobs of a domain have no home until another domain takes them over."""

    domain: str
    jobs_count: int


JobEvent = (
    JobBecameLive
    | JobRepeated
    | JobConflict
    | JobCancelled
    | JobBecameLate
    | JobEnded
    | JobRehomed
    | DomainDeclaredLost
)
