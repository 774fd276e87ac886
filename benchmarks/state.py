"""Cost of the state: folds, replay, memory, appends, heartbeats, digests, leases and election."""

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
# TCP and IP headers and the length prefix of a message.
FRAME_BYTES = 60


def _replay(entries: list[LogEntry], fold: Callable) -> float:
    """Read and fold all entries and return the time."""
    reader = StreamReader("stream", RECORD_CODEC)
    started_s = time.perf_counter()
    for start in range(0, len(entries), READ_LIMIT):
        page = entries[start : start + READ_LIMIT]
        for item in reader.on_read(ReadAnswer(page, start + len(page), 0)):
            fold(item.offset, item.record, 0.0)
    return time.perf_counter() - started_s


def _json_bytes(records: list) -> float:
    return sum(len(msgspec.json.encode(record)) for record in records) / len(records)


def _size(entries: list[LogEntry]) -> int:
    return sum(len(entry.payload) for entry in entries)


def _memory(build: Callable[[], object]) -> tuple[int, object]:
    """Return the bytes that the result of `build` holds, and the result."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held_bytes, result


def _row(subject: str, target: str, baseline, present: float, unit: str, limit=None) -> Row:
    return Row(
        subject=subject,
        target=target,
        baseline=baseline,
        present=present,
        unit=unit,
        met=None if limit is None else present <= limit,
    )


def measure_folds(seed: int, quick: bool) -> list[Row]:
    """Measure bytes and time of each record, and the replay of a day after a restart."""
    part = 10 if quick else 1
    streams = {
        "job": (
            workload.job_records(
                workload.JOBS_PER_DAY // part, workload.LIVE_JOBS_COUNT // part, seed
            ),
            lambda: JobsFold("domain-0", DAY_S),
        ),
        "task end": (
            workload.task_end_records(workload.TASK_ENDS_PER_DOMAIN // part, seed),
            lambda: DomainFold(DAY_S),
        ),
        "contract": (
            workload.change_records(workload.CHANGES_PER_DAY // part, seed),
            lambda: ContractRegistry(DAY_S),
        ),
    }
    rows, total_s, total_bytes = [], 0.0, 0
    for name, (records, make_fold) in streams.items():
        entries = workload.entries_of(records)
        # Other work on the machine only adds time, so the shortest of three runs counts.
        used_s = min(_replay(entries, make_fold().fold) for _ in range(3))
        total_s += used_s
        total_bytes += _size(entries)
        mean_bytes = _size(entries) / len(entries)
        rows.append(
            _row(f"{name} record, baseline JSON", "-", _json_bytes(records), mean_bytes, "bytes")
        )
        rows.append(
            _row(f"{name} record, decode and fold", "-", None, used_s / len(entries) * 1e6, "us")
        )
        if name == "task end":
            percent = used_s / len(entries) * PEAK_ENDS_PER_S * 100
            subject = "fold of 940 task ends a second in one domain"
            rows.append(
                _row(subject, "at most 2.5 % of a core", None, percent, "%", CORE_PERCENT_MAX)
            )
    rows.append(_row("replay of a day after a restart, time", "-", None, total_s, "s"))
    rows.append(_row("replay of a day after a restart, bytes", "-", None, total_bytes / 1e6, "MB"))
    percent = total_s / (DAY_S / part) * 100
    rows.append(
        _row("folds of a day", "at most 2.5 % of a core", None, percent, "%", CORE_PERCENT_MAX)
    )
    return rows


def measure_snapshot(seed: int, quick: bool) -> list[Row]:
    """Measure the contracts replay from the newest snapshot against that of all changes."""
    records = workload.change_records(workload.CHANGES_PER_DAY // (10 if quick else 1), seed)
    registry = ContractRegistry(DAY_S)
    quarter = len(records) * 3 // 4
    for offset, record in enumerate(records[:quarter]):
        registry.fold(offset, record, 0.0)
    snapshot = registry.snapshot()
    whole = workload.entries_of(records)
    late = workload.entries_of([snapshot, *records[quarter:]])
    return [
        _row("snapshot of all contracts", "-", None, len(late[0].payload), "bytes"),
        _row(
            "contracts replay, baseline without snapshot",
            "-",
            _size(whole) / 1e6,
            _size(late) / 1e6,
            "MB",
        ),
    ]


def measure_memory(seed: int, quick: bool) -> list[Row]:
    """Measure the memory of live and finished jobs, of contracts and of a whole day."""
    count = workload.JOBS_PER_DAY // (10 if quick else 1)
    live_count = workload.LIVE_JOBS_COUNT // (10 if quick else 1)

    def fold_jobs(live: int) -> JobsFold:
        fold = JobsFold("domain-0", DAY_S)
        entries = workload.entries_of(workload.job_records(count, live, seed))
        _replay(entries, fold.fold)
        return fold

    def fold_contracts() -> ContractRegistry:
        registry = ContractRegistry(DAY_S)
        changes = workload.change_records(workload.CHANGES_PER_DAY // (10 if quick else 1), seed)
        _replay(workload.entries_of(changes), registry.fold)
        return registry

    live_bytes, fold = _memory(lambda: fold_jobs(count))
    assert len(fold.live_) == count
    finished_bytes, fold = _memory(lambda: fold_jobs(0))
    assert len(fold.finished_) == count
    day_bytes, _ = _memory(lambda: fold_jobs(live_count))
    contract_bytes, registry = _memory(fold_contracts)
    changes_count = sum(len(registry.history(name)) for name in registry.current())
    total_mb = (day_bytes + contract_bytes) / 1e6
    return [
        _row("memory of a live job", "-", None, live_bytes / count, "bytes"),
        _row(
            "memory of a finished job, baseline live",
            "-",
            live_bytes / count,
            finished_bytes / count,
            "bytes",
        ),
        _row(
            "memory of a kept contract change", "-", None, contract_bytes / changes_count, "bytes"
        ),
        _row(
            "memory of jobs and contracts of a day",
            "at most 128 MB",
            None,
            total_mb,
            "MB",
            MEMORY_MAX_MB,
        ),
    ]


def measure_appends(seed: int, quick: bool) -> list[Row]:
    """Measure the appends of 72 entry VMs at the peak of task ends, in virtual time."""
    rng = random.Random(seed)
    interval_s = 0.25
    vms = []
    for index in range(workload.ENTRY_VMS_COUNT):
        pacer = AppendPacer(interval_s)
        streams = ("jobs", "keys", "domain", "contracts")
        vms.append(
            [
                GroupCommitWriter(f"vm{index}", name, append_interval_s=interval_s, pacer=pacer)
                for name in streams
            ]
        )
    # Per VM and second: jobs at ten times the daily mean, 5 request keys, a third of the VMs are
    # schedulers and record the ends of tasks.
    jobs_per_s = workload.JOBS_PER_DAY * 10 / DAY_S / workload.ENTRY_VMS_COUNT
    duration_s = 10 if quick else 60
    tick_s = 0.05
    times, records_count = [], 0
    for step in range(int(duration_s / tick_s)):
        now_s = step * tick_s
        for index, writers in enumerate(vms):
            ends_per_s = PEAK_ENDS_PER_S / workload.DOMAINS_COUNT if index % 3 == 0 else 0.0
            for writer, rate in zip(writers, (jobs_per_s, 5.0, ends_per_s, 0.01), strict=True):
                count = int(rate * tick_s) + (rng.random() < rate * tick_s % 1)
                for _ in range(count):
                    writer.submit(b"record", now_s)
                records_count += count
                if writer.next_action(now_s) is not None:
                    writer.on_appended(0, now_s + 0.01)
                    times.append(now_s)
    backlog_count = sum(writer.backlog_count for writers in vms for writer in writers)
    assert len(times) <= records_count
    rate = len(times) / duration_s
    return [
        _row(
            "appends a second of 72 entry VMs, baseline one per record",
            "at most 300",
            records_count / duration_s,
            rate,
            "",
            APPENDS_PER_S_MAX,
        ),
        _row("records not yet durable at the end", "-", None, backlog_count, ""),
    ]


def measure_messages(seed: int, quick: bool) -> list[Row]:
    """Measure heartbeat and digest bytes of one scheduler at 24 domains of 3 VMs."""
    heartbeat = len(MESSAGE_CODEC.encode(workload.make_heartbeat(16, 4)))
    digest = len(MESSAGE_CODEC.encode(workload.make_digest(4)))
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
    sent = heartbeats_per_s * (heartbeat + FRAME_BYTES) + digests_per_s * (digest + FRAME_BYTES)
    received_digests_per_s = (workload.DOMAINS_COUNT - 1) * 2 / 3
    received = heartbeats_per_s * (heartbeat + FRAME_BYTES)
    received += received_digests_per_s * (digest + FRAME_BYTES)
    other_vms_count = workload.ENTRY_VMS_COUNT - 3
    everyone = sent + (other_vms_count - digests_per_s) * (digest + FRAME_BYTES)
    return [
        _row("heartbeat, 16 targets, 4 services", "-", None, heartbeat, "bytes"),
        _row("digest, 4 services", "at most 400 bytes", None, digest, "bytes", DIGEST_BYTES_MAX),
        _row(
            "sent by a scheduler, baseline digest to every VM",
            "at most 25 KB/s",
            everyone,
            sent,
            "bytes/s",
            BYTES_PER_S_MAX,
        ),
        _row(
            "sent and received by a scheduler",
            "at most 25 KB/s",
            None,
            sent + received,
            "bytes/s",
            BYTES_PER_S_MAX,
        ),
    ]


def measure_leases(seed: int, quick: bool) -> list[Row]:
    """Measure the time for leases and election decisions of one domain with 1,100 workers."""
    count, duration_s = 1_100, 5 if quick else 20
    table = LeaseTable(5.0, rng=random.Random(seed))
    granters = {f"worker-{index}": GranterLease() for index in range(count)}
    election = SchedulerElection("domain-0", "vm#1")
    table.track(granters, 0.0)
    used_s, decide_s = 0.0, []
    for step in range(duration_s * 10):
        now_s = step / 10
        started_s = time.perf_counter()
        due = [(name, table.record_claim_sent(name, now_s)) for name in table.take_due(now_s)]
        used_s += time.perf_counter() - started_s
        grants = [(name, granters[name].claim("vm#1", 5.0, now_s), sent) for name, sent in due]
        started_s = time.perf_counter()
        for name, grant, sent_s in grants:
            table.on_granted(name, grant.epoch, sent_s, now_s + 0.01)
        used_s += time.perf_counter() - started_s
        started_s = time.perf_counter()
        held = table.held(now_s + 0.02)
        view = ElectionView(known_workers=granters, held_workers=held, known_workers_read_s=now_s)
        election.decide(view, now_s + 0.02)
        decide_s.append(time.perf_counter() - started_s)
    percent = used_s / duration_s * 100
    return [
        _row(
            "renewals of 1,100 workers in one domain",
            "at most 2.5 % of a core",
            None,
            percent,
            "%",
            CORE_PERCENT_MAX,
        ),
        _row(
            "election decision at 1,100 workers, mean",
            "-",
            None,
            sum(decide_s) / len(decide_s) * 1e6,
            "us",
        ),
    ]


def measure(seed: int, quick: bool) -> list[Row]:
    """Measure all subjects.

    Args:
        seed: seed of the records and arrivals.
        quick: use a tenth of the input.

    Returns:
        One row per subject.
    """
    return [
        *measure_folds(seed, quick),
        *measure_snapshot(seed, quick),
        *measure_memory(seed, quick),
        *measure_appends(seed, quick),
        *measure_messages(seed, quick),
        *measure_leases(seed, quick),
    ]
