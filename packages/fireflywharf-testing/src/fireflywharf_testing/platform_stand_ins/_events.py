"""What executors see of their runs, as plain data for the checks of a history."""

from __future__ import annotations

import attrs


@attrs.frozen
class RunStarted:
    """A run began.

    Args:
        time_s: time in seconds on the steady clock of the test.
        worker: id of the executor.
        life: number of the process under this id, from 1.
        task: name of the task.
        number: number of the run.
    """

    time_s: float
    worker: str
    life: int
    task: str
    number: int


@attrs.frozen
class RunEnded:
    """A run ended; `how` is the kind of end, or `gone` if its process ended.

    Args:
        time_s: time in seconds at which the work ended.
        worker: id of the executor.
        life: number of the process under this id.
        task: name of the task.
        number: number of the run.
        how: kind of the end.
        end_number: number of the end in the list of the process; 0 if it was never listed.
    """

    time_s: float
    worker: str
    life: int
    task: str
    number: int
    how: str
    end_number: int


@attrs.frozen
class EndsAcknowledged:
    """A call raised the highest acknowledged number of an end that has reached a process."""

    time_s: float
    worker: str
    life: int
    end_number: int


@attrs.frozen
class LeaseLapsed:
    """The lease of everything that runs in a process expired."""

    time_s: float
    worker: str
    life: int


@attrs.frozen
class FaultNoted:
    """A fault began or ended; `worker` is empty if it concerns no single executor."""

    time_s: float
    worker: str
    life: int
    what: str


Event = RunStarted | RunEnded | EndsAcknowledged | LeaseLapsed | FaultNoted
