"""Interfaces of the platform services that the daemon for workflows uses."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from enum import Enum
from typing import Protocol

import attrs

from fireflywharf_core.workflows import (
    Configuration,
    ReportedEnd,
    ReportedRun,
    StartResult,
    StartRun,
    StepName,
    StopRun,
    WorkerInfo,
)


class Topic(Enum):
    """Topics of the shared log that the daemon writes."""

    JOURNAL = "journal"


@attrs.frozen(slots=True)
class Partition:
    """Part of a topic; the log orders the records of a partition and appends to one at a time."""

    topic: Topic
    number: int = 0


@attrs.frozen(slots=True)
class LogRecord:
    """A record of a log; the key is empty in a topic without keys.

    The value is left out of the representation, because a configuration contains keys of teams.
    """

    key: str
    value: bytes = attrs.field(repr=False)


@attrs.frozen(slots=True)
class Writer:
    """Identity of an exclusive writer, with its fencing token.

    Args:
        name: name shared by all successive writers.
        epoch: fencing token; the log rejects one below the highest it has seen.
        sequence: number of the append; a repeated number takes effect only once.
    """

    name: str
    epoch: int
    sequence: int


@attrs.frozen(slots=True)
class Appended:
    """The records are durable; `offset` is that of the first one, or -1 if it is not known."""

    offset: int


@attrs.frozen(slots=True)
class AppendRejected:
    """The records were not appended and will not be appended later.

    Args:
        reason: reason for the log.
        is_permanent: whether the log rejects these records for what they are, for instance for
            their size, so that it would reject a repetition as well.
    """

    reason: str
    is_permanent: bool = False


@attrs.frozen(slots=True)
class AppendUncertain:
    """The records may be durable, or may become durable later."""

    reason: str


@attrs.frozen(slots=True)
class AppendFenced:
    """The log rejected the append because a writer with a higher epoch exists."""


AppendResult = Appended | AppendRejected | AppendUncertain | AppendFenced


@attrs.frozen(slots=True)
class ReadRecords:
    """Records of a log.

    Args:
        end: offset of the next record to be appended.
        rows: pairs of offset and record, in order.
    """

    end: int
    rows: tuple[tuple[int, LogRecord], ...]


@attrs.frozen(slots=True)
class ReadExpired:
    """The offset was removed by retention; continue with the newest record of every key."""

    first: int


@attrs.frozen(slots=True)
class ReadFailed:
    """The log did not answer, or its answer could not be used."""

    reason: str


ReadResult = ReadRecords | ReadExpired | ReadFailed


class SharedLog(Protocol):
    """Durable log that all daemons share.

    Attributes:
        partitions_count: number of partitions of a topic; the same at all daemons.
    """

    partitions_count: int

    async def append(
        self,
        partition: Partition,
        records: Sequence[LogRecord],
        *,
        timeout_s: float,
        writer: Writer | None = None,
    ) -> AppendResult:
        """Append all of the records or none."""

    async def read(self, partition: Partition, offset: int, *, wait_s: float) -> ReadResult:
        """Read records from an offset, waiting up to `wait_s` seconds for the first one."""

    async def newest(self, partition: Partition) -> ReadResult:
        """Read the newest record of every key; `end` is the offset at which to continue reading."""


class DirectorySource(Protocol):
    """Directory of the registered workers.

    Attributes:
        unreadable_ids: ids whose latest entry is unreadable.
    """

    unreadable_ids: Collection[str]

    async def poll(self) -> Mapping[str, WorkerInfo] | None:
        """Return the readable entries by id, or None if the directory could not be read."""


class ConfigurationSource(Protocol):
    """Source of the operators' configuration.

    Attributes:
        complete_s: boot time, in seconds, at which the latest read was sent after which the newest
            version was known; negative infinity before the first one. A read counts only if it
            returned everything that the source had and the newest version could be used.
    """

    complete_s: float

    async def next_version(self, known: Configuration | None) -> Configuration | None:
        """Wait for a version newer than `known`; None if there is none or it could not be read."""


@attrs.frozen(slots=True, kw_only=True)
class WorkerReport:
    """Running and unacknowledged ended runs of a worker.

    Args:
        incarnation: incarnation of the worker.
        running: runs that are running.
        ended: ended runs that are not acknowledged yet, lowest serial first.
        ends_complete: whether `ended` lists all of them.
        acknowledgement_sent: whether the poll carried the acknowledgement.
    """

    incarnation: int
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]
    ends_complete: bool = True
    acknowledgement_sent: bool = True


@attrs.frozen(slots=True)
class PollFenced:
    """The worker has seen an epoch above that of the scheduler."""


@attrs.frozen(slots=True)
class PollFailed:
    """The worker did not answer, or its answer could not be used; its runs may go on."""

    reason: str


PollResult = WorkerReport | PollFenced | PollFailed


class WorkerGateway(Protocol):
    """Sends orders to workers."""

    async def poll_worker(
        self,
        worker: WorkerInfo,
        *,
        epoch: int,
        acknowledged: int,
        wait_s: float,
        lease_s: float,
        asked_s: float | None = None,
    ) -> PollResult:
        """Read the runs of a worker and optionally renew their leases.

        Serial numbers start anew with each process of a worker. Therefore, an acknowledgement is
        sent only over the connection of the poll before, which leads to the process that reported
        the ends. If that connection is closed, the poll acknowledges nothing.

        Args:
            worker: the worker.
            epoch: fencing token.
            acknowledged: serial number up to which ended runs are durable in the journal.
            wait_s: maximum time that the worker waits for a run to end, in seconds.
            lease_s: lease of all runs from `asked_s` on, in seconds; 0 to renew none.
            asked_s: local time from which renewed leases count, in seconds; by default now.
        """

    async def start(self, worker: WorkerInfo, order: StartRun, epoch: int) -> StartResult:
        """Order a worker to start a run."""

    async def stop(self, worker: WorkerInfo, order: StopRun, epoch: int) -> bool:
        """Order a worker to stop a run, and return whether it accepted the order."""

    async def forget_worker(self, worker_id: str) -> None:
        """Release the resources kept for a worker that has left."""


@attrs.frozen(slots=True, kw_only=True)
class ApprovalGranted:
    """Tickets by id of an approved worker, and their validity in seconds."""

    tickets: Mapping[str, str]
    validity_s: float


class ApprovalService(Protocol):
    """Service that decides which workers may run a step."""

    async def ask(
        self, step: StepName, worker_ids: Sequence[str], *, timeout_s: float
    ) -> ApprovalGranted | None:
        """Ask which of the workers may run a step; None without a usable answer."""


@attrs.frozen(slots=True, kw_only=True)
class PlatformServices:
    """All external services that the daemon uses."""

    log: SharedLog
    directory: DirectorySource
    configuration: ConfigurationSource
    workers: WorkerGateway
    approvals: ApprovalService
