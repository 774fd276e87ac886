"""Contracts: changes through the log, and synchronization from peers while the log is down."""

import datetime
import logging
import uuid
from collections.abc import Callable

from fireflywharf_core.contracts import (
    ChangeLost,
    ChangeUndetermined,
    ChangeWon,
    Contract,
    ContractApplied,
    ContractRegistry,
)
from fireflywharf_core.log import ReadRecord, StreamReader
from fireflywharf_core.messages import ContractsCatchUp, ContractsSince
from fireflywharf_core.results import NotRun, OutcomeUnknown, ResultCode

from ..http import AppliedContract, ApplyContract, CallerError, VersionConflict
from ._context import Context
from ._log_stream import LogStream, StreamListener

_LOG = logging.getLogger(__name__)
APPLY_TIMEOUT_S = 8.0
CATCH_UP_TIMEOUT_S = 1.0


class ContractService(StreamListener):
    """Applies contract changes and reports each contract version that comes into force.

    Args:
        context: shared context.
        on_change: called with a customer and its contract when a newer version is in force.
    """

    def __init__(self, context: Context, on_change: Callable[[str, Contract], None]) -> None:
        self.context = context
        self.on_change = on_change
        self.registry = ContractRegistry(context.settings.platform.retention_s)
        self.stream: LogStream | None = None
        self._published_versions: dict[str, int] = {}

    def before_read(self, reader: StreamReader) -> None:
        """Report records of stream `contracts` that the log has deleted to the registry."""
        if reader.truncation is not None:
            self.registry.on_truncated(reader.truncation.first_available)

    def fold_record(self, row: ReadRecord) -> None:
        """Fold one record of stream `contracts` into the registry."""
        live = self.stream.last_end_read_s > float("-inf")
        self.registry.fold(row.offset, row.record, self.context.now_s(), live=live)

    def after_read(self, reader: StreamReader) -> None:
        """Report the contract versions that this read brought into force."""
        self.registry.on_read_to(reader.next_offset)
        self._publish_newer_versions()

    def _publish_newer_versions(self) -> None:
        for customer, row in self.registry.current().items():
            if row.version > self._published_versions.get(customer, 0):
                self._published_versions[customer] = row.version
                self.on_change(customer, row.contract)
                _LOG.info("contract %s version %d is in force", customer, row.version)

    async def apply(self, change: ApplyContract) -> AppliedContract | VersionConflict | CallerError:
        """Append a contract change and wait until it is applied or lost to a concurrent change.

        Args:
            change: change with the version that it is based on.

        Returns:
            The new version; the conflict if another change was first; or an error if the log is
            unavailable or the outcome is unknown.
        """
        customer = change.contract.customer
        record = ContractApplied(
            operation_id=uuid.uuid4().hex,
            contract=change.contract,
            base_version=change.base_version,
            author=change.author,
            time_utc=datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        )
        current = self.registry.get(customer)
        current_version = 0 if current is None else current.version
        if change.base_version < current_version:
            # Versions only increase, so this change would lose and is not appended.
            return VersionConflict(customer, change.base_version, current_version)
        offset = await self.stream.append(record, APPLY_TIMEOUT_S)
        match offset:
            case NotRun(code, detail, retry_after_s):
                return CallerError(code, detail, retry_after_s=retry_after_s)
            case OutcomeUnknown(code, detail):
                return CallerError(code, f"{detail}; read the contract before repeating the change")
        await self.stream.wait_until_read_past(offset, APPLY_TIMEOUT_S)
        match self.registry.outcome(record.operation_id):
            case ChangeWon(version):
                return AppliedContract(customer, version)
            case ChangeLost(base_version, current_version):
                return VersionConflict(customer, base_version, current_version)
            case ChangeUndetermined() | None:
                detail = (
                    "the change is in the platform log, but its outcome was not read back in time; "
                    "read the contract"
                )
                return CallerError(ResultCode.OUTCOME_UNKNOWN, detail)

    async def catch_up_from(self, address: str) -> bool:
        """Fetch newer contracts from a peer.

        Args:
            address: mesh address of the peer.

        Returns:
            Whether the peer answered.
        """
        question = ContractsSince(self.registry.offset)
        answer = await self.context.call(address, question, CATCH_UP_TIMEOUT_S)
        if not isinstance(answer, ContractsCatchUp):
            return False
        if self.registry.adopt_peer_state(answer.as_of_offset, answer.contracts):
            self._publish_newer_versions()
        return True

    def answer_peer(self, question: ContractsSince) -> ContractsCatchUp:
        """Return the offset, with the contracts in force if the peer has an older offset."""
        snapshot = self.registry.snapshot()
        newer = snapshot.as_of_offset > question.offset
        return ContractsCatchUp(snapshot.as_of_offset, snapshot.contracts if newer else [])

    def write_snapshot_if_due(self) -> None:
        """Append a snapshot before the log deletes records that the contracts depend on."""
        if self.registry.snapshot_due(self.context.now_s()) and self.stream.available:
            self.stream.submit(self.registry.snapshot())
