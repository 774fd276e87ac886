"""Data of the worker and target interfaces.

HTTP mapping of a worker: `POST /v1/claim {"holder", "ttl_s", "renew_tasks"}` answers a
`ClaimAnswer`; task leases are renewed only if `renew_tasks` is true and the claim renews an
unexpired lease, so that a delayed claim cannot prolong tasks;
`POST /v1/commands {"epoch", "commands"}` answers a list of `CommandAnswer`, or 409 when the epoch
is stale or the holder lease has lapsed; `POST /v1/release {"epoch"}`; `GET /v1/list` answers a
`WorkerListing`. A command is an object `{"type": "StartAttempt", ...fields}`.

A target has the same claim and release, and `GET /v1/status` answers a `TargetStatus`. A claim that
another holder's unexpired lease prevents has `granted` false.
"""

import attrs

from ..jobs import AttemptEnd, AttemptId
from ..resources import ResourceVector


@attrs.frozen(slots=True)
class RunningAttempt:
    """An attempt that a worker runs.

    Args:
        attempt: identifier.
        size: size that the worker reserves for it.
        usage: last reported use; None until the first report.
        elapsed_s: time since its start.
    """

    attempt: AttemptId
    size: ResourceVector
    usage: ResourceVector | None = None
    elapsed_s: float = 0.0


@attrs.frozen(slots=True)
class EndedAttempt:
    """An attempt that ended and was not yet acknowledged."""

    attempt: AttemptId
    end: AttemptEnd
    elapsed_s: float = 0.0


@attrs.frozen(slots=True)
class ClaimAnswer:
    """Answer to a claim.

    Args:
        granted: whether the caller holds the lease now.
        holder: present holder.
        epoch: present epoch.
        remaining_s: time until the present lease lapses.
        leaving: whether the VM is leaving.
        running: running attempts; for the holder only.
        ended: ended attempts that were not acknowledged; for the holder only.
        in_progress: request ids in progress; targets only.
        boot_id: changes when the worker or target restarts.
    """

    granted: bool
    holder: str
    epoch: int
    remaining_s: float
    leaving: bool = False
    running: list[RunningAttempt] = attrs.field(factory=list)
    ended: list[EndedAttempt] = attrs.field(factory=list)
    in_progress: list[str] = attrs.field(factory=list)
    boot_id: str = ""


@attrs.frozen(slots=True)
class WorkerListing:
    """Everything that a worker runs; open to any caller."""

    boot_id: str
    epoch: int
    holder: str
    capacity: ResourceVector
    leaving: bool
    running: list[RunningAttempt]
    ended: list[EndedAttempt]


@attrs.frozen(slots=True)
class TargetStatus:
    """State of a target; open to any caller."""

    boot_id: str
    epoch: int
    leaving: bool
    in_progress: list[str]


@attrs.frozen(slots=True)
class StartAttempt:
    """Starts an attempt; refused when the worker has no room for `size`."""

    attempt: AttemptId
    size: ResourceVector
    command: str = ""
    run_time_s: float = 0.0


@attrs.frozen(slots=True)
class StopAttempt:
    """Stops an attempt; it ends as `stopped`."""

    attempt: AttemptId


@attrs.frozen(slots=True)
class CheckpointAttempt:
    """Saves the progress of an attempt and ends it as `checkpointed`."""

    attempt: AttemptId


@attrs.frozen(slots=True)
class ThrottleAttempt:
    """Limits the processors of an attempt."""

    attempt: AttemptId
    processors_millicores: int


@attrs.frozen(slots=True)
class AcknowledgeAttempt:
    """Lets the worker forget an ended attempt."""

    attempt: AttemptId


WorkerCommand = (
    StartAttempt | StopAttempt | CheckpointAttempt | ThrottleAttempt | AcknowledgeAttempt
)


@attrs.frozen(slots=True)
class CommandAnswer:
    """Answer to one command.

    Args:
        accepted: whether the command took effect.
        reason: `no_room`, `unknown_attempt`, `duplicate` or empty.
    """

    accepted: bool
    reason: str = ""
