"""Job submissions, queue configuration and worker descriptions."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ..contracts import TeamQuota
from ..resources import ResourceVector
from ._keys import TeamKeys
from ._names import TaskName


@attrs.frozen(slots=True, kw_only=True)
class StepSpec:
    """Specification of a step: identical tasks that may start once the steps in `after` are done.

    Args:
        tasks_count: number of tasks.
        size: resources that each task reserves on its worker.
        estimate_ms: caller's estimate of the run time of a task, in milliseconds; 0 for none.
        after: indices of the earlier steps that must be done first.
        checkpointing: whether a run can resume from a saved checkpoint.
        gang: whether the tasks run only all at the same time.
        rack_sensitive: whether the tasks run slower when they are spread over several racks.
        required_label: label that a worker must have; empty for any worker.
        data_rack: label of the rack that stores the input data; empty for none.
        max_per_worker: maximum number of tasks of the step on one worker; 0 for no limit.
        speculative: whether copies of a task may run in parallel.
        long_running: whether the tasks run until the job is cancelled.
        image: name of the program; tasks with the same image have similar run times.
        tail_objective_ms: tail response time, in milliseconds, that a long-running task must meet;
            0 for none.
        fills: whether the tasks use only processor time that other tasks leave idle.
        may_miss_count: number of tasks of a long-running step that the scheduler may have stopped
            at the same time.
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
        """Resources that a task takes from the free capacity of its worker."""
        if not self.fills:
            return self.size
        return ResourceVector(0, self.size.memory_mb, self.size.accelerators_count)


@attrs.frozen(slots=True, kw_only=True)
class WorkflowSpec:
    """Specification of a job of one or more steps, run once or at scheduled times.

    Args:
        payload: opaque text that is passed to every run of a task.
        steps: the steps; their `after` fields refer to indices in this tuple.
        times_count: number of scheduled occurrences; 0 for a job that runs once, immediately.
        first_due_utc_s: due time of the first occurrence, in seconds since the Unix epoch.
        interval_s: time between two occurrences, in seconds.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    times_count: int = 0
    first_due_utc_s: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences_count(self) -> int:
        """Number of times that the steps are run."""
        return max(1, self.times_count)

    def has_task(self, task: TaskName) -> bool:
        """Return whether the job has a task of this name."""
        step_name = task.step_name
        return (
            step_name.occurrence < self.occurrences_count
            and step_name.step < len(self.steps)
            and task.index < self.steps[step_name.step].tasks_count
        )


@attrs.frozen(slots=True, kw_only=True)
class Approval:
    """Cost model of approval requests, for queues whose steps need their workers approved.

    Args:
        decision_ms: fixed time of a request, in milliseconds.
        per_worker_ms: additional time for each worker named in the request, in milliseconds.
        validity_ms: time for which a ticket can be used, in milliseconds.
    """

    decision_ms: float
    per_worker_ms: float
    validity_ms: float


@attrs.frozen(slots=True, kw_only=True)
class Queue:
    """Configuration of one queue.

    Args:
        name: name of the queue.
        host: host name in the callers' requests.
        path_prefix: path prefix of the queue's jobs.
        service: name of the group of workers that run its tasks.
        priority: scheduling priority; 0 is the highest.
        max_attempts: number of failed runs after which a task or a gang has failed.
        stretch: factor on the summed run time of a job's steps in its completion objective.
        grace_ms: constant part of that objective, in milliseconds.
        approval: cost of approval requests; None if steps need no approval.
        is_public: whether calls need no key of a team.
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
    is_public: bool = False


@attrs.frozen(slots=True, kw_only=True)
class Configuration:
    """One version of the operators' configuration.

    Args:
        version: version number; the highest one is the newest.
        queues: all queues.
        services: names of all services.
        standby_services: services whose workers are switched off.
        max_body_bytes: maximum length of a request body, in bytes.
        teams: teams with their weights, in owed jobs per second, and their quotas.
        keys: keys of the teams.
        requires_keys: whether calls of queues that are not public need the key of a team.
    """

    version: int
    queues: tuple[Queue, ...]
    services: frozenset[str] = frozenset()
    standby_services: frozenset[str] = frozenset()
    max_body_bytes: int = 1 << 20
    teams: tuple[TeamQuota, ...] = ()
    keys: TeamKeys = attrs.field(factory=TeamKeys)
    requires_keys: bool = False

    def find_quota(self, team: str) -> TeamQuota | None:
        """Return the weight and quota of a team, or None."""
        return next((row for row in self.teams if row.team == team), None)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of `host` with the longest matching path prefix, or None."""
        matching = [q for q in self.queues if q.host == host and path.startswith(q.path_prefix)]
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)


@attrs.frozen(slots=True, kw_only=True)
class WorkerInfo:
    """Directory entry of one worker.

    Args:
        worker_id: identifier of the worker.
        incarnation: number that distinguishes successive processes under one identifier.
        address: `IP:PORT` that accepts orders.
        service: group that the worker belongs to.
        domain: failure domain.
        labels: labels that steps may require.
        capacity: total resources.
        rack: label of its rack; empty if unknown.
        draining: whether the worker is about to leave and accepts no new runs.
        suspended: whether another writer has replaced the entry, so that the worker gets no new
            runs; the other fields are those of its own latest entry.
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
    suspended: bool = False


Directory = Mapping[str, WorkerInfo]
