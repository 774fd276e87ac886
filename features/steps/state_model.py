"""In-memory model of the platform log, whose faults the caller chooses."""

from fireflywharf_core.log import AppendBatch, StreamReader
from fireflywharf_core.platform import LogEntry, ReadAnswer
from fireflywharf_core.records import RECORD_CODEC

RESPONSES = ("done", "refused", "lost before", "lost after", "delayed")


class ModelLog:
    """One stream of the log.

    Args:
        ignores_repeats: whether the log drops repeated sequences of a writer.
    """

    def __init__(self, ignores_repeats):
        self.ignores_repeats = ignores_repeats
        self.entries = []
        self.first_available = 0
        self.first_offsets = {}
        self.delayed = []
        self.append_times = []

    def append(self, writer, sequence, records):
        """Append records and return their first offset, or that of the original if ignored."""
        known = self.first_offsets.get((writer, sequence))
        if known is not None and self.ignores_repeats:
            return known
        first = len(self.entries)
        self.first_offsets.setdefault((writer, sequence), first)
        for index, payload in enumerate(records):
            self.entries.append(LogEntry(first + index, writer, sequence, index, payload))
        return first

    def read(self, offset, limit):
        """Return the answer to a read of at most `limit` entries from an offset on."""
        start = max(offset, self.first_available)
        entries = self.entries[start : start + limit]
        return ReadAnswer(entries, start + len(entries), self.first_available)

    def entries_without_repeats(self):
        """Return the entries without repetitions, which all readers must agree with."""
        seen = set()
        first_entries = []
        for entry in self.entries:
            position = (entry.writer, entry.sequence, entry.index)
            if position not in seen:
                seen.add(position)
                first_entries.append(entry)
        return first_entries


def execute_writer_action(writer, log, now_s, response):
    """Execute the next action of a writer and return the tickets that it resolves.

    Args:
        writer: the group commit writer.
        log: receives the action.
        now_s: time in seconds.
        response: one of `RESPONSES`; says what happens to the append or the read.
    """
    action = writer.next_action(now_s)
    if action is None:
        return []
    if not isinstance(action, AppendBatch):
        if response != "done":
            writer.on_uncertain(now_s)
            return []
        answer = log.read(action.from_offset, 3)
        return writer.on_read_back(
            answer.entries, answer.next_offset, answer.first_available, now_s
        )
    log.append_times.append(now_s)
    call = (writer.writer, action.sequence, action.records)
    if response == "done":
        return writer.on_appended(log.append(*call), now_s)
    if response == "refused":
        writer.on_refused(now_s)
        return []
    if response == "lost after":
        log.append(*call)
    if response == "delayed":
        log.delayed.append(call)
    writer.on_uncertain(now_s)
    return []


def make_reader(stream, next_offset=0):
    """Return a reader of a stream of records."""
    return StreamReader(stream, RECORD_CODEC, next_offset)
