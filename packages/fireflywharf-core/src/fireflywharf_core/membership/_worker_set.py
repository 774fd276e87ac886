"""Membership changes of the known workers of a failure domain."""

from collections.abc import Mapping

from ..leases import margin_s
from ..platform import VmInfo
from ..records import WorkerAdded, WorkerRemoved

TASK_LEASE_S = 30.0


def plan_worker_changes(
    known: Mapping[str, VmInfo],
    listed: Mapping[str, VmInfo],
    unreachable_since_s: Mapping[str, float],
    change_pending: bool,
    now_s: float,
    task_lease_s: float = TASK_LEASE_S,
) -> list[WorkerAdded | WorkerRemoved]:
    """Return the next membership records that the acting scheduler may append.

    The set changes by one worker at a time: majorities of two sets that differ by one worker always
    overlap, so that no second scheduler can hold a majority of an older set. Any number of workers
    may be added to an empty set, because no process can hold a majority of it.

    Args:
        known: known workers by name, from the log.
        listed: workers of the domain in the VM list, by name.
        unreachable_since_s: time since which each unreachable worker has not answered.
        change_pending: whether an earlier change has not been read from the log yet.
        now_s: current time in seconds.
        task_lease_s: duration of a task lease in seconds.

    Returns:
        At most one change, or the addition of all listed workers if none is known.
    """
    if change_pending:
        return []
    if not known:
        return [WorkerAdded(listed[name]) for name in sorted(listed)]
    for name in sorted(known):
        # A new VM with the name of a known worker has another address and no memory of granted
        # leases, so it counts as another worker.
        if name in listed and listed[name].address == known[name].address:
            continue
        silent_s = now_s - unreachable_since_s.get(name, now_s)
        if silent_s >= task_lease_s + margin_s(task_lease_s):
            return [WorkerRemoved(name)]
    new = sorted(name for name in listed if name not in known)
    return [WorkerAdded(listed[name]) for name in new[:1]]
