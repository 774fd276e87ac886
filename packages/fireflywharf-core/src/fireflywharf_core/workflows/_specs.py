"""What callers submit and what operators configure for a queue."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ..resources import ResourceVector


@attrs.frozen(slots=True, kw_only=True)
class StepSpec:
    """A step: tasks of one shape that may start once the steps in `after` are done.

    Args:
        tasks_count: number of tasks.
        size: what each task reserves on its worker.
        estimate_ms: the caller's rough estimate of the run time of a task.
        after: indices of earlier steps.
        checkpointing: whether a run can resume from a saved checkpoint.
        gang: whether the tasks run only all together.
        rack_sensitive: whether the tasks are slower when they run on several racks.
        required_label: label that a worker must have; empty for any worker.
        data_rack: label of the rack that holds the data; empty for none.
        max_per_worker: most tasks of the step on one worker; 0 for no limit.
        speculative: whether copies of a task may run in parallel.
        long_running: whether the tasks run until the job is cancelled.
        image: name of the program; tasks of one image behave alike.
        tail_objective_ms: response time that a long-running task has to keep; 0 for none.
        fills: whether the processors are taken from what other tasks leave unused.
        may_miss_count: tasks of a long-running step that may be away by our own orders.
    """

    tasks_count: int
    size: ResourceVector
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    rack_sensitive: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    tail_objective_ms: float = 0.0
    fills: bool = False
    may_miss_count: int = 0

    @property
    def demand(self) -> ResourceVector:
        """What a task takes from the free room of a worker."""
        if not self.fills:
            return self.size
        return ResourceVector(0, self.size.memory_mb, self.size.accelerators_count)


@attrs.frozen(slots=True, kw_only=True)
class WorkflowSpec:
    """A job of one or more steps, run once or at set times.

    Args:
        payload: text handed to every run of a task.
        steps: the steps; `after` refers to their indices.
        times_count: number of occurrences; 0 for a job that runs once at once.
        first_due_utc_s: due time of the first occurrence, in seconds since 1970.
        interval_s: time between two occurrences.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    times_count: int = 0
    first_due_utc_s: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences_count(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.times_count)


@attrs.frozen(slots=True, kw_only=True)
class Approval:
    """Cost of asking which workers may run a step, for queues that need that.

    Args:
        decision_ms: fixed time of a call.
        per_worker_ms: time for each worker named.
        validity_ms: how long a ticket can be used.
    """

    decision_ms: float
    per_worker_ms: float
    validity_ms: float


@attrs.frozen(slots=True, kw_only=True)
class Queue:
    """Settings of one queue.

    Args:
        name: name of the queue.
        host: host name that callers address.
        path_prefix: prefix of the paths of its jobs.
        service: name of the group of workers that run its tasks.
        priority: 0 comes first.
        max_attempts: failed runs after which a task, or a gang, has failed.
        stretch: factor of the objective on the longest chain of work.
        grace_ms: time added to the objective.
        approval: set when a step needs approval of its workers.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 1
    max_attempts: int = 1
    stretch: float = 2.0
    grace_ms: float = 0.0
    approval: Approval | None = None


@attrs.frozen(slots=True, kw_only=True)
class Configuration:
    """One version of the operators' configuration.

    Args:
        version: number of the version; higher is newer.
        queues: all queues.
        standby_services: services whose workers are off.
        max_body_bytes: longest accepted body.
    """

    version: int
    queues: tuple[Queue, ...]
    standby_services: frozenset[str] = frozenset()
    max_body_bytes: int = 1 << 20

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of `path`, or None."""
        matching = [q for q in self.queues if q.host == host and path.startswith(q.path_prefix)]
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)


@attrs.frozen(slots=True, kw_only=True)
class WorkerInfo:
    """What the directory says of one worker.

    Args:
        worker_id: identifier of the worker.
        incarnation: distinguishes lives of a worker under one identifier.
        address: `IP:PORT` for orders.
        service: group that it belongs to.
        domain: failure domain.
        labels: labels that steps may require.
        rack: label of its rack; empty if unknown.
        capacity: all room.
        draining: whether it will leave soon.
    """

    worker_id: str
    incarnation: int
    address: str
    service: str
    domain: str
    labels: frozenset[str]
    capacity: ResourceVector
    rack: str = ""
    draining: bool = False


Directory = Mapping[str, WorkerInfo]
