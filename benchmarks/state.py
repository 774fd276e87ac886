"""Measures folds, replay, memory, appends, heartbeats, digests, leases and the election."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from benchmarks import _state_workload as workload
from benchmarks._table import Row
from fireflywharf_core.contracts import ContractRegistry
from fireflywharf_core.leases import GranterLease, LeaseTable
from fireflywharf_core.log import AppendPacer, DomainFold, GroupCommitWriter, JobsFold, StreamReader
from fireflywharf_core.membership import DigestPlanner, ElectionView, SchedulerElection
from fireflywharf_core.messages import MESSAGE_CODEC
from fireflywharf_core.platform import LogEntry, ReadAnswer
from fireflywharf_core.records import RECORD_CODEC

PAGE = "state"
READ_LIMIT = 1000
DAY_S = 86_400.0
CORE_PERCENT_MAX = 2.5
MEMORY_MAX_MB = 128
BYTES_PER_S_MAX = 25_000
APPENDS_PER_S_MAX = 300
DIGEST_BYTES_MAX = 400
PEAK_ENDS_PER_S = 940
# TCP and IP headers and the length prefix of a mesh message.
FRAME_BYTES = 60


def _measure_replay_s(entries: list[LogEntry], fold: Callable) -> float:
    """Decode all entries, pass them to `fold`, and return the elapsed time in seconds."""
    reader = StreamReader("stream", RECORD_CODEC)
    started_s = time.perf_counter()
    for start in range(0, len(entries), READ_LIMIT):
        page = entries[start : start + READ_LIMIT]
        for item in reader.on_read(ReadAnswer(page, start + len(page), 0)):
            fold(item.offset, item.record, 0.0)
    return time.perf_counter() - started_s


def _mean_json_bytes(records: list) -> float:
    """Return the mean size of a record encoded as JSON."""
    return sum(len(msgspec.json.encode(record)) for record in records) / len(records)


def _sum_payload_bytes(entries: list[LogEntry]) -> int:
    """Return the total payload size of the entries."""
    return sum(len(entry.payload) for entry in entries)


def _measure_memory(build: Callable[[], object]) -> tuple[int, object]:
    """Return the memory in bytes that the result of `build` holds, and the result."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held_bytes, result


def _make_row(subject: str, target: str, baseline, present: float, unit: str, limit=None) -> Row:
    """Return a row; `limit` is the largest value that meets the target, or None without one."""
    return Row(
        subject=subject,
        target=target,
        baseline=baseline,
        present=present,
        unit=unit,
        met=None if limit is None else present <= limit,
    )


def measure_folds(seed: int, quick: bool) -> list[Row]:
    """Measure size and decoding time of each kind of record, and the replay of a day of records."""
    divisor = 10 if quick else 1
    streams = {
        "job": (
            workload.make_job_records(
                workload.JOBS_PER_DAY // divisor, workload.LIVE_JOBS_COUNT // divisor, seed
            ),
            lambda: JobsFold("domain-0", DAY_S),
        ),
        "task end": (
            workload.make_task_end_records(workload.TASK_ENDS_PER_DOMAIN // divisor, seed),
            lambda: DomainFold(DAY_S),
        ),
        "contract": (
            workload.make_contract_change_records(workload.CHANGES_PER_DAY // divisor, seed),
            lambda: ContractRegistry(DAY_S),
        ),
    }
    rows, total_s, total_bytes = [], 0.0, 0
    for name, (records, make_fold) in streams.items():
        entries = workload.make_log_entries(records)
        # Other processes on the machine only add time, so the shortest of three runs counts.
        elapsed_s = min(_measure_replay_s(entries, make_fold().fold) for _ in range(3))
        total_s += elapsed_s
        total_bytes += _sum_payload_bytes(entries)
        mean_bytes = _sum_payload_bytes(entries) / len(entries)
        rows.append(
            _make_row(
                f"{name} record, baseline JSON", "-", _mean_json_bytes(records), mean_bytes, "bytes"
            )
        )
        rows.append(
            _make_row(
                f"{name} record, decode and fold", "-", None, elapsed_s / len(entries) * 1e6, "us"
            )
        )
        if name == "task end":
            percent = elapsed_s / len(entries) * PEAK_ENDS_PER_S * 100
            subject = "fold of 940 task ends a second in one domain"
            rows.append(
                _make_row(subject, "at most 2.5 % of a core", None, percent, "%", CORE_PERCENT_MAX)
            )
    rows.append(_make_row("replay of a day after a restart, time", "-", None, total_s, "s"))
    rows.append(
        _make_row("replay of a day after a restart, bytes", "-", None, total_bytes / 1e6, "MB")
    )
    percent = total_s / (DAY_S / divisor) * 100
    rows.append(
        _make_row("folds of a day", "at most 2.5 % of a core", None, percent, "%", CORE_PERCENT_MAX)
    )
    return rows


def measure_snapshot(seed: int, quick: bool) -> list[Row]:
    """Compare the replay of contracts from the newest snapshot with the replay of all changes."""
    records = workload.make_contract_change_records(
        workload.CHANGES_PER_DAY // (10 if quick else 1), seed
    )
    registry = ContractRegistry(DAY_S)
    snapshot_position = len(records) * 3 // 4
    for offset, record in enumerate(records[:snapshot_position]):
        registry.fold(offset, record, 0.0)
    snapshot = registry.snapshot()
    all_entries = workload.make_log_entries(records)
    entries_since_snapshot = workload.make_log_entries([snapshot, *records[snapshot_position:]])
    return [
        _make_row(
            "snapshot of all contracts", "-", None, len(entries_since_snapshot[0].payload), "bytes"
        ),
        _make_row(
            "contracts replay, baseline without snapshot",
            "-",
            _sum_payload_bytes(all_entries) / 1e6,
            _sum_payload_bytes(entries_since_snapshot) / 1e6,
            "MB",
        ),
    ]


def measure_memory(seed: int, quick: bool) -> list[Row]:
    """Measure the memory of live jobs, finished jobs, contract changes and a day of records."""
    count = workload.JOBS_PER_DAY // (10 if quick else 1)
    live_count = workload.LIVE_JOBS_COUNT // (10 if quick else 1)

    def fold_jobs(live: int) -> JobsFold:
        fold = JobsFold("domain-0", DAY_S)
        entries = workload.make_log_entries(workload.make_job_records(count, live, seed))
        _measure_replay_s(entries, fold.fold)
        return fold

    def fold_contracts() -> ContractRegistry:
        registry = ContractRegistry(DAY_S)
        changes = workload.make_contract_change_records(
            workload.CHANGES_PER_DAY // (10 if quick else 1), seed
        )
        _measure_replay_s(workload.make_log_entries(changes), registry.fold)
        return registry

    live_bytes, fold = _measure_memory(lambda: fold_jobs(count))
    assert len(fold.live_) == count
    finished_bytes, fold = _measure_memory(lambda: fold_jobs(0))
    assert len(fold.finished_) == count
    day_bytes, _ = _measure_memory(lambda: fold_jobs(live_count))
    contract_bytes, registry = _measure_memory(fold_contracts)
    changes_count = sum(len(registry.history(name)) for name in registry.current())
    total_mb = (day_bytes + contract_bytes) / 1e6
    return [
        _make_row("memory of a live job", "-", None, live_bytes / count, "bytes"),
        _make_row(
            "memory of a finished job, baseline live",
            "-",
            live_bytes / count,
            finished_bytes / count,
            "bytes",
        ),
        _make_row(
            "memory of a kept contract change", "-", None, contract_bytes / changes_count, "bytes"
        ),
        _make_row(
            "memory of jobs and contracts of a day",
            "at most 128 MB",
            None,
            total_mb,
            "MB",
            MEMORY_MAX_MB,
        ),
    ]


def measure_appends(seed: int, quick: bool) -> list[Row]:
    """Measure the append rate of 72 entry VMs at the peak rate of task ends, in virtual time."""
    rng = random.Random(seed)
    interval_s = 0.25
    writers_by_vm = []
    for index in range(workload.ENTRY_VMS_COUNT):
        pacer = AppendPacer(interval_s)
        streams = ("jobs", "keys", "domain", "contracts")
        writers_by_vm.append(
            [
                GroupCommitWriter(f"vm{index}", name, append_interval_s=interval_s, pacer=pacer)
                for name in streams
            ]
        )
    # Each VM records jobs at ten times the daily mean and 5 request keys per second. A third of the
    # VMs are schedulers and also record the ends of tasks.
    jobs_per_s = workload.JOBS_PER_DAY * 10 / DAY_S / workload.ENTRY_VMS_COUNT
    duration_s = 10 if quick else 60
    tick_s = 0.05
    append_times_s, records_count = [], 0
    for step in range(int(duration_s / tick_s)):
        now_s = step * tick_s
        for index, writers in enumerate(writers_by_vm):
            ends_per_s = PEAK_ENDS_PER_S / workload.DOMAINS_COUNT if index % 3 == 0 else 0.0
            for writer, records_per_s in zip(
                writers, (jobs_per_s, 5.0, ends_per_s, 0.01), strict=True
            ):
                count = int(records_per_s * tick_s) + (rng.random() < records_per_s * tick_s % 1)
                for _ in range(count):
                    writer.submit(b"record", now_s)
                records_count += count
                if writer.next_action(now_s) is not None:
                    writer.on_appended(0, now_s + 0.01)
                    append_times_s.append(now_s)
    backlog_count = sum(writer.backlog_count for writers in writers_by_vm for writer in writers)
    assert len(append_times_s) <= records_count
    appends_per_s = len(append_times_s) / duration_s
    return [
        _make_row(
            "appends a second of 72 entry VMs, baseline one per record",
            "at most 300",
            records_count / duration_s,
            appends_per_s,
            "",
            APPENDS_PER_S_MAX,
        ),
        _make_row("records not yet durable at the end", "-", None, backlog_count, ""),
    ]


def measure_messages(seed: int, quick: bool) -> list[Row]:
    """Measure the heartbeat and digest bytes of one scheduler in 24 domains of 3 entry VMs each."""
    heartbeat_bytes = len(MESSAGE_CODEC.encode(workload.make_heartbeat(16, 4)))
    digest_bytes = len(MESSAGE_CODEC.encode(workload.make_digest(4)))
    planner = DigestPlanner("domain-0")
    members = {
        f"domain-{domain}": [f"domain-{domain}-vm{vm}" for vm in range(3)]
        for domain in range(workload.DOMAINS_COUNT)
    }
    duration_s = 20 if quick else 100
    sent_count = sum(
        len(planner.take_due_receivers(members, step / 10)) for step in range(duration_s * 10)
    )
    digests_per_s = sent_count / duration_s
    heartbeats_per_s = 2 * 2
    sent_bytes_per_s = heartbeats_per_s * (heartbeat_bytes + FRAME_BYTES) + digests_per_s * (
        digest_bytes + FRAME_BYTES
    )
    received_digests_per_s = (workload.DOMAINS_COUNT - 1) * 2 / 3
    received_bytes_per_s = heartbeats_per_s * (heartbeat_bytes + FRAME_BYTES)
    received_bytes_per_s += received_digests_per_s * (digest_bytes + FRAME_BYTES)
    other_vms_count = workload.ENTRY_VMS_COUNT - 3
    broadcast_bytes_per_s = sent_bytes_per_s + (other_vms_count - digests_per_s) * (
        digest_bytes + FRAME_BYTES
    )
    return [
        _make_row("heartbeat, 16 targets, 4 services", "-", None, heartbeat_bytes, "bytes"),
        _make_row(
            "digest, 4 services", "at most 400 bytes", None, digest_bytes, "bytes", DIGEST_BYTES_MAX
        ),
        _make_row(
            "sent by a scheduler, baseline digest to every VM",
            "at most 25 KB/s",
            broadcast_bytes_per_s,
            sent_bytes_per_s,
            "bytes/s",
            BYTES_PER_S_MAX,
        ),
        _make_row(
            "sent and received by a scheduler",
            "at most 25 KB/s",
            None,
            sent_bytes_per_s + received_bytes_per_s,
            "bytes/s",
            BYTES_PER_S_MAX,
        ),
    ]


def measure_leases(seed: int, quick: bool) -> list[Row]:
    """Measure the time for lease renewals and election decisions in a domain of 1,100 workers."""
    count, duration_s = 1_100, 5 if quick else 20
    table = LeaseTable(5.0, rng=random.Random(seed))
    granters = {f"worker-{index}": GranterLease() for index in range(count)}
    election = SchedulerElection("domain-0", "vm#1")
    table.track(granters, 0.0)
    elapsed_s, decision_times_s = 0.0, []
    for step in range(duration_s * 10):
        now_s = step / 10
        started_s = time.perf_counter()
        due = [(name, table.record_claim_sent(name, now_s)) for name in table.take_due(now_s)]
        elapsed_s += time.perf_counter() - started_s
        grants = [
            (name, granters[name].claim("vm#1", 5.0, now_s), claim_sent_s)
            for name, claim_sent_s in due
        ]
        started_s = time.perf_counter()
        for name, grant, claim_sent_s in grants:
            table.on_granted(name, grant.epoch, claim_sent_s, now_s + 0.01)
        elapsed_s += time.perf_counter() - started_s
        started_s = time.perf_counter()
        held = table.held(now_s + 0.02)
        view = ElectionView(known_workers=granters, held_workers=held, known_workers_read_s=now_s)
        election.decide(view, now_s + 0.02)
        decision_times_s.append(time.perf_counter() - started_s)
    percent = elapsed_s / duration_s * 100
    return [
        _make_row(
            "renewals of 1,100 workers in one domain",
            "at most 2.5 % of a core",
            None,
            percent,
            "%",
            CORE_PERCENT_MAX,
        ),
        _make_row(
            "election decision at 1,100 workers, mean",
            "-",
            None,
            sum(decision_times_s) / len(decision_times_s) * 1e6,
            "us",
        ),
    ]


def measure(seed: int, quick: bool) -> list[Row]:
    """Run all measurements of this module.

    Args:
        seed: seed of the records and arrivals.
        quick: whether to measure a tenth of the records.

    Returns:
        The results.
    """
    return [
        *measure_folds(seed, quick),
        *measure_snapshot(seed, quick),
        *measure_memory(seed, quick),
        *measure_appends(seed, quick),
        *measure_messages(seed, quick),
        *measure_leases(seed, quick),
    ]
