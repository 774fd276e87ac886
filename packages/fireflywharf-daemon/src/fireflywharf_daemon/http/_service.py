"""What the HTTP interface asks of the application, with typed arguments and answers.

A method answers an error value instead of raising. An exception means a fault of the daemon; the
caller gets `INTERNAL_ERROR`.

A method may also return a `concurrent.futures.Future` of its answer, such as that of
`asyncio.run_coroutine_threadsafe`. The call then holds no thread while it waits.
"""

from dataclasses import dataclass
from typing import Protocol

import attrs

from fireflywharf_core.contracts import Contract
from fireflywharf_core.jobs import JobKind, JobSpec, JobState
from fireflywharf_core.platform import VmInfo
from fireflywharf_core.results import Outcome, Problem, ResultCode


@dataclass(frozen=True, slots=True)
class CallerError:
    """A call that was refused or that failed.

    Args:
        code: result code; its class says what the caller may conclude.
        detail: one sentence that names the cause.
        problems: every error of the input.
        retry_after_s: earliest time at which a repeat can help; zero if unknown.
    """

    code: ResultCode
    detail: str
    problems: tuple[Problem, ...] = ()
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """A contract change that lost a race; the present version has other content."""

    customer: str
    base_version: int
    current_version: int


@attrs.frozen(slots=True, kw_only=True)
class SubmitJob:
    """A job to submit.

    Args:
        spec: parsed job.
        key: key of the caller; an issued key starts with `k1.`.
        digest: SHA-256 of the submission, to tell a repeat from other content under the same key.
    """

    spec: JobSpec
    key: str
    digest: str


@attrs.frozen(slots=True, kw_only=True)
class SubmittedJob:
    """Verdict on a submission: `ACCEPTED`, `ACCEPTED_LATE` or `PROVISIONAL`."""

    code: ResultCode
    job_id: str
    state: JobState
    expected_late: bool = False
    detail: str = ""


@attrs.frozen(slots=True, kw_only=True)
class JobStatus:
    """State of a job.

    Args:
        job_id: identifier.
        state: state.
        tasks_waiting_count: tasks that wait.
        tasks_running_count: tasks that run.
        tasks_done_count: tasks that are done.
        late: whether the job passed its deadline.
        recorded: whether the state is in the log.
        explanation: why the job is in this state; for `explain_job`.
    """

    job_id: str
    state: JobState
    tasks_waiting_count: int = 0
    tasks_running_count: int = 0
    tasks_done_count: int = 0
    late: bool = False
    recorded: bool = True
    explanation: str = ""


@attrs.frozen(slots=True)
class CancelledJob:
    """A job after its cancellation was recorded; a finished job keeps its state."""

    job_id: str
    state: JobState


@attrs.frozen(slots=True, kw_only=True)
class JobRow:
    """One job in a list."""

    job_id: str
    customer: str
    kind: JobKind
    state: JobState
    home_domain: str
    late: bool = False


@attrs.frozen(slots=True)
class JobListing:
    """Jobs of one customer, or of all."""

    jobs: list[JobRow]


@attrs.frozen(slots=True)
class IssueKeys:
    """Asks for request keys of this incarnation."""

    customer: str
    count: int


@attrs.frozen(slots=True)
class IssuedKeys:
    """Request keys that are valid at every entry VM while the issuing incarnation lives."""

    keys: list[str]


@attrs.frozen(slots=True, kw_only=True)
class ExecuteRequest:
    """A request to execute.

    Args:
        customer: name of the contract.
        service: service that answers.
        kind: kind under which service times are learned.
        idempotent: whether it may run more than once.
        body: content for the target.
        key: key of the caller, or empty.
        deadline_ms: time that the caller waits; None for the default of the contract.
    """

    customer: str
    service: str
    kind: str
    idempotent: bool
    body: bytes
    key: str = ""
    deadline_ms: int | None = None


@attrs.frozen(slots=True)
class RequestResult:
    """Outcome of a request."""

    request_id: str
    outcome: Outcome


@attrs.frozen(slots=True)
class ContractRow:
    """A contract and its version."""

    customer: str
    version: int
    contract: Contract


@attrs.frozen(slots=True)
class ContractListing:
    """All contracts after the record at `offset` of the contracts stream."""

    contracts: list[ContractRow]
    offset: int


@attrs.frozen(slots=True, kw_only=True)
class ContractChange:
    """A change of a contract; `version` is the version that it gave or asked for."""

    version: int
    author: str
    time_utc: str
    contract: Contract
    won: bool


@attrs.frozen(slots=True)
class ContractHistory:
    """Changes of one contract that the log still keeps."""

    changes: list[ContractChange]


@attrs.frozen(slots=True, kw_only=True)
class ApplyContract:
    """A contract change on top of `base_version` (0 for a new contract)."""

    base_version: int
    contract: Contract
    author: str


@attrs.frozen(slots=True)
class AppliedContract:
    """A contract change that won and is in the log."""

    customer: str
    version: int


@attrs.frozen(slots=True)
class VmRow:
    """A row of the VM list with what this daemon knows about the VM.

    Args:
        vm: row of the VM list.
        held_by: incarnation that holds the lease, as far as known.
        set_aside: whether the VM gets only probes.
    """

    vm: VmInfo
    held_by: str = ""
    set_aside: bool = False


@attrs.frozen(slots=True)
class VmListing:
    """Known VMs."""

    vms: list[VmRow]


@attrs.frozen(slots=True, kw_only=True)
class PeerStatus:
    """Another entry VM as membership sees it."""

    vm_name: str
    incarnation: str
    domain: str
    address: str
    alive: bool
    silent_s: float


@attrs.frozen(slots=True, kw_only=True)
class DomainStatus:
    """A failure domain as this daemon sees it."""

    domain: str
    region: str
    reachable: bool
    lost: bool = False
    scheduler: str = ""
    set_aside_workers_count: int = 0
    set_aside_targets_count: int = 0


@attrs.frozen(slots=True, kw_only=True)
class CustomerStatus:
    """Queues and share of one customer."""

    customer: str
    waiting_requests_count: int = 0
    waiting_tasks_count: int = 0
    running_tasks_count: int = 0
    share: float = 0.0


@attrs.frozen(slots=True, kw_only=True)
class TargetRow:
    """A target as this daemon sees it."""

    name: str
    service: str
    held: bool
    free_slots_count: int
    slots_count: int
    set_aside: bool = False
    leaving: bool = False


@attrs.frozen(slots=True, kw_only=True)
class DaemonStatus:
    """State of the daemon; `offsets` are the next offsets by stream."""

    vm_name: str
    incarnation: str
    domain: str
    region: str
    scheduler: bool
    ready: bool
    draining: bool
    log_available: bool
    peers: list[PeerStatus] = attrs.field(factory=list)
    domains: list[DomainStatus] = attrs.field(factory=list)
    offsets: dict[str, int] = attrs.field(factory=dict)
    customers: list[CustomerStatus] = attrs.field(factory=list)
    targets: list[TargetRow] = attrs.field(factory=list)


@attrs.frozen(slots=True)
class DeclareDomainLost:
    """An operator asserts that the workers of a failure domain have stopped."""

    domain: str
    author: str


@attrs.frozen(slots=True)
class LostDomain:
    """A failure domain whose loss is recorded."""

    domain: str


class CallerService(Protocol):
    """Calls that the HTTP interface passes on; called from many threads at once.

    Each method but `healthy` and `ready` may return a future of its answer.
    """

    def submit_job(self, job: SubmitJob) -> SubmittedJob | CallerError:
        """Submit a job."""

    def job_status(self, job_id: str) -> JobStatus | CallerError:
        """Return the state of a job."""

    def explain_job(self, job_id: str) -> JobStatus | CallerError:
        """Return the state of a job with an explanation."""

    def cancel_job(self, job_id: str) -> CancelledJob | CallerError:
        """Cancel a job."""

    def list_jobs(self, customer: str | None) -> JobListing | CallerError:
        """Return the jobs of one customer, or of all."""

    def issue_keys(self, keys_request: IssueKeys) -> IssuedKeys | CallerError:
        """Issue request keys."""

    def execute_request(self, request: ExecuteRequest) -> RequestResult | CallerError:
        """Execute a request and wait for its outcome."""

    def list_contracts(self) -> ContractListing | CallerError:
        """Return all contracts."""

    def get_contract(self, customer: str) -> ContractRow | CallerError:
        """Return one contract."""

    def contract_history(self, customer: str) -> ContractHistory | CallerError:
        """Return the changes of one contract."""

    def apply_contract(
        self, change: ApplyContract
    ) -> AppliedContract | VersionConflict | CallerError:
        """Apply a contract change and wait until it is in the log."""

    def list_vms(self) -> VmListing | CallerError:
        """Return the VM list."""

    def status(self) -> DaemonStatus | CallerError:
        """Return the state of the daemon."""

    def declare_domain_lost(self, declared: DeclareDomainLost) -> LostDomain | CallerError:
        """Record the loss of a failure domain."""

    def healthy(self) -> bool:
        """Return whether the threads of the daemon make progress."""

    def ready(self) -> bool:
        """Return whether the daemon may get work."""
