"""Placement of the waiting tasks of a step: tickets, capacity, reservations and starts."""

from __future__ import annotations

from collections.abc import Mapping

from ..resources import ResourceVector
from ._approvals import TicketTracker
from ._confirmation import TenureConfirmation
from ._events import StopCause
from ._headroom import LONG_RUNNING_WAIT_MAX_S, Headroom
from ._names import TaskName
from ._placement import assign_gang, assign_singles
from ._reservations import Reservations, eventual_count
from ._runs import RunTable
from ._state import Run, RunPhase, Step, Worker

PLACEMENT_RETRY_S = 0.03
"""Minimum time between attempts to place a step; a tenth of the slack of the most urgent jobs."""
PROMPT_STEPS_COUNT = 32
"""Number of waiting steps, in the order of placement, that are tried again after each change."""
CROWDED_RETRY_S = 0.1
"""Minimum time between attempts to place a step behind `PROMPT_STEPS_COUNT` others.

Urgent jobs have a slack of some tenths of a second, so they are not delayed in this way. All steps
that have just arrived or got tickets are tried at once."""
BLOCKED_RETRY_S = 1.0
"""Maximum time between attempts to place a step, whether or not capacity has become free.

Time alone also makes room: times aside, reservations and places kept for urgent tasks expire."""


class StepPlacer:
    """Places the waiting tasks of one step at a time.

    Args:
        runs: runs of all tasks.
        ticket_tracker: requests tickets of the approval service.
        reservations: capacity that is reserved for gangs.
        headroom: places that are kept for urgent tasks.
        confirmation: tells up to when no later tenure had begun.

    Attributes:
        is_reconciled: whether all runs of earlier tenures are known or have ended.
    """

    def __init__(
        self,
        runs: RunTable,
        ticket_tracker: TicketTracker,
        reservations: Reservations,
        headroom: Headroom,
        confirmation: TenureConfirmation,
    ) -> None:
        self.runs = runs
        self.ticket_tracker = ticket_tracker
        self.reservations = reservations
        self.headroom = headroom
        self.confirmation = confirmation
        self.is_reconciled = False

    def should_place(self, step: Step, position: int, now_s: float) -> bool:
        """Return whether another attempt to place a step may succeed.

        Load pattern: in a burst, hundreds of steps wait, and every run that ends triggers a
        decision. If each of them tries to place every step, the decisions take all of the
        scheduler's processor, and the urgent jobs that arrive meanwhile wait for it. Steps are
        therefore skipped for a while if no capacity has become free since the last attempt, or if
        many others come before them.

        Args:
            step: the step.
            position: number of waiting steps that come before it in the order of placement.
            now_s: current local time, in seconds.
        """
        if step.blocked_version == -1:
            return True
        is_prompt = position < PROMPT_STEPS_COUNT or self.headroom.is_urgent(step.job)
        interval_s = PLACEMENT_RETRY_S if is_prompt else CROWDED_RETRY_S
        if now_s < max(step.retry_s, step.last_attempt_s + interval_s):
            return False
        return (
            step.blocked_version != self.runs.capacity_version
            or step.job.queue.approval is not None
            or now_s >= step.last_attempt_s + BLOCKED_RETRY_S
        )

    def place(self, step: Step, workers: Mapping[str, Worker], now_s: float) -> None:
        """Start the waiting tasks that find a place, and request or reserve what others need.

        Args:
            step: the step.
            workers: usable workers of its service, by id.
            now_s: current local time, in seconds.
        """
        step.blocked_version, step.last_attempt_s = self.runs.capacity_version, now_s
        if step.spec.gang and step.runs:
            # A member has ended or did not start, so the gang cannot be complete.
            for run in step.runs.values():
                self.runs.order_stop(run, StopCause.GANG_MEMBER_ENDED, now_s)
            return
        allowed_count = self.runs.ledger.count_startable(step)
        if not allowed_count:
            self.reservations.release(step)
            return
        if not self.ticket_tracker.request_tickets(step, workers, allowed_count, now_s):
            return
        indices = self._find_startable_tasks(step, now_s)[:allowed_count]
        if not indices:
            return
        if step.unplaced_s is None:
            step.unplaced_s = now_s
        free_by_worker = self._free_capacity(step, workers, now_s)
        limited_by_worker = self._limit_to_headroom(step, free_by_worker)
        pairs = self._assign_tasks(step, limited_by_worker, indices, now_s)
        if not pairs and self._may_use_headroom(step, workers, now_s):
            pairs = self._assign_tasks(step, free_by_worker, indices, now_s)
        number = self.runs.next_number(step, indices) if step.spec.gang else 0
        for index, worker in pairs:
            self._start_run(step, index, worker, number, now_s)
        if not step.waiting:
            step.unplaced_s = None
            self.reservations.release(step)
        elif step.spec.gang:
            self._reserve_for_gang(step, workers, now_s)
        else:
            self._renew_tickets(step, workers, now_s)

    def _free_capacity(
        self, step: Step, workers: Mapping[str, Worker], now_s: float, accept_expired: bool = False
    ) -> dict[Worker, ResourceVector]:
        """Return the available capacity of the workers that may run a step.

        Workers with expired tickets are included if `accept_expired` is true.
        """
        if step.job.queue.approval is None:
            return {worker: worker.available_capacity(step, now_s) for worker in workers.values()}
        allowed = [
            workers[worker_id]
            for worker_id in step.tickets
            if worker_id in workers
            and self.ticket_tracker.is_allowed(step, worker_id, now_s, accept_expired)
        ]
        return {worker: worker.available_capacity(step, now_s) for worker in allowed}

    def _find_startable_tasks(self, step: Step, now_s: float) -> list[int]:
        """Return the waiting tasks that may be started; those of a gang only together.

        A task whose run was found missing waits for a confirmation: a later tenure may have
        acknowledged the end of that run or moved it.
        """
        indices = [
            index
            for index in sorted(step.find_accounted(self.is_reconciled))
            if self.confirmation.covers(step.lost_s.get(index, float("-inf")), now_s)
        ]
        return [] if step.spec.gang and len(indices) < len(step.waiting) else indices

    def _limit_to_headroom(
        self, step: Step, free_by_worker: dict[Worker, ResourceVector]
    ) -> dict[Worker, ResourceVector]:
        """Return the capacity without the places that are kept for urgent tasks."""
        is_urgent = self.headroom.is_urgent(step.job) or step.gang_plan is not None
        if is_urgent and not step.job.is_excess:
            return free_by_worker
        return {
            worker: self.headroom.limit(worker, free) for worker, free in free_by_worker.items()
        }

    def _may_use_headroom(self, step: Step, workers: Mapping[str, Worker], now_s: float) -> bool:
        """Return whether a step that finds no other place may use those kept for urgent tasks.

        It may while much of the capacity is free, or if places are kept on all workers that can run
        its tasks. Otherwise, it would wait for as long as urgent tasks are expected. A long-running
        step may after `LONG_RUNNING_WAIT_MAX_S`, because nothing bounds the runs on other workers.
        """
        kept = self.headroom.workers_
        if step.spec.gang or not any(worker.worker_id in workers for worker in kept):
            return False
        if not self.headroom.is_scarce_:
            return True
        waited_s = 0.0 if step.unplaced_s is None else now_s - step.unplaced_s
        if step.spec.long_running and waited_s >= LONG_RUNNING_WAIT_MAX_S:
            return True
        if step.job.is_excess:
            return False
        if step.job.queue.approval is not None and any(
            worker_id not in step.asked and eventual_count(step, worker, now_s) > 0
            for worker_id, worker in workers.items()
        ):
            # Further workers may be approved.
            return False
        allowed = self._free_capacity(step, workers, now_s, accept_expired=True)
        able = [worker for worker in allowed if eventual_count(step, worker, now_s) > 0]
        return bool(able) and kept.issuperset(able)

    def _reserve_for_gang(self, step: Step, workers: Mapping[str, Worker], now_s: float) -> None:
        """Reserve capacity for a gang and renew its tickets before it is expected to start."""
        allowed = self._free_capacity(step, workers, now_s, accept_expired=True)
        plan = self.reservations.reserve(step, allowed, now_s)
        if plan is not None and step.job.queue.approval is not None:
            self.ticket_tracker.renew_gang_tickets(step, plan, now_s)

    def _assign_tasks(
        self,
        step: Step,
        free_by_worker: dict[Worker, ResourceVector],
        indices: list[int],
        now_s: float,
    ) -> list[tuple[int, Worker]]:
        costs = self.runs.interference.predict(step, free_by_worker, now_s)
        if step.spec.gang:
            return assign_gang(step, free_by_worker, indices, now_s, costs) or []
        return assign_singles(step, free_by_worker, indices, now_s, costs)

    def _renew_tickets(self, step: Step, workers: Mapping[str, Worker], now_s: float) -> None:
        """Request new tickets for workers that have capacity for the waiting tasks."""
        if step.job.queue.approval is None:
            return
        allowed_count = self.runs.ledger.count_startable(step)
        if not allowed_count:
            return
        free_by_worker = self._free_capacity(step, workers, now_s, accept_expired=True)
        if not self._may_use_headroom(step, workers, now_s):
            # A ticket for a worker on which the step gets no place would expire unused.
            free_by_worker = self._limit_to_headroom(step, free_by_worker)
        indices = sorted(step.waiting)[:allowed_count]
        costs = self.runs.interference.predict(step, free_by_worker, now_s)
        pairs = assign_singles(step, free_by_worker, indices, now_s, costs)
        chosen = dict.fromkeys(worker for _, worker in pairs)
        self.ticket_tracker.renew_tickets(step, list(chosen), now_s)

    def _start_run(self, step: Step, index: int, worker: Worker, number: int, now_s: float) -> None:
        number = number or self.runs.next_number(step, [index])
        task = TaskName(step.name, index)
        self.runs.starting_count += 1
        run = Run(
            task=task,
            number=number,
            step=step,
            worker=worker,
            demand=step.spec.demand,
            phase=RunPhase.STARTING,
            phase_since_s=now_s,
            started_s=now_s,
            progressed_s=now_s,
            speed_read_s=now_s,
        )
        self.runs.add(run)
        self.runs.order_start(run, self.ticket_tracker.find_ticket(step, worker.worker_id), now_s)
