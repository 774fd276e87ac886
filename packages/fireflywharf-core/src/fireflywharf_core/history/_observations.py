"""History records written by callers, operators and tests about what they observed.

`time_s` is read from the machine's monotonic clock, which all processes of a run share.
"""

from typing import Literal

import attrs

RequestOutcome = Literal["completed", "not_run", "unknown", "lost"]


@attrs.frozen(slots=True, kw_only=True)
class RequestSent:
    """A caller sent a request to an entry VM.

    Args:
        time_s: time before the first byte was sent.
        call: unique per call.
        operation: identifies the requested operation and is shared by all retries of a call. It is
            the `echo` field of the body.
        entry_vm: name of the entry VM that receives the request.
        customer: name of the contract.
        kind: kind of the request.
        idempotent: whether the request may run more than once.
        body_digest: SHA-256 of the body in hexadecimal.
    """

    time_s: float
    call: str
    operation: str
    entry_vm: str
    customer: str = ""
    kind: str = ""
    idempotent: bool
    body_digest: str = ""


@attrs.frozen(slots=True, kw_only=True)
class RequestAnswered:
    """A caller got the answer to a call, or lost the connection.

    Args:
        time_s: time after the last byte was received.
        call: `call` of the `RequestSent` record.
        outcome: class of the result code; `lost` when the connection broke before the complete
            answer arrived.
        echoed_digest: SHA-256 of the body that the target echoed, for completed calls.
    """

    time_s: float
    call: str
    outcome: RequestOutcome
    echoed_digest: str = ""


@attrs.frozen(slots=True, kw_only=True)
class JobAcceptedSeen:
    """A caller received the answer that its job is accepted.

    Args:
        time_s: time after the answer was received.
        job_id: identifier of the job.
        customer: name of the contract.
        tasks_count: number of tasks.
        deadline_s: time in seconds from submission until the job must be done; None without a
            deadline.
        restartable: whether a task may be started again after an attempt was lost.
    """

    time_s: float
    job_id: str
    customer: str
    tasks_count: int = 1
    deadline_s: float | None = None
    restartable: bool = True


@attrs.frozen(slots=True, kw_only=True)
class JobStateSeen:
    """An entry VM reported the state of a job.

    Args:
        time_s: time after the answer was received.
        job_id: identifier of the job.
        state: a `JobState` value, or `missing` when the entry VM does not know the job.
        late: whether the job was reported late.
        recorded: whether the state was reported as recorded in the log; only a recorded end state
            is final.
    """

    time_s: float
    job_id: str
    state: str
    late: bool = False
    recorded: bool = True


@attrs.frozen(slots=True, kw_only=True)
class ContractApplied:
    """An operator received the answer that a contract version is applied."""

    time_s: float
    customer: str
    version: int


@attrs.frozen(slots=True, kw_only=True)
class ContractSeen:
    """An entry VM reported the version in force; 0 when it knows no contract of the customer."""

    time_s: float
    entry_vm: str
    customer: str
    version: int


@attrs.frozen(slots=True, kw_only=True)
class EntryVmDown:
    """The test killed, paused or partitioned an entry VM.

    Args:
        time_s: time of the fault; for a kill, a time after the process has ended.
        entry_vm: name of the entry VM.
        killed: whether the fault was a kill.
        since_s: for a kill, a time before the signal was sent; connections can break at any time
            between `since_s` and `time_s`. None when the kill took no time.
    """

    time_s: float
    entry_vm: str
    killed: bool = False
    since_s: float | None = None


@attrs.frozen(slots=True, kw_only=True)
class EntryVmUp:
    """An entry VM became ready, for the first time or again."""

    time_s: float
    entry_vm: str


@attrs.frozen(slots=True, kw_only=True)
class ShutdownRequested:
    """SIGTERM was sent to the daemon of an entry VM."""

    time_s: float
    entry_vm: str


@attrs.frozen(slots=True, kw_only=True)
class ShutdownFinished:
    """The daemon of an entry VM exited after `ShutdownRequested`."""

    time_s: float
    entry_vm: str
    exit_status: int
