"""Reading of worker reports into the table of attempts."""

from collections.abc import Callable

import attrs

from ..jobs import AttemptEnd, AttemptId
from ..platform import RunningAttempt
from ..resources import ResourceVector
from ._actions import AcknowledgeEnd, RecordTaskEnd
from ._attempts import AttemptTable
from ._events import WorkerReport
from ._facts import AttemptCharged, AttemptConfirmed, AttemptMeasured, Fact
from ._jobs import JobTable
from ._model import DONE, LIVE, Attempt, Job, Phase, Worker
from ._outbox import Outbox
from ._workers import WorkerTable

# A start whose answer was lost may still be in flight for as long as a connection of the daemon
# lives, so a report counts as proof only when it was asked for this much later.
SETTLE_S = 1.0
STOP_REPEAT_S = 2.0
REPEAT_END_S = 5.0
USAGE_GROWTH = 1.25
# Attempts of jobs that are not known here are left alone while the log may still be replayed.
UNKNOWN_JOB_GRACE_S = 60.0


@attrs.frozen(slots=True)
class _UnknownEnd:
    """Reported end of an attempt whose job is not known yet."""

    worker: str
    end: AttemptEnd
    elapsed_s: float
    first_s: float


class ReportReader:
    """Compares what workers list with what the table of attempts expects.

    Args:
        jobs: table of jobs.
        workers: table of workers.
        attempts: table of attempts.
        outbox: receives actions.
        tell: receives facts for the policy engine.
    """

    def __init__(
        self,
        jobs: JobTable,
        workers: WorkerTable,
        attempts: AttemptTable,
        outbox: Outbox,
        tell: Callable[[Fact, float], None],
    ) -> None:
        self.jobs = jobs
        self.workers = workers
        self.attempts = attempts
        self.outbox = outbox
        self.tell = tell
        self._ended: dict[str, dict[AttemptId, float]] = {}
        self._unknown_ends: dict[str, dict[AttemptId, _UnknownEnd]] = {}

    def read(self, report: WorkerReport, now_s: float) -> bool:
        """Take up a report; return whether its worker is known."""
        worker = self.workers.get(report.worker)
        if worker is None:
            return False
        self.workers.set_state(worker, now_s, reported=True, lost=False, room_unknown=False)
        seen = set()
        for row in report.running:
            seen.add(row.attempt)
            attempt = worker.attempts.get(row.attempt)
            if attempt is None:
                # A list from before an end that was taken up meanwhile must not revive it.
                if row.attempt not in self._ended.get(worker.name, ()):
                    self.adopt(worker, row, now_s)
            else:
                self.listed(attempt, row, now_s)
        for row in report.ended:
            seen.add(row.attempt)
            self.ended(row.attempt, worker.name, row.end, row.elapsed_s, now_s)
        if len(worker.attempts) > len(report.running):
            for attempt in list(worker.attempts.values()):
                if attempt.ident not in seen:
                    self.missing(attempt, report.asked_s, now_s)
        self._forget_ends(report)
        return True

    def _forget_ends(self, report: WorkerReport) -> None:
        # An end that is no longer listed was acknowledged and is not reported again.
        ends = self._ended.get(report.worker)
        if ends:
            listed = {row.attempt for row in report.ended}
            for ident in [i for i, s in ends.items() if i not in listed and s < report.asked_s]:
                del ends[ident]

    def stop_unknown(self, now_s: float) -> None:
        """Stop attempts whose job is still unknown after the grace time."""
        for attempts in list(self.attempts.unknown.values()):
            for attempt in list(attempts.values()):
                if now_s - attempt.since_s >= UNKNOWN_JOB_GRACE_S:
                    attempt.since_s = now_s
                    self.attempts.stop(attempt, now_s)

    def adopt(self, worker: Worker, report: RunningAttempt, now_s: float) -> None:
        """Enter an attempt that a worker runs and that is not known here."""
        ident = report.attempt
        job = self.jobs.get(ident.task.job_id)
        attempt = Attempt(ident, job, worker, report.size, report.size, Phase.RUNNING, now_s, now_s)
        attempt.started_s = now_s - report.elapsed_s
        if job is None:
            self.attempts.unknown.setdefault(ident.task.job_id, {})[ident] = attempt
            self.attempts.hold(attempt, now_s)
            return
        self._claim_task(attempt, now_s)

    def _claim_task(self, attempt: Attempt, now_s: float) -> None:
        job, index = attempt.job, attempt.ident.task.index
        known_task = index < job.spec.tasks_count
        if known_task:
            job.saw_number(index, attempt.ident.number)
        current = known_task and index not in job.live and job.flags[index] != DONE
        if current and not job.final:
            job.mark(index, LIVE)
            job.live[index] = attempt
        self.attempts.hold(attempt, now_s)
        if not current or job.final or job.stopping:
            self.attempts.stop(attempt, now_s)
        self.tell(AttemptConfirmed(attempt), now_s)

    def job_known(self, job: Job, now_s: float) -> None:
        """Take up attempts and ends that were reported before their job was known.

        A worker counts as reported from then on, so waiting for its next report would be too late:
        the task could start again in the meantime.
        """
        for attempt in list(self.attempts.unknown.pop(job.spec.job_id, {}).values()):
            self.attempts.release(attempt, now_s, None)
            attempt.job = job
            self._claim_task(attempt, now_s)
        for ident, kept in self._unknown_ends.pop(job.spec.job_id, {}).items():
            self.ended(ident, kept.worker, kept.end, kept.elapsed_s, now_s)

    def listed(self, attempt: Attempt, report: RunningAttempt, now_s: float) -> None:
        """Take up what a report says of a known attempt."""
        attempt.missing_s = None
        if attempt.phase in (Phase.STARTING, Phase.UNCERTAIN):
            self.attempts.confirm(attempt, now_s)
        if attempt.stop_step and now_s - attempt.stop_sent_s > STOP_REPEAT_S:
            self._repeat_stop(attempt, now_s)
        if report.usage is not None:
            self._measure(attempt, report.usage, now_s)
        if report.size != attempt.reserved or report.usage is not None:
            self._recharge(attempt, report, now_s)

    def _repeat_stop(self, attempt: Attempt, now_s: float) -> None:
        job = attempt.job
        if (
            job is None
            or job.final
            or job.stopping
            or job.live.get(attempt.ident.task.index) is not attempt
        ):
            self.attempts.stop(attempt, now_s)

    def _recharge(self, attempt: Attempt, report: RunningAttempt, now_s: float) -> None:
        size, usage = report.size, report.usage or ResourceVector()
        charged = ResourceVector(
            max(size.processors_millicores, usage.processors_millicores),
            max(size.memory_mb, usage.memory_mb),
            max(size.accelerators_count, usage.accelerators_count),
        )
        attempt.reserved = size
        if charged == attempt.charged:
            return
        before, attempt.charged = attempt.charged, charged
        self.tell(AttemptCharged(attempt, before), now_s)
        change = charged - before
        grew = min(change.processors_millicores, change.memory_mb) < 0
        if grew:
            self.workers.discharge(attempt.worker, before - charged, now_s)
        else:
            self.workers.charge(attempt.worker, change, now_s)

    def _measure(self, attempt: Attempt, usage: ResourceVector, now_s: float) -> None:
        seen = attempt.usage
        if (
            seen is None
            or usage.processors_millicores > seen.processors_millicores * USAGE_GROWTH
            or usage.memory_mb > seen.memory_mb * USAGE_GROWTH
        ):
            attempt.usage = usage
            if attempt.job is not None:
                self.tell(AttemptMeasured(attempt), now_s)

    def missing(self, attempt: Attempt, asked_s: float, now_s: float) -> None:
        """Take up that a report does not list an attempt."""
        if attempt.phase in (Phase.INTENT, Phase.STARTING):
            return
        if asked_s < attempt.since_s + SETTLE_S:
            return
        if attempt.missing_s is None or asked_s < attempt.missing_s + SETTLE_S:
            # The worker may handle a delayed start just after this answer, so one list is no proof.
            attempt.missing_s = asked_s if attempt.missing_s is None else attempt.missing_s
            return
        if attempt.phase is Phase.UNCERTAIN:
            self.attempts.return_task(attempt, now_s)
        else:
            self.attempts.vanished(attempt, now_s)

    def ended(
        self, ident: AttemptId, worker_name: str, end: AttemptEnd, elapsed_s: float, now_s: float
    ) -> None:
        """Take up the end of an attempt, and have it recorded and acknowledged."""
        job = self.jobs.get(ident.task.job_id)
        if job is None:
            kept = self._unknown_ends.setdefault(ident.task.job_id, {})
            row = kept.setdefault(ident, _UnknownEnd(worker_name, end, elapsed_s, now_s))
            if now_s - row.first_s < UNKNOWN_JOB_GRACE_S:
                return
            del kept[ident]
            if not kept:
                del self._unknown_ends[ident.task.job_id]
        ends = self._ended.setdefault(worker_name, {})
        last_s = ends.get(ident)
        if last_s is not None and now_s - last_s < REPEAT_END_S:
            return
        ends[ident] = now_s
        self.outbox.put(RecordTaskEnd(ident, end, worker_name, elapsed_s))
        self.outbox.put(AcknowledgeEnd(worker_name, ident))
        worker = self.workers.get(worker_name)
        attempt = None if worker is None else worker.attempts.get(ident)
        if attempt is not None:
            self.attempts.take_end(attempt, end, elapsed_s, now_s)
        elif job is not None and last_s is None:
            self.attempts.apply_end(job, ident, end, None, now_s)
