"""Checks of the runs of workers and of the answers to a client, for the rules TWICE and LOST.

The checks use only what the workers and the client have seen on their sockets.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping

import attrs

from .platform_stand_ins import (
    EndsAcknowledged,
    Event,
    FaultNoted,
    LeaseLapsed,
    RunEnded,
    RunStarted,
)

IDLE_S = 3.0
"""Time for which an unfinished job may have nothing running after the traffic."""
CONTACT_S = 4.0
"""Time after a fault of a daemon during which its answer 410 is no breach."""
VISIBLE_S = 3.0
"""Time after its acceptance from which a job must be known."""


@attrs.frozen
class TaskRun:
    """One run of a task, from its start to its end.

    Args:
        worker: id of the worker.
        life: number of the process under this id.
        task: name of the task.
        number: number of the run.
        started_s: time of the start in seconds.
        ended_s: time of the end in seconds; infinite while it runs.
        how: kind of the end; empty while it runs.
        noted_s: time in seconds at which its end was taken note of; None if it was not.
    """

    worker: str
    life: int
    task: str
    number: int
    started_s: float
    ended_s: float = float("inf")
    how: str = ""
    noted_s: float | None = None


@attrs.frozen
class Breach:
    """A broken rule.

    Args:
        rule: name of the rule.
        subject: task or job.
        kind: one of a few kinds of breaches of the rule, for counts.
        detail: what happened.
        runs: the runs that break the rule.
    """

    rule: str
    subject: str
    kind: str
    detail: str
    runs: tuple[TaskRun, ...] = ()


@attrs.frozen
class JobAnswer:
    """An answer to a client that asked for the state of an accepted job.

    Args:
        time_s: time of the answer in seconds.
        daemon: name of the daemon that was asked.
        job_id: id of the job.
        state: the state, `unknown` if there is no such job, or `no answer`.
    """

    time_s: float
    daemon: str
    job_id: str
    state: str


def _noted_s(
    end: RunEnded,
    acknowledged: list[EndsAcknowledged],
    lapses: list[LeaseLapsed],
    forgets_later_ends: bool,
) -> float | None:
    """Return when an end was taken note of: its number was acknowledged before the lease lapsed."""
    times_s = [
        row.time_s
        for row in acknowledged
        if row.end_number >= end.end_number and (forgets_later_ends or row.time_s >= end.time_s)
    ]
    if end.end_number == 0 or not times_s:
        return None
    noted_s = max(end.time_s, min(times_s))
    has_lapsed = any(end.time_s < row.time_s < noted_s for row in lapses)
    return None if has_lapsed else noted_s


def collect_runs(events: Iterable[Event], forgets_later_ends: bool = True) -> list[TaskRun]:
    """Return all runs of a history, in the order of their starts.

    Args:
        events: what the workers have seen.
        forgets_later_ends: whether a number that is acknowledged before its end occurs counts as
            an acknowledgement of this end.
    """
    starts, ends = {}, {}
    acknowledged, lapses = defaultdict(list), defaultdict(list)
    for event in events:
        match event:
            case RunStarted():
                starts[event.worker, event.life, event.task, event.number] = event
            case RunEnded():
                ends[event.worker, event.life, event.task, event.number] = event
            case EndsAcknowledged():
                acknowledged[event.worker, event.life].append(event)
            case LeaseLapsed():
                lapses[event.worker, event.life].append(event)
    runs = []
    for key, start in starts.items():
        end = ends.get(key)
        if end is None:
            runs.append(TaskRun(*key, start.time_s))
        else:
            noted_s = _noted_s(end, acknowledged[key[:2]], lapses[key[:2]], forgets_later_ends)
            runs.append(TaskRun(*key, start.time_s, end.time_s, end.how, noted_s))
    return sorted(runs, key=lambda run: run.started_s)


def _break_twice(earlier: TaskRun, later: TaskRun) -> Breach | None:
    if later.started_s < earlier.ended_s:
        kind, end_s = "at once", min(earlier.ended_s, later.ended_s)
        detail = f"two runs at once from {later.started_s:.3f} s to {end_s:.3f} s"
    elif earlier.how == "done" and earlier.noted_s is not None:
        # The number had been acknowledged before this end: the call meant an earlier process.
        is_early = earlier.noted_s == earlier.ended_s
        kind = "after done, acknowledged too early" if is_early else "after done"
        detail = (
            f"starts at {later.started_s:.3f} s after its end as done at {earlier.ended_s:.3f} s, "
            f"taken note of at {earlier.noted_s:.3f} s"
        )
    else:
        return None
    return Breach("TWICE", later.task, kind, detail, (earlier, later))


def check_twice(events: Iterable[Event], forgets_later_ends: bool = True) -> list[Breach]:
    """Return the starts of runs beside another one or after an end that was taken note of.

    A start counts once, also if it breaks the rule with several earlier runs. The arguments are
    those of `collect_runs`.
    """
    runs_of_tasks = defaultdict(list)
    for run in collect_runs(events, forgets_later_ends):
        runs_of_tasks[run.task].append(run)
    breaches = []
    for runs in runs_of_tasks.values():
        for index, later in enumerate(runs):
            found = (_break_twice(earlier, later) for earlier in runs[:index])
            breaches += [breach for breach in found if breach is not None][:1]
    return breaches


def _find_failed_jobs(events: Iterable[Event], max_attempts: int) -> set[str]:
    """Return the ids of the jobs that may be shown as failed."""
    counts: dict[str, int] = defaultdict(int)
    for event in events:
        if isinstance(event, RunEnded) and event.how == "failed":
            counts[event.task] += 1
    return {task.partition(".")[0] for task, count in counts.items() if count >= max_attempts}


def check_answers(
    accepted_s: Mapping[str, float],
    answers: Iterable[JobAnswer],
    faults_s: Mapping[str, list[tuple[float, float]]],
    events: Iterable[Event],
    max_attempts: int,
) -> list[Breach]:
    """Return accepted jobs that were shown as unknown, cancelled, or failed without cause.

    Args:
        accepted_s: time of the acceptance of each accepted job, by id.
        answers: answers to the client.
        faults_s: begin and end of the faults of each daemon, by name.
        events: what the workers have seen.
        max_attempts: number of ends `failed` of one task after which its job has failed.
    """
    may_fail = _find_failed_jobs(events, max_attempts)

    def is_in_touch(answer: JobAnswer) -> bool:
        return not any(
            begin_s <= answer.time_s and answer.time_s < end_s + CONTACT_S
            for begin_s, end_s in faults_s.get(answer.daemon, ())
        )

    breaches = {}
    for answer in answers:
        is_late = answer.time_s > accepted_s[answer.job_id] + VISIBLE_S
        is_lost = (
            (answer.state == "unknown" and is_late and is_in_touch(answer))
            or (answer.state == "failed" and answer.job_id not in may_fail)
            or answer.state == "cancelled"
        )
        if is_lost and answer.job_id not in breaches:
            breaches[answer.job_id] = Breach(
                "LOST",
                answer.job_id,
                "shown",
                f"shown as {answer.state} by {answer.daemon} at {answer.time_s:.3f} s",
            )
    return list(breaches.values())


def _count_at_work(runs: Iterable[TaskRun], time_s: float) -> int:
    return sum(run.started_s <= time_s < run.ended_s for run in runs)


def check_finished(
    final_states: Mapping[str, JobAnswer],
    events: Iterable[Event],
    room_tasks_count: int,
) -> list[Breach]:
    """Return accepted jobs that are not known at the end, or unfinished with nothing running.

    A job is lost if none of its tasks was at work in the last `IDLE_S` before the answer while
    less than half of the room was in use.

    Args:
        final_states: last answer for each accepted job, by id, `finish_s` and `IDLE_S` after the
            traffic.
        events: what the workers have seen.
        room_tasks_count: number of tasks that the workers can run at once.
    """
    runs = collect_runs(events)
    breaches = []
    for job_id, answer in final_states.items():
        if answer.state == "complete":
            continue
        from_s = answer.time_s - IDLE_S
        recent = [run for run in runs if run.started_s < answer.time_s and run.ended_s > from_s]
        times_s = [from_s, *(run.started_s for run in recent if run.started_s > from_s)]
        busy_count = max(_count_at_work(recent, time_s) for time_s in times_s)
        is_idle = not any(run.task.partition(".")[0] == job_id for run in recent)
        if answer.state not in ("queued", "running"):
            breaches.append(Breach("LOST", job_id, "shown", f"at the end: {answer.state}"))
        elif is_idle and 2 * busy_count < room_tasks_count:
            detail = f"at the end {answer.state}, with nothing running for {IDLE_S} s"
            own_runs = (run for run in runs if run.task.partition(".")[0] == job_id)
            breaches.append(Breach("LOST", job_id, "idle", detail, tuple(own_runs)[-4:]))
    return breaches


def _find_covering(events: Iterable[Event], tasks: set[str]) -> set[EndsAcknowledged]:
    """Return, the first acknowledgement that covers each listed end of some tasks."""
    ordered = sorted(events, key=lambda event: event.time_s)
    ends = [row for row in ordered if isinstance(row, RunEnded) and row.task in tasks]
    covering = set()
    for end in ends:
        found = (
            row
            for row in ordered
            if isinstance(row, EndsAcknowledged)
            and (row.worker, row.life) == (end.worker, end.life)
            and row.end_number >= end.end_number > 0
        )
        covering |= {row for row in [next(found, None)] if row is not None}
    return covering


def describe_breach(breach: Breach, events: Iterable[Event], margin_s: float = 2.5) -> list[str]:
    """Return a breach and the events that concern its runs, with their times, as lines."""
    lines = [f"{breach.rule} {breach.subject}: {breach.detail}"]
    if not breach.runs:
        return lines
    workers, tasks = {run.worker for run in breach.runs}, {run.task for run in breach.runs}
    covering = _find_covering(events, tasks)
    from_s = min(run.started_s for run in breach.runs) - margin_s
    to_s = max(min(run.ended_s, run.started_s + margin_s) for run in breach.runs) + margin_s
    for event in sorted(events, key=lambda event: event.time_s):
        if not from_s <= event.time_s <= to_s and event not in covering:
            continue
        match event:
            case RunStarted() if event.task in tasks:
                what = f"start of {event.task} run {event.number}"
            case RunEnded() if event.task in tasks:
                listed = f"{event.how}, end number {event.end_number}"
                what = f"end of {event.task} run {event.number}: {listed}"
            case EndsAcknowledged() if event in covering:
                what = f"ends up to {event.end_number} acknowledged"
            case LeaseLapsed() if event.worker in workers:
                what = "lease lapsed"
            case FaultNoted() if event.worker in workers or not event.worker:
                what = event.what
            case _:
                continue
        where = f"{event.worker} life {event.life}" if event.worker else "-"
        lines.append(f"  {event.time_s:8.3f} {where:20} {what}")
    return lines
