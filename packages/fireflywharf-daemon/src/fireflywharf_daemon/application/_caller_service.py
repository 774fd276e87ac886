"""Caller service of the HTTP interface: runs each call in the event loop of the application."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from fireflywharf_core.contracts import Contract
from fireflywharf_core.jobs import JobState
from fireflywharf_core.log import FinishedJob
from fireflywharf_core.records import DomainLost
from fireflywharf_core.results import NotRun, ResultCode

from ..http import (
    AppliedContract,
    ApplyContract,
    CallerError,
    CancelledJob,
    ContractChange,
    ContractHistory,
    ContractListing,
    ContractRow,
    DaemonStatus,
    DeclareDomainLost,
    ExecuteRequest,
    IssuedKeys,
    IssueKeys,
    JobListing,
    JobRow,
    JobStatus,
    LostDomain,
    RequestResult,
    SubmitJob,
    SubmittedJob,
    VersionConflict,
    VmListing,
    VmRow,
)
from ._components import ApplicationComponents
from ._status import describe_status

_LOG = logging.getLogger(__name__)
LOOP_TIMEOUT_S = 5.0
CALL_TIMEOUT_S = 30.0
RECORD_TIMEOUT_S = 5.0


class ApplicationCallerService:
    """Implementation of `CallerService` with the components of the application.

    The public methods are called from HTTP threads and block until the event loop has answered.

    Args:
        application: application whose components answer the calls.
    """

    def __init__(self, application: ApplicationComponents) -> None:
        self.application = application

    def submit_job(self, job: SubmitJob) -> SubmittedJob | CallerError:
        """Submit a job and wait until it is accepted or refused."""
        return self._run_in_loop(self._submit_job(job))

    async def _submit_job(self, job: SubmitJob) -> SubmittedJob | CallerError:
        contract = self._find_contract(job.spec.customer)
        if isinstance(contract, CallerError):
            return contract
        return await self.application.jobs.submit(job, contract)

    def job_status(self, job_id: str) -> JobStatus | CallerError:
        """Return the state and the task counts of a job."""
        return self._run_in_loop(self.application.jobs.status(job_id, explain=False))

    def explain_job(self, job_id: str) -> JobStatus | CallerError:
        """Return the state of a job and the reason for that state."""
        return self._run_in_loop(self.application.jobs.status(job_id, explain=True))

    def cancel_job(self, job_id: str) -> CancelledJob | CallerError:
        """Cancel a job."""
        return self._run_in_loop(self.application.jobs.cancel(job_id))

    def list_jobs(self, customer: str | None) -> JobListing | CallerError:
        """Return the jobs of one customer, or of all customers if it is None."""
        return self._run_in_loop(self._list_jobs(customer))

    async def _list_jobs(self, customer: str | None) -> JobListing:
        fold = self.application.jobs_fold
        core = self.application.scheduler.core
        rows = []
        for job_id, job in [*fold.live_.items(), *fold.finished_.items()]:
            finished = isinstance(job, FinishedJob)
            owner = job.customer if finished else job.spec.customer
            if customer is not None and owner != customer:
                continue
            status = None if finished or core is None else core.job_status(job_id)
            state = JobState.WAITING if status is None else status.state
            rows.append(
                JobRow(
                    job_id=job_id,
                    customer=owner,
                    kind=job.kind if finished else job.spec.kind,
                    state=job.state if finished else state,
                    home_domain=job.home_domain,
                    late=job.late,
                )
            )
        return JobListing(rows)

    def issue_keys(self, keys_request: IssueKeys) -> IssuedKeys | CallerError:
        """Issue request keys of this incarnation."""
        return self._run_in_loop(self._issue_keys(keys_request))

    async def _issue_keys(self, keys_request: IssueKeys) -> IssuedKeys | CallerError:
        contract = self._find_contract(keys_request.customer)
        if isinstance(contract, CallerError):
            return contract
        issuer = self.application.requests.router.key_issuer
        now_s = self.application.context.now_s()
        return IssuedKeys(issuer.issue(keys_request.customer, keys_request.count, now_s))

    def execute_request(self, request: ExecuteRequest) -> RequestResult | CallerError:
        """Execute a request and wait for its outcome."""
        deadline_s = (request.deadline_ms or 0) / 1000
        return self._run_in_loop(
            self._execute_request(request), max(CALL_TIMEOUT_S, deadline_s) + 300.0
        )

    async def _execute_request(self, request: ExecuteRequest) -> RequestResult | CallerError:
        contract = self._find_contract(request.customer)
        if isinstance(contract, CallerError):
            return contract
        if request.service not in self.application.requests.targets.services:
            detail = f"no target in the VM list serves service {request.service!r}"
            return CallerError(ResultCode.UNKNOWN_SERVICE, detail)
        return await self.application.requests.execute(request)

    def list_contracts(self) -> ContractListing | CallerError:
        """Return all contracts in force."""
        return self._run_in_loop(self._list_contracts())

    async def _list_contracts(self) -> ContractListing:
        registry = self.application.contracts.registry
        rows = [
            ContractRow(customer, row.version, row.contract)
            for customer, row in sorted(registry.current().items())
        ]
        return ContractListing(rows, registry.offset)

    def get_contract(self, customer: str) -> ContractRow | CallerError:
        """Return the contract of one customer."""
        return self._run_in_loop(self._get_contract(customer))

    async def _get_contract(self, customer: str) -> ContractRow | CallerError:
        row = self.application.contracts.registry.get(customer)
        if row is None:
            return _unknown_contract_error(customer)
        return ContractRow(customer, row.version, row.contract)

    def contract_history(self, customer: str) -> ContractHistory | CallerError:
        """Return the changes of one contract that the log retains."""
        return self._run_in_loop(self._contract_history(customer))

    async def _contract_history(self, customer: str) -> ContractHistory | CallerError:
        registry = self.application.contracts.registry
        changes = registry.history(customer)
        if not changes and registry.get(customer) is None:
            return _unknown_contract_error(customer)
        return ContractHistory(
            [
                ContractChange(
                    version=change.version,
                    author=change.author,
                    time_utc=change.time_utc,
                    contract=change.contract,
                    won=change.won,
                )
                for change in changes
            ]
        )

    def apply_contract(
        self, change: ApplyContract
    ) -> AppliedContract | VersionConflict | CallerError:
        """Apply a contract change and wait until it is durable in the log."""
        return self._run_in_loop(self.application.contracts.apply(change))

    def list_vms(self) -> VmListing | CallerError:
        """Return the VM list with lease holders and set-aside VMs."""
        return self._run_in_loop(self._list_vms())

    async def _list_vms(self) -> VmListing:
        application = self.application
        own_targets = application.requests.targets.held()
        set_aside_names = set(application.requests.router.ejected_targets())
        if application.scheduler.core is not None:
            set_aside_names.update(application.scheduler.core.set_aside_workers())
        holders = application.scheduler.gateway.holders
        incarnation = application.context.incarnation
        return VmListing(
            [
                VmRow(
                    vm,
                    incarnation if vm.name in own_targets else holders.get(vm.name, ""),
                    vm.name in set_aside_names,
                )
                for vm in application.vms
            ]
        )

    def status(self) -> DaemonStatus | CallerError:
        """Return the status of the daemon."""
        return self._run_in_loop(self._status())

    async def _status(self) -> DaemonStatus:
        return describe_status(self.application)

    def declare_domain_lost(self, declared: DeclareDomainLost) -> LostDomain | CallerError:
        """Record in the log that a failure domain is lost."""
        return self._run_in_loop(self._declare_domain_lost(declared))

    async def _declare_domain_lost(self, declared: DeclareDomainLost) -> LostDomain | CallerError:
        settings = self.application.context.settings
        if declared.domain not in {peer.failure_domain for peer in settings.mesh.peers}:
            detail = f"failure domain {declared.domain!r} is not in the mesh peers of the settings"
            return CallerError(ResultCode.UNKNOWN_DOMAIN, detail)
        if declared.domain == settings.vm.failure_domain:
            detail = (
                f"{declared.domain!r} is the failure domain of this entry VM; "
                "send the declaration to an entry VM of another domain"
            )
            return CallerError(ResultCode.INVALID_FIELD, detail)
        record = DomainLost(declared.domain, declared.author)
        offset = await self.application.streams["jobs"].append(record, RECORD_TIMEOUT_S)
        if not isinstance(offset, int):
            return CallerError(offset.code, offset.detail)
        return LostDomain(declared.domain)

    def healthy(self) -> bool:
        """Return whether the event loop runs a callback within `LOOP_TIMEOUT_S`."""
        try:
            self._run_in_loop(asyncio.sleep(0), LOOP_TIMEOUT_S)
        except TimeoutError:
            return False
        return True

    def ready(self) -> bool:
        """Return whether the daemon is ready and not draining."""
        return self.application.ready and not self.application.context.draining

    def _run_in_loop(
        self, coroutine: Coroutine[Any, Any, Any], timeout_s: float = CALL_TIMEOUT_S
    ) -> Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, self.application.loop)
        return future.result(timeout_s)

    def _find_contract(self, customer: str) -> Contract | CallerError:
        """Return the contract of a customer, or the error that refuses its work."""
        refused = self._check_accepts_work()
        if refused is not None:
            return refused
        row = self.application.contracts.registry.get(customer)
        if row is None:
            detail = f"customer {customer!r} has no contract in force"
            return CallerError(ResultCode.UNKNOWN_CUSTOMER, detail)
        return row.contract

    def _check_accepts_work(self) -> CallerError | None:
        if self.application.context.draining:
            outcome = NotRun(ResultCode.DRAINING, "the entry VM is shutting down", 1.0)
        elif not self.application.ready:
            outcome = NotRun(
                ResultCode.NOT_READY, "the entry VM is still reading the contracts", 1.0
            )
        else:
            return None
        return CallerError(outcome.code, outcome.detail, retry_after_s=outcome.retry_after_s)


def _unknown_contract_error(customer: str) -> CallerError:
    return CallerError(
        ResultCode.UNKNOWN_CONTRACT, f"no contract with the name {customer!r} exists"
    )
