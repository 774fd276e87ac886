"""Simulation of several schedulers at the same time, each with its own view of a cut network."""

import attrs
from workflow_split_tenure import CONFIRMATION_S, JOURNAL, Append, Cut, Tenure
from workflow_workers import STEP_S
from workflow_world import WorkflowWorld

from fireflywharf_core.workflows import (
    DirectoryChanged,
    EndKind,
    JobAdded,
    JobsRecorded,
    StartAnswered,
    StartResult,
    StartRun,
    StopAnswered,
    StopRun,
    TenureConfirmed,
    TenureRecord,
    Timing,
    WorkerReported,
    WorkerSilent,
    WorkersInUse,
    WorkflowAccepted,
    WorkflowScheduler,
    WorkflowSpec,
    WorkflowState,
)

RENEWAL_S = 0.25
RETRY_S = 0.25
SUCCESSION_S = 1.0
"""Time without an accepted append after which a successor begins."""


class SplitWorld(WorkflowWorld):
    """One journal, its workers, and the schedulers of tenures that may overlap.

    Args:
        seed: seed of the random faults.
        workers_count: number of workers.
        poll_s: time after which a worker answers a poll, if it has no end to report.
        start_permission_s: time without a confirmation after which a scheduler starts no runs; as
            long as its permission to renew by default, so that the other conditions are tested
            without the help of this one.
        options: further arguments of `WorkflowWorld`.
    """

    def __init__(
        self,
        seed=1,
        workers_count=4,
        poll_s=0.0,
        start_permission_s=CONFIRMATION_S,
        **options,
    ):
        self.cuts = []
        self.poll_s = poll_s
        self.timing = Timing(start_permission_s=start_permission_s)
        self.accepted_s = 0.0
        self.acknowledged_tasks = set()
        self.reads_submissions_while_cut = False
        self.started = []
        super().__init__(seed, workers_count, **options)
        self.runs_as_estimated = True

    def cut(self, targets, from_s, until_s, *, first=1, last=10**6):
        """Cut the tenures with the ordinals from `first` to `last` off from workers or journal."""
        self.cuts += [Cut(target, from_s, until_s, first, last) for target in targets]

    def reaches(self, ordinal, target):
        """Return whether a tenure reaches a worker or the journal now."""
        if target != JOURNAL and not self.workers[target].reachable:
            return False
        return not any(
            cut.target == target
            and cut.from_s <= self.now_s < cut.until_s
            and cut.first_ordinal <= ordinal <= cut.last_ordinal
            for cut in self.cuts
        )

    def find_run(self, job_id):
        """Return the id of the worker on which a run of a job is active, or None."""
        for worker, (task, _), _ in self.iterate_active_runs():
            if task.step_name.job_id == job_id:
                return worker.info.worker_id
        return None

    def begin_tenure(self):
        """Begin a tenure, which reads the journal, while the earlier ones may go on."""
        ordinal = len(self.tenures) + 1
        holder = f"d{ordinal}"
        self.append(TenureRecord(holder=holder, epoch=ordinal, ordinal=ordinal, active_s=0))
        self.accepted_s = self.now_s
        state = self.journal_state
        scheduler = WorkflowScheduler(
            timing=self.timing,
            first_number=(ordinal - 1) * 1000 + 1,
            workers_in_use=state.workers_in_use,
            departures=state.departures,
            started_s=self.now_s,
            leases_end_s=state.tenures.leases_end_s(self.timing, holder, 0.0),
            find_spec=state.find_spec,
            find_team=state.find_team,
        )
        departures = {name: row.departure_id for name, row in state.departures.items()}
        tenure = Tenure(ordinal, scheduler, self.now_s, departures)
        tenure.in_use = set(state.workers_in_use)
        self.scheduler = scheduler
        self.tenures.append(tenure)
        self._read_jobs(tenure)
        self.apply_directory(tenure)
        for record in tenure.extra_records:
            self.append(record)
        tenure.extra_records.clear()

    def publish_directory(self):
        """Pass the directory of the listed workers to the tenures that reach the journal."""
        for tenure in self.tenures:
            if not tenure.end_cause and self.reaches(tenure.ordinal, JOURNAL):
                self.apply_directory(tenure)

    def apply_directory(self, tenure):
        """Pass the directory of the listed workers to a tenure."""
        listed = {n: w.info for n, w in self.workers.items() if n not in self.unlisted_workers}
        tenure.directory = listed
        self._record_workers_in_use(tenure)
        tenure.scheduler.observe(DirectoryChanged(listed), self.now_s)

    def _record_workers_in_use(self, tenure):
        in_use = tenure.scheduler.workers_to_record(tenure.in_use, self.now_s)
        in_use = in_use.union(tenure.directory)
        departures = {
            name: departure_id
            for name, departure_id in tenure.departures.items()
            if name in in_use and name not in tenure.directory
        }
        if in_use != tenure.in_use or departures != self.journal_state.departures:
            tenure.in_use, tenure.departures = in_use, departures
            record = WorkersInUse(worker_ids=tuple(sorted(in_use)), departures=departures)
            tenure.extra_records.append(record)

    def submit(self, job_id, steps, payload="p", team=""):
        """Append a job to the journal; the tenures read it with their next step."""
        spec = WorkflowSpec(payload=payload, steps=tuple(steps))
        self.steps_by_job[job_id] = spec.steps
        self.append(
            WorkflowAccepted(
                job_id=job_id,
                queue=self.queue,
                spec=spec,
                accepted_utc_s=self.now_s if team else 0.0,
                team=team,
            )
        )

    def is_ticket_valid(self, order, now_s):
        """Return true; the queue needs no approval, and the job may have been closed."""
        return True

    def check_start(self, worker, order, spec):
        """Record a violation if another run of the task is active or its end is taken note of."""
        self.started.append((self.now_s, order))
        now = f"{order.task}#{order.number} at {self.now_s:.2f}"
        for other, (task, number), _ in self.iterate_active_runs():
            if task == order.task and number != order.number:
                self.violations.append(
                    f"{now} on {worker.info.worker_id} runs twice,"
                    f" beside #{number} on {other.info.worker_id}"
                )
        if order.task in self.acknowledged_tasks:
            self.violations.append(f"{now} starts after its acknowledged end")
        elif self._is_end_durable(order.task):
            self.violations.append(f"{now} starts after its recorded end")

    def _is_end_durable(self, task):
        progress = self.journal_state.jobs[task.step_name.job_id].progress
        if progress is None:
            return False
        return progress.state is WorkflowState.COMPLETE or any(
            row.step == task.step_name.step and row.done_bits >> task.index & 1
            for row in progress.steps
        )

    def step(self):
        """Advance the time by `STEP_S`; each tenure acts on what it reaches."""
        self.now_s += STEP_S
        for worker in self.workers.values():
            worker.advance(self.now_s)
        is_overdue = self.now_s - self.accepted_s >= SUCCESSION_S
        if is_overdue and self.reaches(len(self.tenures) + 1, JOURNAL):
            self.begin_tenure()
        for tenure in self.tenures:
            for advance in (
                self._receive_append_answer,
                self._read_journal,
                self._poll_workers,
                self._decide,
                self._record_departures,
                self._send_append,
            ):
                if not tenure.end_cause:
                    advance(tenure)

    def _receive_append_answer(self, tenure):
        append = tenure.append
        if append is None:
            return
        if not self.reaches(tenure.ordinal, JOURNAL):
            append.accepted = False
        elif append.accepted:
            tenure.append = None
            tenure.confirmed_s = append.sent_s
            for name, (incarnation, serial) in append.ends.items():
                if tenure.incarnations[name] == incarnation:
                    tenure.acknowledged[name] = max(serial, tenure.acknowledged.get(name, 0))
            if append.job_ids:
                tenure.scheduler.observe(JobsRecorded(append.job_ids), self.now_s)
            tenure.scheduler.observe(TenureConfirmed(append.sent_s), self.now_s)

    def _read_journal(self, tenure):
        is_reached = self.reaches(tenure.ordinal, JOURNAL)
        if is_reached and tenure.ordinal < len(self.tenures):
            tenure.end_cause = "a later tenure began"
        elif is_reached or self.reads_submissions_while_cut:
            self._read_jobs(tenure)

    def _read_jobs(self, tenure):
        for job_id, journaled in self.journal_state.jobs.items():
            if job_id not in tenure.read_job_ids:
                tenure.read_job_ids.add(job_id)
                event = JobAdded(job_id=job_id, journaled=journaled)
                tenure.scheduler.observe(event, self.now_s)

    def _poll_workers(self, tenure):
        for name in list(tenure.scheduler.workers):
            if name in tenure.departures:
                continue
            if not self.reaches(tenure.ordinal, name):
                self._observe_silence(tenure, name)
                continue
            if name not in tenure.open_polls:
                self._send_poll(tenure, name)
            # The first poll, and one after silence, is answered at once.
            is_first = name not in tenure.incarnations or name in tenure.retry_s
            due_s = tenure.open_polls[name] + (0.0 if is_first else self.poll_s)
            is_due = self.now_s >= due_s - STEP_S / 2
            if not tenure.end_cause and (is_due or self.workers[name].ends):
                self._answer_poll(tenure, name)
            if tenure.end_cause:
                return

    def _observe_silence(self, tenure, name):
        tenure.open_polls.pop(name, None)
        if self.now_s >= tenure.retry_s.get(name, 0.0):
            tenure.retry_s[name] = self.now_s + RETRY_S
            event = WorkerSilent(name, tenure.renewed_s.get(name, 0.0))
            tenure.scheduler.observe(event, self.now_s)

    def _send_poll(self, tenure, name):
        tenure.open_polls[name] = self.now_s
        renew = tenure.may_act(self.now_s) and name not in tenure.retry_s
        if renew:
            tenure.renewed_s[name] = self.now_s
        self._exchange(tenure, name, renew=renew)

    def _exchange(self, tenure, name, *, renew):
        """Return the lists of a worker; the tenure ends if it has seen a later epoch."""
        worker = self.workers[name]
        is_known = tenure.incarnations.get(name) == worker.info.incarnation
        acknowledged = tenure.acknowledged.get(name, 0) if is_known else 0
        ends = [end for end in worker.ends if end.serial <= acknowledged]
        lease_end_s = worker.lease_end_s
        lists = worker.renew_leases(tenure.ordinal, acknowledged, self.now_s)
        if lists is None:
            tenure.end_cause = f"{name} has seen a later epoch"
            return None
        lease_s = self.timing.find_lease_s(self.now_s - tenure.confirmed_s) if renew else 0.0
        worker.lease_end_s = max(lease_end_s, self.now_s + lease_s)
        for end in ends:
            if end.kind is EndKind.DONE:
                self._record_acknowledged(end.task)
        return lists

    def _record_acknowledged(self, task):
        spec = self.find_step_spec(task)
        indices = range(spec.tasks_count) if spec.gang else [task.index]
        self.acknowledged_tasks.update(attrs.evolve(task, index=index) for index in indices)

    def _answer_poll(self, tenure, name):
        sent_s = tenure.open_polls.pop(name)
        lists = self._exchange(tenure, name, renew=False)
        if lists is None:
            return
        tenure.retry_s.pop(name, None)
        running, ended = lists
        incarnation = self.workers[name].info.incarnation
        if tenure.incarnations.get(name) != incarnation:
            tenure.incarnations[name] = incarnation
            tenure.acknowledged[name] = 0
        event = WorkerReported(
            worker_id=name, incarnation=incarnation, sent_s=sent_s, running=running, ended=ended
        )
        tenure.scheduler.observe(event, self.now_s)
        if ended:
            serial = max(end.serial for end in ended)
            tenure.observed_ends[name] = (incarnation, serial)
        if self.poll_s:
            self._send_poll(tenure, name)

    def _decide(self, tenure):
        if not tenure.may_act(self.now_s):
            return
        for action in tenure.scheduler.decide(self.now_s, 0.0):
            if isinstance(action, (StartRun, StopRun)) and not tenure.end_cause:
                self._send_order(tenure, action)

    def _send_order(self, tenure, order):
        worker = self.workers[order.worker_id]
        is_reached = self.reaches(tenure.ordinal, order.worker_id)
        if is_reached and worker.epoch > tenure.ordinal:
            tenure.end_cause = f"{order.worker_id} has seen a later epoch"
            return
        if isinstance(order, StartRun):
            result = StartResult.UNKNOWN
            if is_reached:
                result = worker.start(order, tenure.ordinal, self.now_s)
            event = StartAnswered(order.worker_id, order.task, order.number, result)
            tenure.scheduler.observe(event, self.now_s)
        elif is_reached:
            worker.stop(order, tenure.ordinal, self.now_s)
            event = StopAnswered(order.worker_id, order.task, order.number)
            tenure.scheduler.observe(event, self.now_s)

    def _record_departures(self, tenure):
        departed = tenure.scheduler.find_departed(self.now_s) - tenure.departures.keys()
        for name in departed - tenure.directory.keys():
            tenure.departures[name] = f"{tenure.ordinal}.{len(tenure.departures) + 1}"
            self._record_workers_in_use(tenure)

    def _make_renewal(self, tenure):
        ordinal = tenure.ordinal
        return TenureRecord(
            holder=f"d{ordinal}", epoch=ordinal, ordinal=ordinal, renewal=1, active_s=0
        )

    def _send_append(self, tenure):
        if tenure.append is None:
            records = [*tenure.extra_records, *tenure.scheduler.pop_closed()]
            tenure.extra_records.clear()
            progress = tenure.scheduler.pop_progress()
            is_due = self.now_s >= tenure.appended_s + RENEWAL_S - STEP_S / 2
            if not (records or progress or tenure.observed_ends or is_due):
                return
            if not records and not progress:
                records = [self._make_renewal(tenure)]
            job_ids = tuple(record.job_id for record in progress)
            tenure.append = Append(records + progress, job_ids, dict(tenure.observed_ends))
            tenure.observed_ends.clear()
            tenure.appended_s = self.now_s
        append = tenure.append
        if append.accepted or not self.reaches(tenure.ordinal, JOURNAL):
            return
        append.sent_s, append.accepted = self.now_s, True
        self.accepted_s = self.now_s
        for record in append.records:
            self.append(record)
