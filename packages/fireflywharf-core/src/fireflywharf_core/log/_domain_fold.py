"""Fold of stream `domain-NAME`: known workers and what became of attempts."""

from collections.abc import Callable
from dataclasses import dataclass

import attrs

from ..jobs import AttemptEnd, AttemptId, TaskId
from ..platform import VmInfo
from ..records import StartIntent, TaskEnded, WorkerAdded, WorkerRemoved
from ._refresh import RefreshSchedule

DomainRecord = WorkerAdded | WorkerRemoved | StartIntent | TaskEnded


@attrs.define(slots=True)
class TaskFacts:
    """What the log knows of one task.

    Args:
        highest_attempt: highest attempt number in any record; 0 for none.
        done: whether an attempt succeeded.
        failures_count: attempts that ended as failed.
        ended_attempt: newest attempt whose end is recorded; 0 for none.
        end: how that attempt ended.
        worker: worker of the newest record.
        elapsed_s: run time of the ended attempt.
        open_intent: attempt with a start intent and no recorded end; 0 for none.
    """

    highest_attempt: int = 0
    done: bool = False
    failures_count: int = 0
    ended_attempt: int = 0
    end: AttemptEnd | None = None
    worker: str = ""
    elapsed_s: float = 0.0
    open_intent: int = 0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of an attempt was recorded for the first time."""

    attempt: AttemptId
    end: AttemptEnd


@dataclass(frozen=True, slots=True)
class WorkersChanged:
    """The set of known workers changed."""

    name: str
    known: bool


DomainEvent = AttemptEnded | WorkersChanged


class DomainFold:
    """Folds the records of the stream of one failure domain in log order.

    Args:
        retention_s: time after which the log deletes records.
        refresh_max_per_s: records written again in one second.
    """

    def __init__(self, retention_s: float, refresh_max_per_s: float = 20.0) -> None:
        self.retention_s = retention_s
        self.refresh_max_per_s = refresh_max_per_s
        self.offset_ = -1
        self.workers_: dict[str, VmInfo] = {}
        self._jobs: dict[str, dict[int, TaskFacts]] = {}
        self._refresh = RefreshSchedule(retention_s, refresh_max_per_s)

    def fold(
        self, offset: int, record: DomainRecord, now_s: float, live: bool = True
    ) -> DomainEvent | None:
        """Take the record at `offset`; a record at or below the last offset is ignored.

        Args:
            offset: offset of the record.
            record: decoded record; other types are ignored.
            now_s: present time.
            live: False while the reader replays old records, whose age is unknown.

        Returns:
            What the record changed, or None.
        """
        if offset <= self.offset_:
            return None
        self.offset_ = offset
        match record:
            case WorkerAdded(vm):
                new = vm.name not in self.workers_
                self.workers_[vm.name] = vm
                self._refresh.touch(vm.name, now_s, live)
                return WorkersChanged(vm.name, True) if new else None
            case WorkerRemoved(name):
                self._refresh.drop(name)
                known = self.workers_.pop(name, None) is not None
                return WorkersChanged(name, False) if known else None
            case StartIntent(attempt, worker):
                facts = self._facts_for(attempt.task)
                facts.highest_attempt = max(facts.highest_attempt, attempt.number)
                if attempt.number > facts.ended_attempt:
                    facts.open_intent = attempt.number
                    facts.worker = worker
                self._touch(attempt.task, now_s, live)
            case TaskEnded():
                self._touch(record.attempt.task, now_s, live)
                return self._end(record)
        return None

    def facts(self, task: TaskId) -> TaskFacts:
        """Return what is recorded of a task."""
        return self._jobs.get(task.job_id, {}).get(task.index) or TaskFacts()

    def tasks_of(self, job_id: str) -> dict[int, TaskFacts]:
        """Return the recorded facts of a job's tasks by index."""
        return dict(self._jobs.get(job_id, {}))

    def done_tasks(self, job_id: str) -> set[int]:
        """Return the indexes of the tasks of a job that are recorded as done."""
        return {index for index, facts in self._jobs.get(job_id, {}).items() if facts.done}

    def next_attempt(self, task: TaskId) -> AttemptId:
        """Return the identifier for a new attempt, above every recorded one."""
        return AttemptId(task, self.facts(task).highest_attempt + 1)

    def forget_job(self, job_id: str) -> None:
        """Drop the tasks of a finished job."""
        for index in self._jobs.pop(job_id, {}):
            self._refresh.drop((job_id, index))

    def drop_finished_jobs(self, is_finished: Callable[[str], bool]) -> int:
        """Drop the tasks of finished jobs; call it now and then on every VM of the domain.

        Without it the memory grows, and `due_records` writes the ends of old tasks again for ever.
        A job that is unknown is kept, because stream `jobs` may be read later than this one.

        Args:
            is_finished: `JobsFold.is_finished`.

        Returns:
            The number of jobs whose tasks were dropped.
        """
        finished = [job_id for job_id in self._jobs if is_finished(job_id)]
        for job_id in finished:
            self.forget_job(job_id)
        return len(finished)

    def due_records(self, now_s: float) -> list[DomainRecord]:
        """Return the records that the scheduler must write again before retention removes them."""
        records: list[DomainRecord] = []
        for key in self._refresh.due(now_s):
            if isinstance(key, str):
                records.append(WorkerAdded(self.workers_[key]))
                continue
            task = TaskId(*key)
            facts = self.facts(task)
            if facts.end is not None:
                attempt = AttemptId(task, facts.ended_attempt)
                records.append(TaskEnded(attempt, facts.end, facts.worker, facts.elapsed_s))
            if facts.open_intent:
                records.append(StartIntent(AttemptId(task, facts.open_intent), facts.worker))
        return records

    def _touch(self, task: TaskId, now_s: float, live: bool) -> None:
        # A tuple hashes several times faster than an attrs object.
        self._refresh.touch((task.job_id, task.index), now_s, live)

    def _facts_for(self, task: TaskId) -> TaskFacts:
        tasks = self._jobs.get(task.job_id)
        if tasks is None:
            tasks = self._jobs[task.job_id] = {}
        facts = tasks.get(task.index)
        if facts is None:
            facts = tasks[task.index] = TaskFacts()
        return facts

    def _end(self, record: TaskEnded) -> DomainEvent | None:
        number = record.attempt.number
        facts = self._facts_for(record.attempt.task)
        facts.highest_attempt = max(facts.highest_attempt, number)
        if facts.done or number <= facts.ended_attempt:
            return None
        facts.ended_attempt = number
        facts.end = record.end
        facts.worker = record.worker
        facts.elapsed_s = record.elapsed_s
        facts.done = record.end is AttemptEnd.SUCCEEDED
        facts.failures_count += record.end is AttemptEnd.FAILED
        if facts.open_intent <= number:
            facts.open_intent = 0
        return AttemptEnded(record.attempt, record.end)
