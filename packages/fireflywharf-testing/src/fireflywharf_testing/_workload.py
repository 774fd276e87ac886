"""Generator of a mixed load of jobs and requests, and a table of the outcomes."""

import random
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor

import attrs
from tabulate import tabulate

from fireflywharf_core.history import AttemptStarted, HistoryRecord, RequestStarted

from ._caller import CallResult, RecordingCaller, RequestPlan

JOB_KINDS = ("batch", "gang", "urgent", "service")
FINAL_STATES = ("done", "failed", "cancelled", "unknown")
POLL_INTERVAL_S = 0.1


@attrs.frozen(slots=True, kw_only=True)
class WorkloadPlan:
    """Parameters of a workload.

    Args:
        jobs_count: total number of jobs, spread over the customers.
        requests_count: total number of requests, spread over the customers.
        service: service that the requests call.
        concurrency: number of calls in progress at once.
        seed: seed of sizes, run times, entry VMs and order.
        run_s: mean run time of a task in seconds.
        service_ms: service time of a short request in milliseconds; one request in ten is long and
            takes ten times as long.
        timeout_s: deadline of the jobs, and time to wait for them after the last submission, in
            seconds.
    """

    jobs_count: int = 40
    requests_count: int = 400
    service: str = "dispatch"
    concurrency: int = 16
    seed: int = 1
    run_s: float = 0.3
    service_ms: float = 10.0
    timeout_s: float = 60.0


@attrs.define(slots=True, kw_only=True)
class Submission:
    """One submitted job or request and its outcome.

    Args:
        customer: customer that submitted it.
        kind: kind of the job, or `short request`, `long request` or `keyed request`.
        name: job id, or operation of a request.
        sent_s: time of the submission in seconds on the monotonic clock.
        outcome: `on time`, `late`, another final state of a job, the code or class of a refusal,
            or `missing` while there is none.
    """

    customer: str
    kind: str
    name: str
    sent_s: float
    outcome: str = "missing"


class Workload:
    """Submits a mixed load through the HTTP interface of the entry VMs.

    Args:
        callers: client of each customer, by name; all use the same entry VMs.
        plan: parameters of the load.
        progress: receives lines of text about the progress.
    """

    def __init__(
        self,
        callers: Mapping[str, RecordingCaller],
        plan: WorkloadPlan,
        progress: Callable[[str], None] = print,
    ) -> None:
        self.callers = callers
        self.plan = plan
        self.progress = progress
        self.submitted: list[Submission] = []
        self._lock = threading.Lock()
        self._rng = random.Random(plan.seed)

    def run(self) -> list[Submission]:
        """Submit everything, wait for the outcomes, cancel services; return the submissions."""
        plan = self.plan
        customers = sorted(self.callers)
        steps: list[Callable[[], None]] = []
        for number in range(plan.jobs_count):
            job = self._make_job(number)
            steps.append(
                self._bind_submission(self._submit_job, customers[number % len(customers)], job)
            )
        for number in range(plan.requests_count):
            request = self._make_request(number)
            customer = customers[number % len(customers)]
            steps.append(self._bind_submission(self._send_request, customer, request))
        self._rng.shuffle(steps)
        with ThreadPoolExecutor(plan.concurrency) as pool:
            for future in [pool.submit(step) for step in steps]:
                future.result()
        self.progress(f"submitted {plan.jobs_count} jobs and {plan.requests_count} requests")
        self._wait_for_jobs()
        return self.submitted

    def missing_submissions(self) -> list[Submission]:
        """Return the submissions without an outcome."""
        return [row for row in self.submitted if row.outcome == "missing"]

    def _bind_submission(
        self, step: Callable[..., None], customer: str, content: object
    ) -> Callable:
        vm = self._rng.choice(sorted(self.callers[customer].entry_vms))
        return lambda: step(customer, vm, content)

    def _make_job(self, number: int) -> dict[str, object]:
        kind = JOB_KINDS[number % 4] if number % 16 < 4 else "batch"
        size = {"processors_millicores": self._rng.choice([500, 1000, 2000]), "memory_mb": 512}
        run_s = round(self._rng.uniform(0.5, 1.5) * self.plan.run_s, 3)
        job: dict[str, object] = {
            "key": f"job-{self.plan.seed}-{number}",
            "kind": kind,
            "workload": kind,
            "size": size,
            "tasks_count": {"gang": 3, "service": 2}.get(kind, self._rng.randint(1, 4)),
            "run_time_s": run_s,
            "command": f'{{"run_s": {run_s}}}',
        }
        if kind == "service":
            return job | {"run_time_s": 0.0, "command": '{"run_s": null}'}
        return job | {"deadline_s": self.plan.timeout_s}

    def _make_request(self, number: int) -> RequestPlan:
        keyed = number % 5 == 0
        long = number % 10 == 9
        return RequestPlan(
            service=self.plan.service,
            kind="long" if long else "short",
            idempotent=not keyed,
            key=f"key-{self.plan.seed}-{number}" if keyed else "",
            service_ms=self.plan.service_ms * (10 if long else 1),
            operation=f"op-{self.plan.seed}-{number}",
        )

    def _submit_job(self, customer: str, vm: str, job: dict[str, object]) -> None:
        sent_s = time.monotonic()
        result = self.callers[customer].submit_job(vm, job)
        name = str(result.answer.get("job_id", job["key"]))
        row = Submission(customer=customer, kind=str(job["kind"]), name=name, sent_s=sent_s)
        if result.answer.get("class") != "pending":
            row.outcome = _describe_refusal(result)
        self._add_submission(row)

    def _send_request(self, customer: str, vm: str, plan: RequestPlan) -> None:
        sent_s = time.monotonic()
        result = self.callers[customer].send_request(vm, plan)
        kind = "keyed request" if plan.key else f"{plan.kind} request"
        row = Submission(customer=customer, kind=kind, name=plan.operation, sent_s=sent_s)
        row.outcome = "on time" if result.outcome == "completed" else _describe_refusal(result)
        self._add_submission(row)

    def _add_submission(self, row: Submission) -> None:
        with self._lock:
            self.submitted.append(row)

    def _wait_for_jobs(self) -> None:
        """Poll jobs until all have an outcome or `timeout_s` has passed."""
        end_s = time.monotonic() + self.plan.timeout_s
        waiting = [row for row in self.submitted if row.outcome == "missing"]
        while waiting and time.monotonic() < end_s:
            for row in waiting:
                self._poll_job(row)
            waiting = [row for row in waiting if row.outcome == "missing"]
            time.sleep(POLL_INTERVAL_S)
        self.progress(f"{len(waiting)} jobs without an outcome")

    def _poll_job(self, row: Submission) -> None:
        """Update the outcome of a job; cancel a service once its two tasks run."""
        caller = self.callers[row.customer]
        vm = self._rng.choice(sorted(caller.entry_vms))
        answer = caller.poll_job(vm, row.name).answer
        state = answer.get("state")
        if row.kind == "service" and answer.get("tasks_running_count") == 2:
            caller.exchange(vm, "POST", f"/v1/jobs/{row.name}/cancel", {})
        elif row.kind == "service" and state == "cancelled" and answer.get("recorded"):
            row.outcome = "on time"
        elif state in FINAL_STATES and answer.get("recorded"):
            on_time = state == "done" and not answer.get("late")
            row.outcome = "on time" if on_time else ("late" if state == "done" else str(state))


def _describe_refusal(result: CallResult) -> str:
    """Return the name of the result code in lower case, or the class of the outcome."""
    return result.code.name.lower() if result.code is not None else result.outcome


def waiting_times_s(
    submitted: Iterable[Submission], records: Iterable[HistoryRecord]
) -> dict[str, float]:
    """Return the time in seconds from submission to first start, by job id or operation."""
    started_s: dict[str, float] = {}
    for record in records:
        match record:
            case AttemptStarted():
                name = record.attempt.task.job_id
            case RequestStarted():
                name = record.operation
            case _:
                continue
        started_s[name] = min(record.time_s, started_s.get(name, record.time_s))
    return {
        row.name: max(0.0, started_s[row.name] - row.sent_s)
        for row in submitted
        if row.name in started_s
    }


def outcome_table(submitted: Iterable[Submission], records: Iterable[HistoryRecord]) -> str:
    """Return a table of outcomes and waiting times with a row per customer and kind."""
    submitted = list(submitted)
    waits_s = waiting_times_s(submitted, records)
    groups: dict[tuple[str, str], list[Submission]] = defaultdict(list)
    for row in submitted:
        groups[row.customer, row.kind].append(row)
    lines = []
    for (customer, kind), rows in sorted(groups.items()):
        outcomes = Counter(row.outcome for row in rows)
        other = {name: n for name, n in outcomes.items() if name not in ("on time", "late")}
        waits_ms = sorted(1000 * waits_s[row.name] for row in rows if row.name in waits_s)
        lines.append(
            [
                customer,
                kind,
                len(rows),
                outcomes["on time"],
                outcomes["late"],
                ", ".join(f"{name} {n}" for name, n in sorted(other.items())) or "-",
                _quantile(waits_ms, 0.5),
                _quantile(waits_ms, 0.99),
            ]
        )
    headers = ["customer", "kind", "submitted", "on time", "late", "other", "p50 ms", "p99 ms"]
    return tabulate(lines, headers=headers, floatfmt=".1f")


def _quantile(values: list[float], fraction: float) -> float | str:
    """Return a quantile of sorted values, or `-` when there are none."""
    return values[min(len(values) - 1, int(fraction * len(values)))] if values else "-"
