"""Registry of contracts: a fold of stream `contracts` that never goes back to an older state."""

from collections import OrderedDict, deque
from collections.abc import Iterable

import attrs

from ._changes import (
    ChangeLost,
    ChangeOutcome,
    ChangeUndetermined,
    ChangeWon,
    ContractApplied,
    ContractChange,
    ContractsSnapshot,
    VersionedContract,
)


@attrs.frozen(slots=True)
class _State:
    """Contracts after the record at `offset`; replaced as a whole, never changed."""

    offset: int
    contracts: dict[str, VersionedContract]


class ContractRegistry:
    """Folds contract changes in log order and adopts newer states of peers.

    Two states are kept. The log state is the fold of every record read so far, which decides the
    outcome of changes. The state in force is the one with the higher offset of the log state and
    the newest state of a peer. Both are equal once the reader has caught up.

    Args:
        retention_s: time after which the log deletes records.
        history_max_count: kept changes per customer.
        outcomes_max_count: kept outcomes of operation ids.
        buffer_max_count: kept records while the state before them is missing.
    """

    def __init__(
        self,
        retention_s: float,
        history_max_count: int = 50,
        outcomes_max_count: int = 10_000,
        buffer_max_count: int = 20_000,
    ) -> None:
        self.retention_s = retention_s
        self.history_max_count = history_max_count
        self.outcomes_max_count = outcomes_max_count
        self.buffer_max_count = buffer_max_count
        self.invalid_snapshots_count_ = 0
        self._log = _State(-1, {})
        self._in_force = self._log
        self._history: dict[str, deque[ContractChange]] = {}
        self._outcomes: OrderedDict[str, ChangeOutcome] = OrderedDict()
        # First offset that the next usable snapshot must lead up to; None without a gap.
        self._gap_end: int | None = None
        # Versions when the last gap was closed; changes up to these were not read.
        self._unread_versions: dict[str, int] = {}
        self._buffer: deque[tuple[int, ContractApplied]] = deque()
        self._buffer_end = -1
        self._snapshot_seen_s: float | None = None

    @property
    def offset(self) -> int:
        """Offset of the last record that the state in force includes; -1 for none."""
        return self._in_force.offset

    @property
    def has_gap(self) -> bool:
        """Whether records were truncated that no snapshot has replaced yet."""
        return self._gap_end is not None

    def current(self) -> dict[str, VersionedContract]:
        """Return the contracts in force by customer."""
        return dict(self._in_force.contracts)

    def get(self, customer: str) -> VersionedContract | None:
        """Return the contract in force of one customer."""
        return self._in_force.contracts.get(customer)

    def history(self, customer: str) -> list[ContractChange]:
        """Return the newest changes of a customer's contract, oldest first."""
        return list(self._history.get(customer, ()))

    def outcome(self, operation_id: str) -> ChangeOutcome | None:
        """Return what became of a change; None until its record was folded.

        A caller refuses a change whose base is below the version in force without writing it. The
        outcome of the others is then undetermined only if a truncation overtook the change.
        """
        return self._outcomes.get(operation_id)

    def fold(
        self,
        offset: int,
        record: ContractApplied | ContractsSnapshot,
        now_s: float,
        live: bool = True,
    ) -> None:
        """Take the record at `offset`; records must come in log order.

        Args:
            offset: offset of the record.
            record: decoded record.
            now_s: present time.
            live: False while the reader replays old records, whose age is unknown.
        """
        if offset <= self._log.offset:
            # A state of a peer closed a gap beyond this record, so no comparison is possible.
            if isinstance(record, ContractApplied):
                self._note_outcome(record.operation_id, ChangeUndetermined(offset))
            return
        if offset <= self._buffer_end:
            return
        if isinstance(record, ContractsSnapshot):
            if record.as_of_offset >= offset:
                self.invalid_snapshots_count_ += 1
            else:
                self._snapshot_seen_s = now_s if live else self._snapshot_seen_s
                self._close_gap(record.as_of_offset, record.contracts)
        elif self._gap_end is not None:
            self._buffer.append((offset, record))
            self._buffer_end = offset
            if len(self._buffer) > self.buffer_max_count:
                self._gap_end = self._buffer.popleft()[0] + 1
            return
        else:
            self._apply(offset, record)
        self._advance(offset)

    def on_truncated(self, first_available: int) -> None:
        """Note that the log no longer has the records below `first_available`."""
        read_end = self._log.offset if self._gap_end is None else self._buffer_end
        if read_end >= first_available - 1:
            return
        if self._gap_end is not None and self._gap_end >= first_available:
            return
        self._settle_buffer(first_available - 1)
        self._buffer.clear()
        self._gap_end = first_available
        # A state of a peer may already lead up to the first available record.
        self._close_gap(self._in_force.offset, self._in_force.contracts.values())

    def on_read_to(self, next_offset: int) -> None:
        """Note that every record below `next_offset` was read and folded."""
        self._advance(next_offset - 1)

    def adopt_peer_state(self, as_of_offset: int, contracts: Iterable[VersionedContract]) -> bool:
        """Adopt the state of a peer if its offset is higher.

        Args:
            as_of_offset: offset of the peer's state.
            contracts: all contracts of the peer.

        Returns:
            Whether the state in force was replaced.
        """
        if as_of_offset <= self._in_force.offset:
            return False
        contracts = list(contracts)
        self._in_force = _State(as_of_offset, {c.contract.customer: c for c in contracts})
        self._close_gap(as_of_offset, contracts)
        return True

    def snapshot(self) -> ContractsSnapshot:
        """Return the state in force, for a peer or for a record in the log."""
        contracts = sorted(self._in_force.contracts.items())
        return ContractsSnapshot(self._in_force.offset, [contract for _, contract in contracts])

    def snapshot_due(self, now_s: float) -> bool:
        """Return whether a snapshot record is needed.

        It is needed every quarter of the retention time, and once after a restart, because the age
        of a snapshot that was read in a replay is unknown.
        """
        if self._gap_end is not None or not self._in_force.contracts:
            return False
        seen_s = self._snapshot_seen_s
        return seen_s is None or now_s - seen_s >= self.retention_s / 4

    def _apply(self, offset: int, record: ContractApplied) -> None:
        if record.operation_id in self._outcomes:
            # The same operation was recorded again by another writer.
            return
        customer = record.contract.customer
        current = self._log.contracts.get(customer)
        version = 0 if current is None else current.version
        won = record.base_version == version
        if won:
            changed = {customer: VersionedContract(record.contract, version + 1)}
            self._log = _State(offset, self._log.contracts | changed)
            self._note_outcome(record.operation_id, ChangeWon(version + 1))
        elif record.base_version < self._unread_versions.get(customer, 0):
            # The record may repeat a change that won before the truncation.
            self._note_outcome(record.operation_id, ChangeUndetermined(offset))
        else:
            self._note_outcome(record.operation_id, ChangeLost(record.base_version, version))
        changes = self._history.setdefault(customer, deque(maxlen=self.history_max_count))
        changes.append(
            ContractChange(
                offset=offset,
                version=record.base_version + 1,
                author=record.author,
                time_utc=record.time_utc,
                contract=record.contract,
                won=won,
            )
        )

    def _note_outcome(self, operation_id: str, outcome: ChangeOutcome) -> None:
        self._outcomes.setdefault(operation_id, outcome)
        while len(self._outcomes) > self.outcomes_max_count:
            self._outcomes.popitem(last=False)

    def _advance(self, offset: int) -> None:
        if self._gap_end is not None:
            self._buffer_end = max(self._buffer_end, offset)
            return
        if offset > self._log.offset:
            self._log = _State(offset, self._log.contracts)
        if self._log.offset >= self._in_force.offset:
            self._in_force = self._log

    def _close_gap(self, as_of_offset: int, contracts: Iterable[VersionedContract]) -> None:
        if self._gap_end is None or as_of_offset < self._gap_end - 1:
            return
        self._gap_end = None
        self._log = _State(as_of_offset, {c.contract.customer: c for c in contracts})
        self._unread_versions = {name: c.version for name, c in self._log.contracts.items()}
        self._settle_buffer(as_of_offset)
        buffered, self._buffer = self._buffer, deque()
        for offset, record in buffered:
            if offset > as_of_offset:
                self._apply(offset, record)
                self._advance(offset)
        self._advance(max(as_of_offset, self._buffer_end))
        self._buffer_end = -1

    def _settle_buffer(self, end_offset: int) -> None:
        """Record that changes up to `end_offset` cannot be decided any more."""
        for offset, record in self._buffer:
            if offset <= end_offset:
                self._note_outcome(record.operation_id, ChangeUndetermined(offset))
