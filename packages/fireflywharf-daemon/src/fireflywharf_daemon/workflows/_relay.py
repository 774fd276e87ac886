"""Appends that go through one VM of the failure domain."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from fireflywharf_core.workflows import JournalRecord, encode_record

from ._interfaces import AppendRejected, AppendResult, AppendUncertain, LogRecord
from ._journal import GroupAppender
from ._peers import PeerSender, PeerSilent

_LOG = logging.getLogger(__name__)

_RELAY_S = 2.2
"""Longest wait for the other VM. A slow log takes up to two seconds; the rest of the time to store
a job is left for an append from here when the VM is silent."""
_SUSPECT_S = 5.0
"""Time for which a VM that did not append is not asked again."""


class RelayedAppender:
    """Appends records through one VM of the failure domain, or here if that VM does not answer.

    Pattern: the log takes one append after the other. When it is slow and each takes a tenth of a
    second, the appends of thirty VMs wait for seconds, are given up and repeated, and nothing is
    stored in time. With one VM of each failure domain that appends for all, few appends wait at a
    time. A record that is appended twice counts once.

    Args:
        appender: appends from this VM.
        sender: sends messages to other daemons.
        find_address: returns the address of the VM that appends; None if it is this one.
    """

    def __init__(
        self,
        appender: GroupAppender,
        sender: PeerSender,
        find_address: Callable[[], str | None],
    ) -> None:
        self._appender = appender
        self._sender = sender
        self._find_address = find_address
        self._suspect_until_s: dict[str, float] = {}

    def put_record(self, record: JournalRecord, deadline_s: float) -> asyncio.Future:
        """Append a record of the journal; the future ends with an `AppendResult`."""
        address = self._find_address()
        if address is None or time.monotonic() < self._suspect_until_s.get(address, 0.0):
            return self._appender.put_record(record, deadline_s)
        return asyncio.ensure_future(self._relay(address, record, deadline_s))

    async def _relay(self, address: str, record: JournalRecord, deadline_s: float) -> AppendResult:
        started_s = time.monotonic()
        stored = LogRecord(*encode_record(record))
        result = await self._sender.relay_append(address, stored, _RELAY_S)
        if not isinstance(result, AppendRejected | PeerSilent):
            # The other VM lives; if its append has no answer, more appends would not help.
            return result
        now_s = time.monotonic()
        self._suspect_until_s[address] = now_s + _SUSPECT_S
        _LOG.info(
            "peer did not append",
            extra={
                "key": stored.key,
                "peer": address,
                "result": type(result).__name__,
                "reason": getattr(result, "reason", ""),
                "ms": round((now_s - started_s) * 1000),
            },
        )
        own = await self._appender.put_record(record, deadline_s)
        if isinstance(result, PeerSilent) and isinstance(own, AppendRejected):
            return AppendUncertain(result.reason)
        return own
