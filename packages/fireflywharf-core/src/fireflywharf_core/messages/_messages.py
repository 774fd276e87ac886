"""Typed messages between entry VMs.

One-way messages travel as their encoded bytes. A call is an `Envelope` whose `payload` is the
encoded message; its answer is an `Envelope` with the same `call_id`.
"""

import attrs

from ..jobs import JobSpec
from ..platform import VmInfo
from ..records import TaggedCodec, VersionedContract
from ..resources import ResourceVector


@attrs.frozen(slots=True)
class Envelope:
    """Frame of a call or of its answer.

    Args:
        sender: incarnation of the sender.
        call_id: unique per sender; the answer repeats it.
        budget_ms: time that the caller still waits.
        payload: encoded message.
    """

    sender: str
    call_id: int
    budget_ms: int
    payload: bytes


@attrs.frozen(slots=True)
class ServiceSlots:
    """Free and total request slots of one service at one sender."""

    service: str
    free_count: int
    total_count: int


@attrs.frozen(slots=True, kw_only=True)
class Heartbeat:
    """State of one entry VM, sent to each peer of its failure domain."""

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
    """Summary of a failure domain, sent to at most two VMs of each other domain."""

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
    """A request for a target that the receiver holds; the receiver does not retry it."""

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
    """Outcome of a forwarded request; `code` is a `ResultCode` number."""

    request_id: str
    code: int
    status: int = 0
    body: bytes = b""
    digest: str = ""
    detail: str = ""


@attrs.frozen(slots=True, kw_only=True)
class SubmitToScheduler:
    """A job for admission (`recorded` false) or start (`recorded` true)."""

    spec: JobSpec
    recorded: bool
    provisional: bool = False


@attrs.frozen(slots=True, kw_only=True)
class Verdict:
    """Answer to `SubmitToScheduler`; `code` is a `ResultCode` number."""

    code: int
    expected_late: bool = False
    expected_start_s: float = 0.0
    detail: str = ""


@attrs.frozen(slots=True)
class JobQuery:
    """Asks the home domain for the state of a job."""

    job_id: str
    explain: bool = False


@attrs.frozen(slots=True, kw_only=True)
class JobAnswer:
    """State of a job; `code` is a `ResultCode` number."""

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
    """Cancels a job at its scheduler."""

    job_id: str


@attrs.frozen(slots=True)
class ContractsSince:
    """Asks a peer for its contracts if its offset is above `offset`."""

    offset: int


@attrs.frozen(slots=True)
class ContractsCatchUp:
    """All contracts of a peer after the record at `as_of_offset`."""

    as_of_offset: int
    contracts: list[VersionedContract]


@attrs.frozen(slots=True)
class Handover:
    """The sender has released what it held and leaves; `workers` are those it knows."""

    incarnation: str
    domain: str
    workers: list[VmInfo]


@attrs.frozen(slots=True)
class IdentityQuery:
    """Asks a process for its incarnation; answered by `Identity`."""


@attrs.frozen(slots=True)
class Identity:
    """Incarnation of the answering process and its mesh address."""

    incarnation: str
    mesh_address: str


@attrs.frozen(slots=True)
class KnownWorkersQuery:
    """Asks a peer of the domain for the workers that it knows; answered by `WorkersKnown`."""


@attrs.frozen(slots=True)
class WorkersKnown:
    """Tells a live peer of new workers while the log is down; answered by `Acknowledged`."""

    workers: list[VmInfo]


@attrs.frozen(slots=True)
class Acknowledged:
    """Positive answer without content."""

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
