"""Reconciliation of the runs that earlier tenures may have left on the workers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ._confirmation import TenureConfirmation
from ._journal import Departure
from ._state import Worker
from ._timing import Timing


class Reconciliation:
    """Tells when all runs of earlier tenures are known or have ended.

    Reports and waits count only up to the latest confirmation of the tenure: a later one may renew
    the leases of the same runs.

    Args:
        workers: workers by id.
        confirmation: tells up to when no later tenure had begun.
        timing: timeouts of the deployment.
        workers_in_use: ids of the workers on which an earlier tenure may have started runs.
        departures: departures of these workers by id.
        leases_end_s: local time, in seconds, by which all leases of earlier tenures have expired.

    Attributes:
        assumed_ended_ids: ids of the workers that have not reported, and whose runs were assumed to
            have ended when the earlier runs were reconciled; None before.
    """

    def __init__(
        self,
        workers: Mapping[str, Worker],
        confirmation: TenureConfirmation,
        timing: Timing,
        workers_in_use: Iterable[str],
        departures: Mapping[str, Departure],
        leases_end_s: float,
    ) -> None:
        self._workers = workers
        self._confirmation = confirmation
        self._timing = timing
        self._workers_in_use = frozenset(workers_in_use)
        self._ended_ids: set[str] = set()
        self._departures = dict(departures)
        self.leases_end_s = leases_end_s
        self.assumed_ended_ids: frozenset[str] | None = None

    def mark_ended(self, worker_id: str) -> None:
        """Record that the earlier runs on a silent worker have ended."""
        self._ended_ids.add(worker_id)

    def is_complete(self, now_s: float) -> bool:
        """Return whether the earlier runs on all workers are known or have ended."""
        if self.assumed_ended_ids is None:
            self._expire_departures(now_s)
            pending = [i for i in self._workers_in_use if not self._is_accounted(i, now_s)]
            if not pending:
                self.assumed_ended_ids = frozenset(
                    i for i in self._workers_in_use if not self._has_reported(i)
                )
        return self.assumed_ended_ids is not None

    def _has_reported(self, worker_id: str) -> bool:
        worker = self._workers.get(worker_id)
        return worker is not None and worker.has_reported

    def _is_accounted(self, worker_id: str, now_s: float) -> bool:
        """Return whether the earlier runs on a worker are known or have ended.

        One that answers may still hold ends that it has not reported.
        """
        worker = self._workers.get(worker_id)
        if worker is not None and worker.has_reported:
            return self._confirmation.covers(worker.first_reported_s, now_s)
        if worker_id in self._ended_ids:
            return True
        has_answered = worker is not None and worker.reachable
        return not has_answered and self._confirmation.covers(self.leases_end_s, now_s)

    def _expire_departures(self, now_s: float) -> None:
        """Treat the runs on workers that left during an earlier tenure as ended in time.

        Orders that were on the way when the departure was recorded may still have been carried out.
        """
        wait_s = self._timing.lease_bound_s + self._timing.start_repeats_s
        for worker_id, departure in list(self._departures.items()):
            if worker_id in self._workers:
                del self._departures[worker_id]
            elif self._confirmation.covers(departure.read_s + wait_s, now_s):
                del self._departures[worker_id]
                self._ended_ids.add(worker_id)
