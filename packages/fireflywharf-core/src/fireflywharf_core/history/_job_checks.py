"""Check that accepted jobs end, truthfully and in time, and that nothing runs twice."""

import math
from collections import defaultdict

from ..jobs import AttemptEnd, JobState, TaskId
from ._effects import AttemptEnded, AttemptStarted, VmDied
from ._history import History
from ._observations import JobAcceptedSeen, JobStateSeen
from ._placement_checks import attempt_name
from ._violation import Promise, Violation

END_STATES = {
    JobState.DONE.value,
    JobState.FAILED.value,
    JobState.CANCELLED.value,
    JobState.UNKNOWN.value,
}
# The end of an attempt reaches the scheduler with the next renewal, and then the log.
DEADLINE_TOLERANCE_S = 1.0


def check_nothing_lost(
    history: History,
    deadline_tolerance_s: float = DEADLINE_TOLERANCE_S,
    outcome_kept_s: float = math.inf,
) -> list[Violation]:
    """Return a violation for each accepted job that was lost, told wrongly, or run twice.

    * The last state seen is a recorded end state, or the job was reported late.
    * A recorded end state never changes. In an outage of the log, a scheduler may tell "done, not
      yet recorded"; when it dies, its successor learns the end from the worker.
    * `done` means that each task succeeded on a worker, and later than the deadline only if the
      job was reported late.
    * A task that succeeded does not start again, unless its worker died since; a task that is not
      restartable starts once.
    * An outcome may be missing when the log has deleted it, which is `outcome_kept_s` after the
      last attempt of the job ended, or after the outcome was first seen if it had no attempt.
    """
    violations = []
    last_ends_s = _last_ends_s(history)
    succeeded = _success_times(history)
    states: dict[str, list[JobStateSeen]] = defaultdict(list)
    for seen in history.of_type(JobStateSeen):
        states[seen.job_id].append(seen)
    jobs = {record.job_id: record for record in reversed(history.of_type(JobAcceptedSeen))}
    for job in jobs.values():
        end_s = last_ends_s.get(job.job_id, _first_end_seen_s(states[job.job_id]))
        forgotten_s = end_s + outcome_kept_s
        states[job.job_id] = [
            seen
            for seen in states[job.job_id]
            if seen.state != "missing" or seen.time_s <= forgotten_s
        ]
        problem = _state_problem(states[job.job_id])
        if not problem and states[job.job_id][-1].state == JobState.DONE.value:
            late = any(seen.late for seen in states[job.job_id])
            problem = _done_problem(job, late, succeeded, deadline_tolerance_s)
        if problem:
            detail = f"job {job.job_id} of {job.customer} {problem}"
            violations.append(Violation(Promise.NOTHING_LOST, detail, history.end_s))
    return violations + _repeated_runs(history, jobs)


def _success_times(history: History) -> dict[TaskId, float]:
    times: dict[TaskId, float] = {}
    for record in history.of_type(AttemptEnded):
        if record.end == AttemptEnd.SUCCEEDED.value:
            times.setdefault(record.attempt.task, record.time_s)
    return times


def _last_ends_s(history: History) -> dict[str, float]:
    return {record.attempt.task.job_id: record.time_s for record in history.of_type(AttemptEnded)}


def _first_end_seen_s(seen: list[JobStateSeen]) -> float:
    ends = [row.time_s for row in seen if row.state in END_STATES and row.recorded]
    return min(ends, default=math.inf)


def _state_problem(seen: list[JobStateSeen]) -> str:
    if not seen:
        return "was accepted and its state never seen"
    ended = ""
    for record in seen:
        if ended and record.state != ended:
            return f"changed from {ended} to {record.state}"
        if record.state in END_STATES and record.recorded:
            ended = record.state
    if not ended and not any(record.late for record in seen):
        return f"has no end: last state {seen[-1].state}, not reported late"
    return ""


def _done_problem(
    job: JobAcceptedSeen, late: bool, succeeded: dict[TaskId, float], tolerance_s: float
) -> str:
    ends_s = [
        succeeded[TaskId(job.job_id, index)]
        for index in range(job.tasks_count)
        if TaskId(job.job_id, index) in succeeded
    ]
    if len(ends_s) < job.tasks_count:
        return f"is told done, but {len(ends_s)} of {job.tasks_count} tasks succeeded"
    if job.deadline_s is not None and not late:
        over_s = max(ends_s) - job.time_s - job.deadline_s
        if over_s > tolerance_s:
            return f"ended {over_s:.1f} s after its deadline and was not reported late"
    return ""


def _repeated_runs(history: History, jobs: dict[str, JobAcceptedSeen]) -> list[Violation]:
    violations = []
    finished_on: dict[TaskId, str] = {}
    started: set[TaskId] = set()
    for record in history.records:
        match record:
            case VmDied():
                finished_on = {
                    task: worker for task, worker in finished_on.items() if worker != record.vm
                }
            case AttemptEnded(end=AttemptEnd.SUCCEEDED.value):
                finished_on[record.attempt.task] = record.worker
            case AttemptStarted():
                task = record.attempt.task
                job = jobs.get(task.job_id)
                problem = ""
                if task in finished_on:
                    problem = f"starts on {record.worker} after its task succeeded"
                elif job is not None and not job.restartable and task in started:
                    problem = f"starts on {record.worker}, but the task is not restartable"
                if problem:
                    detail = f"{attempt_name(record.attempt)} {problem}"
                    violations.append(Violation(Promise.NOTHING_LOST, detail, record.time_s))
                started.add(task)
    return violations
