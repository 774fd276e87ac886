"""Changes of the set of known workers of a failure domain."""

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
    """Return the next records about known workers that the acting scheduler may append.

    The set changes by one worker at a time, because majorities of two sets that differ by one
    worker always share a worker, so that no second scheduler can hold a majority of an older set.
    An empty set is the exception: nobody holds a majority of it.

    Args:
        known: known workers by name, from the fold.
        listed: workers of the domain in the VM list.
        unreachable_since_s: time since which a worker has not answered, for those that do not.
        change_pending: whether an earlier change is not yet folded.
        now_s: present time.
        task_lease_s: length of a task lease.

    Returns:
        At most one change, or all listed workers if none is known.
    """
    if change_pending:
        return []
    if not known:
        return [WorkerAdded(listed[name]) for name in sorted(listed)]
    for name in sorted(known):
        # A VM that replaced a worker under its name has another address and grants afresh, so it
        # counts as another worker.
        if name in listed and listed[name].address == known[name].address:
            continue
        silent_s = now_s - unreachable_since_s.get(name, now_s)
        if silent_s >= task_lease_s + margin_s(task_lease_s):
            return [WorkerRemoved(name)]
    new = sorted(name for name in listed if name not in known)
    return [WorkerAdded(listed[name]) for name in new[:1]]
