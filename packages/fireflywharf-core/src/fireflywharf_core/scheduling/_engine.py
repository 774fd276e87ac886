"""What the parts of the policy engine use of each other."""

from typing import Protocol

from ..contracts import Contract
from ..jobs import JobSpec
from ..resources import ResourceVector
from ._attempts import AttemptTable
from ._estimators import RunTimes
from ._jobs import JobTable
from ._model import Job
from ._policy import FairShare
from ._queue import WaitingQueue
from ._reclaimer import Reclaimer
from ._share_ledger import Account, ShareLedger
from ._worker_pools import WorkerPools


class PolicyEngine(Protocol):
    """Tables and common decisions of the engine; `FairShareEngine` describes them."""

    policy: FairShare
    jobs: JobTable
    attempts: AttemptTable
    run_times_: RunTimes
    queue: WaitingQueue
    pools: WorkerPools
    ledger: ShareLedger
    reclaimer: Reclaimer

    def contract_of(self, customer: str) -> Contract | None:
        """Return the contract of a customer, or None."""

    def size_of(self, spec: JobSpec) -> ResourceVector:
        """Return the size to reserve for a task of a job that is not admitted yet."""

    def size_of_job(self, job: Job, now_s: float) -> ResourceVector:
        """Return the size to reserve for a task of a job."""

    def dequeue_if_all_started(self, job: Job) -> None:
        """Take a job without waiting tasks out of the queue."""

    def is_within_quota(self, job: Job, account: Account, size: ResourceVector, count: int) -> bool:
        """Return whether customer and team quota allow the tasks; note the reason if not."""
