"""Fold of stream `domain-NAME`: known workers and outcomes of attempts."""

from collections.abc import Callable
from dataclasses import dataclass

import attrs

from ..jobs import AttemptEnd, AttemptId, TaskId
from ..platform import VmInfo
from ..records import StartIntent, TaskEnded, WorkerAdded, WorkerRemoved
from ._refresh import RefreshSchedule

DomainRecord = WorkerAdded | WorkerRemoved | StartIntent | TaskEnded


@attrs.define(slots=True)
class TaskLogState:
    """State of one task according to the log.

    Args:
        highest_attempt: highest attempt number in any record; 0 for none.
        done: whether an attempt succeeded.
        failures_count: attempts that ended as failed.
        ended_attempt: newest attempt whose end is recorded; 0 for none.
        end: how that attempt ended.
        worker: worker named by the newest record that counts.
        elapsed_s: run time of the ended attempt.
        open_intent: attempt with a start intent but no recorded end; 0 for none.
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
    """A worker was added to or removed from the known workers."""

    name: str
    known: bool


DomainEvent = AttemptEnded | WorkersChanged


class DomainFold:
    """Computes the state of one failure domain from its stream, record by record in log order.

    Args:
        retention_s: time after which the log deletes records.
        refresh_max_per_s: maximum rate at which records are written again.

    Attributes:
        offset_: offset of the last applied record; -1 for none.
        workers_: known workers by name.
    """

    def __init__(self, retention_s: float, refresh_max_per_s: float = 20.0) -> None:
        self.retention_s = retention_s
        self.refresh_max_per_s = refresh_max_per_s
        self.offset_ = -1
        self.workers_: dict[str, VmInfo] = {}
        self._jobs: dict[str, dict[int, TaskLogState]] = {}
        self._refresh = RefreshSchedule(retention_s, refresh_max_per_s)

    def fold(
        self, offset: int, record: DomainRecord, now_s: float, live: bool = True
    ) -> DomainEvent | None:
        """Apply the record at `offset`; a record at or below the last offset is ignored.

        Args:
            offset: offset of the record.
            record: decoded record; other types are ignored.
            now_s: present time.
            live: False while the reader replays old records, whose age is unknown.

        Returns:
            The change that the record makes, or None.
        """
        if offset <= self.offset_:
            return None
        self.offset_ = offset
        match record:
            case WorkerAdded(vm):
                is_new = vm.name not in self.workers_
                self.workers_[vm.name] = vm
                self._refresh.note_written(vm.name, now_s, live)
                return WorkersChanged(vm.name, True) if is_new else None
            case WorkerRemoved(name):
                self._refresh.drop(name)
                known = self.workers_.pop(name, None) is not None
                return WorkersChanged(name, False) if known else None
            case StartIntent(attempt, worker):
                task_state = self._get_or_create_task_state(attempt.task)
                task_state.highest_attempt = max(task_state.highest_attempt, attempt.number)
                if attempt.number > task_state.ended_attempt:
                    task_state.open_intent = attempt.number
                    task_state.worker = worker
                self._note_task_written(attempt.task, now_s, live)
            case TaskEnded():
                self._note_task_written(record.attempt.task, now_s, live)
                return self._apply_task_ended(record)
        return None

    def task_state(self, task: TaskId) -> TaskLogState:
        """Return the recorded state of a task."""
        return self._jobs.get(task.job_id, {}).get(task.index) or TaskLogState()

    def tasks_of(self, job_id: str) -> dict[int, TaskLogState]:
        """Return the recorded states of the tasks of a job by index."""
        return dict(self._jobs.get(job_id, {}))

    def done_tasks(self, job_id: str) -> set[int]:
        """Return the indices of the tasks of a job that are recorded as done."""
        return {
            index for index, task_state in self._jobs.get(job_id, {}).items() if task_state.done
        }

    def next_attempt(self, task: TaskId) -> AttemptId:
        """Return the identifier of a new attempt, with a number above every recorded one."""
        return AttemptId(task, self.task_state(task).highest_attempt + 1)

    def drop_job(self, job_id: str) -> None:
        """Remove the tasks of a finished job."""
        for index in self._jobs.pop(job_id, {}):
            self._refresh.drop((job_id, index))

    def drop_finished_jobs(self, is_finished: Callable[[str], bool]) -> int:
        """Remove the tasks of finished jobs; must be called periodically on each VM of the domain.

        Otherwise memory grows without bound and `due_records` returns the ends of old tasks for
        ever. Unknown jobs are kept, because stream `jobs` may be read later than this one.

        Args:
            is_finished: `JobsFold.is_finished`.

        Returns:
            The number of jobs whose tasks were removed.
        """
        finished = [job_id for job_id in self._jobs if is_finished(job_id)]
        for job_id in finished:
            self.drop_job(job_id)
        return len(finished)

    def due_records(self, now_s: float) -> list[DomainRecord]:
        """Return the records that the scheduler must write again before the log deletes them."""
        records: list[DomainRecord] = []
        for key in self._refresh.take_due(now_s):
            if isinstance(key, str):
                records.append(WorkerAdded(self.workers_[key]))
                continue
            task = TaskId(*key)
            task_state = self.task_state(task)
            if task_state.end is not None:
                attempt = AttemptId(task, task_state.ended_attempt)
                records.append(
                    TaskEnded(attempt, task_state.end, task_state.worker, task_state.elapsed_s)
                )
            if task_state.open_intent:
                records.append(
                    StartIntent(AttemptId(task, task_state.open_intent), task_state.worker)
                )
        return records

    def _note_task_written(self, task: TaskId, now_s: float, live: bool) -> None:
        # A tuple, because it hashes several times faster than an attrs object.
        self._refresh.note_written((task.job_id, task.index), now_s, live)

    def _get_or_create_task_state(self, task: TaskId) -> TaskLogState:
        tasks = self._jobs.get(task.job_id)
        if tasks is None:
            tasks = self._jobs[task.job_id] = {}
        task_state = tasks.get(task.index)
        if task_state is None:
            task_state = tasks[task.index] = TaskLogState()
        return task_state

    def _apply_task_ended(self, record: TaskEnded) -> DomainEvent | None:
        number = record.attempt.number
        task_state = self._get_or_create_task_state(record.attempt.task)
        task_state.highest_attempt = max(task_state.highest_attempt, number)
        if task_state.done or number <= task_state.ended_attempt:
            return None
        task_state.ended_attempt = number
        task_state.end = record.end
        task_state.worker = record.worker
        task_state.elapsed_s = record.elapsed_s
        task_state.done = record.end is AttemptEnd.SUCCEEDED
        task_state.failures_count += record.end is AttemptEnd.FAILED
        if task_state.open_intent <= number:
            task_state.open_intent = 0
        return AttemptEnded(record.attempt, record.end)
