"""State and events of the fold of stream `jobs`."""

from dataclasses import dataclass

import attrs

from ..jobs import JobKind, JobSpec, JobState


@attrs.define(slots=True)
class LiveJob:
    """An accepted job that has not finished.

    Args:
        spec: the job as submitted.
        home_domain: failure domain whose scheduler runs the job.
        accepted_utc_s: time of acceptance.
        submission_digest: digest of the submission, to distinguish a repeat from a conflict.
        expected_late: whether the job was expected to miss its deadline when it was accepted.
        cancel_requested: whether the cancellation of the job is recorded.
        late: whether the job is recorded as late.
        last_offset: offset of the newest record that contains the specification.
        home_lost_s: time at which the loss of the home domain was read; None while it is not lost.
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
    """Outcome of a job, kept until the log deletes its record.

    Attributes:
        state: final state.
        late: whether the job is recorded as late.
        detail: explanation of the state.
        offset: offset of the newest record of the outcome.
        customer: name of the contract; empty if the accepted record was not read, like the
            following attributes.
        home_domain: failure domain whose scheduler ran the job.
        submission_digest: digest of the submission.
        kind: kind of the job; None if not known.
        tasks_count: number of tasks; 0 if not known.
    """

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
    """The first record of a job was read, which makes it accepted."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobRepeated:
    """A submission was recorded again."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobConflict:
    """A submission was recorded under the customer and key of a different earlier one."""

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
    """A job of a lost domain was adopted by another domain."""

    job_id: str
    home_domain: str


@dataclass(frozen=True, slots=True)
class DomainDeclaredLost:
    """A domain was declared lost; its live jobs wait until another domain adopts them."""

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
