"""Records of a day at full size, and messages, for the benchmarks in `state`."""

import random

from fireflywharf_core.contracts import (
    UNLIMITED,
    Contract,
    ContractApplied,
    Quota,
    ReclaimStep,
    TeamQuota,
)
from fireflywharf_core.jobs import AttemptEnd, AttemptId, JobKind, JobSpec, JobState, TaskId
from fireflywharf_core.messages import DomainDigest, Heartbeat, ServiceSlots
from fireflywharf_core.platform import LogEntry
from fireflywharf_core.records import (
    RECORD_CODEC,
    JobAccepted,
    JobFinished,
    JobRefreshed,
    TaskEnded,
)
from fireflywharf_core.resources import ResourceVector

JOBS_PER_DAY = 22_000
CHANGES_PER_DAY = 1_700
TEAMS_COUNT = 130
CUSTOMERS_COUNT = 5
DOMAINS_COUNT = 24
ENTRY_VMS_COUNT = 72
LIVE_JOBS_COUNT = 1_000
TASK_ENDS_PER_DOMAIN = 20_000


def make_spec(number: int, rng: random.Random) -> JobSpec:
    """Return a job whose fields are as long as those that callers submit."""
    return JobSpec(
        job_id=f"j-{rng.getrandbits(80):020x}",
        customer=f"customer-{number % CUSTOMERS_COUNT}",
        team=f"team-{number % TEAMS_COUNT}",
        kind=JobKind.BATCH,
        workload=f"workload-{number % 50}",
        tasks_count=20,
        size=ResourceVector(2000, 4096, 0),
        run_time_s=120.0,
        deadline_s=3600.0,
        command=f"run --input data/{number} --output results/{number}",
    )


def make_job_records(count: int, live_count: int, seed: int) -> list:
    """Return the records of `count` jobs; the first `live_count` stay live, refreshed twice."""
    rng = random.Random(seed)
    records: list = []
    refreshed: list = []
    for number in range(count):
        spec = make_spec(number, rng)
        fields = {
            "spec": spec,
            "home_domain": f"domain-{number % DOMAINS_COUNT}",
            "accepted_utc_s": 1.7e9 + number,
            "submission_digest": f"{rng.getrandbits(128):032x}",
        }
        records.append(JobAccepted(**fields))
        if number < live_count:
            refreshed.append(JobRefreshed(**fields))
        else:
            records.append(JobFinished(spec.job_id, JobState.DONE))
    return records + refreshed + refreshed


def make_task_end_records(count: int, seed: int) -> list:
    """Return records of task ends in one failure domain, with 20 tasks per job."""
    rng = random.Random(seed)
    jobs = [f"j-{rng.getrandbits(80):020x}" for _ in range(count // 20 + 1)]
    return [
        TaskEnded(
            AttemptId(TaskId(jobs[number // 20], number % 20), 1),
            AttemptEnd.SUCCEEDED,
            f"worker-{number % 46}",
            rng.uniform(60, 180),
        )
        for number in range(count)
    ]


def make_contract(customer: int, weight: float) -> Contract:
    """Return a contract with its share of the `TEAMS_COUNT` teams."""
    quota = Quota(processors_millicores=64_000, memory_mb=262_144, accelerators_count=4)
    teams = [
        TeamQuota(team=f"team-{number}", weight=1.0, quota=quota)
        for number in range(customer, TEAMS_COUNT, CUSTOMERS_COUNT)
    ]
    return Contract(
        customer=f"customer-{customer}",
        share_weight=weight,
        quota=quota,
        teams=teams,
        requests_per_second=UNLIMITED,
        queue_max_tasks=100_000,
        reclaim_steps=[ReclaimStep.CHECKPOINT, ReclaimStep.STOP],
    )


def make_contract_change_records(count: int, seed: int) -> list:
    """Return contract changes without conflicts, so that all of them apply."""
    rng = random.Random(seed)
    return [
        ContractApplied(
            operation_id=f"{rng.getrandbits(128):032x}",
            contract=make_contract(number % CUSTOMERS_COUNT, rng.uniform(0.5, 4.0)),
            base_version=number // CUSTOMERS_COUNT,
            author="operator@example.org",
            time_utc="2026-12-04T08:00:00Z",
        )
        for number in range(count)
    ]


def make_log_entries(records: list, batch_count: int = 20) -> list[LogEntry]:
    """Return log entries for records that one writer appended in batches of `batch_count`."""
    return [
        LogEntry(
            offset,
            "entry-1#0123456789abcdef",
            offset // batch_count,
            offset % batch_count,
            RECORD_CODEC.encode(record),
        )
        for offset, record in enumerate(records)
    ]


def make_heartbeat(targets_count: int, services_count: int) -> Heartbeat:
    """Return the heartbeat of a scheduler that also holds targets."""
    return Heartbeat(
        incarnation="entry-centro-1-a#0123456789abcdef",
        vm_name="entry-centro-1-a",
        domain="centro-1",
        sequence=1_000_000,
        scheduler=True,
        held_workers_count=46,
        held_targets=[f"target-centro-1-{number}" for number in range(targets_count)],
        slots=[ServiceSlots(f"service-{number}", 100, 128) for number in range(services_count)],
        contracts_offset=1_000_000,
        jobs_offset=10_000_000,
        queued_requests_count=1000,
        mesh_address="tcp://10.10.10.10:7400",
    )


def make_digest(services_count: int) -> DomainDigest:
    """Return a domain digest with the free slots of `services_count` services."""
    return DomainDigest(
        incarnation="entry-centro-1-a#0123456789abcdef",
        vm_name="entry-centro-1-a",
        domain="centro-1",
        region="centro",
        sequence=1_000_000,
        free=ResourceVector(736_000, 3_000_000, 50),
        largest_free=ResourceVector(16_000, 65_536, 4),
        slots=[ServiceSlots(f"service-{number}", 100, 128) for number in range(services_count)],
        contracts_offset=1_000_000,
        set_aside_workers_count=2,
        set_aside_targets_count=1,
        mesh_address="tcp://10.10.10.10:7400",
    )
