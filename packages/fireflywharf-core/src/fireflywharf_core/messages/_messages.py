"""Messages between entry VMs.

A one-way message is sent as its encoded bytes. A call is an `Envelope` with the encoded message as
`payload`; its answer is an `Envelope` with the same `call_id`.
"""

import attrs

from ..jobs import JobSpec
from ..platform import VmInfo
from ..records import TaggedCodec, VersionedContract
from ..resources import ResourceVector


@attrs.frozen(slots=True)
class Envelope:
    """Envelope of a call or of its answer.

    Args:
        sender: incarnation of the sender.
        call_id: identifier of the call, unique per sender and repeated in the answer.
        budget_ms: time that the caller will still wait.
        payload: encoded message.
    """

    sender: str
    call_id: int
    budget_ms: int
    payload: bytes


@attrs.frozen(slots=True)
class ServiceSlots:
    """Free and total request slots of one service at targets that the sender holds."""

    service: str
    free_count: int
    total_count: int


@attrs.frozen(slots=True, kw_only=True)
class Heartbeat:
    """State of an entry VM, sent to each peer in its failure domain.

    Args:
        incarnation: incarnation of the sender.
        vm_name: name of the VM.
        domain: failure domain of the sender.
        sequence: sequence number of the heartbeat.
        draining: whether the sender accepts nothing new.
        scheduler: whether the sender is the scheduler of the domain.
        held_workers_count: workers whose leases the sender holds.
        held_targets: names of held targets.
        slots: request slots by service at held targets.
        contracts_offset: offset of the contracts in force at the sender.
        jobs_offset: offset up to which the sender has read stream `jobs`.
        queued_requests_count: queued requests.
        mesh_address: address of the sender in the mesh.
    """

    incarnation: str
    vm_name: str
    domain: str
    sequence: int
    draining: bool = False
    scheduler: bool = False
    held_workers_count: int = 0
    held_targets: list[str] = attrs.field(factory=list)
    slots: list[ServiceSlots] = attrs.field(factory=list)
    contracts_offset: int = -1
    jobs_offset: int = -1
    queued_requests_count: int = 0
    mesh_address: str = ""


@attrs.frozen(slots=True, kw_only=True)
class DomainDigest:
    """Summary of a failure domain, sent to at most two entry VMs of each other domain.

    Args:
        incarnation: incarnation of the sender, the scheduler of the domain.
        vm_name: name of the VM.
        domain: failure domain of the sender.
        region: region of the sender.
        sequence: sequence number of the digest.
        free: sum of the free resources of the held workers.
        largest_free: free resources of the held worker that has the most.
        slots: request slots by service at targets that the sender holds.
        contracts_offset: offset of the contracts in force at the sender.
        set_aside_workers_count: workers that the scheduler has set aside.
        set_aside_targets_count: ejected targets of the sender.
        mesh_address: address of the sender in the mesh.
    """

    incarnation: str
    vm_name: str
    domain: str
    region: str
    sequence: int
    free: ResourceVector
    largest_free: ResourceVector
    slots: list[ServiceSlots] = attrs.field(factory=list)
    contracts_offset: int = -1
    set_aside_workers_count: int = 0
    set_aside_targets_count: int = 0
    mesh_address: str = ""


@attrs.frozen(slots=True, kw_only=True)
class ForwardRequest:
    """Forwards a request to the receiver, which sends it to a target that it holds.

    The receiver does not retry the request.

    Args:
        request_id: id of the send.
        customer: name of the contract.
        service: service that answers.
        kind: kind of request.
        idempotent: whether the request may run more than once.
        key: key of the request; empty if none.
        deadline_ms: time left until the deadline.
        body: body of the request.
        execute_issued_key: whether the receiver executes the requests of this key.
    """

    request_id: str
    customer: str
    service: str
    kind: str
    idempotent: bool
    key: str = ""
    deadline_ms: int
    body: bytes
    execute_issued_key: bool = False


@attrs.frozen(slots=True, kw_only=True)
class RequestAnswer:
    """Outcome of a forwarded request.

    Args:
        request_id: id of the forwarded request.
        code: number of a `ResultCode`.
        status: HTTP status of the target's answer; 0 without one.
        body: body of the target's answer.
        digest: hexadecimal SHA-256 of the body; empty without an answer.
        detail: cause in one sentence if there is no answer.
    """

    request_id: str
    code: int
    status: int = 0
    body: bytes = b""
    digest: str = ""
    detail: str = ""


@attrs.frozen(slots=True, kw_only=True)
class SubmitToScheduler:
    """Submits a job to a scheduler, for admission (`recorded` false) or start (`recorded` true).

    Args:
        spec: the job.
        recorded: whether the acceptance of the job is in the log.
        provisional: whether the job may run before it is recorded.
    """

    spec: JobSpec
    recorded: bool
    provisional: bool = False


@attrs.frozen(slots=True, kw_only=True)
class Verdict:
    """Answer to `SubmitToScheduler`.

    Args:
        code: number of a `ResultCode`.
        expected_late: whether the job is expected to miss its deadline.
        expected_start_s: expected time until the first task starts.
        detail: cause in one sentence; empty if accepted.
    """

    code: int
    expected_late: bool = False
    expected_start_s: float = 0.0
    detail: str = ""


@attrs.frozen(slots=True)
class JobQuery:
    """Asks the home domain of a job for its state."""

    job_id: str
    explain: bool = False


@attrs.frozen(slots=True, kw_only=True)
class JobAnswer:
    """State of a job; `code` is the number of a `ResultCode`."""

    job_id: str
    code: int
    state: str = ""
    tasks_waiting_count: int = 0
    tasks_running_count: int = 0
    tasks_done_count: int = 0
    late: bool = False
    recorded: bool = True
    explanation: str = ""
    waiting_s: float = 0.0


@attrs.frozen(slots=True)
class CancelJob:
    """Asks the scheduler of a job to cancel it."""

    job_id: str


@attrs.frozen(slots=True)
class ContractsSince:
    """Asks a peer for its contracts if they include records above `offset`."""

    offset: int


@attrs.frozen(slots=True)
class ContractsCatchUp:
    """All contracts of the answering peer after the record at `as_of_offset`."""

    as_of_offset: int
    contracts: list[VersionedContract]


@attrs.frozen(slots=True)
class Handover:
    """Announces that the sender is leaving and has released its leases.

    `workers` are the workers that it knows.
    """

    incarnation: str
    domain: str
    workers: list[VmInfo]


@attrs.frozen(slots=True)
class IdentityQuery:
    """Asks an entry VM for its incarnation; answered by `Identity`."""


@attrs.frozen(slots=True)
class Identity:
    """Incarnation and mesh address of the answering entry VM."""

    incarnation: str
    mesh_address: str


@attrs.frozen(slots=True)
class KnownWorkersQuery:
    """Asks a peer in the domain for the workers that it knows; answered by `WorkersKnown`."""


@attrs.frozen(slots=True)
class WorkersKnown:
    """Lists known workers: answers `KnownWorkersQuery`, or reports new ones while the log is down.

    A report is answered by `Acknowledged`.
    """

    workers: list[VmInfo]


@attrs.frozen(slots=True)
class Acknowledged:
    """Confirms that a message was processed."""

    detail: str = ""


MESSAGE_CODEC = TaggedCodec(
    [
        Envelope,
        Heartbeat,
        DomainDigest,
        ForwardRequest,
        RequestAnswer,
        SubmitToScheduler,
        Verdict,
        JobQuery,
        JobAnswer,
        CancelJob,
        ContractsSince,
        ContractsCatchUp,
        Handover,
        IdentityQuery,
        Identity,
        KnownWorkersQuery,
        WorkersKnown,
        Acknowledged,
    ],
    positional=[Envelope, Heartbeat, DomainDigest],
)
