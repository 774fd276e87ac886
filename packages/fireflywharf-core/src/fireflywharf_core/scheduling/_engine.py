"""Interface of the fair-share engine for the components that it is composed of."""

from typing import Protocol

from ..accounts import Account
from ..contracts import Contract
from ..jobs import JobSpec
from ..resources import ResourceVector
from ._attempts import AttemptTable
from ._estimators import RunTimes
from ._jobs import JobTable
from ._model import Job
from ._policy import FairShare
from ._queue import WaitingQueue
from ._reclaim import Reclaimer
from ._share_ledger import ShareLedger
from ._worker_pools import WorkerPools


class PolicyEngine(Protocol):
    """Tables and shared operations of `FairShareEngine`, as its components see them."""

    policy: FairShare
    jobs: JobTable
    attempts: AttemptTable
    run_times_: RunTimes
    queue: WaitingQueue
    pools: WorkerPools
    ledger: ShareLedger
    reclaimer: Reclaimer

    def contract_of(self, customer: str) -> Contract | None:
        """Return the contract of a customer, or None if no contract is in force."""

    def size_of(self, spec: JobSpec) -> ResourceVector:
        """Return the resources to reserve for a task of a job that is not yet admitted."""

    def size_of_job(self, job: Job, now_s: float) -> ResourceVector:
        """Return the resources to reserve for a task of an admitted job."""

    def dequeue_if_all_started(self, job: Job) -> None:
        """Remove a job from the queue if none of its tasks waits."""

    def is_within_quota(self, job: Job, account: Account, size: ResourceVector, count: int) -> bool:
        """Return whether the quotas of customer and team allow more tasks of a job.

        If they do not, the reason is stored in the job.
        """
