"""Stand-in for the platform log."""

import base64
import binascii
import collections
import math
import re
import threading
import time
from collections.abc import Callable

import attrs

from fireflywharf_core.checking import FieldChecker
from fireflywharf_core.history import AppendDone
from fireflywharf_core.platform import AppendAnswer, LogEntry, ReadAnswer
from fireflywharf_core.results import ResultCode

from ._recorder import HistoryRecorder
from ._server import Answer, Call, json_answer

_ROUTE = re.compile(r"/v1/streams/([A-Za-z0-9._-]{1,128})/(append|records)")
MAX_READ_RECORDS = 1000


@attrs.frozen(slots=True, kw_only=True)
class LogSettings:
    """Limits of the log.

    Args:
        appends_per_second: appends per second accepted from all writers together; zero for no
            limit.
        retention_s: age in seconds at which records are removed; zero to keep them.
        retention_records: number of records kept per stream; zero to keep all.
    """

    appends_per_second: float = 0.0
    retention_s: float = 0.0
    retention_records: int = 0


@attrs.define
class _Stream:
    """Records of one stream.

    Args:
        first_available: offset of the oldest record that is kept.
        entries: kept records with the time in seconds at which each was appended.
        offsets_by_append: offset of the first record of each append, by writer and sequence.
    """

    first_available: int = 0
    entries: collections.deque = attrs.field(factory=collections.deque)
    offsets_by_append: dict = attrs.field(factory=dict)

    @property
    def next_offset(self) -> int:
        return self.first_available + len(self.entries)


class LogStandIn:
    """Keeps streams of records with offsets and removes the oldest records.

    A repeated append, recognised by its writer and sequence, is not stored again.

    Args:
        settings: rate limit and retention.
        recorder: receives one history record per accepted append.
        clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        settings: LogSettings,
        recorder: HistoryRecorder,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.recorder = recorder
        self.clock = clock
        self._lock = threading.Lock()
        self._streams: dict[str, _Stream] = collections.defaultdict(_Stream)
        self._tokens = settings.appends_per_second
        self._refilled_s = clock()

    def append(
        self, stream: str, writer: str, sequence: int, payloads: list[bytes]
    ) -> AppendAnswer | None:
        """Store records unless this append is a repeat.

        Args:
            stream: name of the stream.
            writer: incarnation of the writer.
            sequence: number of the append, unique for its writer.
            payloads: contents of the records.

        Returns:
            The offset of the first record, or None when the rate limit refuses the append.
        """
        with self._lock:
            now_s = self.clock()
            if not self._take_token(now_s):
                return None
            state = self._streams[stream]
            first = state.offsets_by_append.get((writer, sequence))
            duplicate = first is not None
            if not duplicate:
                first = state.next_offset
                state.offsets_by_append[(writer, sequence)] = first
                for index, payload in enumerate(payloads):
                    entry = LogEntry(first + index, writer, sequence, index, payload)
                    state.entries.append((now_s, entry))
                self._truncate(state, now_s)
            self.recorder.add(
                AppendDone(
                    time_s=now_s,
                    stream=stream,
                    writer=writer,
                    sequence=sequence,
                    first_offset=first,
                    records_count=len(payloads),
                    duplicate=duplicate,
                )
            )
            return AppendAnswer(first)

    def read(self, stream: str, offset: int, limit: int) -> ReadAnswer:
        """Return records from `offset` on, or from the first available one if that is higher.

        Args:
            stream: name of the stream.
            offset: offset of the first record to return.
            limit: largest number of records to return; at most `MAX_READ_RECORDS` are returned.

        Returns:
            The records, the offset to continue at and the first available offset.
        """
        with self._lock:
            state = self._streams[stream]
            self._truncate(state, self.clock())
            start = max(offset, state.first_available)
            index = start - state.first_available
            stop = min(index + max(0, min(limit, MAX_READ_RECORDS)), len(state.entries))
            entries = [state.entries[position][1] for position in range(index, stop)]
            next_offset = entries[-1].offset + 1 if entries else min(start, state.next_offset)
            return ReadAnswer(entries, next_offset, state.first_available)

    def truncate(self, stream: str, first_available: int) -> None:
        """Remove the records with offsets below `first_available`."""
        with self._lock:
            state = self._streams[stream]
            while state.entries and state.first_available < first_available:
                state.entries.popleft()
                state.first_available += 1

    def handle(self, call: Call) -> Answer:
        """Answer an HTTP call to append or read records."""
        match = _ROUTE.fullmatch(call.path)
        if call.faults.fail:
            return json_answer({"detail": "internal error of the log"}, 500)
        if match and match[2] == "append" and call.method == "POST":
            return self._handle_append(match[1], call)
        if match and match[2] == "records" and call.method == "GET":
            return self._handle_read(match[1], call)
        return json_answer({"detail": f"no such route: {call.method} {call.path}"}, 404)

    def _handle_append(self, stream: str, call: Call) -> Answer:
        checker = FieldChecker(call.json(), ResultCode.INVALID_FIELD)
        writer = checker.read_field("writer", str, "the writer's incarnation", check=bool)
        sequence = checker.read_field("sequence", int, "0 or more", check=lambda value: value >= 0)
        texts = checker.read_field(
            "records_base64", list[str], "a list of base64 texts", check=bool
        )
        payloads = []
        for text in texts or []:
            try:
                payloads.append(base64.b64decode(text, validate=True))
            except (binascii.Error, ValueError):
                checker.add("records_base64", text, "valid base64")
        if problems := checker.finish():
            return json_answer({"problems": [str(problem) for problem in problems]}, 400)
        answer = self.append(stream, writer, sequence, payloads)
        if answer is None:
            return json_answer({"detail": "too many appends per second"}, 429)
        return json_answer(answer)

    def _handle_read(self, stream: str, call: Call) -> Answer:
        try:
            offset = int(call.query.get("offset", "0"))
            limit = int(call.query.get("limit", str(MAX_READ_RECORDS)))
        except ValueError:
            return json_answer({"detail": "offset and limit must be whole numbers"}, 400)
        if offset < 0 or limit < 1:
            return json_answer({"detail": "offset must be 0 or more, limit 1 or more"}, 400)
        return json_answer(self.read(stream, offset, limit))

    def _take_token(self, now_s: float) -> bool:
        """Take a token from the bucket of the rate limit; return whether there was one."""
        rate = self.settings.appends_per_second
        if rate <= 0:
            return True
        burst = max(1.0, rate)
        self._tokens = min(burst, self._tokens + (now_s - self._refilled_s) * rate)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _truncate(self, state: _Stream, now_s: float) -> None:
        """Remove the records that are beyond the retention of the settings."""
        limit = self.settings.retention_records or math.inf
        age_s = self.settings.retention_s or math.inf
        while state.entries and (len(state.entries) > limit or now_s - state.entries[0][0] > age_s):
            state.entries.popleft()
            state.first_available += 1
