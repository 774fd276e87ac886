"""Simulated workers in virtual time, which keep their own account of runs and fencing tokens."""

import math
from typing import Any

import attrs

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    EndKind,
    ReportedEnd,
    ReportedRun,
    StartResult,
    StartRun,
    StepSpec,
    WorkerInfo,
)

STEP_S = 0.05
TASK_RUN_TIME_S = 0.4
LEASE_S = 6.0
STOP_DURATION_S = 0.2


@attrs.define(slots=True, eq=False)
class ActiveRun:
    """A run that is active at a worker."""

    order: StartRun
    spec: StepSpec
    started_s: float
    end_due_s: float
    will_fail: bool
    stop_due_s: float | None = None

    def progress_percent(self, now_s):
        """Return the progress at `now_s` in whole percent."""
        elapsed = (now_s - self.started_s) / max(STEP_S, self.end_due_s - self.started_s)
        return math.floor(100 * min(1.0, elapsed))


@attrs.define(slots=True, eq=False)
class FakeWorker:
    """Worker that rejects stale epochs and reports ends until they are acknowledged."""

    info: WorkerInfo
    world: Any
    epoch: int = 0
    lease_end_s: float = 0.0
    last_serial: int = 0
    active_runs: dict = attrs.field(factory=dict)
    ends: list = attrs.field(factory=list)
    highest_ended_numbers: dict = attrs.field(factory=dict)
    reachable: bool = True
    fails_all_runs: bool = False
    loses_start_orders: bool = False
    reported_ends_max: int = 500
    rejects_next_ticket: bool = False
    refuses_next_start: bool = False
    falls_silent_at_start: bool = False
    run_time_s: float = TASK_RUN_TIME_S

    def restart(self):
        """Replace the process by one that knows neither runs nor the epoch."""
        self.info = attrs.evolve(self.info, incarnation=self.info.incarnation + 1)
        self.epoch = self.last_serial = 0
        self.active_runs.clear()
        self.ends.clear()
        self.highest_ended_numbers.clear()

    def end_run(self, key, kind):
        """End a run and add its end to the reported ones; ignore a run that is not active."""
        active_run = self.active_runs.pop(key, None)
        if active_run is None:
            return
        self.last_serial += 1
        self.ends.append(ReportedEnd(self.last_serial, key[0], key[1], kind, ""))
        highest = self.highest_ended_numbers.get(key[0], 0)
        self.highest_ended_numbers[key[0]] = max(highest, key[1])
        if kind is EndKind.DONE:
            self.world.record_done(key[0], active_run.spec)
        if kind is not EndKind.DONE and active_run.spec.gang:
            self.world.end_gang_run(key[0].step_name, key[1])

    def advance(self, now_s):
        """End the runs whose lease, stop or run time has elapsed."""
        for key, active_run in list(self.active_runs.items()):
            if now_s >= self.lease_end_s:
                self.end_run(key, EndKind.LEASE_LAPSED)
            elif active_run.stop_due_s is not None and now_s >= active_run.stop_due_s:
                self.end_run(key, EndKind.STOPPED)
            elif self.world.can_end(key, active_run, now_s):
                self.end_run(key, EndKind.FAILED if active_run.will_fail else EndKind.DONE)

    def used_capacity(self):
        """Return the sum of the demands of all active runs."""
        total = ResourceVector()
        for active_run in self.active_runs.values():
            total = total + active_run.spec.demand
        return total

    def start(self, order, epoch, now_s):
        """Start a run without checking its capacity, so that an excessive start is detected."""
        if epoch < self.epoch:
            return StartResult.STALE_EPOCH
        self.epoch = epoch
        self.lease_end_s = max(self.lease_end_s, now_s + 4.0)
        key = (order.task, order.number)
        if key in self.active_runs:
            return StartResult.STARTED
        if order.number <= self.highest_ended_numbers.get(order.task, 0):
            return StartResult.NUMBER_TOO_LOW
        if self.refuses_next_start:
            self.refuses_next_start = False
            return StartResult.UNHEALTHY
        if self.rejects_next_ticket or not self.world.is_ticket_valid(order, now_s):
            self.rejects_next_ticket = False
            self.world.rejected_tickets_count += 1
            return StartResult.NO_TICKET
        spec = self.world.find_step_spec(order.task)
        self.world.check_start(self, order, spec)
        will_fail = self.fails_all_runs or self.world.rng.random() < self.world.failure_probability
        run_time_s = self.run_time_s
        if self.world.runs_as_estimated:
            run_time_s = spec.estimate_ms / 1000.0
        if self.world.varies_run_times:
            run_time_s *= 0.5 + self.world.rng.random()
        self.active_runs[key] = ActiveRun(order, spec, now_s, now_s + run_time_s, will_fail)
        return StartResult.STARTED

    def stop(self, order, epoch, now_s):
        """Stop a run; if it has not started, refuse its later start."""
        if epoch < self.epoch:
            return
        self.epoch = epoch
        active_run = self.active_runs.get((order.task, order.number))
        if active_run is not None and active_run.stop_due_s is None:
            active_run.stop_due_s = now_s + STOP_DURATION_S
        highest = self.highest_ended_numbers.get(order.task, 0)
        self.highest_ended_numbers[order.task] = max(highest, order.number)

    def renew_leases(self, epoch, acknowledged, now_s):
        """Renew the lease and return the running and the ended runs, or None for a stale epoch."""
        if epoch < self.epoch:
            return None
        self.epoch = epoch
        self.lease_end_s = max(self.lease_end_s, now_s + LEASE_S)
        self.ends = [end for end in self.ends if end.serial > acknowledged]
        running = tuple(
            ReportedRun(task, number, "", active_run.progress_percent(now_s))
            for (task, number), active_run in self.active_runs.items()
        )
        return running, tuple(self.ends[: self.reported_ends_max])
