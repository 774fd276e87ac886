"""Records of the streams `contracts`, `jobs`, `keys` and `domain-NAME`."""

import attrs

from ..contracts import ContractApplied, ContractsSnapshot
from ..jobs import AttemptEnd, AttemptId, JobSpec, JobState
from ..platform import VmInfo
from ._codec import TaggedCodec


@attrs.frozen(slots=True, kw_only=True)
class JobAccepted:
    """An accepted job and its home failure domain; the first record of a job id wins."""

    spec: JobSpec
    home_domain: str
    accepted_utc_s: float
    submission_digest: str = ""
    expected_late: bool = False


@attrs.frozen(slots=True, kw_only=True)
class JobRefreshed:
    """A live job, written again before retention removes its earlier record."""

    spec: JobSpec
    home_domain: str
    accepted_utc_s: float
    submission_digest: str = ""
    cancel_requested: bool = False
    late: bool = False


@attrs.frozen(slots=True)
class JobCancelRequested:
    """A caller cancelled a job."""

    job_id: str


@attrs.frozen(slots=True)
class JobLate:
    """A job passed its deadline unfinished; repeated records count once."""

    job_id: str


@attrs.frozen(slots=True)
class JobFinished:
    """Last state of a job; the first record of a job id wins."""

    job_id: str
    state: JobState
    late: bool = False
    detail: str = ""


@attrs.frozen(slots=True)
class DomainLost:
    """An operator asserts that the workers of a failure domain have stopped."""

    domain: str
    author: str = ""


@attrs.frozen(slots=True)
class KeyClaimed:
    """Claim of a caller's request key; the first record of a key wins."""

    customer: str
    key: str
    incarnation: str
    request_digest: str
    claimed_utc_s: float


@attrs.frozen(slots=True)
class KeyOutcome:
    """Outcome of a claimed key, with the answer if it is short enough to keep.

    Args:
        customer: name of the contract.
        key: the caller's key.
        code: result code.
        status: HTTP status of the target's answer.
        body: whole answer, or None when it exceeds the limit.
    """

    customer: str
    key: str
    code: int
    status: int
    body: bytes | None


@attrs.frozen(slots=True)
class WorkerAdded:
    """A worker that the scheduler of the domain may use from now on."""

    vm: VmInfo


@attrs.frozen(slots=True)
class WorkerRemoved:
    """A worker that no longer counts as known."""

    name: str


@attrs.frozen(slots=True)
class StartIntent:
    """Written before the start of a task that must not run again."""

    attempt: AttemptId
    worker: str


@attrs.frozen(slots=True)
class TaskEnded:
    """End of an attempt; written before the worker may forget it."""

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
