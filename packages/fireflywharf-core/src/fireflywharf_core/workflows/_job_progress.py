"""Progress of a job: its record, and the occurrences that are created, open and done."""

from __future__ import annotations

from ._journal_records import (
    StepProgress,
    WorkflowProgress,
    WorkflowState,
)
from ._occurrences import OccurrenceSet
from ._state import GANG_INDEX, Job, Step


def create_due_occurrences(job: Job, utc_s: float) -> None:
    """Create the steps of due occurrences, as far as further ones may be open.

    Args:
        job: a job with scheduled times.
        utc_s: seconds since the Unix epoch.
    """
    spec = job.spec

    def is_due() -> bool:
        due_utc_s = spec.first_due_utc_s + job.next_occurrence * spec.interval_s
        return job.next_occurrence < spec.times_count and utc_s >= due_utc_s

    if not is_due():
        return
    retire_occurrences(job)
    while is_due() and job.open_occurrences_count < job.open_occurrences_max:
        job.create_occurrence(job.next_occurrence)
        job.next_occurrence += 1


def retire_occurrences(job: Job) -> None:
    """Remove the steps of occurrences that are done, unless runs of them may be alive.

    Otherwise, memory and records would grow with each occurrence of a job.
    """
    if not job.spec.times_count or job.state.is_final:
        return
    indices = range(len(job.spec.steps))
    for occurrence in {occurrence for occurrence, _ in job.steps}:
        steps = [job.steps[occurrence, index] for index in indices]
        if all(step.done and not step.runs for step in steps):
            job.done.add(occurrence)
            for index in indices:
                del job.steps[occurrence, index]


def make_progress(job: Job) -> WorkflowProgress:
    """Return the progress to store in the journal; its size depends on what is open."""
    retire_occurrences(job)
    rows = () if job.state.is_final else (_make_row(step) for step in job.steps.values())
    return WorkflowProgress(
        job_id=job.job_id,
        state=job.state,
        queue=job.queue.name if job.state is WorkflowState.QUEUED else "",
        team=job.team,
        steps=tuple(row for row in rows if row.done_bits or row.failures),
        done_before=job.done.done_before,
        done_ranges=job.done.later_ranges,
        is_excess=job.is_excess,
    )


def _make_row(step: Step) -> StepProgress:
    """Return the progress of a step, without the failures of done tasks."""
    return StepProgress(
        occurrence=step.name.occurrence,
        step=step.name.step,
        done_bits=step.done_bits,
        failures={
            index: numbers
            for index, numbers in step.failures.items()
            if not (step.done if index == GANG_INDEX else step.is_done(index))
        },
    )


def restore_progress(job: Job, progress: WorkflowProgress) -> None:
    """Restore the progress that an earlier tenure stored."""
    job.state, job.is_excess = progress.state, progress.is_excess
    job.done = OccurrenceSet(progress.done_before, progress.done_ranges)
    job.next_occurrence = job.done.done_before
    for row in progress.steps:
        job.create_occurrence(row.occurrence)
        step = job.steps.get((row.occurrence, row.step))
        if step is None:
            continue
        step.done_bits = row.done_bits
        step.failures = dict(row.failures)
        step.raise_run_numbers()
        step.waiting = {i for i in step.waiting if not row.done_bits >> i & 1}
    retire_occurrences(job)
