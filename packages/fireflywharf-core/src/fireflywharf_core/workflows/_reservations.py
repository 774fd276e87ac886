"""Capacity reservations for gangs that do not fit yet."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from ..resources import ResourceVector
from ._gang_plans import GangPlanner
from ._placement import fit_count, limit_count
from ._state import GangPlan, Reservation, Step, Worker

RESERVED_SHARE_MAX = 0.15
"""Maximum share of all processors that is reserved; more would leave too much capacity idle."""
_FIRM_START_S = 0.5
"""Time before its start from which the plan of a gang is firm; below the run time of urgent tasks.

Otherwise, urgent tasks that take reserved capacity one after the other would delay the gang without
end."""
_FIRM_KEPT_S = 1.0
"""Maximum time to the start of a firm plan; one that was delayed by more is not firm any longer."""
_RESERVATION_TTL_S = 1.5
"""Time after which a reservation expires unless a decision renews it."""
_RETRY_SHARE = 0.25
"""Time until the next placement attempt of a gang, as a share of the time until its start."""
_RETRY_MIN_S = 0.1
_RETRY_MAX_S = 0.7
"""Maximum time between two attempts; below the lifetime of a reservation."""


def eventual_count(step: Step, worker: Worker, now_s: float) -> int:
    """Return how many tasks of a step fit on a worker once its current finite runs have ended."""
    free = worker.available_capacity(step, now_s) + worker.finite_demand
    return limit_count(step, worker, fit_count(free, step.spec.demand))


class Reservations:
    """Reserves capacity on few workers for gangs that do not fit yet.

    When workers are nearly full of single tasks, each run that ends frees capacity for another
    single task but never for a whole gang, so wide gangs would wait until they are late. A gang
    therefore reserves the workers that have room first, until all of its members fit. Other work
    may use that capacity meanwhile if it is expected to end before the gang starts.

    Load pattern: more gangs arrive than fit. If many of them hold capacity while they wait for room
    or tickets, that capacity is idle, and urgent tasks and wide steps fall behind. Few gangs hold
    capacity at a time, and urgent tasks may use it until shortly before a gang starts.

    Args:
        workers: all workers by id.
        planner: chooses the workers of a gang.
        reserved_share_max: maximum share of all processors that is reserved.
    """

    def __init__(
        self,
        workers: Mapping[str, Worker],
        planner: GangPlanner,
        reserved_share_max: float = RESERVED_SHARE_MAX,
    ) -> None:
        self.reserved_share_max = reserved_share_max
        self._workers = workers
        self._planner = planner

    def reserve(self, step: Step, allowed: Iterable[Worker], now_s: float) -> GangPlan | None:
        """Create or renew the reservations of a gang.

        Args:
            step: the gang.
            allowed: workers that may run it.
            now_s: current local time, in seconds.

        Returns:
            The plan for which capacity is reserved; None if the workers would not suffice for the
            gang, or if the total would exceed `reserved_share_max`.
        """
        present = step.gang_plan
        plan = self._planner.plan(step, allowed, present, now_s)
        if plan is not None and present is None and plan.start_s > now_s:
            size = step.spec.demand.scaled(len(step.waiting))
            plan = plan if self._is_within_limit(step, size, now_s) else None
        self.release(step)
        if plan is not None:
            was_firm = present is not None and present.firm
            firm_s = _FIRM_KEPT_S if was_firm else _FIRM_START_S
            plan = attrs.evolve(plan, firm=plan.start_s <= now_s + firm_s)
        step.gang_plan = plan
        if plan is None:
            step.retry_s = now_s + _RETRY_MAX_S
            return None
        wait_s = _RETRY_SHARE * (plan.start_s - now_s)
        step.retry_s = now_s + min(_RETRY_MAX_S, max(_RETRY_MIN_S, wait_s))
        for worker, count in plan.counts.items():
            size = step.spec.demand.scaled(count)
            worker.reservations[step] = Reservation(size, now_s + _RESERVATION_TTL_S, plan.start_s)
        return plan

    def release(self, step: Step) -> None:
        """Remove all reservations of a gang."""
        if step.gang_plan is not None:
            for worker in step.gang_plan.counts:
                worker.reservations.pop(step, None)
        step.gang_plan = None

    def _is_within_limit(self, step: Step, size: ResourceVector, now_s: float) -> bool:
        capacity = sum(w.info.capacity.processors_millicores for w in self._workers.values())
        reserved = sum(
            reservation.size.processors_millicores
            for worker in self._workers.values()
            for holder, reservation in worker.reservations.items()
            if now_s < reservation.until_s and (step.job.is_excess or not holder.job.is_excess)
        )
        # The first gang may exceed the limit; otherwise a very wide one would never start.
        return (
            reserved == 0
            or reserved + size.processors_millicores <= self.reserved_share_max * capacity
        )
