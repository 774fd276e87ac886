"""What the daemon of workflows needs from the platform that it runs on."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Protocol

import attrs

from fireflywharf_core.workflows import (
    Configuration,
    ListedEnd,
    ListedRun,
    StartResult,
    StartRun,
    StepName,
    StopRun,
    WorkerInfo,
)


class Topic(Enum):
    """Logs of the daemon."""

    JOURNAL = "journal"


@attrs.frozen(slots=True)
class LogRecord:
    """A record; the key is empty in a log without keys."""

    key: str
    value: bytes


@attrs.frozen(slots=True)
class Writer:
    """Identity of a writer that must not be overtaken by an older one.

    Args:
        name: name shared by all holders of the office.
        epoch: the log refuses an epoch below the highest one seen.
        sequence: number of the append; a repeated one takes effect once.
    """

    name: str
    epoch: int
    sequence: int


@attrs.frozen(slots=True)
class Appended:
    """The records are durable."""

    offset: int


@attrs.frozen(slots=True)
class AppendRejected:
    """Nothing was appended and nothing will be."""

    reason: str


@attrs.frozen(slots=True)
class AppendUncertain:
    """The records may be durable, or become durable later."""

    reason: str


@attrs.frozen(slots=True)
class AppendFenced:
    """A newer writer has taken over."""


AppendResult = Appended | AppendRejected | AppendUncertain | AppendFenced


@attrs.frozen(slots=True)
class ReadRecords:
    """Records of a log.

    Args:
        end: offset of the next record to be appended.
        rows: offset and record, in order.
    """

    end: int
    rows: tuple[tuple[int, LogRecord], ...]


@attrs.frozen(slots=True)
class ReadExpired:
    """The offset was removed; reading goes on with the newest records of all keys."""

    first: int


@attrs.frozen(slots=True)
class ReadFailed:
    """The log did not answer."""

    reason: str


ReadResult = ReadRecords | ReadExpired | ReadFailed


class SharedLog(Protocol):
    """Durable logs that all daemons share."""

    async def append(
        self,
        topic: Topic,
        records: Sequence[LogRecord],
        *,
        timeout_s: float,
        writer: Writer | None = None,
    ) -> AppendResult:
        """Append records, all or none."""

    async def read(self, topic: Topic, offset: int, *, wait_s: float) -> ReadResult:
        """Read records from an offset, waiting for the first one."""

    async def newest(self, topic: Topic) -> ReadResult:
        """Read the newest record of every key; `end` is where reading goes on."""


class DirectorySource(Protocol):
    """The workers that announce themselves."""

    async def poll(self) -> Mapping[str, WorkerInfo] | None:
        """Return the present directory, or None if it could not be read."""


class ConfigurationSource(Protocol):
    """The operators' configuration."""

    async def next_version(self, known: Configuration | None) -> Configuration | None:
        """Wait for a newer version; None if there is none yet or it could not be read."""


@attrs.frozen(slots=True, kw_only=True)
class WorkerRuns:
    """Both lists of a worker and the life that they belong to; 0 if it did not say."""

    incarnation: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]


@attrs.frozen(slots=True)
class PollFenced:
    """The worker has seen a higher epoch."""


@attrs.frozen(slots=True)
class PollIncarnationEnded:
    """The process that was addressed is gone."""

    reason: str


@attrs.frozen(slots=True)
class PollFailed:
    """The worker did not answer, or could not."""

    reason: str


PollResult = WorkerRuns | PollFenced | PollIncarnationEnded | PollFailed


class WorkerGateway(Protocol):
    """Orders to workers."""

    async def poll_worker(
        self, worker: WorkerInfo, *, epoch: int, acknowledged: int, wait_s: float, renew: bool
    ) -> PollResult:
        """Renew the leases of all runs of a worker and read its lists.

        Args:
            worker: the worker.
            epoch: fencing token.
            acknowledged: serial up to which ends are durable.
            wait_s: time that the worker waits for an end before it answers.
            renew: whether the leases are renewed.
        """

    async def start(self, worker: WorkerInfo, order: StartRun, epoch: int) -> StartResult:
        """Start a run."""

    async def stop(self, worker: WorkerInfo, order: StopRun, epoch: int) -> bool:
        """Stop a run; returns whether the worker answered."""

    async def forget(self, worker_id: str) -> None:
        """Close the connections to a worker that is gone."""


@attrs.frozen(slots=True, kw_only=True)
class ApprovalGranted:
    """Tickets of the workers that may run a step, and how long they can be used."""

    tickets: Mapping[str, str]
    validity_s: float


class ApprovalService(Protocol):
    """The service that knows which workers may run a step."""

    async def ask(
        self, step: StepName, worker_ids: Sequence[str], *, timeout_s: float
    ) -> ApprovalGranted | None:
        """Ask which of the workers may run a step; None without a usable answer."""


@attrs.frozen(slots=True, kw_only=True)
class PlatformServices:
    """Everything outside the daemon."""

    log: SharedLog
    directory: DirectorySource
    configuration: ConfigurationSource
    workers: WorkerGateway
    approvals: ApprovalService
