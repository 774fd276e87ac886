"""Measures a decision of the workflow scheduler with many waiting steps, by the number of teams.

Run as `python -m benchmarks.team_decisions`; prints the median and the 95th percentile in ms.
"""

import statistics
import time

from fireflywharf_core.contracts import UNLIMITED, Quota, TeamQuota
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    DirectoryChanged,
    JobAdded,
    JobsRecorded,
    JournaledWorkflow,
    Queue,
    StartAnswered,
    StartResult,
    StartRun,
    StepSpec,
    TeamsChanged,
    TenureConfirmed,
    Timing,
    WorkerInfo,
    WorkerReported,
    WorkflowAccepted,
    WorkflowScheduler,
    WorkflowSpec,
)

WORKERS_COUNT = 176
STEPS_COUNT = 500
DECISIONS_COUNT = 60
CAPS_MILLICORES = (1_000_000, 5_000)
"""Caps of each team: one that holds nothing, and one that holds most steps."""


def make_scheduler(teams_count: int, cap_millicores: int) -> WorkflowScheduler:
    """Return a scheduler with full workers and `STEPS_COUNT` further steps that wait."""
    journaled_by_job: dict[str, JournaledWorkflow] = {}
    scheduler = WorkflowScheduler(
        timing=Timing(),
        find_spec=lambda job_id: journaled_by_job[job_id].accepted.spec,
        find_team=lambda job_id: journaled_by_job[job_id].team,
    )
    workers = {
        f"w{index}": WorkerInfo(
            worker_id=f"w{index}",
            incarnation=1,
            address="127.0.0.1:1",
            service="s",
            domain="d",
            labels=frozenset(),
            capacity=ResourceVector(1000, 4000),
        )
        for index in range(WORKERS_COUNT)
    }
    scheduler.observe(DirectoryChanged(workers), 0.0)
    quota = Quota(
        processors_millicores=cap_millicores, memory_mb=UNLIMITED, accelerators_count=UNLIMITED
    )
    teams = [TeamQuota(team=f"t{n}", weight=20.0, quota=quota) for n in range(teams_count)]
    scheduler.observe(TeamsChanged(tuple(teams)), 0.0)
    for index in range(STEPS_COUNT + WORKERS_COUNT // 4):
        kind = index % 3
        tasks_count = 20 if kind else 1
        accepted = WorkflowAccepted(
            job_id=f"j{index}",
            queue=Queue(name=f"q{kind}", host="h", path_prefix="/", service="s", priority=kind),
            spec=WorkflowSpec(
                payload="",
                steps=(
                    StepSpec(
                        tasks_count=tasks_count,
                        size=ResourceVector(300, 100),
                        estimate_ms=3000.0,
                        gang=kind == 1,
                    ),
                ),
            ),
            accepted_utc_s=0.0,
            team=f"t{index % teams_count}" if teams_count else "",
        )
        journaled = JournaledWorkflow(accepted=accepted, team=accepted.team)
        journaled_by_job[accepted.job_id] = journaled
        scheduler.observe(JobAdded(job_id=accepted.job_id, journaled=journaled), 0.0)
    scheduler.observe(JobsRecorded(tuple(scheduler.jobs)), 0.0)
    return scheduler


def measure(teams_count: int, cap_millicores: int) -> list[float]:
    """Return the times of decisions while reports arrive, in milliseconds."""
    scheduler, times_ms = make_scheduler(teams_count, cap_millicores), []
    for number in range(DECISIONS_COUNT):
        now_s = 0.1 + number * 0.05
        for worker_id in scheduler.workers if number == 0 else ():
            scheduler.observe(
                WorkerReported(
                    worker_id=worker_id, incarnation=1, sent_s=now_s, running=(), ended=()
                ),
                now_s,
            )
        scheduler.observe(TenureConfirmed(now_s), now_s)
        # A run that ends makes every waiting step try again.
        scheduler.runs.capacity_version += 1
        started_s = time.perf_counter()
        actions = scheduler.decide(now_s, now_s)
        times_ms.append(1000.0 * (time.perf_counter() - started_s))
        for row in actions:
            if isinstance(row, StartRun):
                answer = StartAnswered(row.worker_id, row.task, row.number, StartResult.STARTED)
                scheduler.observe(answer, now_s)
    return times_ms[20:]


def main() -> None:
    """Print the times for deployments without teams, with one team and with 20 teams."""
    for teams_count in (0, 1, 20):
        for cap_millicores in CAPS_MILLICORES if teams_count else CAPS_MILLICORES[:1]:
            times_ms = sorted(measure(teams_count, cap_millicores))
            print(
                f"teams={teams_count} cap={cap_millicores}"
                f" median_ms={statistics.median(times_ms):.2f}"
                f" p95_ms={times_ms[int(0.95 * len(times_ms))]:.2f}"
            )


if __name__ == "__main__":
    main()
