"""Checks that accepted jobs end on time or are reported late, and that no task runs twice."""

import math
from collections import defaultdict

from ..jobs import AttemptEnd, JobState, TaskId
from ._effects import AttemptEnded, AttemptStarted, VmDied
from ._history import History
from ._observations import JobAcceptedSeen, JobStateSeen
from ._placement_checks import format_attempt
from ._violation import Promise, Violation

END_STATES = {
    JobState.DONE.value,
    JobState.FAILED.value,
    JobState.CANCELLED.value,
    JobState.UNKNOWN.value,
}
# The scheduler learns of the end of an attempt with the next lease renewal, and then records it.
DEADLINE_TOLERANCE_S = 1.0


def check_accepted_jobs(
    history: History,
    deadline_tolerance_s: float = DEADLINE_TOLERANCE_S,
    outcome_retention_s: float = math.inf,
) -> list[Violation]:
    """Check that no accepted job was lost, reported wrongly or run again.

    * The last reported state is a recorded end state, or the job was reported late.
    * A recorded end state never changes. An end state that is not recorded may change: during an
      outage of the log, a scheduler reports `done` as not yet recorded, and if it crashes, its
      successor learns of the end from the worker.
    * `done` means that each task succeeded on a worker. The last success is at most
      `deadline_tolerance_s` after the deadline, unless the job was reported late.
    * A task that succeeded does not start again, unless its worker crashed after that. A task that
      is not restartable starts once.
    * A job may be `missing` once the log has deleted its outcome. This is `outcome_retention_s`
      after the end of its last attempt, or after its recorded end was first reported if it had no
      attempt.

    Args:
        history: records of a run.
        deadline_tolerance_s: time in seconds by which a job may miss its deadline without a report.
        outcome_retention_s: time in seconds for which the log keeps the outcome of a job.

    Returns:
        The violations.
    """
    violations = []
    last_attempt_ends_s = _find_last_attempt_ends_s(history)
    success_times_s = _find_success_times(history)
    states: dict[str, list[JobStateSeen]] = defaultdict(list)
    for seen in history.of_type(JobStateSeen):
        states[seen.job_id].append(seen)
    jobs = {record.job_id: record for record in reversed(history.of_type(JobAcceptedSeen))}
    for job in jobs.values():
        end_s = last_attempt_ends_s.get(job.job_id, _find_first_recorded_end_s(states[job.job_id]))
        retention_end_s = end_s + outcome_retention_s
        states[job.job_id] = [
            seen
            for seen in states[job.job_id]
            if seen.state != "missing" or seen.time_s <= retention_end_s
        ]
        problem = _describe_state_problem(states[job.job_id])
        if not problem and states[job.job_id][-1].state == JobState.DONE.value:
            late = any(seen.late for seen in states[job.job_id])
            problem = _describe_done_problem(job, late, success_times_s, deadline_tolerance_s)
        if problem:
            detail = f"job {job.job_id} of {job.customer} {problem}"
            violations.append(Violation(Promise.NOTHING_LOST, detail, history.end_s))
    return violations + _check_repeated_runs(history, jobs)


def _find_success_times(history: History) -> dict[TaskId, float]:
    """Return the time at which each task first succeeded."""
    times: dict[TaskId, float] = {}
    for record in history.of_type(AttemptEnded):
        if record.end == AttemptEnd.SUCCEEDED.value:
            times.setdefault(record.attempt.task, record.time_s)
    return times


def _find_last_attempt_ends_s(history: History) -> dict[str, float]:
    """Return the time at which the last attempt of each job ended, by job id."""
    return {record.attempt.task.job_id: record.time_s for record in history.of_type(AttemptEnded)}


def _find_first_recorded_end_s(seen: list[JobStateSeen]) -> float:
    """Return when a recorded end state was first reported, or infinity."""
    ends = [row.time_s for row in seen if row.state in END_STATES and row.recorded]
    return min(ends, default=math.inf)


def _describe_state_problem(seen: list[JobStateSeen]) -> str:
    """Return what is wrong with the reported states of one job; empty when they are valid."""
    if not seen:
        return "was accepted, but its state was never reported"
    end_state = ""
    for record in seen:
        if end_state and record.state != end_state:
            return f"changed from {end_state} to {record.state}"
        if record.state in END_STATES and record.recorded:
            end_state = record.state
    if not end_state and not any(record.late for record in seen):
        return f"has no end: last state {seen[-1].state}, not reported late"
    return ""


def _describe_done_problem(
    job: JobAcceptedSeen, late: bool, success_times_s: dict[TaskId, float], tolerance_s: float
) -> str:
    """Return what contradicts the report that a job is done; empty when nothing does."""
    ends_s = [
        success_times_s[TaskId(job.job_id, index)]
        for index in range(job.tasks_count)
        if TaskId(job.job_id, index) in success_times_s
    ]
    if len(ends_s) < job.tasks_count:
        return f"was reported done, but {len(ends_s)} of {job.tasks_count} tasks succeeded"
    if job.deadline_s is not None and not late:
        overdue_s = max(ends_s) - job.time_s - job.deadline_s
        if overdue_s > tolerance_s:
            return f"ended {overdue_s:.1f} s after its deadline and was not reported late"
    return ""


def _check_repeated_runs(history: History, jobs: dict[str, JobAcceptedSeen]) -> list[Violation]:
    """Return a violation for each start of a task that must not start again."""
    violations = []
    worker_by_finished_task: dict[TaskId, str] = {}
    started: set[TaskId] = set()
    for record in history.records:
        match record:
            case VmDied():
                worker_by_finished_task = {
                    task: worker
                    for task, worker in worker_by_finished_task.items()
                    if worker != record.vm
                }
            case AttemptEnded(end=AttemptEnd.SUCCEEDED.value):
                worker_by_finished_task[record.attempt.task] = record.worker
            case AttemptStarted():
                task = record.attempt.task
                job = jobs.get(task.job_id)
                problem = ""
                if task in worker_by_finished_task:
                    problem = f"starts on {record.worker} after its task succeeded"
                elif job is not None and not job.restartable and task in started:
                    problem = f"starts on {record.worker}, but the task is not restartable"
                if problem:
                    detail = f"{format_attempt(record.attempt)} {problem}"
                    violations.append(Violation(Promise.NOTHING_LOST, detail, record.time_s))
                started.add(task)
    return violations
