"""Stand-in for the platform's VM list."""

import bisect
import threading
import time
from collections.abc import Callable

import attrs

from fireflywharf_core.history import VmAdded, VmLeaving, VmRemoved
from fireflywharf_core.platform import VmInfo, VmState

from ._recorder import HistoryRecorder
from ._server import Answer, Call, json_answer


class VmListStandIn:
    """Serves the list of VMs with a lag: callers see the VMs as they were some time ago.

    Args:
        lag_s: age of the served list in seconds.
        recorder: receives each change at the time at which it is made, before callers see it.
        clock: monotonic clock in seconds.
    """

    def __init__(
        self, lag_s: float, recorder: HistoryRecorder, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.lag_s = lag_s
        self.recorder = recorder
        self.clock = clock
        self._lock = threading.Lock()
        self._snapshot_times_s: list[float] = []
        self._snapshots: list[dict[str, VmInfo]] = []

    def add(self, *vms: VmInfo) -> None:
        """Add VMs; a VM replaces one of the same name."""
        now_s = self._apply_change(
            lambda vms_by_name: vms_by_name.update({vm.name: vm for vm in vms})
        )
        for vm in vms:
            self.recorder.add(VmAdded(time_s=now_s, vm=vm.name))

    def remove(self, name: str) -> None:
        """Remove a VM.

        Raises:
            KeyError: the list has no VM of this name.
        """
        now_s = self._apply_change(lambda vms_by_name: vms_by_name.pop(name))
        self.recorder.add(VmRemoved(time_s=now_s, vm=name))

    def mark_leaving(self, name: str) -> None:
        """Set the state of a VM to `leaving`.

        Raises:
            KeyError: the list has no VM of this name.
        """

        def change(vms_by_name: dict[str, VmInfo]) -> None:
            vms_by_name[name] = attrs.evolve(vms_by_name[name], state=VmState.LEAVING)

        now_s = self._apply_change(change)
        self.recorder.add(VmLeaving(time_s=now_s, vm=name))

    def current_vms(self) -> list[VmInfo]:
        """Return the VMs as they are now, without the lag."""
        with self._lock:
            return list(self._snapshots[-1].values()) if self._snapshots else []

    def lagged_vms(self, extra_lag_s: float = 0.0) -> list[VmInfo]:
        """Return the VMs as of `lag_s + extra_lag_s` seconds ago, or the first list if newer."""
        with self._lock:
            if not self._snapshots:
                return []
            at_s = self.clock() - self.lag_s - extra_lag_s
            index = max(0, bisect.bisect_right(self._snapshot_times_s, at_s) - 1)
            return list(self._snapshots[index].values())

    def handle(self, call: Call, extra_lag_s: float = 0.0) -> Answer:
        """Answer an HTTP call; `extra_lag_s` is added to the lag in seconds."""
        if call.faults.fail:
            return json_answer({"detail": "internal error of the VM list"}, 500)
        if call.method == "GET" and call.path == "/v1/vms":
            return json_answer(self.lagged_vms(extra_lag_s))
        return json_answer({"detail": f"no such route: {call.method} {call.path}"}, 404)

    def _apply_change(self, change: Callable[[dict[str, VmInfo]], object]) -> float:
        """Apply `change` to a copy of the newest list and return the time of the change."""
        with self._lock:
            vms_by_name = dict(self._snapshots[-1]) if self._snapshots else {}
            change(vms_by_name)
            now_s = self.clock()
            self._snapshot_times_s.append(now_s)
            self._snapshots.append(vms_by_name)
            return now_s
