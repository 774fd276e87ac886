"""Data of the worker and target interfaces.

HTTP endpoints of a worker:

- `POST /v1/claim {"holder", "ttl_s", "renew_tasks"}` returns a `ClaimAnswer`. Task leases are
  renewed only if `renew_tasks` is true and the claim renews an unexpired lease, so that a delayed
  claim cannot extend task leases.
- `POST /v1/commands {"epoch", "commands"}` returns a list of `CommandAnswer`, or status 409 if the
  epoch is stale or the holder lease has expired. A command is an object
  `{"type": "StartAttempt", ...fields}`.
- `POST /v1/release {"epoch"}` releases the holder lease.
- `GET /v1/list` returns a `WorkerListing`.

A target has the same claim and release endpoints, and `GET /v1/status` returns a `TargetStatus`.
While another holder has an unexpired lease, a claim returns `granted` false.
"""

import attrs

from ..jobs import AttemptEnd, AttemptId
from ..resources import ResourceVector


@attrs.frozen(slots=True)
class RunningAttempt:
    """An attempt that a worker runs.

    Args:
        attempt: identifier of the attempt.
        size: resources that the worker reserves for the attempt.
        usage: last reported resource usage; None until the first report.
        elapsed_s: time since the start of the attempt.
    """

    attempt: AttemptId
    size: ResourceVector
    usage: ResourceVector | None = None
    elapsed_s: float = 0.0


@attrs.frozen(slots=True)
class EndedAttempt:
    """An ended attempt that the holder has not acknowledged yet."""

    attempt: AttemptId
    end: AttemptEnd
    elapsed_s: float = 0.0


@attrs.frozen(slots=True)
class ClaimAnswer:
    """Response to a claim.

    Args:
        granted: whether the caller now holds the lease.
        holder: current holder.
        epoch: current epoch.
        remaining_s: time until the current lease expires.
        leaving: whether the VM is leaving.
        running: running attempts; filled in only for the holder.
        ended: ended attempts that are not acknowledged; filled in only for the holder.
        in_progress: identifiers of the requests in progress; filled in only by targets.
        boot_id: identifier that changes when the worker or target restarts.
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
    """State and attempts of a worker; available to every caller."""

    boot_id: str
    epoch: int
    holder: str
    capacity: ResourceVector
    leaving: bool
    running: list[RunningAttempt]
    ended: list[EndedAttempt]


@attrs.frozen(slots=True)
class TargetStatus:
    """State of a target; available to every caller."""

    boot_id: str
    epoch: int
    leaving: bool
    in_progress: list[str]


@attrs.frozen(slots=True)
class StartAttempt:
    """Starts an attempt; refused if the worker does not have `size` free resources."""

    attempt: AttemptId
    size: ResourceVector
    command: str = ""
    run_time_s: float = 0.0


@attrs.frozen(slots=True)
class StopAttempt:
    """Stops an attempt, which then ends as `stopped`."""

    attempt: AttemptId


@attrs.frozen(slots=True)
class CheckpointAttempt:
    """Saves the progress of an attempt and stops it; the attempt ends as `checkpointed`."""

    attempt: AttemptId


@attrs.frozen(slots=True)
class ThrottleAttempt:
    """Limits the processor time of an attempt."""

    attempt: AttemptId
    processors_millicores: int


@attrs.frozen(slots=True)
class AcknowledgeAttempt:
    """Allows the worker to discard an ended attempt."""

    attempt: AttemptId


WorkerCommand = (
    StartAttempt | StopAttempt | CheckpointAttempt | ThrottleAttempt | AcknowledgeAttempt
)


@attrs.frozen(slots=True)
class CommandAnswer:
    """Response to one command.

    Args:
        accepted: whether the command took effect.
        reason: why the command was refused: `no_room`, `unknown_attempt` or `duplicate`; otherwise
            empty.
    """

    accepted: bool
    reason: str = ""
