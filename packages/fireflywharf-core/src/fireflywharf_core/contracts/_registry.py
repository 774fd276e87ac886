"""Registry of contracts: a fold of stream `contracts` that never returns to an older state."""

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
class _VersionedContracts:
    """Contracts after the record at `offset`; immutable, so a change replaces the object."""

    offset: int
    contracts: dict[str, VersionedContract]


class ContractRegistry:
    """Applies contract changes in log order and adopts newer states from peers.

    Two states are kept. The log state results from all records read so far and decides the outcomes
    of changes. The state in force is the log state or the newest state of a peer, whichever has the
    higher offset. The two are equal once the reader has caught up with the log.

    Args:
        retention_s: time after which the log deletes records.
        history_max_count: changes kept per customer.
        outcomes_max_count: outcomes kept, by operation id.
        buffer_max_count: records buffered while the state before them is missing.
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
        self._log_state = _VersionedContracts(-1, {})
        self._in_force = self._log_state
        self._history: dict[str, deque[ContractChange]] = {}
        self._outcomes: OrderedDict[str, ChangeOutcome] = OrderedDict()
        # A snapshot closes the gap if it includes all records before this offset; None if no gap.
        self._gap_end: int | None = None
        # Versions at the end of the last gap, whose changes were not read.
        self._versions_after_gap: dict[str, int] = {}
        self._buffer: deque[tuple[int, ContractApplied]] = deque()
        self._buffer_end = -1
        self._snapshot_seen_s: float | None = None

    @property
    def offset(self) -> int:
        """Offset of the last record included in the state in force; -1 for none."""
        return self._in_force.offset

    @property
    def has_gap(self) -> bool:
        """Whether records were truncated unread and no snapshot or peer state covers them yet."""
        return self._gap_end is not None

    def current(self) -> dict[str, VersionedContract]:
        """Return the contracts in force by customer."""
        return dict(self._in_force.contracts)

    def get(self, customer: str) -> VersionedContract | None:
        """Return the contract in force of one customer, or None."""
        return self._in_force.contracts.get(customer)

    def history(self, customer: str) -> list[ContractChange]:
        """Return the newest changes of a customer's contract, oldest first."""
        return list(self._history.get(customer, ()))

    def outcome(self, operation_id: str) -> ChangeOutcome | None:
        """Return the outcome of a change, or None until its record was applied.

        A caller must refuse a change whose base version is below the version in force, without
        writing it. The outcome of other changes is then undetermined only if the log was truncated
        beyond the change before it was read.
        """
        return self._outcomes.get(operation_id)

    def fold(
        self,
        offset: int,
        record: ContractApplied | ContractsSnapshot,
        now_s: float,
        live: bool = True,
    ) -> None:
        """Apply the record at `offset`; records must come in log order.

        Args:
            offset: offset of the record.
            record: decoded record.
            now_s: present time.
            live: False while the reader replays old records, whose age is unknown.
        """
        if offset <= self._log_state.offset:
            # A peer's state closed a gap beyond this record, so its base version cannot be checked.
            if isinstance(record, ContractApplied):
                self._record_outcome(record.operation_id, ChangeUndetermined(offset))
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
        """Record that the log deleted the records below `first_available`."""
        read_end = self._log_state.offset if self._gap_end is None else self._buffer_end
        if read_end >= first_available - 1:
            return
        if self._gap_end is not None and self._gap_end >= first_available:
            return
        self._mark_buffer_undetermined(first_available - 1)
        self._buffer.clear()
        self._gap_end = first_available
        # An adopted state of a peer may already cover all records before the first available one.
        self._close_gap(self._in_force.offset, self._in_force.contracts.values())

    def on_read_to(self, next_offset: int) -> None:
        """Record that every record below `next_offset` was read and applied."""
        self._advance(next_offset - 1)

    def adopt_peer_state(self, as_of_offset: int, contracts: Iterable[VersionedContract]) -> bool:
        """Adopt the state of a peer if its offset is above that of the state in force.

        Args:
            as_of_offset: offset of the last record included in the peer's state.
            contracts: all contracts of the peer.

        Returns:
            Whether the state in force was replaced.
        """
        if as_of_offset <= self._in_force.offset:
            return False
        contracts = list(contracts)
        self._in_force = _VersionedContracts(
            as_of_offset, {c.contract.customer: c for c in contracts}
        )
        self._close_gap(as_of_offset, contracts)
        return True

    def snapshot(self) -> ContractsSnapshot:
        """Return the state in force, for a peer or for a record in the log."""
        contracts = sorted(self._in_force.contracts.items())
        return ContractsSnapshot(self._in_force.offset, [contract for _, contract in contracts])

    def snapshot_due(self, now_s: float) -> bool:
        """Return whether a snapshot record must be written.

        One is due every quarter of the retention time, and once after a restart, because the age
        of a snapshot that was read in the replay is unknown.
        """
        if self._gap_end is not None or not self._in_force.contracts:
            return False
        seen_s = self._snapshot_seen_s
        return seen_s is None or now_s - seen_s >= self.retention_s / 4

    def _apply(self, offset: int, record: ContractApplied) -> None:
        if record.operation_id in self._outcomes:
            # Another writer has recorded the same operation again.
            return
        customer = record.contract.customer
        current = self._log_state.contracts.get(customer)
        version = 0 if current is None else current.version
        won = record.base_version == version
        if won:
            changed = {customer: VersionedContract(record.contract, version + 1)}
            self._log_state = _VersionedContracts(offset, self._log_state.contracts | changed)
            self._record_outcome(record.operation_id, ChangeWon(version + 1))
        elif record.base_version < self._versions_after_gap.get(customer, 0):
            # The record may be a duplicate of a change in the gap that took effect.
            self._record_outcome(record.operation_id, ChangeUndetermined(offset))
        else:
            self._record_outcome(record.operation_id, ChangeLost(record.base_version, version))
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

    def _record_outcome(self, operation_id: str, outcome: ChangeOutcome) -> None:
        self._outcomes.setdefault(operation_id, outcome)
        while len(self._outcomes) > self.outcomes_max_count:
            self._outcomes.popitem(last=False)

    def _advance(self, offset: int) -> None:
        if self._gap_end is not None:
            self._buffer_end = max(self._buffer_end, offset)
            return
        if offset > self._log_state.offset:
            self._log_state = _VersionedContracts(offset, self._log_state.contracts)
        if self._log_state.offset >= self._in_force.offset:
            self._in_force = self._log_state

    def _close_gap(self, as_of_offset: int, contracts: Iterable[VersionedContract]) -> None:
        if self._gap_end is None or as_of_offset < self._gap_end - 1:
            return
        self._gap_end = None
        self._log_state = _VersionedContracts(
            as_of_offset, {c.contract.customer: c for c in contracts}
        )
        self._versions_after_gap = {
            name: c.version for name, c in self._log_state.contracts.items()
        }
        self._mark_buffer_undetermined(as_of_offset)
        buffered, self._buffer = self._buffer, deque()
        for offset, record in buffered:
            if offset > as_of_offset:
                self._apply(offset, record)
                self._advance(offset)
        self._advance(max(as_of_offset, self._buffer_end))
        self._buffer_end = -1

    def _mark_buffer_undetermined(self, end_offset: int) -> None:
        """Mark buffered changes up to `end_offset` as undetermined."""
        for offset, record in self._buffer:
            if offset <= end_offset:
                self._record_outcome(record.operation_id, ChangeUndetermined(offset))
