"""Scheduler of the local failure domain: election, tenure and execution of its decisions."""

import asyncio
import logging
import random
import time
from typing import Any

from fireflywharf_core.contracts import Contract
from fireflywharf_core.jobs import AttemptId, JobState, TaskId
from fireflywharf_core.log import DomainFold, JobsFold, LiveJob, ReadRecord
from fireflywharf_core.membership import (
    ActAsScheduler,
    ClaimWorkers,
    ElectionView,
    SchedulerElection,
    StepDown,
    plan_worker_changes,
    rank_members,
)
from fireflywharf_core.messages import Acknowledged, KnownWorkersQuery, WorkersKnown
from fireflywharf_core.platform import ClaimAnswer, VmInfo, VmRole, VmState
from fireflywharf_core.records import WorkerAdded, WorkerRemoved
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.results import NotRun
from fireflywharf_core.scheduling import (
    AttemptEndRecorded,
    ContractChanged,
    DomainScheduler,
    Event,
    FairShare,
    JobAdmitted,
    JobCancelled,
    JobFinishRecorded,
    RecoveryFinished,
    RecoveryStarted,
    StartIntentDurable,
    TaskDone,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
    WorkerReport,
)

from ._context import Context
from ._execution import DecisionExecutor
from ._log_stream import LogStream, StreamListener
from ._membership import Membership
from ._tasks import BackgroundTasks
from ._worker_gateway import WorkerGateway

_LOG = logging.getLogger(__name__)
PEER_TIMEOUT_S = 1.0
REPLAY_TIMEOUT_S = 5.0


class SchedulerService(StreamListener):
    """Takes part in the scheduler election and runs the scheduler core during a tenure.

    Args:
        context: shared context.
        jobs_fold: state folded from stream `jobs`.
        membership: peers and remote domains.

    Attributes:
        core: scheduler core of the current tenure; None while this process is not the scheduler.
        listed_workers: workers of the domain in the VM list, by name.
        unrecorded_workers: workers learned from peers that are not yet in the domain stream.
        provisional: jobs that were admitted before their record was read, by identifier.
    """

    def __init__(self, context: Context, jobs_fold: JobsFold, membership: Membership) -> None:
        settings = context.settings.scheduling
        self.context = context
        self.jobs_fold = jobs_fold
        self.membership = membership
        self.domain_fold = DomainFold(context.settings.platform.retention_s)
        self.election = SchedulerElection(
            context.domain,
            context.incarnation,
            settings.holder_lease_s,
            settings.suspicion_s,
            settings.task_lease_s,
        )
        self.tasks = BackgroundTasks()
        self.gateway = WorkerGateway(
            context,
            self.tasks,
            self.may_command,
            self._handle_worker_report,
            self._handle_worker_lost,
        )
        self.core: DomainScheduler | None = None
        self.stream: LogStream | None = None
        self.jobs_stream: LogStream | None = None
        self.contracts: dict[str, Contract] = {}
        self.listed_workers: dict[str, VmInfo] = {}
        self.unrecorded_workers: dict[str, VmInfo] = {}
        self.provisional: dict[str, JobAdmitted] = {}
        self._last_peer_query_s: float | None = None
        self._is_querying_peers = False
        self._worker_change_pending = False
        self._executor: DecisionExecutor | None = None
        self._joined_workers: dict[str, VmInfo] = {}
        self._decision_scheduled = False
        self._free_by_worker: dict[str, ResourceVector] = {}
        self._is_releasing = False

    # State for other components

    @property
    def acting(self) -> bool:
        """Whether this process is the scheduler of its domain."""
        return self.core is not None

    def compact_finished_jobs(self) -> None:
        """Remove the tasks of finished jobs from the fold of the domain stream."""
        self.domain_fold.drop_finished_jobs(self.jobs_fold.is_finished)

    def waiting_tasks_by_customer(self) -> dict[str, int]:
        """Return the number of waiting tasks by customer; empty if not the scheduler."""
        if self.core is None:
            return {}
        return {
            customer: sum(job.tasks_waiting_count for job in self.core.jobs_of_customer(customer))
            for customer in self.contracts
        }

    def known_workers(self) -> dict[str, VmInfo]:
        """Return the workers of the domain that are in the log or learned from peers, by name."""
        return self.domain_fold.workers_ | self.unrecorded_workers

    def knows_all_workers(self) -> bool:
        """Return whether all live listed workers are known and the leases of all are held."""
        if self.core is None or self.core.is_recovering:
            return False
        known = self.known_workers()
        live_workers = {
            name for name, vm in self.listed_workers.items() if vm.state is VmState.LIVE
        }
        return live_workers <= set(known) and set(known) <= self.gateway.held()

    def may_command(self) -> bool:
        """Return whether this process is the scheduler and holds enough leases to send commands."""
        known = self.known_workers()
        held = self.gateway.held().intersection(known)
        return self.core is not None and self.election.may_command(len(held), len(known))

    def free_resources(self) -> tuple[ResourceVector, ResourceVector]:
        """Return the total free resources of the held workers, and those of the freest worker."""
        free = [self._free_by_worker.get(name, ResourceVector()) for name in self.gateway.held()]
        return sum(free, ResourceVector()), max(free, key=_capacity_order, default=ResourceVector())

    # Input from other components

    def fold_record(self, row: ReadRecord) -> None:
        """Fold one record of the domain stream."""
        live = self.stream.last_end_read_s > float("-inf")
        self.domain_fold.fold(row.offset, row.record, self.context.now_s(), live=live)
        match row.record:
            case WorkerAdded(VmInfo(name=name)) | WorkerRemoved(name):
                self._worker_change_pending = False
                self.unrecorded_workers.pop(name, None)

    def set_contract(self, contract: Contract) -> None:
        """Set the contract of a customer."""
        self.contracts[contract.customer] = contract
        self._observe(ContractChanged(contract))

    def set_vm_list(self, vms: list[VmInfo]) -> None:
        """Update the workers of the domain from the VM list."""
        self.listed_workers = {
            vm.name: vm
            for vm in vms
            if vm.role is VmRole.WORKER and vm.failure_domain == self.context.domain
        }
        for vm in self.listed_workers.values():
            if vm.state is VmState.LEAVING:
                self._observe(WorkerLeaving(vm.name))

    def job_became_live(self, job_id: str) -> None:
        """Admit a job whose record was read from the log, if its home is this domain."""
        job = self.jobs_fold.live_.get(job_id)
        if self.core is None or job is None or job.home_domain != self.context.domain:
            return
        self.provisional.pop(job_id, None)
        # Jobs from a read that started in this tenure are unknown to earlier schedulers.
        new = self.jobs_stream.last_end_read_s >= (self.election.tenure_since_s or float("inf"))
        self._admit_recorded_job(job, new_in_tenure=new)

    def job_cancelled(self, job_id: str) -> None:
        """Handle a cancellation that was read from the log."""
        self.provisional.pop(job_id, None)
        self._observe(JobCancelled(job_id))

    def job_ended(self, job_id: str, state: JobState) -> None:
        """Handle the end of a job that this or another scheduler recorded in the log."""
        self.provisional.pop(job_id, None)
        self._observe(JobFinishRecorded(job_id, state))

    def admit_provisional(self, admitted: JobAdmitted) -> None:
        """Admit a job before its record is in the log."""
        self.provisional[admitted.spec.job_id] = admitted
        self._observe(admitted)

    def answer_peer(self, message: KnownWorkersQuery | WorkersKnown) -> Any:
        """Answer a peer that asks for known workers or announces some while the log is down."""
        match message:
            case WorkersKnown(workers):
                for vm in workers:
                    if vm.name not in self.domain_fold.workers_:
                        self.unrecorded_workers[vm.name] = vm
                return Acknowledged()
            case KnownWorkersQuery():
                return WorkersKnown(list(self.known_workers().values()))

    def _observe(self, event: Event) -> None:
        if self.core is not None:
            self.core.observe(event, self.context.now_s())
            self._schedule_decision()

    def _schedule_decision(self) -> None:
        """Schedule one decision for all events within `decision_interval_s`."""
        if not self._decision_scheduled:
            self._decision_scheduled = True
            interval_s = self.context.settings.scheduling.decision_interval_s
            asyncio.get_running_loop().call_later(interval_s, self._run_scheduled_decision)

    def _run_scheduled_decision(self) -> None:
        self._decision_scheduled = False
        if self.core is not None and self.may_command():
            self._run_decisions()

    def _handle_worker_report(self, name: str, claim: ClaimAnswer, sent_s: float) -> None:
        self.election.on_report(name)
        vm = self.known_workers().get(name)
        if vm is not None:
            used = sum((row.size for row in claim.running), ResourceVector())
            self._free_by_worker[name] = vm.capacity - used
        self._observe(WorkerReport(name, claim.running, claim.ended, sent_s))
        if claim.leaving:
            self._observe(WorkerLeaving(name))

    def _handle_worker_lost(self, name: str, attempts_ended: bool) -> None:
        self.election.on_lost(name)
        # A previous scheduler may have renewed the task leases until this tenure started, so they
        # are counted from its start.
        if attempts_ended and name in self.election.recovery_blockers(
            self.known_workers(), self.context.now_s()
        ):
            attempts_ended = False
        self._observe(WorkerLost(name, attempts_ended))

    # Periodic step

    def step(self) -> None:
        """Run one round of the election and, as the scheduler, of the scheduler core."""
        now_s = self.context.now_s()
        known = self.known_workers()
        view = ElectionView(
            known_workers=list(known),
            held_workers=self.gateway.held(),
            known_workers_read_s=self._get_knowledge_time_s(),
            peers=self.membership.live_peers(),
            draining=self.context.draining,
        )
        match self.election.decide(view, now_s):
            case ActAsScheduler():
                self._claim_due_workers(known)
                if self.core is None:
                    self._begin_tenure(known)
                self._record_worker_changes(known)
                self._run_decisions()
            case ClaimWorkers():
                self._claim_due_workers(known)
            case StepDown(reason):
                self._end_tenure(reason)
        self._bootstrap_workers(known)

    def _claim_due_workers(self, known: dict[str, VmInfo]) -> None:
        self.gateway.track(known)
        self.gateway.step(self.context.settings.scheduling.worker_calls_count)

    def _get_knowledge_time_s(self) -> float | None:
        """Return the start time of the last complete read of the known workers, or None."""
        if self.stream.last_end_read_s > float("-inf") and self.stream.available:
            if not self.acting and self.gateway.held():
                # A candidate needs a read that starts after it obtained its majority of leases.
                self.stream.request_read()
            return self.stream.last_end_read_s
        if not self.stream.available and not self._is_querying_peers:
            self._is_querying_peers = True
            self.tasks.spawn(self._query_known_workers())
        return self._last_peer_query_s

    async def _query_known_workers(self) -> None:
        """Fetch the known workers from all live peers while the log is down."""
        started_s = self.context.now_s()
        complete = True
        for peer in self.membership.live_peers():
            answer = await self.context.call(peer.mesh_address, KnownWorkersQuery(), PEER_TIMEOUT_S)
            if not isinstance(answer, WorkersKnown):
                complete = False
                continue
            for vm in answer.workers:
                if vm.name not in self.domain_fold.workers_:
                    self.unrecorded_workers[vm.name] = vm
        if complete:
            self._last_peer_query_s = started_s
        self._is_querying_peers = False

    def _bootstrap_workers(self, known: dict[str, VmInfo]) -> None:
        """Record the first workers of a domain.

        Without known workers no process can hold a majority and become the scheduler, so the first
        live entry VM in the ranking of the domain records them.
        """
        if known or not self.listed_workers or self._worker_change_pending or self.context.draining:
            return
        peers = [peer.incarnation for peer in self.membership.live_peers() if not peer.draining]
        first = rank_members(self.context.domain, [*peers, self.context.incarnation])[0]
        read = self.stream.available and self.stream.last_end_read_s > float("-inf")
        if read and first == self.context.incarnation:
            self._record_worker_changes(known)

    def _record_worker_changes(self, known: dict[str, VmInfo]) -> None:
        changes = plan_worker_changes(
            known,
            self.listed_workers,
            self.gateway.unreachable_since_s(),
            self._worker_change_pending,
            self.context.now_s(),
            self.context.settings.scheduling.task_lease_s,
        )
        if not changes:
            return
        self._worker_change_pending = True
        if not self.stream.available:
            self.tasks.spawn(self._announce_workers_to_peers(changes))
            return
        for change in changes:
            if isinstance(self.stream.submit(change), NotRun):
                self._worker_change_pending = False

    async def _announce_workers_to_peers(self, changes: list[WorkerAdded | WorkerRemoved]) -> None:
        """Announce new workers to every live peer while the log is down."""
        added = [change.vm for change in changes if isinstance(change, WorkerAdded)]
        answers = [
            await self.context.call(peer.mesh_address, WorkersKnown(added), PEER_TIMEOUT_S)
            for peer in self.membership.live_peers()
        ]
        if added and all(isinstance(answer, Acknowledged) for answer in answers):
            self.unrecorded_workers.update({vm.name: vm for vm in added})
            for vm in added:
                self.stream.submit(WorkerAdded(vm))
        self._worker_change_pending = False

    # Tenure

    def _begin_tenure(self, known: dict[str, VmInfo]) -> None:
        _LOG.info("scheduler tenure began in %s", self.context.domain)
        core = DomainScheduler(policy=FairShare(), rng=random.Random())

        def observe(event: Event) -> None:
            if core is self.core:
                core.observe(event, self.context.now_s())
                self._schedule_decision()

        self.core = core
        self._executor = DecisionExecutor(
            self.gateway, self.stream, self.jobs_stream, observe, self.context.metrics
        )
        self._joined_workers = {}
        for contract in self.contracts.values():
            self._observe(ContractChanged(contract))
        self._update_joined_workers(known)
        self._observe(RecoveryStarted(frozenset(known)))
        self.tasks.spawn(self._replay(core, self.context.now_s()))

    def _update_joined_workers(self, known: dict[str, VmInfo]) -> None:
        for name in set(self._joined_workers).difference(known):
            # A worker is removed only after its task leases have expired, so its attempts ended.
            del self._joined_workers[name]
            self._observe(WorkerLost(name, True))
        for name, vm in known.items():
            if self._joined_workers.get(name) != vm:
                self._joined_workers[name] = vm
                self._observe(WorkerJoined(vm))

    async def _replay(self, core: DomainScheduler, since_s: float) -> None:
        """Admit the jobs and task ends of the log until both streams were read to their ends."""
        complete = False
        while core is self.core and not complete:
            complete = await self.stream.wait_until_read_to_end(since_s, REPLAY_TIMEOUT_S)
            complete = complete and await self.jobs_stream.wait_until_read_to_end(
                since_s, REPLAY_TIMEOUT_S
            )
            if core is not self.core:
                return
            self._admit_known_jobs()
        if core is self.core:
            self._observe(RecoveryFinished())
            _LOG.info("log replay of the scheduler finished")

    def _admit_known_jobs(self) -> None:
        for job in self.jobs_fold.live_jobs(self.context.domain):
            if job.home_lost_s is None:
                self._admit_recorded_job(job, new_in_tenure=False)
        for admitted in self.provisional.values():
            self._observe(admitted)

    def _admit_recorded_job(self, job: LiveJob, new_in_tenure: bool) -> None:
        age_s = max(0.0, time.time() - job.accepted_utc_s)
        self._observe(
            JobAdmitted(
                spec=job.spec,
                accepted_age_s=age_s,
                late_reported=job.late,
                recorded=True,
                new_in_tenure=new_in_tenure,
            )
        )
        job_id = job.spec.job_id
        for index, facts in self.domain_fold.tasks_of(job_id).items():
            task = TaskId(job_id, index)
            if facts.done:
                self._observe(TaskDone(task))
            elif facts.end is not None:
                self._observe(AttemptEndRecorded(AttemptId(task, facts.ended_attempt), facts.end))
            if facts.open_intent:
                self._observe(StartIntentDurable(AttemptId(task, facts.open_intent)))
        if job.cancel_requested:
            self._observe(JobCancelled(job_id))

    def _end_tenure(self, reason: str) -> None:
        if self.core is not None:
            _LOG.warning("scheduler tenure ended in %s: %s", self.context.domain, reason)
        self.core = None
        self._executor = None
        if not self._is_releasing:
            self._is_releasing = True
            self.tasks.spawn(self._release_workers())

    async def _release_workers(self) -> None:
        try:
            await self.gateway.release_all()
        finally:
            self._is_releasing = False

    def _run_decisions(self) -> None:
        self._update_joined_workers(self.known_workers())
        now_s = self.context.now_s()
        with self.context.metrics.time_decision("scheduler"):
            actions = self.core.decide(now_s)
        for action in actions:
            self._executor.execute(action)
        for record in self.jobs_fold.due_records(now_s):
            self.jobs_stream.submit(record)
        for record in self.domain_fold.due_records(now_s):
            self.stream.submit(record)
        if self.core.has_more_actions:
            self._schedule_decision()


def _capacity_order(vector: ResourceVector) -> tuple[int, int, int]:
    return (vector.accelerators_count, vector.processors_millicores, vector.memory_mb)
