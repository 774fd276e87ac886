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
        started_s: local time of the start of the tenure, in seconds.

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
        started_s: float,
    ) -> None:
        self._workers = workers
        self._confirmation = confirmation
        self._timing = timing
        self._unreconciled = set(workers_in_use)
        self._departures = dict(departures)
        self._started_s = started_s
        self.assumed_ended_ids: frozenset[str] | None = None

    def mark_reconciled(self, worker_id: str) -> None:
        """Record that the earlier runs on a worker are known or have ended."""
        self._unreconciled.discard(worker_id)

    def is_complete(self, now_s: float) -> bool:
        """Return whether the earlier runs on all workers are known or have ended."""
        if self.assumed_ended_ids is None:
            # A silent worker has ended its runs after the wait; one that answers may still hold
            # ends that it has not reported.
            wait_end_s = self._started_s + self._timing.inherited_wait_s
            waited = self._confirmation.covers(wait_end_s, now_s) and not any(
                worker.reachable and not worker.has_reported for worker in self._workers.values()
            )
            self._expire_departures(now_s)
            known = all(
                worker.has_reported and self._confirmation.covers(worker.first_reported_s, now_s)
                for worker in self._workers.values()
            )
            if waited or (known and not self._unreconciled):
                silent = {w.worker_id for w in self._workers.values() if not w.has_reported}
                self.assumed_ended_ids = frozenset(self._unreconciled | silent)
        return self.assumed_ended_ids is not None

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
                self._unreconciled.discard(worker_id)
