"""Caller service: typed calls from the HTTP interface to the application, and their answers.

Methods return errors as `CallerError` values and do not raise them. An exception is a fault of the
daemon, and the caller gets `INTERNAL_ERROR`.

A method may return a `concurrent.futures.Future` of its answer, such as that of
`asyncio.run_coroutine_threadsafe`. The call then occupies no thread while it waits.
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
    """A refused or failed call.

    Args:
        code: result code; its class tells whether the call may have taken effect.
        detail: one sentence with the cause.
        problems: all errors of the input.
        retry_after_s: time after which a retry can succeed, in seconds; zero if unknown.
    """

    code: ResultCode
    detail: str
    problems: tuple[Problem, ...] = ()
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """A contract change that is not based on the current version and was not applied."""

    customer: str
    base_version: int
    current_version: int


@attrs.frozen(slots=True, kw_only=True)
class SubmitJob:
    """A job to submit.

    Args:
        spec: validated specification of the job.
        key: key of the caller; issued keys start with `k1.`.
        digest: SHA-256 of the submission in hexadecimal, which distinguishes a repeat from other
            content under the same key.
    """

    spec: JobSpec
    key: str
    digest: str


@attrs.frozen(slots=True, kw_only=True)
class SubmittedJob:
    """An accepted submission; `code` is `ACCEPTED`, `ACCEPTED_LATE` or `PROVISIONAL`."""

    code: ResultCode
    job_id: str
    state: JobState
    expected_late: bool = False
    detail: str = ""


@attrs.frozen(slots=True, kw_only=True)
class JobStatus:
    """State and task counts of a job.

    Args:
        job_id: identifier of the job.
        state: state of the job.
        tasks_waiting_count: number of waiting tasks.
        tasks_running_count: number of running tasks.
        tasks_done_count: number of completed tasks.
        late: whether the job missed its deadline.
        recorded: whether the acceptance of the job is in the log.
        explanation: reason for the state; only for `explain_job`.
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
    """A job whose cancellation was recorded; a job that had finished keeps its state."""

    job_id: str
    state: JobState


@attrs.frozen(slots=True, kw_only=True)
class JobRow:
    """A row of `JobListing`."""

    job_id: str
    customer: str
    kind: JobKind
    state: JobState
    home_domain: str
    late: bool = False


@attrs.frozen(slots=True)
class JobListing:
    """Jobs of one customer or of all customers."""

    jobs: list[JobRow]


@attrs.frozen(slots=True)
class IssueKeys:
    """Order of `count` request keys from this incarnation."""

    customer: str
    count: int


@attrs.frozen(slots=True)
class IssuedKeys:
    """Request keys, valid at every entry VM while the process that issued them runs."""

    keys: list[str]


@attrs.frozen(slots=True, kw_only=True)
class ExecuteRequest:
    """A request to execute at a target.

    Args:
        customer: name of the customer and its contract.
        service: service of the targets.
        kind: kind of the request; service times are estimated per kind.
        idempotent: whether the request may run more than once.
        body: body for the target.
        key: key of the caller, or empty.
        deadline_ms: time that the caller waits, in milliseconds; None for the default of the
            contract.
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
    """Identifier and outcome of a request."""

    request_id: str
    outcome: Outcome


@attrs.frozen(slots=True)
class ContractRow:
    """Contract of a customer with its version."""

    customer: str
    version: int
    contract: Contract


@attrs.frozen(slots=True)
class ContractListing:
    """All contracts in force as of the record at `offset` of the contracts stream."""

    contracts: list[ContractRow]
    offset: int


@attrs.frozen(slots=True, kw_only=True)
class ContractChange:
    """A change of a contract.

    Args:
        version: version that the change created, or would have created if it had won.
        author: author of the change.
        time_utc: time of the change in UTC, in ISO 8601 format.
        contract: content of the change.
        won: whether the change was applied, and not lost to a concurrent change.
    """

    version: int
    author: str
    time_utc: str
    contract: Contract
    won: bool


@attrs.frozen(slots=True)
class ContractHistory:
    """Changes of one contract that the log retains."""

    changes: list[ContractChange]


@attrs.frozen(slots=True, kw_only=True)
class ApplyContract:
    """A contract change that is based on `base_version` (0 for a new contract)."""

    base_version: int
    contract: Contract
    author: str


@attrs.frozen(slots=True)
class AppliedContract:
    """An applied contract change with its new version."""

    customer: str
    version: int


@attrs.frozen(slots=True)
class VmRow:
    """A row of the VM list with the lease holder and the health that this daemon knows.

    Args:
        vm: row of the VM list.
        held_by: incarnation that holds the lease, or empty if unknown.
        set_aside: whether the VM is set aside after failures and gets only probes.
    """

    vm: VmInfo
    held_by: str = ""
    set_aside: bool = False


@attrs.frozen(slots=True)
class VmListing:
    """VMs in the VM list."""

    vms: list[VmRow]


@attrs.frozen(slots=True, kw_only=True)
class PeerStatus:
    """A peer in the failure domain; `silent_s` is the time since its last heartbeat in seconds."""

    vm_name: str
    incarnation: str
    domain: str
    address: str
    alive: bool
    silent_s: float


@attrs.frozen(slots=True, kw_only=True)
class DomainStatus:
    """A failure domain as seen by this daemon."""

    domain: str
    region: str
    reachable: bool
    lost: bool = False
    scheduler: str = ""
    set_aside_workers_count: int = 0
    set_aside_targets_count: int = 0


@attrs.frozen(slots=True, kw_only=True)
class CustomerStatus:
    """Waiting requests, tasks and share of one customer."""

    customer: str
    waiting_requests_count: int = 0
    waiting_tasks_count: int = 0
    running_tasks_count: int = 0
    share: float = 0.0


@attrs.frozen(slots=True, kw_only=True)
class TargetRow:
    """A target of the failure domain as seen by this daemon."""

    name: str
    service: str
    held: bool
    free_slots_count: int
    slots_count: int
    set_aside: bool = False
    leaving: bool = False


@attrs.frozen(slots=True, kw_only=True)
class DaemonStatus:
    """Status of the daemon; `offsets` are the next offsets to read, by stream."""

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
    """Declaration of an operator that all workers of a failure domain have stopped."""

    domain: str
    author: str


@attrs.frozen(slots=True)
class LostDomain:
    """A failure domain whose loss is recorded."""

    domain: str


class CallerService(Protocol):
    """Calls of the HTTP interface to the application; called concurrently from many threads.

    All methods except `healthy` and `ready` may return a future of the answer.
    """

    def submit_job(self, job: SubmitJob) -> SubmittedJob | CallerError:
        """Submit a job and wait until it is accepted or refused."""

    def job_status(self, job_id: str) -> JobStatus | CallerError:
        """Return the state and the task counts of a job."""

    def explain_job(self, job_id: str) -> JobStatus | CallerError:
        """Return the state of a job and the reason for that state."""

    def cancel_job(self, job_id: str) -> CancelledJob | CallerError:
        """Cancel a job."""

    def list_jobs(self, customer: str | None) -> JobListing | CallerError:
        """Return the jobs of one customer, or of all customers if it is None."""

    def issue_keys(self, keys_request: IssueKeys) -> IssuedKeys | CallerError:
        """Issue request keys of this incarnation."""

    def execute_request(self, request: ExecuteRequest) -> RequestResult | CallerError:
        """Execute a request and wait for its outcome."""

    def list_contracts(self) -> ContractListing | CallerError:
        """Return all contracts in force."""

    def get_contract(self, customer: str) -> ContractRow | CallerError:
        """Return the contract of one customer."""

    def contract_history(self, customer: str) -> ContractHistory | CallerError:
        """Return the changes of one contract that the log retains."""

    def apply_contract(
        self, change: ApplyContract
    ) -> AppliedContract | VersionConflict | CallerError:
        """Apply a contract change and wait until it is durable in the log."""

    def list_vms(self) -> VmListing | CallerError:
        """Return the VM list with lease holders and set-aside VMs."""

    def status(self) -> DaemonStatus | CallerError:
        """Return the status of the daemon."""

    def declare_domain_lost(self, declared: DeclareDomainLost) -> LostDomain | CallerError:
        """Record in the log that a failure domain is lost."""

    def healthy(self) -> bool:
        """Return whether the threads of the daemon make progress."""

    def ready(self) -> bool:
        """Return whether the daemon is ready for new work."""
