"""Simulated callers: seeded jobs and requests, and records of the answers."""

import hashlib
import itertools
import json
import random
from collections.abc import Callable
from typing import Any

import attrs

from fireflywharf_core.history import (
    JobAcceptedSeen,
    JobStateSeen,
    RequestAnswered,
    RequestSent,
)
from fireflywharf_core.history._job_checks import END_STATES
from fireflywharf_core.jobs import JobKind, JobSpec
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.results import (
    CodeClass,
    Completed,
    NotRun,
    OutcomeUnknown,
    ResultCode,
    describe_code,
)
from fireflywharf_daemon.http import (
    CallerError,
    ExecuteRequest,
    IssuedKeys,
    IssueKeys,
    JobStatus,
    RequestResult,
    SubmitJob,
    SubmittedJob,
)

from .._recorder import HistoryRecorder
from ._entry import EntryVm
from ._loop import Simulator
from ._operators import CUSTOMERS, RETRY_INTERVAL_S, Operators

SERVICE = "dispatch"
LOAD_START_S = 4.0
LOAD_END_S = 28.0
SUBMIT_TRIES_MAX = 12
POLL_INTERVAL_S = 2.0


@attrs.define
class _CallerJob:
    """State of a job on the side of its caller.

    Args:
        job: submission, the same at each try.
        polled_entry_vm: name of the entry VM that is polled for the state.
        tries_count: number of submissions so far.
        accepted: whether an entry VM accepted the job.
        cancel_requested: whether the job is to be cancelled once it is accepted.
        cancelled: whether an entry VM confirmed the cancellation.
        ended: whether a final state was observed.
        poll_in_progress: whether a poll by `_poll_all` has not been answered yet.
    """

    job: SubmitJob
    polled_entry_vm: str
    tries_count: int = 0
    accepted: bool = False
    cancel_requested: bool = False
    cancelled: bool = False
    ended: bool = False
    poll_in_progress: bool = False


class LoadGenerator(Operators):
    """Submits seeded jobs, requests and contract changes and records the answers.

    Args:
        simulator: clock and events.
        rng: source of all random choices of the load.
        recorder: receives the history records.
        entry_vms: newest process of each entry VM by name.
        wrong_sizes: whether the declared sizes and run times of jobs are far from the real ones.
    """

    def __init__(
        self,
        simulator: Simulator,
        rng: random.Random,
        recorder: HistoryRecorder,
        entry_vms: dict[str, EntryVm],
        wrong_sizes: bool = False,
    ) -> None:
        super().__init__(simulator, rng, recorder, entry_vms)
        self.wrong_sizes = wrong_sizes
        self.jobs: dict[str, _CallerJob] = {}
        self._numbers = itertools.count(1)

    # Schedule.

    def schedule_all(self, jobs_count: int, requests_count: int) -> None:
        """Schedule all contract changes, jobs, requests and polls.

        Args:
            jobs_count: number of jobs.
            requests_count: number of requests, repeats not counted.
        """
        for customer, weight in CUSTOMERS.items():
            self.simulator.schedule_at(
                2.0, lambda c=customer, w=weight: self.change_contract(c, 0, w)
            )
            for _ in range(2):
                at_s = self.rng.uniform(LOAD_START_S, LOAD_END_S)
                self.simulator.schedule_at(
                    at_s, lambda c=customer: self.apply_concurrent_changes(c, 1)
                )
        for _ in range(jobs_count):
            self.simulator.schedule_at(
                self.rng.uniform(LOAD_START_S, LOAD_END_S), self.submit_new_job
            )
        for _ in range(requests_count):
            self.simulator.schedule_at(
                self.rng.uniform(LOAD_START_S, LOAD_END_S), self.send_new_request
            )
        self.simulator.schedule_at(LOAD_END_S + 2.0, self.cancel_services)
        self.simulator.schedule_at(3.0, self._poll_all)

    # Jobs.

    def submit_new_job(self, cancel_soon: bool = False) -> None:
        """Submit a job of a random kind; soon cancel one in ten, or each if `cancel_soon`."""
        rng = self.rng
        number = next(self._numbers)
        kind = rng.choices(list(JobKind), [6, 2, 1, 2])[0]
        customer = rng.choice(list(CUSTOMERS))
        run_s = None if kind is JobKind.SERVICE else rng.uniform(0.3, 4.0)
        factor = rng.choice([0.1, 1.0, 6.0]) if self.wrong_sizes else 1.0
        size = ResourceVector(rng.randrange(500, 3001), rng.randrange(500, 4001), 0)
        command: dict[str, Any] = {"run_s": run_s, "fail": rng.random() < 0.05}
        if self.wrong_sizes:
            use = rng.choice([0.2, 0.5, 3.0])
            command["use"] = {
                "processors_millicores": int(size.processors_millicores * use),
                "memory_mb": int(size.memory_mb * use),
            }
        job_id = f"{customer}-{number}"
        spec = JobSpec(
            job_id=job_id,
            customer=customer,
            kind=kind,
            workload=kind.value,
            tasks_count=rng.randrange(2, 5) if kind is JobKind.GANG else rng.choice([1, 1, 2, 4]),
            size=size,
            run_time_s=(run_s or 0.0) * factor,
            deadline_s=None if run_s is None else rng.choice([None, 5.0, 20.0, 60.0]),
            restartable=rng.random() < 0.7,
            command=json.dumps(command),
        )
        digest = hashlib.sha256(job_id.encode()).hexdigest()
        job = SubmitJob(spec=spec, key=f"key-{number}", digest=digest)
        caller_job = _CallerJob(job, rng.choice(list(self.entry_vms)))
        self.jobs[job_id] = caller_job
        if rng.random() < 0.1 or cancel_soon:
            self.simulator.schedule_after(
                rng.uniform(0.5, 4.0), lambda: self.cancel_job(caller_job)
            )
        if rng.random() < 0.3:
            self._request_issued_key(customer, lambda key: self._submit_with_key(caller_job, key))
        else:
            self._submit(caller_job)

    def _request_issued_key(self, customer: str, use: Callable[[str | None], None]) -> None:
        """Ask an entry VM to issue a key and pass the key, or None without one, to `use`."""
        entry = self._pick_entry_vm()
        if entry is None:
            use(None)
            return

        def on_issued(answer: Any) -> None:
            use(answer.keys[0] if isinstance(answer, IssuedKeys) else None)

        self._make_call(entry, lambda: entry.callers._issue_keys(IssueKeys(customer, 1)), on_issued)

    def _submit_with_key(self, caller_job: _CallerJob, key: str | None) -> None:
        if key is not None:
            caller_job.job = attrs.evolve(caller_job.job, key=key)
        self._submit(caller_job)

    def _submit(self, caller_job: _CallerJob) -> None:
        """Submit a job to a random entry VM, at most `SUBMIT_TRIES_MAX` times in total."""
        caller_job.tries_count += 1
        if caller_job.tries_count > SUBMIT_TRIES_MAX:
            return
        entry = self._pick_entry_vm()
        if entry is None:
            self.simulator.schedule_after(RETRY_INTERVAL_S, lambda: self._submit(caller_job))
            return
        self._make_call(
            entry,
            lambda: entry.callers._submit_job(caller_job.job),
            lambda answer: self._handle_submit_answer(caller_job, answer),
        )

    def _handle_submit_answer(self, caller_job: _CallerJob, answer: Any) -> None:
        spec = caller_job.job.spec
        match answer:
            case SubmittedJob(code=ResultCode.ACCEPTED | ResultCode.ACCEPTED_LATE):
                if caller_job.accepted:
                    return
                caller_job.accepted = True
                self.recorder.add(
                    JobAcceptedSeen(
                        time_s=self.simulator.now_s,
                        job_id=spec.job_id,
                        customer=spec.customer,
                        tasks_count=spec.tasks_count,
                        deadline_s=spec.deadline_s,
                        restartable=spec.restartable,
                    )
                )
                if caller_job.cancel_requested:
                    self.cancel_job(caller_job)
            case _:
                self.simulator.schedule_after(
                    self.rng.uniform(0.2, RETRY_INTERVAL_S), lambda: self._submit(caller_job)
                )

    def cancel_job(self, caller_job: _CallerJob) -> None:
        """Request the cancellation of a job until an entry VM confirms it.

        A job that is not accepted yet is cancelled on acceptance.
        """
        caller_job.cancel_requested = True
        entry = self._pick_entry_vm()
        if not caller_job.accepted or caller_job.cancelled or caller_job.ended:
            return
        if entry is None:
            self.simulator.schedule_after(RETRY_INTERVAL_S, lambda: self.cancel_job(caller_job))
            return

        def on_done(answer: Any) -> None:
            caller_job.cancelled = answer is not None and not isinstance(answer, CallerError)
            if not caller_job.cancelled:
                self.simulator.schedule_after(RETRY_INTERVAL_S, lambda: self.cancel_job(caller_job))

        job_id = caller_job.job.spec.job_id
        self._make_call(entry, lambda: entry.application.jobs.cancel(job_id), on_done)

    def cancel_services(self) -> None:
        """Cancel all service jobs, which never end by themselves."""
        for caller_job in self.jobs.values():
            if caller_job.job.spec.kind is JobKind.SERVICE:
                self.cancel_job(caller_job)

    def submit_and_cancel_jobs(self, count: int) -> None:
        """Submit `count` jobs and cancel each of them soon after."""
        for _ in range(count):
            self.submit_new_job(cancel_soon=True)

    # Requests.

    def send_new_request(self) -> None:
        """Send one request, idempotent or with a key, and up to two repeats of it."""
        rng = self.rng
        operation = f"op-{next(self._numbers)}"
        customer = rng.choice(list(CUSTOMERS))
        service_ms = 2000 if rng.random() < 0.05 else rng.randrange(10, 400)
        request = ExecuteRequest(
            customer=customer,
            service=SERVICE,
            kind="long" if service_ms == 2000 else "short",
            idempotent=rng.random() < 0.4,
            body=json.dumps({"echo": operation, "service_ms": service_ms}).encode(),
            deadline_ms=rng.randrange(2000, 8000),
        )
        repeats_s = [rng.uniform(0.0, 4.0) for _ in range(rng.choice([0, 0, 1, 2]))]

        def send(key: str | None) -> None:
            keyed = attrs.evolve(request, key=key or "")
            self._send(operation, keyed)
            for delay_s in repeats_s if keyed.key or keyed.idempotent else ():
                self.simulator.schedule_after(delay_s, lambda: self._send(operation, keyed))

        if request.idempotent:
            send(None)
        elif rng.random() < 0.5:
            send(f"own-{operation}")
        else:
            self._request_issued_key(customer, send)

    def _send(self, operation: str, request: ExecuteRequest) -> None:
        entry = self._pick_entry_vm()
        if entry is None:
            return
        call = f"call-{next(self._numbers)}"
        self.recorder.add(
            RequestSent(
                time_s=self.simulator.now_s,
                call=call,
                operation=operation,
                entry_vm=entry.name,
                customer=request.customer,
                kind=request.kind,
                idempotent=request.idempotent,
                body_digest=hashlib.sha256(request.body).hexdigest(),
            )
        )
        self._make_call(
            entry,
            lambda: entry.callers._execute_request(request),
            lambda answer: self._record_answer(call, answer),
        )

    def _record_answer(self, call: str, answer: Any) -> None:
        """Record the outcome of a request; `lost` when the answer is None."""
        outcome, echoed = "lost", ""
        match answer:
            case CallerError(code):
                unknown = describe_code(code).code_class is CodeClass.UNKNOWN
                outcome = "unknown" if unknown else "not_run"
            case RequestResult(_, Completed(body, _, _)):
                outcome = "completed"
                text = json.loads(body).get("body", "")
                echoed = hashlib.sha256(text.encode()).hexdigest()
            case RequestResult(_, NotRun()):
                outcome = "not_run"
            case RequestResult(_, OutcomeUnknown()):
                outcome = "unknown"
        self.recorder.add(
            RequestAnswered(
                time_s=self.simulator.now_s, call=call, outcome=outcome, echoed_digest=echoed
            )
        )

    # Observations.

    def _poll_all(self) -> None:
        """Observe contracts and unfinished jobs every `POLL_INTERVAL_S`."""
        for entry in self._serving_entry_vms():
            self._observe_contracts(entry)
        for caller_job in self.jobs.values():
            entry = self.entry_vms[caller_job.polled_entry_vm]
            if (
                caller_job.accepted
                and not caller_job.ended
                and not caller_job.poll_in_progress
                and entry.is_serving
            ):
                # One poll at a time: the answers to two polls could arrive in either order.
                caller_job.poll_in_progress = True
                self._observe_job(entry, caller_job)
        self.simulator.schedule_after(POLL_INTERVAL_S, self._poll_all)

    def _observe_job(self, entry: EntryVm, caller_job: _CallerJob) -> None:
        """Get the state of a job from an entry VM and record it; unknown means `missing`."""
        job_id = caller_job.job.spec.job_id

        def on_done(answer: Any) -> None:
            caller_job.poll_in_progress = False
            match answer:
                case JobStatus():
                    value, late = answer.state.value, answer.late
                case CallerError(code=ResultCode.UNKNOWN_JOB):
                    value, late = "missing", False
                case _:
                    return
            caller_job.ended = caller_job.ended or value in END_STATES
            self.recorder.add(
                JobStateSeen(time_s=self.simulator.now_s, job_id=job_id, state=value, late=late)
            )

        self._make_call(
            entry, lambda: entry.application.jobs.status(job_id, explain=False), on_done
        )

    def observe_all_jobs(self) -> None:
        """Poll the state of each accepted job at each serving entry VM."""
        for entry in self._serving_entry_vms():
            for caller_job in self.jobs.values():
                if caller_job.accepted:
                    self._observe_job(entry, caller_job)

    @property
    def has_finished(self) -> bool:
        """Whether a final state of each accepted job was observed."""
        return all(caller_job.ended or not caller_job.accepted for caller_job in self.jobs.values())
