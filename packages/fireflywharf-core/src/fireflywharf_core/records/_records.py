"""Records of the streams `contracts`, `jobs`, `keys` and `domain-NAME`."""

import attrs

from ..contracts import ContractApplied, ContractsSnapshot
from ..jobs import AttemptEnd, AttemptId, JobSpec, JobState
from ..platform import VmInfo
from ._codec import TaggedCodec


@attrs.frozen(slots=True, kw_only=True)
class JobAccepted:
    """Acceptance of a job, with its home failure domain; the first record of a job id wins."""

    spec: JobSpec
    home_domain: str
    accepted_utc_s: float
    submission_digest: str = ""
    expected_late: bool = False


@attrs.frozen(slots=True, kw_only=True)
class JobRefreshed:
    """Copy of a live job, written before the retention of the log deletes the earlier record."""

    spec: JobSpec
    home_domain: str
    accepted_utc_s: float
    submission_digest: str = ""
    cancel_requested: bool = False
    late: bool = False


@attrs.frozen(slots=True)
class JobCancelRequested:
    """Request of a caller to cancel a job."""

    job_id: str


@attrs.frozen(slots=True)
class JobLate:
    """A job was not finished at its deadline; repeated records have no further effect."""

    job_id: str


@attrs.frozen(slots=True)
class JobFinished:
    """Final state of a job; the first record of a job id wins."""

    job_id: str
    state: JobState
    late: bool = False
    detail: str = ""


@attrs.frozen(slots=True)
class DomainLost:
    """Assertion of an operator that all workers of a failure domain have stopped."""

    domain: str
    author: str = ""


@attrs.frozen(slots=True)
class KeyClaimed:
    """Claim of a request key that a caller chose; the first record of a key wins."""

    customer: str
    key: str
    incarnation: str
    request_digest: str
    claimed_utc_s: float


@attrs.frozen(slots=True)
class KeyOutcome:
    """Outcome of the request of a claimed key, with the answer unless it is too large.

    Args:
        customer: name of the contract.
        key: key that the caller chose.
        code: number of the result code.
        status: HTTP status of the target's answer.
        body: body of the answer, or None if it exceeds the limit.
    """

    customer: str
    key: str
    code: int
    status: int
    body: bytes | None


@attrs.frozen(slots=True)
class WorkerAdded:
    """Addition of a worker to those that the scheduler of the domain may use."""

    vm: VmInfo


@attrs.frozen(slots=True)
class WorkerRemoved:
    """Removal of a worker from the known workers."""

    name: str


@attrs.frozen(slots=True)
class StartIntent:
    """Intent to start an attempt, written before the start of a task that must not run twice."""

    attempt: AttemptId
    worker: str


@attrs.frozen(slots=True)
class TaskEnded:
    """End of an attempt, written before the end is acknowledged to the worker."""

    attempt: AttemptId
    end: AttemptEnd
    worker: str
    elapsed_s: float = 0.0


Record = (
    ContractApplied
    | ContractsSnapshot
    | JobAccepted
    | JobRefreshed
    | JobCancelRequested
    | JobLate
    | JobFinished
    | DomainLost
    | KeyClaimed
    | KeyOutcome
    | WorkerAdded
    | WorkerRemoved
    | StartIntent
    | TaskEnded
)

RECORD_CODEC = TaggedCodec(Record.__args__)
