"""Queues of waiting jobs by customer and size class, earliest deadline first."""

import attrs
from sortedcontainers import SortedList

from ..jobs import JobKind
from ._model import Job


@attrs.frozen(slots=True)
class SizeClass:
    """Key of jobs that need similar resources and are subject to the same limits.

    Attributes:
        team: team of the customer; empty for none.
        kind: kind of the job.
        short: whether its tasks are expected to be short.
        accelerated: whether its tasks need accelerators.
        processors_bit_length: bit length of the processors of a task in millicores.
        memory_bit_length: bit length of the memory of a task in MB.
    """

    team: str
    kind: JobKind
    short: bool
    accelerated: bool
    processors_bit_length: int
    memory_bit_length: int


class SizeQueue:
    """Waiting jobs of one customer and size class, earliest deadline first."""

    def __init__(self, size_class: SizeClass) -> None:
        self.size_class = size_class
        self._entries: SortedList = SortedList()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, job: Job) -> None:
        """Add a job."""
        self._entries.add((job.order_key, job.sequence, job))

    def remove(self, job: Job) -> None:
        """Remove a job."""
        self._entries.remove((job.order_key, job.sequence, job))

    def first_jobs(self, count: int) -> list[Job]:
        """Return up to `count` jobs from the head of the queue."""
        return [entry[2] for entry in self._entries.islice(0, count)]

    @property
    def head_key(self) -> float:
        """Order key of the job at the head."""
        return self._entries[0][0]


class WaitingQueue:
    """Size queues of all customers, and one queue of urgent jobs."""

    def __init__(self) -> None:
        self.customers: dict[str, dict[SizeClass, SizeQueue]] = {}
        self.urgent: SortedList = SortedList()
        self._queues_by_job: dict[str, SizeQueue] = {}
        self.tasks_counts: dict[str, int] = {}

    def add(self, job: Job, size_class: SizeClass, order_key: float) -> None:
        """Add a job that is not queued.

        Args:
            job: the job.
            size_class: key of its queue; urgent jobs share one queue.
            order_key: time that orders it, lowest first.
        """
        job.queued, job.order_key = True, order_key
        if job.spec.kind is JobKind.URGENT:
            self.urgent.add((order_key, job.sequence, job))
            return
        queues = self.customers.setdefault(job.spec.customer, {})
        queue = queues.get(size_class)
        if queue is None:
            queue = queues[size_class] = SizeQueue(size_class)
        queue.add(job)
        self._queues_by_job[job.spec.job_id] = queue

    def remove(self, job: Job) -> None:
        """Remove a job; the cost does not depend on its number of tasks."""
        if not job.queued:
            return
        job.queued = False
        if job.spec.kind is JobKind.URGENT:
            self.urgent.remove((job.order_key, job.sequence, job))
            return
        queue = self._queues_by_job.pop(job.spec.job_id)
        queue.remove(job)
        if not queue:
            queues = self.customers[job.spec.customer]
            del queues[queue.size_class]
            if not queues:
                del self.customers[job.spec.customer]

    def waiting_jobs_count(self, customer: str) -> int:
        """Return the number of queued jobs of a customer, except urgent ones."""
        return sum(len(queue) for queue in self.customers.get(customer, {}).values())
